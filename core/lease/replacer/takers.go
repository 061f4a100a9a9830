package replacer

import (
	"cmp"
	"slices"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
)

// Takers hands out the shards of lost members to live ones.
type Takers struct {
	candidates []membership.Member
	counts     map[identity.Incarnation]int
	suspect    func(failureDomain string) bool
}

// NewTakers returns takers among the candidates, who have the given numbers of
// units. Suspect tells whether an expiry was seen lately in a failure domain.
func NewTakers(candidates []membership.Member, counts map[identity.Incarnation]int, suspect func(failureDomain string) bool) *Takers {
	return &Takers{candidates: candidates, counts: counts, suspect: suspect}
}

// Exclude removes a member from the candidates.
func (t *Takers) Exclude(incarnation identity.Incarnation) {
	t.candidates = slices.DeleteFunc(slices.Clone(t.candidates), func(m membership.Member) bool { return m.Incarnation() == incarnation })
}

// Next returns the taker of one unit of a lost member, or false if there is no
// candidate: failure domains without a recent expiry first, then the region of
// the lost member, then the fewest units.
func (t *Takers) Next(lost identity.Location) (membership.Member, bool) {
	if len(t.candidates) == 0 {
		return membership.Member{}, false
	}
	best := slices.MinFunc(t.candidates, func(a, b membership.Member) int { return t.compare(lost, a, b) })
	t.counts[best.Incarnation()]++
	return best, true
}

func (t *Takers) compare(lost identity.Location, a, b membership.Member) int {
	return cmp.Or(
		compareBool(t.suspect(a.Instance().Location().FailureDomain()), t.suspect(b.Instance().Location().FailureDomain())),
		compareBool(a.Instance().Location().Region() != lost.Region(), b.Instance().Location().Region() != lost.Region()),
		cmp.Compare(t.counts[a.Incarnation()], t.counts[b.Incarnation()]),
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
