package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/memory"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/retry"
	"briarwell.dev/core/retryafter"
	"briarwell.dev/core/routes"
	"briarwell.dev/core/shutdown"
)

const (
	// ownerPollInterval is the time in milliseconds between two look-ups of a key's owner
	// while the owner is changing.
	ownerPollInterval clock.Millis = 25
	// ownerWaitShare is the share of the route's target latency for which a request
	// waits for an owner of its key before it is refused.
	ownerWaitShare = 0.25
	// minRemainingTime is the time in milliseconds before the deadline from which a request
	// is not sent again: a round trip between regions takes 40 ms.
	minRemainingTime clock.Millis = 10
	// firstAttemptTolerance is the time in milliseconds by which the timeout of a request
	// may be shorter than that of its route without the request counting as a retry by the
	// caller: some callers allow less time than the route even for the first attempt.
	firstAttemptTolerance clock.Millis = 150
	// unresponsiveAfter is the time in milliseconds without a response after which a daemon
	// may be frozen: many requests to a working daemon end within it.
	unresponsiveAfter clock.Millis = 600
	// MaxSends bounds the number of times that one request is sent to a daemon.
	MaxSends = 6
	// maxOverloadRefusals is the number of refusals by overloaded daemons, or for cold
	// upstreams, after which a request is refused: the daemons were selected by load, so the others are no better.
	// A nested request is sent to more daemons, as refusing it wastes the work of its
	// parent.
	maxOverloadRefusals       = 2
	maxNestedOverloadRefusals = 4
)

// Target is an instance that may run a request.
type Target struct {
	balance.Candidate

	// Address is the address at which its daemon accepts requests.
	Address string
}

// Resolver returns the instances to which requests can be sent.
type Resolver interface {
	// Owner returns the instance that owns the request's key, or false if none is known.
	// A key that moves belongs to its previous owner until the assignment changes.
	Owner(service string, r *Request) (Target, bool)
	// Instances returns the instances that may run requests without a key.
	Instances(service string) []Target
	// DispatcherCount returns the number of instances on which requests originate.
	DispatcherCount() int
}

// Sender sends a request to the daemon of the target, or directly to the upstream if the
// target is this instance, and returns the reply.
type Sender interface {
	Send(ctx context.Context, to Target, service string, r *Request, policy RequestPolicy) Reply
}

// RequestPolicy is what the instance that runs a request needs to know about its route.
type RequestPolicy struct {
	Idempotent bool
	// Rank is the rank of the route in admission; 0 goes first.
	Rank int
	// LargeResponse is true if a large response is expected.
	LargeResponse bool
	// LatencyBudget is the time in milliseconds from now within which the response should
	// arrive, 0 if the route has no target latency or the request is nested.
	LatencyBudget clock.Millis
	// Class groups requests of similar service time.
	Class string
	// LoadKnown is true if the dispatcher knows the load of the upstream's instance well
	// enough: the reply to a request that the upstream serves needs none.
	LoadKnown bool
	// CallerRetry is true if the request is known to be the retry of a caller, who has no
	// further one. A retry after less than firstAttemptTolerance is not known.
	CallerRetry bool
}

// Dispatcher handles the requests that originate on this instance: it selects their
// targets and retries. It is safe for concurrent use.
type Dispatcher struct {
	clock        clock.Clock
	resolver     Resolver
	sender       Sender
	mu           sync.Mutex
	balancer     *balance.Balancer
	retryBudgets map[string]*retry.Budget
	retryLimits  RetryLimits
	// shutdownPlan returns the current plan, nil for a process that goes on.
	shutdownPlan func() shutdown.Plan
	// responseSizes predicts the responses by route.
	responseSizes memory.Estimate
}

// RetryLimits bounds the retries to a service by all dispatchers together.
type RetryLimits struct {
	// Ratio is the ratio of retries to first attempts, MinPerSecond the number of retries
	// per second allowed in addition.
	Ratio        float64
	MinPerSecond float64
}

// NewDispatcher returns a dispatcher. The balancer must not be used by others.
func NewDispatcher(c clock.Clock, resolver Resolver, sender Sender, balancer *balance.Balancer, retryLimits RetryLimits) *Dispatcher {
	return &Dispatcher{clock: c, resolver: resolver, sender: sender, balancer: balancer, retryBudgets: make(map[string]*retry.Budget), retryLimits: retryLimits}
}

