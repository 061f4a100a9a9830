package router

import (
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
)

// unit is a part of a service that is handed over as a whole: a shard, or one
// key of it.
type unit struct {
	service identity.Service
	shard   shard.ID
	// key is empty for the shard.
	key string
}

type unitState struct {
	inFlight int
	stopped  bool
	// epoch is the one that was current at the stop; a newer one ends it.
	epoch     identity.Epoch
	onDrained []func()
}

// requestTracker counts the orders in flight that may change state, for each shard and
// key, and keeps which of them are stopped. The zero value is ready.
type requestTracker struct {
	mu    sync.Mutex
	units map[unit]*unitState
	// unresolved holds the orders of unknown outcome that still count.
	unresolved map[*unresolvedRequest]struct{}
}

// unresolvedRequest is an order that may still run at the upstream.
type unresolvedRequest struct{ scope requestScope }

// requestScope says where an order belongs.
type requestScope struct {
	service identity.Service
	shard   shard.ID
	key     string
	// isHotKey tells that the key has an entry of its own, so that the order
	// doesn't belong to the shard.
	isHotKey bool
	epoch    identity.Epoch
}

func (p requestScope) keyUnit() unit   { return unit{service: p.service, shard: p.shard, key: p.key} }
func (p requestScope) shardUnit() unit { return unit{service: p.service, shard: p.shard} }

// tryStart counts an order, if counted is set, unless its place is stopped.
func (o *requestTracker) tryStart(p requestScope, counted bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isStoppedLocked(p) {
		return false
	}
	if !counted {
		return true
	}
	o.stateOf(p.keyUnit()).inFlight++
	if !p.isHotKey {
		o.stateOf(p.shardUnit()).inFlight++
	}
	return true
}

// finish undoes a counted enter.
func (o *requestTracker) finish(p requestScope) {
	o.mu.Lock()
	ready := o.decrement(p.keyUnit())
	if !p.isHotKey {
		ready = append(ready, o.decrement(p.shardUnit())...)
	}
	o.mu.Unlock()
	for _, drained := range ready {
		drained()
	}
}

// finishAfter undoes a counted enter after d, or earlier by settle.
func (o *requestTracker) finishAfter(p requestScope, d clock.Millis) {
	order := &unresolvedRequest{scope: p}
	o.mu.Lock()
	if o.unresolved == nil {
		o.unresolved = make(map[*unresolvedRequest]struct{})
	}
	o.unresolved[order] = struct{}{}
	o.mu.Unlock()
	time.AfterFunc(d.Duration(), func() {
		if o.removeUnresolved(order) {
			o.finish(p)
		}
	})
}

func (o *requestTracker) removeUnresolved(order *unresolvedRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.unresolved[order]
	delete(o.unresolved, order)
	return ok
}

// finishUnresolved ends the counting of all unsettled orders of a service.
func (o *requestTracker) finishUnresolved(service identity.Service) {
	var places []requestScope
	o.mu.Lock()
	for order := range o.unresolved {
		if order.scope.service == service {
			places = append(places, order.scope)
			delete(o.unresolved, order)
		}
	}
	o.mu.Unlock()
	for _, p := range places {
		o.finish(p)
	}
}

// isStopped tells whether orders of the place have to wait.
func (o *requestTracker) isStopped(p requestScope) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isStoppedLocked(p)
}

// stop stops a unit that has the given epoch.
func (o *requestTracker) stop(u unit, epoch identity.Epoch, drained func()) {
	o.mu.Lock()
	state := o.stateOf(u)
	state.stopped, state.epoch = true, epoch
	empty := state.inFlight == 0
	if !empty {
		state.onDrained = append(state.onDrained, drained)
	}
	o.mu.Unlock()
	if empty {
		drained()
	}
}

// resume ends a stop. Callbacks of the stop that were not called are dropped.
func (o *requestTracker) resume(u unit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state, ok := o.units[u]; ok {
		state.stopped, state.onDrained = false, nil
		o.deleteIfUnused(u, state)
	}
}

func (o *requestTracker) isStoppedLocked(p requestScope) bool {
	if o.isUnitStoppedLocked(p.keyUnit(), p.epoch) {
		return true
	}
	return !p.isHotKey && o.isUnitStoppedLocked(p.shardUnit(), p.epoch)
}

func (o *requestTracker) isUnitStoppedLocked(u unit, epoch identity.Epoch) bool {
	state, ok := o.units[u]
	if !ok || !state.stopped {
		return false
	}
	if epoch > state.epoch {
		state.stopped, state.onDrained = false, nil
		o.deleteIfUnused(u, state)
		return false
	}
	return true
}

func (o *requestTracker) stateOf(u unit) *unitState {
	if state, ok := o.units[u]; ok {
		return state
	}
	if o.units == nil {
		o.units = make(map[unit]*unitState)
	}
	state := &unitState{}
	o.units[u] = state
	return state
}

// decrement returns the callbacks that are due.
func (o *requestTracker) decrement(u unit) []func() {
	state := o.stateOf(u)
	state.inFlight--
	if state.inFlight > 0 {
		return nil
	}
	ready := state.onDrained
	state.onDrained = nil
	o.deleteIfUnused(u, state)
	return ready
}

func (o *requestTracker) deleteIfUnused(u unit, state *unitState) {
	if state.inFlight == 0 && !state.stopped {
		delete(o.units, u)
	}
}
