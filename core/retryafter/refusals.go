package retryafter

import (
	"slices"

	"briarwell.dev/core/clock"
)

// maxRefusals bounds the refusals that a dispatcher remembers. Beyond it the oldest is
// forgotten, and its retry counts as a first attempt.
const maxRefusals = 512

// refusal is a refused request whose caller may retry.
type refusal struct {
	class    string
	key      uint32
	deadline clock.Millis
	// notBefore is the earliest time of the retry.
	notBefore clock.Millis
}

// Refusals holds the requests that a dispatcher has refused, so that it recognises their
// retries, which come from the same instance. The zero value is empty. It is not safe for
// concurrent use.
type Refusals struct{ refusals []refusal }

// Record adds a request that was refused at now with the retry time.
func (f *Refusals) Record(now, retryAfter clock.Millis, r Request) {
	f.refusals = slices.DeleteFunc(f.refusals, func(other refusal) bool { return other.deadline < now })
	if len(f.refusals) >= maxRefusals {
		f.refusals = slices.Delete(f.refusals, 0, 1)
	}
	// A caller cuts a longer time.
	retryAfter = min(retryAfter, longestDelay(r.Deadline-now))
	f.refusals = append(f.refusals, refusal{class: r.Class, key: r.Key, deadline: r.Deadline, notBefore: now + retryAfter - earlyTolerance})
}

// TakeRetry reports whether a request is the retry of a recorded one, and forgets that.
func (f *Refusals) TakeRetry(now clock.Millis, r Request) bool {
	i := slices.IndexFunc(f.refusals, func(other refusal) bool {
		difference := max(other.deadline-r.Deadline, r.Deadline-other.deadline)
		return now >= other.notBefore && other.key == r.Key && other.class == r.Class && difference <= deadlineTolerance
	})
	if i < 0 {
		return false
	}
	f.refusals = slices.Delete(f.refusals, i, i+1)
	return true
}
