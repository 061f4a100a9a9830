package dispatch

import (
	"context"
	"errors"
	"math"
	"sync"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/balance"
	"briarwell.dev/core/capacity"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/memory"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/rebalance"
	"briarwell.dev/core/retryafter"
	"briarwell.dev/core/template"
)

const (
	// nestedPriority is added to the priority of nested requests: refusing one wastes the
	// work of its parent.
	nestedPriority template.Priority = 1000
	// maxRoutePriority is the priority of requests whose route has rank 0.
	maxRoutePriority template.Priority = 100
	// minRetryAfter and maxRetryAfter bound the time in milliseconds after which the caller
	// of a refused request is told to retry.
	minRetryAfter clock.Millis = 60
	maxRetryAfter clock.Millis = 800

	// memoryRetryAfter is the time in milliseconds after which the caller of a request for
	// whose response there was no memory is told to retry.
	memoryRetryAfter clock.Millis = 300

	millisPerSecond = 1000
	percent         = 100
)

// UpstreamState is the state of the upstream of this instance as known to its daemon.
type UpstreamState struct {
	Service string
	Process keyspace.Process
	// Up is true if the upstream is known and has not ended.
	Up bool
	// Leaving is true if the upstream gets no new requests without a key.
	Leaving bool
	// Closed is true if the upstream gets no new requests at all.
	Closed bool
	// Keyed is true if each key of the service has one owner.
	Keyed bool
	// OutOfUse is true if the failure domain of the instance is out of use: the upstream gets
	// no requests without a key. OutOfUseClosed is true if it gets none with a key either,
	// also for keys that have not been handed over.
	OutOfUse       bool
	OutOfUseClosed bool
}

// Upstream gives access to the upstream of this instance.
type Upstream interface {
	// State returns the state of the upstream at now.
	State(now clock.Millis) UpstreamState
	// HoldsKey reports whether the upstream holds the key at now.
	HoldsKey(now clock.Millis, key keyspace.Key) bool
	// Call sends the request to the given process of the upstream and waits for its
	// response. remaining is the time in milliseconds until the deadline.
	Call(ctx context.Context, process keyspace.Process, r *Request, remaining clock.Millis) Reply
}

// Executor runs requests on the upstream of this instance. It is safe for concurrent use.
type Executor struct {
	clock    clock.Clock
	upstream Upstream
	gate     *admission.Gate
	mu       sync.Mutex
	keyMeter rebalance.Meter
	// link is the outbound direction of the instance's link, inboundLink the other one.
	link        balance.Link
	inboundLink balance.Link
	// running counts the requests at the upstream by ID: a caller may use an ID twice.
	running map[string]int
	// responseSizes predicts the responses of the upstream by class.
	responseSizes memory.Estimate
	// failures is the share of requests that the upstream failed.
	failures failureShare
	// sustained is the capacity by which keys are moved.
	sustained capacity.Sustained
	cold      coldGate
	// retries holds the places promised to callers of refused requests.
	retries retryafter.Schedule
}

// NewExecutor returns an executor that admits requests through the gate and sends the
// responses over a link of the given bandwidth in Mbit/s, 0 if unlimited.
func NewExecutor(c clock.Clock, upstream Upstream, gate *admission.Gate, linkMbps float64) *Executor {
	return &Executor{
		clock: c, upstream: upstream, gate: gate, link: balance.NewLink(linkMbps), inboundLink: balance.NewLink(linkMbps), running: make(map[string]int),
		cold: newColdGate(c, upstream),
	}
}

// KeyRates returns the spans of keys that have requests, with their request rates.
func (e *Executor) KeyRates() []rebalance.SpanRate {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.keyMeter.Rates(e.clock.Now())
}

