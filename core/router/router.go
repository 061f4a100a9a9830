// Package router implements the request path of a daemon: it parses a caller's request,
// routes it to the daemon that owns the key, and runs it there under the owner's lease.
//
// Lock order: locks of this package and of the packages that it calls are taken one at a
// time. Where two are needed, the order is dedupe.Table, admission.Gate, requestTracker.
// No lock is held during a call to an interface of EntrySettings or OwnerSettings.
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

// CallerRequest is an HTTP request of a caller. The daemon that receives it is the entry
// daemon of the request.
type CallerRequest struct {
	Method string
	// Target is the path and query from the request line.
	Target  string
	Headers []upstream.Header
	// Body is streamed; nil means none. ContentLength is -1 if unknown.
	Body          io.Reader
	ContentLength int64
}

// Request is a parsed request that an entry daemon sends to the owner.
type Request struct {
	Service identity.Service
	// Key and Shard are zero for an unkeyed service.
	Key   string
	Shard shard.ID
	// Epoch is the epoch of the shard in the sender's view, 0 if unkeyed.
	Epoch  identity.Epoch
	Method string
	// Path is the path below the service, with the query, as the caller sent it.
	Path string
	// Headers are the end-to-end headers, without those of package outcome.
	Headers       []upstream.Header
	RequestID     string
	Stamp         string
	Body          io.Reader
	ContentLength int64
	// Deadline is a time on the clock of the daemon that holds the Request.
	Deadline      clock.Millis
	ConfigVersion uint64
	// Attempt is the number of this attempt, from 1.
	Attempt int
	// Relayed reports whether a former owner relayed the request to the current one. A
	// relayed request is not relayed again, so that two daemons with different views
	// can't form a loop.
	Relayed bool
}

// Response is the response to a request. The caller of Serve or Forward must close Body
// unless it is nil; the request body may be read until then. Body must be read and closed
// by one goroutine. A Body that ends early returns a *TruncatedError; the response to the
// caller must then be aborted, so that it isn't taken for complete.
type Response struct {
	Outcome outcome.Outcome
	// Status is the HTTP status for the caller.
	Status int
	// Headers are the end-to-end headers. Those returned by EntryHandler.Serve include
	// the headers of package outcome.
	Headers       []upstream.Header
	Body          io.ReadCloser
	ContentLength int64
	// Keyed reports whether Shard and Epoch are set.
	Keyed bool
	Shard shard.ID
	Epoch identity.Epoch
	Stamp string
	// ServedBy is the name of the instance whose upstream responded.
	ServedBy string
	// OwnerHTTP and OwnerPeer are the addresses of the owner's daemon, if known.
	OwnerHTTP string
	OwnerPeer string
	// Replay is the value of HeaderReplay, "" for a first response.
	Replay   string
	Attempts int
}

// Member is a daemon that serves a service.
type Member struct {
	Incarnation identity.Incarnation
	// Instance is the name of the instance.
	Instance    string
	PeerAddress string
	HTTPAddress string
	Location    identity.Location
	Slots       int
	// InFlight is the number of requests in flight at the last measurement.
	InFlight int
}

// Ownership describes the owner of a key in a View.
type Ownership struct {
	Owner Member
	Epoch identity.Epoch
	// IsHotKey reports whether the key is owned separately from its shard.
	IsHotKey bool
	// HeldSince is the time at which this daemon acquired the epoch, if it is the owner.
	HeldSince clock.Millis
	// IsFirstOwner reports whether the shard had no owner before this one.
	IsFirstOwner bool
	// ServeFrom is the earliest time at which this daemon may send requests to the
	// upstream under the epoch. With fencing "none" it is later than HeldSince after a
	// replacement of the owner. Zero means at once.
	ServeFrom clock.Millis
}

// View is a consistent snapshot of the cluster state that a daemon knows.
type View interface {
	// Self returns this daemon.
	Self() Member
	// LeaseEnd returns the time at which this daemon's lease ends, zero if it has none.
	LeaseEnd() clock.Millis
	// Catalog returns the configuration in force.
	Catalog() template.Catalog
	// Owner returns the owner of a key. It returns false if the key has no owner.
	Owner(service identity.Service, id shard.ID, key string) (Ownership, bool)
	// Members returns the live members of a service. The slice must not be modified.
	Members(service identity.Service) []Member
}

// ViewSource provides the newest View.
type ViewSource interface {
	View() View
}

// Forwarder sends a request to the daemon at a peer address. It returns a *ForwardError
// if no response head arrived.
type Forwarder interface {
	Forward(ctx context.Context, peerAddress string, request *Request) (*Response, error)
}

// LocalUpstream is the upstream of a service on this instance, with its admission gate.
type LocalUpstream struct {
	Client upstream.Upstream
	Gate   *admission.Gate
	// Lost, if set, is cancelled when the upstream is considered lost. Requests in
	// flight are then cancelled with an unknown outcome.
	Lost context.Context
}

// LocalUpstreams provides the upstreams on this instance. LocalUpstream returns false if
// no upstream is announced for the service.
type LocalUpstreams interface {
	LocalUpstream(service identity.Service) (LocalUpstream, bool)
}

// ConfigurationWaiter waits until a configuration version or a newer one is in force. Await
// returns an error if ctx ends first.
type ConfigurationWaiter interface {
	Await(ctx context.Context, version uint64) error
}

// Random is a source of random numbers that is safe for concurrent use.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// ForwardError reports that a forwarded request got no response head.
type ForwardError struct {
	outcome outcome.Outcome
	cause   error
}

// NewForwardError returns a ForwardError. The outcome must be NotRun only if no byte of
// the request can have been sent, and Unknown otherwise.
func NewForwardError(o outcome.Outcome, cause error) *ForwardError {
	return &ForwardError{outcome: o, cause: cause}
}

// Outcome returns NotRun or Unknown.
func (e *ForwardError) Outcome() outcome.Outcome { return e.outcome }

func (e *ForwardError) Error() string {
	return "forwarding to a peer failed: " + e.outcome.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.cause }

// TruncatedError reports that the body of a response ended early.
type TruncatedError struct{ cause error }

// NewTruncatedError returns a TruncatedError.
func NewTruncatedError(cause error) *TruncatedError { return &TruncatedError{cause: cause} }

func (e *TruncatedError) Error() string { return "answer is truncated: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.cause }
