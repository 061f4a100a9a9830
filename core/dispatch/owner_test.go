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

// local is an upstream in memory.
type local struct {
	state  dispatch.Local
	admits bool
	work   time.Duration
	body   []byte
	calls  atomic.Int64
	broken atomic.Int64
}

func (l *local) Local(clock.Millis) dispatch.Local      { return l.state }
func (l *local) Admits(clock.Millis, keyspace.Key) bool { return l.admits }
func (l *local) Call(ctx context.Context, _ keyspace.Process, _ *dispatch.Request, _ clock.Millis) dispatch.Reply {
	l.calls.Add(1)
	select {
	case <-time.After(l.work):
		reply := done()
		reply.Response.Body = l.body
		return reply
	case <-ctx.Done():
		l.broken.Add(1)
		return dispatch.Unknown(outcome.ReasonTimeout)
	}
}

func newOwner(l *local, slots int) *dispatch.Owner { return newLinkedOwner(l, slots, 0) }

func newLinkedOwner(l *local, slots int, mbps float64) *dispatch.Owner {
	c := system.Clock{}
	return dispatch.NewOwner(c, l, admission.NewGate(c, admission.Settings{Slots: slots}), mbps)
}

func keyed() *dispatch.Request {
	now := system.Clock{}.Now()
	return &dispatch.Request{ID: "1", Key: 5, Keyed: true, Arrived: now, Deadline: now + 500}
}

// TestOwnerRefuses guards against work for an upstream that is another one, has
// ended, leaves, or does not hold the key.
func TestOwnerRefuses(t *testing.T) {
	up := dispatch.Local{Service: "s", Up: true}
	for name, c := range map[string]struct {
		change func(*local)
		reason outcome.Reason
	}{
		"other service": {func(l *local) { l.state.Service = "t" }, outcome.ReasonMoved},
		"ended":         {func(l *local) { l.state.Up = false }, outcome.ReasonUnreachable},
		"leaving":       {func(l *local) { l.state.Leaving = true }, outcome.ReasonDraining},
		"closed":        {func(l *local) { l.state.Keyed, l.admits, l.state.Closed = true, true, true }, outcome.ReasonDraining},
		"not held":      {func(l *local) { l.state.Keyed = true }, outcome.ReasonMoved},
	} {
		l := &local{state: up}
		c.change(l)
		reply := newOwner(l, 1).Serve(context.Background(), "s", keyed(), dispatch.Rules{})
		if outcome.ReasonOf(reply.Outcome) != c.reason || l.calls.Load() != 0 {
			t.Errorf("%s: %v, %d calls", name, reply.Outcome, l.calls.Load())
		}
	}
}

// TestCallerLeaves guards against work that goes on for a caller that has left,
// and against a request that may be run once and is broken off.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	for _, idempotent := range []bool{true, false} {
		l := &local{state: dispatch.Local{Service: "s", Up: true}, work: 80 * time.Millisecond}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		newOwner(l, 1).Serve(ctx, "s", keyed(), dispatch.Rules{Idempotent: idempotent})
		is.Equal(l.broken.Load() == 1, idempotent)
	}
}

// TestLeavesWhileWaiting guards against a request that reaches the upstream after
// its caller has left.
func TestLeavesWhileWaiting(t *testing.T) {
	is := is.New(t)
	l := &local{state: dispatch.Local{Service: "s", Up: true}, work: 80 * time.Millisecond}
	o := newOwner(l, 1)
	go o.Serve(context.Background(), "s", keyed(), dispatch.Rules{})
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	reply := o.Serve(ctx, "s", keyed(), dispatch.Rules{})
	is.Equal(reply.Outcome.String(), "not-run")
	time.Sleep(120 * time.Millisecond)
	is.Equal(l.calls.Load(), int64(1))
}

// TestRuns guards against a call of an upstream that is taken for a caller's
// request, and against a caller that only claims to be one.
func TestRuns(t *testing.T) {
	is := is.New(t)
	l := &local{state: dispatch.Local{Service: "s", Up: true}, admits: true, work: 50 * time.Millisecond}
	o := newOwner(l, 2)
	is.True(!o.Runs("1"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.Serve(context.Background(), "s", keyed(), dispatch.Rules{})
	}()
	time.Sleep(20 * time.Millisecond)
	is.True(o.Runs("1"))
	is.True(!o.Runs("2"))
	is.True(!o.Runs(""))
	<-done
	is.True(!o.Runs("1"))
}

// TestSmallAnswersPass guards against small answers that wait behind large ones for
// the link: other requests wait for them.
func TestSmallAnswersPass(t *testing.T) {
	is := is.New(t)
	l := &local{state: dispatch.Local{Service: "s", Up: true}, admits: true, body: make([]byte, 90_000)}
	o := newLinkedOwner(l, 4, 11)
	now := system.Clock{}.Now()
	o.Serve(context.Background(), "s", keyed(), dispatch.Rules{Large: true, Wanted: 1000})
	large := o.Serve(context.Background(), "s", keyed(), dispatch.Rules{Large: true, Wanted: 1000})
	is.True(large.Schedule.Due(now, 0) > 50)
	l.body = make([]byte, 600)
	small := o.Serve(context.Background(), "s", keyed(), dispatch.Rules{})
	is.Equal(small.Schedule.Due(now, 0), clock.Millis(0))
}
