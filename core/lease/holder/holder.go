// Package holder renews the lease of a daemon and tracks the promises that its
// witnesses have made to it.
package holder

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
)

// sendTimesKept is the number of renewals whose send times are kept. With a renewal
// every 300 ms they cover more than the length of a promise.
const sendTimesKept = 8

// Holder collects the promises that make up a lease. The zero value has no witnesses
// and no lease, and uses the default timing.
type Holder struct {
	timing    lease.Timing
	confirmed witnessSet
	proposed  witnessSet
	inDoubt   bool
	sequence  uint64
	sentAt    [sendTimesKept]clock.Millis
	nextDue   clock.Millis
}

// New returns a Holder with the given timing and without witnesses.
func New(timing lease.Timing) *Holder { return &Holder{timing: timing} }

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

// RenewRequest is a Renew message to send to a witness.
type RenewRequest struct {
	witness    membership.Witness
	generation uint64
	sequence   uint64
}

// Witness returns the witness to which the request is sent.
func (r RenewRequest) Witness() membership.Witness { return r.witness }

// Generation returns the witness generation.
func (r RenewRequest) Generation() uint64 { return r.generation }

// Sequence returns the sequence number, which the reply repeats.
func (r RenewRequest) Sequence() uint64 { return r.sequence }

func newWitnessSet(generation uint64, witnesses []membership.Witness) witnessSet {
	s := witnessSet{generation: generation, promises: make([]promise, 0, len(witnesses))}
	for _, w := range witnesses {
		s.promises = append(s.promises, promise{witness: w})
	}
	return s
}

// InstallWitnesses makes a witness set from the table the only one. If it is the
// proposed set, as its generation shows, the promises already made are kept.
func (h *Holder) InstallWitnesses(generation uint64, witnesses []membership.Witness) {
	if h.proposed.generation == generation && generation != 0 {
		h.confirmed = h.proposed
	} else {
		h.confirmed = newWitnessSet(generation, witnesses)
	}
	h.AbandonProposal()
	h.nextDue = 0
}

// ProposeWitnesses adds a witness set that is not in the table yet. Its witnesses
// receive renewal requests too, but it does not affect the lease before MarkInDoubt.
func (h *Holder) ProposeWitnesses(generation uint64, witnesses []membership.Witness) {
	h.proposed = newWitnessSet(generation, witnesses)
	h.inDoubt = false
	h.nextDue = 0
}

// MarkInDoubt records that the transaction that replaces the confirmed set by the
// proposed one has been sent. Until InstallWitnesses or AbandonProposal the lease needs
// a majority of both sets.
func (h *Holder) MarkInDoubt() { h.inDoubt = true }

// AbandonProposal drops the proposed set. After MarkInDoubt it may be called only if
// the transaction can no longer take effect.
func (h *Holder) AbandonProposal() {
	h.proposed = witnessSet{}
	h.inDoubt = false
}

// ProposedGeneration returns the generation of the proposed set, 0 if there is none.
func (h *Holder) ProposedGeneration() uint64 { return h.proposed.generation }

// ProposedEnd returns the time until which a majority of the proposed set has made
// promises, 0 if there is none.
func (h *Holder) ProposedEnd() clock.Millis { return h.proposed.majorityEnd() }

// DueRenewals returns the requests to send at now: in each renewal interval, one to
// each witness of each set.
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

// HandleReply handles a witness's reply, received at now. A promise is counted from
// before its request was sent, since the witness made it at some time after that.
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

// majorityEnd returns the time until which a majority of the set has made promises, 0 if
// the set is empty.
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

// End returns the time until which the lease is valid, 0 before the first lease.
func (h *Holder) End() clock.Millis {
	if h.inDoubt {
		return min(h.confirmed.majorityEnd(), h.proposed.majorityEnd())
	}
	return h.confirmed.majorityEnd()
}

// Fenced reports whether a witness of the confirmed set refuses all further renewals of
// this generation.
func (h *Holder) Fenced() bool {
	return slices.ContainsFunc(h.confirmed.promises, func(p promise) bool { return p.fenced })
}

// SilentWitnesses returns the witnesses of both sets that were first sent a request at
// least timeout milliseconds ago and have granted none for that long.
func (h *Holder) SilentWitnesses(now, timeout clock.Millis) []identity.Incarnation {
	var silent []identity.Incarnation
	for _, s := range []*witnessSet{&h.confirmed, &h.proposed} {
		for _, p := range s.promises {
			if p.requested && now-max(p.firstRequestAt, p.lastGrantAt) >= timeout {
				silent = append(silent, p.witness.Incarnation())
			}
		}
	}
	return silent
}

// QuorumAtRisk reports whether the witnesses of the confirmed set that are not silent
// are fewer than a majority.
func (h *Holder) QuorumAtRisk(now, timeout clock.Millis) bool {
	responsive := 0
	for _, p := range h.confirmed.promises {
		if !p.requested || now-max(p.firstRequestAt, p.lastGrantAt) < timeout {
			responsive++
		}
	}
	return responsive < lease.Majority(len(h.confirmed.promises))
}
