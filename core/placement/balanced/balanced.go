// Package balanced implements a load-aware placement policy. It moves units from the
// most loaded to the least loaded members, with hysteresis and a limit on the number
// of moves.
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
	// tolerancePercent is the deviation of a member's load per slot from the mean above
	// which moves begin. They continue until the deviation is within half of it, so
	// that noise in the measured load does not move units back and forth.
	tolerancePercent = 20
	// minHotKeyPercent is the share of its owner's load from which a hot key moves alone.
	minHotKeyPercent = 10
	// minMoveLimit and movesShare bound the moves of owned units in one plan by the
	// larger of 8 and a 64th of the units. Each move makes its keys unavailable for
	// the length of a handover.
	minMoveLimit = 8
	unitsPerMove = 64
	// moveCooldown is the time in milliseconds for which a unit that was moved stays
	// where it is: the cost of a move must be earned back.
	moveCooldown clock.Millis = 60000
	// moveRequestTimeout is the time in milliseconds after which a planned move that its
	// owner did not carry out may be planned again.
	moveRequestTimeout clock.Millis = 10000
)

// Policy is the load-aware policy. The zero value is ready to use. It is not safe for
// concurrent use.
type Policy struct {
	recentMoves     map[ownership.Unit]plannedMove
	movedInLastPlan bool
}

// plannedMove is a move that was planned.
type plannedMove struct {
	plannedAt clock.Millis
	target    identity.Incarnation
}

// planRun is one run of the policy.
type planRun struct {
	policy          *Policy
	input           placement.Input
	memberLoads     []memberLoad
	totalSlotMillis float64
	totalSlots      float64
	moves           []placement.Move
}

// memberLoad is a member's expected load in slot-milliseconds.
type memberLoad struct {
	candidate          placement.Candidate
	expectedSlotMillis float64
	units              []placement.PlacedUnit
	nothingMovable     bool
}

func (l *memberLoad) loadPerSlot() float64 { return l.expectedSlotMillis / l.slotCount() }

func (l *memberLoad) slotCount() float64 { return float64(max(1, l.candidate.Slots())) }

// Plan assigns each unowned unit to the member with the lowest expected load per slot.
// It moves a limited number of owned units from the most loaded to the least loaded
// members if the load per slot deviates from the mean by more than the tolerance. If no
// load is known, all shards count equally, so that the numbers of shards are balanced.
func (p *Policy) Plan(input placement.Input) []placement.Move {
	if len(input.Candidates()) == 0 {
		return nil
	}
	if p.recentMoves == nil {
		p.recentMoves = make(map[ownership.Unit]plannedMove)
	}
	maps.DeleteFunc(p.recentMoves, func(_ ownership.Unit, r plannedMove) bool { return input.Now()-r.plannedAt >= moveCooldown })
	run := &planRun{policy: p, input: input}
	run.computeLoads()
	run.assignUnowned()
	if input.MayMove() {
		run.moveOwnedUnits()
	}
	return run.moves
}

// expectedLoad returns the expected load of a unit.
func (r *planRun) expectedLoad(unit placement.PlacedUnit) float64 {
	if unit.Unit().HotKey() != "" {
		return float64(unit.BusySlotMillis())
	}
	return float64(unit.BusySlotMillis()) + r.baseShardLoad()
}

// baseShardLoad is a load that each shard has in addition to its measured one: a tenth of
// the mean. It spreads idle shards evenly.
func (r *planRun) baseShardLoad() float64 {
	if r.totalSlotMillis == 0 {
		return 1
	}
	return r.totalSlotMillis / float64(len(r.input.Units())) / 10
}

