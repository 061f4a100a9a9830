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
	// silenceLimit is the time in milliseconds without a grant after which a
	// witness counts as silent: three renewals, so that a holder can still change
	// its witnesses before its lease ends.
	silenceLimit = 3 * lease.RenewInterval
	// proposalPatience is the time in milliseconds for a proposed set to promise.
	proposalPatience clock.Millis = 900
	// avoidTime is the time in milliseconds for which a silent witness is not
	// chosen again: longer than its replacement takes.
	avoidTime clock.Millis = 5000
	// choiceInterval is the shortest time in milliseconds between two choices.
	choiceInterval clock.Millis = 300
	// reviewInterval is the time in milliseconds between two searches for a better
	// set, which cost time proportional to the number of members.
	reviewInterval clock.Millis = 5000
	// spreadInterval is the shortest time in milliseconds between two changes that
	// only improve the spread over failure domains.
	spreadInterval clock.Millis = 5000
)

// stepRenew sends the renewals that are due.
func (n *Node) stepRenew() {
	if !n.registered() {
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
	if !n.registered() || n.selfLane.busy || n.self.closing {
		return
	}
	if n.holder.ProposedGeneration() != 0 {
		n.stepProposal()
		return
	}
	if n.now < n.self.nextChoice {
		return
	}
	n.avoidSilent()
	reason := n.witnessFault()
	if reason == "" && n.reviewDue() {
		n.self.witnessesDirty = false
		n.self.nextReview = n.now + reviewInterval
		reason = n.witnessImprovement()
	}
	if reason == "" {
		return
	}
	n.self.nextChoice = n.now + choiceInterval
	chosen := n.chooseWitnesses(n.row)
	if len(chosen) == 0 || (sameWitnesses(chosen, n.row.Witnesses()) && !n.holder.Fenced()) {
		return
	}
	n.self.proposal, n.self.proposedAt, n.self.proposalReason = chosen, n.now, reason
	n.holder.ProposeWitnesses(n.row.WitnessGeneration()+1, chosen)
	n.note("witnessChange", "reason", reason, "generation", strconv.FormatUint(n.row.WitnessGeneration()+1, 10), "witnesses", witnessList(chosen))
}

// reviewDue tells whether a better set should be looked for: now and then, and
// with too few witnesses at each change of the members.
func (n *Node) reviewDue() bool {
	return n.now >= n.self.nextReview || n.self.witnessesDirty && len(n.row.Witnesses()) < lease.WitnessCount
}

// proposalReady tells whether the transaction that makes the proposed set the
// only one may be sent now. Orders in flight carry deadlines up to the end of the
// lease. Once the table names the new set, only its promises hold a replacement
// back, so they must last as long.
func (n *Node) proposalReady() bool {
	return n.holder.ProposedGeneration() != 0 && (!n.leaseValid() || n.holder.ProposedEnd() >= n.holder.End())
}

func (n *Node) stepProposal() {
	if !n.proposalReady() && n.now-n.self.proposedAt >= proposalPatience {
		n.avoidSilent()
		n.holder.AbandonProposal()
		n.self.proposal = nil
		n.self.witnessesDirty = true
	}
}

func (n *Node) avoidSilent() {
	if n.now < n.contact.quietUntil {
		return
	}
	for _, w := range n.holder.SilentWitnesses(n.now, silenceLimit) {
		n.self.avoid[w] = n.now + avoidTime
	}
}

// witnessFault returns why the present set must change, or "".
func (n *Node) witnessFault() string {
	for _, w := range n.row.Witnesses() {
		m, known := n.view.Member(w.Incarnation())
		if known && (!m.Alive() || m.State() == membership.StateDraining) || n.losses.other(w.Incarnation()) {
			return "witnessGone"
		}
	}
	switch {
	case n.holder.Fenced():
		return "witnessFenced"
	case n.now >= n.contact.quietUntil && n.holder.QuorumAtRisk(n.now, silenceLimit):
		return "witnessSilent"
	default:
		return ""
	}
}

// witnessImprovement returns why another set would be better, or "". It costs
// time proportional to the number of members.
func (n *Node) witnessImprovement() string {
	if n.fullSetStays() {
		return ""
	}
	chosen := n.chooseWitnesses(n.row)
	if len(chosen) > len(n.row.Witnesses()) {
		return "moreWitnesses"
	}
	better := membership.WitnessSpread(n.row, chosen, n.view) > membership.WitnessSpread(n.row, n.row.Witnesses(), n.view)
	if better && n.now >= n.self.nextSpread {
		n.self.nextSpread = n.now + spreadInterval + clock.Millis(n.random.Int64N(int64(spreadInterval)))
		return "betterSpread"
	}
	return ""
}

// fullSetStays tells whether no choice could improve the present set: it has all
// witnesses, and either each adds to the spread or the next change of the spread
// is not due. Without this test a loss of many members costs time proportional to
// the square of their number at each node.
func (n *Node) fullSetStays() bool {
	if len(n.row.Witnesses()) != lease.WitnessCount {
		return false
	}
	return n.now < n.self.nextSpread || membership.WitnessSpread(n.row, n.row.Witnesses(), n.view) == lease.WitnessCount
}

func (n *Node) chooseWitnesses(self membership.Member) []membership.Witness {
	var candidates []membership.Member
	for _, m := range n.view.Alive() {
		if n.now >= n.self.avoid[m.Incarnation()] && !n.losses.other(m.Incarnation()) {
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

func witnessList(witnesses []membership.Witness) string {
	list := ""
	for i, w := range witnesses {
		if i > 0 {
			list += ","
		}
		list += w.Incarnation().String()
	}
	return list
}

// isWitness tells whether a member names an incarnation as its witness.
func isWitness(m membership.Member, incarnation identity.Incarnation) (int, bool) {
	index := slices.IndexFunc(m.Witnesses(), func(w membership.Witness) bool { return w.Incarnation() == incarnation })
	return index, index >= 0
}
