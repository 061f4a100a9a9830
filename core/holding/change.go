package holding

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/table"
)

// ReasonJoin names the change by which an upstream enters the division.
const ReasonJoin = "join"

// Change is a division that this daemon asks the table for.
type Change struct {
	division keyspace.Assignment
	base     table.Revision
	reason   string
}

// Division returns the wanted division.
func (c Change) Division() keyspace.Assignment { return c.division }

// Base returns the revision of the division that it replaces, 0 if there is none.
func (c Change) Base() table.Revision { return c.base }

// Reason names the change in logs.
func (c Change) Reason() string { return c.reason }

// Lose returns the change that drops the holder with a lease that has certainly
// lapsed. It returns false if the division does not name that lease, with the
// witnesses that were asked.
func Lose(d keyspace.Assignment, base table.Revision, lease membership.Member) (Change, bool) {
	h, ok := d.Holder(lease.Instance().Name())
	if !ok || h.Member().Incarnation() != lease.Incarnation() || h.Member().WitnessGeneration() != lease.WitnessGeneration() {
		return Change{}, false
	}
	return Change{division: d.RemoveHolder(h.InstanceName()), base: base, reason: "lost"}, true
}

// moveLife is the time in milliseconds for which requested moves are tried again when
// another change came first. The loads that asked for them are older then.
const moveLife clock.Millis = 1500

const reasonMove = "move"

// Request asks at now for moves of own keys, in place of those asked for before.
func (c *Custodian) Request(now clock.Millis, moves []Move) {
	c.moves, c.movesUntil = moves, now+moveLife
}

// Next returns the change of the division that is due at now, if any. Its result
// must be told with Committed or Divided before the next call.
func (c *Custodian) Next(now clock.Millis) (Change, bool) {
	c.now = now
	if !c.read {
		return Change{}, false
	}
	for _, step := range []func() (keyspace.Assignment, string){c.join, c.depart, c.resume, c.hand, c.witnesses, c.move, c.deal, c.even} {
		if d, reason := step(); reason != "" {
			return Change{division: d, base: c.revision, reason: reason}, true
		}
	}
	return Change{}, false
}

// Committed takes the division that the table accepted from this daemon.
func (c *Custodian) Committed(now clock.Millis, revision table.Revision, change Change) {
	c.Divided(now, revision, change.division)
	if change.reason == reasonMove {
		c.moves = nil
	}
	if h, ok := c.self(); ok && h.Member().WitnessGeneration() != c.generation {
		c.install(h.Member())
	}
}

func (c *Custodian) install(row membership.Member) {
	c.generation = row.WitnessGeneration()
	c.lease.InstallWitnesses(row.WitnessGeneration(), row.Witnesses())
	c.proposed, c.doubted = nil, false
}

// settleProposal ends a proposal of witnesses once the table shows its outcome.
func (c *Custodian) settleProposal() {
	h, ok := c.self()
	switch {
	case !ok:
	case h.Member().WitnessGeneration() > c.generation:
		c.install(h.Member())
	case c.proposed != nil && c.doubted:
		// Another change came first, so that the proposal's can't take effect.
		c.lease.AbandonProposal()
		c.proposed, c.doubted = nil, false
	}
}

// alive tells whether the upstream may hold keys.
func (c *Custodian) alive() bool {
	_, seen := c.tracker.Known()
	return seen && !c.tracker.Ended() && !c.quiet()
}

// quiet tells whether the upstream has been silent until its hold ran out.
func (c *Custodian) quiet() bool {
	return c.now >= max(c.holdEnd, c.tracker.Heard()+Terms().WitnessPromiseLength())+silence
}

