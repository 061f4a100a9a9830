package app_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/platform/platformtest"
)

// evacuationBound is the time after which no request may reach an upstream out of use.
const evacuationBound = 5 * time.Second

// evacuationLoad sends requests from all instances until it is stopped, and counts those that
// were not served.
type evacuationLoad struct {
	stop             chan struct{}
	done             sync.WaitGroup
	keyed, keyedLost atomic.Int64
	unkeyedLost      atomic.Int64
}

func (c *cluster) startLoad(instances []*instance) *evacuationLoad {
	l := &evacuationLoad{stop: make(chan struct{})}
	for _, in := range instances {
		l.done.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				if status, _ := c.sendRequest(in, http.MethodPost, fmt.Sprintf("/book/%d", n), 1); status != http.StatusOK {
					l.unkeyedLost.Add(1)
				}
				l.keyed.Add(1)
				if status, _ := c.sendRequest(in, http.MethodGet, fmt.Sprintf("/browse/%d", n), n*7919%65536); status != http.StatusOK {
					l.keyedLost.Add(1)
				}
			}
		})
	}
	return l
}

func (l *evacuationLoad) end() {
	close(l.stop)
	l.done.Wait()
}

// ready waits until all keys are held and every instance serves requests with and without keys.
func (c *cluster) ready() {
	c.t.Helper()
	c.eventually("assignment of all keys", c.allKeysHeld)
	c.eventually("serving by every sidecar", func() bool {
		for _, in := range c.instances {
			for _, key := range []int{0, 20000, 40000, 65535} {
				if status, _ := c.sendRequest(in, http.MethodGet, "/browse/first", key); status != http.StatusOK {
					return false
				}
			}
			if status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// inDomain returns the instances in a failure domain.
func (c *cluster) inDomain(domain string) []*instance {
	return slices.DeleteFunc(slices.Clone(c.instances), func(in *instance) bool {
		return !strings.Contains(in.settingsJSON, fmt.Sprintf(`"failureDomain":%q`, domain))
	})
}

// heldKeys returns the number of keys that the upstreams in a failure domain hold.
func (c *cluster) heldKeys(domain string) int {
	held := 0
	for _, in := range c.inDomain(domain) {
		held += in.upstream.HeldKeyCount()
	}
	return held
}

// evacuatedRuns returns how many requests the upstreams in the failure domain d0 ran.
func (c *cluster) evacuatedRuns() int {
	runs := 0
	for _, in := range c.inDomain("d0") {
		runs += in.upstream.TotalRuns()
	}
	return runs
}

// TestEvacuation guards against requests that reach an upstream of an evacuated failure domain
// after the bound, keys that stay there, requests without a key that fail meanwhile, callers in
// the domain that are not served, and a domain that does not return to use.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 91, "wardrobe", "wardrobe", "wardrobe", "wardrobe", "ledger", "ledger")
	c.ready()
	load := c.startLoad(c.instances)
	c.store.Put("op", "evacuate/d0", []byte("{}"))
	acknowledged := time.Now()
	c.within(evacuationBound, "handover of all keys", func() bool {
		return c.heldKeys("d0") == 0 && c.heldKeys("d1") == 65536
	})
	t.Logf("keys moved within %v", time.Since(acknowledged).Round(time.Millisecond))
	time.Sleep(time.Until(acknowledged.Add(evacuationBound)))
	before, lost := c.evacuatedRuns(), load.keyedLost.Load()
	time.Sleep(2 * time.Second)
	is.Equal(c.evacuatedRuns(), before)
	is.Equal(load.keyedLost.Load(), lost) // Callers in the domain are served by others.
	is.Equal(load.unkeyedLost.Load(), int64(0))
	t.Logf("%d of %d requests with a key not served", lost, load.keyed.Load())
	c.store.Delete("op", "evacuate/d0")
	c.within(2500*time.Millisecond, "requests to the returned upstreams", func() bool { return c.evacuatedRuns() > before })
	c.eventually("keys at the returned upstreams", func() bool { return c.heldKeys("d0") > 0 && c.allKeysHeld() })
	load.end()
	is.Equal(load.unkeyedLost.Load(), int64(0))
}

// TestEvacuationDuringStoreOutage guards against a sidecar that starts while the store is down
// and sends requests to its upstream, or to others out of use, since it does not learn from other
// sidecars that they are.
func TestEvacuationDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 92, "wardrobe", "wardrobe", "ledger", "ledger")
	c.ready()
	restarted := c.instances[0]
	c.store.Put("op", "evacuate/d0", nil)
	time.Sleep(700 * time.Millisecond)
	restarted.stop()
	c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	<-restarted.done
	time.Sleep(evacuationBound)
	before := c.evacuatedRuns()
	c.startInstance(restarted)
	c.eventually("serving of callers by the restarted sidecar", func() bool {
		status, _ := c.sendRequest(restarted, http.MethodPost, "/book/again", 1)
		return status == http.StatusOK
	})
	load := c.startLoad(c.instances)
	time.Sleep(3 * time.Second)
	is.Equal(c.evacuatedRuns(), before)
	c.store.SetFaults(platformtest.StoreFaults{})
	c.eventually("handover of all keys", func() bool { return c.heldKeys("d1") == 65536 })
	is.Equal(c.evacuatedRuns(), before)
	load.end()
	is.Equal(load.unkeyedLost.Load(), int64(0))
}

// TestEvacuationEndsWhileHistoryIsDropped guards against a domain that stays out of use since the
// store no longer knows of the deletion, and against another sidecar that missed the deletion and
// takes the domain out of use again.
func TestEvacuationEndsWhileHistoryIsDropped(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 93, "wardrobe", "wardrobe", "ledger")
	c.ready()
	c.store.Put("op", "evacuate/d0", []byte("{}"))
	row := c.store.Row("op", "evacuate/d0")
	c.eventually("handover of all keys", func() bool { return c.instances[1].upstream.HeldKeyCount() == 65536 })
	c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	c.store.Delete("op", "evacuate/d0")
	c.store.DropHistory()
	time.Sleep(2 * time.Second)
	c.store.SetFaults(platformtest.StoreFaults{})
	c.eventually("return to use", func() bool { return c.instances[0].upstream.HeldKeyCount() > 0 && c.allKeysHeld() })
	for _, in := range c.instances {
		in.stop()
		<-in.done
	}
	for _, in := range c.instances { // They read all rows and have no tombstone.
		c.startInstance(in)
	}
	c.ready()
	for _, in := range c.instances {
		status, _ := post(t, in, "/rows", fmt.Sprintf(`{"rows":[{"key":"outOfUse/d0","version":%d,"value":"e30="}]}`, row.Version))
		is.Equal(status, http.StatusOK)
	}
	before := c.evacuatedRuns()
	time.Sleep(3 * time.Second)
	for _, in := range c.instances {
		is.True(strings.Contains(metricsOf(t, in), "briarwell_domains_out_of_use 0"))
	}
	c.ready()
	is.True(c.heldKeys("d0") > 0)
	is.True(c.evacuatedRuns() > before)
}

