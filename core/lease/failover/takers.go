package failover

import (
	"cmp"
	"slices"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
)

// SuccessorPicker hands out the shards of lost members to live ones.
type SuccessorPicker struct {
	candidates []membership.Member
	unitCounts map[identity.Incarnation]int
	isSuspect  func(failureDomain string) bool
}

// NewSuccessorPicker returns takers among the candidates, who have the given numbers of
// units. Suspect tells whether an expiry was seen lately in a failure domain.
func NewSuccessorPicker(candidates []membership.Member, counts map[identity.Incarnation]int, suspect func(failureDomain string) bool) *SuccessorPicker {
	return &SuccessorPicker{candidates: candidates, unitCounts: counts, isSuspect: suspect}
}

// Exclude removes a member from the candidates.
func (t *SuccessorPicker) Exclude(incarnation identity.Incarnation) {
	t.candidates = slices.DeleteFunc(slices.Clone(t.candidates), func(m membership.Member) bool { return m.Incarnation() == incarnation })
}

// Pick returns the taker of one unit of a lost member, or false if there is no
// candidate: failure domains without a recent expiry first, then the region of
// the lost member, then the fewest units.
func (t *SuccessorPicker) Pick(lost identity.Location) (membership.Member, bool) {
	if len(t.candidates) == 0 {
		return membership.Member{}, false
	}
	best := slices.MinFunc(t.candidates, func(a, b membership.Member) int { return t.compare(lost, a, b) })
	t.unitCounts[best.Incarnation()]++
	return best, true
}

func (t *SuccessorPicker) compare(lost identity.Location, a, b membership.Member) int {
	return cmp.Or(
		compareBool(t.isSuspect(a.Instance().Location().FailureDomain()), t.isSuspect(b.Instance().Location().FailureDomain())),
		compareBool(a.Instance().Location().Region() != lost.Region(), b.Instance().Location().Region() != lost.Region()),
		cmp.Compare(t.unitCounts[a.Incarnation()], t.unitCounts[b.Incarnation()]),
		cmp.Compare(a.Incarnation(), b.Incarnation()),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
