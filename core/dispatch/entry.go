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
	// ownerPoll is the time in milliseconds between two looks at who owns a key
	// while its owner is changing.
	ownerPoll clock.Millis = 25
	// ownerWaitShare is the share of the objective for which a request waits for
	// an owner of its key before it is refused.
	ownerWaitShare = 0.25
	// comeBack is the time in milliseconds after which a key without an owner is
	// worth another attempt.
	comeBack clock.Millis = 300
	// leastTime is the time in milliseconds below which a request is not sent any
	// more: a trip between regions and back takes 40 ms.
	leastTime clock.Millis = 10
	// freshTime is how much in milliseconds of a route's time may be missing in the
	// first attempt of a caller that gives less time than the route.
	freshTime clock.Millis = 150
	// silentTime is the time in milliseconds without an answer after which a daemon
	// may be frozen: many requests that it answers end within it.
	silentTime clock.Millis = 600
	// maxSends bounds the daemons that one request is sent to.
	maxSends = 6
	// maxRefusals is the number of overloaded daemons after which a caller is
	// refused: the loads that chose them say that the others are no better. A call
	// of an upstream, which wastes its parent's work, is offered to more.
	maxRefusals       = 2
	maxNestedRefusals = 4
)

// Target is an instance that may run a request.
type Target struct {
	balance.Candidate

	// Address is that of its daemon for requests.
	Address string
}

// Fleet tells where requests can go.
type Fleet interface {
	// Owner returns the instance that owns the request's key, or false if none
	// does or its keys are moving.
	Owner(service string, r *Request) (Target, bool)
	// Instances returns the instances that may run requests without a key.
	Instances(service string) []Target
	// Entries returns the number of instances on which requests begin.
	Entries() int
}

// Sender sends a request to the daemon of a target, or to the own upstream.
type Sender interface {
	Send(ctx context.Context, to Target, service string, r *Request, route Rules) Reply
}

// Rules are what the instance beside the upstream needs to know of a route.
type Rules struct {
	Idempotent bool
	Rank       int
	// Large tells that the answer is large.
	Large bool
	// Wanted is the time in milliseconds from now in which the answer is wanted.
	Wanted clock.Millis
	// Class names requests of about the same service time.
	Class string
}

// Entry handles the requests that begin on this instance. It is safe for
// concurrent use.
type Entry struct {
	clock    clock.Clock
	fleet    Fleet
	sender   Sender
	mu       sync.Mutex
	balancer *balance.Balancer
	budgets  map[string]*retry.Budget
	repeats  Repeats
}

// Repeats bounds the requests to a service that are sent again by all entries
// together.
type Repeats struct {
	// Share is that of the first requests, Floor how many in a second are allowed
	// beyond it.
	Share float64
	Floor float64
}

// NewEntry returns an entry.
func NewEntry(c clock.Clock, fleet Fleet, sender Sender, balancer *balance.Balancer, repeats Repeats) *Entry {
	return &Entry{clock: c, fleet: fleet, sender: sender, balancer: balancer, budgets: make(map[string]*retry.Budget), repeats: repeats}
}

// Loads returns the loads that instances have reported lately.
func (e *Entry) Loads() map[string]balance.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.balancer.Loads(e.clock.Now())
}

// Handle takes a request to its end. The manifest does not change while it runs.
func (e *Entry) Handle(ctx context.Context, manifest *routes.Manifest, r *Request) Result {
	path, _, _ := strings.Cut(r.Target, "?")
	route, ok := manifest.Match(r.Host, path)
	if !ok {
		return Result{Version: manifest.Version()}
	}
	service := route.Choose()
	deadline := r.Deadline
	if route.Timeout > 0 {
		deadline = min(deadline, r.Arrived+route.Timeout)
	}
	bounded := *r
	bounded.Deadline = deadline
	described, _ := manifest.Service(service)
	bounded.Keyed = r.Keyed && described.Keyed
	ctx, cancel := context.WithTimeout(ctx, (deadline - e.clock.Now()).Duration())
	defer cancel()
	e.budget(service).First(e.clock.Now())
	a := attempt{entry: e, route: route, service: service, request: &bounded, keyed: described.Keyed, tried: make(map[string]bool)}
	result := a.run(ctx)
	result.Found, result.Version = true, manifest.Version()
	result.Route, result.Service = route.Name, service
	return result
}

