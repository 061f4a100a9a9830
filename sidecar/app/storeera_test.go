package app_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/platform/platformtest"
)

// storeAway is how long the store refuses all calls before it comes back from an older copy.
const storeAway = time.Second

// drill makes the store come back from an older copy.
func (c *cluster) drill(older platformtest.StoreCopy) {
	c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(storeAway)
	c.store.Restore(older)
	c.store.SetFaults(platformtest.StoreFaults{})
}

// epochLog records the epochs under which upstreams are granted keys.
type epochLog struct {
	mu sync.Mutex
	// highest has the highest epoch of each key, and the upstream that had it.
	highest map[uint64]grantedEpoch
	// broken describes the first grant with an epoch that is not above that of another upstream.
	broken string
}

type grantedEpoch struct {
	epoch    uint64
	upstream string
}

// watch records the grants of an upstream. It compares one key in keyStep.
func (l *epochLog) watch(u *platformtest.Upstream) {
	const keyStep = 16
	id := u.ID
	u.OnGrant = func(ranges [][3]uint64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range ranges {
			for key := (r[0] + keyStep - 1) / keyStep * keyStep; key <= r[1]; key += keyStep {
				if h := l.highest[key]; r[2] <= h.epoch && h.upstream != id && l.broken == "" {
					l.broken = fmt.Sprintf("%s is granted key %d with epoch %d, %s had it with epoch %d", id, key, r[2], h.upstream, h.epoch)
				}
				l.highest[key] = grantedEpoch{epoch: r[2], upstream: id}
			}
		}
	}
}

func (l *epochLog) finding() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

// start starts the sidecar of an idle instance, and the heartbeats of its upstream.
func (c *cluster) start(in *instance) {
	c.startInstance(in)
	in.silent.Store(false)
}

// heldBy reports whether the upstreams of the instances together hold every key, and each some.
func (c *cluster) heldBy(instances ...*instance) bool {
	keys := 0
	for _, in := range instances {
		if in.upstream.HeldKeyCount() == 0 {
			return false
		}
		keys += in.upstream.HeldKeyCount()
	}
	return keys == 65536
}

// TestEpochsRiseAfterOlderCopy guards against keys that are granted with an epoch that another
// upstream has had (review/12): the store comes back without the change that gave them away, and gives
// out the versions that were lost again.
func TestEpochsRiseAfterOlderCopy(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newIdleCluster(t, 78, "1s", "wardrobe", "wardrobe", "wardrobe", "wardrobe", "wardrobe")
	c.store.SetEra(1)
	epochs := epochLog{highest: make(map[uint64]grantedEpoch)}
	for _, in := range c.instances {
		in.silent.Store(true)
		epochs.watch(in.upstream)
	}
	first, joined, last := c.instances[:3], c.instances[3], c.instances[4]
	for _, in := range first {
		c.start(in)
	}
	go c.sendHeartbeats()
	c.eventually("assignment of all keys", func() bool { return c.heldBy(first...) })
	older := c.store.Copy()
	c.start(joined)
	c.eventually("keys of the upstream that joined", func() bool { return c.heldBy(c.instances[:4]...) })
	lost := c.store.Version()
	held := joined.upstream.HeldKeyCount()
	c.drill(older)
	for manifest := 5; c.store.Version() <= lost+3; manifest++ {
		c.store.WriteManifest(manifest)
		time.Sleep(300 * time.Millisecond)
	}
	c.start(last)
	c.eventually("keys of the upstream that joined last", func() bool { return c.heldBy(c.instances...) })
	time.Sleep(2 * time.Second)
	is.Equal(epochs.finding(), "")
	is.True(joined.upstream.HeldKeyCount() > held/2) // It has not lost its keys to their former owners.
}

// TestManifestAfterOlderCopy guards against a manifest that is never applied (review/15): the store
// comes back from an older copy and gives out the version of the manifest that is in use again.
func TestManifestAfterOlderCopy(t *testing.T) {
	t.Parallel()
	c := newIdleCluster(t, 79, "1s", "ledger", "ledger", "ledger")
	c.store.SetEra(1)
	for _, in := range c.instances {
		c.startInstance(in)
	}
	go c.sendHeartbeats()
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
	older := c.store.Copy()
	for range 10 {
		c.store.Put("other", "row", nil)
	}
	c.store.WriteManifest(5, "/lost/")
	c.eventually("use of the manifest that is lost", inForce("/lost/"))
	c.drill(older)
	c.store.WriteManifest(5, "/lost/") // The operator writes it again.
	time.Sleep(3 * time.Second)
	c.store.WriteManifest(6, "/new/")
	c.within(2500*time.Millisecond, "use of the new manifest by every sidecar", inForce("/new/"))
	c.within(2500*time.Millisecond, "404 for the removed route", func() bool {
		for _, in := range c.instances {
			if status, _ := c.sendRequest(in, http.MethodGet, "/lost/", 2); status != http.StatusNotFound {
				return false
			}
		}
		return true
	})
}

// TestManifestLostByStore guards against requests that are refused because the only manifest is lost:
// the store comes back from a copy that is older than it. The manifest in use stays, and is the newest.
func TestManifestLostByStore(t *testing.T) {
	t.Parallel()
	c := newIdleCluster(t, 81, "1s", "ledger", "ledger")
	c.store.SetEra(1)
	for _, in := range c.instances {
		c.startInstance(in)
	}
	go c.sendHeartbeats()
	responds := func(path string, expected int) func() bool {
		return func() bool {
			for _, in := range c.instances {
				if status, _ := c.sendRequest(in, http.MethodPost, path, 1); status != expected {
					return false
				}
			}
			return true
		}
	}
	c.eventually("serving by every sidecar", responds("/book/first", http.StatusOK))
	c.drill(platformtest.StoreCopy{})
	time.Sleep(3 * time.Second)
	c.within(2500*time.Millisecond, "404 without a route", responds("/nowhere/", http.StatusNotFound))
	c.within(2500*time.Millisecond, "serving by the manifest in use", responds("/book/lost", http.StatusOK))
	c.store.WriteManifest(5, "/new/")
	c.within(2500*time.Millisecond, "use of the next manifest", responds("/new/", http.StatusOK))
}

// TestDepartureAfterOlderCopy guards against an upstream that gets requests again although its
// departure was acknowledged: the store comes back without it, and the upstream's sidecar ends.
func TestDepartureAfterOlderCopy(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newIdleCluster(t, 80, "1s", "ledger", "ledger")
	c.store.SetEra(1)
	for _, in := range c.instances {
		c.startInstance(in)
	}
	go c.sendHeartbeats()
	left, other := c.instances[0], c.instances[1]
	for _, in := range c.instances {
		c.eventually("use of both upstreams", func() bool {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/before", 1)
			return status == http.StatusOK && in.upstream.TotalRuns() > 0
		})
	}
	older := c.store.Copy()
	c.eventually("acknowledgement of the departure", func() bool { return left.upstream.Deregister(left.ip+":9004") == nil })
	time.Sleep(time.Second)
	before := left.upstream.TotalRuns()
	c.drill(older)
	left.stop()
	<-left.done
	c.startInstance(left)
	var senders sync.WaitGroup
	for i := range 8 {
		senders.Go(func() {
			for j := range 20 {
				c.sendRequest(other, http.MethodPost, fmt.Sprintf("/book/after-%d-%d", i, j), 1)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	is.Equal(left.upstream.TotalRuns(), before)
	c.eventually("a row with the departure", func() bool {
		return strings.Contains(string(c.store.Row("briarwell", "member/"+left.name).Value), `"leftLifeId":"u0"`)
	})
}
