// Package dispatch takes requests from callers to the upstream that may run them.
// Entry is the half beside the caller, Owner the half beside the upstream.
package dispatch

import (
	"net/http"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
)

// Request is a request of a caller or of an upstream.
type Request struct {
	// ID is the caller's name for the attempt.
	ID     string
	Method string
	// RequestURI is the path and query as they came.
	RequestURI string
	Host       string
	// Header has the fields that are sent on as they are.
	Header http.Header
	Body   []byte
	// OriginService is the service on the instance where the request began.
	OriginService string
	// Key is the key of the request if Keyed.
	Key   keyspace.Key
	Keyed bool
	// ParentID is the ID of the request that the caller says to run, "" if none.
	ParentID string
	// Nested tells that an upstream makes the request while it runs another.
	Nested bool
	// ReceivedAt and Deadline are points on the daemon's clock.
	ReceivedAt clock.Millis
	Deadline   clock.Millis
}

// Response is an upstream's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Reply is what became of a request at an upstream.
type Reply struct {
	Outcome  outcome.Outcome
	Response Response
	// ReachedUpstream tells that the upstream was asked, also if it refused.
	ReachedUpstream bool
	// RetryAfter is when a refused request may be repeated, in milliseconds; 0 if
	// nothing is known.
	RetryAfter clock.Millis
	Load       balance.Load
	HasLoad    bool
	// Schedule says when the answer goes over the link of the instance that has it.
	Schedule balance.Schedule
}

// Done returns the reply with an upstream's answer.
func Done(r Response) Reply {
	return Reply{Outcome: outcome.Done{}, Response: r, ReachedUpstream: true}
}

// NotRun returns the reply of a request that was not and will not be run.
func NotRun(reason outcome.Reason) Reply { return Reply{Outcome: outcome.NewNotRun(reason)} }

// Unknown returns the reply of a request that may have been run.
func Unknown(reason outcome.Reason) Reply {
	return Reply{Outcome: outcome.NewUnknown(reason), ReachedUpstream: true}
}

// WithRetryAfter returns the reply with the time after which to repeat the request.
func (r Reply) WithRetryAfter(after clock.Millis) Reply {
	r.RetryAfter = after
	return r
}

// Result is what a caller is told: the reply, and what led to it.
type Result struct {
	Reply

	// RouteFound tells that the manifest has a route for the request; without one the
	// reply says nothing.
	RouteFound bool
	// DeadlineExceeded tells that the time that the caller or the route allows is over.
	DeadlineExceeded bool
	Route            string
	Service          string
	Instance         string
	Attempts         int
	// ManifestVersion is that of the manifest that decided.
	ManifestVersion uint64
}
