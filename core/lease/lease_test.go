package lease_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/lease/holder"
	"briarwell.dev/core/lease/replacer"
	"briarwell.dev/core/lease/witness"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
)

// TestQuorums guards against a majority of promises and a lapse quorum that have
// no witness in common.
func TestQuorums(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 7; n++ {
		is.Equal(lease.Majority(n)+lease.LapseQuorum(n), n+1)
	}
}

// TestPromiseOutlastsLease guards against a holder that counts on a promise for
// longer than the witness keeps it, for all delays and clock rates.
func TestPromiseOutlastsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		slow := rapid.Int64Range(9902, 10000).Draw(t, "holder's rate")
		sent, delay := rapid.Int64Range(0, 5000).Draw(t, "sent"), rapid.Int64Range(0, 900).Draw(t, "delay")
		local := func(t int64) clock.Millis { return clock.Millis(t * slow / 10000) }
		var h holder.Holder
		h.Install(1, []membership.Witness{membership.NewWitness(2, "p2")})
		request := h.Due(local(sent))[0]
		w := witness.New()
		w.Extend(clock.Millis(sent + delay))
		result := w.Renew(clock.Millis(sent+delay), 1, 1)
		h.Reply(local(sent+2*delay), 2, peer.NewRenewReply(1, request.Sequence(), result, 0))
		until, _ := w.Until(1, 1)
		is.True(local(int64(until)) >= h.End())
	})
}

// TestWitness guards against promises after a reported lapse, after the bootstrap
// window and after closing.
func TestWitness(t *testing.T) {
	is := is.New(t)
	w := witness.New()
	is.Equal(w.Renew(0, 1, 1), peer.RenewRefused)
	w.Extend(0)
	is.Equal(w.Renew(0, 1, 1), peer.RenewGranted)
	is.True(!w.Report(lease.WitnessLength()-1, 1, 1))
	is.Equal(w.Renew(lease.WitnessLength(), 1, 1), peer.RenewGranted) // expired, not reported
	is.True(w.Report(2*lease.WitnessLength(), 1, 1))
	is.Equal(w.Renew(2*lease.WitnessLength(), 1, 1), peer.RenewFenced)
	is.Equal(w.Renew(2*lease.WitnessLength(), 1, 2), peer.RenewGranted)
	is.True(w.Report(0, 9, 1)) // no record
	is.Equal(w.Renew(0, 9, 1), peer.RenewFenced)
	is.Equal(w.Renew(lease.BootstrapWindow, 3, 1), peer.RenewRefused)
	w.Extend(lease.BootstrapWindow)
	w.Close()
	is.Equal(w.Renew(lease.BootstrapWindow, 3, 1), peer.RenewRefused)
}

// TestHolderSets guards against a lease that ends later than a majority of
// either set while a change is in doubt.
func TestHolderSets(t *testing.T) {
	is := is.New(t)
	set := func(ids ...identity.Incarnation) []membership.Witness {
		witnesses := make([]membership.Witness, 0, len(ids))
		for _, id := range ids {
			witnesses = append(witnesses, membership.NewWitness(id, "p"))
		}
		return witnesses
	}
	var h holder.Holder
	is.Equal(h.End(), clock.Millis(0))
	h.Install(1, set(2, 3, 4))
	renew := func(now clock.Millis, generation uint64, from ...identity.Incarnation) {
		requests := h.Due(now)
		for _, id := range from {
			h.Reply(now, id, peer.NewRenewReply(generation, requests[0].Sequence(), peer.RenewGranted, 0))
		}
	}
	renew(100, 1, 2)
	is.Equal(h.End(), clock.Millis(0)) // one of three
	renew(400, 1, 3, 9)
	is.Equal(h.End(), 100+lease.HolderLength()) // 9 is no witness
	h.Propose(2, set(5, 6, 7))
	h.Doubt()
	is.Equal(h.End(), clock.Millis(0))
	renew(700, 2, 5, 6)
	is.Equal(h.End(), 100+lease.HolderLength())
	h.Install(2, set(5, 6, 7))
	is.Equal(h.End(), 700+lease.HolderLength())
}

// TestReplacer guards against a replacement without a quorum of lapses, and
// against reports of another generation.
func TestReplacer(t *testing.T) {
	is := is.New(t)
	witnesses := []membership.Witness{membership.NewWitness(2, "p2"), membership.NewWitness(3, "p3"), membership.NewWitness(4, "p4")}
	row := membership.New(1, membership.Instance{}).WithWitnesses(witnesses).WithState(membership.StateActive)
	own := witness.New()
	own.Extend(0)
	own.Renew(0, 1, 1)
	var r replacer.Replacer
	r.Watch(0, row, 1)
	none := func(identity.Incarnation) bool { return false }
	at := lease.WitnessLength() + lease.ReplacerStagger
	queries, ready := r.Check(at-1, 3, own, none)
	is.Equal(len(queries)+len(ready), 0) // waits for witness 0
	queries, ready = r.Check(at, 3, own, none)
	is.Equal(len(queries), 2)
	is.Equal(len(ready), 0)
	r.Reported(4, 1, 2)
	_, ready = r.Check(at, 3, own, none)
	is.Equal(len(ready), 0) // another generation
	_, ready = r.Check(at, 3, own, func(i identity.Incarnation) bool { return i == 2 })
	is.Equal(len(ready), 1)
	r.Reported(4, 1, 1)
	_, ready = r.Check(at, 3, own, none)
	is.Equal(len(ready), 1)
}
