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
	epoch   identity.Epoch
	drained []func()
}

// orders counts the orders in flight that may change state, for each shard and
// key, and keeps which of them are stopped. The zero value is ready.
type orders struct {
	mu    sync.Mutex
	units map[unit]*unitState
	// unsettled holds the orders of unknown outcome that still count.
	unsettled map[*unsettled]struct{}
}

// unsettled is an order that may still run at the upstream.
type unsettled struct{ place place }

// place says where an order belongs.
type place struct {
	service identity.Service
	shard   shard.ID
	key     string
	// apart tells that the key has an entry of its own, so that the order
	// doesn't belong to the shard.
	apart bool
	epoch identity.Epoch
}

func (p place) keyUnit() unit   { return unit{service: p.service, shard: p.shard, key: p.key} }
func (p place) shardUnit() unit { return unit{service: p.service, shard: p.shard} }

// enter counts an order, if counted is set, unless its place is stopped.
func (o *orders) enter(p place, counted bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isStopped(p) {
		return false
	}
	if !counted {
		return true
	}
	o.state(p.keyUnit()).inFlight++
	if !p.apart {
		o.state(p.shardUnit()).inFlight++
	}
	return true
}

// leave undoes a counted enter.
func (o *orders) leave(p place) {
	o.mu.Lock()
	ready := o.decrease(p.keyUnit())
	if !p.apart {
		ready = append(ready, o.decrease(p.shardUnit())...)
	}
	o.mu.Unlock()
	for _, drained := range ready {
		drained()
	}
}

// leaveLater undoes a counted enter after d, or earlier by settle.
func (o *orders) leaveLater(p place, d clock.Millis) {
	order := &unsettled{place: p}
	o.mu.Lock()
	if o.unsettled == nil {
		o.unsettled = make(map[*unsettled]struct{})
	}
	o.unsettled[order] = struct{}{}
	o.mu.Unlock()
	time.AfterFunc(d.Duration(), func() {
		if o.take(order) {
			o.leave(p)
		}
	})
}

func (o *orders) take(order *unsettled) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.unsettled[order]
	delete(o.unsettled, order)
	return ok
}

// settle ends the counting of all unsettled orders of a service.
func (o *orders) settle(service identity.Service) {
	var places []place
	o.mu.Lock()
	for order := range o.unsettled {
		if order.place.service == service {
			places = append(places, order.place)
			delete(o.unsettled, order)
		}
	}
	o.mu.Unlock()
	for _, p := range places {
		o.leave(p)
	}
}

// stopped tells whether orders of the place have to wait.
func (o *orders) stopped(p place) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isStopped(p)
}

// stop stops a unit that has the given epoch.
func (o *orders) stop(u unit, epoch identity.Epoch, drained func()) {
	o.mu.Lock()
	state := o.state(u)
	state.stopped, state.epoch = true, epoch
	empty := state.inFlight == 0
	if !empty {
		state.drained = append(state.drained, drained)
	}
	o.mu.Unlock()
	if empty {
		drained()
	}
}

// resume ends a stop. Callbacks of the stop that were not called are dropped.
func (o *orders) resume(u unit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state, ok := o.units[u]; ok {
		state.stopped, state.drained = false, nil
		o.forget(u, state)
	}
}

func (o *orders) isStopped(p place) bool {
	if o.isUnitStopped(p.keyUnit(), p.epoch) {
		return true
	}
	return !p.apart && o.isUnitStopped(p.shardUnit(), p.epoch)
}

func (o *orders) isUnitStopped(u unit, epoch identity.Epoch) bool {
	state, ok := o.units[u]
	if !ok || !state.stopped {
		return false
	}
	if epoch > state.epoch {
		state.stopped, state.drained = false, nil
		o.forget(u, state)
		return false
	}
	return true
}

func (o *orders) state(u unit) *unitState {
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

// decrease returns the callbacks that are due.
func (o *orders) decrease(u unit) []func() {
	state := o.state(u)
	state.inFlight--
	if state.inFlight > 0 {
		return nil
	}
	ready := state.drained
	state.drained = nil
	o.forget(u, state)
	return ready
}

func (o *orders) forget(u unit, state *unitState) {
	if state.inFlight == 0 && !state.stopped {
		delete(o.units, u)
	}
}
