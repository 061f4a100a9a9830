// Package witness keeps the promises that a daemon has made to lease holders. Until a
// promise ends, the daemon does not take part in replacing its holder.
package witness

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/peer"
)

// Witness holds the promises that one incarnation has made. Create it with New or
// NewWithTiming; a new incarnation needs a new Witness.
type Witness struct {
	timing     lease.Timing
	records    map[recordKey]record
	grantUntil clock.Millis
	closed     bool
}

// NewWithTiming returns a witness that makes promises with the given timing. It refuses
// to make any before ExtendGrantWindow is called.
func NewWithTiming(timing lease.Timing) *Witness {
	return &Witness{timing: timing, records: make(map[recordKey]record)}
}

type recordKey struct {
	holder     identity.Incarnation
	generation uint64
}

type record struct {
	until  clock.Millis
	fenced bool
}

// New returns a witness with the default timing.
func New() *Witness { return NewWithTiming(lease.Timing{}) }

// Timing returns the timing of the promises.
func (w *Witness) Timing() lease.Timing { return w.timing }

// ExtendGrantWindow lets the witness make promises until BootstrapWindow after base.
// Base must be a time at which its incarnation was certainly not marked dead in the
// table: the end of a valid lease, or a time before it sent a transaction that
// committed on the condition that its own row was alive or absent. A frozen witness
// that was replaced can therefore make promises only for a short time after it resumes,
// and its promises end a known time after it was marked dead.
func (w *Witness) ExtendGrantWindow(base clock.Millis) {
	w.grantUntil = max(w.grantUntil, base+lease.BootstrapWindow)
}

// CanGrant reports whether the witness may make promises at now.
func (w *Witness) CanGrant(now clock.Millis) bool {
	return !w.closed && now < w.grantUntil
}

// Close makes the witness refuse new promises. It must be called before the incarnation
// marks itself dead.
func (w *Witness) Close() { w.closed = true }

// Renew handles the request of a holder, received at now, to make or extend a promise.
// It returns RenewFenced if FenceIfExpired has ended the holder's generation, and
// RenewRefused if the witness may not make promises at now.
func (w *Witness) Renew(now clock.Millis, holder identity.Incarnation, generation uint64) peer.RenewResult {
	key := recordKey{holder: holder, generation: generation}
	current := w.records[key]
	if current.fenced {
		return peer.RenewFenced
	}
	if !w.CanGrant(now) {
		return peer.RenewRefused
	}
	w.records[key] = record{until: max(current.until, now+w.timing.WitnessPromiseLength())}
	return peer.RenewGranted
}

// PromiseEnd returns the end of the promise to a holder, or false if there was none.
func (w *Witness) PromiseEnd(holder identity.Incarnation, generation uint64) (clock.Millis, bool) {
	r, ok := w.records[recordKey{holder: holder, generation: generation}]
	return r.until, ok
}

// FenceIfExpired reports whether the promise to a holder has expired at now; a promise
// that was never made counts as expired. If it has expired, the witness refuses that
// holder and generation from then on, so that no renewal can succeed before the
// transaction that replaces the holder.
func (w *Witness) FenceIfExpired(now clock.Millis, holder identity.Incarnation, generation uint64) bool {
	key := recordKey{holder: holder, generation: generation}
	r := w.records[key]
	if now < r.until {
		return false
	}
	w.records[key] = record{until: r.until, fenced: true}
	return true
}

// ForgetBelow drops the records of a holder with a lower witness generation. The table
// must hold this generation or a higher one for the holder: a majority of an older
// generation then no longer gives a valid lease.
func (w *Witness) ForgetBelow(holder identity.Incarnation, generation uint64) {
	for key := range w.records {
		if key.holder == holder && key.generation < generation {
			delete(w.records, key)
		}
	}
}
