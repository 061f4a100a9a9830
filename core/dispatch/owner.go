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
	// topPriority is that of a route of rank 0.
	topPriority template.Priority = 100
	// shortestReturn and longestReturn bound the time in milliseconds after which
	// a refused caller is told to come back.
	shortestReturn clock.Millis = 60
	longestReturn  clock.Millis = 800

	millisPerSecond = 1000
	percent         = 100
)

// Local is what the daemon knows of its own upstream at one moment.
type Local struct {
	Service string
	Life    keyspace.Process
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
	// Local returns what is known of the upstream at now.
	Local(now clock.Millis) Local
	// Admits tells whether the upstream holds the key at now.
	Admits(now clock.Millis, key keyspace.Key) bool
	// Call sends the request to the upstream's life and waits for its answer.
	Call(ctx context.Context, life keyspace.Process, r *Request, left clock.Millis) Reply
}

// Owner handles the requests that the upstream of this instance may run. It is
// safe for concurrent use.
type Owner struct {
	clock    clock.Clock
	upstream Upstream
	gate     *admission.Gate
	mu       sync.Mutex
	meter    rebalance.Meter
	link     balance.Link
	// running counts the requests at the upstream by ID: a caller may use one twice.
	running map[string]int
}

// NewOwner returns an owner that admits requests through the gate and answers over
// a link of the given bandwidth in Mbit/s, 0 for no limit.
func NewOwner(c clock.Clock, upstream Upstream, gate *admission.Gate, mbps float64) *Owner {
	return &Owner{clock: c, upstream: upstream, gate: gate, link: balance.NewLink(mbps), running: make(map[string]int)}
}

// Demand returns the rates at which keys are asked for.
func (o *Owner) Demand() []rebalance.Busy {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.meter.Rates(o.clock.Now())
}

// Load returns the load of the upstream.
func (o *Owner) Load() balance.Load {
	load := balance.Load{
		Running: o.gate.InFlight(), Waiting: o.gate.Queued(), Slots: o.gate.Slots(), Service: o.gate.ServiceMillis(),
	}
	o.mu.Lock()
	rate := o.meter.Total(o.clock.Now())
	load.LinkMbps = int(o.link.Mbps())
	load.LinkWait = o.link.Wait(o.clock.Now())
	o.mu.Unlock()
	load.Demand = int(rate * float64(load.Service) / millisPerSecond / float64(max(load.Slots, 1)) * percent)
	return load
}

// Serve runs a request at the own upstream, if it may run it.
func (o *Owner) Serve(ctx context.Context, service string, r *Request, rules Rules) Reply {
	reply := o.serve(ctx, service, r, rules)
	o.linked(func(l *balance.Link) {
		schedule := l.Sent(o.clock.Now(), len(reply.Response.Body))
		if rules.Large {
			reply.Schedule = schedule
		}
	})
	reply.Load, reply.HasLoad = o.Load(), true
	if _, done := reply.Outcome.(outcome.Done); done {
		reply.Load.ClassService = o.gate.Expected(rules.Class)
	}
	return reply
}

// linked changes the link's state.
func (o *Owner) linked(change func(*balance.Link)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.link)
}

func (o *Owner) serve(ctx context.Context, service string, r *Request, rules Rules) Reply {
	if refused, ok := o.check(service, r); !ok {
		return refused
	}
	var wanted clock.Millis
	if rules.Wanted > 0 {
		wanted = o.clock.Now() + rules.Wanted
	}
	ticket := admission.NewTicket(priority(r, rules), r.Deadline).Wanted(wanted, rules.Class)
	o.mu.Lock()
	o.meter.Observe(o.clock.Now(), r.Key)
	putOff := o.link.PutOff(o.clock.Now(), o.gate.Expected(rules.Class), rules.Wanted)
	o.mu.Unlock()
	if rules.Large && putOff > 0 {
		return NotRun(outcome.ReasonOverloaded).After(min(max(putOff, shortestReturn), longestReturn))
	}
	slot, err := o.gate.Enter(ctx, ticket)
	if err != nil {
		return o.refusal(err)
	}
	if refused, ok := o.check(service, r); !ok {
		slot.Unsent()
		return refused
	}
	now := o.clock.Now()
	if now >= r.Deadline {
		slot.Unsent()
		return NotRun(outcome.ReasonQueueTimeout)
	}
	if !rules.Idempotent {
		// What may be run once only is finished, also for a caller that has left.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), (r.Deadline - now).Duration())
		defer cancel()
	}
	if rules.Large {
		o.linked(func(l *balance.Link) { l.Begin() })
	}
	o.began(r.ID)
	reply := o.upstream.Call(ctx, o.upstream.Local(now).Life, r, r.Deadline-now)
	o.ended(r.ID)
	if rules.Large {
		o.linked(func(l *balance.Link) { l.End(len(reply.Response.Body)) })
	}
	if _, done := reply.Outcome.(outcome.Done); done {
		slot.Release()
	} else {
		slot.Unsent()
	}
	return reply
}

// Runs tells whether a request with the ID is at the upstream: only then can the
// upstream make calls for it.
func (o *Owner) Runs(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running[id] > 0
}

func (o *Owner) began(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[id]++
}

func (o *Owner) ended(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[id]--; o.running[id] == 0 {
		delete(o.running, id)
	}
}

// check refuses a request that the upstream may not run.
func (o *Owner) check(service string, r *Request) (Reply, bool) {
	now := o.clock.Now()
	local := o.upstream.Local(now)
	switch {
	case local.Service != service:
		return NotRun(outcome.ReasonMoved), false
	case !local.Up:
		return NotRun(outcome.ReasonUnreachable), false
	case local.Closed || local.Leaving && !local.Keyed:
		return NotRun(outcome.ReasonDraining), false
	case local.Keyed && !o.upstream.Admits(now, r.Key):
		return NotRun(outcome.ReasonMoved), false
	default:
		return Reply{}, true
	}
}

func priority(r *Request, rules Rules) template.Priority {
	p := topPriority - template.Priority(rules.Rank)
	if r.Nested {
		p += nestedPriority
	}
	return p
}

// refusal answers a request that got no slot.
func (o *Owner) refusal(err error) Reply {
	var refused *admission.RefusedError
	if !errors.As(err, &refused) {
		// The caller left, or its time was over, while the request waited.
		return NotRun(outcome.ReasonDeadlineExceeded)
	}
	return NotRun(refused.Reason()).After(o.drainTime())
}

// drainTime returns how long the upstream needs for the requests that wait.
func (o *Owner) drainTime() clock.Millis {
	load := o.Load()
	drain := clock.Millis(load.Waiting+1) * load.Service / clock.Millis(max(load.Slots, 1))
	return min(max(drain, shortestReturn), longestReturn)
}