// Loads returns the recently reported loads by instance.
func (d *Dispatcher) Loads() map[string]balance.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Loads(d.clock.Now())
}

// Handle sends a request to its target, retries if allowed, and returns the result. The
// same version of the manifest applies to all attempts.
func (d *Dispatcher) Handle(ctx context.Context, manifest *routes.Manifest, r *Request) Result {
	path := r.Path()
	route, ok := manifest.Match(r.Host, path)
	if !ok && manifest.MayMatch(r.Host, path) {
		return Result{Reply: NotRun(outcome.ReasonUnsupportedRoute), RouteFound: true, ManifestVersion: manifest.Version()}
	}
	if !ok {
		return Result{ManifestVersion: manifest.Version()}
	}
	service := route.PickService()
	manifestService, _ := manifest.Service(service)
	if route.Unusable || manifestService.Unusable {
		return Result{
			Reply:      NotRun(outcome.ReasonUnsupportedRoute),
			RouteFound: true, ManifestVersion: manifest.Version(), Route: route.Name, Service: service,
		}
	}
	if manifestService.Keyed && r.KeyInvalid {
		return Result{
			Reply:      NotRun(outcome.ReasonInvalidKey),
			RouteFound: true, ManifestVersion: manifest.Version(), Route: route.Name, Service: service,
		}
	}
	deadline := r.Deadline
	if route.Timeout > 0 {
		deadline = min(deadline, r.ReceivedAt+route.Timeout)
	}
	bounded := *r
	bounded.Deadline = deadline
	bounded.Keyed = r.Keyed && manifestService.Keyed
	ctx, cancel := context.WithTimeout(ctx, (deadline - d.clock.Now()).Duration())
	defer cancel()
	d.retryBudget(service).RecordFirstAttempt(d.clock.Now())
	p := pendingRequest{dispatcher: d, route: route, service: service, request: &bounded, keyed: manifestService.Keyed, excluded: make(map[string]bool)}
	if len(route.AllowedRegions) == 0 {
		p.neededRegions = manifest.RestrictedRegions(service)
	}
	result := p.run(ctx)
	result.RouteFound, result.ManifestVersion = true, manifest.Version()
	result.Route, result.Service = route.Name, service
	return result
}

func (d *Dispatcher) retryBudget(service string) *retry.Budget {
	// Each dispatcher uses an equal part of the limit, without coordination.
	minPerSecond := max(d.retryLimits.MinPerSecond/float64(max(d.resolver.DispatcherCount(), 1)), minRetryRate)
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.retryBudgets[service]
	if !ok {
		b = retry.NewBudget(d.retryLimits.Ratio, minPerSecond).WithBurst(retryBurst)
		d.retryBudgets[service] = b
	}
	b.SetMinPerSecond(minPerSecond)
	return b
}

const (
	// retryBurst bounds the retries of one dispatcher that accumulate in a quiet time.
	retryBurst = 2
	// nestedRetryReserve is the part of a retry that is reserved for nested requests.
	nestedRetryReserve = 0.5
	// minRetryRate is the lowest rate in retries per second: next to none, but above zero,
	// which retry.Budget replaces by its default.
	minRetryRate = 0.001
)

// pendingRequest is the state of a request that has no final reply yet.
type pendingRequest struct {
	dispatcher *Dispatcher
	route      routes.Route
	service    string
	request    *Request
	keyed      bool
	// neededRegions are the regions that restricted routes to the service need, nil if the
	// request is of such a route itself.
	neededRegions []string
	// excluded holds the instances that are not tried again.
	excluded map[string]bool
	// upstreamAttempts counts the attempts that reached an upstream, sends all attempts.
	upstreamAttempts int
	sends            int
	// overloadRefusals counts the refusals by overloaded daemons and for cold upstreams.
	overloadRefusals int
	lastInstance     string
	lastReply        Reply
	// firstUnknown is the first reply after which the request may have been run.
	firstUnknown *Reply
}

