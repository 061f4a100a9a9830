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
	// ownershipPollInterval is the time in milliseconds between two reads of the view while
	// a request waits for it to change.
	ownershipPollInterval clock.Millis = 10
	// maxOwnershipWait is the maximum time in milliseconds that a request waits for the new
	// owner of a stopped shard, or for this daemon's view to catch up with the sender's.
	maxOwnershipWait clock.Millis = 300
	// maxAdmissionAttempts is the maximum number of times that a request waits for a slot.
	// It waits again if its shard was stopped in the meantime.
	maxAdmissionAttempts = 2
)

// OwnerSettings configures an OwnerHandler. Views, Upstreams, Clock and UnixMillis are
// required.
type OwnerSettings struct {
	Views     ViewSource
	Upstreams LocalUpstreams
	Clock     clock.Clock
	// UnixMillis reads the wall clock, which the daemon shares with the upstream on its
	// instance.
	UnixMillis func() int64
	// Configuration is used to wait when a request was routed under a newer configuration
	// than that in force here. If it is nil, such requests are refused.
	Configuration ConfigurationWaiter
	// Dedupe holds the first outcome of each request ID; nil means a table with the
	// default limits.
	Dedupe *dedupe.Table
	// Forwarder relays requests with a body to the new owner of a shard, because the
	// daemon that sent them can't send the body again. If it is nil, they are refused.
	Forwarder Forwarder
	// OnUsage, if set, is called at the end of each request to the upstream.
	OnUsage func(RequestUsage)
}

// RequestUsage describes the upstream capacity that a request used.
type RequestUsage struct {
	Service identity.Service
	Shard   shard.ID
	Key     string
	// SlotTime is the time in milliseconds for which the request held its slot.
	SlotTime clock.Millis
	Outcome  outcome.Outcome
}

// OwnerHandler handles requests at the daemon that owns their key, and at the chosen member
// of an unkeyed service. It is safe for concurrent use.
type OwnerHandler struct {
	settings OwnerSettings
	tracker  requestTracker
	requests requestCounter
}

// NewOwnerHandler returns an OwnerHandler.
func NewOwnerHandler(settings OwnerSettings) *OwnerHandler {
	if settings.Dedupe == nil {
		settings.Dedupe = &dedupe.Table{}
	}
	return &OwnerHandler{settings: settings}
}

// Serve checks that this daemon owns the key of the request and sends the request to the
// upstream. The response is never nil.
func (o *OwnerHandler) Serve(ctx context.Context, request *Request) *Response {
	r := &ownerRequest{handler: o, request: request}
	if !o.requests.begin() {
		return r.refuse(outcome.NewNotRun(outcome.ReasonDraining))
	}
	response := r.run(ctx)
	if response.Body == nil {
		o.requests.end()
	}
	return response
}

// StopShard stops sending requests for a shard to the upstream, and calls drained once when
// no request that may change state is in flight. Hot keys that are owned separately from
// the shard are not affected. A request of unknown outcome counts as in flight until its
// deadline. StopShard may call drained before it returns.
func (o *OwnerHandler) StopShard(service identity.Service, id shard.ID, drained func()) {
	ownership, _ := o.settings.Views.View().Owner(service, id, "")
	o.tracker.stop(unit{service: service, shard: id}, ownership.Epoch, drained)
}

// ResumeShard undoes StopShard after an abandoned handover. It is not needed if this daemon
// owns the shard again under a newer epoch.
func (o *OwnerHandler) ResumeShard(service identity.Service, id shard.ID) {
	o.tracker.resume(unit{service: service, shard: id})
}

// StopKey is StopShard for one key of the shard, which is a hot key or about to become one.
func (o *OwnerHandler) StopKey(service identity.Service, id shard.ID, key string, drained func()) {
	ownership, _ := o.settings.Views.View().Owner(service, id, key)
	o.tracker.stop(unit{service: service, shard: id, key: key}, ownership.Epoch, drained)
}

// ResumeKey undoes StopKey. It is also needed when the key becomes a part of its shard
// again, because the epoch of the shard may be older than that of the key was.
func (o *OwnerHandler) ResumeKey(service identity.Service, id shard.ID, key string) {
	o.tracker.resume(unit{service: service, shard: id, key: key})
}

// ReleaseUnresolved stops counting the requests of unknown outcome of a service as in
// flight. It must be called only when the upstream of the service can't act on them any
// more: its process has ended, or it checks grants and the last one has expired. Without
// this call, a handover after the loss of an upstream would wait until the deadlines of
// these requests.
func (o *OwnerHandler) ReleaseUnresolved(service identity.Service) {
	o.tracker.finishUnresolved(service)
}

// InFlight returns the number of requests that are waiting or running on this daemon.
func (o *OwnerHandler) InFlight() int { return o.requests.count() }

// Stop refuses new requests, and waits until none is in flight. It returns the error of ctx
// if that ends first.
func (o *OwnerHandler) Stop(ctx context.Context) error {
	select {
	case <-o.requests.stop():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requestCounter counts the requests in flight, and rejects new ones after stop. The zero
// value is ready to use.
type requestCounter struct {
	mu       sync.Mutex
	inFlight int
	// idle is nil until stop is called. It is closed when no request is in flight.
	idle chan struct{}
}

// begin counts a request. It returns false after stop.
func (c *requestCounter) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle != nil {
		return false
	}
	c.inFlight++
	return true
}

func (c *requestCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.inFlight == 0 && c.idle != nil {
		close(c.idle)
	}
}

func (c *requestCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// stop rejects new requests, and returns a channel that is closed when none is in flight.
func (c *requestCounter) stop() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(chan struct{})
		if c.inFlight == 0 {
			close(c.idle)
		}
	}
	return c.idle
}
