// Package keyowner decides which keys the upstream of this instance holds and for
// how long, and which changes of the key assignment this daemon writes to the table.
// The store is the service that keeps the table. The state machines have no clock,
// goroutine or connection of their own: the caller passes in the time and all events.
package keyowner

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/lease/holder"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
)

const (
	// promiseLength is the length of a witness's promise in milliseconds. It covers
	// four reports of an upstream, which are sent every 870 ms and may be late. The
	// keys of a lost instance are unserved for about as long.
	promiseLength clock.Millis = 4000
	// renewInterval is the time between two lease renewals in milliseconds.
	renewInterval clock.Millis = 1000
	// upstreamDriftPercent bounds, in percent, how much slower than the daemon's clock
	// an upstream's clock may run.
	upstreamDriftPercent = 2
	// minHoldTime is the shortest hold time in milliseconds that is granted.
	minHoldTime clock.Millis = 100
	// grantDelay is the time in milliseconds after which an upstream on the same
	// instance has applied a grant.
	grantDelay clock.Millis = 5
	// silenceTimeout is the time in milliseconds, from the end of its hold time, after
	// which an upstream that sends no reports loses its keys. Reports may be seconds
	// late.
	silenceTimeout clock.Millis = 1500
	// firstAssignDelay is the time in milliseconds without a new holder after which
	// keys are assigned for the first time, so that the first holder does not get all
	// keys. firstAssignMaxDelay bounds the wait from when the first holder joined:
	// hundreds may join one after another.
	firstAssignDelay    clock.Millis = 700
	firstAssignMaxDelay clock.Millis = 3000
	// balanceInterval is the shortest time in milliseconds between two balancings of
	// the range counts, and from a change of the holders to the next balancing.
	balanceInterval clock.Millis = 1500
	// rankDelay is the time in milliseconds after which the next holder by rank
	// assigns keys or balances range counts in place of the one before it.
	rankDelay clock.Millis = 1000
	// witnessTimeout is the time in milliseconds after which a witness that has made
	// no promise is replaced.
	witnessTimeout = 2*renewInterval + renewInterval/2
	// joinWitnessWait is the time in milliseconds for which a holder delays its join
	// until there are lease.WitnessCount candidates. Where all daemons start together,
	// a holder that joins with fewer witnesses has to replace them soon after.
	joinWitnessWait clock.Millis = 1500
	// witnessAvoidTime is the time in milliseconds for which a daemon that did not
	// answer is not chosen as a witness.
	witnessAvoidTime clock.Millis = 2000
	// witnessProposalTimeout is the time in milliseconds after which proposed witnesses
	// are abandoned if a majority of them has not promised.
	witnessProposalTimeout = 2 * renewInterval
)

// LeaseTiming returns the timing of the leases of key holders.
func LeaseTiming() lease.Timing { return lease.NewTiming(promiseLength, renewInterval) }

// Settings configure a Controller.
type Settings struct {
	// Instance is the instance of this daemon, Incarnation its process.
	Instance    membership.Instance
	Incarnation identity.Incarnation
	// HoldMax is the longest hold time in milliseconds that an upstream accepts.
	HoldMax clock.Millis
}

// Controller manages the lease and the keys of one upstream. It is not safe for
// concurrent use.
type Controller struct {
	settings Settings
	now      clock.Millis

	tracker *heartbeat.Tracker
	members []membership.Member

	// assignment is the newest known one, as the base of changes in the present era of the store.
	assignment      keyspace.Assignment
	stamp           era.Stamp
	assignmentKnown bool
	recovery        recovery
	// holdersChangedAt is when the number of holders was last seen to change.
	holdersChangedAt clock.Millis
	balancedAt       clock.Millis
	// unownedSince is when keys without an owner were first seen, 0 if there are none.
	unownedSince clock.Millis
	// firstHolderAt is when the first holders were seen.
	firstHolderAt clock.Millis
	// unbalancedSince is when range counts to balance were first seen, 0 if there are
	// none.
	unbalancedSince clock.Millis
	// distribution is what is known of the assignment if distributionKnown is set.
	distribution      distribution
	distributionKnown bool

	// cold is true while the upstream is cold.
	cold bool
	// joinDueSince is the time since which the upstream should join the assignment, 0
	// if it need not.
	joinDueSince clock.Millis

	lease             *holder.Holder
	witnessGeneration uint64
	// lastGeneration is the generation of the newest witness set that was chosen.
	lastGeneration    uint64
	proposedWitnesses []membership.Witness
	// endedWitnesses are the witnesses whose processes have ended.
	endedWitnesses []identity.Incarnation
	// avoidedUntil maps each daemon that did not answer to the time from which it may
	// be chosen as a witness again.
	avoidedUntil        map[identity.Incarnation]clock.Millis
	witnessesProposedAt clock.Millis
	proposalInDoubt     bool

	granted      []grantedRange
	grantedUntil clock.Millis
	// holdEnd is the time from which every hold granted to the upstream has certainly
	// expired.
	holdEnd clock.Millis
	holds   holds
	// grantEnd is the time from which every hold that this daemon process has granted to the present
	// process of the upstream has certainly expired, formerHoldEnd that of the holds of processes
	// before it. A report that names a process may be late, so it does not prove that the others
	// have ended.
	grantEnd      clock.Millis
	formerHoldEnd clock.Millis
	released      []keyspace.ReleasedSpan
	// pendingHandover are the spans that a write on top of pendingHandoverBase gives to
	// other holders. The outcome of the write may be unknown.
	pendingHandover     []keyspace.ReleasedSpan
	pendingHandoverBase era.Revision
	// proposedHandovers are the ranges that another daemon may still hand over.
	proposedHandovers []proposedHandover
	// storeAnsweredAt is the time of the last answer of the store.
	storeAnsweredAt clock.Millis
	// dropPending is set while the outcome of a write is unknown that removes this
	// holder from the assignment at revision dropBase.
	dropPending bool
	dropBase    era.Revision
	moves       []Move
	movesUntil  clock.Millis
	// unplaceable is set while the upstream may not get keys and gives up those it has.
	unplaceable bool
}