func (p *pendingRequest) run(ctx context.Context) Result {
	p.lastReply = NotRun(outcome.ReasonNoOwner)
	for p.sends < MaxSends && !p.refusedByShutdown() {
		target, ok := p.nextTarget(ctx)
		// The wait for an owner may last until the request can't be sent any more.
		if !ok || p.refusedByShutdown() {
			break
		}
		if !p.reserveResponse() {
			// Other instances would need the memory here too.
			p.lastReply = NotRun(outcome.ReasonOverloaded).WithRetryAfter(memoryRetryAfter)
			break
		}
		p.lastReply = p.send(ctx, target)
		p.request.Memory.ReleaseExpected()
		if _, unknown := p.lastReply.Outcome.(outcome.Unknown); unknown && p.firstUnknown == nil {
			first := p.lastReply
			p.firstUnknown = &first
		}
		if !p.shouldRetry(ctx) {
			break
		}
	}
	if _, refused := p.lastReply.Outcome.(outcome.NotRun); refused && p.firstUnknown != nil {
		// The last instance did not run the request, but an earlier one may have.
		p.lastReply = *p.firstUnknown
	}
	now := p.dispatcher.clock.Now()
	if _, refused := p.lastReply.Outcome.(outcome.NotRun); refused && p.lastReply.RetryAfter == 0 && now+minRemainingTime < p.request.Deadline {
		// No instance has said when the request can be served.
		p.lastReply.RetryAfter = retryafter.Spread(p.request.Deadline-now, p.request.ID)
	}
	deadlineExceeded := now >= p.request.Deadline
	return Result{Reply: p.lastReply, DeadlineExceeded: deadlineExceeded, Instance: p.lastInstance, Attempts: p.sends}
}

// reserveResponse takes memory for the expected response, without which a request would run
// whose response has to be dropped. It returns false if there is none.
func (p *pendingRequest) reserveResponse() bool {
	expected := p.dispatcher.responseSizes.Expected(p.route.Name, len(p.request.Body))
	return p.request.Memory.Expect(expected) == nil
}

func (p *pendingRequest) send(ctx context.Context, target Target) Reply {
	d := p.dispatcher
	p.sends++
	p.lastInstance = target.Name
	sentAt := d.clock.Now()
	policy := RequestPolicy{Idempotent: p.route.Idempotent, Rank: p.route.Rank, LargeResponse: p.route.LargeResponses, LatencyBudget: p.latencyBudget(), Class: p.route.Name, CallerRetry: p.isCallerRetry()}
	d.mu.Lock()
	policy.LoadKnown = !d.balancer.NeedsLoad(sentAt, target.Candidate)
	d.mu.Unlock()
	reply := d.sendCounted(ctx, target, p.service, p.request, policy)
	if reply.ReachedUpstream {
		p.upstreamAttempts++
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if reply.HasLoad {
		d.balancer.RecordLoad(now, target.Name, policy.Class, reply.Load)
	} else if _, done := reply.Outcome.(outcome.Done); done {
		d.balancer.RecordResponse(now, target.Name)
	}
	p.recordReply(ctx, sentAt, policy, reply)
	return reply
}

// sendCounted sends a request and counts it as in flight meanwhile.
func (d *Dispatcher) sendCounted(ctx context.Context, target Target, service string, r *Request, policy RequestPolicy) Reply {
	d.mu.Lock()
	d.balancer.RequestStarted(target.Name)
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.balancer.RequestEnded(target.Name)
	}()
	return d.sender.Send(ctx, target, service, r, policy)
}

// latencyBudget returns the time in milliseconds from now within which a response meets
// the route's target latency, 0 if there is none or the request is nested. If the timeout
// of the request is shorter than the route's, the difference was spent on an earlier
// attempt of the caller, which the target latency includes.
func (p *pendingRequest) latencyBudget() clock.Millis {
	if p.request.Nested || p.route.TargetLatency <= 0 {
		return 0
	}
	return max(p.request.ReceivedAt+p.route.TargetLatency-p.earlierAttempts()-p.dispatcher.clock.Now(), 1)
}

// isCallerRetry reports whether the request is known to be the retry of a caller.
func (p *pendingRequest) isCallerRetry() bool {
	return !p.request.Nested && p.route.Timeout > 0 && p.earlierAttempts() > 0
}

// earlierAttempts returns the time in milliseconds that the caller spent on an earlier
// attempt, 0 if there was none.
func (p *pendingRequest) earlierAttempts() clock.Millis {
	elapsed := p.route.Timeout - (p.request.Deadline - p.request.ReceivedAt)
	if elapsed < firstAttemptTolerance {
		return 0
	}
	return elapsed
}