// Load returns the load of the upstream and of the link, without ClassServiceTime.
func (e *Executor) Load() balance.Load {
	learned := e.gate.Capacity()
	load := balance.Load{
		Running: e.gate.InFlight(), Waiting: e.gate.Queued(), Slots: learned.Limit, ServiceTime: e.gate.ServiceMillis(),
	}
	e.mu.Lock()
	load.Capacity = int(math.Round(e.sustained.Observe(e.clock.Now(), learned.PerSecond)))
	rate := e.keyMeter.TotalRate(e.clock.Now())
	load.LinkMbps = int(e.link.Mbps())
	load.LinkBacklog = e.link.Backlog(e.clock.Now())
	load.InboundBacklog = e.inboundLink.Backlog(e.clock.Now())
	load.FailurePercent = int(e.failures.at(e.clock.Now()) * percent)
	e.mu.Unlock()
	load.ColdRate, load.ColdFor = e.cold.load()
	if perSecond := load.RequestRate(); perSecond > 0 {
		load.DemandPercent = int(rate / perSecond * percent)
	}
	return load
}

// Serve runs a request on the upstream if the upstream may run it and the gate admits it.
// The reply includes the load, unless the request is served and the policy says that it is known.
func (e *Executor) Serve(ctx context.Context, service string, r *Request, policy RequestPolicy) Reply {
	reply := e.serve(ctx, service, r, policy)
	e.withLink(func(l *balance.Link) {
		schedule := l.Reserve(e.clock.Now(), len(reply.Response.Body))
		if policy.LargeResponse {
			reply.Schedule = schedule
		}
	})
	_, done := reply.Outcome.(outcome.Done)
	if done && policy.LoadKnown {
		return reply
	}
	reply.Load, reply.HasLoad = e.Load(), true
	if done {
		reply.Load.ClassServiceTime = e.gate.LearnedClassMillis(policy.Class)
	}
	return reply
}

// AcceptBody decides whether to receive the body of a request, and when its parts are to
// be read, so that bodies for which there is no time or no slot take no bandwidth, and
// those that do leave the link to small messages in between. It returns the reply to a
// refused request and false.
func (e *Executor) AcceptBody(service string, r *Request, policy RequestPolicy, bodyBytes int64) (balance.Schedule, Reply, bool) {
	schedule, reply, ok := e.acceptBody(service, r, policy, bodyBytes)
	if !ok {
		reply.Load, reply.HasLoad = e.Load(), true
	}
	return schedule, reply, ok
}

func (e *Executor) acceptBody(service string, r *Request, policy RequestPolicy, bodyBytes int64) (balance.Schedule, Reply, bool) {
	if refused, ok := e.checkEligible(service, r); !ok {
		return balance.Schedule{}, refused, false
	}
	now := e.clock.Now()
	e.mu.Lock()
	promised := e.retries.HasPlace(now, e.retryRequest(r, policy))
	e.mu.Unlock()
	if reason, refused := e.gate.WouldRefuse(e.admissionRequest(r, policy, promised)); refused {
		return balance.Schedule{}, NotRun(reason).WithRetryAfter(e.retryTime(r, policy, promised)), false
	}
	if err := e.cold.check(r, policy); err != nil {
		return balance.Schedule{}, e.coldRefusal(r, err), false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delay := e.inboundLink.BodyDelay(now, e.gate.ClassServiceMillis(policy.Class), policy.LatencyBudget, bodyBytes)
	if delay > 0 {
		return balance.Schedule{}, NotRun(outcome.ReasonOverloaded).WithRetryAfter(boundedRetryAfter(delay)), false
	}
	return e.inboundLink.Reserve(now, int(bodyBytes)), Reply{}, true
}

func (e *Executor) admissionRequest(r *Request, policy RequestPolicy, promised bool) *admission.Request {
	var softDeadline clock.Millis
	if policy.LatencyBudget > 0 {
		softDeadline = e.clock.Now() + policy.LatencyBudget
	}
	request := admission.NewRequest(priority(r, policy), r.Deadline).WithSoftDeadline(softDeadline, policy.Class)
	if promised {
		request.WithPromise()
	}
	return request
}

// retryRequest describes a request to the schedule of retries.
func (e *Executor) retryRequest(r *Request, policy RequestPolicy) retryafter.Request {
	return retryafter.Request{
		ID: r.ID, Class: policy.Class, Key: uint32(r.Key), Rank: policy.Rank, Deadline: r.Deadline,
		LatencyBudget: policy.LatencyBudget, Final: policy.CallerRetry,
	}
}

// RetryCounts returns the counts of the schedule of retries.
func (e *Executor) RetryCounts() retryafter.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries.Counts(e.clock.Now())
}