// distribution describes how the keys of an assignment are distributed. It depends on the
// assignment alone, so it is computed once for each revision: it takes a pass over all ranges.
type distribution struct {
	// assignable is true if keys without an owner can be assigned.
	assignable bool
	// moving is true if keys of this upstream are to move to other holders.
	moving bool
	// lacksNextOwners is true if the holder of this upstream is leaving and next owners of its
	// keys are to be chosen again.
	lacksNextOwners bool
	// balanced has the range counts evened out; it is valid if unbalanced is true. Both are
	// valid if balanceKnown is true.
	balanced     keyspace.Assignment
	unbalanced   bool
	balanceKnown bool
}

// proposedHandover is a range whose handover was proposed to another daemon.
type proposedHandover struct {
	span           keyspace.Span
	epoch          identity.Epoch
	moveGeneration uint64
}

type grantedRange struct {
	keyspace.Range

	// activeFrom is when the upstream has applied the grant.
	activeFrom clock.Millis
}

// Move is a requested transfer of a span of keys to another holder.
type Move struct {
	span      keyspace.Span
	nextOwner string
}

// NewMove returns a move of the span to the holder on the instance nextOwner.
func NewMove(span keyspace.Span, nextOwner string) Move {
	return Move{span: span, nextOwner: nextOwner}
}

// New returns the Controller of the upstream that the tracker follows. The daemon
// starts at now.
func New(now clock.Millis, settings Settings, tracker *heartbeat.Tracker) *Controller {
	// An earlier daemon on this instance may have granted keys until then.
	inheritedUntil := now + LeaseTiming().WitnessPromiseLength()
	return &Controller{
		settings: settings, tracker: tracker, lease: holder.New(LeaseTiming()),
		holdEnd: inheritedUntil, holds: holds{inheritedUntil: inheritedUntil},
	}
}

// HandleStoreAnswer records that the store answered a read or a write at the given time, to
// this daemon or to another one.
func (c *Controller) HandleStoreAnswer(at clock.Millis) {
	c.storeAnsweredAt = max(c.storeAnsweredAt, at)
}

// StoreAnsweredAt returns the time of the latest known answer of the store, 0 if there is none.
func (c *Controller) StoreAnsweredAt() clock.Millis { return c.storeAnsweredAt }

// NeedsStoreAnswer reports whether the caller should read from the store: keys are to move,
// and the last answer is older than half of storeAnswerMaxAge. Keys are released for a move
// only while the store is known to answer.
func (c *Controller) NeedsStoreAnswer(now clock.Millis) bool {
	if now-c.storeAnsweredAt <= storeAnswerMaxAge/2 {
		return false
	}
	return c.currentDistribution().moving
}

// SetMembers replaces the daemons that may be chosen as witnesses.
func (c *Controller) SetMembers(members []membership.Member) { c.members = members }

// SetPlaceable sets whether the upstream may own keys. It may by default. While it may not, its
// holder is marked as leaving, hands over its keys and is removed once it owns none, and the
// upstream does not join. The holder of a daemon that was restarted meanwhile is taken over, so
// that its keys are handed over with their tokens. Keys that no other holder can take stay.
func (c *Controller) SetPlaceable(placeable bool) { c.unplaceable = !placeable }

// Placeable reports whether the upstream may own keys.
func (c *Controller) Placeable() bool { return !c.unplaceable }

// MarkWitnessEnded records that the process of a witness has ended.
func (c *Controller) MarkWitnessEnded(i identity.Incarnation) {
	if !slices.Contains(c.endedWitnesses, i) {
		c.endedWitnesses = append(c.endedWitnesses, i)
	}
}

// AvoidWitness records that a daemon did not answer at now. It is not chosen as a
// witness for witnessAvoidTime.
func (c *Controller) AvoidWitness(now clock.Millis, i identity.Incarnation) {
	if c.avoidedUntil == nil {
		c.avoidedUntil = make(map[identity.Incarnation]clock.Millis)
	}
	c.avoidedUntil[i] = now + witnessAvoidTime
}

