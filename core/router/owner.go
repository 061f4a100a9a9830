package router

import (
	"context"
	"sync"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dedupe"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shard"
)

const (
	// pollInterval is the time in milliseconds between two looks at a view that
	// is about to change.
	pollInterval clock.Millis = 10
	// moveWait is how long in milliseconds a request waits for a stopped shard's
	// new owner, or for this daemon's own view to catch up with the sender's.
	moveWait clock.Millis = 300
	// maxRounds bounds how often a request starts again because its shard was
	// stopped while it waited for a slot.
	maxRounds = 2
)

// OwnerPorts are what an Owner needs. Views, Backends, Clock and UnixMillis are
// required.
type OwnerPorts struct {
	Views    Views
	Backends Backends
	Clock    clock.Clock
	// UnixMillis reads the wall clock that the upstream on the instance shares.
	UnixMillis func() int64
	// Configuration is asked when a request was routed under a newer
	// configuration; nil refuses such a request.
	Configuration Configuration
	// Dedupe holds the first outcome of each request ID; nil means a table with
	// default limits.
	Dedupe *dedupe.Table
	// Forwarder passes requests with a body on to a shard's new owner, because
	// the daemon that sent them can't replay the body; nil refuses them.
	Forwarder Forwarder
	// Measured, if set, is told of each order to the upstream that ended.
	Measured func(Measurement)
}

// Measurement is what an order used.
type Measurement struct {
	Service identity.Service
	Shard   shard.ID
	Key     string
	// Held is the time for which the order held its slot, in milliseconds.
	Held    clock.Millis
	Outcome outcome.Outcome
}

// Owner runs the steps of the owner's daemon. It is safe for concurrent use.
type Owner struct {
	ports  OwnerPorts
	orders orders
	work   work
}

// NewOwner returns an Owner.
func NewOwner(ports OwnerPorts) *Owner {
	if ports.Dedupe == nil {
		ports.Dedupe = &dedupe.Table{}
	}
	return &Owner{ports: ports}
}

// Serve runs a request that this daemon should own; it never returns nil.
func (o *Owner) Serve(ctx context.Context, request *Request) *Response {
	x := &exchange{owner: o, request: request}
	if !o.work.begin() {
		return x.refuse(outcome.NewNotRun(outcome.ReasonDraining))
	}
	response := x.run(ctx)
	if response.Body == nil {
		o.work.end()
	}
	return response
}

// StopShard stops sending orders for a shard, apart from hot keys with an
// entry of their own, and calls drained once when no order that may change
// state is in flight. An order counts until its deadline if its outcome is
// unknown. It may call drained before it returns.
func (o *Owner) StopShard(service identity.Service, id shard.ID, drained func()) {
	ownership, _ := o.ports.Views.View().Owner(service, id, "")
	o.orders.stop(unit{service: service, shard: id}, ownership.Epoch, drained)
}

// ResumeShard undoes StopShard after a handover that was given up. A shard
// that this daemon owns under a newer epoch needs no ResumeShard.
func (o *Owner) ResumeShard(service identity.Service, id shard.ID) {
	o.orders.resume(unit{service: service, shard: id})
}

// StopKey is StopShard for one key of the shard, hot or about to be.
func (o *Owner) StopKey(service identity.Service, id shard.ID, key string, drained func()) {
	ownership, _ := o.ports.Views.View().Owner(service, id, key)
	o.orders.stop(unit{service: service, shard: id, key: key}, ownership.Epoch, drained)
}

// ResumeKey undoes StopKey. It is also needed when the key is a part of its
// shard again, whose epoch may be older than the key's was.
func (o *Owner) ResumeKey(service identity.Service, id shard.ID, key string) {
	o.orders.resume(unit{service: service, shard: id, key: key})
}

// UpstreamGone ends the counting of orders of unknown outcome at once. The
// caller states that the upstream of the service can't act on them any more:
// its process has ended, or it checks grants and the last one has expired.
// Without it a handover after the loss of an upstream would wait until the
// deadlines of these orders.
func (o *Owner) UpstreamGone(service identity.Service) {
	o.orders.settle(service)
}

// InFlight returns the requests that are waiting or running here.
func (o *Owner) InFlight() int { return o.work.count() }

// Stop refuses new requests from now on and returns when none is in flight,
// or with the error of ctx.
func (o *Owner) Stop(ctx context.Context) error {
	select {
	case <-o.work.stop():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// work counts the requests in flight. The zero value is ready.
type work struct {
	mu       sync.Mutex
	inFlight int
	// idle is set by stop, and closed when no request is in flight.
	idle chan struct{}
}

func (w *work) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.idle != nil {
		return false
	}
	w.inFlight++
	return true
}

func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if w.inFlight == 0 && w.idle != nil {
		close(w.idle)
	}
}

func (w *work) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}

func (w *work) stop() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.idle == nil {
		w.idle = make(chan struct{})
		if w.inFlight == 0 {
			close(w.idle)
		}
	}
	return w.idle
}