func (e *Entry) budget(service string) *retry.Budget {
	// Each entry uses its part of what all may use, without asking the others.
	floor := max(e.repeats.Floor/float64(max(e.fleet.Entries(), 1)), leastFloor)
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.budgets[service]
	if !ok {
		b = retry.NewBudget(e.repeats.Share, floor).Burst(repeatBurst)
		e.budgets[service] = b
	}
	b.SetFloor(floor)
	return b
}

const (
	// repeatBurst bounds the repeats of one entry that a quiet time saves up.
	repeatBurst = 2
	// nestedReserve is the part of a repeat that is kept for the calls of upstreams.
	nestedReserve = 0.5
	// leastFloor is a floor in repeats a second that is next to none.
	leastFloor = 0.001
)

// attempt is a request on its way.
type attempt struct {
	entry   *Entry
	route   routes.Route
	service string
	request *Request
	keyed   bool
	// tried are the instances that did not run it.
	tried map[string]bool
	// arrivals counts the upstreams that were asked.
	arrivals int
	sends    int
	// refusals counts the daemons that refused it as overloaded.
	refusals int
	instance string
	last     Reply
	// doubt is the first reply after which the request may have been run.
	doubt *Reply
}

func (a *attempt) run(ctx context.Context) Result {
	a.last = NotRun(outcome.ReasonNoOwner).After(comeBack)
	for a.sends < maxSends {
		target, ok := a.target(ctx)
		if !ok {
			break
		}
		a.last = a.send(ctx, target)
		if _, unknown := a.last.Outcome.(outcome.Unknown); unknown && a.doubt == nil {
			first := a.last
			a.doubt = &first
		}
		if !a.again(ctx) {
			break
		}
	}
	if _, refused := a.last.Outcome.(outcome.NotRun); refused && a.doubt != nil {
		// The last instance did not run it, but an earlier one may have.
		a.last = *a.doubt
	}
	expired := a.entry.clock.Now() >= a.request.Deadline
	return Result{Reply: a.last, Expired: expired, Instance: a.instance, Attempts: a.sends}
}

func (a *attempt) send(ctx context.Context, target Target) Reply {
	e := a.entry
	e.mu.Lock()
	e.balancer.Began(target.Name)
	e.mu.Unlock()
	a.sends++
	a.instance = target.Name
	began := e.clock.Now()
	rules := Rules{Idempotent: a.route.Idempotent, Rank: a.route.Rank, Large: a.route.Large, Wanted: a.wanted(), Class: a.route.Name}
	reply := e.sender.Send(ctx, target, a.service, a.request, rules)
	if reply.Arrived {
		a.arrivals++
	}
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.balancer.Ended(target.Name)
	if reply.HasLoad {
		e.balancer.Reported(now, target.Name, rules.Class, reply.Load)
	}
	e.judge(ctx, began, target.Name, rules, reply)
	return reply
}

// wanted returns how long from now the answer still counts as in time. What is
// missing of the time that the route allows was used before the request came:
// by an earlier attempt of the caller, which the objective includes.
func (a *attempt) wanted() clock.Millis {
	if a.request.Nested || a.route.Objective <= 0 {
		return 0
	}
	used := a.route.Timeout - (a.request.Deadline - a.request.Arrived)
	if used < freshTime {
		used = 0
	}
	return max(a.request.Arrived+a.route.Objective-used-a.entry.clock.Now(), 1)
}

