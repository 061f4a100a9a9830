package failover

import (
	"cmp"
	"slices"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
)

// SuccessorPicker picks the live members that take over the units of lost members.
type SuccessorPicker struct {
	candidates []membership.Member
	unitCounts map[identity.Incarnation]int
	isSuspect  func(failureDomain string) bool
}

// NewSuccessorPicker returns a picker among the candidates. The map unitCounts holds the
// number of units that each of them owns, and Pick updates it; isSuspect reports whether
// a promise has expired recently in a failure domain.
func NewSuccessorPicker(candidates []membership.Member, unitCounts map[identity.Incarnation]int, isSuspect func(failureDomain string) bool) *SuccessorPicker {
	return &SuccessorPicker{candidates: candidates, unitCounts: unitCounts, isSuspect: isSuspect}
}

// Exclude removes a member from the candidates.
func (p *SuccessorPicker) Exclude(incarnation identity.Incarnation) {
	p.candidates = slices.DeleteFunc(slices.Clone(p.candidates), func(m membership.Member) bool { return m.Incarnation() == incarnation })
}

// Pick returns the candidate that takes over one unit of a member lost at the given
// location, or false if there is no candidate. It prefers failure domains without a
// recent expiry, then the region of the lost member, then the fewest units.
func (p *SuccessorPicker) Pick(lost identity.Location) (membership.Member, bool) {
	if len(p.candidates) == 0 {
		return membership.Member{}, false
	}
	best := slices.MinFunc(p.candidates, func(a, b membership.Member) int { return p.compare(lost, a, b) })
	p.unitCounts[best.Incarnation()]++
	return best, true
}

func (p *SuccessorPicker) compare(lost identity.Location, a, b membership.Member) int {
	return cmp.Or(
		compareBool(p.isSuspect(a.Instance().Location().FailureDomain()), p.isSuspect(b.Instance().Location().FailureDomain())),
		compareBool(a.Instance().Location().Region() != lost.Region(), b.Instance().Location().Region() != lost.Region()),
		cmp.Compare(p.unitCounts[a.Incarnation()], p.unitCounts[b.Incarnation()]),
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
