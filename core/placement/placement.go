// Package placement defines the policies that decide which member owns which shard
// or hot key. Its subpackages implement the policies and measure the load of units.
package placement

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/ownership"
)

// Candidate is a member that may own units.
type Candidate struct {
	incarnation    identity.Incarnation
	location       identity.Location
	slots          int
	busySlotMillis clock.Millis
}

// NewCandidate returns a candidate. The parameter slots is the number of slots of
// its upstream, and busySlotMillis the time in slot-milliseconds for which slots
// were in use during the load interval.
func NewCandidate(incarnation identity.Incarnation, location identity.Location, slots int, busySlotMillis clock.Millis) Candidate {
	return Candidate{incarnation: incarnation, location: location, slots: slots, busySlotMillis: busySlotMillis}
}

// Incarnation returns the member's incarnation.
func (c Candidate) Incarnation() identity.Incarnation { return c.incarnation }

// Location returns the member's location.
func (c Candidate) Location() identity.Location { return c.location }

// Slots returns the number of slots of the member's upstream.
func (c Candidate) Slots() int { return c.slots }

// BusySlotMillis returns the slot-milliseconds that the member used in the load
// interval.
func (c Candidate) BusySlotMillis() clock.Millis { return c.busySlotMillis }

// PlacedUnit is a unit with its current owner and its load.
type PlacedUnit struct {
	unit           ownership.Unit
	owner          identity.Incarnation
	busySlotMillis clock.Millis
}

// NewPlacedUnit returns a unit with its owner, 0 if it has none, and the
// slot-milliseconds that its requests used in the load interval.
func NewPlacedUnit(unit ownership.Unit, owner identity.Incarnation, busySlotMillis clock.Millis) PlacedUnit {
	return PlacedUnit{unit: unit, owner: owner, busySlotMillis: busySlotMillis}
}

// Unit returns the unit.
func (p PlacedUnit) Unit() ownership.Unit { return p.unit }

// Owner returns the owner, or 0 if there is none.
func (p PlacedUnit) Owner() identity.Incarnation { return p.owner }

// BusySlotMillis returns the slot-milliseconds that the unit used in the load
// interval.
func (p PlacedUnit) BusySlotMillis() clock.Millis { return p.busySlotMillis }

// Input is the state of one service from which a Policy plans its moves.
type Input struct {
	service      identity.Service
	now          clock.Millis
	loadInterval clock.Millis
	candidates   []Candidate
	units        []PlacedUnit
	assignOnly   bool
}

// NewInput returns the input for a service. The candidates must be sorted by
// incarnation and the units by shard. The loads were measured over loadInterval,
// which is 0 if no load is known. A hot key without an entry of its own is a unit
// whose owner is that of its shard.
func NewInput(service identity.Service, now, loadInterval clock.Millis, candidates []Candidate, units []PlacedUnit) Input {
	return Input{service: service, now: now, loadInterval: loadInterval, candidates: candidates, units: units}
}

// AssignOnly returns a copy of the input for a plan that assigns unowned units but
// moves no owned ones.
func (i Input) AssignOnly() Input {
	i.assignOnly = true
	return i
}

// MayMove reports whether the plan may move owned units.
func (i Input) MayMove() bool { return !i.assignOnly }

// Service returns the service.
func (i Input) Service() identity.Service { return i.service }

// Now returns the time of the plan.
func (i Input) Now() clock.Millis { return i.now }

// LoadInterval returns the length in milliseconds of the interval over which the
// loads were measured, or 0 if no load is known.
func (i Input) LoadInterval() clock.Millis { return i.loadInterval }

// Candidates returns the candidates, by ascending incarnation. Callers must not modify
// the slice.
func (i Input) Candidates() []Candidate { return i.candidates }

// Units returns the units, by ascending shard. Callers must not modify the slice.
func (i Input) Units() []PlacedUnit { return i.units }

// PeakToMean returns the highest load per slot of any candidate, divided by the load
// per slot of all candidates together. It returns 0 if no load is known.
func (i Input) PeakToMean() float64 {
	busy := make(map[identity.Incarnation]clock.Millis, len(i.candidates))
	for _, u := range i.units {
		busy[u.owner] += u.busySlotMillis
	}
	var total, slots, peak float64
	for _, c := range i.candidates {
		load, candidateSlots := float64(busy[c.incarnation]), float64(max(1, c.slots))
		total += load
		slots += candidateSlots
		peak = max(peak, load/candidateSlots)
	}
	if total == 0 {
		return 0
	}
	return peak * slots / total
}

// Move assigns a unit to a member other than its current owner.
type Move struct {
	unit ownership.Unit
	from identity.Incarnation
	to   identity.Incarnation
}

// NewMove returns a move of a unit between members. From is 0 if the unit has no
// owner.
func NewMove(unit ownership.Unit, from, to identity.Incarnation) Move {
	return Move{unit: unit, from: from, to: to}
}

// Unit returns the unit.
func (m Move) Unit() ownership.Unit { return m.unit }

// From returns the current owner, or 0 if there is none.
func (m Move) From() identity.Incarnation { return m.from }

// To returns the next owner.
func (m Move) To() identity.Incarnation { return m.to }

// Policy plans which units to move. An implementation may keep state between calls.
type Policy interface {
	// Plan returns the moves to make now. If there is any candidate, it assigns one
	// to each unit without an owner. A unit whose owner is not a candidate may stay
	// with that owner.
	Plan(input Input) []Move
}
