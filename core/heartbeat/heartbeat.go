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

// MaxSlots bounds the slots of an upstream. A larger number comes from another writer.
const MaxSlots = 1 << 16

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
	// WithoutKeys is true if the report has neither list: it tells nothing about keys. Those of the
	// upstream of a service with keys have both.
	WithoutKeys bool
}

// Verdict is the result of Tracker.Observe.
type Verdict string

// Verdicts of a report.
const (
	// Accepted means that the report is the newest one of the known process.
	Accepted Verdict = "accepted"
	// Started means that the report is the first of a new process.
	Started Verdict = "started"
	// Late means that a newer report or a newer process is known. Also the first reports of a
	// process with a lower start time are late, see Tracker.
	Late Verdict = "late"
	// Foreign means that the report has another service or address than the tracked
	// upstream, or does not identify a process.
	Foreign Verdict = "foreign"
)

const (
	// successorReports is the number of reports after which a process counts as started
	// although its start time is not higher than that of the known one. Reports that were
	// delayed arrive together, so only those count that come successorInterval or more
	// milliseconds apart: a running process reports every 870 ms.
	successorReports               = 3
	successorInterval clock.Millis = 400
)

// Tracker keeps the newest report of the upstream at one address, across restarts of
// its process. The zero value has no report. It is not safe for concurrent use.
//
// Processes are ordered by their start times. These come from the upstream's time of day,
// which may be set back, so that a new process may have the lower one. It is told from delayed
// reports of an ended process in that it goes on reporting while the known process does not.
type Tracker struct {
	service      string
	address      string
	last         Report
	hasReport    bool
	lastReceived clock.Millis
	leaving      bool
	leavingSince clock.Millis
	ended        bool
	successor    successor
	// departure is the newest known one, departedAt when it was announced.
	departure  Departure
	departedAt clock.Millis
	// announced is true if the departure was announced to this tracker, not restored.
	announced bool
}

// successor is a process with a lower start time that has reported since the known process
// has.
type successor struct {
	process  keyspace.Process
	sequence int64
	// reports counts the reports that came successorInterval or more apart, countedAt is the
	// time of the last of them.
	reports   int
	countedAt clock.Millis
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
	case !t.hasReport || r.Process.StartUnixMillis() > known.StartUnixMillis() || r.Process != known && t.isSuccessor(now, r):
		t.last, t.hasReport, t.lastReceived = r, true, now
		t.leaving, t.ended, t.successor = false, false, successor{}
		t.markLeaving(now)
		return Started
	case r.Process != known:
		if r.Leaving {
			// The process may turn out to be the successor of the known one.
			t.RecordDeparture(now, NewDeparture(r.Process))
		}
		return Late
	case r.Sequence <= t.last.Sequence:
		return Late
	default:
		t.last, t.lastReceived, t.ended, t.successor = r, now, false, successor{}
		t.markLeaving(now)
		return Accepted
	}
}

// isSuccessor records a report of a process other than the known one, and reports whether that
// process has replaced the known one.
func (t *Tracker) isSuccessor(now clock.Millis, r Report) bool {
	if t.leaving && !t.ended && r.Process.ID() == t.last.Process.ID() {
		// Upstreams tell their processes apart by ID only: one that leaves would get requests
		// that are meant for the other.
		return false
	}
	s := &t.successor
	switch {
	case s.process != r.Process:
		*s = successor{process: r.Process, sequence: r.Sequence, reports: 1, countedAt: now}
	case r.Sequence > s.sequence:
		s.sequence = r.Sequence
		if now-s.countedAt >= successorInterval {
			s.reports++
			s.countedAt = now
		}
	}
	return s.reports >= successorReports
}

// markLeaving makes the known process a leaving one if its departure is known or the newest
// report announces it.
func (t *Tracker) markLeaving(now clock.Millis) {
	switch {
	case t.leaving:
	case t.departure.Of(t.last.Process):
		t.leaving, t.leavingSince = true, t.departedAt
		t.departure = NewDeparture(t.last.Process)
	case t.last.Leaving:
		t.leaving, t.leavingSince = true, now
		t.departure, t.departedAt, t.announced = NewDeparture(t.last.Process), now, true
	}
}

// RecordDeparture records that a process announces its shutdown at now. It may be one that has
// not reported yet: then its first report makes it a leaving one. RecordDeparture reports
// whether it is the known process.
func (t *Tracker) RecordDeparture(now clock.Millis, d Departure) bool {
	known := t.last.Process
	if t.hasReport && (d.Of(known) || d.hasOnlyID(known.ID())) {
		if !t.leaving {
			t.departure, t.departedAt, t.announced = NewDeparture(known), now, true
			t.markLeaving(now)
		}
		return true
	}
	if t.hasReport && !t.leaving && d.process.ID() == known.ID() && NewDeparture(known).isBefore(d) {
		// The known process has ended. Upstreams tell requests for it apart by ID only, so the
		// one that leaves would get them.
		t.leaving, t.leavingSince = true, now
	}
	switch {
	case d.Of(t.departure.process) || t.departure.Of(d.process):
		// Announced again: the time of the first announcement counts.
		if d != t.departure && (d.startKnown || !t.departure.startKnown) {
			t.departure, t.announced = d, true
		}
	case !t.isOutdated(d):
		t.departure, t.departedAt, t.announced = d, now, true
	}
	return false
}

// isOutdated reports whether the departure of an earlier process was delayed: it must not
// replace that of the known process or of a newer one.
func (t *Tracker) isOutdated(d Departure) bool {
	return d.isBefore(t.departure) || t.leaving && d.isBefore(NewDeparture(t.last.Process))
}

// RestoreDeparture takes over a departure that was announced to an earlier daemon on the
// instance. When that was is unknown, so the process counts as leaving for a very long time. A
// departure that was announced to this tracker stays unless it is of an earlier process.
func (t *Tracker) RestoreDeparture(now clock.Millis, d Departure) {
	switch {
	case d == Departure{}:
		return
	case !t.announced || t.departure.isBefore(d):
		t.departure, t.departedAt, t.announced = d, longAgo, false
	case d == t.departure || d.startKnown && t.departure.Of(d.process):
		t.departure, t.departedAt = d, longAgo
		if t.leaving && d.Of(t.last.Process) {
			t.leavingSince = longAgo
		}
	}
	if t.hasReport {
		t.markLeaving(now)
	}
}

// longAgo is a time before all drain times that have not ended.
const longAgo clock.Millis = -1 << 40

// Departure returns the newest known departure, the zero value if there is none.
func (t *Tracker) Departure() Departure { return t.departure }

// DepartureAnnounced reports whether the departure was announced to this tracker, not restored.
func (t *Tracker) DepartureAnnounced() bool { return t.announced }

// MarkEnded records that the known process has ended. The caller must be certain of it.
func (t *Tracker) MarkEnded() { t.ended = t.hasReport }

// Last returns the newest report, or false before the first one.
func (t *Tracker) Last() (Report, bool) { return t.last, t.hasReport }

// LastReceived returns the time at which the newest report was received, 0 before the
// first one.
func (t *Tracker) LastReceived() clock.Millis { return t.lastReceived }

// Leaving reports whether the known process has announced its shutdown.
func (t *Tracker) Leaving() bool { return t.leaving }

// LeavingSince returns when the known process has announced its shutdown, or false if it has
// not. The time lies far in the past if an earlier daemon was told.
func (t *Tracker) LeavingSince() (clock.Millis, bool) { return t.leavingSince, t.leaving }

// Ended reports whether the known process has ended. A later report of it clears this.
func (t *Tracker) Ended() bool { return t.ended }
