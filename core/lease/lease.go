// Package lease holds the constants of the daemon leases. The state machines
// are in the folders below.
package lease

import "briarwell.dev/core/clock"

const (
	// PromiseLength is the length of a promise in milliseconds. With the renewal
	// interval, the query and the transaction, a loss is served again within
	// the target of 3,000 ms.
	PromiseLength clock.Millis = 1500
	// RenewInterval is the time between two renewals in milliseconds; four
	// renewals in a row may be lost before a promise lapses.
	RenewInterval clock.Millis = 300
	// DriftPercent bounds the difference of two clocks' rates.
	DriftPercent = 1
	// BootstrapWindow is the time in milliseconds after sending its own
	// registration in which a witness that never held a lease may promise.
	BootstrapWindow clock.Millis = 10000
	// WitnessCount is the number of witnesses of a holder, if there are so
	// many other live members.
	WitnessCount = 3
	// FailoverStagger is the extra delay in milliseconds of each further
	// witness before it starts a replacement, so that they seldom compete.
	FailoverStagger clock.Millis = 150
)

// HolderPromiseLength returns that of the default terms.
func HolderPromiseLength() clock.Millis { return Timing{}.HolderPromiseLength() }

// WitnessPromiseLength returns that of the default terms.
func WitnessPromiseLength() clock.Millis { return Timing{}.WitnessPromiseLength() }

// Timing are the lengths of a holder's promises and renewals. The zero value has
// Length and RenewInterval. Holder and witnesses must have the same terms.
type Timing struct {
	promiseLength clock.Millis
	renewInterval clock.Millis
}

// NewTiming returns terms with the given length of a promise and time between
// renewals, both in milliseconds.
func NewTiming(length, renew clock.Millis) Timing {
	return Timing{promiseLength: length, renewInterval: renew}
}

// RenewInterval returns the time between two renewals in milliseconds.
func (t Timing) RenewInterval() clock.Millis {
	if t.renewInterval == 0 {
		return RenewInterval
	}
	return t.renewInterval
}

// HolderPromiseLength returns how long a holder may count on a promise, measured from
// before its request was sent.
func (t Timing) HolderPromiseLength() clock.Millis {
	length := t.promiseLengthOrDefault()
	return length - length*DriftPercent/100
}

// WitnessPromiseLength returns how long a witness keeps a promise, measured from the
// receipt of the request.
func (t Timing) WitnessPromiseLength() clock.Millis {
	length := t.promiseLengthOrDefault()
	return length + length*DriftPercent/100
}

func (t Timing) promiseLengthOrDefault() clock.Millis {
	if t.promiseLength == 0 {
		return PromiseLength
	}
	return t.promiseLength
}

// Majority returns how many of n witnesses must have promised for a valid
// lease.
func Majority(n int) int {
	return n/2 + 1
}

// LapseQuorum returns how many of n witnesses must report lapse so that no
// majority of promises can exist. It is 1 for n = 0, which no reports reach.
func LapseQuorum(n int) int {
	return n - Majority(n) + 1
}
