package router

import (
	"context"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dedupe"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
)

// OwnerPorts are what an Owner needs. All are required but Configuration and
// Dedupe.
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
}

// Owner runs the steps of the owner's daemon.
type Owner struct {
	ports OwnerPorts
}

// NewOwner returns an Owner.
func NewOwner(ports OwnerPorts) *Owner {
	return &Owner{ports: ports}
}

// Serve runs a request that this daemon should own; it never returns nil.
func (o *Owner) Serve(ctx context.Context, request *Request) *Response {
	_, _ = ctx, request
	return nil
}

// StopShard stops sending orders for a shard, apart from hot keys with an
// entry of their own, and calls drained once when no order that may change
// state is in flight. It may call drained before it returns.
func (o *Owner) StopShard(service identity.Service, id shard.ID, drained func()) {
	_, _, _ = service, id, drained
}

// ResumeShard undoes StopShard after a handover that was given up. A shard
// that this daemon owns under a newer epoch needs no ResumeShard.
func (o *Owner) ResumeShard(service identity.Service, id shard.ID) {
	_, _ = service, id
}

// StopKey is StopShard for one key of the shard, hot or about to be.
func (o *Owner) StopKey(service identity.Service, id shard.ID, key string, drained func()) {
	_, _, _, _ = service, id, key, drained
}

// ResumeKey undoes StopKey.
func (o *Owner) ResumeKey(service identity.Service, id shard.ID, key string) {
	_, _, _ = service, id, key
}

// Stop refuses new requests from now on and returns when none is in flight,
// or with the error of ctx.
func (o *Owner) Stop(ctx context.Context) error {
	return ctx.Err()
}