// TestReturnedUpstreamCountsAsCold guards against more requests than a cold upstream gets, sent to
// one that turned cold while its failure domain was out of use and has not reported since.
func TestReturnedUpstreamCountsAsCold(t *testing.T) {
	const perSecond = 20
	is := is.New(t)
	c := newCluster(t, 95, "ledger", "ledger")
	c.store.WriteColdManifest(5, perSecond)
	c.eventually("serving by every sidecar", func() bool {
		for _, in := range c.instances {
			if status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	count := func(text string) int {
		c.logs.mu.Lock()
		defer c.logs.mu.Unlock()
		return strings.Count(c.logs.buf.String(), text)
	}
	logged := func(text string) bool { return count(text) > 0 }
	c.eventually("bound in force", func() bool { return count("event=manifestInForce version=5") == len(c.instances) })
	// Requests of the last 1.1 s before a bound is in force are not known, so a cold upstream
	// gets none for that time. Then no request would reach the returned upstream: once it has
	// refused one, the sidecars use the warm upstream for the rest of the test.
	time.Sleep(1200 * time.Millisecond)
	c.store.Put("op", "evacuate/d0", []byte("{}"))
	c.eventually("evacuation", func() bool { return logged("outOfUse=true revision=5 own=true") })
	c.instances[0].silent.Store(true)
	time.Sleep(300 * time.Millisecond) // for the reports on their way
	c.instances[0].upstream.BecomeCold(time.Minute)
	before := c.evacuatedRuns()
	c.store.Delete("op", "evacuate/d0")
	c.sendAll(950 * time.Millisecond)
	is.True(logged("outOfUse=false"))
	runs := c.evacuatedRuns() - before
	t.Logf("%d requests to the returned upstream", runs)
	is.True(runs > 0)
	is.True(runs <= perSecond)
	is.True(!logged("cause=probe"))
}

// metricsOf returns the metrics of a sidecar.
func metricsOf(t *testing.T, in *instance) string {
	t.Helper()
	response, err := http.Get("http://" + in.ip + ":9006/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestKeysMoveToOwnerRegions guards against keys that are owned where a restricted route may not
// run its requests.
func TestKeysMoveToOwnerRegions(t *testing.T) {
	c := newCluster(t, 94, "wardrobe", "wardrobe", "ledger")
	c.ready()
	moved := c.instances[1]
	moved.stop()
	<-moved.done
	moved.settingsJSON = strings.Replace(moved.settingsJSON, `"region":"r"`, `"region":"q"`, 1)
	c.startInstance(moved)
	c.ready()
	manifest := string(c.store.Row("op", "config").Value)
	manifest = strings.Replace(strings.Replace(manifest, `"browse":{`, `"browse":{"allowed_regions":["q"],`, 1), "00000004", "00000005", 1)
	c.store.Put("op", "config", []byte(manifest))
	c.eventually("keys in the allowed region only", func() bool {
		return c.instances[0].upstream.HeldKeyCount() == 0 && moved.upstream.HeldKeyCount() == 65536
	})
}
