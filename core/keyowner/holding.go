// Package holding decides which keys the upstream of this instance holds and for
// how long, and which change of the division this daemon asks the table for. Its
// state machine has no clock, goroutine or connection of its own.
package keyowner

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/lease/holder"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/table"
)

const (
	// promiseLength is the length of a witness's promise in milliseconds. It
	// covers four reports of an upstream, which come each 870 ms and may be late;
	// a lost instance's keys are unserved for about as long.
	promiseLength clock.Millis = 4000
	// renewInterval is the time between two renewals in milliseconds.
	renewInterval clock.Millis = 1000
	// upstreamDriftPercent bounds how much slower an upstream's clock may run.
	upstreamDriftPercent = 2
	// minHoldTime is the shortest hold in milliseconds that is worth granting.
	minHoldTime clock.Millis = 100
	// grantDelay is the time in milliseconds after which an upstream on the same
	// instance has taken a grant.
	grantDelay clock.Millis = 5
	// silenceTimeout is the time in milliseconds after the end of its hold after which an
	// upstream that sends no reports is given up: reports may be seconds late.
	silenceTimeout clock.Millis = 1500
	// firstAssignDelay is the time in milliseconds without a new holder before the first
	// deal, so that the first one does not get all keys, and dealLimit that since
	// the first holder entered: hundreds may enter one after another.
	firstAssignDelay    clock.Millis = 700
	firstAssignMaxDelay clock.Millis = 3000
	// balanceInterval is the time in milliseconds between two evenings of the
	// numbers of ranges, and after a change of the holders.
	balanceInterval clock.Millis = 1500
	// rankDelay is the time in milliseconds after which the next holder in order
	// deals or evens in place of the one before it.
	rankDelay clock.Millis = 1000
	// witnessTimeout is the time in milliseconds without a promise after which a
	// witness is replaced.
	witnessTimeout = 2*renewInterval + renewInterval/2
	// joinWitnessWait is the time in milliseconds for which a holder waits with its entry
	// for enough witnesses: where all start together, it would have to change them.
	joinWitnessWait clock.Millis = 1500
	// witnessAvoidTime is the time in milliseconds for which a daemon that did not answer
	// is not chosen as a witness.
	witnessAvoidTime clock.Millis = 2000
	// witnessProposalTimeout is the time in milliseconds that proposed witnesses have for
	// their promises.
	witnessProposalTimeout = 2 * renewInterval
)

// LeaseTiming returns the terms of the leases of holders.
func LeaseTiming() lease.Timing { return lease.NewTiming(promiseLength, renewInterval) }

// Settings are those of a Custodian.
type Settings struct {
	// Instance is the own instance, Incarnation the own process.
	Instance    membership.Instance
	Incarnation identity.Incarnation
	// HoldMax is the longest hold in milliseconds that an upstream takes.
	HoldMax clock.Millis
}

// Controller keeps the keys of one upstream. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	now      clock.Millis

	tracker *heartbeat.Tracker
	members []membership.Member

	assignment      keyspace.Assignment
	revision        table.Revision
	assignmentKnown bool
	// holdersChangedAt is when the set of holders was last seen to change.
	holdersChangedAt clock.Millis
	balancedAt       clock.Millis
	unownedSince     clock.Millis
	// firstHolderAt is when the first holders were seen.
	firstHolderAt   clock.Millis
	unbalancedSince clock.Millis

	// joinDueSince is since when the upstream should enter the division.
	joinDueSince clock.Millis

	lease             *holder.Holder
	witnessGeneration uint64
	// lastGeneration is the generation of the witness set that was chosen last.
	lastGeneration    uint64
	proposedWitnesses []membership.Witness
	// endedWitnesses are witnesses whose processes have ended.
	endedWitnesses []identity.Incarnation
	// avoidedUntil are daemons that did not answer lately, with the end of that time.
	avoidedUntil        map[identity.Incarnation]clock.Millis
	witnessesProposedAt clock.Millis
	proposalInDoubt     bool

	granted      []grantedRange
	grantedUntil clock.Millis
	// holdEnd is when the upstream's hold has certainly run out.
	holdEnd  clock.Millis
	released []keyspace.ReleasedSpan
	// pendingHandover are the spans that a write to replace the revision handingAt gives to
	// others; its outcome may not be known.
	pendingHandover     []keyspace.ReleasedSpan
	pendingHandoverBase table.Revision
	// storeAnsweredAt is when the store answered last.
	storeAnsweredAt clock.Millis
	// dropPending tells that the keys were given up on the base of resignedAt, with
	// an outcome that is not known yet.
	dropPending bool
	dropBase    table.Revision
	moves       []Move
	movesUntil  clock.Millis
}

type grantedRange struct {
	keyspace.Range

	activeFrom clock.Millis
}

// Move asks for a span to pass to another holder.
type Move struct {
	span      keyspace.Span
	nextOwner string
}

