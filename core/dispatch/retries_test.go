package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
)

// bubbleClock reads the time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() clock.Millis { return clock.FromDuration(time.Since(c.start)) }

// TestPromisedRetry guards against a retry at the promised time that is refused again, while
// other requests at five times the capacity take the slots.
func TestPromisedRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// All other requests end before the bubble does, also after a failed assertion: the
		// bubble would panic otherwise, and the other tests of the package would not run.
		defer time.Sleep(30 * time.Second)
		u := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, serviceTime: 100 * time.Millisecond}
		c := bubbleClock{start: time.Now()}
		e := dispatch.NewExecutor(c, u, admission.NewGate(c, admission.Settings{Slots: 2}), 0)
		serve := func(id string, callerRetry bool, deadline, budget clock.Millis) dispatch.Reply {
			r := &dispatch.Request{ID: id, ReceivedAt: c.Now(), Deadline: deadline}
			return e.Serve(t.Context(), "s", r, dispatch.RequestPolicy{Class: "r", LatencyBudget: budget, CallerRetry: callerRetry})
		}
		for i := range 2000 {
			time.AfterFunc(time.Duration(i*10)*time.Millisecond, func() { serve("other", true, c.Now()+900, 300) })
		}
		time.Sleep(time.Second)
		servedRetries := uint64(0)
		for i := range 60 {
			time.Sleep(time.Duration(i) * time.Millisecond) // not in step with the others
			deadline := c.Now() + 900
			reply := serve("first", false, deadline, 300)
			if reply.Outcome.String() == "done" {
				continue
			}
			time.Sleep(reply.RetryAfter.Duration())
			if serve("second", false, deadline, 300-reply.RetryAfter).Outcome.String() == "done" {
				servedRetries++
			}
		}
		counts := e.RetryCounts()
		t.Logf("served %d retries; %+v", servedRetries, counts)
		is.True(counts.Promised >= 5)
		is.Equal(counts.Claimed, counts.Promised)
		is.True(servedRetries >= counts.Claimed)
	})
}
