package node_test

import (
	"cmp"
	"slices"
	"strings"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/node"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/table"
)

// fakeTable simulates the table service and the driver's resolution of lost responses: the
// result of a commit is reported only when it is certain.
type fakeTable struct {
	sim              *sim
	rows             map[string]table.Row
	revision         table.Revision
	outage           bool
	lostResponseRate float64
}

func newFakeTable(s *sim) *fakeTable {
	f := &fakeTable{sim: s, rows: map[string]table.Row{}}
	f.put("config/head", []byte("1"))
	return f
}

func (f *fakeTable) put(key string, value []byte) {
	f.revision++
	f.rows[key] = table.NewRow(key, f.revision, value)
}

func (f *fakeTable) delay() int64 {
	if f.sim.tightTiming {
		return f.sim.rng.Int64N(2) + f.sim.extraTableDelay
	}
	return 2 + f.sim.rng.Int64N(20) + f.sim.extraTableDelay
}

func (f *fakeTable) reachable(p *process) bool { return !f.outage && !p.tableUnreachable }

func (f *fakeTable) scan(p *process, a node.Scan) {
	failed := func() { f.sim.after(500, func() { p.deliver(node.ScanFailed{}) }) }
	f.sim.after(f.delay(), func() {
		if !f.reachable(p) {
			failed()
			return
		}
		var rows []table.Row
		for _, row := range f.rows {
			if row.Version() > a.Since() && !strings.HasPrefix(row.Key(), "txn/") {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(x, y table.Row) int {
			return cmp.Or(cmp.Compare(x.Version(), y.Version()), cmp.Compare(x.Key(), y.Key()))
		})
		result := node.NewScanCompleted(a.Since(), f.revision, rows)
		f.sim.after(f.delay(), func() {
			if !f.reachable(p) || f.sim.rng.Float64() < f.lostResponseRate {
				failed()
				return
			}
			p.deliver(result)
		})
	})
}

// commit runs a transaction at some time, or never if the driver marks its token as
// abandoned before that.
func (f *fakeTable) commit(p *process, a node.Commit) {
	var result node.Event
	reported, abandoned := false, false
	deliverResult := func() {
		if !reported {
			reported = true
			p.deliver(result)
		}
	}
	execute := func() {
		if abandoned {
			return
		}
		result = f.apply(p, a)
		f.sim.after(f.delay(), func() {
			if f.reachable(p) && f.sim.rng.Float64() >= f.lostResponseRate {
				deliverResult()
			}
		})
	}
	f.sim.after(f.delay(), func() {
		switch {
		case f.reachable(p):
			execute()
		case f.sim.rng.IntN(2) == 0:
			f.sim.after(f.sim.rng.Int64N(3000), execute)
		}
	})
	var resolve func()
	resolve = func() {
		switch {
		case reported:
		case !f.reachable(p):
			f.sim.after(300, resolve)
		default:
			if result == nil {
				abandoned, result = true, node.NewConflicted(a.ID())
			}
			f.sim.after(f.delay(), deliverResult)
		}
	}
	f.sim.after(600+f.sim.extraTableDelay*2, resolve)
}

func (f *fakeTable) apply(p *process, a node.Commit) node.Event {
	for _, c := range a.Transaction().Conditions() {
		if f.rows[c.Key()].Version() != c.Version() {
			return node.NewConflicted(a.ID())
		}
	}
	f.revision++
	for _, m := range a.Transaction().Mutations() {
		put, ok := m.(table.Put)
		if !ok {
			continue
		}
		old := f.rows[put.Key()]
		f.rows[put.Key()] = table.NewRow(put.Key(), f.revision, put.Value())
		switch {
		case membership.IsKey(put.Key()):
			f.checkMember(p, old, put)
		case ownership.IsKey(put.Key()):
			f.checkGroup(old, put)
		}
	}
	return node.NewCommitted(a.ID(), f.revision)
}

// checkMember requires that a dead member stays dead, that a witness generation does not
// decrease, and that a member registers with the newest configuration.
func (f *fakeTable) checkMember(p *process, old table.Row, put table.Put) {
	next, err := membership.Decode(put.Key(), put.Value())
	if err != nil {
		f.sim.fail("%v", err)
		return
	}
	if old.Version() == 0 {
		if head, _ := p.node.Snapshot().ConfigRow("config/head"); head.Version() != f.rows["config/head"].Version() {
			f.sim.fail("i%d registered with configuration version %d, but the newest is %d", p.index, head.Version(), f.rows["config/head"].Version())
		}
		return
	}
	before, _ := membership.Decode(old.Key(), old.Value())
	if !before.Alive() || next.WitnessGeneration() < before.WitnessGeneration() {
		f.sim.fail("row %s changed from state %q, witness generation %d to state %q, witness generation %d", put.Key(), before.State(), before.WitnessGeneration(), next.State(), next.WitnessGeneration())
	}
}

// checkGroup requires that the epoch of a unit increases by one with each change of its
// owner and only then, and that no entry is lost.
func (f *fakeTable) checkGroup(old table.Row, put table.Put) {
	next, err := ownership.Decode(put.Key(), put.Value())
	if err != nil {
		f.sim.fail("%v", err)
		return
	}
	if old.Version() == 0 {
		return
	}
	before, _ := ownership.Decode(old.Key(), old.Value())
	for _, u := range before.Units(0) {
		now := next.Entry(u.Unit())
		step := identity.Epoch(0)
		if now.Owner() != u.Entry().Owner() {
			step = 1
		}
		if now.Epoch() != u.Entry().Epoch()+step {
			f.sim.fail("unit %v of %s changed from %v to %v", u.Unit(), put.Key(), u.Entry(), now)
		}
	}
}
