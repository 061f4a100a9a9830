// Package holding decides which keys the upstream of this instance holds and for
// how long, and which change of the division this daemon asks the table for. Its
// state machine has no clock, goroutine or connection of its own.
package holding

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/lease/holder"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/report"
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
	// shortestHold is the shortest hold in milliseconds that is worth granting.
	shortestHold clock.Millis = 100
	// grantDelay is the time in milliseconds after which an upstream on the same
	// instance has taken a grant.
	grantDelay clock.Millis = 5
	// silence is the time in milliseconds after the end of its hold after which an
	// upstream that sends no reports is given up: reports may be seconds late.
	silence clock.Millis = 1500
	// dealDelay is the time in milliseconds without a new holder before the first
	// deal, so that the first one does not get all keys, and dealLimit that since
	// the first holder entered: hundreds may enter one after another.
	dealDelay clock.Millis = 700
	dealLimit clock.Millis = 3000
	// evenInterval is the time in milliseconds between two evenings of the
	// numbers of ranges, and after a change of the holders.
	evenInterval clock.Millis = 1500
	// rankDelay is the time in milliseconds after which the next holder in order
	// deals or evens in place of the one before it.
	rankDelay clock.Millis = 1000
	// witnessPatience is the time in milliseconds without a promise after which a
	// witness is replaced.
	witnessPatience = 2*renewInterval + renewInterval/2
	// witnessWait is the time in milliseconds for which a holder waits with its entry
	// for enough witnesses: where all start together, it would have to change them.
	witnessWait clock.Millis = 1500
	// avoidTime is the time in milliseconds for which a daemon that did not answer
	// is not chosen as a witness.
	avoidTime clock.Millis = 2000
	// proposalLife is the time in milliseconds that proposed witnesses have for
	// their promises.
	proposalLife = 2 * renewInterval
)

// Terms returns the terms of the leases of holders.
func Terms() lease.Timing { return lease.NewTiming(promiseLength, renewInterval) }

// Settings are those of a Custodian.
type Settings struct {
	// Instance is the own instance, Incarnation the own process.
	Instance    membership.Instance
	Incarnation identity.Incarnation
	// HoldMax is the longest hold in milliseconds that an upstream takes.
	HoldMax clock.Millis
}

// Custodian keeps the keys of one upstream. It is not safe for concurrent use.
type Custodian struct {
	settings Settings
	now      clock.Millis

	tracker *report.Tracker
	members []membership.Member

	division keyspace.Assignment
	revision table.Revision
	read     bool
	// holdersChanged is when the set of holders was last seen to change.
	holdersChanged clock.Millis
	evened         clock.Millis
	undealtSince   clock.Millis
	// entered is when the first holders were seen.
	entered     clock.Millis
	unevenSince clock.Millis

	// outsideSince is since when the upstream should enter the division.
	outsideSince clock.Millis

	lease      *holder.Holder
	generation uint64
	// numbered is the generation of the witness set that was chosen last.
	numbered uint64
	proposed []membership.Witness
	// gone are witnesses whose processes have ended.
	gone []identity.Incarnation
	// avoided are daemons that did not answer lately, with the end of that time.
	avoided    map[identity.Incarnation]clock.Millis
	proposedAt clock.Millis
	doubted    bool

	granted      []grantedRow
	grantedUntil clock.Millis
	// holdEnd is when the upstream's hold has certainly run out.
	holdEnd  clock.Millis
	released []keyspace.ReleasedSpan
	// handing are the spans that a write to replace the revision handingAt gives to
	// others; its outcome may not be known.
	handing   []keyspace.ReleasedSpan
	handingAt table.Revision
	// answered is when the store answered last.
	answered clock.Millis
	// resigned tells that the keys were given up on the base of resignedAt, with
	// an outcome that is not known yet.
	resigned   bool
	resignedAt table.Revision
	moves      []Move
	movesUntil clock.Millis
}

type grantedRow struct {
	keyspace.Range

	from clock.Millis
}

// Move asks for a span to pass to another holder.
type Move struct {
	span keyspace.Span
	to   string
}

// NewMove returns a move of the span to the holder on the named instance.
func NewMove(span keyspace.Span, to string) Move { return Move{span: span, to: to} }

// New returns a custodian of the upstream that the tracker follows, which
// started at now.
func New(now clock.Millis, settings Settings, tracker *report.Tracker) *Custodian {
	return &Custodian{
		settings: settings, tracker: tracker, lease: holder.New(Terms()),
		// A daemon that ran here before may have granted keys until then.
		holdEnd: now + Terms().WitnessPromiseLength(),
	}
}

