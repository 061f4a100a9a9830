// Package router holds the request path of a daemon: it parses a caller's
// request, routes it to the daemon of the owner, and runs it there under the
// owner's lease.
//
// Lock order: the tables of this package and those below it are locked one at
// a time. Where two are needed, the order is dedupe.Table, admission.Gate, the
// shard orders of Owner. No lock is held while a port is called.
package router

import (
	"context"
	"io"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// CallerRequest is a request as an entry daemon receives it over HTTP.
type CallerRequest struct {
	Method string
	// Target is the path and query of the request line.
	Target  string
	Headers []upstream.Header
	// Body is streamed; nil means none. ContentLength is -1 if unknown.
	Body          io.Reader
	ContentLength int64
}

// Request is a parsed request on its way to the owner.
type Request struct {
	Service identity.Service
	// Key and Shard are zero for an unkeyed service.
	Key   string
	Shard shard.ID
	// Epoch is the one that the sender knows for the shard, 0 if unkeyed.
	Epoch  identity.Epoch
	Method string
	// Path is the path below the service and the query, as the caller sent them.
	Path string
	// Headers are end-to-end headers without those of outcome.
	Headers       []upstream.Header
	RequestID     string
	Stamp         string
	Body          io.Reader
	ContentLength int64
	// Deadline is a point on the clock of the daemon that holds the Request.
	Deadline      clock.Millis
	ConfigVersion uint64
	// Attempt numbers the attempts of the request, from 1.
	Attempt int
	// Relayed tells that a former owner passed the request on. It is not passed
	// on again, so that two daemons with different views can't form a loop.
	Relayed bool
}

// Response is the answer to a request. The caller of Serve or Forward must
// close Body unless it is nil; the body of the request may be read until then.
// Body is read and closed by one goroutine. A Body that ends early returns a
// *TruncatedError; the answer must then be aborted, not ended.
type Response struct {
	Outcome outcome.Outcome
	// Status is the HTTP status for the caller.
	Status int
	// Headers are end-to-end headers. Those that Entry.Serve returns include the
	// headers of package outcome.
	Headers       []upstream.Header
	Body          io.ReadCloser
	ContentLength int64
	// Keyed tells that Shard and Epoch are set.
	Keyed bool
	Shard shard.ID
	Epoch identity.Epoch
	Stamp string
	// ServedBy names the instance whose upstream answered.
	ServedBy string
	// OwnerHTTP and OwnerPeer are the addresses of the owner's daemon, if known.
	OwnerHTTP string
	OwnerPeer string
	// Replay is the value of HeaderReplay, "" for a first answer.
	Replay   string
	Attempts int
}

// Member is a daemon that serves a service.
type Member struct {
	Incarnation identity.Incarnation
	// Instance is the instance's name.
	Instance    string
	PeerAddress string
	HTTPAddress string
	Location    identity.Location
	Slots       int
	// InFlight is the last measured number of orders in flight.
	InFlight int
}

// Ownership is what a daemon knows of the owner of a key.
type Ownership struct {
	Owner Member
	Epoch identity.Epoch
	// IsHotKey tells that the key has an entry of its own, apart from its shard.
	IsHotKey bool
	// HeldSince is when this daemon got the epoch, if it is the owner.
	HeldSince clock.Millis
	// IsFirstOwner tells that the shard never had another owner.
	IsFirstOwner bool
	// ServeFrom is the earliest moment at which this daemon may send orders
	// under the epoch: later than HeldSince for fencing "none" after a
	// replacement. Zero means at once.
	ServeFrom clock.Millis
}

// View is a consistent snapshot of the control state.
type View interface {
	// Self returns this daemon.
	Self() Member
	// LeaseEnd returns the end of this daemon's lease, zero if it has none.
	LeaseEnd() clock.Millis
	// Catalog returns the configuration in force.
	Catalog() template.Catalog
	// Owner returns the owner of a key, or false if it has none.
	Owner(service identity.Service, id shard.ID, key string) (Ownership, bool)
	// Members returns the live members of a service; callers must not change
	// the slice.
	Members(service identity.Service) []Member
}

// ViewSource returns the newest snapshot at each call.
type ViewSource interface {
	View() View
}

// Forwarder sends a request to the daemon at a peer address. It returns a
// *ForwardError if no answer head arrived.
type Forwarder interface {
	Forward(ctx context.Context, peerAddress string, request *Request) (*Response, error)
}

// LocalUpstream is the upstream of a service on this instance, with its admission.
type LocalUpstream struct {
	Client upstream.Upstream
	Gate   *admission.Gate
	// Lost, if set, is done when the upstream counts as lost. Orders in flight
	// are then given up, with an unknown outcome.
	Lost context.Context
}

// LocalUpstreams returns the upstream of a service, or false if none is announced.
type LocalUpstreams interface {
	LocalUpstream(service identity.Service) (LocalUpstream, bool)
}

// ConfigurationWaiter waits until a configuration version is in force, fetching it
// if needed. It returns an error if ctx ends first.
type ConfigurationWaiter interface {
	Await(ctx context.Context, version uint64) error
}

// Random is a source of random numbers that is safe for concurrent use.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// ForwardError says that a forwarded request got no answer head.
type ForwardError struct {
	outcome outcome.Outcome
	cause   error
}

// NewForwardError returns a ForwardError. The outcome is NotRun only if no
// byte of the request can have been sent.
func NewForwardError(o outcome.Outcome, cause error) *ForwardError {
	return &ForwardError{outcome: o, cause: cause}
}

// Outcome returns NotRun or Unknown.
func (e *ForwardError) Outcome() outcome.Outcome { return e.outcome }

func (e *ForwardError) Error() string {
	return "forwarding failed: " + e.outcome.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.cause }

// TruncatedError says that the body of an answer ended early.
type TruncatedError struct{ cause error }

// NewTruncatedError returns a TruncatedError.
func NewTruncatedError(cause error) *TruncatedError { return &TruncatedError{cause: cause} }

func (e *TruncatedError) Error() string { return "answer is truncated: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.cause }
