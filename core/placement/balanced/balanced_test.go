package balanced_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/placement"
	"briarwell.dev/core/placement/balanced"
	"briarwell.dev/core/placement/rendezvous"
	"briarwell.dev/core/shard"
)

var service = identity.NewService("attire", "bookings")

func newInput(now clock.Millis, members int, units []placement.PlacedUnit) placement.Input {
	candidates := make([]placement.Candidate, 0, members)
	for i := range members {
		candidates = append(candidates, placement.NewCandidate(identity.Incarnation(i+1), identity.NewLocation("r", "d"), 12, 0))
	}
	return placement.NewInput(service, now, 1000, candidates, units)
}

func newPlacedUnit(id int, hotKey string, owner identity.Incarnation, busy clock.Millis) placement.PlacedUnit {
	return placement.NewPlacedUnit(ownership.NewUnit(shard.ID(id), hotKey), owner, busy)
}

// TestAssignsAllUnownedUnits guards, for both policies, against a plan that leaves a unit
// unowned or assigns it to a member that is not a candidate.
func TestAssignsAllUnownedUnits(t *testing.T) {
	for _, policy := range []placement.Policy{&balanced.Policy{}, rendezvous.Policy{}} {
		rapid.Check(t, func(t *rapid.T) {
			is := is.New(t)
			members, shards := rapid.IntRange(1, 7).Draw(t, "members"), rapid.IntRange(1, 64).Draw(t, "shards")
			units := make([]placement.PlacedUnit, 0, shards)
			for i := range shards {
				units = append(units, newPlacedUnit(i, "", 0, 0))
			}
			owners := map[ownership.Unit]identity.Incarnation{}
			counts := map[identity.Incarnation]int{}
			for _, m := range policy.Plan(newInput(0, members, units)) {
				owners[m.Unit()] = m.To()
				counts[m.To()]++
				is.True(m.From() == 0 && m.To() >= 1 && int(m.To()) <= members)
			}
			is.Equal(len(owners), shards)
			if _, ok := policy.(*balanced.Policy); ok {
				for i := range members {
					is.True(counts[identity.Incarnation(i+1)] >= shards/members) // without load, all members get the same number
				}
			}
		})
	}
}

// TestMovesHotKeyOnce guards against a plan that leaves the load on an overloaded member,
// that moves the shard together with its hot key, or that undoes the previous plan.
func TestMovesHotKeyOnce(t *testing.T) {
	is := is.New(t)
	policy := &balanced.Policy{}
	units := []placement.PlacedUnit{
		newPlacedUnit(0, "", 1, 500), newPlacedUnit(0, "hot", 1, 5000), newPlacedUnit(1, "", 1, 400), newPlacedUnit(2, "", 2, 400), newPlacedUnit(3, "", 3, 400),
	}
	moves := policy.Plan(newInput(0, 3, units))
	is.Equal(moves[0], placement.NewMove(ownership.NewUnit(0, "hot"), 1, 2))
	units[1] = newPlacedUnit(0, "hot", 2, 5000)
	for _, m := range policy.Plan(newInput(5000, 3, units)) {
		is.True(m.Unit() != ownership.NewUnit(0, "hot")) // within the cooldown of its last move
	}
}

// TestSmallImbalanceIsTolerated guards against moves for an imbalance within the
// tolerance.
func TestSmallImbalanceIsTolerated(t *testing.T) {
	is := is.New(t)
	units := []placement.PlacedUnit{newPlacedUnit(0, "", 1, 560), newPlacedUnit(1, "", 1, 560), newPlacedUnit(2, "", 2, 500), newPlacedUnit(3, "", 2, 500)}
	is.Equal(len((&balanced.Policy{}).Plan(newInput(0, 2, units))), 0)
}

// TestNewMemberGetsUnits guards against a plan that gives no units to a member that joins
// a balanced service.
func TestNewMemberGetsUnits(t *testing.T) {
	is := is.New(t)
	units := make([]placement.PlacedUnit, 0, 60)
	for i := range 60 {
		units = append(units, newPlacedUnit(i, "", identity.Incarnation(i%5+1), 0))
	}
	is.Equal(len((&balanced.Policy{}).Plan(newInput(0, 6, units))), 8)
}
