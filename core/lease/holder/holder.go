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

// sentHistory is the number of renewals whose time of sending is remembered. At
// one renewal each 300 ms it covers more than the length of a promise.
const sentHistory = 8

// Holder collects promises. The zero value has no witnesses and no lease.
type Holder struct {
	terms     lease.Terms
	confirmed set
	proposed  set
	inDoubt   bool
	sequence  uint64
	sent      [sentHistory]clock.Millis
	nextDue   clock.Millis
}

// New returns a Holder with the given terms.
func New(terms lease.Terms) *Holder { return &Holder{terms: terms} }

type set struct {
	generation uint64
	promises   []promise
}

type promise struct {
	witness  membership.Witness
	until    clock.Millis
	asked    clock.Millis
	granted  clock.Millis
	wasAsked bool
	fenced   bool
}

// Request is a Renew to send.
type Request struct {
	witness    membership.Witness
	generation uint64
	sequence   uint64
}

// Witness returns the receiver.
func (r Request) Witness() membership.Witness { return r.witness }

// Generation returns the witness generation.
func (r Request) Generation() uint64 { return r.generation }

// Sequence returns the number of the request.
func (r Request) Sequence() uint64 { return r.sequence }

func newSet(generation uint64, witnesses []membership.Witness) set {
	s := set{generation: generation, promises: make([]promise, 0, len(witnesses))}
	for _, w := range witnesses {
		s.promises = append(s.promises, promise{witness: w})
	}
	return s
}

// Install makes a witness set that is in the table the only one. Promises of a
// proposed set of the same generation are kept.
func (h *Holder) Install(generation uint64, witnesses []membership.Witness) {
	if h.proposed.generation == generation && generation != 0 {
		h.confirmed = h.proposed
	} else {
		h.confirmed = newSet(generation, witnesses)
	}
	h.Abandon()
	h.nextDue = 0
}

// Propose adds a set that is not in the table yet. Its witnesses are asked too,
// but it does not count before Doubt.
func (h *Holder) Propose(generation uint64, witnesses []membership.Witness) {
	h.proposed = newSet(generation, witnesses)
	h.inDoubt = false
	h.nextDue = 0
}

// Doubt tells that the transaction that makes the proposed set the only one was
// sent. Until Install or Abandon the lease needs a majority of both sets.
func (h *Holder) Doubt() { h.inDoubt = true }

// Abandon drops the proposed set. After Doubt it may be called only if the
// transaction can't take effect any more.
func (h *Holder) Abandon() {
	h.proposed = set{}
	h.inDoubt = false
}

// Proposed returns the generation of the proposed set, 0 if there is none.
func (h *Holder) Proposed() uint64 { return h.proposed.generation }

// ProposedEnd returns the point until which a majority of the proposed set has
// promised.
func (h *Holder) ProposedEnd() clock.Millis { return h.proposed.end() }

// Due returns the requests to send at now: one for each witness of each set
// every RenewInterval.
func (h *Holder) Due(now clock.Millis) []Request {
	if now < h.nextDue || len(h.confirmed.promises)+len(h.proposed.promises) == 0 {
		return nil
	}
	h.nextDue = now + h.terms.RenewInterval()
	h.sequence++
	h.sent[h.sequence%sentHistory] = now
	requests := h.confirmed.requests(nil, now, h.sequence)
	return h.proposed.requests(requests, now, h.sequence)
}

func (s *set) requests(requests []Request, now clock.Millis, sequence uint64) []Request {
	for i := range s.promises {
		p := &s.promises[i]
		if !p.wasAsked {
			p.wasAsked, p.asked = true, now
		}
		requests = append(requests, Request{witness: p.witness, generation: s.generation, sequence: sequence})
	}
	return requests
}

// Reply takes a witness's reply. A promise counts from the time before its
// request was sent, since the witness made it at some point after that.
func (h *Holder) Reply(now clock.Millis, from identity.Incarnation, reply peer.RenewReply) {
	if reply.Sequence() > h.sequence || reply.Sequence()+sentHistory <= h.sequence {
		return
	}
	for _, s := range []*set{&h.confirmed, &h.proposed} {
		if s.generation != reply.Generation() {
			continue
		}
		for i := range s.promises {
			p := &s.promises[i]
			if p.witness.Incarnation() != from {
				continue
			}
			p.take(now, h.sent[reply.Sequence()%sentHistory]+h.terms.HolderLength(), reply.Result())
		}
	}
}

func (p *promise) take(now, until clock.Millis, result peer.RenewResult) {
	switch result {
	case peer.RenewGranted:
		p.granted = now
		p.until = max(p.until, until)
	case peer.RenewFenced:
		p.fenced = true
	case peer.RenewRefused:
	}
}

// end returns the point until which a majority has promised.
func (s *set) end() clock.Millis {
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
		return min(h.confirmed.end(), h.proposed.end())
	}
	return h.confirmed.end()
}

// Fenced tells whether any witness of the set in the table refuses it for ever.
func (h *Holder) Fenced() bool {
	return slices.ContainsFunc(h.confirmed.promises, func(p promise) bool { return p.fenced })
}

// Silent returns the witnesses of both sets that were asked at least patience
// milliseconds ago and have granted nothing for as long.
func (h *Holder) Silent(now, patience clock.Millis) []identity.Incarnation {
	var silent []identity.Incarnation
	for _, s := range []*set{&h.confirmed, &h.proposed} {
		for _, p := range s.promises {
			if p.wasAsked && now-max(p.asked, p.granted) >= patience {
				silent = append(silent, p.witness.Incarnation())
			}
		}
	}
	return silent
}

// AtRisk tells whether fewer witnesses of the set in the table than a majority
// are left without the silent ones.
func (h *Holder) AtRisk(now, patience clock.Millis) bool {
	heard := 0
	for _, p := range h.confirmed.promises {
		if !p.wasAsked || now-max(p.asked, p.granted) < patience {
			heard++
		}
	}
	return heard < lease.Majority(len(h.confirmed.promises))
}
