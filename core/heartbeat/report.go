// Package report holds what an upstream says of itself to the daemon on its
// instance, and decides which of its reports count.
package heartbeat

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
)

// HeldSpan is a span of keys that an upstream holds or still works on.
type HeldSpan struct {
	keyspace.Span

	epoch identity.Epoch
}

// NewHeldSpan returns a span held under an epoch.
func NewHeldSpan(span keyspace.Span, epoch identity.Epoch) HeldSpan {
	return HeldSpan{Span: span, epoch: epoch}
}

// Epoch returns the epoch under which the span is held.
func (h HeldSpan) Epoch() identity.Epoch { return h.epoch }

// Report is a liveness report. Fields that the upstream does not send are zero.
type Report struct {
	// Process is the upstream's ID and start.
	Process keyspace.Process
	// Sequence increases with each report of a life.
	Sequence int64
	// Service and Address are those under which the upstream serves.
	Service string
	Address string
	// Slots is how many requests the upstream runs at once.
	Slots int
	// Leaving tells that it finishes its work and ends soon.
	Leaving bool
	// ColdRemaining is how much longer it stays slow after its start, in milliseconds.
	ColdRemaining clock.Millis
	// Held are its keys, and Released those that it gave up since its last
	// acknowledged report.
	Held     []HeldSpan
	Released []keyspace.ReleasedSpan
}

// Verdict is what became of a report.
type Verdict string

// Verdicts of a report.
const (
	// Accepted means that the report is the newest of the upstream.
	Accepted Verdict = "accepted"
	// Started means that the report is the first of a new life.
	Started Verdict = "started"
	// Late means that a newer report or a newer life is known.
	Late Verdict = "late"
	// Foreign means that the report names no upstream of this instance.
	Foreign Verdict = "foreign"
)

// Tracker follows the lives of the upstream at one address. The zero value knows
// no upstream. It is not safe for concurrent use.
type Tracker struct {
	service      string
	address      string
	last         Report
	seen         bool
	lastReceived clock.Millis
	leaving      bool
	ended        bool
}

// NewTracker returns a tracker of the upstream of a service at an address.
func NewTracker(service, address string) *Tracker {
	return &Tracker{service: service, address: address}
}

// Observe takes a report received at now.
func (t *Tracker) Observe(now clock.Millis, r Report) Verdict {
	if r.Service != t.service || r.Address != t.address || r.Process.ID() == "" || r.Process.StartUnixMillis() <= 0 {
		return Foreign
	}
	known := t.last.Process
	switch {
	case !t.seen || r.Process.StartUnixMillis() > known.StartUnixMillis():
		t.last, t.seen, t.lastReceived = r, true, now
		t.leaving, t.ended = r.Leaving, false
		return Started
	case r.Process != known || r.Sequence <= t.last.Sequence:
		return Late
	default:
		t.last, t.lastReceived, t.ended = r, now, false
		t.leaving = t.leaving || r.Leaving
		return Accepted
	}
}

// MarkLeaving takes the message of an upstream that it is leaving for good. It
// returns false if the ID is not that of the known life.
func (t *Tracker) MarkLeaving(id string) bool {
	if !t.seen || t.last.Process.ID() != id {
		return false
	}
	t.leaving = true
	return true
}

// MarkEnded takes the certain knowledge that the upstream's process has ended.
func (t *Tracker) MarkEnded() { t.ended = t.seen }

// Last returns the newest report, or false if there was none.
func (t *Tracker) Last() (Report, bool) { return t.last, t.seen }

// LastReceived returns when the newest report came.
func (t *Tracker) LastReceived() clock.Millis { return t.lastReceived }

// Leaving tells whether the known life is leaving.
func (t *Tracker) Leaving() bool { return t.leaving }

// Ended tells whether the known life has ended.
func (t *Tracker) Ended() bool { return t.ended }
