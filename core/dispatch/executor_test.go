package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/recovery"
)

// fakeUpstream is an upstream in memory that answers after serviceTime.
type fakeUpstream struct {
	state       dispatch.UpstreamState
	holdsKey    bool
	serviceTime time.Duration
	body        []byte
	calls       atomic.Int64
	cancelled   atomic.Int64
}

func (u *fakeUpstream) State(clock.Millis) dispatch.UpstreamState { return u.state }
func (u *fakeUpstream) HoldsKey(clock.Millis, keyspace.Key) bool  { return u.holdsKey }
func (u *fakeUpstream) Call(ctx context.Context, _ keyspace.Process, _ *dispatch.Request, _ clock.Millis) dispatch.Reply {
	u.calls.Add(1)
	select {
	case <-time.After(u.serviceTime):
		reply := doneReply()
		reply.Response.Body = u.body
		return reply
	case <-ctx.Done():
		u.cancelled.Add(1)
		return dispatch.Unknown(outcome.ReasonTimeout)
	}
}

func newExecutor(u *fakeUpstream, slots int) *dispatch.Executor {
	return newExecutorWithLink(u, slots, 0)
}

func newExecutorOf(u dispatch.Upstream, slots int) *dispatch.Executor {
	c := system.Clock{}
	return dispatch.NewExecutor(c, u, admission.NewGate(c, admission.Settings{Slots: slots}), 0)
}

func newExecutorWithLink(u *fakeUpstream, slots int, linkMbps float64) *dispatch.Executor {
	c := system.Clock{}
	return dispatch.NewExecutor(c, u, admission.NewGate(c, admission.Settings{Slots: slots}), linkMbps)
}

func keyedRequest() *dispatch.Request {
	now := system.Clock{}.Now()
	return &dispatch.Request{ID: "1", Key: 5, Keyed: true, ReceivedAt: now, Deadline: now + 500}
}

// TestExecutorRefuses guards against running a request on an upstream of another service,
// or one that has ended, is leaving or does not hold the key.
func TestExecutorRefuses(t *testing.T) {
	running := dispatch.UpstreamState{Service: "s", Up: true}
	for name, test := range map[string]struct {
		change func(*fakeUpstream)
		reason outcome.Reason
	}{
		"other service": {func(u *fakeUpstream) { u.state.Service = "t" }, outcome.ReasonMoved},
		"ended":         {func(u *fakeUpstream) { u.state.Up = false }, outcome.ReasonUnreachable},
		"leaving":       {func(u *fakeUpstream) { u.state.Leaving = true }, outcome.ReasonDraining},
		"closed":        {func(u *fakeUpstream) { u.state.Keyed, u.holdsKey, u.state.Closed = true, true, true }, outcome.ReasonDraining},
		"not held":      {func(u *fakeUpstream) { u.state.Keyed = true }, outcome.ReasonMoved},
		"out of use":    {func(u *fakeUpstream) { u.state.OutOfUse = true }, outcome.ReasonOutOfUse},
		"out of use, keyed": {func(u *fakeUpstream) {
			u.state.Keyed, u.holdsKey, u.state.OutOfUse, u.state.OutOfUseClosed = true, true, true, true
		}, outcome.ReasonOutOfUse},
	} {
		u := &fakeUpstream{state: running}
		test.change(u)
		reply := newExecutor(u, 1).Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{})
		if outcome.ReasonOf(reply.Outcome) != test.reason || u.calls.Load() != 0 {
			t.Errorf("%s: outcome %v after %d calls of the upstream", name, reply.Outcome, u.calls.Load())
		}
	}
}

// TestExecutorRunsUntilKeysMove guards against refusing requests for keys of an upstream out of
// use while they are being handed over.
func TestExecutorRunsUntilKeysMove(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true, Keyed: true, OutOfUse: true}, holdsKey: true}
	reply := newExecutor(u, 1).Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{})
	is.Equal(reply.Outcome.String(), "done")
}

// TestCallerDisconnects guards against completing an idempotent request for a caller that
// has left, and against cancelling one that must not run twice.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	for _, idempotent := range []bool{true, false} {
		u := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, serviceTime: 80 * time.Millisecond}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		newExecutor(u, 1).Serve(ctx, "s", keyedRequest(), dispatch.RequestPolicy{Idempotent: idempotent})
		is.Equal(u.cancelled.Load() == 1, idempotent)
	}
}

