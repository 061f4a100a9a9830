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

// TestRestartBesideLeftUpstream guards against a sidecar that is restarted beside an
// upstream that has left, and sends requests to it again: the upstream goes on with its
// reports until it exits, and does not say there that it leaves.
func TestRestartBesideLeftUpstream(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 48, "ledger", "ledger")
	left := c.instances[0]
	for _, in := range c.instances {
		in.upstream.ServiceTime = 40 * time.Millisecond // An unknown upstream is expected to be faster.
		c.eventually("use of both upstreams", func() bool {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/before", 1)
			return status == http.StatusOK && in.upstream.TotalRuns() > 0
		})
	}
	is.NoErr(left.upstream.Deregister(left.ip + ":9004"))
	c.eventually("a member row that names the left process", func() bool {
		return strings.Contains(string(c.store.Row("briarwell", "member/"+left.name).Value), `"leftLifeId":"u0"`)
	})
	left.stop()
	<-left.done
	c.startInstance(left)
	before := left.upstream.TotalRuns()
	c.eventually("serving by the restarted sidecar", func() bool {
		status, _ := c.sendRequest(left, http.MethodPost, "/book/ready", 1)
		return status == http.StatusOK
	})
	time.Sleep(time.Second) // time for reports and rows
	is.Equal(left.upstream.TotalRuns(), before)
	for range 30 {
		for _, in := range c.instances {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/after", 1)
			is.Equal(status, http.StatusOK)
		}
	}
	is.Equal(left.upstream.TotalRuns(), before)
}

// TestDeregistrationBeforeFirstReport guards against a restarted sidecar that acknowledges the
// deregistration of an upstream it has no report of, and uses the upstream again after a
// delayed report.
func TestDeregistrationBeforeFirstReport(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 74, "ledger", "ledger")
	left, other := c.instances[0], c.instances[1]
	for _, in := range c.instances {
		c.eventually("serving by "+in.name, func() bool {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/before", 1)
			return status == http.StatusOK
		})
	}
	left.silent.Store(true)
	left.stop()
	<-left.done
	c.startInstance(left)
	c.eventually("acknowledgement of the deregistration", func() bool { return left.upstream.Deregister(left.ip+":9004") == nil })
	acknowledged := time.Now()
	is.NoErr(left.upstream.SendHeartbeat(left.ip + ":9004")) // a delayed one
	time.Sleep(time.Until(acknowledged.Add(2500 * time.Millisecond)))
	before := left.upstream.TotalRuns()
	other.upstream.ServiceTime = 50 * time.Millisecond
	var senders sync.WaitGroup
	for i := range 10 { // more than the other upstream runs at once
		senders.Go(func() {
			for j := range 10 {
				c.sendRequest(other, http.MethodPost, fmt.Sprintf("/book/after-%d-%d", i, j), 1)
			}
		})
	}
	senders.Wait()
	is.True(other.upstream.TotalRuns() > 10)
	is.Equal(left.upstream.TotalRuns(), before)
}

// TestDepartureIsAcknowledgedOnceWritten guards against an upstream that is told that its
// shutdown is known while only the memory of its sidecar has it: a restarted sidecar would use
// the upstream again.
func TestDepartureIsAcknowledgedOnceWritten(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 75, "ledger", "ledger", "ledger")
	for _, in := range c.instances {
		c.eventually("serving by "+in.name, func() bool {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/before", 1)
			return status == http.StatusOK
		})
	}
	deregistered, draining := c.instances[0], c.instances[1]
	draining.silent.Store(true) // The test sends the heartbeats.
	draining.upstream.StartDraining()
	announce := map[*instance]func() error{
		deregistered: func() error { return deregistered.upstream.Deregister(deregistered.ip + ":9004") },
		draining:     func() error { return draining.upstream.SendHeartbeat(draining.ip + ":9004") },
	}
	c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	var announcers sync.WaitGroup
	for _, send := range announce {
		announcers.Go(func() {
			began := time.Now()
			if send() == nil {
				t.Error("a shutdown was acknowledged during the outage")
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("response after %s, the upstream waits for 1 s", took)
			}
		})
	}
	announcers.Wait()
	c.store.SetFaults(platformtest.StoreFaults{})
	for in, send := range announce {
		c.within(5*time.Second, "acknowledgement", func() bool { return send() == nil })
		row := string(c.store.Row("briarwell", "member/"+in.name).Value)
		is.True(strings.Contains(row, fmt.Sprintf(`"leftLifeId":%q`, in.upstream.ID)))
		is.True(strings.Contains(row, `"serving":false`))
	}
}

// TestSilentUpstreamFinishesItsWork guards against a request that is given up, or run again
// elsewhere, since its upstream sends no reports for a while.
func TestSilentUpstreamFinishesItsWork(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 51, "wardrobe", "wardrobe")
	c.eventually("assignment of all keys", c.allKeysHeld)
	for _, in := range c.instances {
		c.eventually("serving by "+in.name, func() bool {
			status, _ := c.sendRequest(in, http.MethodGet, "/browse/first", 7)
			return status == http.StatusOK
		})
		in.upstream.ServiceTime = 1500 * time.Millisecond
	}
	owner := c.instances[0]
	if !owner.upstream.HoldsKey(7) {
		owner = c.instances[1]
	}
	owner.silent.Store(true)
	time.Sleep(2600 * time.Millisecond)                                     // most of the hold time
	status, body := c.sendRequest(owner, http.MethodGet, "/browse/long", 7) // the hold ends meanwhile
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(body, owner.upstream.ID))
	runs := 0
	for _, in := range c.instances {
		runs += in.upstream.RunCount(owner.name + "-/browse/long-7")
	}
	is.Equal(runs, 1)
}

// TestUpstreamRestartedAfterClockStep guards against an upstream whose new process gets no keys
// or requests since the time of day was set back before its start.
func TestUpstreamRestartedAfterClockStep(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 57, "wardrobe", "wardrobe")
	c.eventually("assignment of all keys", c.allKeysHeld)
	in := c.instances[0]
	in.upstream.Restart("u9", time.Now().Add(-7*time.Second).UnixMilli())
	c.within(4*time.Second, "keys of the new process", c.allKeysHeld) // 1 s to know it, 3 s to serve again
	key := 0
	for !in.upstream.HoldsKey(key) {
		key++
	}
	status, body := c.sendRequest(c.instances[1], http.MethodGet, "/browse/after", key)
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(body, "u9 "))
}