// boundedRetryAfter returns the time in milliseconds within minRetryAfter and
// maxRetryAfter.
func boundedRetryAfter(after clock.Millis) clock.Millis {
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// withLink calls f with the link while e.mu is held.
func (e *Executor) withLink(f func(*balance.Link)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.link)
}

func (e *Executor) serve(ctx context.Context, service string, r *Request, policy RequestPolicy) Reply {
	if refused, ok := e.checkEligible(service, r); !ok {
		return refused
	}
	now := e.clock.Now()
	e.mu.Lock()
	e.keyMeter.Observe(now, r.Key)
	promised := e.retries.Arrive(now, e.retryRequest(r, policy))
	delay := e.link.LargeResponseDelay(e.clock.Now(), e.gate.ClassServiceMillis(policy.Class), policy.LatencyBudget)
	e.mu.Unlock()
	if policy.LargeResponse && delay > 0 {
		return NotRun(outcome.ReasonOverloaded).WithRetryAfter(boundedRetryAfter(delay))
	}
	if err := e.cold.check(r, policy); err != nil {
		return e.coldRefusal(r, err)
	}
	slot, err := e.gate.AcquireFor(ctx, e.admissionRequest(r, policy, promised))
	if err != nil {
		reply := e.refusalReply(r, policy, promised, err)
		reply.Promised = promised
		return reply
	}
	// Only the first release counts; this one is for refusals and for a panic.
	defer slot.ReleaseWithoutSample()
	return e.serveAdmitted(ctx, service, r, policy, slot)
}

// serveAdmitted runs a request that holds a slot. The caller releases the slot if it is still
// held.
func (e *Executor) serveAdmitted(ctx context.Context, service string, r *Request, policy RequestPolicy, slot *admission.Slot) Reply {
	if refused, ok := e.checkEligible(service, r); !ok {
		slot.ReleaseWithoutSample()
		return refused
	}
	now := e.clock.Now()
	if now >= r.Deadline {
		slot.ReleaseWithoutSample()
		return NotRun(outcome.ReasonQueueTimeout)
	}
	if ctx.Err() != nil {
		// The caller left at the time at which a slot became free.
		slot.ReleaseWithoutSample()
		return NotRun(outcome.ReasonDeadlineExceeded)
	}
	if err := r.Memory.Expect(e.responseSizes.Expected(policy.Class, len(r.Body))); err != nil {
		slot.ReleaseWithoutSample()
		return NotRun(outcome.ReasonOverloaded).WithRetryAfter(memoryRetryAfter)
	}
	defer r.Memory.ReleaseExpected()
	permit, err := e.cold.admit(r, policy)
	if err != nil {
		return e.coldRefusal(r, err)
	}
	if !policy.Idempotent {
		// A request that must not run twice is completed even if its caller has left.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), (r.Deadline - now).Duration())
		defer cancel()
	}
	reply := e.callUpstream(ctx, r, policy, now)
	e.cold.finish(permit, reply)
	failed, known := failedByUpstream(ctx, reply)
	if known {
		e.recordFailure(failed)
	}
	if _, done := reply.Outcome.(outcome.Done); !done {
		slot.ReleaseWithoutSample()
		return reply
	}
	e.responseSizes.Record(policy.Class, len(reply.Response.Body))
	if failed {
		slot.ReleaseFailed()
	} else {
		slot.Release()
	}
	return reply
}

