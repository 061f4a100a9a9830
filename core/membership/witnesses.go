package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"briarwell.dev/core/identity"
)

// Distances of a witness from its holder, in the order in which witnesses are chosen.
const (
	sameFailureDomain = iota
	sameRegion
	otherRegion
	distanceCount
)

func locationDistance(a, b identity.Location) int {
	switch {
	case a.Region() != b.Region():
		return otherRegion
	case a.FailureDomain() != b.FailureDomain():
		return sameRegion
	default:
		return sameFailureDomain
	}
}

// ChooseWitnesses returns up to count witnesses for self among the candidates: one in
// the same failure domain, one in another failure domain of the region, one in another
// region, and then again in this order. It avoids failure domains that were already
// chosen while others are left. Active members are preferred to joining ones. Further
// ties are ordered by a hash of both incarnations, so that members are chosen about
// equally often. Members that are neither active nor joining, self, and members at
// self's address are never chosen.
func ChooseWitnesses(self Member, candidates []Member, count int) []Witness {
	var ranked [distanceCount][]Member
	for _, m := range candidates {
		if !isEligibleWitness(self, m) {
			continue
		}
		d := locationDistance(self.instance.location, m.instance.location)
		ranked[d] = append(ranked[d], m)
	}
	for d := range ranked {
		slices.SortFunc(ranked[d], func(a, b Member) int { return compareCandidates(self, a, b) })
	}
	return pickWitnesses(ranked, count)
}

func isEligibleWitness(self, m Member) bool {
	if m.state != StateActive && m.state != StateJoining {
		return false
	}
	return m.incarnation != self.incarnation && m.instance.peerAddress != self.instance.peerAddress
}

func compareCandidates(self, a, b Member) int {
	if a.state != b.state {
		if a.state == StateActive {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(pairHash(self.incarnation, a.incarnation), pairHash(self.incarnation, b.incarnation)),
		cmp.Compare(a.incarnation, b.incarnation),
	)
}

func pairHash(a, b identity.Incarnation) uint64 {
	var buffer [16]byte
	binary.BigEndian.PutUint64(buffer[:8], uint64(a))
	binary.BigEndian.PutUint64(buffer[8:], uint64(b))
	return xxhash.Sum64(buffer[:])
}

// pickWitnesses picks one member of each distance in turn, and avoids a failure domain
// that was already picked while another one is left at that distance.
func pickWitnesses(ranked [distanceCount][]Member, count int) []Witness {
	var chosen []Witness
	pickedDomains := make(map[string]bool)
	for len(chosen) < count {
		before := len(chosen)
		for d := range ranked {
			if len(ranked[d]) == 0 || len(chosen) == count {
				continue
			}
			index := max(0, slices.IndexFunc(ranked[d], func(m Member) bool {
				return !pickedDomains[m.instance.location.FailureDomain()]
			}))
			m := ranked[d][index]
			ranked[d] = slices.Delete(ranked[d], index, index+1)
			pickedDomains[m.instance.location.FailureDomain()] = true
			chosen = append(chosen, NewWitness(m.incarnation, m.instance.peerAddress))
		}
		if len(chosen) == before {
			return chosen
		}
	}
	return chosen
}

// WitnessSpread returns the number of distances, at most 3, that a witness set covers:
// the same failure domain, the same region and another region.
func WitnessSpread(self Member, witnesses []Witness, view View) int {
	var covered [distanceCount]bool
	for _, w := range witnesses {
		if m, ok := view.Member(w.incarnation); ok {
			covered[locationDistance(self.instance.location, m.instance.location)] = true
		}
	}
	spread := 0
	for _, c := range covered {
		if c {
			spread++
		}
	}
	return spread
}