// recordReply records with the balancer what a reply to the latest attempt shows about the
// instance. The dispatcher's mu must be held.
func (p *pendingRequest) recordReply(ctx context.Context, sentAt clock.Millis, policy RequestPolicy, reply Reply) {
	d, name := p.dispatcher, p.lastInstance
	now := d.clock.Now()
	switch o := reply.Outcome.(type) {
	case outcome.Done:
		d.responseSizes.Record(policy.Class, len(reply.Response.Body))
		d.balancer.RecordResult(now, name, reply.Response.Status < 500)
		if policy.LargeResponse {
			d.balancer.RecordLargeResponse(len(reply.Response.Body))
		}
	case outcome.NotRun:
		if o.Reason() == outcome.ReasonUnreachable {
			d.balancer.RecordUnreachable(now, name)
		}
		if o.Reason() == outcome.ReasonUpstreamRefused {
			d.balancer.RecordResult(now, name, false)
		}
	case outcome.Unknown:
		if p.upstreamFailed(ctx, o.Reason(), now-sentAt) {
			d.balancer.RecordResult(now, name, false)
		}
		switch {
		case reply.HasLoad || o.Reason() == outcome.ReasonResponseDropped:
		case o.Reason() == outcome.ReasonConnectionLost:
			d.balancer.RecordUnreachable(now, name)
		case now-sentAt >= unresponsiveAfter:
			d.balancer.RecordNoResponse(now, name, sentAt)
		}
	}
}

// upstreamFailed reports whether a request without a response counts as a failure of its
// upstream. One that was cancelled does not, nor one whose response a daemon dropped for lack
// of memory.
func (p *pendingRequest) upstreamFailed(ctx context.Context, reason outcome.Reason, elapsed clock.Millis) bool {
	if reason == outcome.ReasonResponseDropped {
		return false
	}
	return ctx.Err() == nil || p.timedOut(ctx, elapsed)
}

// timedOut reports whether a request ended without a response although the upstream had the
// route's target latency for it. A request whose caller allowed less time, or has left, shows
// nothing about the upstream.
func (p *pendingRequest) timedOut(ctx context.Context, elapsed clock.Millis) bool {
	expected := p.route.TargetLatency
	if expected <= 0 {
		expected = unresponsiveAfter
	}
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && elapsed >= expected
}

// shouldRetry reports whether to send the request again after its last reply. It takes a
// retry from the budget if the last attempt reached an upstream.
func (p *pendingRequest) shouldRetry(ctx context.Context) bool {
	if ctx.Err() != nil || p.dispatcher.clock.Now()+minRemainingTime >= p.request.Deadline {
		return false
	}
	switch o := p.lastReply.Outcome.(type) {
	case outcome.Done:
		return false
	case outcome.NotRun:
		if p.keyed {
			switch o.Reason() {
			case outcome.ReasonMoved, outcome.ReasonNoLease, outcome.ReasonUnreachable, outcome.ReasonDraining,
				outcome.ReasonUpstreamRefused, outcome.ReasonOutOfUse:
				return !p.lastReply.ReachedUpstream || p.takeRetry()
			default:
				return false
			}
		}
		p.excluded[p.lastInstance] = true
		if o.Reason() == outcome.ReasonOverloaded || o.Reason() == outcome.ReasonCold {
			p.overloadRefusals++
		}
		return p.overloadRefusals < p.overloadRefusalLimit() && (!p.lastReply.ReachedUpstream || p.takeRetry())
	case outcome.Unknown:
		p.excluded[p.lastInstance] = true
		return p.route.Idempotent && p.takeRetry()
	default:
		return false
	}
}

func (p *pendingRequest) overloadRefusalLimit() int {
	if p.request.Nested {
		return maxNestedOverloadRefusals
	}
	return maxOverloadRefusals
}

// takeRetry reports whether another upstream may be tried within the route's attempts and
// the retry budget, and takes the retry from the budget if so. Requests of callers leave a
// part of the budget to nested requests: callers also retry on their own.
func (p *pendingRequest) takeRetry() bool {
	if p.upstreamAttempts >= max(p.route.MaxAttempts, 1) {
		return false
	}
	reserve := nestedRetryReserve
	if p.request.Nested {
		reserve = 0
	}
	return p.dispatcher.retryBudget(p.service).AllowWithReserve(p.dispatcher.clock.Now(), reserve)
}

