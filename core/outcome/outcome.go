// Package outcome defines the three outcomes of a request that a caller can see, and the
// HTTP headers that carry them.
package outcome

// HTTP headers between callers, daemons and upstreams.
const (
	// HeaderOutcome carries the outcome to the caller: "done", "not-run" or "unknown".
	HeaderOutcome = "Briarwell-Outcome"
	// HeaderReason carries the Reason of a not-run or unknown outcome.
	HeaderReason = "Briarwell-Reason"
	// HeaderServedBy carries the name of the instance whose upstream responded.
	HeaderServedBy = "Briarwell-Served-By"
	// HeaderOwner carries the HTTP address of the key owner's daemon.
	HeaderOwner = "Briarwell-Owner"
	// HeaderShard carries the number of the key's shard.
	HeaderShard = "Briarwell-Shard"
	// HeaderEpoch carries the epoch of the shard.
	HeaderEpoch = "Briarwell-Epoch"
	// HeaderAttempts carries the number of attempts that the request took.
	HeaderAttempts = "Briarwell-Attempts"
	// HeaderRequestID carries the idempotency key chosen by the caller.
	HeaderRequestID = "Briarwell-Request-Id"
	// HeaderStamp carries the opaque stamp that was current when the caller first sent
	// the request ID. Each response of an owner carries the current stamp.
	HeaderStamp = "Briarwell-Stamp"
	// HeaderTimeout carries the time that is left for the request, in milliseconds.
	HeaderTimeout = "Briarwell-Timeout-Millis"
	// HeaderDeadline carries the deadline of a request to the upstream, in milliseconds
	// since the Unix epoch on the clock of their instance.
	HeaderDeadline = "Briarwell-Deadline-Unix-Millis"
	// HeaderKey carries the key of a request to the upstream.
	HeaderKey = "Briarwell-Key"
	// HeaderRefused is set by an upstream that refused a request before it ran any part
	// of it; the value is the reason.
	HeaderRefused = "Briarwell-Refused"
)

// Reason is the cause of a NotRun or Unknown outcome.
type Reason string

// Reasons of NotRun.
const (
	ReasonMalformed         Reason = "malformed"
	ReasonUnknownService    Reason = "unknown-service"
	ReasonNoLease           Reason = "no-lease"
	ReasonNoOwner           Reason = "no-owner"
	ReasonMoved             Reason = "moved"
	ReasonOverloaded        Reason = "overloaded"
	ReasonQueueTimeout      Reason = "queue-timeout"
	ReasonUpstreamRefused   Reason = "upstream-refused"
	ReasonUnreachable       Reason = "unreachable"
	ReasonStampRequired     Reason = "stamp-required"
	ReasonDraining          Reason = "draining"
	ReasonRegionNotAllowed  Reason = "region-not-allowed"
	ReasonOutOfUse          Reason = "out-of-use"
	ReasonCold              Reason = "cold"
	ReasonDeadlineExceeded  Reason = "deadline-exceeded"
	ReasonConfigurationLags Reason = "configuration-lags"
	ReasonUnsupportedRoute  Reason = "unsupported-route"
	ReasonInvalidKey        Reason = "invalid-key"
)

// Reasons of Unknown.
const (
	ReasonConnectionLost Reason = "connection-lost"
	ReasonTimeout        Reason = "timeout"
	ReasonOlderEpoch     Reason = "older-epoch"
	ReasonLeaseLost      Reason = "lease-lost"
	// ReasonResponseDropped is the reason of a response that was too large or for which
	// there was no memory.
	ReasonResponseDropped Reason = "response-dropped"
	// ReasonInvalidResponse is the reason of a response that is not certainly the upstream's
	// response to the request.
	ReasonInvalidResponse Reason = "invalid-response"
	// ReasonStopped is the reason of a request that was in flight when its process had to end.
	ReasonStopped Reason = "stopped"
)

// Outcome is Done, NotRun or Unknown.
type Outcome interface {
	isOutcome()
	// String returns the value of HeaderOutcome.
	String() string
}

// Done means that the upstream responded to the request.
type Done struct{}

// NotRun means that no upstream ran or will run any part of the request.
type NotRun struct {
	reason Reason
}

// Unknown means that the request may or may not have been run.
type Unknown struct {
	reason Reason
}

// NewNotRun returns a NotRun outcome with the given reason.
func NewNotRun(reason Reason) NotRun { return NotRun{reason: reason} }

// NewUnknown returns an Unknown outcome with the given reason.
func NewUnknown(reason Reason) Unknown { return Unknown{reason: reason} }

// Reason returns why the request was not run.
func (n NotRun) Reason() Reason { return n.reason }

// Reason returns why the outcome is unknown.
func (u Unknown) Reason() Reason { return u.reason }

func (Done) isOutcome()    {}
func (NotRun) isOutcome()  {}
func (Unknown) isOutcome() {}

func (Done) String() string    { return "done" }
func (NotRun) String() string  { return "not-run" }
func (Unknown) String() string { return "unknown" }

// ReasonOf returns the reason of o, or "" for Done.
func ReasonOf(o Outcome) Reason {
	switch o := o.(type) {
	case NotRun:
		return o.reason
	case Unknown:
		return o.reason
	default:
		return ""
	}
}
