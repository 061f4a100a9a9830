package node

import (
	"slices"
	"strconv"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
)

const (
	// witnessTimeout is the time in milliseconds without a promise after which a witness
	// counts as silent: three renewal intervals, so that a holder can still change its
	// witnesses before its lease ends.
	witnessTimeout = 3 * lease.RenewInterval
	// witnessProposalTimeout is the time in milliseconds within which the witnesses of a
	// proposed set must make their promises.
	witnessProposalTimeout clock.Millis = 900
	// witnessAvoidTime is the time in milliseconds for which a silent witness is not
	// selected again. It is longer than the replacement of a lost member takes.
	witnessAvoidTime clock.Millis = 5000
	// minWitnessChoiceInterval is the minimum time in milliseconds between two choices of
	// a witness set.
	minWitnessChoiceInterval clock.Millis = 300
	// witnessReviewInterval is the time in milliseconds between two searches for a better
	// set. A search takes time proportional to the number of members.
	witnessReviewInterval clock.Millis = 5000
	// minSpreadChangeInterval is the minimum time in milliseconds between two changes
	// that only improve the spread over failure domains.
	minSpreadChangeInterval clock.Millis = 5000
)

// stepRenewals sends the lease renewals that are due.
func (n *Node) stepRenewals() {
	if !n.isRegistered() {
		return
	}
	for _, r := range n.holder.DueRenewals(n.now) {
		message := peer.NewRenew(r.Generation(), r.Sequence(), n.copy.revision)
		n.send(r.Witness().PeerAddress(), r.Witness().Incarnation(), message)
	}
}

// stepWitnesses proposes a new witness set if the current one must or can be improved.
// While the lease is valid, the new set makes its promises before the transaction is
// sent, since the lease needs both sets from then on.
func (n *Node) stepWitnesses() {
	if !n.isRegistered() || n.ownRowSlot.inProgress || n.ownState.leaving {
		return
	}
	if n.holder.ProposedGeneration() != 0 {
		n.expireProposal()
		return
	}
	if n.now < n.ownState.nextWitnessChoice {
		return
	}
	n.avoidSilentWitnesses()
	reason := n.witnessFaultReason()
	if reason == "" && n.witnessReviewDue() {
		n.ownState.witnessesDirty = false
		n.ownState.nextWitnessReview = n.now + witnessReviewInterval
		reason = n.witnessImprovementReason()
	}
	if reason == "" {
		return
	}
	n.ownState.nextWitnessChoice = n.now + minWitnessChoiceInterval
	chosen := n.chooseWitnesses(n.ownRow)
	if len(chosen) == 0 || (sameWitnesses(chosen, n.ownRow.Witnesses()) && !n.holder.Fenced()) {
		return
	}
	n.ownState.proposal, n.ownState.proposedAt, n.ownState.proposalReason = chosen, n.now, reason
	n.holder.ProposeWitnesses(n.ownRow.WitnessGeneration()+1, chosen)
	n.logEvent("witnessChange", "reason", reason, "generation", strconv.FormatUint(n.ownRow.WitnessGeneration()+1, 10), "witnesses", formatWitnesses(chosen))
}

// witnessReviewDue reports whether to search for a better set: every
// witnessReviewInterval and, with too few witnesses, at each change of the members.
func (n *Node) witnessReviewDue() bool {
	return n.now >= n.ownState.nextWitnessReview || n.ownState.witnessesDirty && len(n.ownRow.Witnesses()) < lease.WitnessCount
}

// proposalReady reports whether the transaction that makes the proposed set the only one
// may be sent now. Requests in flight have deadlines up to the end of the lease. Once the
// table names the new set, only its promises prevent a replacement, so they must last at
// least as long.
func (n *Node) proposalReady() bool {
	return n.holder.ProposedGeneration() != 0 && (!n.leaseValid() || n.holder.ProposedEnd() >= n.holder.End())
}

