package keyowner

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/keyspace"
)

// Evidence tells why the upstream of a holder counts as no longer holding the keys that a change gives
// to others.
type Evidence struct {
	kind     string
	holdLeft clock.Millis
}

// Kinds of Evidence.
const (
	// EvidenceReleased means that the upstream has listed all the keys as released.
	EvidenceReleased = "released"
	// EvidenceUnlisted means that its reports no longer list some of the keys as held.
	EvidenceUnlisted = "unlisted"
	// EvidenceEnded means that the upstream's process counts as ended.
	EvidenceEnded = "ended"
	// EvidenceSilent means that the upstream has sent no reports.
	EvidenceSilent = "silent"
	// EvidenceLapsed means that the holder's lease has lapsed.
	EvidenceLapsed = "lapsed"
)

// Kind returns the kind, "" if the change gives no keys to others.
func (e Evidence) Kind() string { return e.kind }

// HoldLeft returns the time in milliseconds for which the newest grant may still run, 0 if no grant of
// this daemon is left or the holder is that of another instance.
func (e Evidence) HoldLeft() clock.Millis { return e.holdLeft }

// Evidence returns what the change rests on.
func (c Change) Evidence() Evidence { return c.evidence }

// evidenceFor returns the evidence for a change of the own holder.
func (c *Controller) evidenceFor(reason string) Evidence {
	e := Evidence{holdLeft: max(c.holdEnd-c.now, 0)}
	switch {
	case reason == ReasonHandover && slices.ContainsFunc(c.released, isUnlisted):
		e.kind = EvidenceUnlisted
	case reason == ReasonHandover:
		e.kind = EvidenceReleased
	case reason == ReasonUpstreamEnded && c.tracker.Ended():
		e.kind = EvidenceEnded
	case reason == ReasonUpstreamEnded:
		e.kind = EvidenceSilent
	default:
		return Evidence{}
	}
	return e
}

// isUnlisted reports whether the upstream has not listed a span as released: it left no token.
func isUnlisted(released keyspace.ReleasedSpan) bool { return released.HandoverToken() == "" }
