package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/dedupe"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/template"
)

// defaultTimeout applies to routes without a timeout, in milliseconds.
const defaultTimeout clock.Millis = 10_000

// routeOf returns the rules of a route. A route that the service doesn't list
// has normal priority and counts as idempotent only if HTTP defines its method
// as safe.
func routeOf(rules template.ServiceRules, method, path string) template.RouteRules {
	if route, ok := rules.MatchRoute(method, path); ok {
		return route
	}
	return template.NewRouteRules(method, "", isSafe(method), template.PriorityNormal, defaultTimeout)
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// prepare checks the configuration and the deadline, and looks up the rules. It
// returns nil to go on.
func (x *exchange) prepare(ctx context.Context) outcome.Outcome {
	ports, request := &x.owner.ports, x.request
	view := ports.Views.View()
	if request.ConfigVersion > view.Catalog().Version() {
		if !x.awaitConfiguration(ctx) {
			return outcome.NewNotRun(outcome.ReasonConfigurationLags)
		}
		view = ports.Views.View()
	}
	rules, ok := view.Catalog().Service(serviceName(request.Service))
	if !ok {
		return outcome.NewNotRun(outcome.ReasonUnknownService)
	}
	x.rules, x.self = rules, view.Self()
	x.route = routeOf(rules, request.Method, withoutQuery(request.Path))
	if rules.IsKeyed() && request.Key == "" {
		return outcome.NewNotRun(outcome.ReasonMalformed)
	}
	if rules.IsKeyed() && shard.ForKey(request.Key, rules.Shards()) != request.Shard {
		// The sender has another number of shards.
		return outcome.NewNotRun(outcome.ReasonConfigurationLags)
	}
	x.backend, ok = ports.Backends.Backend(request.Service)
	if !ok {
		return outcome.NewNotRun(outcome.ReasonUnreachable)
	}
	if ports.Clock.Now() >= request.Deadline {
		return outcome.NewNotRun(outcome.ReasonDeadlineExceeded)
	}
	return nil
}

func (x *exchange) awaitConfiguration(ctx context.Context) bool {
	ports := &x.owner.ports
	if ports.Configuration == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, (x.request.Deadline - ports.Clock.Now()).Duration())
	defer cancel()
	return ports.Configuration.Await(ctx, x.request.ConfigVersion) == nil
}

// standing is what a view says of this daemon's right to serve a request.
type standing int

const (
	standingReady standing = iota
	// standingSoon means that the view is expected to change within moveWait.
	standingSoon
	standingMoved
	standingUnowned
	standingNoLease
)

// claim waits until this daemon may serve the request. It returns nil if so.
func (x *exchange) claim(ctx context.Context) outcome.Outcome {
	for waited := clock.Millis(0); ; waited += pollInterval {
		switch x.look() {
		case standingReady:
			return nil
		case standingNoLease:
			return outcome.NewNotRun(outcome.ReasonNoLease)
		case standingUnowned:
			return outcome.NewNotRun(outcome.ReasonNoOwner)
		case standingMoved:
			return outcome.NewNotRun(outcome.ReasonMoved)
		case standingSoon:
		}
		if waited >= moveWait {
			return outcome.NewNotRun(outcome.ReasonMoved)
		}
		if x.owner.ports.Clock.Now() >= x.request.Deadline || !sleep(ctx, pollInterval) {
			return outcome.NewNotRun(outcome.ReasonDeadlineExceeded)
		}
	}
}

// look reads the newest view.
func (x *exchange) look() standing {
	ports, request := &x.owner.ports, x.request
	view := ports.Views.View()
	now := ports.Clock.Now()
	if !leaseValid(now, view) {
		return standingNoLease
	}
	if !x.rules.IsKeyed() {
		return standingReady
	}
	ownership, ok := view.Owner(request.Service, request.Shard, request.Key)
	x.ownership, x.ownerKnown = ownership, ok
	x.ownsIt = ok && ownership.Owner.Incarnation == view.Self().Incarnation
	switch {
	case !ok:
		return standingUnowned
	case request.Epoch > ownership.Epoch:
		return standingSoon
	case !x.ownsIt:
		return standingMoved
	case ownership.ServeFrom > now || x.owner.orders.stopped(x.place()):
		return standingSoon
	default:
		return standingReady
	}
}

func (x *exchange) place() place {
	return place{
		service: x.request.Service,
		shard:   x.request.Shard,
		key:     x.request.Key,
		apart:   x.ownership.HotKey,
		epoch:   x.ownership.Epoch,
	}
}

func (x *exchange) held() dedupe.Held {
	return dedupe.Held{
		HotKey: x.ownership.HotKey,
		Epoch:  x.ownership.Epoch,
		Millis: x.owner.ports.Clock.Now() - x.ownership.HeldSince,
		First:  x.ownership.First,
	}
}

// deduplicate looks the request ID up. It returns nil to run the request.
func (x *exchange) deduplicate(ctx context.Context) *Response {
	request := x.request
	if !x.rules.IsKeyed() || x.route.Idempotent() || request.RequestID == "" {
		return nil
	}
	x.id = dedupe.ID{Service: request.Service, Key: request.Key, Request: request.RequestID}
	for {
		now := x.owner.ports.Clock.Now()
		result := x.owner.ports.Dedupe.Begin(now, x.id, x.held().Judge(request.Stamp))
		running, ok := result.(dedupe.Running)
		if !ok {
			return x.judged(result)
		}
		if now >= request.Deadline || !waitFor(ctx, running.Ended(), request.Deadline-now) {
			return x.refuse(outcome.NewUnknown(outcome.ReasonTimeout))
		}
	}
}

func (x *exchange) judged(result dedupe.Result) *Response {
	switch result := result.(type) {
	case dedupe.First:
		x.recorded = true
		return nil
	case dedupe.Repeat:
		return x.replay(result.Record())
	case dedupe.Rejected:
		if result.Verdict() == dedupe.VerdictStampRequired {
			return x.refuse(outcome.NewNotRun(outcome.ReasonStampRequired))
		}
		return x.refuse(outcome.NewUnknown(outcome.ReasonOlderEpoch))
	default:
		return x.refuse(outcome.NewNotRun(outcome.ReasonOverloaded))
	}
}

// admit waits for a slot. It returns nil if it has one.
func (x *exchange) admit(ctx context.Context) outcome.Outcome {
	slot, err := x.backend.Gate.Acquire(ctx, x.route.Priority(), x.request.Deadline)
	if err == nil {
		x.slot = slot
		return nil
	}
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		return outcome.NewNotRun(refused.Reason())
	}
	return outcome.NewNotRun(outcome.ReasonDeadlineExceeded)
}

func serviceName(service identity.Service) string { return service.String() }

func withoutQuery(path string) string {
	for i := range len(path) {
		if path[i] == '?' {
			return path[:i]
		}
	}
	return path
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d clock.Millis) bool {
	return !waitFor(ctx, nil, d) && ctx.Err() == nil
}

// waitFor waits until event is closed. It returns false after d or when ctx
// ends.
func waitFor(ctx context.Context, event <-chan struct{}, d clock.Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-event:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
