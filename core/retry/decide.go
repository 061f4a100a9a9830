package retry

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
)

const (
	// BackoffBase is the bound of the first backoff in milliseconds.
	BackoffBase clock.Millis = 25
	// BackoffCap is the bound of every backoff in milliseconds.
	BackoffCap clock.Millis = 250
)

// Attempt describes a failed attempt.
type Attempt struct {
	Outcome    outcome.Outcome
	Idempotent bool
	// BodyConsumed tells that a part of the request's body was read, so that
	// the request can't be sent again.
	BodyConsumed bool
	// HasAlternatives tells that another upstream may take the request, as in a
	// service without keys.
	HasAlternatives bool
	// Number is the number of the attempt, from 1; Limit is the largest one.
	Number      int
	MaxAttempts int
	// Now and Deadline are points on the same clock.
	Now      clock.Millis
	Deadline clock.Millis
}

// Decision is Again or Stop.
type Decision interface{ isDecision() }

// Resend means to send the request again after a backoff.
type Resend struct{ delay clock.Millis }

// Stop means that the attempt's outcome is final.
type Stop struct{}

func (Resend) isDecision() {}
func (Stop) isDecision()   {}

// Delay returns the backoff in milliseconds.
func (a Resend) Delay() clock.Millis { return a.delay }

// Decide returns what follows a failed attempt, before the budget is asked.
// random is uniform in [0, 1).
func Decide(attempt Attempt, random float64) Decision {
	if attempt.Number >= attempt.MaxAttempts || attempt.BodyConsumed || !retryable(attempt) {
		return Stop{}
	}
	after := Backoff(attempt.Number, random)
	if ownerMoved(attempt.Outcome) && attempt.Number == 1 {
		// The answer names the new owner: waiting would gain nothing.
		after = 0
	}
	if attempt.Now+after >= attempt.Deadline {
		return Stop{}
	}
	return Resend{delay: after}
}

// Backoff returns the fully jittered backoff after the attempt with the given
// number, from 1: uniform below min(BackoffCap, BackoffBase * 2^(number-1)).
func Backoff(number int, random float64) clock.Millis {
	bound := BackoffBase
	for i := 1; i < number && bound < BackoffCap; i++ {
		bound *= 2
	}
	return clock.Millis(random * float64(min(bound, BackoffCap)))
}

func ownerMoved(o outcome.Outcome) bool {
	return outcome.ReasonOf(o) == outcome.ReasonMoved
}

func retryable(attempt Attempt) bool {
	switch o := attempt.Outcome.(type) {
	case outcome.NotRun:
		return retryableReason(o.Reason(), attempt.HasAlternatives)
	case outcome.Unknown:
		return attempt.Idempotent && o.Reason() != outcome.ReasonOlderEpoch
	default:
		return false
	}
}

// retryableReason tells whether a second attempt can succeed where the first was
// refused for the reason.
func retryableReason(reason outcome.Reason, alternatives bool) bool {
	switch reason {
	case outcome.ReasonMoved, outcome.ReasonNoLease, outcome.ReasonNoOwner,
		outcome.ReasonUnreachable, outcome.ReasonDraining:
		return true
	case outcome.ReasonOverloaded, outcome.ReasonQueueTimeout, outcome.ReasonUpstreamRefused:
		// The single owner of a key is not relieved by another attempt.
		return alternatives
	default:
		return false
	}
}
