package app_test

import (
	"testing"
	"time"
)

// TestStoreCallsOfRestarts guards against sidecars that watch the store at their start
// although others do so for them. All calls share the store's rates, and each change wakes
// every watching sidecar.
func TestStoreCallsOfRestarts(t *testing.T) {
	const restarts = 6
	services := make([]string, restarts+2) // the first two are the watchers
	for i := range services {
		services[i] = "ledger"
	}
	c := newCluster(t, 54, services...)
	c.eventually("all member rows", func() bool {
		for _, in := range c.instances {
			if c.store.Row("briarwell", "member/"+in.name).Version == 0 {
				return false
			}
		}
		return true
	})
	time.Sleep(3 * time.Second) // All know who watches.
	before := c.store.CallCount()
	for _, in := range c.instances[2:] {
		in.stop()
		<-in.done
		c.startInstance(in)
	}
	c.eventually("new member rows", func() bool {
		// Each sidecar writes its row when it stops and when it is back.
		return c.store.CallCount()-before >= 4*restarts
	})
	time.Sleep(3 * time.Second)
	calls := c.store.CallCount() - before
	// Of each restart: two reads, two writes, a call of the watcher that returns for each
	// write, and one more.
	t.Logf("%d calls of %d restarts", calls, restarts)
	if allowed := 7 * restarts; calls > allowed {
		t.Errorf("%d restarts made %d calls to the store, allowed %d", restarts, calls, allowed)
	}
}