// expireProposal abandons a proposal whose witnesses did not make their promises in time.
func (n *Node) expireProposal() {
	if !n.proposalReady() && n.now-n.ownState.proposedAt >= witnessProposalTimeout {
		n.avoidSilentWitnesses()
		n.holder.AbandonProposal()
		n.ownState.proposal = nil
		n.ownState.witnessesDirty = true
	}
}

// avoidSilentWitnesses excludes silent witnesses from the choice for witnessAvoidTime.
func (n *Node) avoidSilentWitnesses() {
	if n.now < n.connectivity.graceUntil {
		return
	}
	for _, w := range n.holder.SilentWitnesses(n.now, witnessTimeout) {
		n.ownState.avoidUntil[w] = n.now + witnessAvoidTime
	}
}

// witnessFaultReason returns why the current set must change, or "" if it need not.
func (n *Node) witnessFaultReason() string {
	for _, w := range n.ownRow.Witnesses() {
		m, known := n.view.Member(w.Incarnation())
		if known && (!m.Alive() || m.State() == membership.StateDraining) || n.losses.isGone(w.Incarnation()) {
			return "witnessGone"
		}
	}
	switch {
	case n.holder.Fenced():
		return "witnessFenced"
	case n.now >= n.connectivity.graceUntil && n.holder.QuorumAtRisk(n.now, witnessTimeout):
		return "witnessSilent"
	default:
		return ""
	}
}

// witnessImprovementReason returns why another set would be better, or "" if none is. It
// takes time proportional to the number of members.
func (n *Node) witnessImprovementReason() string {
	if n.cannotImproveWitnesses() {
		return ""
	}
	chosen := n.chooseWitnesses(n.ownRow)
	if len(chosen) > len(n.ownRow.Witnesses()) {
		return "moreWitnesses"
	}
	better := membership.WitnessSpread(n.ownRow, chosen, n.view) > membership.WitnessSpread(n.ownRow, n.ownRow.Witnesses(), n.view)
	if better && n.now >= n.ownState.nextSpreadChange {
		n.ownState.nextSpreadChange = n.now + minSpreadChangeInterval + clock.Millis(n.random.Int64N(int64(minSpreadChangeInterval)))
		return "betterSpread"
	}
	return ""
}

// cannotImproveWitnesses reports whether no choice can improve the current set: it is
// complete, and either each witness adds to the spread or the next change of the spread
// is not due. Without this check, a loss of many members costs each node time
// proportional to the square of their number.
func (n *Node) cannotImproveWitnesses() bool {
	if len(n.ownRow.Witnesses()) != lease.WitnessCount {
		return false
	}
	return n.now < n.ownState.nextSpreadChange || membership.WitnessSpread(n.ownRow, n.ownRow.Witnesses(), n.view) == lease.WitnessCount
}

// chooseWitnesses chooses witnesses among the live members that are not avoided.
func (n *Node) chooseWitnesses(self membership.Member) []membership.Witness {
	var candidates []membership.Member
	for _, m := range n.view.Alive() {
		if n.now >= n.ownState.avoidUntil[m.Incarnation()] && !n.losses.isGone(m.Incarnation()) {
			candidates = append(candidates, m)
		}
	}
	return membership.ChooseWitnesses(self, candidates, lease.WitnessCount)
}

// sameWitnesses reports whether two sets have the same witnesses in any order.
func sameWitnesses(a, b []membership.Witness) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(w membership.Witness) bool { return !slices.Contains(b, w) })
}

func formatWitnesses(witnesses []membership.Witness) string {
	list := ""
	for i, w := range witnesses {
		if i > 0 {
			list += ","
		}
		list += w.Incarnation().String()
	}
	return list
}

// witnessIndex returns the index of an incarnation in a member's list of witnesses, or
// false if the member does not name it.
func witnessIndex(m membership.Member, incarnation identity.Incarnation) (int, bool) {
	index := slices.IndexFunc(m.Witnesses(), func(w membership.Witness) bool { return w.Incarnation() == incarnation })
	return index, index >= 0
}
