package dispatch_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/coldstart"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
)

// scriptedUpstream answers each call with the same reply, and probes with a cold time.
type scriptedUpstream struct {
	fakeUpstream
	reply     dispatch.Reply
	remaining clock.Millis
	probes    int
}

func (u *scriptedUpstream) Call(context.Context, keyspace.Process, *dispatch.Request, clock.Millis) dispatch.Reply {
	u.calls.Add(1)
	return u.reply
}

func (u *scriptedUpstream) ProbeCold(done func(coldstart.ProbeAnswer)) {
	u.probes++
	done(coldstart.ProbeAnswer{Answered: true, Stated: true, Remaining: u.remaining})
}

func newScripted(reply dispatch.Reply, s coldstart.Settings) (*dispatch.Executor, *scriptedUpstream) {
	u := &scriptedUpstream{fakeUpstream: fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: true}}, reply: reply}
	e := newExecutorOf(u, 4)
	e.UpdateColdSettings(s)
	return e, u
}

func serve(e *dispatch.Executor, times int) dispatch.Reply {
	var reply dispatch.Reply
	for range times {
		reply = e.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{})
	}
	return reply
}

// TestUnknownColdState guards against requests to an upstream of which no report is known, and
// against a bound on services that have none.
func TestUnknownColdState(t *testing.T) {
	is := is.New(t)
	e, u := newScripted(doneReply(), coldstart.Settings{PerSecond: 15, Slack: 8})
	reply := serve(e, 1)
	is.Equal(outcome.ReasonOf(reply.Outcome), outcome.ReasonCold)
	is.True(reply.RetryAfter > 0 && !reply.ReachedUpstream)
	is.Equal(u.calls.Load(), int64(0))
	is.Equal(e.ColdRefusals(), uint64(1))

	e, u = newScripted(doneReply(), coldstart.Settings{})
	e.HandleColdReport(1, 3000, true)
	serve(e, 100)
	is.Equal(u.calls.Load(), int64(100))
	is.Equal(e.Load().ColdFor, clock.Millis(0))
}

// TestWarmUpstreamTurnsCold guards against a warm upstream that turns cold between two reports
// and goes on getting requests, and against a load report that does not say so.
func TestWarmUpstreamTurnsCold(t *testing.T) {
	is := is.New(t)
	e, u := newScripted(doneReply(), coldstart.Settings{PerSecond: 15, Overshoot: 1.5, Slack: 8, Probes: true})
	e.HandleColdReport(1, 0, true)
	serve(e, 1)
	is.Equal(u.probes, 1) // The first report may be a late one.
	u.remaining = 2000
	reply := serve(e, 100)
	is.Equal(outcome.ReasonOf(reply.Outcome), outcome.ReasonCold)
	is.True(u.calls.Load() >= 25 && u.calls.Load() <= 30)
	is.Equal(u.probes, 2)
	is.Equal(reply.Load.ColdRate, 15)
	is.True(reply.Load.ColdFor > 1500 && reply.Load.ColdFor <= 2050)
	_, refusal, ok := e.AcceptBody("s", keyedRequest(), dispatch.RequestPolicy{}, 60_000)
	is.True(!ok)
	is.Equal(outcome.ReasonOf(refusal.Outcome), outcome.ReasonCold)
}

// TestMisdirectedRequestsCostNoToken guards against tokens that are spent for requests that the
// upstream answers with 421 or does not get, and against those that it refuses otherwise.
func TestMisdirectedRequestsCostNoToken(t *testing.T) {
	moved := dispatch.NotRun(outcome.ReasonMoved)
	moved.ReachedUpstream = true
	for name, test := range map[string]struct {
		reply dispatch.Reply
		free  bool
	}{"421": {moved, true}, "not sent": {unreachableReply(), true}, "503": {refusedByUpstream(), false}} {
		e, u := newScripted(test.reply, coldstart.Settings{PerSecond: 15, Overshoot: 1.5, Slack: 8, Probes: true})
		e.HandleColdReport(1, 0, true)
		serve(e, 100)
		if free := u.probes == 1; free != test.free {
			t.Errorf("%s: %d probes after 100 requests", name, u.probes)
		}
	}
}

// TestColdRefusals guards against a request without a key that is refused although another
// upstream is warm, one that asks every cold upstream, and one with a key that is sent again.
func TestColdRefusals(t *testing.T) {
	is := is.New(t)
	cold := dispatch.NotRun(outcome.ReasonCold).WithRetryAfter(70)
	cluster := &fakeCluster{replies: map[string][]dispatch.Reply{"any": {cold, doneReply()}}, owner: "a"}
	is.Equal(handle(cluster, manifest(false, false, 1)).Outcome.String(), "done")
	cluster = &fakeCluster{replies: map[string][]dispatch.Reply{"any": {cold}}, owner: "a"}
	is.Equal(handle(cluster, manifest(false, false, 3)).RetryAfter, clock.Millis(70))
	is.Equal(len(cluster.sentTo), 2)
	cluster = &fakeCluster{replies: map[string][]dispatch.Reply{"any": {cold, doneReply()}}, owner: "a"}
	is.Equal(outcome.ReasonOf(handle(cluster, manifest(false, true, 3)).Outcome), outcome.ReasonCold)
	is.Equal(len(cluster.sentTo), 1)
}
