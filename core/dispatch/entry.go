package dispatch

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/retry"
	"briarwell.dev/core/routes"
)

const (
	// ownerPollInterval is the time in milliseconds between two looks at who owns a key
	// while its owner is changing.
	ownerPollInterval clock.Millis = 25
	// ownerWaitShare is the share of the objective for which a request waits for
	// an owner of its key before it is refused.
	ownerWaitShare = 0.25
	// ownerRetryAfter is the time in milliseconds after which a key without an owner is
	// worth another attempt.
	ownerRetryAfter clock.Millis = 300
	// minRemainingTime is the time in milliseconds below which a request is not sent any
	// more: a trip between regions and back takes 40 ms.
	minRemainingTime clock.Millis = 10
	// firstAttemptTolerance is how much in milliseconds of a route's time may be missing in the
	// first attempt of a caller that gives less time than the route.
	firstAttemptTolerance clock.Millis = 150
	// unresponsiveAfter is the time in milliseconds without an answer after which a daemon
	// may be frozen: many requests that it answers end within it.
	unresponsiveAfter clock.Millis = 600
	// maxSends bounds the daemons that one request is sent to.
	maxSends = 6
	// maxOverloadRefusals is the number of overloaded daemons after which a caller is
	// refused: the loads that chose them say that the others are no better. A call
	// of an upstream, which wastes its parent's work, is offered to more.
	maxOverloadRefusals       = 2
	maxNestedOverloadRefusals = 4
)

// Target is an instance that may run a request.
type Target struct {
	balance.Candidate

	// Address is that of its daemon for requests.
	Address string
}

// Resolver tells where requests can go.
type Resolver interface {
	// Owner returns the instance that owns the request's key, or false if none
	// does or its keys are moving.
	Owner(service string, r *Request) (Target, bool)
	// Instances returns the instances that may run requests without a key.
	Instances(service string) []Target
	// DispatcherCount returns the number of instances on which requests begin.
	DispatcherCount() int
}

// Sender sends a request to the daemon of a target, or to the own upstream.
type Sender interface {
	Send(ctx context.Context, to Target, service string, r *Request, route RequestPolicy) Reply
}

// RequestPolicy are what the instance beside the upstream needs to know of a route.
type RequestPolicy struct {
	Idempotent bool
	Rank       int
	// LargeResponse tells that the answer is large.
	LargeResponse bool
	// LatencyBudget is the time in milliseconds from now in which the answer is wanted.
	LatencyBudget clock.Millis
	// Class names requests of about the same service time.
	Class string
}

// Dispatcher handles the requests that begin on this instance. It is safe for
// concurrent use.
type Dispatcher struct {
	clock        clock.Clock
	resolver     Resolver
	sender       Sender
	mu           sync.Mutex
	balancer     *balance.Balancer
	retryBudgets map[string]*retry.Budget
	retryLimits  RetryLimits
}

// RetryLimits bounds the requests to a service that are sent again by all entries
// together.
type RetryLimits struct {
	// Ratio is that of the first requests, Floor how many in a second are allowed
	// beyond it.
	Ratio        float64
	MinPerSecond float64
}

// NewDispatcher returns an entry.
func NewDispatcher(c clock.Clock, fleet Resolver, sender Sender, balancer *balance.Balancer, repeats RetryLimits) *Dispatcher {
	return &Dispatcher{clock: c, resolver: fleet, sender: sender, balancer: balancer, retryBudgets: make(map[string]*retry.Budget), retryLimits: repeats}
}

// Loads returns the loads that instances have reported lately.
func (e *Dispatcher) Loads() map[string]balance.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.balancer.Loads(e.clock.Now())
}

// Handle takes a request to its end. The manifest does not change while it runs.
func (e *Dispatcher) Handle(ctx context.Context, manifest *routes.Manifest, r *Request) Result {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := manifest.Match(r.Host, path)
	if !ok {
		return Result{ManifestVersion: manifest.Version()}
	}
	service := route.PickService()
	deadline := r.Deadline
	if route.Timeout > 0 {
		deadline = min(deadline, r.ReceivedAt+route.Timeout)
	}
	bounded := *r
	bounded.Deadline = deadline
	described, _ := manifest.Service(service)
	bounded.Keyed = r.Keyed && described.Keyed
	ctx, cancel := context.WithTimeout(ctx, (deadline - e.clock.Now()).Duration())
	defer cancel()
	e.retryBudget(service).RecordFirstAttempt(e.clock.Now())
	a := pendingRequest{dispatcher: e, route: route, service: service, request: &bounded, keyed: described.Keyed, excluded: make(map[string]bool)}
	result := a.run(ctx)
	result.RouteFound, result.ManifestVersion = true, manifest.Version()
	result.Route, result.Service = route.Name, service
	return result
}

