// Package balanced moves units from loaded to idle members, with hysteresis and
// a bound on the number of moves.
package balanced

import (
	"maps"
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/placement"
)

const (
	// tolerancePercent is the difference of a member's load from the mean at which
	// moves begin. They end within half of that, so that noise in the measured load
	// does not move units to and fro.
	tolerancePercent = 20
	// hotPercent is the share of its owner's load from which a hot key moves alone.
	hotPercent = 10
	// minMoves and movesShare bound the moves of owned units in one plan by the
	// larger of 8 and a 64th of the units. Each move makes its keys unavailable for
	// the length of a handover.
	minMoves   = 8
	movesShare = 64
	// restTime is the time in milliseconds for which a unit that was moved stays
	// where it is: the cost of a move must be earned back.
	restTime clock.Millis = 60000
	// moveTime is the time in milliseconds after which a planned move that its
	// owner did not carry out may be planned again.
	moveTime clock.Millis = 10000
)

// Policy is the load-aware policy. The zero value works. It is not safe for
// concurrent use.
type Policy struct {
	moved  map[ownership.Unit]request
	active bool
}

// request is a move that was planned.
type request struct {
	at clock.Millis
	to identity.Incarnation
}

// plan is one run of the policy.
type plan struct {
	policy *Policy
	input  placement.Input
	loads  []load
	total  float64
	slots  float64
	moves  []placement.Move
}

// load is a member's expected load in slot-milliseconds.
type load struct {
	candidate placement.Candidate
	expected  float64
	units     []placement.Placed
	exhausted bool
}

func (l *load) ratio() float64 { return l.expected / l.slots() }

func (l *load) slots() float64 { return float64(max(1, l.candidate.Slots())) }

// Plan gives each unowned unit to the member with the smallest expected load per
// slot, and moves a few units away from members whose load is far above the
// mean. A unit without a measured load counts as the mean of all units, so that
// without any load report the numbers of units are balanced.
func (p *Policy) Plan(input placement.Input) []placement.Move {
	if len(input.Candidates()) == 0 {
		return nil
	}
	if p.moved == nil {
		p.moved = make(map[ownership.Unit]request)
	}
	maps.DeleteFunc(p.moved, func(_ ownership.Unit, r request) bool { return input.Now()-r.at >= restTime })
	run := &plan{policy: p, input: input}
	run.fill()
	run.assign()
	if input.MayMove() {
		run.balance()
	}
	return run.moves
}

// weight returns the expected load of a unit.
func (r *plan) weight(unit placement.Placed) float64 {
	if unit.Unit().HotKey() != "" {
		return float64(unit.Busy())
	}
	return float64(unit.Busy()) + r.base()
}

// base is a load that each shard has in addition to its measured one: a tenth of
// the mean. It spreads idle shards evenly.
func (r *plan) base() float64 {
	if r.total == 0 {
		return 1
	}
	return r.total / float64(len(r.input.Units())) / 10
}

func (r *plan) fill() {
	index := make(map[identity.Incarnation]int)
	for i, c := range r.input.Candidates() {
		index[c.Incarnation()] = i
		r.loads = append(r.loads, load{candidate: c})
		r.slots += float64(max(1, c.Slots()))
	}
	for _, u := range r.input.Units() {
		r.total += float64(u.Busy())
	}
	for _, u := range r.input.Units() {
		if i, ok := index[u.Owner()]; ok {
			r.loads[i].units = append(r.loads[i].units, u)
			r.loads[i].expected += r.weight(u)
		}
	}
}

func (r *plan) assign() {
	for _, u := range r.input.Units() {
		if u.Owner() == 0 {
			to := r.idlest()
			to.expected += r.weight(u)
			r.moves = append(r.moves, placement.NewMove(u.Unit(), 0, to.candidate.Incarnation()))
		}
	}
}

func (r *plan) idlest() *load {
	best := &r.loads[0]
	for i := range r.loads {
		if r.loads[i].ratio() < best.ratio() {
			best = &r.loads[i]
		}
	}
	return best
}

// busiest returns the member with the largest load that can still give units, or
// nil.
func (r *plan) busiest() *load {
	var best *load
	for i := range r.loads {
		if l := &r.loads[i]; !l.exhausted && (best == nil || l.ratio() > best.ratio()) {
			best = l
		}
	}
	return best
}

// mean is the load that each slot should have.
func (r *plan) mean() float64 {
	sum := 0.0
	for _, l := range r.loads {
		sum += l.expected
	}
	return sum / r.slots
}

// balance moves units from the busiest to the idlest member while one of them is
// outside the tolerance. The tolerance is half as large while moves go on.
func (r *plan) balance() {
	mean := r.mean()
	tolerance := tolerancePercent / 100.0
	if r.policy.active {
		tolerance /= 2
	}
	limit := max(minMoves, len(r.input.Units())/movesShare)
	moved := 0
	for moved < limit {
		from, to := r.busiest(), r.idlest()
		if from == nil || (from.ratio() <= mean*(1+tolerance) && to.ratio() >= mean*(1-tolerance)) {
			break
		}
		if !r.give(from, to) {
			from.exhausted = true
			continue
		}
		moved++
	}
	r.policy.active = moved > 0
}

// give moves the heaviest unit that lowers the larger load of the two members.
// Of a shard that is too heavy for that, hot keys can still move alone.
func (r *plan) give(from, to *load) bool {
	best, weight := -1, 0.0
	for i, u := range from.units {
		w := r.weight(u)
		if w <= weight || (to.expected+w)/to.slots() >= from.ratio() || r.rests(u) {
			continue
		}
		if u.Unit().HotKey() != "" && w < from.expected*hotPercent/100 {
			continue
		}
		best, weight = i, w
	}
	if best < 0 {
		return false
	}
	unit := from.units[best].Unit()
	from.units = slices.Delete(from.units, best, best+1)
	from.expected -= weight
	to.expected += weight
	r.policy.moved[unit] = request{at: r.input.Now(), to: to.candidate.Incarnation()}
	r.moves = append(r.moves, placement.NewMove(unit, from.candidate.Incarnation(), to.candidate.Incarnation()))
	return true
}

func (r *plan) rests(u placement.Placed) bool {
	last, ok := r.policy.moved[u.Unit()]
	return ok && (u.Owner() == last.to || r.input.Now()-last.at < moveTime)
}
