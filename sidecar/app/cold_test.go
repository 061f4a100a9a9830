package app_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestColdUpstreams guards against upstreams that get more than their bound while they are cold,
// that get no requests once they are warm, and one whose reports do not come when it turns cold.
func TestColdUpstreams(t *testing.T) {
	const perSecond = 20 // the bound too: the settings have no slack and no overshoot
	is := is.New(t)
	c := newCluster(t, 117, "ledger", "ledger")
	var mu sync.Mutex
	starts := make(map[*instance][]time.Time)
	for _, in := range c.instances {
		in.upstream.BecomeCold(time.Minute)
		in.upstream.OnStart = func(string, string) {
			mu.Lock()
			defer mu.Unlock()
			starts[in] = append(starts[in], time.Now())
		}
	}
	c.store.WriteColdManifest(5, perSecond)
	logged := func(text string) int {
		c.logs.mu.Lock()
		defer c.logs.mu.Unlock()
		return strings.Count(c.logs.buf.String(), text)
	}
	// An upstream may have been logged as cold before: there is a bound until the first manifest.
	c.eventually("bound in force", func() bool { return logged("event=manifestInForce version=5") == len(c.instances) })
	c.eventually("cold upstreams", func() bool { return logged("event=upstreamCold") >= len(c.instances) })
	c.sendAll(3 * time.Second)
	for _, in := range c.instances {
		times := starts[in]
		is.True(len(times) >= perSecond && len(times) <= 3*perSecond)
		for i := perSecond; i < len(times); i++ {
			is.True(times[i].Sub(times[i-perSecond]) >= time.Second)
		}
	}
	is.True(logged("reason=cold") > 0)
	warm := logged("event=upstreamWarm")
	for _, in := range c.instances {
		in.upstream.BecomeCold(0)
	}
	c.eventually("warm upstreams", func() bool { return logged("event=upstreamWarm") == warm+len(c.instances) })
	before := len(starts[c.instances[0]])
	c.sendAll(500 * time.Millisecond)
	is.True(len(starts[c.instances[0]])-before > perSecond)
	for _, in := range c.instances {
		in.silent.Store(true)
	}
	time.Sleep(300 * time.Millisecond) // for the reports on their way
	c.instances[0].upstream.BecomeCold(time.Minute)
	c.sendAll(time.Second)
	is.Equal(logged("cause=probe"), 1)
}

// sendAll sends requests from all instances for a time. Each must be served or refused.
func (c *cluster) sendAll(length time.Duration) {
	var senders sync.WaitGroup
	end := time.Now().Add(length)
	for i := range 8 {
		senders.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				status, body := c.sendRequest(c.instances[i%2], http.MethodPost, fmt.Sprintf("/book/%d-%d-%d", i, n, end.UnixNano()), 1)
				if !slices.Contains([]int{http.StatusOK, http.StatusServiceUnavailable}, status) {
					c.t.Errorf("status %d: %s", status, body)
				}
			}
		})
	}
	senders.Wait()
}