// judge remembers what a reply says of an instance; e.mu is held.
func (e *Entry) judge(ctx context.Context, began clock.Millis, name string, rules Rules, reply Reply) {
	now := e.clock.Now()
	switch o := reply.Outcome.(type) {
	case outcome.Done:
		e.balancer.Served(now, name, reply.Response.Status < 500)
		if rules.Large {
			e.balancer.Answered(len(reply.Response.Body))
		}
	case outcome.NotRun:
		if o.Reason() == outcome.ReasonUnreachable {
			e.balancer.Unreachable(now, name)
		}
		if o.Reason() == outcome.ReasonUpstreamRefused {
			e.balancer.Served(now, name, false)
		}
	case outcome.Unknown:
		if ctx.Err() == nil {
			e.balancer.Served(now, name, false)
		}
		switch {
		case reply.HasLoad:
		case o.Reason() == outcome.ReasonConnectionLost:
			e.balancer.Unreachable(now, name)
		case now-began >= silentTime:
			e.balancer.Silent(now, name, began)
		}
	}
}

// again tells whether the request is sent once more after its last reply.
func (a *attempt) again(ctx context.Context) bool {
	if ctx.Err() != nil || a.entry.clock.Now()+leastTime >= a.request.Deadline {
		return false
	}
	switch o := a.last.Outcome.(type) {
	case outcome.Done:
		return false
	case outcome.NotRun:
		if a.keyed {
			switch o.Reason() {
			case outcome.ReasonMoved, outcome.ReasonNoLease, outcome.ReasonUnreachable, outcome.ReasonDraining,
				outcome.ReasonUpstreamRefused:
				return !a.last.Arrived || a.mayArrive()
			default:
				return false
			}
		}
		a.tried[a.instance] = true
		if o.Reason() == outcome.ReasonOverloaded {
			a.refusals++
		}
		return a.refusals < a.maxRefusals() && (!a.last.Arrived || a.mayArrive())
	case outcome.Unknown:
		a.tried[a.instance] = true
		return a.route.Idempotent && a.mayArrive()
	default:
		return false
	}
}

func (a *attempt) maxRefusals() int {
	if a.request.Nested {
		return maxNestedRefusals
	}
	return maxRefusals
}

// mayArrive tells whether another upstream may be asked, within the route's
// attempts and the shared budget of repeats. What callers ask leaves a part of the
// budget to the calls of upstreams: a caller comes back without it.
func (a *attempt) mayArrive() bool {
	if a.arrivals >= max(a.route.Attempts, 1) {
		return false
	}
	reserve := nestedReserve
	if a.request.Nested {
		reserve = 0
	}
	return a.entry.budget(a.service).TakeAbove(a.entry.clock.Now(), reserve)
}

// target returns where the request goes next. It waits a little for the owner of
// a key that has none at the moment.
func (a *attempt) target(ctx context.Context) (Target, bool) {
	if a.keyed {
		return a.owner(ctx)
	}
	e := a.entry
	targets := e.fleet.Instances(a.service)
	candidates := make([]balance.Candidate, 0, len(targets))
	for _, t := range targets {
		candidates = append(candidates, t.Candidate)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.balancer.Pick(e.clock.Now(), candidates, balance.Ask{Class: a.route.Name, Large: a.route.Large}, a.tried, rand.Float64)
	if i < 0 {
		return Target{}, false
	}
	return targets[i], true
}

func (a *attempt) owner(ctx context.Context) (Target, bool) {
	e := a.entry
	patience := clock.Millis(float64(a.route.Objective) * ownerWaitShare)
	until := min(a.request.Arrived+patience, a.request.Deadline)
	// After a refusal the newer division is still on its way.
	look := a.sends == 0
	for {
		now := e.clock.Now()
		if look {
			target, ok := e.fleet.Owner(a.service, a.request)
			if ok && e.reachable(now, target.Name) {
				return target, true
			}
			if ok && a.sends == 0 {
				a.instance, a.last = target.Name, NotRun(outcome.ReasonUnreachable).After(comeBack)
			}
		}
		if now >= until {
			return Target{}, false
		}
		look = true
		select {
		case <-ctx.Done():
			return Target{}, false
		case <-time.After(ownerPoll.Duration()):
		}
	}
}

func (e *Entry) reachable(now clock.Millis, name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.balancer.Reachable(now, name)
}
