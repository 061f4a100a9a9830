// Package upstream is the port to the upstream server that stands on the same
// instance as the daemon.
package upstream

import (
	"context"
	"io"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shard"
)

// Fencing says what an upstream checks before it acts on an order.
type Fencing string

const (
	// FencingEpoch means that the upstream checks the epoch and the grant's end.
	FencingEpoch Fencing = "epoch"
	// FencingDeadline means that the upstream checks the order's deadline only.
	FencingDeadline Fencing = "deadline"
	// FencingNone means that the upstream checks neither.
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
	// Service, Key, Shard and Epoch say under which ownership the order is sent.
	Service identity.Service
	Key     string
	Shard   shard.ID
	Epoch   identity.Epoch
	// Method and Path are those of the caller, below the service.
	Method  string
	Path    string
	Headers []Header
	// Body is streamed; nil means none. ContentLength is -1 if unknown.
	Body          io.Reader
	ContentLength int64
	// DeadlineUnixMillis is when the upstream must not act any more, on the wall
	// clock of the shared instance.
	DeadlineUnixMillis int64
	// Attempt numbers the attempts of the request, from 1.
	Attempt   int
	RequestID string
}

// Response is the upstream's response. The body must be closed. A body that
// ends early returns an error other than io.EOF.
type Response struct {
	Status        int
	Headers       []Header
	Body          io.ReadCloser
	ContentLength int64
}

// Grant tells the upstream that it may act on a shard under an epoch until the
// given time.
type Grant struct {
	Service           identity.Service
	Shards            []GrantedShard
	ExpiresUnixMillis int64
}

// GrantedShard is a shard, or a hot key of it if HotKey is not "", and its epoch
// within a Grant.
type GrantedShard struct {
	Shard  shard.ID
	HotKey string
	Epoch  identity.Epoch
}

// Load is what the upstream says of itself. It may lag or mislead.
type Load struct {
	InFlight int
	Slots    int
	Draining bool
}

// Upstream sends orders to the upstream of this instance.
type Upstream interface {
	// Do sends the order. Cancelling ctx cancels the order at the upstream. The
	// error, if any, is a *SendError.
	Do(ctx context.Context, order Request) (Response, error)
	// Grant replaces the grants of one service.
	Grant(ctx context.Context, grant Grant) error
	// Load reads the upstream's own load report.
	Load(ctx context.Context) (Load, error)
}

// SendError says that an order got no whole answer head, and whether it may
// have been run.
type SendError struct {
	outcome outcome.Outcome
	cause   error
}

// NewSendError returns a SendError. The outcome is NotRun only if no byte of
// the order can have reached the upstream, or it refused the order itself.
func NewSendError(o outcome.Outcome, cause error) *SendError {
	return &SendError{outcome: o, cause: cause}
}

// Outcome returns NotRun or Unknown.
func (e *SendError) Outcome() outcome.Outcome { return e.outcome }

func (e *SendError) Error() string {
	return "order to upstream failed: " + e.outcome.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }
