package router

import (
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
)

// unit is the part of a service that is handed over as a whole: a shard, or one key of it.
type unit struct {
	service identity.Service
	shard   shard.ID
	// key is "" for a shard.
	key string
}

type unitState struct {
	inFlight int
	stopped  bool
	// epoch is the epoch that was current at the stop. A newer epoch ends the stop.
	epoch identity.Epoch
	// onDrained are called when inFlight becomes 0.
	onDrained []func()
}

// requestTracker counts, for each shard and key, the requests in flight at the upstream that
// may change state, and records which shards and keys are stopped. The zero value is ready
// to use.
type requestTracker struct {
	mu    sync.Mutex
	units map[unit]*unitState
	// unresolved holds the requests of unknown outcome that are counted until their
	// deadlines.
	unresolved map[*unresolvedRequest]struct{}
}

// unresolvedRequest is a request that the upstream may still run.
type unresolvedRequest struct{ scope requestScope }

// requestScope identifies the units to which a request belongs.
type requestScope struct {
	service identity.Service
	shard   shard.ID
	key     string
	// isHotKey reports whether the key is owned separately, so that the request doesn't
	// belong to the shard.
	isHotKey bool
	epoch    identity.Epoch
}

func (s requestScope) keyUnit() unit   { return unit{service: s.service, shard: s.shard, key: s.key} }
func (s requestScope) shardUnit() unit { return unit{service: s.service, shard: s.shard} }

// tryStart counts a request if counted is set. It returns false if its shard or key is
// stopped.
func (t *requestTracker) tryStart(scope requestScope, counted bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isStoppedLocked(scope) {
		return false
	}
	if !counted {
		return true
	}
	t.stateOf(scope.keyUnit()).inFlight++
	if !scope.isHotKey {
		t.stateOf(scope.shardUnit()).inFlight++
	}
	return true
}

// finish stops counting a request that tryStart counted.
func (t *requestTracker) finish(scope requestScope) {
	t.mu.Lock()
	callbacks := t.decrement(scope.keyUnit())
	if !scope.isHotKey {
		callbacks = append(callbacks, t.decrement(scope.shardUnit())...)
	}
	t.mu.Unlock()
	for _, drained := range callbacks {
		drained()
	}
}

// finishAfter stops counting a request after d, or earlier by finishUnresolved.
func (t *requestTracker) finishAfter(scope requestScope, d clock.Millis) {
	request := &unresolvedRequest{scope: scope}
	t.mu.Lock()
	if t.unresolved == nil {
		t.unresolved = make(map[*unresolvedRequest]struct{})
	}
	t.unresolved[request] = struct{}{}
	t.mu.Unlock()
	time.AfterFunc(d.Duration(), func() {
		if t.removeUnresolved(request) {
			t.finish(scope)
		}
	})
}

// removeUnresolved removes a request, and reports whether it was still counted.
func (t *requestTracker) removeUnresolved(request *unresolvedRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.unresolved[request]
	delete(t.unresolved, request)
	return ok
}

// finishUnresolved stops counting all unresolved requests of a service.
func (t *requestTracker) finishUnresolved(service identity.Service) {
	var scopes []requestScope
	t.mu.Lock()
	for request := range t.unresolved {
		if request.scope.service == service {
			scopes = append(scopes, request.scope)
			delete(t.unresolved, request)
		}
	}
	t.mu.Unlock()
	for _, scope := range scopes {
		t.finish(scope)
	}
}

// isStopped reports whether the shard or key of a request is stopped.
func (t *requestTracker) isStopped(scope requestScope) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isStoppedLocked(scope)
}

// stop stops a unit under the given epoch, and calls drained when none of its requests is in
// flight.
func (t *requestTracker) stop(u unit, epoch identity.Epoch, drained func()) {
	t.mu.Lock()
	state := t.stateOf(u)
	state.stopped, state.epoch = true, epoch
	empty := state.inFlight == 0
	if !empty {
		state.onDrained = append(state.onDrained, drained)
	}
	t.mu.Unlock()
	if empty {
		drained()
	}
}

// resume ends a stop. Callbacks of the stop that were not called yet are dropped.
func (t *requestTracker) resume(u unit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state, ok := t.units[u]; ok {
		state.stopped, state.onDrained = false, nil
		t.deleteIfUnused(u, state)
	}
}

// isStoppedLocked is isStopped for callers that hold mu.
func (t *requestTracker) isStoppedLocked(scope requestScope) bool {
	if t.isUnitStoppedLocked(scope.keyUnit(), scope.epoch) {
		return true
	}
	return !scope.isHotKey && t.isUnitStoppedLocked(scope.shardUnit(), scope.epoch)
}

// isUnitStoppedLocked reports whether a unit is stopped for requests under the epoch. It
// ends a stop that was made under an older epoch.
func (t *requestTracker) isUnitStoppedLocked(u unit, epoch identity.Epoch) bool {
	state, ok := t.units[u]
	if !ok || !state.stopped {
		return false
	}
	if epoch > state.epoch {
		state.stopped, state.onDrained = false, nil
		t.deleteIfUnused(u, state)
		return false
	}
	return true
}

func (t *requestTracker) stateOf(u unit) *unitState {
	if state, ok := t.units[u]; ok {
		return state
	}
	if t.units == nil {
		t.units = make(map[unit]*unitState)
	}
	state := &unitState{}
	t.units[u] = state
	return state
}

// decrement stops counting one request of a unit. It returns the callbacks to call if that
// was the last one.
func (t *requestTracker) decrement(u unit) []func() {
	state := t.stateOf(u)
	state.inFlight--
	if state.inFlight > 0 {
		return nil
	}
	callbacks := state.onDrained
	state.onDrained = nil
	t.deleteIfUnused(u, state)
	return callbacks
}

func (t *requestTracker) deleteIfUnused(u unit, state *unitState) {
	if state.inFlight == 0 && !state.stopped {
		delete(t.units, u)
	}
}