func (e *Executor) recordFailure(failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures.record(e.clock.Now(), failed)
}

// callUpstream sends the request to the upstream and counts it as running meanwhile.
func (e *Executor) callUpstream(ctx context.Context, r *Request, policy RequestPolicy, now clock.Millis) Reply {
	var reply Reply
	if policy.LargeResponse {
		e.withLink(func(l *balance.Link) { l.BeginLargeResponse() })
		defer func() { e.withLink(func(l *balance.Link) { l.EndLargeResponse(len(reply.Response.Body)) }) }()
	}
	e.requestStarted(r.ID)
	defer e.requestEnded(r.ID)
	reply = e.upstream.Call(ctx, e.upstream.State(now).Process, r, r.Deadline-now)
	if reply.Slowness > 0 {
		e.gate.ReportSlowness(reply.Slowness)
	}
	return reply
}

// IsRunning reports whether a request with the ID is running on the upstream. Only then
// can the upstream make nested requests for it.
func (e *Executor) IsRunning(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[id] > 0
}

func (e *Executor) requestStarted(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id]++
}

func (e *Executor) requestEnded(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[id]--; e.running[id] == 0 {
		delete(e.running, id)
	}
}

// checkEligible reports whether the upstream may run a request of the service, and returns
// the refusal if not.
func (e *Executor) checkEligible(service string, r *Request) (Reply, bool) {
	now := e.clock.Now()
	state := e.upstream.State(now)
	switch {
	case state.Service != service:
		return NotRun(outcome.ReasonMoved), false
	case !state.Up:
		return NotRun(outcome.ReasonUnreachable), false
	case state.OutOfUse && (!state.Keyed || state.OutOfUseClosed):
		return NotRun(outcome.ReasonOutOfUse), false
	case state.Closed || state.Leaving && !state.Keyed:
		return NotRun(outcome.ReasonDraining), false
	case state.Keyed && !e.upstream.HoldsKey(now, r.Key):
		return NotRun(outcome.ReasonMoved), false
	default:
		return Reply{}, true
	}
}

// priority returns the admission priority of a request.
func priority(r *Request, policy RequestPolicy) template.Priority {
	p := maxRoutePriority - template.Priority(policy.Rank)
	if r.Nested {
		p += nestedPriority
	}
	return p
}

// refusalReply returns the reply for a request that got no slot.
func (e *Executor) refusalReply(r *Request, policy RequestPolicy, promised bool, err error) Reply {
	var refused *admission.RefusedError
	if !errors.As(err, &refused) {
		// The caller left or the deadline passed while the request waited.
		return NotRun(outcome.ReasonDeadlineExceeded)
	}
	return NotRun(refused.Reason()).WithRetryAfter(e.retryTime(r, policy, promised))
}

// retryTime returns the time in milliseconds after which the caller of a refused request
// is told to retry. A caller with a further retry gets the next free time in the schedule.
// Nested requests get the drain time of the queue, as they go before the requests in it.
func (e *Executor) retryTime(r *Request, policy RequestPolicy, promised bool) clock.Millis {
	load := e.Load()
	if r.Nested {
		return queueDrainTime(load)
	}
	request := e.retryRequest(r, policy)
	request.Final = request.Final || promised
	upstreamCapacity := retryafter.Capacity{
		Slots: load.Slots, Waiting: load.Waiting, ServiceTime: load.ServiceTime, ClassServiceTime: e.gate.ClassServiceMillis(policy.Class),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries.Refuse(e.clock.Now(), upstreamCapacity, request)
}

// queueDrainTime returns the time in milliseconds that the upstream needs for the waiting
// requests, within minRetryAfter and maxRetryAfter.
func queueDrainTime(load balance.Load) clock.Millis {
	drainTime := clock.Millis(load.Waiting+1) * load.ServiceTime / clock.Millis(max(load.Slots, 1))
	return boundedRetryAfter(drainTime)
}
