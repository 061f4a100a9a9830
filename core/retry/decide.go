package retry

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
)

const (
	// BackoffBase is the upper bound of the first backoff in milliseconds.
	BackoffBase clock.Millis = 25
	// BackoffCap is the upper bound of every backoff in milliseconds.
	BackoffCap clock.Millis = 250
)

// Attempt describes a failed attempt.
type Attempt struct {
	Outcome    outcome.Outcome
	Idempotent bool
	// BodyConsumed reports whether a part of the request body was read, so that
	// the request can't be sent again.
	BodyConsumed bool
	// HasAlternatives reports whether another upstream can serve the request, as in
	// a service without keys.
	HasAlternatives bool
	// Number is the number of this attempt, from 1, out of at most MaxAttempts.
	Number      int
	MaxAttempts int
	// Now and Deadline are times on the same clock.
	Now      clock.Millis
	Deadline clock.Millis
}

// Decision is Resend or Stop.
type Decision interface{ isDecision() }

// Resend means that the request is to be sent again after a backoff.
type Resend struct{ delay clock.Millis }

// Stop means that the outcome of the attempt is final.
type Stop struct{}

func (Resend) isDecision() {}
func (Stop) isDecision()   {}

// Delay returns the backoff in milliseconds; 0 means at once.
func (r Resend) Delay() clock.Millis { return r.delay }

// Decide returns what follows a failed attempt, regardless of the retry budget.
// random is uniform in [0, 1).
func Decide(attempt Attempt, random float64) Decision {
	if attempt.Number >= attempt.MaxAttempts || attempt.BodyConsumed || !retryable(attempt) {
		return Stop{}
	}
	delay := Backoff(attempt.Number, random)
	if ownerMoved(attempt.Outcome) && attempt.Number == 1 {
		// The response names the new owner, so that a delay would gain nothing.
		delay = 0
	}
	if attempt.Now+delay >= attempt.Deadline {
		return Stop{}
	}
	return Resend{delay: delay}
}

// Backoff returns the backoff with full jitter after the attempt with the given
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

// retryableReason reports whether another attempt can succeed after a refusal for the
// reason.
func retryableReason(reason outcome.Reason, hasAlternatives bool) bool {
	switch reason {
	case outcome.ReasonMoved, outcome.ReasonNoLease, outcome.ReasonNoOwner,
		outcome.ReasonUnreachable, outcome.ReasonDraining:
		return true
	case outcome.ReasonOverloaded, outcome.ReasonQueueTimeout, outcome.ReasonUpstreamRefused:
		// Another attempt would go to the same owner of the key and add to its load.
		return hasAlternatives
	default:
		return false
	}
}
