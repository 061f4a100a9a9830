// Package heartbeat defines the liveness reports that an upstream sends to the
// daemon on its instance, and decides which of them are accepted.
package heartbeat

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
)

// HeldSpan is a span of keys that an upstream holds, or for which it still runs
// requests.
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
	// Process identifies the upstream process by its ID and start time.
	Process keyspace.Process
	// Sequence increases with each report of a process.
	Sequence int64
	// Service is the service that the upstream serves, Address its listen address.
	Service string
	Address string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Leaving is true while the upstream finishes its requests before it stops.
	Leaving bool
	// ColdRemaining is the time in milliseconds for which the upstream is still slow
	// after its start.
	ColdRemaining clock.Millis
	// Held are the spans that the upstream holds. Released are those that it gave up
	// since its last acknowledged report.
	Held     []HeldSpan
	Released []keyspace.ReleasedSpan
}

// Verdict is the result of Tracker.Observe.
type Verdict string

// Verdicts of a report.
const (
	// Accepted means that the report is the newest one of the known process.
	Accepted Verdict = "accepted"
	// Started means that the report is the first of a new process.
	Started Verdict = "started"
	// Late means that a newer report or a newer process is known.
	Late Verdict = "late"
	// Foreign means that the report has another service or address than the tracked
	// upstream, or does not identify a process.
	Foreign Verdict = "foreign"
)

// Tracker keeps the newest report of the upstream at one address, across restarts of
// its process. The zero value has no report. It is not safe for concurrent use.
type Tracker struct {
	service      string
	address      string
	last         Report
	hasReport    bool
	lastReceived clock.Millis
	leaving      bool
	ended        bool
}

// NewTracker returns a tracker of the upstream of a service at an address.
func NewTracker(service, address string) *Tracker {
	return &Tracker{service: service, address: address}
}

// Observe records a report received at now, unless its verdict is Late or Foreign.
func (t *Tracker) Observe(now clock.Millis, r Report) Verdict {
	if r.Service != t.service || r.Address != t.address || r.Process.ID() == "" || r.Process.StartUnixMillis() <= 0 {
		return Foreign
	}
	known := t.last.Process
	switch {
	case !t.hasReport || r.Process.StartUnixMillis() > known.StartUnixMillis():
		t.last, t.hasReport, t.lastReceived = r, true, now
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

// MarkLeaving records that the upstream with the given ID shuts down for good. It
// returns false if the ID is not that of the known process.
func (t *Tracker) MarkLeaving(id string) bool {
	if !t.hasReport || t.last.Process.ID() != id {
		return false
	}
	t.leaving = true
	return true
}

// MarkEnded records that the known process has ended. The caller must be certain of it.
func (t *Tracker) MarkEnded() { t.ended = t.hasReport }

// Last returns the newest report, or false before the first one.
func (t *Tracker) Last() (Report, bool) { return t.last, t.hasReport }

// LastReceived returns the time at which the newest report was received, 0 before the
// first one.
func (t *Tracker) LastReceived() clock.Millis { return t.lastReceived }

// Leaving reports whether the known process has announced its shutdown.
func (t *Tracker) Leaving() bool { return t.leaving }

// Ended reports whether the known process has ended. A later report of it clears this.
func (t *Tracker) Ended() bool { return t.ended }