// nextTarget returns the target of the next attempt, or false if there is none. It waits
// for a limited time if the request's key has no owner at the moment.
func (p *pendingRequest) nextTarget(ctx context.Context) (Target, bool) {
	if p.keyed {
		return p.awaitOwner(ctx)
	}
	d := p.dispatcher
	targets := p.allowedInstances()
	candidates := make([]balance.Candidate, 0, len(targets))
	for _, t := range targets {
		candidate := t.Candidate
		candidate.Needed = len(p.neededRegions) > 0 && slices.Contains(p.neededRegions, t.Location.Region())
		candidates = append(candidates, candidate)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.balancer.Pick(d.clock.Now(), candidates, p.balanceRequest(), p.excluded, rand.Float64)
	if i < 0 {
		if len(p.route.AllowedRegions) > 0 && p.foundNoUsableUpstream() {
			p.refuseByRegion()
		}
		return Target{}, false
	}
	return targets[i], true
}

// allows reports whether the request may run at the target.
func (p *pendingRequest) allows(t Target) bool { return p.route.AllowsRegion(t.Location.Region()) }

// allowedInstances returns the instances at which the request may run.
func (p *pendingRequest) allowedInstances() []Target {
	targets := p.dispatcher.resolver.Instances(p.service)
	if len(p.route.AllowedRegions) == 0 {
		return targets
	}
	var allowed []Target
	for _, t := range targets {
		if p.allows(t) {
			allowed = append(allowed, t)
		}
	}
	return allowed
}

// foundNoUsableUpstream reports whether the request was sent nowhere, or its last reply is
// that of an instance whose upstream accepts no requests. A refusal by an upstream that is
// only busy keeps its own reason and retry time.
func (p *pendingRequest) foundNoUsableUpstream() bool {
	if p.sends == 0 {
		return true
	}
	refused, ok := p.lastReply.Outcome.(outcome.NotRun)
	if !ok {
		return false
	}
	switch refused.Reason() {
	case outcome.ReasonUnreachable, outcome.ReasonMoved, outcome.ReasonDraining, outcome.ReasonOutOfUse:
		return true
	default:
		return false
	}
}

// refuseByRegion makes the final reply a refusal due to the route's restriction.
func (p *pendingRequest) refuseByRegion() {
	p.lastReply = NotRun(outcome.ReasonRegionNotAllowed)
}

// balanceRequest describes the request to the balancer.
func (p *pendingRequest) balanceRequest() balance.Request {
	request := balance.Request{Class: p.route.Name, LargeResponse: p.route.LargeResponses}
	if p.request.hasLargeBody() {
		request.BodyBytes = len(p.request.Body)
	}
	return request
}

// awaitOwner returns the owner of the request's key once it is known and reachable, or
// false if that takes longer than ownerWaitShare of the route's target latency or the
// request ends. It does not wait if the request may not run at the owner, or if there is no
// owner and no upstream that may become one: the key controllers move the keys of a restricted
// route to its regions, which takes longer.
func (p *pendingRequest) awaitOwner(ctx context.Context) (Target, bool) {
	d := p.dispatcher
	maxWait := clock.Millis(float64(p.route.TargetLatency) * ownerWaitShare)
	until := min(p.request.ReceivedAt+maxWait, p.request.Deadline)
	// After a refusal, wait before the look-up: the new assignment may not have arrived.
	lookUp := p.sends == 0
	for {
		now := d.clock.Now()
		if lookUp {
			target, ok := d.resolver.Owner(p.service, p.request)
			if ok && !p.allows(target) {
				p.lastInstance = target.Name
				p.refuseByRegion()
				return Target{}, false
			}
			if !ok && len(p.route.AllowedRegions) > 0 && len(p.allowedInstances()) == 0 {
				p.refuseByRegion()
				return Target{}, false
			}
			if ok && d.reachable(now, target.Name) {
				return target, true
			}
			if ok && p.sends == 0 {
				p.lastInstance, p.lastReply = target.Name, NotRun(outcome.ReasonUnreachable)
			}
		}
		if now >= until {
			return Target{}, false
		}
		lookUp = true
		select {
		case <-ctx.Done():
			return Target{}, false
		case <-time.After(ownerPollInterval.Duration()):
		}
	}
}

func (d *Dispatcher) reachable(now clock.Millis, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Reachable(now, name)
}
