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
	// minHotKeyPercent is the share of its owner's load that a hot key must have to be
	// moved separately from its shard.
	minHotKeyPercent = 10
	// minMoveLimit and unitsPerMove limit the moves of owned units in one plan to 8 or
	// a 64th of the units, whichever is larger. Each move makes the keys of its unit
	// unavailable for the duration of a handover.
	minMoveLimit = 8
	unitsPerMove = 64
	// moveCooldown is the time in milliseconds after the plan of a move for which the
	// moved unit stays, since the better balance must make up for the cost of the move.
	moveCooldown clock.Millis = 60000
	// moveRequestTimeout is the time in milliseconds after which a move is planned
	// again if the unit's owner has not carried it out.
	moveRequestTimeout clock.Millis = 10000
)

// Policy is the load-aware policy. The zero value is ready to use. It is not safe for
// concurrent use.
type Policy struct {
	// recentMoves holds the moves planned within the last moveCooldown.
	recentMoves map[ownership.Unit]plannedMove
	// movedInLastPlan is set if the last plan that was allowed to move owned units moved any.
	movedInLastPlan bool
}

// plannedMove is the time and the new owner of a planned move.
type plannedMove struct {
	plannedAt clock.Millis
	target    identity.Incarnation
}

// planRun is the state of one call of Plan.
type planRun struct {
	policy      *Policy
	input       placement.Input
	memberLoads []memberLoad
	// totalSlotMillis is the sum of the measured loads of all units.
	totalSlotMillis float64
	totalSlots      float64
	moves           []placement.Move
}

// memberLoad is the expected load of a member.
type memberLoad struct {
	candidate          placement.Candidate
	expectedSlotMillis float64
	units              []placement.PlacedUnit
	// nothingMovable is set once none of the units can be moved away.
	nothingMovable bool
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
	maps.DeleteFunc(p.recentMoves, func(_ ownership.Unit, m plannedMove) bool { return input.Now()-m.plannedAt >= moveCooldown })
	run := &planRun{policy: p, input: input}
	run.computeLoads()
	run.assignUnowned()
	if input.MayMove() {
		run.moveOwnedUnits()
	}
	return run.moves
}

// expectedLoad returns the expected load of a unit in slot-milliseconds.
func (r *planRun) expectedLoad(unit placement.PlacedUnit) float64 {
	if unit.Unit().HotKey() != "" {
		return float64(unit.BusySlotMillis())
	}
	return float64(unit.BusySlotMillis()) + r.baseShardLoad()
}

// baseShardLoad returns the load that is added to the measured load of each shard: a
// tenth of the mean load of all units, or 1 if no load is known. It makes the policy
// spread idle shards evenly.
func (r *planRun) baseShardLoad() float64 {
	if r.totalSlotMillis == 0 {
		return 1
	}
	return r.totalSlotMillis / float64(len(r.input.Units())) / 10
}

// computeLoads sums up the expected loads and the slots of the members.
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

// assignUnowned assigns each unit without an owner to the least loaded member.
func (r *planRun) assignUnowned() {
	for _, u := range r.input.Units() {
		if u.Owner() == 0 {
			to := r.leastLoaded()
			to.expectedSlotMillis += r.expectedLoad(u)
			r.moves = append(r.moves, placement.NewMove(u.Unit(), 0, to.candidate.Incarnation()))
		}
	}
}

// leastLoaded returns the member with the lowest load per slot.
func (r *planRun) leastLoaded() *memberLoad {
	least := &r.memberLoads[0]
	for i := range r.memberLoads {
		if r.memberLoads[i].loadPerSlot() < least.loadPerSlot() {
			least = &r.memberLoads[i]
		}
	}
	return least
}

// mostLoaded returns the member with the highest load per slot among those that may have
// a movable unit, or nil if there is none.
func (r *planRun) mostLoaded() *memberLoad {
	var most *memberLoad
	for i := range r.memberLoads {
		if l := &r.memberLoads[i]; !l.nothingMovable && (most == nil || l.loadPerSlot() > most.loadPerSlot()) {
			most = l
		}
	}
	return most
}

// meanLoadPerSlot returns the load that each slot would have with perfect balance.
func (r *planRun) meanLoadPerSlot() float64 {
	sum := 0.0
	for _, l := range r.memberLoads {
		sum += l.expectedSlotMillis
	}
	return sum / r.totalSlots
}

// moveOwnedUnits moves units from the most loaded to the least loaded member while one
// of them is outside the tolerance. The tolerance is halved if the last plan moved units.
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

// moveHeaviestUnit moves the unit with the highest load from one member to another and
// reports whether it moved one. It skips units that would load the new owner at least as
// much as the current one is loaded now. If a shard is too heavy, its hot keys can still
// be moved separately.
func (r *planRun) moveHeaviestUnit(from, to *memberLoad) bool {
	heaviest, heaviestLoad := -1, 0.0
	for i, u := range from.units {
		load := r.expectedLoad(u)
		if load <= heaviestLoad || (to.expectedSlotMillis+load)/to.slotCount() >= from.loadPerSlot() || r.recentlyMoved(u) {
			continue
		}
		if u.Unit().HotKey() != "" && load < from.expectedSlotMillis*minHotKeyPercent/100 {
			continue
		}
		heaviest, heaviestLoad = i, load
	}
	if heaviest < 0 {
		return false
	}
	unit := from.units[heaviest].Unit()
	from.units = slices.Delete(from.units, heaviest, heaviest+1)
	from.expectedSlotMillis -= heaviestLoad
	to.expectedSlotMillis += heaviestLoad
	r.policy.recentMoves[unit] = plannedMove{plannedAt: r.input.Now(), target: to.candidate.Incarnation()}
	r.moves = append(r.moves, placement.NewMove(unit, from.candidate.Incarnation(), to.candidate.Incarnation()))
	return true
}

// recentlyMoved reports whether a unit must stay where it is: it has reached the target of
// a move that was planned less than moveCooldown ago, or it has not and the move was
// planned less than moveRequestTimeout ago.
func (r *planRun) recentlyMoved(u placement.PlacedUnit) bool {
	last, ok := r.policy.recentMoves[u.Unit()]
	return ok && (u.Owner() == last.target || r.input.Now()-last.plannedAt < moveRequestTimeout)
}