// join enters the upstream into the division.
func (c *Custodian) join() (keyspace.Assignment, string) {
	if _, ok := c.self(); ok || !c.alive() {
		c.outsideSince = 0
		return c.division, ""
	}
	_, known := c.division.Holder(c.settings.Instance.Name())
	if c.tracker.Leaving() && !known {
		return c.division, ""
	}
	if c.outsideSince == 0 {
		c.outsideSince = c.now
	}
	witnesses := c.choose(c.gone)
	if len(witnesses) == 0 || len(witnesses) < lease.WitnessCount && c.now-c.outsideSince < witnessWait {
		return c.division, ""
	}
	r, _ := c.tracker.Known()
	c.lease.AbandonProposal()
	c.proposed, c.doubted = nil, false
	row := membership.RestoreMember(c.settings.Incarnation, c.settings.Instance, c.nextGeneration(), witnesses)
	c.released = nil
	return c.division.AddHolder(keyspace.NewHolder(row, r.Life, r.Slots)), ReasonJoin
}

// nextGeneration numbers a witness set. A number is never used for two sets: the
// promises to one must not count for the other.
func (c *Custodian) nextGeneration() uint64 {
	c.numbered++
	return c.numbered
}

// choose returns witnesses among the members but the excluded ones.
func (c *Custodian) choose(excluded []identity.Incarnation) []membership.Witness {
	candidates := slices.DeleteFunc(slices.Clone(c.members), func(m membership.Member) bool {
		return slices.Contains(excluded, m.Incarnation()) || c.now < c.avoided[m.Incarnation()]
	})
	self := membership.RestoreMember(c.settings.Incarnation, c.settings.Instance, 0, nil)
	return membership.ChooseWitnesses(self, candidates, lease.WitnessCount)
}

// depart gives up the keys of an upstream that leaves or has ended.
func (c *Custodian) depart() (keyspace.Assignment, string) {
	h, known := c.division.Holder(c.settings.Instance.Name())
	_, seen := c.tracker.Known()
	switch {
	case !known:
		return c.division, ""
	case seen && c.tracker.Ended() || c.quiet():
		c.resign()
		return c.division.RemoveHolder(h.InstanceName()), "upstreamEnded"
	case c.tracker.Leaving() && !h.Leaving():
		return c.division.MarkLeaving(h.InstanceName()), "leave"
	case h.Leaving() && len(c.division.OwnedBy(h.InstanceName())) == 0:
		c.resign()
		return c.division.RemoveHolder(h.InstanceName()), "left"
	default:
		return c.division, ""
	}
}

// resign ends all grants: the table is asked to give the keys to others, and may
// do so at any time until it has another revision of the division.
func (c *Custodian) resign() { c.resigned, c.resignedAt = true, c.revision }

// resume writes the division as it is, if the upstream is back although its keys
// were given up: the revision that follows shows whether they were.
func (c *Custodian) resume() (keyspace.Assignment, string) {
	if _, ok := c.self(); !ok || !c.resigned {
		return c.division, ""
	}
	return c.division, "resume"
}

// hand passes released keys to their next owners.
func (c *Custodian) hand() (keyspace.Assignment, string) {
	if _, ok := c.self(); !ok || len(c.released) == 0 {
		return c.division, ""
	}
	name := c.settings.Instance.Name()
	moving := slices.ContainsFunc(c.division.OwnedBy(name), func(r keyspace.Range) bool { return r.NextOwner() != "" && c.isReleased(r.Span) })
	if !moving {
		return c.division, ""
	}
	c.handing, c.handingAt = slices.Clone(c.released), c.revision
	return c.division.CompleteMoves(name, c.released), "handover"
}

// isHanding tells whether a write may take effect that gives keys of the span to
// others: the table still has the revision that it was to replace.
func (c *Custodian) isHanding(span keyspace.Span) bool {
	return c.revision == c.handingAt && slices.ContainsFunc(c.handing, func(r keyspace.ReleasedSpan) bool { return overlap(r.Span, span) })
}

// witnesses replaces witnesses that have stopped to answer, once the new ones
// have promised.
func (c *Custodian) witnesses() (keyspace.Assignment, string) {
	h, ok := c.self()
	if !ok {
		return c.division, ""
	}
	if c.proposed != nil {
		return c.confirm(h)
	}
	silent := append(c.lease.SilentWitnesses(c.now, witnessPatience), c.gone...)
	few := len(h.Member().Witnesses()) < lease.WitnessCount
	if !c.lease.Fenced() && !c.missing(h, silent) && !few {
		return c.division, ""
	}
	chosen := c.choose(silent)
	if len(chosen) == 0 || len(chosen) <= len(h.Member().Witnesses()) && !c.missing(h, silent) && !c.lease.Fenced() {
		return c.division, ""
	}
	c.proposed, c.proposedAt = chosen, c.now
	c.lease.ProposeWitnesses(c.nextGeneration(), chosen)
	return c.division, ""
}

