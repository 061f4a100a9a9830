package keyowner

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/keyspace"
)

const (
	// mergeDelay is the time in milliseconds after a new era of the store was seen in which no change
	// of an assignment of an earlier era is made: daemons tell each other meanwhile what they know
	// above the older copy. They compare their rows each 0.4 to 0.8 s.
	mergeDelay clock.Millis = 1500
	// settleDelay is the time in milliseconds after a new era of the store was seen from which no
	// owner can be left whose keys were assigned by a change that the store has lost and that no
	// daemon knows: its witnesses have learned of the era, and their promises have expired.
	settleDelay = promiseLength + 2000
)

// recovery is what a Controller knows of the eras of the store. Load pattern: the store comes back
// from a copy some seconds old while upstreams hold keys that were assigned since.
type recovery struct {
	era       era.Era
	eraSeenAt clock.Millis
	// contentEra and contentSettled describe the known assignment as it was written.
	contentEra     era.Era
	contentSettled bool
	// inherited are spans of an earlier era, with their epochs, that the upstream has held without a gap
	// since the present era was seen: no other upstream can have them under a later epoch. Adjacent
	// ones are merged, as those of an assignment may be later.
	inherited []keyspace.Range
	// restoreSince is the time since which the assignment is to be written again, 0 if it is not.
	restoreSince clock.Millis
}

// inherit adds a range that the upstream holds.
func (r *recovery) inherit(owned keyspace.Range) {
	if r.isInherited(owned) {
		return
	}
	r.inherited = append(r.inherited, keyspace.NewRange(owned.Span, owned.Epoch()))
	slices.SortFunc(r.inherited, func(x, y keyspace.Range) int { return int(x.First()) - int(y.First()) })
	r.inherited = keyspace.MergeAdjacent(r.inherited)
}

func (r *recovery) isInherited(owned keyspace.Range) bool {
	return slices.ContainsFunc(r.inherited, func(i keyspace.Range) bool { return i.Epoch() == owned.Epoch() && i.Covers(owned.Span) })
}

// observeEra records the era of an assignment. In a new one, the ranges that are owned for certain
// under a valid lease are inherited.
func (c *Controller) observeEra(e era.Era) {
	if c.assignmentKnown && e <= c.recovery.era {
		return
	}
	var next recovery
	if _, ok := c.ownHolder(); ok && c.LeaseEnd() > c.now {
		for _, owned := range c.assignment.OwnedBy(c.settings.Instance.Name()) {
			if c.isOwnedForCertain(owned) { // It may still be in doubt since an earlier era.
				next.inherit(owned)
			}
		}
	}
	c.recovery.era, c.recovery.eraSeenAt, c.recovery.inherited = e, c.now, next.inherited
}

// updateRecovery advances the recovery to the present time.
func (c *Controller) updateRecovery() {
	if c.lease.End() <= c.now {
		c.recovery.inherited = nil
	}
	if !c.assignment.Settled() && c.now-c.recovery.eraSeenAt >= settleDelay {
		c.assignment = c.assignment.Settle()
	}
}

// needsRestore reports whether the store lacks the known assignment, or has it as one of an earlier
// era.
func (c *Controller) needsRestore() bool {
	neverWritten := c.stamp.Origin().IsZero() && c.assignment.Settled()
	return !neverWritten && (!c.stamp.Stored() || c.recovery.contentEra != c.stamp.Version().Era())
}

// MayChange reports whether changes of the assignment may be made at now. After the store has come
// back from an older copy, daemons first tell each other what they know.
func (c *Controller) MayChange(now clock.Millis) bool {
	return !c.needsRestore() || now-c.recovery.eraSeenAt >= mergeDelay
}

// mayTakeEffect reports whether a write on top of the version base may still take effect. While no
// change was written in a new era of the store, its older copy may have that version.
func (c *Controller) mayTakeEffect(base era.Revision) bool {
	known := c.stamp.Version()
	return !known.After(base) || known.Era() > base.Era() && c.recovery.contentEra != known.Era()
}

// isOwnedForCertain reports whether no other upstream can have an owned range under a later epoch.
// One that was assigned before the present era of the store may have been assigned again by a change
// that the store has lost.
func (c *Controller) isOwnedForCertain(owned keyspace.Range) bool {
	return owned.Epoch() > c.assignment.EpochFloor() || c.assignment.EpochFloor() == 0 || c.recovery.isInherited(owned)
}

// reclaim gives the owned ranges that may have had another owner a new epoch, and those of a handover
// that may still be written although the store has lost their move: it no longer applies then.
func (c *Controller) reclaim() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || !c.assignment.Settled() || c.LeaseEnd() <= c.now {
		return c.assignment, ""
	}
	reclaimed, changed := c.assignment.Reclaim(c.settings.Instance.Name(), func(owned keyspace.Range) bool {
		return c.recovery.isInherited(owned) && (owned.NextOwner() != "" || !c.isHandoverPending(owned))
	})
	if !changed {
		return c.assignment, ""
	}
	return reclaimed, "reclaim"
}

// restore writes the assignment again in a new era of the store, and once more when it is settled.
// The first holder by rank does so at once, each further one rankDelay later if the ones before it
// have not.
func (c *Controller) restore() (keyspace.Assignment, string) {
	due := c.needsRestore() || c.assignment.Settled() && !c.recovery.contentSettled
	if _, ok := c.ownHolder(); !ok || !due {
		c.recovery.restoreSince = 0
		return c.assignment, ""
	}
	if c.recovery.restoreSince == 0 {
		c.recovery.restoreSince = c.now
	}
	if c.now-c.recovery.restoreSince < rankDelay*clock.Millis(c.rank()) {
		return c.assignment, ""
	}
	return c.assignment, "restore"
}
