// Package dispatch routes requests of callers to the upstreams that may run them. A
// Dispatcher selects the instance for a request and retries, an Executor runs requests
// on the upstream of its own instance.
package dispatch

import (
	"net/http"
	"strings"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/memory"
	"briarwell.dev/core/outcome"
)

// Request is a request of a caller or of an upstream.
type Request struct {
	// ID is chosen by the caller for the attempt.
	ID     string
	Method string
	// RequestURI is the unmodified path and query.
	RequestURI string
	Host       string
	// Header holds the fields that are forwarded unmodified.
	Header http.Header
	Body   []byte
	// OriginService is the service on the instance where the request originated.
	OriginService string
	// Key is the key of the request, valid if Keyed.
	Key   keyspace.Key
	Keyed bool
	// KeyInvalid is true if the caller stated a key that is none. Only keyed services refuse it.
	KeyInvalid bool
	// KeyOmitted is true if Header lacks the field in which the caller stated the key: the
	// upstream gets it again as the decimal form of Key, also if the service is not keyed.
	KeyOmitted bool
	// ParentID is the ID of the request that the caller claims to be running, "" if
	// none.
	ParentID string
	// Nested is true if an upstream makes the request while it runs another.
	Nested bool
	// ReceivedAt and Deadline are times on the daemon's clock.
	ReceivedAt clock.Millis
	Deadline   clock.Millis
	// Memory is charged for the bodies of the request and of its response; nil for no
	// limit.
	Memory *memory.Account
}

// Path returns the path without the query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// LargeBodyBytes is the size in bytes from which a body is large: it takes longer to send
// than other messages should wait for a slow link.
const LargeBodyBytes = 16 << 10

// hasLargeBody reports whether the body of the request is large.
func (r *Request) hasLargeBody() bool { return len(r.Body) >= LargeBodyBytes }

// Response is the complete response of an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Reply is the result of one attempt to run a request at an upstream.
type Reply struct {
	Outcome  outcome.Outcome
	Response Response
	// ReachedUpstream is true if the request was sent to the upstream, even if the
	// upstream refused it.
	ReachedUpstream bool
	// Slowness is the service time in percent of the usual one that the upstream reports
	// with its response, 0 if unknown.
	Slowness int
	// RetryAfter is the time in milliseconds after which a refused request may be
	// retried, 0 if unknown.
	RetryAfter clock.Millis
	// Promised is true if a refused request was a retry whose caller had been promised a
	// place. It is not sent to other daemons.
	Promised bool
	// Load is the load of the upstream, valid if HasLoad.
	Load    balance.Load
	HasLoad bool
	// Schedule defines when the response is sent over the link of the upstream's
	// instance.
	Schedule balance.Schedule
}

// Done returns the reply with the response of an upstream.
func Done(r Response) Reply {
	return Reply{Outcome: outcome.Done{}, Response: r, ReachedUpstream: true}
}

// NotRun returns the reply for a request that was not and will not be run.
func NotRun(reason outcome.Reason) Reply { return Reply{Outcome: outcome.NewNotRun(reason)} }

// Unknown returns the reply for a request that may have been run.
func Unknown(reason outcome.Reason) Reply {
	return Reply{Outcome: outcome.NewUnknown(reason), ReachedUpstream: true}
}

// WithRetryAfter returns the reply with RetryAfter set, in milliseconds.
func (r Reply) WithRetryAfter(after clock.Millis) Reply {
	r.RetryAfter = after
	return r
}

// Result is the final reply to a caller, and how it was reached.
type Result struct {
	Reply

	// RouteFound is true if the manifest has a route for the request. The reply is
	// valid only then.
	RouteFound bool
	// DeadlineExceeded is true if the time allowed by the caller or the route is over.
	DeadlineExceeded bool
	Route            string
	Service          string
	// Instance is the last selected instance, "" if there was none.
	Instance string
	// Attempts is the number of times that the request was sent.
	Attempts int
	// ManifestVersion is the version of the manifest that was applied.
	ManifestVersion uint64
}