// TestCallerDisconnectsWhileQueued guards against sending a queued request to the upstream
// after its caller has left.
func TestCallerDisconnectsWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, serviceTime: 80 * time.Millisecond}
		c := bubbleClock{start: time.Now()}
		e := dispatch.NewExecutor(c, u, admission.NewGate(c, admission.Settings{Slots: 1}), 0)
		serve := func(ctx context.Context) dispatch.Reply {
			return e.Serve(ctx, "s", &dispatch.Request{ID: "1", Key: 5, Keyed: true, ReceivedAt: c.Now(), Deadline: c.Now() + 500}, dispatch.RequestPolicy{})
		}
		defer time.Sleep(time.Second) // The first request ends before the bubble does.
		go serve(context.Background())
		time.Sleep(20 * time.Millisecond)
		is.Equal(u.calls.Load(), int64(1)) // It has the slot.
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		reply := serve(ctx)
		is.Equal(reply.Outcome.String(), "not-run")
		is.Equal(c.Now(), clock.Millis(40)) // It waited until its caller left.
		time.Sleep(120 * time.Millisecond)
		is.Equal(u.calls.Load(), int64(1))
	})
}

// TestCallerLeavesBeforeSend guards against sending a request that got a slot after its caller
// has left.
func TestCallerLeavesBeforeSend(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}}
	e := newExecutor(u, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(e.Serve(ctx, "s", keyedRequest(), dispatch.RequestPolicy{}).Outcome.String(), "not-run")
	is.Equal(u.calls.Load(), int64(0))
	is.Equal(e.Load().Running, 0)
}

// TestIsRunning guards against treating a nested request as a caller's own, and against a
// caller's request that only claims to be nested.
func TestIsRunning(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, holdsKey: true, serviceTime: 50 * time.Millisecond}
	e := newExecutor(u, 2)
	is.True(!e.IsRunning("1"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{})
	}()
	time.Sleep(20 * time.Millisecond)
	is.True(e.IsRunning("1"))
	is.True(!e.IsRunning("2"))
	is.True(!e.IsRunning(""))
	<-done
	is.True(!e.IsRunning("1"))
}

// TestSmallResponsesBypassLinkQueue guards against small responses that wait behind large
// ones for the link, as other requests wait for them.
func TestSmallResponsesBypassLinkQueue(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, holdsKey: true, body: make([]byte, 90_000)}
	e := newExecutorWithLink(u, 4, 11)
	now := system.Clock{}.Now()
	e.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{LargeResponse: true, LatencyBudget: 1000})
	large := e.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{LargeResponse: true, LatencyBudget: 1000})
	is.True(large.Schedule.Delay(now, 0) > 50)
	u.body = make([]byte, 600)
	small := e.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{})
	is.Equal(small.Schedule.Delay(now, 0), clock.Millis(0))
}

// TestAcceptBody guards against receiving a large body for which there is no slot or no
// time on the link: it takes the link from the others and is then refused.
func TestAcceptBody(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, holdsKey: true, serviceTime: 300 * time.Millisecond}
	e := newExecutorWithLink(u, 1, 14)
	policy := dispatch.RequestPolicy{LatencyBudget: 400}
	accepted := 0
	var reply dispatch.Reply
	for range 100 { // 60 kB take 38 ms on the link
		var ok bool
		if _, reply, ok = e.AcceptBody("s", keyedRequest(), policy, 60_000); ok {
			accepted++
		}
	}
	is.True(accepted >= 4 && accepted <= 8) // it may wait for 160 to 200 ms
	is.Equal(outcome.ReasonOf(reply.Outcome), outcome.ReasonOverloaded)
	is.True(reply.RetryAfter > 0 && reply.HasLoad && !reply.ReachedUpstream)
	_, reply, ok := e.AcceptBody("t", keyedRequest(), policy, 60_000)
	is.True(!ok)
	is.Equal(outcome.ReasonOf(reply.Outcome), outcome.ReasonMoved)

	busy := newExecutorWithLink(u, 1, 0)
	for range 3 {
		go busy.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{})
	}
	time.Sleep(20 * time.Millisecond)
	request := keyedRequest()
	request.Deadline = request.ReceivedAt // too late for any wait
	_, _, ok = busy.AcceptBody("s", request, policy, 60_000)
	is.True(!ok)
}

// panickingUpstream is an upstream whose calls panic.
type panickingUpstream struct{ fakeUpstream }

func (u *panickingUpstream) Call(context.Context, keyspace.Process, *dispatch.Request, clock.Millis) dispatch.Reply {
	panic("fault")
}

// TestPanicFreesSlot guards against a panic in the work of one request that keeps its slot,
// so that the others get fewer and fewer.
func TestPanicFreesSlot(t *testing.T) {
	is := is.New(t)
	u := &panickingUpstream{fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}, holdsKey: true}}
	c := system.Clock{}
	gate := admission.NewGate(c, admission.Settings{Slots: 2})
	e := dispatch.NewExecutor(c, u, gate, 0)
	for range 3 {
		err := recovery.Call(func() {
			e.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{LargeResponse: true})
		})
		is.True(err != nil)
	}
	is.Equal(gate.InFlight(), 0)
	is.True(!e.IsRunning("1"))
}
