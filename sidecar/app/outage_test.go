package app_test

import (
	"net/http"
	"testing"
	"time"

	"briarwell.dev/platform/platformtest"
)

// TestStoreCallsInOutage guards against sidecars that together flood a store which refuses
// all calls: beside the region's watchers, which must notice its return, each asks less and
// less often. A manifest that is written at its return must still be in force soon.
func TestStoreCallsInOutage(t *testing.T) {
	const outage = 8 * time.Second
	services := make([]string, 10) // the first two are the watchers
	for i := range services {
		services[i] = "ledger"
	}
	c := newCluster(t, 56, services...)
	c.eventually("serving by every sidecar", func() bool {
		for _, in := range c.instances {
			if status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	time.Sleep(3 * time.Second) // All know who watches.
	c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	c.store.WriteManifest(5, "/ignored/") // Ends the calls that wait for changes.
	before := c.store.CallCount()
	time.Sleep(outage)
	calls := c.store.CallCount() - before
	// A watcher asks every 375 ms in the mean, the first one for two feeds; another sidecar
	// asks six times in 8 s, with pauses of 0.4, 0.8, 1.5 and then 3 s in the mean.
	allowed := 3*int(outage/(375*time.Millisecond)) + 6*(len(services)-2)
	t.Logf("%d calls of %d sidecars in %v", calls, len(services), outage)
	if calls > allowed {
		t.Errorf("%d calls in an outage, allowed %d", calls, allowed)
	}
	c.store.SetFaults(platformtest.StoreFaults{})
	c.store.WriteManifest(6, "/new/")
	c.within(2500*time.Millisecond, "use of the new manifest by every sidecar", func() bool {
		for _, in := range c.instances {
			if status, _ := c.sendRequest(in, http.MethodGet, "/new/", 1); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestManifestAfterSilentStore guards against sidecars that wait for a store which has become
// silent and answers later calls only, and keep an old manifest meanwhile. A manifest must be
// in force 2.5 s after it is written, once the store has been back for 3 s.
func TestManifestAfterSilentStore(t *testing.T) {
	c := newCluster(t, 77, "ledger", "ledger", "ledger")
	inForce := func(path string) func() bool {
		return func() bool {
			for _, in := range c.instances {
				if status, _ := c.sendRequest(in, http.MethodGet, path, 1); status != http.StatusOK {
					return false
				}
			}
			return true
		}
	}
	c.eventually("serving by every sidecar", inForce("/book/first"))
	time.Sleep(2 * time.Second) // All wait for changes.
	for i, silence := range []time.Duration{500 * time.Millisecond, 4500 * time.Millisecond} {
		c.store.SetFaults(platformtest.StoreFaults{Silent: true})
		time.Sleep(silence)
		c.store.SetFaults(platformtest.StoreFaults{})
		time.Sleep(3 * time.Second)
		path := []string{"/new/", "/newer/"}[i]
		c.store.WriteManifest(5+i, path)
		c.within(2500*time.Millisecond, "use of the new manifest by every sidecar", inForce(path))
	}
}
