// Package upstream defines the interface to the upstream server that runs on the
// same instance as the daemon.
package upstream

import (
	"context"
	"io"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shard"
)

// Fencing is the set of checks that an upstream makes before it runs a request.
type Fencing string

const (
	// FencingEpoch means that the upstream checks the epoch and the expiry of the grant.
	FencingEpoch Fencing = "epoch"
	// FencingDeadline means that the upstream checks only the request's deadline.
	FencingDeadline Fencing = "deadline"
	// FencingNone means that the upstream checks nothing.
	FencingNone Fencing = "none"
)

// Header is one HTTP header field.
type Header struct {
	name  string
	value string
}

// NewHeader returns a header field.
func NewHeader(name, value string) Header { return Header{name: name, value: value} }

// Name returns the field's name.
func (h Header) Name() string { return h.name }

// Value returns the field's value.
func (h Header) Value() string { return h.value }

// Request is a request to the upstream.
type Request struct {
	// Service, Key, Shard and Epoch identify the ownership under which the request is
	// sent.
	Service identity.Service
	Key     string
	Shard   shard.ID
	Epoch   identity.Epoch
	// Method and Path come from the caller; Path is the part below the service.
	Method  string
	Path    string
	Headers []Header
	// Body is streamed; nil means no body. ContentLength is -1 if unknown.
	Body          io.Reader
	ContentLength int64
	// DeadlineUnixMillis is the time from which the upstream must not act on the
	// request, on the wall clock of the instance that it shares with the daemon.
	DeadlineUnixMillis int64
	// Attempt is the number of this attempt to send the request, from 1.
	Attempt   int
	RequestID string
}

// Response is a response of the upstream. Body must be closed; its Read returns an
// error other than io.EOF if the body ends early.
type Response struct {
	Status        int
	Headers       []Header
	Body          io.ReadCloser
	ContentLength int64
}

// Grant permits the upstream to act on shards, each under its epoch, until
// ExpiresUnixMillis.
type Grant struct {
	Service           identity.Service
	Shards            []GrantedShard
	ExpiresUnixMillis int64
}

// GrantedShard is an entry of a Grant: a shard and its epoch, or a hot key of the
// shard and the epoch of that key if HotKey is not "".
type GrantedShard struct {
	Shard  shard.ID
	HotKey string
	Epoch  identity.Epoch
}

// Load is the load report of an upstream. The report may be out of date or wrong.
type Load struct {
	InFlight int
	Slots    int
	Draining bool
	// Slowness is the present service time in percent of the usual one, 0 if unknown.
	Slowness int
}

// Upstream is a client of the upstream of this instance.
type Upstream interface {
	// Do sends the request. Cancelling ctx cancels the request at the upstream. A
	// non-nil error is a *SendError.
	Do(ctx context.Context, request Request) (Response, error)
	// Grant replaces the grants of one service.
	Grant(ctx context.Context, grant Grant) error
	// Load reads the load report of the upstream.
	Load(ctx context.Context) (Load, error)
}

// SendError reports a request that got no complete response head, or that the
// upstream refused. Its outcome says whether the request may have been run.
type SendError struct {
	outcome outcome.Outcome
	cause   error
}

// NewSendError returns a SendError. The outcome must be NotRun only if no byte of
// the request can have reached the upstream, or the upstream itself refused it.
func NewSendError(o outcome.Outcome, cause error) *SendError {
	return &SendError{outcome: o, cause: cause}
}

// Outcome returns an outcome.NotRun or an outcome.Unknown.
func (e *SendError) Outcome() outcome.Outcome { return e.outcome }

func (e *SendError) Error() string {
	return "request to upstream failed: " + e.outcome.String() + ": " + e.cause.Error()
}

func (e *SendError) Unwrap() error { return e.cause }
