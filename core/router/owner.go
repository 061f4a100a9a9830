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
	// ownershipPollInterval is the time in milliseconds between two looks at a view that
	// is about to change.
	ownershipPollInterval clock.Millis = 10
	// maxOwnershipWait is how long in milliseconds a request waits for a stopped shard's
	// new owner, or for this daemon's own view to catch up with the sender's.
	maxOwnershipWait clock.Millis = 300
	// maxAdmissionAttempts bounds how often a request starts again because its shard was
	// stopped while it waited for a slot.
	maxAdmissionAttempts = 2
)

// OwnerSettings are what an Owner needs. Views, Backends, Clock and UnixMillis are
// required.
type OwnerSettings struct {
	Views     ViewSource
	Upstreams LocalUpstreams
	Clock     clock.Clock
	// UnixMillis reads the wall clock that the upstream on the instance shares.
	UnixMillis func() int64
	// Configuration is asked when a request was routed under a newer
	// configuration; nil refuses such a request.
	Configuration ConfigurationWaiter
	// Dedupe holds the first outcome of each request ID; nil means a table with
	// default limits.
	Dedupe *dedupe.Table
	// Forwarder passes requests with a body on to a shard's new owner, because
	// the daemon that sent them can't replay the body; nil refuses them.
	Forwarder Forwarder
	// OnUsage, if set, is told of each order to the upstream that ended.
	OnUsage func(RequestUsage)
}

// RequestUsage is what an order used.
type RequestUsage struct {
	Service identity.Service
	Shard   shard.ID
	Key     string
	// SlotTime is the time for which the order held its slot, in milliseconds.
	SlotTime clock.Millis
	Outcome  outcome.Outcome
}

// OwnerHandler runs the steps of the owner's daemon. It is safe for concurrent use.
type OwnerHandler struct {
	settings OwnerSettings
	tracker  requestTracker
	requests requestCounter
}

// NewOwnerHandler returns an Owner.
func NewOwnerHandler(ports OwnerSettings) *OwnerHandler {
	if ports.Dedupe == nil {
		ports.Dedupe = &dedupe.Table{}
	}
	return &OwnerHandler{settings: ports}
}

// Serve runs a request that this daemon should own; it never returns nil.
func (o *OwnerHandler) Serve(ctx context.Context, request *Request) *Response {
	x := &ownerRequest{handler: o, request: request}
	if !o.requests.begin() {
		return x.refuse(outcome.NewNotRun(outcome.ReasonDraining))
	}
	response := x.run(ctx)
	if response.Body == nil {
		o.requests.end()
	}
	return response
}

// StopShard stops sending orders for a shard, apart from hot keys with an
// entry of their own, and calls drained once when no order that may change
// state is in flight. An order counts until its deadline if its outcome is
// unknown. It may call drained before it returns.
func (o *OwnerHandler) StopShard(service identity.Service, id shard.ID, drained func()) {
	ownership, _ := o.settings.Views.View().Owner(service, id, "")
	o.tracker.stop(unit{service: service, shard: id}, ownership.Epoch, drained)
}

// ResumeShard undoes StopShard after a handover that was given up. A shard
// that this daemon owns under a newer epoch needs no ResumeShard.
func (o *OwnerHandler) ResumeShard(service identity.Service, id shard.ID) {
	o.tracker.resume(unit{service: service, shard: id})
}

// StopKey is StopShard for one key of the shard, hot or about to be.
func (o *OwnerHandler) StopKey(service identity.Service, id shard.ID, key string, drained func()) {
	ownership, _ := o.settings.Views.View().Owner(service, id, key)
	o.tracker.stop(unit{service: service, shard: id, key: key}, ownership.Epoch, drained)
}

// ResumeKey undoes StopKey. It is also needed when the key is a part of its
// shard again, whose epoch may be older than the key's was.
func (o *OwnerHandler) ResumeKey(service identity.Service, id shard.ID, key string) {
	o.tracker.resume(unit{service: service, shard: id, key: key})
}

// ReleaseUnresolved ends the counting of orders of unknown outcome at once. The
// caller states that the upstream of the service can't act on them any more:
// its process has ended, or it checks grants and the last one has expired.
// Without it a handover after the loss of an upstream would wait until the
// deadlines of these orders.
func (o *OwnerHandler) ReleaseUnresolved(service identity.Service) {
	o.tracker.finishUnresolved(service)
}

// InFlight returns the requests that are waiting or running here.
func (o *OwnerHandler) InFlight() int { return o.requests.count() }

// Stop refuses new requests from now on and returns when none is in flight,
// or with the error of ctx.
func (o *OwnerHandler) Stop(ctx context.Context) error {
	select {
	case <-o.requests.stop():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requestCounter counts the requests in flight. The zero value is ready.
type requestCounter struct {
	mu       sync.Mutex
	inFlight int
	// idle is set by stop, and closed when no request is in flight.
	idle chan struct{}
}

func (w *requestCounter) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.idle != nil {
		return false
	}
	w.inFlight++
	return true
}

func (w *requestCounter) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if w.inFlight == 0 && w.idle != nil {
		close(w.idle)
	}
}

func (w *requestCounter) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}

func (w *requestCounter) stop() <-chan struct{} {
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