func (e *Dispatcher) retryBudget(service string) *retry.Budget {
	// Each entry uses its part of what all may use, without asking the others.
	floor := max(e.retryLimits.MinPerSecond/float64(max(e.resolver.DispatcherCount(), 1)), minRetryRate)
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.retryBudgets[service]
	if !ok {
		b = retry.NewBudget(e.retryLimits.Ratio, floor).WithBurst(retryBurst)
		e.retryBudgets[service] = b
	}
	b.SetMinPerSecond(floor)
	return b
}

const (
	// retryBurst bounds the repeats of one entry that a quiet time saves up.
	retryBurst = 2
	// nestedRetryReserve is the part of a repeat that is kept for the calls of upstreams.
	nestedRetryReserve = 0.5
	// minRetryRate is a floor in repeats a second that is next to none.
	minRetryRate = 0.001
)

// pendingRequest is a request on its way.
type pendingRequest struct {
	dispatcher *Dispatcher
	route      routes.Route
	service    string
	request    *Request
	keyed      bool
	// excluded are the instances that did not run it.
	excluded map[string]bool
	// upstreamAttempts counts the upstreams that were asked.
	upstreamAttempts int
	sends            int
	// overloadRefusals counts the daemons that refused it as overloaded.
	overloadRefusals int
	lastInstance     string
	lastReply        Reply
	// firstUnknown is the first reply after which the request may have been run.
	firstUnknown *Reply
}

func (a *pendingRequest) run(ctx context.Context) Result {
	a.lastReply = NotRun(outcome.ReasonNoOwner).WithRetryAfter(ownerRetryAfter)
	for a.sends < maxSends {
		target, ok := a.nextTarget(ctx)
		if !ok {
			break
		}
		a.lastReply = a.send(ctx, target)
		if _, unknown := a.lastReply.Outcome.(outcome.Unknown); unknown && a.firstUnknown == nil {
			first := a.lastReply
			a.firstUnknown = &first
		}
		if !a.shouldRetry(ctx) {
			break
		}
	}
	if _, refused := a.lastReply.Outcome.(outcome.NotRun); refused && a.firstUnknown != nil {
		// The last instance did not run it, but an earlier one may have.
		a.lastReply = *a.firstUnknown
	}
	expired := a.dispatcher.clock.Now() >= a.request.Deadline
	return Result{Reply: a.lastReply, DeadlineExceeded: expired, Instance: a.lastInstance, Attempts: a.sends}
}

func (a *pendingRequest) send(ctx context.Context, target Target) Reply {
	e := a.dispatcher
	e.mu.Lock()
	e.balancer.RequestStarted(target.Name)
	e.mu.Unlock()
	a.sends++
	a.lastInstance = target.Name
	began := e.clock.Now()
	rules := RequestPolicy{Idempotent: a.route.Idempotent, Rank: a.route.Rank, LargeResponse: a.route.LargeResponses, LatencyBudget: a.latencyBudget(), Class: a.route.Name}
	reply := e.sender.Send(ctx, target, a.service, a.request, rules)
	if reply.ReachedUpstream {
		a.upstreamAttempts++
	}
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.balancer.RequestEnded(target.Name)
	if reply.HasLoad {
		e.balancer.RecordLoad(now, target.Name, rules.Class, reply.Load)
	}
	e.recordReply(ctx, began, target.Name, rules, reply)
	return reply
}

// latencyBudget returns how long from now the answer still counts as in time. What is
// missing of the time that the route allows was used before the request came:
// by an earlier attempt of the caller, which the objective includes.
func (a *pendingRequest) latencyBudget() clock.Millis {
	if a.request.Nested || a.route.TargetLatency <= 0 {
		return 0
	}
	used := a.route.Timeout - (a.request.Deadline - a.request.ReceivedAt)
	if used < firstAttemptTolerance {
		used = 0
	}
	return max(a.request.ReceivedAt+a.route.TargetLatency-used-a.dispatcher.clock.Now(), 1)
}

