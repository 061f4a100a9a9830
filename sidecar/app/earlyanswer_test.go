package app_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestNewRouteDeniedAfterDelayedAnswer guards against an answer of the store that counts as younger
// than it is: it came before the wait for changes was over, for a row that is no manifest, and
// was then delayed on its way.
func TestNewRouteDeniedAfterDelayedAnswer(t *testing.T) {
	c := newCluster(t, 151, "ledger")
	c.eventually("serving by the sidecar", c.allServe("/book/first"))
	const delay = 3300 * time.Millisecond
	var delaying, refusing, waiting atomic.Bool
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusing.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if delaying.Load() && strings.HasSuffix(r.URL.Path, "rows-feed") && r.URL.Query().Get("table") == "op" {
			waiting.Store(true)
			refusing.Store(true)
			recorder := httptest.NewRecorder()
			c.store.ServeHTTP(recorder, r)
			time.Sleep(delay)
			w.WriteHeader(recorder.Code)
			_, _ = w.Write(recorder.Body.Bytes()) // Fails if the sidecar has disconnected.
			return
		}
		c.store.ServeHTTP(w, r)
	}))
	t.Cleanup(gate.Close)
	in := c.instances[0]
	in.stop()
	<-in.done
	in.settingsJSON = strings.Replace(in.settingsJSON, c.address, gate.Listener.Addr().String(), 1)
	c.startInstance(in)
	c.eventually("serving by the sidecar", c.allServe("/book/again"))
	time.Sleep(2 * time.Second)
	delaying.Store(true)
	c.eventually("call that waits for changes", waiting.Load)
	c.store.Put("op", "other", []byte("x"))
	time.Sleep(50 * time.Millisecond) // The store answers.
	c.store.WriteManifest(5, "/newer/")
	time.Sleep(manifestWithin)
	deadline := time.Now().Add(2 * time.Second)
	c.neverDenies("/newer/", func() bool { return time.Now().After(deadline) })
}
