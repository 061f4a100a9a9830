package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
)

// fakeUpstream is an upstream in memory.
type fakeUpstream struct {
	state       dispatch.UpstreamState
	holdsKey    bool
	serviceTime time.Duration
	body        []byte
	calls       atomic.Int64
	cancelled   atomic.Int64
}

func (l *fakeUpstream) State(clock.Millis) dispatch.UpstreamState { return l.state }
func (l *fakeUpstream) HoldsKey(clock.Millis, keyspace.Key) bool  { return l.holdsKey }
func (l *fakeUpstream) Call(ctx context.Context, _ keyspace.Process, _ *dispatch.Request, _ clock.Millis) dispatch.Reply {
	l.calls.Add(1)
	select {
	case <-time.After(l.serviceTime):
		reply := doneReply()
		reply.Response.Body = l.body
		return reply
	case <-ctx.Done():
		l.cancelled.Add(1)
		return dispatch.Unknown(outcome.ReasonTimeout)
	}
}

func newExecutor(l *fakeUpstream, slots int) *dispatch.Executor {
	return newExecutorWithLink(l, slots, 0)
}

func newExecutorWithLink(l *fakeUpstream, slots int, mbps float64) *dispatch.Executor {
	c := system.Clock{}
	return dispatch.NewExecutor(c, l, admission.NewGate(c, admission.Settings{Slots: slots}), mbps)
}

func keyedRequest() *dispatch.Request {
	now := system.Clock{}.Now()
	return &dispatch.Request{ID: "1", Key: 5, Keyed: true, ReceivedAt: now, Deadline: now + 500}
}

// TestExecutorRefuses guards against work for an upstream that is another one, has
// ended, leaves, or does not hold the key.
func TestExecutorRefuses(t *testing.T) {
	up := dispatch.UpstreamState{Service: "s", Up: true}
	for name, c := range map[string]struct {
		change func(*fakeUpstream)
		reason outcome.Reason
	}{
		"other service": {func(l *fakeUpstream) { l.state.Service = "t" }, outcome.ReasonMoved},
		"ended":         {func(l *fakeUpstream) { l.state.Up = false }, outcome.ReasonUnreachable},
		"leaving":       {func(l *fakeUpstream) { l.state.Leaving = true }, outcome.ReasonDraining},
		"closed":        {func(l *fakeUpstream) { l.state.Keyed, l.holdsKey, l.state.Closed = true, true, true }, outcome.ReasonDraining},
		"not held":      {func(l *fakeUpstream) { l.state.Keyed = true }, outcome.ReasonMoved},
	} {
		l := &fakeUpstream{state: up}
		c.change(l)
		reply := newExecutor(l, 1).Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{})
		if outcome.ReasonOf(reply.Outcome) != c.reason || l.calls.Load() != 0 {
			t.Errorf("%s: %v, %d calls", name, reply.Outcome, l.calls.Load())
		}
	}
}

// TestCallerDisconnects guards against work that goes on for a caller that has left,
// and against a request that may be run once and is broken off.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	for _, idempotent := range []bool{true, false} {
		l := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, serviceTime: 80 * time.Millisecond}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		newExecutor(l, 1).Serve(ctx, "s", keyedRequest(), dispatch.RequestPolicy{Idempotent: idempotent})
		is.Equal(l.cancelled.Load() == 1, idempotent)
	}
}

// TestCallerDisconnectsWhileQueued guards against a request that reaches the upstream after
// its caller has left.
func TestCallerDisconnectsWhileQueued(t *testing.T) {
	is := is.New(t)
	l := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, serviceTime: 80 * time.Millisecond}
	o := newExecutor(l, 1)
	go o.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{})
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	reply := o.Serve(ctx, "s", keyedRequest(), dispatch.RequestPolicy{})
	is.Equal(reply.Outcome.String(), "not-run")
	time.Sleep(120 * time.Millisecond)
	is.Equal(l.calls.Load(), int64(1))
}

// TestIsRunning guards against a call of an upstream that is taken for a caller's
// request, and against a caller that only claims to be one.
func TestIsRunning(t *testing.T) {
	is := is.New(t)
	l := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, holdsKey: true, serviceTime: 50 * time.Millisecond}
	o := newExecutor(l, 2)
	is.True(!o.IsRunning("1"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{})
	}()
	time.Sleep(20 * time.Millisecond)
	is.True(o.IsRunning("1"))
	is.True(!o.IsRunning("2"))
	is.True(!o.IsRunning(""))
	<-done
	is.True(!o.IsRunning("1"))
}

// TestSmallResponsesBypassLinkQueue guards against small answers that wait behind large ones for
// the link: other requests wait for them.
func TestSmallResponsesBypassLinkQueue(t *testing.T) {
	is := is.New(t)
	l := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, holdsKey: true, body: make([]byte, 90_000)}
	o := newExecutorWithLink(l, 4, 11)
	now := system.Clock{}.Now()
	o.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{LargeResponse: true, LatencyBudget: 1000})
	large := o.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{LargeResponse: true, LatencyBudget: 1000})
	is.True(large.Schedule.Delay(now, 0) > 50)
	l.body = make([]byte, 600)
	small := o.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{})
	is.Equal(small.Schedule.Delay(now, 0), clock.Millis(0))
}
