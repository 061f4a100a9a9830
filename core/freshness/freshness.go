// Package freshness decides whether the copy of a document on an instance is known to be the newest,
// so that what the copy lacks may be denied. Load pattern: the operator adds routes while an instance
// can't reach the store, or while a large manifest is still on its way to it; the instance must then
// not tell callers that the routes don't exist.
package freshness

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
)

// Tracker compares the version of a copy with the newest version that is known to exist. The zero
// value knows of none. It is not safe for concurrent use.
type Tracker struct {
	held   era.Revision
	newest era.Revision
	// observed is set once the newest version was observed; observedAt is the time of the latest
	// observation.
	observed   bool
	observedAt clock.Millis
}

// RecordHeld records that the copy now is of the version.
func (t *Tracker) RecordHeld(version era.Revision) { t.held = era.Later(t.held, version) }

// RecordObservation records that no version after the given one existed at a time, in milliseconds
// on the clock of this instance.
func (t *Tracker) RecordObservation(at clock.Millis, version era.Revision) {
	t.newest = era.Later(t.newest, version)
	if !t.observed || at > t.observedAt {
		t.observed, t.observedAt = true, at
	}
}

// Observation returns the newest version that is known to exist and the age of the latest
// observation in milliseconds, or false if there was none.
func (t *Tracker) Observation(now clock.Millis) (era.Revision, clock.Millis, bool) {
	return t.newest, now - t.observedAt, t.observed
}

// IsCurrent reports whether the copy has every version that existed within milliseconds ago.
func (t *Tracker) IsCurrent(now, within clock.Millis) bool {
	return t.observed && !t.newest.After(t.held) && now-t.observedAt <= within
}
