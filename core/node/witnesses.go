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
	// silenceTimeout is the time in milliseconds without a grant after which a
	// witness counts as silent: three renewals, so that a holder can still change
	// its witnesses before its lease ends.
	silenceTimeout = 3 * lease.RenewInterval
	// witnessProposalTimeout is the time in milliseconds for a proposed set to promise.
	witnessProposalTimeout clock.Millis = 900
	// witnessAvoidTime is the time in milliseconds for which a silent witness is not
	// chosen again: longer than its replacement takes.
	witnessAvoidTime clock.Millis = 5000
	// minWitnessChoiceInterval is the shortest time in milliseconds between two choices.
	minWitnessChoiceInterval clock.Millis = 300
	// witnessReviewInterval is the time in milliseconds between two searches for a better
	// set, which cost time proportional to the number of members.
	witnessReviewInterval clock.Millis = 5000
	// minSpreadChangeInterval is the shortest time in milliseconds between two changes that
	// only improve the spread over failure domains.
	minSpreadChangeInterval clock.Millis = 5000
)

// stepRenewals sends the renewals that are due.
func (n *Node) stepRenewals() {
	if !n.isRegistered() {
		return
	}
	for _, r := range n.holder.DueRenewals(n.now) {
		message := peer.NewRenew(r.Generation(), r.Sequence(), n.copy.revision)
		n.send(r.Witness().PeerAddress(), r.Witness().Incarnation(), message)
	}
}

// stepWitnesses decides on a change of the witness set. While the lease is valid
// the new set is asked to promise before the transaction is sent, since the lease
// needs both sets from then on.
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

// witnessReviewDue tells whether a better set should be looked for: now and then, and
// with too few witnesses at each change of the members.
func (n *Node) witnessReviewDue() bool {
	return n.now >= n.ownState.nextWitnessReview || n.ownState.witnessesDirty && len(n.ownRow.Witnesses()) < lease.WitnessCount
}

// proposalReady tells whether the transaction that makes the proposed set the
// only one may be sent now. Orders in flight carry deadlines up to the end of the
// lease. Once the table names the new set, only its promises hold a replacement
// back, so they must last as long.
func (n *Node) proposalReady() bool {
	return n.holder.ProposedGeneration() != 0 && (!n.leaseValid() || n.holder.ProposedEnd() >= n.holder.End())
}

func (n *Node) expireProposal() {
	if !n.proposalReady() && n.now-n.ownState.proposedAt >= witnessProposalTimeout {
		n.avoidSilentWitnesses()
		n.holder.AbandonProposal()
		n.ownState.proposal = nil
		n.ownState.witnessesDirty = true
	}
}

func (n *Node) avoidSilentWitnesses() {
	if n.now < n.connectivity.graceUntil {
		return
	}
	for _, w := range n.holder.SilentWitnesses(n.now, silenceTimeout) {
		n.ownState.avoidUntil[w] = n.now + witnessAvoidTime
	}
}

// witnessFaultReason returns why the present set must change, or "".
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
	case n.now >= n.connectivity.graceUntil && n.holder.QuorumAtRisk(n.now, silenceTimeout):
		return "witnessSilent"
	default:
		return ""
	}
}

// witnessImprovementReason returns why another set would be better, or "". It costs
// time proportional to the number of members.
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

// cannotImproveWitnesses tells whether no choice could improve the present set: it has all
// witnesses, and either each adds to the spread or the next change of the spread
// is not due. Without this test a loss of many members costs time proportional to
// the square of their number at each node.
func (n *Node) cannotImproveWitnesses() bool {
	if len(n.ownRow.Witnesses()) != lease.WitnessCount {
		return false
	}
	return n.now < n.ownState.nextSpreadChange || membership.WitnessSpread(n.ownRow, n.ownRow.Witnesses(), n.view) == lease.WitnessCount
}

func (n *Node) chooseWitnesses(self membership.Member) []membership.Witness {
	var candidates []membership.Member
	for _, m := range n.view.Alive() {
		if n.now >= n.ownState.avoidUntil[m.Incarnation()] && !n.losses.isGone(m.Incarnation()) {
			candidates = append(candidates, m)
		}
	}
	return membership.ChooseWitnesses(self, candidates, lease.WitnessCount)
}

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

// witnessIndex tells whether a member names an incarnation as its witness.
func witnessIndex(m membership.Member, incarnation identity.Incarnation) (int, bool) {
	index := slices.IndexFunc(m.Witnesses(), func(w membership.Witness) bool { return w.Incarnation() == incarnation })
	return index, index >= 0
}