func (r *planRun) computeLoads() {
	index := make(map[identity.Incarnation]int)
	for i, c := range r.input.Candidates() {
		index[c.Incarnation()] = i
		r.memberLoads = append(r.memberLoads, memberLoad{candidate: c})
		r.totalSlots += float64(max(1, c.Slots()))
	}
	for _, u := range r.input.Units() {
		r.totalSlotMillis += float64(u.BusySlotMillis())
	}
	for _, u := range r.input.Units() {
		if i, ok := index[u.Owner()]; ok {
			r.memberLoads[i].units = append(r.memberLoads[i].units, u)
			r.memberLoads[i].expectedSlotMillis += r.expectedLoad(u)
		}
	}
}

func (r *planRun) assignUnowned() {
	for _, u := range r.input.Units() {
		if u.Owner() == 0 {
			to := r.leastLoaded()
			to.expectedSlotMillis += r.expectedLoad(u)
			r.moves = append(r.moves, placement.NewMove(u.Unit(), 0, to.candidate.Incarnation()))
		}
	}
}

func (r *planRun) leastLoaded() *memberLoad {
	best := &r.memberLoads[0]
	for i := range r.memberLoads {
		if r.memberLoads[i].loadPerSlot() < best.loadPerSlot() {
			best = &r.memberLoads[i]
		}
	}
	return least
}

// mostLoaded returns the member with the largest load that can still give units, or
// nil.
func (r *planRun) mostLoaded() *memberLoad {
	var best *memberLoad
	for i := range r.memberLoads {
		if l := &r.memberLoads[i]; !l.nothingMovable && (best == nil || l.loadPerSlot() > best.loadPerSlot()) {
			best = l
		}
	}
	return most
}

// meanLoadPerSlot is the load that each slot should have.
func (r *planRun) meanLoadPerSlot() float64 {
	sum := 0.0
	for _, l := range r.memberLoads {
		sum += l.expectedSlotMillis
	}
	return sum / r.totalSlots
}

// moveOwnedUnits moves units from the busiest to the idlest member while one of them is
// outside the tolerance. The tolerance is half as large while moves go on.
func (r *planRun) moveOwnedUnits() {
	mean := r.meanLoadPerSlot()
	tolerance := tolerancePercent / 100.0
	if r.policy.movedInLastPlan {
		tolerance /= 2
	}
	limit := max(minMoveLimit, len(r.input.Units())/unitsPerMove)
	moved := 0
	for moved < limit {
		from, to := r.mostLoaded(), r.leastLoaded()
		if from == nil || (from.loadPerSlot() <= mean*(1+tolerance) && to.loadPerSlot() >= mean*(1-tolerance)) {
			break
		}
		if !r.moveHeaviestUnit(from, to) {
			from.nothingMovable = true
			continue
		}
		moved++
	}
	r.policy.movedInLastPlan = moved > 0
}

// moveHeaviestUnit moves the heaviest unit that lowers the larger load of the two members.
// Of a shard that is too heavy for that, hot keys can still move alone.
func (r *planRun) moveHeaviestUnit(from, to *memberLoad) bool {
	best, weight := -1, 0.0
	for i, u := range from.units {
		w := r.expectedLoad(u)
		if w <= weight || (to.expectedSlotMillis+w)/to.slotCount() >= from.loadPerSlot() || r.recentlyMoved(u) {
			continue
		}
		if u.Unit().HotKey() != "" && w < from.expectedSlotMillis*minHotKeyPercent/100 {
			continue
		}
		heaviest, heaviestLoad = i, load
	}
	if heaviest < 0 {
		return false
	}
	unit := from.units[best].Unit()
	from.units = slices.Delete(from.units, best, best+1)
	from.expectedSlotMillis -= weight
	to.expectedSlotMillis += weight
	r.policy.recentMoves[unit] = plannedMove{plannedAt: r.input.Now(), target: to.candidate.Incarnation()}
	r.moves = append(r.moves, placement.NewMove(unit, from.candidate.Incarnation(), to.candidate.Incarnation()))
	return true
}

func (r *planRun) recentlyMoved(u placement.PlacedUnit) bool {
	last, ok := r.policy.recentMoves[u.Unit()]
	return ok && (u.Owner() == last.target || r.input.Now()-last.plannedAt < moveRequestTimeout)
}
