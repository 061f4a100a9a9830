package dispatch_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
)

// fixedClock stands still.
type fixedClock clock.Millis

func (c fixedClock) Now() clock.Millis { return clock.Millis(c) }

// TestRefusedLocally guards against requests that are all sent to an owner that refuses them,
// and against refusing a nested request or a caller's only retry without asking the owner.
func TestRefusedLocally(t *testing.T) {
	is := is.New(t)
	cluster := &fakeCluster{owner: "a", replies: map[string][]dispatch.Reply{"any": {dispatch.NotRun(outcome.ReasonOverloaded).WithRetryAfter(100)}}}
	c := fixedClock(10_000)
	d := dispatch.NewDispatcher(c, cluster, cluster, balance.New(identity.NewLocation("r", "d")), dispatch.RetryLimits{})
	send := func(count int, nested bool, timeout clock.Millis) (sent, local int) {
		before := len(cluster.sentTo)
		for range count {
			r := &dispatch.Request{ID: "1", RequestURI: "/x", Host: "h", Keyed: true, Nested: nested, ReceivedAt: c.Now(), Deadline: c.Now() + timeout}
			result := d.Handle(context.Background(), manifest(true, true, 1), r)
			is.Equal(outcome.ReasonOf(result.Outcome), outcome.ReasonOverloaded)
			if result.RefusedLocally {
				local++
				is.True(result.RetryAfter >= 100 && result.RetryAfter <= timeout/3)
			}
		}
		return len(cluster.sentTo) - before, local
	}
	sent, local := send(200, false, 1000)
	is.Equal(sent+local, 200)
	is.True(sent < 50) // the first refusals and the probes, 1 in 1 + the requests of the last second
	sent, _ = send(20, true, 1000)
	is.Equal(sent, 20)
	sent, _ = send(20, false, 800) // 200 ms less than the route's timeout
	is.Equal(sent, 20)
}
