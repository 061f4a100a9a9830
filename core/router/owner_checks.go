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

// defaultTimeout is the timeout in milliseconds of routes that set none.
const defaultTimeout clock.Millis = 10_000

// routeRules returns the rules of the route that matches. If none matches, the route has
// normal priority, and is idempotent only if HTTP defines the method as safe.
func routeRules(rules template.ServiceRules, method, path string) template.RouteRules {
	if route, ok := rules.MatchRoute(method, path); ok {
		return route
	}
	return template.NewRouteRules(method, "", isSafeMethod(method), template.PriorityNormal, defaultTimeout)
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// prepare checks the configuration version, the key and the deadline, and looks up the
// rules and the upstream. It returns nil if the request can proceed, and otherwise the
// outcome of its refusal.
func (r *ownerRequest) prepare(ctx context.Context) outcome.Outcome {
	settings, request := &r.handler.settings, r.request
	view := settings.Views.View()
	if request.ConfigVersion > view.Catalog().Version() {
		if !r.awaitConfiguration(ctx) {
			return outcome.NewNotRun(outcome.ReasonConfigurationLags)
		}
		view = settings.Views.View()
	}
	rules, ok := view.Catalog().Service(serviceName(request.Service))
	if !ok {
		return outcome.NewNotRun(outcome.ReasonUnknownService)
	}
	r.rules, r.self = rules, view.Self()
	r.route = routeRules(rules, request.Method, pathWithoutQuery(request.Path))
	if rules.IsKeyed() && request.Key == "" {
		return outcome.NewNotRun(outcome.ReasonMalformed)
	}
	if rules.IsKeyed() && shard.ForKey(request.Key, rules.Shards()) != request.Shard {
		// The sender's configuration has a different number of shards.
		return outcome.NewNotRun(outcome.ReasonConfigurationLags)
	}
	r.upstream, ok = settings.Upstreams.LocalUpstream(request.Service)
	if !ok {
		return outcome.NewNotRun(outcome.ReasonUnreachable)
	}
	if settings.Clock.Now() >= request.Deadline {
		return outcome.NewNotRun(outcome.ReasonDeadlineExceeded)
	}
	return nil
}

func (r *ownerRequest) awaitConfiguration(ctx context.Context) bool {
	settings := &r.handler.settings
	if settings.Configuration == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, (r.request.Deadline - settings.Clock.Now()).Duration())
	defer cancel()
	return settings.Configuration.Await(ctx, r.request.ConfigVersion) == nil
}

// ownershipState is the state of this daemon's right to serve a request in a view.
type ownershipState int

const (
	// ownershipReady means that this daemon may serve the request.
	ownershipReady ownershipState = iota
	// ownershipPending means that the view is expected to change within maxOwnershipWait.
	ownershipPending
	// ownershipMoved means that another daemon owns the key.
	ownershipMoved
	// ownershipMissing means that the key has no owner.
	ownershipMissing
	// ownershipNoLease means that this daemon has no valid lease.
	ownershipNoLease
)

// awaitOwnership waits until this daemon may serve the request. It returns nil then, and
// otherwise the outcome of the refusal.
func (r *ownerRequest) awaitOwnership(ctx context.Context) outcome.Outcome {
	for waited := clock.Millis(0); ; waited += ownershipPollInterval {
		switch r.checkOwnership() {
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
		if r.handler.settings.Clock.Now() >= r.request.Deadline || !sleep(ctx, ownershipPollInterval) {
			return outcome.NewNotRun(outcome.ReasonDeadlineExceeded)
		}
	}
}

// checkOwnership returns the state in the newest view, and stores the ownership.
func (r *ownerRequest) checkOwnership() ownershipState {
	settings, request := &r.handler.settings, r.request
	view := settings.Views.View()
	now := settings.Clock.Now()
	if !hasValidLease(now, view) {
		return ownershipNoLease
	}
	if !r.rules.IsKeyed() {
		return ownershipReady
	}
	ownership, ok := view.Owner(request.Service, request.Shard, request.Key)
	r.ownership, r.ownerKnown = ownership, ok
	r.isOwner = ok && ownership.Owner.Incarnation == view.Self().Incarnation
	switch {
	case !ok:
		return ownershipMissing
	case request.Epoch > ownership.Epoch:
		return ownershipPending
	case !r.isOwner:
		return ownershipMoved
	case ownership.ServeFrom > now || r.handler.tracker.isStopped(r.scope()):
		return ownershipPending
	default:
		return ownershipReady
	}
}

func (r *ownerRequest) scope() requestScope {
	return requestScope{
		service:  r.request.Service,
		shard:    r.request.Shard,
		key:      r.request.Key,
		isHotKey: r.ownership.IsHotKey,
		epoch:    r.ownership.Epoch,
	}
}

func (r *ownerRequest) ownershipAge() dedupe.OwnershipAge {
	return dedupe.OwnershipAge{
		IsHotKey:     r.ownership.IsHotKey,
		Epoch:        r.ownership.Epoch,
		Age:          r.handler.settings.Clock.Now() - r.ownership.HeldSince,
		IsFirstOwner: r.ownership.IsFirstOwner,
	}
}

// deduplicate looks up the request ID of a non-idempotent request, and waits for the first
// attempt if that is in progress. It returns nil if the request must be run, and otherwise
// the response to it.
func (r *ownerRequest) deduplicate(ctx context.Context) *Response {
	request := r.request
	if !r.rules.IsKeyed() || r.route.Idempotent() || request.RequestID == "" {
		return nil
	}
	r.dedupeID = dedupe.ID{Service: request.Service, Key: request.Key, RequestID: request.RequestID}
	for {
		now := r.handler.settings.Clock.Now()
		result := r.handler.settings.Dedupe.Begin(now, r.dedupeID, r.ownershipAge().CheckStamp(request.Stamp))
		first, ok := result.(dedupe.InProgress)
		if !ok {
			return r.dedupeResponse(result)
		}
		if now >= request.Deadline || !waitFor(ctx, first.Ended(), request.Deadline-now) {
			return r.refuse(outcome.NewUnknown(outcome.ReasonTimeout))
		}
	}
}

func (r *ownerRequest) dedupeResponse(result dedupe.Result) *Response {
	switch result := result.(type) {
	case dedupe.Accepted:
		r.mustRecord = true
		return nil
	case dedupe.Completed:
		return r.replay(result.Record())
	case dedupe.Rejected:
		if result.Verdict() == dedupe.VerdictStampRequired {
			return r.refuse(outcome.NewNotRun(outcome.ReasonStampRequired))
		}
		return r.refuse(outcome.NewUnknown(outcome.ReasonOlderEpoch))
	default:
		return r.refuse(outcome.NewNotRun(outcome.ReasonOverloaded))
	}
}

// acquireSlot waits for a slot of the admission gate. It returns nil if it got one, and
// otherwise the outcome of the refusal.
func (r *ownerRequest) acquireSlot(ctx context.Context) outcome.Outcome {
	slot, err := r.upstream.Gate.Acquire(ctx, r.route.Priority(), r.request.Deadline)
	if err == nil {
		r.slot = slot
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

// waitFor waits until event is closed. It returns false if d passes or ctx ends first.
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
