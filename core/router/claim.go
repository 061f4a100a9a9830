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

// routeRules returns the rules of a route. A route that the service doesn't list
// has normal priority and counts as idempotent only if HTTP defines its method
// as safe.
func routeRules(rules template.ServiceRules, method, path string) template.RouteRules {
	if route, ok := rules.MatchRoute(method, path); ok {
		return route
	}
	return template.NewRouteRules(method, "", isSafeMethod(method), template.PriorityNormal, defaultTimeout)
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// prepare checks the configuration and the deadline, and looks up the rules. It
// returns nil to go on.
func (x *ownerRequest) prepare(ctx context.Context) outcome.Outcome {
	ports, request := &x.handler.settings, x.request
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
	x.route = routeRules(rules, request.Method, pathWithoutQuery(request.Path))
	if rules.IsKeyed() && request.Key == "" {
		return outcome.NewNotRun(outcome.ReasonMalformed)
	}
	if rules.IsKeyed() && shard.ForKey(request.Key, rules.Shards()) != request.Shard {
		// The sender has another number of shards.
		return outcome.NewNotRun(outcome.ReasonConfigurationLags)
	}
	x.upstream, ok = ports.Upstreams.LocalUpstream(request.Service)
	if !ok {
		return outcome.NewNotRun(outcome.ReasonUnreachable)
	}
	if ports.Clock.Now() >= request.Deadline {
		return outcome.NewNotRun(outcome.ReasonDeadlineExceeded)
	}
	return nil
}

func (x *ownerRequest) awaitConfiguration(ctx context.Context) bool {
	ports := &x.handler.settings
	if ports.Configuration == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, (x.request.Deadline - ports.Clock.Now()).Duration())
	defer cancel()
	return ports.Configuration.Await(ctx, x.request.ConfigVersion) == nil
}

// ownershipState is what a view says of this daemon's right to serve a request.
type ownershipState int

const (
	ownershipReady ownershipState = iota
	// ownershipPending means that the view is expected to change within moveWait.
	ownershipPending
	ownershipMoved
	ownershipMissing
	ownershipNoLease
)

// awaitOwnership waits until this daemon may serve the request. It returns nil if so.
func (x *ownerRequest) awaitOwnership(ctx context.Context) outcome.Outcome {
	for waited := clock.Millis(0); ; waited += ownershipPollInterval {
		switch x.checkOwnership() {
		case ownershipReady:
			return nil
		case ownershipNoLease:
			return outcome.NewNotRun(outcome.ReasonNoLease)
		case ownershipMissing:
			return outcome.NewNotRun(outcome.ReasonNoOwner)
		case ownershipMoved:
			return outcome.NewNotRun(outcome.ReasonMoved)
		case ownershipPending:
		}
		if waited >= maxOwnershipWait {
			return outcome.NewNotRun(outcome.ReasonMoved)
		}
		if x.handler.settings.Clock.Now() >= x.request.Deadline || !sleep(ctx, ownershipPollInterval) {
			return outcome.NewNotRun(outcome.ReasonDeadlineExceeded)
		}
	}
}

// checkOwnership reads the newest view.
func (x *ownerRequest) checkOwnership() ownershipState {
	ports, request := &x.handler.settings, x.request
	view := ports.Views.View()
	now := ports.Clock.Now()
	if !hasValidLease(now, view) {
		return ownershipNoLease
	}
	if !x.rules.IsKeyed() {
		return ownershipReady
	}
	ownership, ok := view.Owner(request.Service, request.Shard, request.Key)
	x.ownership, x.ownerKnown = ownership, ok
	x.isOwner = ok && ownership.Owner.Incarnation == view.Self().Incarnation
	switch {
	case !ok:
		return ownershipMissing
	case request.Epoch > ownership.Epoch:
		return ownershipPending
	case !x.isOwner:
		return ownershipMoved
	case ownership.ServeFrom > now || x.handler.tracker.isStopped(x.scope()):
		return ownershipPending
	default:
		return ownershipReady
	}
}

func (x *ownerRequest) scope() requestScope {
	return requestScope{
		service:  x.request.Service,
		shard:    x.request.Shard,
		key:      x.request.Key,
		isHotKey: x.ownership.IsHotKey,
		epoch:    x.ownership.Epoch,
	}
}

func (x *ownerRequest) ownershipAge() dedupe.OwnershipAge {
	return dedupe.OwnershipAge{
		IsHotKey:     x.ownership.IsHotKey,
		Epoch:        x.ownership.Epoch,
		Age:          x.handler.settings.Clock.Now() - x.ownership.HeldSince,
		IsFirstOwner: x.ownership.IsFirstOwner,
	}
}

// deduplicate looks the request ID up. It returns nil to run the request.
func (x *ownerRequest) deduplicate(ctx context.Context) *Response {
	request := x.request
	if !x.rules.IsKeyed() || x.route.Idempotent() || request.RequestID == "" {
		return nil
	}
	x.dedupeID = dedupe.ID{Service: request.Service, Key: request.Key, RequestID: request.RequestID}
	for {
		now := x.handler.settings.Clock.Now()
		result := x.handler.settings.Dedupe.Begin(now, x.dedupeID, x.ownershipAge().CheckStamp(request.Stamp))
		running, ok := result.(dedupe.InProgress)
		if !ok {
			return x.dedupeResponse(result)
		}
		if now >= request.Deadline || !waitFor(ctx, running.Ended(), request.Deadline-now) {
			return x.refuse(outcome.NewUnknown(outcome.ReasonTimeout))
		}
	}
}

func (x *ownerRequest) dedupeResponse(result dedupe.Result) *Response {
	switch result := result.(type) {
	case dedupe.Accepted:
		x.mustRecord = true
		return nil
	case dedupe.Completed:
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

// acquireSlot waits for a slot. It returns nil if it has one.
func (x *ownerRequest) acquireSlot(ctx context.Context) outcome.Outcome {
	slot, err := x.upstream.Gate.Acquire(ctx, x.route.Priority(), x.request.Deadline)
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

func pathWithoutQuery(path string) string {
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
