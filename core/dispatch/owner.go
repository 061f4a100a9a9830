package dispatch

import (
	"context"
	"errors"
	"sync"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/rebalance"
	"briarwell.dev/core/template"
)

const (
	// nestedPriority is added to the priority of requests that an upstream makes
	// while it runs another: refusing one wastes the work of the other.
	nestedPriority template.Priority = 1000
	// maxRoutePriority is that of a route of rank 0.
	maxRoutePriority template.Priority = 100
	// minRetryAfter and longestReturn bound the time in milliseconds after which
	// a refused caller is told to come back.
	minRetryAfter clock.Millis = 60
	maxRetryAfter clock.Millis = 800

	millisPerSecond = 1000
	percent         = 100
)

// UpstreamState is what the daemon knows of its own upstream at one moment.
type UpstreamState struct {
	Service string
	Process keyspace.Process
	// Up tells that the upstream is known and has not ended.
	Up bool
	// Leaving tells that it gets no new requests without a key.
	Leaving bool
	// Closed tells that it gets no new requests at all.
	Closed bool
	Keyed  bool
}

// Upstream is the port to the upstream of this instance.
type Upstream interface {
	// State returns what is known of the upstream at now.
	State(now clock.Millis) UpstreamState
	// HoldsKey tells whether the upstream holds the key at now.
	HoldsKey(now clock.Millis, key keyspace.Key) bool
	// Call sends the request to the upstream's life and waits for its answer.
	Call(ctx context.Context, life keyspace.Process, r *Request, left clock.Millis) Reply
}

// Executor handles the requests that the upstream of this instance may run. It is
// safe for concurrent use.
type Executor struct {
	clock    clock.Clock
	upstream Upstream
	gate     *admission.Gate
	mu       sync.Mutex
	keyMeter rebalance.Meter
	link     balance.Link
	// running counts the requests at the upstream by ID: a caller may use one twice.
	running map[string]int
}

// NewExecutor returns an owner that admits requests through the gate and answers over
// a link of the given bandwidth in Mbit/s, 0 for no limit.
func NewExecutor(c clock.Clock, upstream Upstream, gate *admission.Gate, mbps float64) *Executor {
	return &Executor{clock: c, upstream: upstream, gate: gate, link: balance.NewLink(mbps), running: make(map[string]int)}
}

// KeyRates returns the rates at which keys are asked for.
func (o *Executor) KeyRates() []rebalance.SpanRate {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keyMeter.Rates(o.clock.Now())
}

// Load returns the load of the upstream.
func (o *Executor) Load() balance.Load {
	load := balance.Load{
		Running: o.gate.InFlight(), Waiting: o.gate.Queued(), Slots: o.gate.Limit(), ServiceTime: o.gate.ServiceMillis(),
	}
	o.mu.Lock()
	rate := o.keyMeter.TotalRate(o.clock.Now())
	load.LinkMbps = int(o.link.Mbps())
	load.LinkBacklog = o.link.Backlog(o.clock.Now())
	o.mu.Unlock()
	load.DemandPercent = int(rate * float64(load.ServiceTime) / millisPerSecond / float64(max(load.Slots, 1)) * percent)
	return load
}

// Serve runs a request at the own upstream, if it may run it.
func (o *Executor) Serve(ctx context.Context, service string, r *Request, rules RequestPolicy) Reply {
	reply := o.serve(ctx, service, r, rules)
	o.withLink(func(l *balance.Link) {
		schedule := l.Reserve(o.clock.Now(), len(reply.Response.Body))
		if rules.LargeResponse {
			reply.Schedule = schedule
		}
	})
	reply.Load, reply.HasLoad = o.Load(), true
	if _, done := reply.Outcome.(outcome.Done); done {
		reply.Load.ClassServiceTime = o.gate.ClassServiceMillis(rules.Class)
	}
	return reply
}

// withLink changes the link's state.
func (o *Executor) withLink(change func(*balance.Link)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.link)
}

