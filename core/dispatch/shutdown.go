package dispatch

import (
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shutdown"
)

// WithShutdown makes the dispatcher refuse requests by the plan that current returns, and returns
// the dispatcher. It must be called before the first request.
func (d *Dispatcher) WithShutdown(current func() shutdown.Plan) *Dispatcher {
	d.shutdownPlan = current
	return d
}

// refusedByShutdown reports whether the request may not be sent as this process is about to end. It
// then makes the reply a refusal.
func (p *pendingRequest) refusedByShutdown() bool {
	d := p.dispatcher
	if d.shutdownPlan == nil || d.shutdownPlan().Accepts(d.clock.Now(), p.request.Deadline, p.request.Nested) {
		return false
	}
	p.lastReply = NotRun(outcome.ReasonDraining).WithRetryAfter(shutdown.RetryAfter)
	return true
}
