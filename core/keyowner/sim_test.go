package keyowner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/lease/holder"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/table"
)

const (
	// reportEvery is the time between two reports of an upstream in milliseconds.
	reportEvery = 870
	// slowClock is how much slower an upstream's clock runs, in percent.
	slowClock = 2
	// tick is the time between two steps of a daemon in milliseconds.
	tick = 50
)

// sim runs custodians, guards and upstreams at a virtual time in milliseconds.
type sim struct {
	rng       *rand.Rand
	t         int64
	queue     map[int64][]func()
	hosts     []*host
	division  keyspace.Assignment
	revision  table.Revision
	storeDown bool
	lostShare float64
	lateShare float64
	nextID    uint64
	failure   string
	// trace, if set, takes a line for each event that concerns the traced key.
	trace  func(string)
	traced keyspace.Key
	// served counts the looks at keys that an upstream held.
	served, looks int
	// lastServed is when a key was seen to be held, and longestGap the longest time
	// between two such looks.
	lastServed map[int]int64
	longestGap int64
}

// host is an instance: its daemon and its upstream, which live apart.
type host struct {
	s        *sim
	index    int
	instance membership.Instance
	daemon   *daemon
	upstream *upstream
	cut      bool
}

type daemon struct {
	host        *host
	alive       bool
	incarnation identity.Incarnation
	tracker     *heartbeat.Tracker
	custodian   *keyowner.Controller
	guard       *keyowner.LeaseWitness
	writing     bool
	seen        table.Revision
}

type held struct {
	span  keyspace.Span
	epoch identity.Epoch
}

type upstream struct {
	host     *host
	life     keyspace.Process
	alive    bool
	silent   bool
	leaving  bool
	sequence int64
	holds    []held
	until    int64
	released []keyspace.ReleasedSpan
	highest  map[keyspace.Key]identity.Epoch
}

func newSim(seed uint64, hosts int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), queue: map[int64][]func(){}, lastServed: map[int]int64{}}
	for i := range hosts {
		s.addHost(i)
	}
	return s
}

// addHost starts an instance soon.
func (s *sim) addHost(i int) *host {
	name := fmt.Sprintf("i%d", i)
	location := identity.NewLocation(fmt.Sprintf("r%d", i%3), fmt.Sprintf("r%dd%d", i%3, i%2))
	h := &host{s: s, index: i, instance: membership.NewInstance(name, "http-"+name, "peer-"+name, location)}
	s.hosts = append(s.hosts, h)
	s.after(s.rng.Int64N(300), h.startDaemon)
	s.after(s.rng.Int64N(900), h.startUpstream)
	return h
}

func (s *sim) note(format string, args ...any) {
	if s.trace != nil {
		s.trace(fmt.Sprintf("%6d ", s.t) + fmt.Sprintf(format, args...))
	}
}

func (s *sim) after(delay int64, fn func()) {
	at := s.t + max(delay, 0)
	s.queue[at] = append(s.queue[at], fn)
}

func (s *sim) run(until int64) {
	for ; s.t <= until && s.failure == ""; s.t++ {
		for i := 0; i < len(s.queue[s.t]); i++ {
			s.queue[s.t][i]()
		}
		delete(s.queue, s.t)
		if s.t%10 == 0 {
			s.check()
		}
	}
}

func (s *sim) delay() int64 {
	d := 1 + s.rng.Int64N(25)
	if s.rng.IntN(40) == 0 {
		d += s.rng.Int64N(1200)
	}
	return d
}

func (s *sim) id() uint64 {
	s.nextID++
	return s.nextID
}

func (h *host) startDaemon() {
	s := h.s
	if h.daemon != nil && h.daemon.alive {
		return
	}
	d := &daemon{host: h, alive: true, incarnation: identity.Incarnation(s.id()), tracker: heartbeat.NewTracker("s", h.instance.Name())}
	settings := keyowner.Settings{Instance: h.instance, Incarnation: d.incarnation, HoldMax: 10000}
	d.custodian = keyowner.New(d.now(), settings, d.tracker)
	d.guard = keyowner.NewLeaseWitness(d.incarnation)
	h.daemon = d
	for _, other := range s.hosts {
		if other.daemon != nil && other.daemon.alive {
			other.daemon.learn()
		}
	}
	s.after(30, d.step)
}

