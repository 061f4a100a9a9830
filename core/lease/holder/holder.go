// Package holder keeps the lease of a daemon: the promises that its witnesses
// made to it.
package holder

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
)

// sendTimesKept is the number of renewals whose time of sending is remembered. At
// one renewal each 300 ms it covers more than the length of a promise.
const sendTimesKept = 8

// Holder collects promises. The zero value has no witnesses and no lease.
type Holder struct {
	timing    lease.Timing
	confirmed witnessSet
	proposed  witnessSet
	inDoubt   bool
	sequence  uint64
	sentAt    [sendTimesKept]clock.Millis
	nextDue   clock.Millis
}

// New returns a Holder with the given terms.
func New(terms lease.Timing) *Holder { return &Holder{timing: terms} }

type witnessSet struct {
	generation uint64
	promises   []promise
}

type promise struct {
	witness        membership.Witness
	until          clock.Millis
	firstRequestAt clock.Millis
	lastGrantAt    clock.Millis
	requested      bool
	fenced         bool
}

// RenewRequest is a Renew to send.
type RenewRequest struct {
	witness    membership.Witness
	generation uint64
	sequence   uint64
}

// Witness returns the receiver.
func (r RenewRequest) Witness() membership.Witness { return r.witness }

// Generation returns the witness generation.
func (r RenewRequest) Generation() uint64 { return r.generation }

// Sequence returns the number of the request.
func (r RenewRequest) Sequence() uint64 { return r.sequence }

func newWitnessSet(generation uint64, witnesses []membership.Witness) witnessSet {
	s := witnessSet{generation: generation, promises: make([]promise, 0, len(witnesses))}
	for _, w := range witnesses {
		s.promises = append(s.promises, promise{witness: w})
	}
	return s
}

// InstallWitnesses makes a witness set that is in the table the only one. Promises of a
// proposed set of the same generation are kept.
func (h *Holder) InstallWitnesses(generation uint64, witnesses []membership.Witness) {
	if h.proposed.generation == generation && generation != 0 {
		h.confirmed = h.proposed
	} else {
		h.confirmed = newWitnessSet(generation, witnesses)
	}
	h.AbandonProposal()
	h.nextDue = 0
}

// ProposeWitnesses adds a set that is not in the table yet. Its witnesses are asked too,
// but it does not count before Doubt.
func (h *Holder) ProposeWitnesses(generation uint64, witnesses []membership.Witness) {
	h.proposed = newWitnessSet(generation, witnesses)
	h.inDoubt = false
	h.nextDue = 0
}

// MarkInDoubt tells that the transaction that makes the proposed set the only one was
// sent. Until Install or Abandon the lease needs a majority of both sets.
func (h *Holder) MarkInDoubt() { h.inDoubt = true }

// AbandonProposal drops the proposed set. After Doubt it may be called only if the
// transaction can't take effect any more.
func (h *Holder) AbandonProposal() {
	h.proposed = witnessSet{}
	h.inDoubt = false
}

// ProposedGeneration returns the generation of the proposed set, 0 if there is none.
func (h *Holder) ProposedGeneration() uint64 { return h.proposed.generation }

// ProposedEnd returns the point until which a majority of the proposed set has
// promised.
func (h *Holder) ProposedEnd() clock.Millis { return h.proposed.majorityEnd() }

// DueRenewals returns the requests to send at now: one for each witness of each set
// every RenewInterval.
func (h *Holder) DueRenewals(now clock.Millis) []RenewRequest {
	if now < h.nextDue || len(h.confirmed.promises)+len(h.proposed.promises) == 0 {
		return nil
	}
	h.nextDue = now + h.timing.RenewInterval()
	h.sequence++
	h.sentAt[h.sequence%sendTimesKept] = now
	requests := h.confirmed.appendRequests(nil, now, h.sequence)
	return h.proposed.appendRequests(requests, now, h.sequence)
}

func (s *witnessSet) appendRequests(requests []RenewRequest, now clock.Millis, sequence uint64) []RenewRequest {
	for i := range s.promises {
		p := &s.promises[i]
		if !p.requested {
			p.requested, p.firstRequestAt = true, now
		}
		requests = append(requests, RenewRequest{witness: p.witness, generation: s.generation, sequence: sequence})
	}
	return requests
}

// HandleReply takes a witness's reply. A promise counts from the time before its
// request was sent, since the witness made it at some point after that.
func (h *Holder) HandleReply(now clock.Millis, from identity.Incarnation, reply peer.RenewReply) {
	if reply.Sequence() > h.sequence || reply.Sequence()+sendTimesKept <= h.sequence {
		return
	}
	for _, s := range []*witnessSet{&h.confirmed, &h.proposed} {
		if s.generation != reply.Generation() {
			continue
		}
		for i := range s.promises {
			p := &s.promises[i]
			if p.witness.Incarnation() != from {
				continue
			}
			p.applyResult(now, h.sentAt[reply.Sequence()%sendTimesKept]+h.timing.HolderPromiseLength(), reply.Result())
		}
	}
}

func (p *promise) applyResult(now, until clock.Millis, result peer.RenewResult) {
	switch result {
	case peer.RenewGranted:
		p.lastGrantAt = now
		p.until = max(p.until, until)
	case peer.RenewFenced:
		p.fenced = true
	case peer.RenewRefused:
	}
}

// majorityEnd returns the point until which a majority has promised.
func (s *witnessSet) majorityEnd() clock.Millis {
	if len(s.promises) == 0 {
		return 0
	}
	ends := make([]clock.Millis, 0, lease.WitnessCount)
	for _, p := range s.promises {
		ends = append(ends, p.until)
	}
	slices.Sort(ends)
	return ends[len(ends)-lease.Majority(len(ends))]
}

// End returns the point until which the lease is valid. It is 0 before the first
// lease.
func (h *Holder) End() clock.Millis {
	if h.inDoubt {
		return min(h.confirmed.majorityEnd(), h.proposed.majorityEnd())
	}
	return h.confirmed.majorityEnd()
}

// Fenced tells whether any witness of the set in the table refuses it for ever.
func (h *Holder) Fenced() bool {
	return slices.ContainsFunc(h.confirmed.promises, func(p promise) bool { return p.fenced })
}

// SilentWitnesses returns the witnesses of both sets that were asked at least patience
// milliseconds ago and have granted nothing for as long.
func (h *Holder) SilentWitnesses(now, patience clock.Millis) []identity.Incarnation {
	var silent []identity.Incarnation
	for _, s := range []*witnessSet{&h.confirmed, &h.proposed} {
		for _, p := range s.promises {
			if p.requested && now-max(p.firstRequestAt, p.lastGrantAt) >= patience {
				silent = append(silent, p.witness.Incarnation())
			}
		}
	}
	return silent
}

// QuorumAtRisk tells whether fewer witnesses of the set in the table than a majority
// are left without the silent ones.
func (h *Holder) QuorumAtRisk(now, patience clock.Millis) bool {
	heard := 0
	for _, p := range h.confirmed.promises {
		if !p.requested || now-max(p.firstRequestAt, p.lastGrantAt) < patience {
			heard++
		}
	}
	return heard < lease.Majority(len(h.confirmed.promises))
}
