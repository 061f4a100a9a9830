// Package outcome defines the three outcomes of a request that a caller sees,
// and the HTTP headers that carry them.
package outcome

// HTTP headers between callers, daemons and upstreams.
const (
	// HeaderOutcome carries "done", "not-run" or "unknown" to the caller.
	HeaderOutcome = "Briarwell-Outcome"
	// HeaderReason carries the Reason of a not-run or unknown outcome.
	HeaderReason = "Briarwell-Reason"
	// HeaderServedBy carries the name of the instance whose upstream answered.
	HeaderServedBy = "Briarwell-Served-By"
	// HeaderOwner carries the HTTP address of the owner's daemon.
	HeaderOwner = "Briarwell-Owner"
	// HeaderShard carries the shard number.
	HeaderShard = "Briarwell-Shard"
	// HeaderEpoch carries the epoch of the shard.
	HeaderEpoch = "Briarwell-Epoch"
	// HeaderAttempts carries the number of attempts made for the request.
	HeaderAttempts = "Briarwell-Attempts"
	// HeaderRequestID carries the idempotency key chosen by the caller.
	HeaderRequestID = "Briarwell-Request-Id"
	// HeaderStamp carries the opaque stamp under which a request ID was first
	// sent. Each answer of an owner carries the current one.
	HeaderStamp = "Briarwell-Stamp"
	// HeaderTimeout carries the remaining time of the request in milliseconds.
	HeaderTimeout = "Briarwell-Timeout-Millis"
	// HeaderDeadline carries the deadline of an order to the upstream in
	// milliseconds since the Unix epoch, on the clock of their instance.
	HeaderDeadline = "Briarwell-Deadline-Unix-Millis"
	// HeaderKey carries the key of an order to the upstream.
	HeaderKey = "Briarwell-Key"
	// HeaderRefused is set by an upstream that refused an order before running
	// any part of it; its value is the reason.
	HeaderRefused = "Briarwell-Refused"
)

// Reason says why a request was not run, or why its outcome is unknown.
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
	ReasonDeadlineExceeded  Reason = "deadline-exceeded"
	ReasonConfigurationLags Reason = "configuration-lags"
)

// Reasons of Unknown.
const (
	ReasonConnectionLost Reason = "connection-lost"
	ReasonTimeout        Reason = "timeout"
	ReasonOlderEpoch     Reason = "older-epoch"
	ReasonLeaseLost      Reason = "lease-lost"
)

// Outcome is Done, NotRun or Unknown.
type Outcome interface {
	isOutcome()
	// String returns the value of HeaderOutcome.
	String() string
}

// Done means that the upstream answered the request.
type Done struct{}

// NotRun means that no upstream ran or will run any part of the request.
type NotRun struct {
	reason Reason
}

// Unknown means that the request may or may not have been run.
type Unknown struct {
	reason Reason
}

// NewNotRun returns a NotRun outcome for the reason.
func NewNotRun(reason Reason) NotRun { return NotRun{reason: reason} }

// NewUnknown returns an Unknown outcome for the reason.
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