func (h *host) startUpstream() {
	if h.upstream != nil && h.upstream.alive {
		return
	}
	u := &upstream{host: h, alive: true, life: keyspace.NewProcess(fmt.Sprintf("u%d", h.s.id()), h.s.t+1), highest: map[keyspace.Key]identity.Epoch{}}
	h.upstream = u
	h.s.after(10, u.report)
}

// now reads the daemon's clock, which runs up to 0.5% fast or slow.
func (d *daemon) now() clock.Millis {
	rate := int64(d.host.index%3-1) * 5
	return clock.Millis(d.host.s.t + d.host.s.t*rate/1000 + int64(d.host.index)*100000)
}

// learn takes the members that the rows would name.
func (d *daemon) learn() {
	var members []membership.Member
	for _, h := range d.host.s.hosts {
		if h.daemon != nil {
			incarnation := d.guard.CurrentIncarnation(h.instance.PeerAddress(), h.daemon.incarnation)
			members = append(members, membership.RestoreMember(incarnation, h.instance, 0, nil))
		}
	}
	d.custodian.SetMembers(members)
}

func (d *daemon) step() {
	s := d.host.s
	if !d.alive || s.failure != "" {
		return
	}
	defer s.after(tick, d.step)
	d.read()
	for _, r := range d.custodian.DueRenewals(d.now()) {
		d.renew(r)
	}
	d.replace()
	if d.writing || s.storeDown || d.host.cut {
		return
	}
	if change, ok := d.custodian.NextChange(d.now()); ok && (s.rng.IntN(2) > 0 || !d.enter(change)) {
		d.commit(change, true)
	}
}

// enter asks another daemon to write the entry of the own upstream. It tells whether
// the change is one that others may write.
func (d *daemon) enter(change keyowner.Change) bool {
	s := d.host.s
	proposal, ok := d.custodian.ProposalFor(change)
	if !ok {
		return false
	}
	d.writing = true
	s.after(700, func() { d.writing = false })
	to := s.hosts[s.rng.IntN(len(s.hosts))]
	d.ask(to.instance.PeerAddress(), func(to *daemon) {
		known, base := to.custodian.Assignment()
		change, admitted := keyowner.ApplyProposals(known, base, []keyowner.Proposal{proposal})
		if !admitted[0] {
			return
		}
		wait := s.rng.Int64N(100)
		if s.rng.IntN(5) == 0 {
			wait += s.rng.Int64N(9000) // frozen meanwhile
		}
		s.after(wait, func() {
			if to.alive && !to.writing && !s.storeDown && !to.host.cut {
				to.commit(change, false)
			}
		})
	}, func(*daemon) {})
	return true
}

// read follows the division's row.
func (d *daemon) read() {
	s := d.host.s
	if s.storeDown || d.host.cut {
		return
	}
	division, revision := s.division, s.revision
	s.after(s.rng.Int64N(30), func() {
		d.custodian.HandleStoreAnswer(d.now())
		if d.alive && (revision > d.seen || revision == 0) {
			d.take(revision, division)
		}
	})
}

func (d *daemon) take(revision table.Revision, division keyspace.Assignment) {
	d.seen = max(d.seen, revision)
	d.custodian.HandleAssignment(d.now(), revision, division)
	d.guard.WatchHolders(d.now(), leases(division))
}

func leases(d keyspace.Assignment) []membership.Member {
	rows := make([]membership.Member, 0, len(d.Holders()))
	for _, h := range d.Holders() {
		rows = append(rows, h.Member())
	}
	return rows
}

// daemonAt returns the process at a control address, nil if none answers.
func (d *daemon) daemonAt(address string) *daemon {
	for _, h := range d.host.s.hosts {
		if h.instance.PeerAddress() == address && h.daemon != nil && h.daemon.alive && !h.cut && !d.host.cut {
			return h.daemon
		}
	}
	return nil
}