// missing tells whether any witness of the holder is among the given ones.
func (c *Custodian) missing(h keyspace.Holder, ended []identity.Incarnation) bool {
	return slices.ContainsFunc(h.Member().Witnesses(), func(w membership.Witness) bool { return slices.Contains(ended, w.Incarnation()) })
}

// unlikely tells whether so many of the proposed witnesses have ended or did not
// answer that they won't promise.
func (c *Custodian) unlikely() bool {
	failed := 0
	for _, w := range c.proposed {
		if slices.Contains(c.gone, w.Incarnation()) || c.now < c.avoided[w.Incarnation()] {
			failed++
		}
	}
	return failed >= lease.LapseQuorum(len(c.proposed))
}

func (c *Custodian) confirm(h keyspace.Holder) (keyspace.Assignment, string) {
	if c.lease.ProposedEnd() < max(c.lease.End(), c.now+shortestHold) {
		if !c.doubted && (c.now-c.proposedAt > proposalLife || c.unlikely()) {
			c.lease.AbandonProposal()
			c.proposed = nil
		}
		return c.division, ""
	}
	c.lease.MarkInDoubt()
	c.doubted = true
	row := membership.RestoreMember(c.settings.Incarnation, c.settings.Instance, c.lease.ProposedGeneration(), c.proposed)
	return c.division.AddHolder(keyspace.NewHolder(row, h.Process(), h.Slots())), "witnesses"
}

// move carries out requested moves. They stay until the table has accepted them.
func (c *Custodian) move() (keyspace.Assignment, string) {
	if _, ok := c.self(); !ok || len(c.moves) == 0 || c.now >= c.movesUntil {
		c.moves = nil
		return c.division, ""
	}
	d := c.division
	for _, m := range c.moves {
		if h, ok := d.Holder(m.to); ok && !h.Leaving() {
			d = d.StartMove(c.settings.Instance.Name(), m.span, m.to)
		}
	}
	return d, reasonMove
}

// deal assigns keys without an owner. The first holder in order does it at once,
// the others if it does not.
func (c *Custodian) deal() (keyspace.Assignment, string) {
	if _, ok := c.self(); !ok || !c.division.CanAssignUnowned() {
		c.undealtSince = 0
		return c.division, ""
	}
	if c.undealtSince == 0 {
		c.undealtSince = c.now
	}
	wait := rankDelay * clock.Millis(c.rank())
	settled := c.now-c.holdersChanged >= dealDelay || c.now-c.entered >= dealLimit
	if len(c.division.Ranges()) == 0 && !settled || c.now-c.undealtSince < wait {
		return c.division, ""
	}
	return c.division.AssignUnowned(), "deal"
}

// even brings the numbers of ranges closer to each other after a holder joined.
// The first holder in order does it, the others if it does not.
func (c *Custodian) even() (keyspace.Assignment, string) {
	if _, ok := c.self(); !ok || c.now-max(c.holdersChanged, c.evened) < evenInterval {
		return c.division, ""
	}
	d, moved := c.division.BalanceRangeCounts()
	if !moved {
		c.unevenSince = 0
		return c.division, ""
	}
	if c.unevenSince == 0 {
		c.unevenSince = c.now
	}
	if c.now-c.unevenSince < rankDelay*clock.Millis(c.rank()) {
		return c.division, ""
	}
	c.evened, c.unevenSince = c.now, 0
	return d, "even"
}

// rank returns the own place among the holders that stay.
func (c *Custodian) rank() int {
	rank := 0
	for _, h := range c.division.Holders() {
		if h.InstanceName() == c.settings.Instance.Name() {
			break
		}
		if !h.Leaving() {
			rank++
		}
	}
	return rank
}
