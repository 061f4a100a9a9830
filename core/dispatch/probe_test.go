package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/identity"
)

// unreachableCluster is a cluster whose only owner can't be reached while away is set. Each
// probe takes 20 ms.
type unreachableCluster struct {
	fakeCluster

	away   atomic.Bool
	sends  atomic.Int64
	probes atomic.Int64
}

func (c *unreachableCluster) Send(context.Context, dispatch.Target, string, *dispatch.Request, dispatch.RequestPolicy) dispatch.Reply {
	c.sends.Add(1)
	if c.away.Load() {
		return unreachableReply()
	}
	return doneReply()
}

func (c *unreachableCluster) Probe(_ string, report func(bool)) {
	c.probes.Add(1)
	go func() {
		time.Sleep(20 * time.Millisecond)
		report(!c.away.Load())
	}()
}

// callEvery sends a request each interval until stop is closed, and sends the time of each
// served one.
func callEvery(d *dispatch.Dispatcher, interval time.Duration, stop chan struct{}, served chan<- time.Time) {
	m := manifest(true, true, 1)
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		go func() {
			now := system.Clock{}.Now()
			r := &dispatch.Request{ID: "1", Method: "GET", RequestURI: "/x", Host: "h", Keyed: true, ReceivedAt: now, Deadline: now + 900}
			if result := d.Handle(context.Background(), m, r); result.Response.Status == 200 {
				select {
				case served <- time.Now():
				default:
				}
			}
		}()
	}
}

// TestOwnerServesAfterShortAbsence replays the restart of an owner's daemon, or a cut of its
// link, of 1.5 s under load: 50 requests a second for its keys. Pauses that double after each
// failure go on for more than a second after it is back.
func TestOwnerServesAfterShortAbsence(t *testing.T) {
	is := is.New(t)
	c := &unreachableCluster{fakeCluster: fakeCluster{owner: "a"}}
	c.away.Store(true)
	d := dispatch.NewDispatcher(system.Clock{}, c, c, balance.New(identity.NewLocation("r", "d")), dispatch.RetryLimits{Ratio: 1, MinPerSecond: 100}).WithProber(c)
	stop, served := make(chan struct{}), make(chan time.Time, 1)
	defer close(stop)
	go callEvery(d, 20*time.Millisecond, stop, served)
	time.Sleep(1500 * time.Millisecond)
	t.Logf("%d sends and %d probes during the absence", c.sends.Load(), c.probes.Load())
	is.True(c.sends.Load() <= 6)
	is.True(c.probes.Load() <= 10)
	c.away.Store(false)
	back := time.Now()
	select {
	case at := <-served:
		t.Logf("served %s after the owner was back", at.Sub(back))
		is.True(at.Sub(back) < 400*time.Millisecond)
	case <-time.After(3 * time.Second):
		t.Fatal("not served within 3 s")
	}
}