// ask carries a message to a process and its answer back.
func (d *daemon) ask(address string, handle func(*daemon), answered func(*daemon)) {
	s := d.host.s
	s.after(s.delay(), func() {
		to := d.daemonAt(address)
		if to == nil {
			if d.alive {
				d.avoid(address)
			}
			return
		}
		handle(to)
		s.after(s.delay(), func() {
			if d.alive && !d.host.cut {
				answered(to)
			}
		})
	})
}

// avoid notes that no process answered at a control address.
func (d *daemon) avoid(address string) {
	for _, h := range d.host.s.hosts {
		if h.instance.PeerAddress() == address && h.daemon != nil {
			d.custodian.AvoidWitness(d.now(), d.guard.CurrentIncarnation(address, h.daemon.incarnation))
		}
	}
}

func (d *daemon) renew(r holder.RenewRequest) {
	w := r.Witness()
	var result peer.RenewResult
	d.ask(w.PeerAddress(), func(to *daemon) {
		result = to.guard.HandleRenew(to.now(), w.Incarnation(), d.incarnation, r.Generation())
		d.host.s.note("i%d (%d) renews generation %d at %d: %v", d.host.index, d.incarnation, r.Generation(), to.incarnation, result)
	}, func(to *daemon) {
		if to.incarnation != w.Incarnation() {
			d.guard.RecordSuccessor(d.now(), w.PeerAddress(), w.Incarnation(), to.incarnation)
			d.custodian.MarkWitnessEnded(w.Incarnation())
			d.learn()
			return
		}
		d.custodian.HandleRenewReply(d.now(), to.incarnation, peer.NewRenewReply(r.Generation(), r.Sequence(), result, 0))
	})
}

func (d *daemon) replace() {
	division, revision := d.custodian.Assignment()
	queries, lost := d.guard.CheckLeases(d.now(), leases(division))
	for _, q := range queries {
		var lapsed bool
		d.ask(q.Witness().PeerAddress(), func(to *daemon) {
			lapsed = to.guard.HandleLapseQuery(to.now(), q.Witness().Incarnation(), q.Holder(), q.Generation())
		}, func(to *daemon) {
			if to.incarnation != q.Witness().Incarnation() {
				d.guard.RecordSuccessor(d.now(), q.Witness().PeerAddress(), q.Witness().Incarnation(), to.incarnation)
			} else if lapsed {
				d.guard.RecordLapse(to.incarnation, q.Holder(), q.Generation())
			}
		})
	}
	for _, row := range lost {
		d.host.s.note("i%d finds %s lost: generation %d witnesses %v", d.host.index, row.Instance().Name(), row.WitnessGeneration(), row.Witnesses())
		if change, ok := keyowner.DropLapsed(division, revision, row); ok && !d.writing && !d.host.s.storeDown && !d.host.cut {
			d.commit(change, false)
		}
	}
}

// commit asks the store for a change, whose answer may be lost, and which may be
// done seconds later.
func (d *daemon) commit(change keyowner.Change, own bool) {
	s := d.host.s
	d.writing = true
	apply := func() bool {
		if s.revision != change.Base() {
			return false
		}
		s.revision++
		s.division = change.Assignment()
		if r, ok := s.division.RangeOf(s.traced); ok {
			s.note("i%d wrote revision %d %s: owner %s epoch %d next %s", d.host.index, s.revision, change.Reason(), r.Owner(), r.Epoch(), r.NextOwner())
		}
		return true
	}
	retry := func() { s.after(200, func() { d.writing = false }) }
	switch draw := s.rng.Float64(); {
	case draw < s.lateShare:
		s.after(1000+s.rng.Int64N(5000), func() { apply() })
		retry()
	case draw < s.lateShare+s.lostShare:
		s.after(s.delay(), func() { apply() })
		retry()
	default:
		s.after(s.delay(), func() {
			done := apply()
			revision := s.revision
			s.after(s.delay(), func() {
				d.writing = false
				if !d.alive || !done {
					return
				}
				if own {
					d.custodian.HandleCommit(d.now(), revision, change)
				}
				d.take(revision, change.Assignment())
			})
		})
	}
}

// clock reads the upstream's clock, which may run slow.
func (u *upstream) clock() int64 { return u.host.s.t * (100 - slowClock) / 100 }