// Answered takes the news that the store answered at now.
func (c *Custodian) Answered(now clock.Millis) { c.answered = now }

// Asks tells whether an answer of the store is wanted, as own keys are to move.
func (c *Custodian) Asks(now clock.Millis) bool {
	if now-c.answered <= answerAge/2 {
		return false
	}
	return slices.ContainsFunc(c.division.OwnedBy(c.settings.Instance.Name()), func(r keyspace.Range) bool { return r.NextOwner() != "" })
}

// Members takes the daemons that may be witnesses.
func (c *Custodian) Members(members []membership.Member) { c.members = members }

// Gone takes the knowledge that the process of a witness has ended.
func (c *Custodian) Gone(i identity.Incarnation) {
	if !slices.Contains(c.gone, i) {
		c.gone = append(c.gone, i)
	}
}

// Avoid takes the news that a daemon did not answer at now: it is not chosen as
// a witness for a while.
func (c *Custodian) Avoid(now clock.Millis, i identity.Incarnation) {
	if c.avoided == nil {
		c.avoided = make(map[identity.Incarnation]clock.Millis)
	}
	c.avoided[i] = now + avoidTime
}

// Divided takes the division that the table had at a revision.
func (c *Custodian) Divided(now clock.Millis, revision table.Revision, d keyspace.Assignment) {
	c.now = now
	if c.read && revision <= c.revision {
		return
	}
	if len(d.Holders()) != len(c.division.Holders()) {
		c.holdersChanged = now
	}
	if len(c.division.Holders()) == 0 {
		c.entered = now
	}
	c.division, c.revision, c.read = d, revision, true
	c.resigned = c.resigned && revision <= c.resignedAt
	c.settleProposal()
	c.forgetHanded()
}

// Restarted takes the certain knowledge that the upstream's process has ended
// or was started anew: it holds nothing.
func (c *Custodian) Restarted(now clock.Millis) {
	c.now, c.granted, c.grantedUntil, c.released = now, nil, 0, nil
}

// Division returns the newest division and its revision.
func (c *Custodian) Division() (keyspace.Assignment, table.Revision) { return c.division, c.revision }

// forgetHanded drops the released spans that have passed to their next owners.
func (c *Custodian) forgetHanded() {
	kept := c.released[:0]
	for _, released := range c.released {
		for _, r := range c.division.OwnedBy(c.settings.Instance.Name()) {
			if r.NextOwner() != "" && overlap(r.Span, released.Span) {
				kept = append(kept, released)
				break
			}
		}
	}
	c.released = kept
}

func overlap(a, b keyspace.Span) bool { return a.First() <= b.Last() && b.First() <= a.Last() }

// self returns the own entry in the division if it is that of the running
// process and the known life.
func (c *Custodian) self() (keyspace.Holder, bool) {
	h, ok := c.division.Holder(c.settings.Instance.Name())
	known, seen := c.tracker.Known()
	if !ok || !seen || h.Process() != known.Life || h.Member().Incarnation() != c.settings.Incarnation {
		return keyspace.Holder{}, false
	}
	return h, true
}

// LeaseEnd returns the point until which nobody else may replace the upstream. The
// division must name the witness set whose promises count.
func (c *Custodian) LeaseEnd() clock.Millis {
	if h, ok := c.self(); !ok || h.Member().WitnessGeneration() != c.generation {
		return 0
	}
	return c.lease.End()
}

// Renewals returns the requests to the witnesses that are due at now.
func (c *Custodian) Renewals(now clock.Millis) []holder.RenewRequest {
	c.now = now
	return c.lease.DueRenewals(now)
}

// Promised takes a witness's reply to a renewal.
func (c *Custodian) Promised(now clock.Millis, from identity.Incarnation, reply peer.RenewReply) {
	c.now = now
	c.lease.HandleReply(now, from, reply)
}

// Admits tells whether the upstream holds the key at now, and under which epoch.
func (c *Custodian) Admits(now clock.Millis, key keyspace.Key) (identity.Epoch, bool) {
	if now >= c.grantedUntil {
		return 0, false
	}
	for i := range c.granted {
		if row := &c.granted[i]; row.Contains(key) {
			return row.Epoch(), now >= row.from
		}
	}
	return 0, false
}

// Span returns the keys that move.
func (m Move) Span() keyspace.Span { return m.span }

// To returns the instance of the next owner.
func (m Move) To() string { return m.to }
