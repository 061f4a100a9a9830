package app_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"briarwell.dev/platform/platformtest"
)

// manifestWithin is the time after the acknowledgement of a manifest from which requests are
// handled as it says.
const manifestWithin = 2500 * time.Millisecond

// newServingCluster returns a cluster of three instances that all serve bookings.
func newServingCluster(t *testing.T, subnet int) *cluster {
	t.Helper()
	c := newCluster(t, subnet, "ledger", "ledger", "ledger")
	c.eventually("serving by every sidecar", c.allServe("/book/first"))
	return c
}

// allServe returns a condition: whether every sidecar serves requests for the path.
func (c *cluster) allServe(path string) func() bool {
	return func() bool {
		for _, in := range c.instances {
			if status, _ := c.sendRequest(in, http.MethodGet, path, 1); status != http.StatusOK {
				return false
			}
		}
		return true
	}
}

// neverDenies fails the test if a sidecar answers 404 for the path before done returns true.
func (c *cluster) neverDenies(path string, done func() bool) {
	c.t.Helper()
	for !done() {
		for _, in := range c.instances {
			if status, _ := c.sendRequest(in, http.MethodGet, path, 1); status == http.StatusNotFound {
				c.t.Fatalf("%s answers 404 for a route of the manifest in force", in.name)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestNewRouteDeniedWhileLargeManifestArrives guards against a manifest that never arrives since
// it takes longer to transfer than a call may last, and against 404 for its routes meanwhile.
func TestNewRouteDeniedWhileLargeManifestArrives(t *testing.T) {
	c := newServingCluster(t, 119)
	c.store.SetFaults(platformtest.StoreFaults{BytesPerSecond: 300 << 10})
	c.store.WriteLargeManifest(5, 9000, "/new/") // takes about 5 s
	time.Sleep(manifestWithin)
	deadline := time.Now().Add(15 * time.Second)
	served := c.allServe("/new/")
	c.neverDenies("/new/", func() bool { return served() || time.Now().After(deadline) })
	c.within(time.Second, "use of the large manifest by every sidecar", served)
}

// TestNewRouteDeniedDuringOutage guards against 404 from a sidecar that can't know whether its
// manifest is the newest: the store refuses it but accepted a new manifest.
func TestNewRouteDeniedDuringOutage(t *testing.T) {
	c := newServingCluster(t, 120)
	c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	c.store.WriteManifest(5, "/new/")
	time.Sleep(manifestWithin)
	deadline := time.Now().Add(2 * time.Second)
	c.neverDenies("/new/", func() bool { return time.Now().After(deadline) })
	c.store.SetFaults(platformtest.StoreFaults{})
	c.eventually("use of the new manifest by every sidecar", c.allServe("/new/"))
}

// TestNewRouteDeniedAfterStaleRead guards against an answer of the store that is behind and counts as
// the present state: the sidecars have lost its history and read all rows again.
func TestNewRouteDeniedAfterStaleRead(t *testing.T) {
	c := newServingCluster(t, 123)
	version := c.store.Version()
	time.Sleep(2 * time.Second) // Both watchers get an answer.
	c.store.SetFaults(platformtest.StoreFaults{HistoryGone: true, ReadsAt: version - 1})
	time.Sleep(2 * time.Second) // The calls that wait for changes end.
	c.store.WriteManifest(5, "/new/")
	time.Sleep(manifestWithin)
	deadline := time.Now().Add(2 * time.Second)
	c.neverDenies("/new/", func() bool { return time.Now().After(deadline) })
	c.store.SetFaults(platformtest.StoreFaults{})
	c.eventually("use of the new manifest by every sidecar", c.allServe("/new/"))
}

// TestManifestLargerThanOneMessage guards against a manifest that is too large for the bound of a
// response of the store or of a message between sidecars, and is then never in force.
func TestManifestLargerThanOneMessage(t *testing.T) {
	c := newServingCluster(t, 121)
	c.store.WriteLargeManifest(5, 40_000, "/new/") // 6 MB
	c.eventually("use of the large manifest by every sidecar", c.allServe("/new/"))
}

// TestLargeManifestWithoutStore guards against a manifest that is too large for a message between
// sidecars: one that the store refuses then never gets it.
func TestLargeManifestWithoutStore(t *testing.T) {
	c := newServingCluster(t, 122)
	var refusing atomic.Bool
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusing.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		c.store.ServeHTTP(w, r)
	}))
	t.Cleanup(gate.Close)
	refused := c.instances[2]
	refused.stop()
	<-refused.done
	refused.settingsJSON = strings.Replace(refused.settingsJSON, c.address, gate.Listener.Addr().String(), 1)
	c.startInstance(refused)
	c.eventually("serving by every sidecar", c.allServe("/book/again"))
	refusing.Store(true)
	c.store.WriteLargeManifest(5, 40_000, "/new/")
	c.eventually("use of the large manifest by every sidecar", c.allServe("/new/"))
}

// TestNewRouteDeniedDuringUpload guards against 404 for a request that was compared with the manifest
// in use when its head arrived, after a newer one has come into force while its body arrived.
func TestNewRouteDeniedDuringUpload(t *testing.T) {
	c := newServingCluster(t, 157)
	c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	c.store.WriteManifest(5, "/new/")
	time.Sleep(manifestWithin)
	in := c.instances[0]
	body, writer := io.Pipe()
	r, err := platformtest.CallerRequest{ID: "upload", Method: http.MethodGet, Address: in.ip + ":9001", Host: "h", Path: "/new/upload", Timeout: 8 * time.Second}.HTTPRequest(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r.Body, r.ContentLength = body, -1
	statuses := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	// A shorter part would wait in the client together with the head.
	_, _ = writer.Write(make([]byte, 16<<10))
	time.Sleep(100 * time.Millisecond)
	c.store.SetFaults(platformtest.StoreFaults{})
	c.eventually("use of the new manifest by every sidecar", c.allServe("/new/"))
	_ = writer.Close()
	if status := <-statuses; status == http.StatusNotFound || status == 0 {
		t.Fatalf("a request for a route of the manifest in force got %d", status)
	}
}

// TestTooLargeBodyBetweenPolls guards against a body over the limit that is refused as if a newer
// manifest might allow it, while the store answers: only the last poll is too old.
func TestTooLargeBodyBetweenPolls(t *testing.T) {
	c := newCluster(t, 146, "ledger")
	in := c.instances[0]
	c.eventually("serving", c.allServe("/book/first"))
	for range 40 { // 4 s, longer than a poll
		status := c.sendHead(in, "POST /book/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: large\r\nContent-Length: 1000001\r\n\r\n")
		if status != http.StatusRequestEntityTooLarge {
			t.Fatalf("status %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