// report sends a report and takes its answer, which may come late.
func (u *upstream) report() {
	s := u.host.s
	if !u.alive || s.failure != "" {
		return
	}
	defer s.after(reportEvery, u.report)
	if u.silent {
		return
	}
	sent := u.clock()
	u.expire()
	u.sequence++
	r := heartbeat.Report{Process: u.life, Sequence: u.sequence, Service: "s", Address: u.host.instance.Name(), Slots: 12, Leaving: u.leaving}
	for _, h := range u.holds {
		r.Held = append(r.Held, heartbeat.NewHeldSpan(h.span, h.epoch))
	}
	r.Released = slices.Clone(u.released)
	s.after(s.rng.Int64N(3), func() {
		d := u.host.daemon
		if d == nil || !d.alive || !u.alive {
			return
		}
		switch d.tracker.Observe(d.now(), r) {
		case heartbeat.Started:
			d.custodian.HandleUpstreamRestart(d.now())
		case heartbeat.Accepted:
		default:
			return
		}
		u.answer(d, r, sent, s.t)
	})
}

// answer gives the daemon's answer to a report, which waits a little for a lease.
func (u *upstream) answer(d *daemon, r heartbeat.Report, sent, received int64) {
	s := u.host.s
	if !d.alive {
		return
	}
	grant := d.custodian.HandleReport(d.now(), r)
	if !grant.Renews() && s.t-received < answerWait {
		s.after(tick, func() { u.answer(d, r, sent, received) })
		return
	}
	s.after(s.rng.Int64N(3), func() {
		if u.alive && !u.silent {
			u.released = nil
			u.take(sent, grant)
		}
	})
}

// answerWait is for how long a daemon holds an answer back until it has a lease.
const answerWait = 600

func (u *upstream) take(sent int64, grant keyowner.Grant) {
	if !grant.Renews() {
		return
	}
	var kept []held
	for _, row := range grant.Ranges() {
		for k := int(row.First()); k <= int(row.Last()); k += keyStep {
			if row.Epoch() < u.highest[keyspace.Key(k)] {
				u.host.s.fail("epoch %d of key %d is below %d", row.Epoch(), k, u.highest[keyspace.Key(k)])
			}
			u.highest[keyspace.Key(k)] = row.Epoch()
		}
		kept = append(kept, held{span: row.Span, epoch: row.Epoch()})
	}
	for _, h := range u.holds {
		if !slices.ContainsFunc(kept, func(k held) bool { return k.span.Covers(h.span) }) {
			u.released = append(u.released, keyspace.NewReleasedSpan(h.span, "token"))
		}
	}
	if slices.ContainsFunc(kept, func(h held) bool { return h.span.Contains(u.host.s.traced) }) {
		u.host.s.note("i%d %s granted until %d", u.host.index, u.life, (sent+int64(grant.HoldTime()))*100/(100-slowClock))
	}
	u.holds, u.until = kept, max(u.until, sent+int64(grant.HoldTime()))
}

// expire drops what ran out; that is not reported as released.
func (u *upstream) expire() {
	if u.clock() >= u.until {
		u.holds = nil
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("t=%d: ", s.t) + fmt.Sprintf(format, args...)
	}
}

// keyStep is the distance of the keys that are looked at.
const keyStep = 97

// check looks for keys that two living upstreams hold.
func (s *sim) check() {
	for k := 0; k <= int(keyspace.LastKey); k += keyStep * 8 {
		owner := ""
		s.looks++
		for _, h := range s.hosts {
			u := h.upstream
			if u == nil || !u.alive || u.clock() >= u.until {
				continue
			}
			if slices.ContainsFunc(u.holds, func(h held) bool { return h.span.Contains(keyspace.Key(k)) }) {
				if owner != "" {
					s.fail("key %d is held by %s and %s", k, owner, u.life)
				}
				owner = u.life.String()
			}
		}
		if owner != "" {
			s.served++
			if last, ok := s.lastServed[k]; ok {
				s.longestGap = max(s.longestGap, s.t-last)
			}
			s.lastServed[k] = s.t
		}
	}
}