func (o *Executor) serve(ctx context.Context, service string, r *Request, rules RequestPolicy) Reply {
	if refused, ok := o.checkEligible(service, r); !ok {
		return refused
	}
	var wanted clock.Millis
	if rules.LatencyBudget > 0 {
		wanted = o.clock.Now() + rules.LatencyBudget
	}
	ticket := admission.NewRequest(priority(r, rules), r.Deadline).WithSoftDeadline(wanted, rules.Class)
	o.mu.Lock()
	o.keyMeter.Observe(o.clock.Now(), r.Key)
	putOff := o.link.LargeResponseDelay(o.clock.Now(), o.gate.ClassServiceMillis(rules.Class), rules.LatencyBudget)
	o.mu.Unlock()
	if rules.LargeResponse && putOff > 0 {
		return NotRun(outcome.ReasonOverloaded).WithRetryAfter(min(max(putOff, minRetryAfter), maxRetryAfter))
	}
	slot, err := o.gate.AcquireFor(ctx, ticket)
	if err != nil {
		return o.refusalReply(err)
	}
	if refused, ok := o.checkEligible(service, r); !ok {
		slot.ReleaseWithoutSample()
		return refused
	}
	now := o.clock.Now()
	if now >= r.Deadline {
		slot.ReleaseWithoutSample()
		return NotRun(outcome.ReasonQueueTimeout)
	}
	if !rules.Idempotent {
		// What may be run once only is finished, also for a caller that has left.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), (r.Deadline - now).Duration())
		defer cancel()
	}
	if rules.LargeResponse {
		o.withLink(func(l *balance.Link) { l.BeginLargeResponse() })
	}
	o.requestStarted(r.ID)
	reply := o.upstream.Call(ctx, o.upstream.State(now).Process, r, r.Deadline-now)
	o.requestEnded(r.ID)
	if rules.LargeResponse {
		o.withLink(func(l *balance.Link) { l.EndLargeResponse(len(reply.Response.Body)) })
	}
	if _, done := reply.Outcome.(outcome.Done); done {
		slot.Release()
	} else {
		slot.ReleaseWithoutSample()
	}
	return reply
}

// IsRunning tells whether a request with the ID is at the upstream: only then can the
// upstream make calls for it.
func (o *Executor) IsRunning(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running[id] > 0
}

func (o *Executor) requestStarted(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[id]++
}

func (o *Executor) requestEnded(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[id]--; o.running[id] == 0 {
		delete(o.running, id)
	}
}

// checkEligible refuses a request that the upstream may not run.
func (o *Executor) checkEligible(service string, r *Request) (Reply, bool) {
	now := o.clock.Now()
	local := o.upstream.State(now)
	switch {
	case local.Service != service:
		return NotRun(outcome.ReasonMoved), false
	case !local.Up:
		return NotRun(outcome.ReasonUnreachable), false
	case local.Closed || local.Leaving && !local.Keyed:
		return NotRun(outcome.ReasonDraining), false
	case local.Keyed && !o.upstream.HoldsKey(now, r.Key):
		return NotRun(outcome.ReasonMoved), false
	default:
		return Reply{}, true
	}
}

func priority(r *Request, rules RequestPolicy) template.Priority {
	p := maxRoutePriority - template.Priority(rules.Rank)
	if r.Nested {
		p += nestedPriority
	}
	return p
}

// refusalReply answers a request that got no slot.
func (o *Executor) refusalReply(err error) Reply {
	var refused *admission.RefusedError
	if !errors.As(err, &refused) {
		// The caller left, or its time was over, while the request waited.
		return NotRun(outcome.ReasonDeadlineExceeded)
	}
	return NotRun(refused.Reason()).WithRetryAfter(o.queueDrainTime())
}

// queueDrainTime returns how long the upstream needs for the requests that wait.
func (o *Executor) queueDrainTime() clock.Millis {
	load := o.Load()
	drain := clock.Millis(load.Waiting+1) * load.ServiceTime / clock.Millis(max(load.Slots, 1))
	return min(max(drain, minRetryAfter), maxRetryAfter)
}