// HandleAssignment records an assignment of the table. The stamp is that of its row: an assignment
// whose content is older than the known one has a stamp whose origin is. It ignores a stamp that the
// known one covers.
func (c *Controller) HandleAssignment(now clock.Millis, stamp era.Stamp, a keyspace.Assignment) {
	c.now = now
	if c.assignmentKnown && c.stamp.Covers(stamp) {
		return
	}
	c.observeEra(stamp.Version().Era())
	if c.assignmentKnown && !stamp.Origin().After(c.stamp.Origin()) {
		a = c.assignment // Only the version at the store is new.
	} else {
		c.recovery.contentEra, c.recovery.contentSettled = a.Era(), a.Settled()
	}
	if len(a.Holders()) != len(c.assignment.Holders()) {
		c.holdersChangedAt = now
	}
	if len(c.assignment.Holders()) == 0 {
		c.firstHolderAt = now
	}
	c.stamp, c.assignmentKnown, c.distributionKnown = c.stamp.Join(stamp), true, false
	c.assignment = a.ForEra(c.stamp.Version().Era())
	c.dropPending = c.dropPending && c.mayTakeEffect(c.dropBase)
	c.resolveWitnessProposal()
	c.pruneReleased()
	c.pruneProposedHandovers()
}

// SetCold records whether the upstream is cold. A cold one that owns no keys does not join the
// assignment while other holders own keys.
func (c *Controller) SetCold(cold bool) { c.cold = cold }

// HandleUpstreamRestart records that another process of the upstream is the known one. Until the
// holds of the one before have expired, no keys of the upstream are released for moves. Should that
// one report again after all, it may still hold what it was granted.
func (c *Controller) HandleUpstreamRestart(now clock.Millis) {
	c.now, c.granted, c.grantedUntil, c.released = now, nil, 0, nil
	c.formerHoldEnd, c.grantEnd = max(c.formerHoldEnd, c.grantEnd), 0
}

// HandleUpstreamEnd records that no process of the upstream runs any more, so that none holds keys.
// The caller must be certain of it.
func (c *Controller) HandleUpstreamEnd(now clock.Millis) {
	c.now, c.granted, c.grantedUntil, c.released = now, nil, 0, nil
	c.holdEnd, c.grantEnd, c.formerHoldEnd = min(c.holdEnd, now), 0, 0
}

// Assignment returns the newest known assignment, as the base of changes, and its stamp.
func (c *Controller) Assignment() (keyspace.Assignment, era.Stamp) { return c.assignment, c.stamp }

// pruneReleased removes the released spans that have passed to their next owners.
func (c *Controller) pruneReleased() {
	kept := c.released[:0]
	for _, released := range c.released {
		for _, r := range c.assignment.OwnedBy(c.settings.Instance.Name()) {
			if r.NextOwner() != "" && overlaps(r.Span, released.Span) {
				kept = append(kept, released)
				break
			}
		}
	}
	c.released = kept
}

func overlaps(a, b keyspace.Span) bool { return a.First() <= b.Last() && b.First() <= a.Last() }

// ownHolder returns the holder on this instance. It returns false if the assignment
// has none, or one of another daemon process or another upstream process.
func (c *Controller) ownHolder() (keyspace.Holder, bool) {
	h, ok := c.assignment.Holder(c.settings.Instance.Name())
	last, reported := c.tracker.Last()
	if !ok || !reported || h.Process() != last.Process || h.Member().Incarnation() != c.settings.Incarnation {
		return keyspace.Holder{}, false
	}
	return h, true
}

// LeaseEnd returns the time until which no other daemon may drop the upstream from the
// assignment. It returns 0 if the assignment does not name the witness set whose
// promises are counted.
func (c *Controller) LeaseEnd() clock.Millis {
	if h, ok := c.ownHolder(); !ok || h.Member().WitnessGeneration() != c.witnessGeneration {
		return 0
	}
	return c.lease.End()
}

// DueRenewals returns the renewal requests to send to witnesses at now.
func (c *Controller) DueRenewals(now clock.Millis) []holder.RenewRequest {
	c.now = now
	return c.lease.DueRenewals(now)
}

// HandleRenewReply records the reply of the witness from to a renewal request.
func (c *Controller) HandleRenewReply(now clock.Millis, from identity.Incarnation, reply peer.RenewReply) {
	c.now = now
	if c.lease.End() <= now {
		c.recovery.inherited = nil // The lease has lapsed meanwhile.
	}
	c.lease.HandleReply(now, from, reply)
}

// Holds reports whether the upstream holds the key at now, and under which epoch.
func (c *Controller) Holds(now clock.Millis, key keyspace.Key) (identity.Epoch, bool) {
	if now >= c.grantedUntil {
		return 0, false
	}
	for i := range c.granted {
		if r := &c.granted[i]; r.Contains(key) {
			return r.Epoch(), now >= r.activeFrom
		}
	}
	return 0, false
}

// Span returns the keys to move.
func (m Move) Span() keyspace.Span { return m.span }

// NextOwner returns the instance of the next owner.
func (m Move) NextOwner() string { return m.nextOwner }