// NewMove returns a move of the span to the holder on the named instance.
func NewMove(span keyspace.Span, to string) Move { return Move{span: span, nextOwner: to} }

// New returns a custodian of the upstream that the tracker follows, which
// started at now.
func New(now clock.Millis, settings Settings, tracker *heartbeat.Tracker) *Controller {
	return &Controller{
		settings: settings, tracker: tracker, lease: holder.New(LeaseTiming()),
		// A daemon that ran here before may have granted keys until then.
		holdEnd: now + LeaseTiming().WitnessPromiseLength(),
	}
}

// HandleStoreAnswer takes the news that the store answered at now.
func (c *Controller) HandleStoreAnswer(now clock.Millis) { c.storeAnsweredAt = now }

// NeedsStoreAnswer tells whether an answer of the store is wanted, as own keys are to move.
func (c *Controller) NeedsStoreAnswer(now clock.Millis) bool {
	if now-c.storeAnsweredAt <= storeAnswerMaxAge/2 {
		return false
	}
	return slices.ContainsFunc(c.assignment.OwnedBy(c.settings.Instance.Name()), func(r keyspace.Range) bool { return r.NextOwner() != "" })
}

// SetMembers takes the daemons that may be witnesses.
func (c *Controller) SetMembers(members []membership.Member) { c.members = members }

// MarkWitnessEnded takes the knowledge that the process of a witness has ended.
func (c *Controller) MarkWitnessEnded(i identity.Incarnation) {
	if !slices.Contains(c.endedWitnesses, i) {
		c.endedWitnesses = append(c.endedWitnesses, i)
	}
}

// AvoidWitness takes the news that a daemon did not answer at now: it is not chosen as
// a witness for a while.
func (c *Controller) AvoidWitness(now clock.Millis, i identity.Incarnation) {
	if c.avoidedUntil == nil {
		c.avoidedUntil = make(map[identity.Incarnation]clock.Millis)
	}
	c.avoidedUntil[i] = now + witnessAvoidTime
}

// HandleAssignment takes the division that the table had at a revision.
func (c *Controller) HandleAssignment(now clock.Millis, revision table.Revision, d keyspace.Assignment) {
	c.now = now
	if c.assignmentKnown && revision <= c.revision {
		return
	}
	if len(d.Holders()) != len(c.assignment.Holders()) {
		c.holdersChangedAt = now
	}
	if len(c.assignment.Holders()) == 0 {
		c.firstHolderAt = now
	}
	c.assignment, c.revision, c.assignmentKnown = d, revision, true
	c.dropPending = c.dropPending && revision <= c.dropBase
	c.resolveWitnessProposal()
	c.pruneReleased()
}

// HandleUpstreamRestart takes the certain knowledge that the upstream's process has ended
// or was started anew: it holds nothing.
func (c *Controller) HandleUpstreamRestart(now clock.Millis) {
	c.now, c.granted, c.grantedUntil, c.released = now, nil, 0, nil
}

// Assignment returns the newest division and its revision.
func (c *Controller) Assignment() (keyspace.Assignment, table.Revision) {
	return c.assignment, c.revision
}

// pruneReleased drops the released spans that have passed to their next owners.
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

// ownHolder returns the own entry in the division if it is that of the running
// process and the known life.
func (c *Controller) ownHolder() (keyspace.Holder, bool) {
	h, ok := c.assignment.Holder(c.settings.Instance.Name())
	known, seen := c.tracker.Last()
	if !ok || !seen || h.Process() != known.Process || h.Member().Incarnation() != c.settings.Incarnation {
		return keyspace.Holder{}, false
	}
	return h, true
}

// LeaseEnd returns the point until which nobody else may replace the upstream. The
// division must name the witness set whose promises count.
func (c *Controller) LeaseEnd() clock.Millis {
	if h, ok := c.ownHolder(); !ok || h.Member().WitnessGeneration() != c.witnessGeneration {
		return 0
	}
	return c.lease.End()
}

// DueRenewals returns the requests to the witnesses that are due at now.
func (c *Controller) DueRenewals(now clock.Millis) []holder.RenewRequest {
	c.now = now
	return c.lease.DueRenewals(now)
}

// HandleRenewReply takes a witness's reply to a renewal.
func (c *Controller) HandleRenewReply(now clock.Millis, from identity.Incarnation, reply peer.RenewReply) {
	c.now = now
	c.lease.HandleReply(now, from, reply)
}

// Holds tells whether the upstream holds the key at now, and under which epoch.
func (c *Controller) Holds(now clock.Millis, key keyspace.Key) (identity.Epoch, bool) {
	if now >= c.grantedUntil {
		return 0, false
	}
	for i := range c.granted {
		if row := &c.granted[i]; row.Contains(key) {
			return row.Epoch(), now >= row.activeFrom
		}
	}
	return 0, false
}

// Span returns the keys that move.
func (m Move) Span() keyspace.Span { return m.span }

// NextOwner returns the instance of the next owner.
func (m Move) NextOwner() string { return m.nextOwner }
