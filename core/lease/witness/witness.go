// Package witness keeps the promises that a daemon made to holders. A promise
// says that the daemon does not help to replace the holder before its end.
package witness

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/peer"
)

// Witness holds the promises of one incarnation. Create it with New; a new
// incarnation needs a new Witness.
type Witness struct {
	timing     lease.Timing
	records    map[recordKey]record
	grantUntil clock.Millis
	closed     bool
}

// NewWithTiming returns a witness like New whose promises have the given terms.
func NewWithTiming(terms lease.Timing) *Witness {
	return &Witness{timing: terms, records: make(map[recordKey]record)}
}

type recordKey struct {
	holder     identity.Incarnation
	generation uint64
}

type record struct {
	until  clock.Millis
	fenced bool
}

// New returns a witness that can't promise before Extend.
func New() *Witness { return NewWithTiming(lease.Timing{}) }

// ExtendGrantWindow lets the witness promise until BootstrapWindow after base. The base
// must be a point at which its incarnation was certainly not dead in the table:
// the end of a valid lease, or a point before it sent a transaction that
// committed under the condition that its own row was alive or absent. So a frozen
// witness that was replaced can't promise for long when it resumes, and its
// promises end a known time after it was marked dead.
func (w *Witness) ExtendGrantWindow(base clock.Millis) {
	w.grantUntil = max(w.grantUntil, base+lease.BootstrapWindow)
}

// CanGrant tells whether the witness may promise at now.
func (w *Witness) CanGrant(now clock.Millis) bool {
	return !w.closed && now < w.grantUntil
}

// Close ends all promising, before the incarnation marks itself dead.
func (w *Witness) Close() { w.closed = true }

// Renew handles a holder's request received at now.
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

// FenceIfExpired tells whether the promise to a holder has expired at now; a promise
// that was never made has. If so it refuses that holder and generation from
// then on, so that no renewal can succeed before the replacement's transaction.
func (w *Witness) FenceIfExpired(now clock.Millis, holder identity.Incarnation, generation uint64) bool {
	key := recordKey{holder: holder, generation: generation}
	r := w.records[key]
	if now < r.until {
		return false
	}
	w.records[key] = record{until: r.until, fenced: true}
	return true
}

// ForgetBelow drops the records of a holder below a generation. The table must name a
// generation at least that high for the holder: then no majority of an older
// generation makes a lease.
func (w *Witness) ForgetBelow(holder identity.Incarnation, generation uint64) {
	for key := range w.records {
		if key.holder == holder && key.generation < generation {
			delete(w.records, key)
		}
	}
}
