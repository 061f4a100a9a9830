package dispatch

import (
	"errors"
	"math"
	"sync"
	"sync/atomic"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/coldstart"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/retryafter"
)

// ColdProber is an Upstream that can be asked whether it is cold.
type ColdProber interface {
	// ProbeCold asks the upstream in the background and passes its answer to done.
	ProbeCold(done func(coldstart.ProbeAnswer))
}

// coldGate bounds the requests to the upstream while it is cold: a coldstart.Limiter with a
// lock and a clock. No other lock is taken while its lock is held.
type coldGate struct {
	clock clock.Clock
	// prober is nil if the upstream can't be asked.
	prober  ColdProber
	enabled atomic.Bool
	refused atomic.Uint64

	mu      sync.Mutex
	limiter *coldstart.Limiter
}

func newColdGate(c clock.Clock, upstream Upstream) coldGate {
	prober, _ := upstream.(ColdProber)
	return coldGate{clock: c, prober: prober, limiter: coldstart.NewLimiter(c.Now())}
}

// coldRefusal returns the reply to a request that the limiter has refused. A caller that will
// not find a token gets a time that spreads the retries.
func (e *Executor) coldRefusal(r *Request, err error) Reply {
	reply := NotRun(outcome.ReasonCold)
	var refused *coldstart.RefusedError
	if errors.As(err, &refused) && refused.RetryAfter() > 0 {
		return reply.WithRetryAfter(refused.RetryAfter())
	}
	return reply.WithRetryAfter(retryafter.Spread(r.Deadline-e.clock.Now(), r.ID))
}

// coldRequest describes a request to the limiter.
func coldRequest(now clock.Millis, r *Request, policy RequestPolicy) coldstart.Request {
	request := coldstart.Request{Rank: policy.Rank, Nested: r.Nested}
	if !policy.CallerRetry && !r.Nested {
		request.MaxRetryAfter = retryafter.LongestDelay(r.Deadline - now)
	}
	return request
}

// check returns the error with which a request would be refused now.
func (g *coldGate) check(r *Request, policy RequestPolicy) error {
	if !g.enabled.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	return g.counted(g.limiter.Check(now, coldRequest(now, r, policy)))
}

// admit takes a token for a request that is sent now.
func (g *coldGate) admit(r *Request, policy RequestPolicy) (coldstart.Permit, error) {
	if !g.enabled.Load() {
		return coldstart.Permit{}, nil
	}
	g.mu.Lock()
	now := g.clock.Now()
	permit, err := g.limiter.Admit(now, coldRequest(now, r, policy))
	probe, due := g.beginProbe()
	g.mu.Unlock()
	if due {
		g.prober.ProbeCold(func(answer coldstart.ProbeAnswer) { g.endProbe(probe, answer) })
	}
	return permit, g.counted(err)
}

func (g *coldGate) beginProbe() (coldstart.Probe, bool) {
	if g.prober == nil {
		return coldstart.Probe{}, false
	}
	return g.limiter.BeginProbe(g.clock.Now())
}

func (g *coldGate) endProbe(probe coldstart.Probe, answer coldstart.ProbeAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.EndProbe(g.clock.Now(), probe, answer)
}

// counted counts a refusal.
func (g *coldGate) counted(err error) error {
	if err != nil {
		g.refused.Add(1)
	}
	return err
}

// finish gives the token back if the upstream got no request, or did not take it since it is
// not the one that the request was meant for.
func (g *coldGate) finish(permit coldstart.Permit, reply Reply) {
	if permit == (coldstart.Permit{}) {
		return
	}
	if _, refused := reply.Outcome.(outcome.NotRun); !refused || reply.ReachedUpstream && outcome.ReasonOf(reply.Outcome) != outcome.ReasonMoved {
		return
	}
	g.update(func(now clock.Millis) { g.limiter.GiveBack(now, permit) })
}

// update calls f with the time while the limiter is locked.
func (g *coldGate) update(f func(now clock.Millis)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.clock.Now())
}

// load returns ColdRate and ColdFor of balance.Load.
func (g *coldGate) load() (int, clock.Millis) {
	if !g.enabled.Load() {
		return 0, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining, cold := g.limiter.Cold(g.clock.Now())
	if !cold {
		return 0, 0
	}
	return int(math.Ceil(g.limiter.Rate())), remaining
}

// UpdateColdSettings replaces the bounds on the requests to a cold upstream.
func (e *Executor) UpdateColdSettings(s coldstart.Settings) {
	e.cold.update(func(now clock.Millis) {
		e.cold.limiter.UpdateSettings(now, s)
		e.cold.enabled.Store(s.Enabled())
	})
}

// HandleColdReport passes the remaining cold time in milliseconds of an accepted report to the
// limiter. Started is true for the first report of a process. Reports must be passed in the
// order in which they were accepted.
func (e *Executor) HandleColdReport(sequence int64, remaining clock.Millis, started bool) {
	e.cold.update(func(now clock.Millis) { e.cold.limiter.HandleReport(now, sequence, remaining, started) })
}

// HandleUpstreamEnd records that the process of the upstream has ended.
func (e *Executor) HandleUpstreamEnd() {
	e.cold.update(func(now clock.Millis) { e.cold.limiter.HandleProcessEnd(now) })
}

// HandleReturnToUse records that the failure domain of the upstream is in use again. It must be
// called before State says so, as a request may come in between. The upstream counts as cold for the service's cold start, until a report that was received more
// than 50 ms later says otherwise.
func (e *Executor) HandleReturnToUse() {
	e.cold.update(func(now clock.Millis) { e.cold.limiter.HandleReturn(now) })
}

// Cold reports whether the upstream is cold and the requests to it are bounded, and for how
// long, in milliseconds.
func (e *Executor) Cold() (clock.Millis, bool) {
	_, remaining := e.cold.load()
	return remaining, remaining > 0
}

// ColdRefusals returns the number of requests that were refused since the upstream was cold.
func (e *Executor) ColdRefusals() uint64 { return e.cold.refused.Load() }