// recordReply remembers what a reply says of an instance; e.mu is held.
func (e *Dispatcher) recordReply(ctx context.Context, began clock.Millis, name string, rules RequestPolicy, reply Reply) {
	now := e.clock.Now()
	switch o := reply.Outcome.(type) {
	case outcome.Done:
		e.balancer.RecordResult(now, name, reply.Response.Status < 500)
		if rules.LargeResponse {
			e.balancer.RecordLargeResponse(len(reply.Response.Body))
		}
	case outcome.NotRun:
		if o.Reason() == outcome.ReasonUnreachable {
			e.balancer.RecordUnreachable(now, name)
		}
		if o.Reason() == outcome.ReasonUpstreamRefused {
			e.balancer.RecordResult(now, name, false)
		}
	case outcome.Unknown:
		if ctx.Err() == nil {
			e.balancer.RecordResult(now, name, false)
		}
		switch {
		case reply.HasLoad:
		case o.Reason() == outcome.ReasonConnectionLost:
			e.balancer.RecordUnreachable(now, name)
		case now-began >= unresponsiveAfter:
			e.balancer.RecordNoResponse(now, name, began)
		}
	}
}

// shouldRetry tells whether the request is sent once more after its last reply.
func (a *pendingRequest) shouldRetry(ctx context.Context) bool {
	if ctx.Err() != nil || a.dispatcher.clock.Now()+minRemainingTime >= a.request.Deadline {
		return false
	}
	switch o := a.lastReply.Outcome.(type) {
	case outcome.Done:
		return false
	case outcome.NotRun:
		if a.keyed {
			switch o.Reason() {
			case outcome.ReasonMoved, outcome.ReasonNoLease, outcome.ReasonUnreachable, outcome.ReasonDraining,
				outcome.ReasonUpstreamRefused:
				return !a.lastReply.ReachedUpstream || a.takeRetry()
			default:
				return false
			}
		}
		a.excluded[a.lastInstance] = true
		if o.Reason() == outcome.ReasonOverloaded {
			a.overloadRefusals++
		}
		return a.overloadRefusals < a.overloadRefusalLimit() && (!a.lastReply.ReachedUpstream || a.takeRetry())
	case outcome.Unknown:
		a.excluded[a.lastInstance] = true
		return a.route.Idempotent && a.takeRetry()
	default:
		return false
	}
}

func (a *pendingRequest) overloadRefusalLimit() int {
	if a.request.Nested {
		return maxNestedOverloadRefusals
	}
	return maxOverloadRefusals
}

// takeRetry tells whether another upstream may be asked, within the route's
// attempts and the shared budget of repeats. What callers ask leaves a part of the
// budget to the calls of upstreams: a caller comes back without it.
func (a *pendingRequest) takeRetry() bool {
	if a.upstreamAttempts >= max(a.route.MaxAttempts, 1) {
		return false
	}
	reserve := nestedRetryReserve
	if a.request.Nested {
		reserve = 0
	}
	return a.dispatcher.retryBudget(a.service).AllowWithReserve(a.dispatcher.clock.Now(), reserve)
}

// nextTarget returns where the request goes next. It waits a little for the owner of
// a key that has none at the moment.
func (a *pendingRequest) nextTarget(ctx context.Context) (Target, bool) {
	if a.keyed {
		return a.awaitOwner(ctx)
	}
	e := a.dispatcher
	targets := e.resolver.Instances(a.service)
	candidates := make([]balance.Candidate, 0, len(targets))
	for _, t := range targets {
		candidates = append(candidates, t.Candidate)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.balancer.Pick(e.clock.Now(), candidates, balance.Request{Class: a.route.Name, LargeResponse: a.route.LargeResponses}, a.excluded, rand.Float64)
	if i < 0 {
		return Target{}, false
	}
	return targets[i], true
}

func (a *pendingRequest) awaitOwner(ctx context.Context) (Target, bool) {
	e := a.dispatcher
	patience := clock.Millis(float64(a.route.TargetLatency) * ownerWaitShare)
	until := min(a.request.ReceivedAt+patience, a.request.Deadline)
	// After a refusal the newer division is still on its way.
	look := a.sends == 0
	for {
		now := e.clock.Now()
		if look {
			target, ok := e.resolver.Owner(a.service, a.request)
			if ok && e.reachable(now, target.Name) {
				return target, true
			}
			if ok && a.sends == 0 {
				a.lastInstance, a.lastReply = target.Name, NotRun(outcome.ReasonUnreachable).WithRetryAfter(ownerRetryAfter)
			}
		}
		if now >= until {
			return Target{}, false
		}
		look = true
		select {
		case <-ctx.Done():
			return Target{}, false
		case <-time.After(ownerPollInterval.Duration()):
		}
	}
}

func (e *Dispatcher) reachable(now clock.Millis, name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.balancer.Reachable(now, name)
}
