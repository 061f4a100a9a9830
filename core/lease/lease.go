// Package lease defines the timing and the quorums of the daemons' leases. The state
// machines are in its subpackages: holder renews a lease, witness keeps promises to
// holders, and failover replaces holders whose leases have lapsed.
package lease

import "briarwell.dev/core/clock"

const (
	// PromiseLength is the default length of a witness's promise in milliseconds.
	// Together with the renewal interval, the lapse query and the transaction it
	// keeps the recovery from a lost holder within the target of 3,000 ms.
	PromiseLength clock.Millis = 1500
	// RenewInterval is the default time between two renewals in milliseconds. Four
	// renewals in a row may be lost before a promise lapses.
	RenewInterval clock.Millis = 300
	// DriftPercent bounds the difference in percent between the rates of two clocks.
	DriftPercent = 1
	// BootstrapWindow is the time in milliseconds during which a witness that never
	// held a lease may make promises, counted from when it sent its registration.
	BootstrapWindow clock.Millis = 10000
	// WitnessCount is the number of witnesses of a holder, if there are that many
	// other live members.
	WitnessCount = 3
	// FailoverStagger is the additional delay in milliseconds before each further
	// witness starts a replacement, so that witnesses seldom compete.
	FailoverStagger clock.Millis = 150
	// minFirstRenewalGrace is the least time in milliseconds that a holder has for its first
	// renewal: it has to learn first that its row was written.
	minFirstRenewalGrace = 2 * PromiseLength
)

// HolderPromiseLength returns the holder's promise length with the default timing.
func HolderPromiseLength() clock.Millis { return Timing{}.HolderPromiseLength() }

// WitnessPromiseLength returns the witness's promise length with the default timing.
func WitnessPromiseLength() clock.Millis { return Timing{}.WitnessPromiseLength() }

// Timing sets the length of the promises to a holder and the interval of its renewals.
// The zero value means PromiseLength and RenewInterval. A holder and its witnesses
// must use the same timing.
type Timing struct {
	promiseLength clock.Millis
	renewInterval clock.Millis
}

// NewTiming returns a timing. Both values are in milliseconds; 0 means the default.
func NewTiming(promiseLength, renewInterval clock.Millis) Timing {
	return Timing{promiseLength: promiseLength, renewInterval: renewInterval}
}

// RenewInterval returns the time between two renewals in milliseconds.
func (t Timing) RenewInterval() clock.Millis {
	if t.renewInterval == 0 {
		return RenewInterval
	}
	return t.renewInterval
}

// HolderPromiseLength returns how long a holder may rely on a promise, counted from
// before it sent the request. It is DriftPercent shorter than the promise.
func (t Timing) HolderPromiseLength() clock.Millis {
	length := t.promiseLengthOrDefault()
	return length - length*DriftPercent/100
}

// WitnessPromiseLength returns how long a witness keeps a promise, counted from when it
// received the request. It is DriftPercent longer than the promise.
func (t Timing) WitnessPromiseLength() clock.Millis {
	length := t.promiseLengthOrDefault()
	return length + length*DriftPercent/100
}

// FirstRenewalGrace returns the time that a holder has for its first renewal, counted from
// when a witness learned that the holder's row names it. A holder that was lost before that
// renewal is replaced afterwards. It is no shorter than a promise, so that the leases of
// earlier daemon processes on the holder's instance have lapsed too.
func (t Timing) FirstRenewalGrace() clock.Millis {
	return max(minFirstRenewalGrace, t.WitnessPromiseLength())
}

func (t Timing) promiseLengthOrDefault() clock.Millis {
	if t.promiseLength == 0 {
		return PromiseLength
	}
	return t.promiseLength
}

// Majority returns how many of n witnesses must have made a promise for a lease to be
// valid.
func Majority(n int) int {
	return n/2 + 1
}

// LapseQuorum returns how many of n witnesses must report a lapse so that no majority
// of promises can exist. It is 0 for n = 0: without witnesses there are no promises.
func LapseQuorum(n int) int {
	return n - Majority(n) + 1
}
