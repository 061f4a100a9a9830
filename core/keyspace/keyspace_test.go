package keyspace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
)

func holder(n int, born int64) keyspace.Holder {
	name := fmt.Sprintf("i%d", n)
	instance := membership.NewInstance(name, "", "p"+name, identity.NewLocation("r", "d"))
	lease := membership.RestoreMember(identity.Incarnation(n+1), instance, 1, nil)
	return keyspace.NewHolder(lease, keyspace.NewProcess(name, born), 12)
}

func newAssignment(holders int) keyspace.Assignment {
	var d keyspace.Assignment
	for n := range holders {
		d = d.AddHolder(holder(n, 1))
	}
	return d.AssignUnowned()
}

// TestMergeKeepsGaps guards against grants that also cover the keys of others
// between two ranges of one owner.
func TestMergeKeepsGaps(t *testing.T) {
	is := is.New(t)
	d := newAssignment(3)
	owned := d.OwnedBy("i1")
	is.Equal(len(keyspace.MergeAdjacent(owned)), len(owned))
	for _, r := range keyspace.MergeAdjacent(owned) {
		for k := r.First(); ; k++ {
			found, ok := d.RangeOf(k)
			is.True(ok && found.Owner() == "i1")
			if k == r.Last() {
				break
			}
		}
	}
}

// TestFirstAssignmentInterleavesOwners guards against busy neighbours that all lie with one owner.
func TestFirstAssignmentInterleavesOwners(t *testing.T) {
	is := is.New(t)
	d := newAssignment(6)
	owners := map[string]bool{}
	for k := keyspace.Key(30000); k < 30600; k++ {
		r, _ := d.RangeOf(k)
		owners[r.Owner()] = true
	}
	is.True(len(owners) >= 3)
	for n := range 6 {
		is.True(len(d.OwnedBy(fmt.Sprintf("i%d", n))) <= keyspace.MaxRangesPerHolder)
	}
}

// TestNewProcessRaisesEpoch guards against keys that pass to another life under the
// epoch of the one before.
func TestNewProcessRaisesEpoch(t *testing.T) {
	is := is.New(t)
	d := newAssignment(2)
	before, _ := d.RangeOf(0)
	d = d.AddHolder(holder(0, 2))
	after, _ := d.RangeOf(0)
	is.Equal(after.Owner(), before.Owner())
	is.True(after.Epoch() > before.Epoch())
	again, _ := d.AddHolder(holder(0, 2)).RangeOf(0)
	is.Equal(again.Epoch(), after.Epoch()) // the same life keeps its epoch
}

// TestAssignmentInvariants guards against gaps in the division, against a change of owner
// without a higher epoch, and against rows that can't be read back.
func TestAssignmentInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		d := newAssignment(rapid.IntRange(1, 6).Draw(t, "holders"))
		born := int64(1)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			before := d
			n := rapid.IntRange(0, 7).Draw(t, "instance")
			name := fmt.Sprintf("i%d", n)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				born++
				d = d.AddHolder(holder(n, born))
			case 1:
				d = d.MarkLeaving(name)
			case 2:
				d = d.RemoveHolder(name)
			case 3:
				d = d.AssignUnowned()
			case 4:
				first := rapid.Uint16().Draw(t, "first")
				last := rapid.Uint16Range(first, 65535).Draw(t, "last")
				d = d.StartMove(name, keyspace.NewSpan(keyspace.Key(first), keyspace.Key(last)), fmt.Sprintf("i%d", (n+1)%8))
			case 5:
				var released []keyspace.ReleasedSpan
				for _, r := range d.OwnedBy(name) {
					if r.NextOwner() != "" {
						released = append(released, keyspace.NewReleasedSpan(r.Span, "token"))
					}
				}
				d = d.CompleteMoves(name, released)
			case 6:
				d, _ = d.BalanceRangeCounts()
			}
			checkInvariants(t, is, before, d)
		}
	})
}

func checkInvariants(t *rapid.T, is *is.I, before, after keyspace.Assignment) {
	next := 0
	for _, r := range after.Ranges() {
		is.Equal(int(r.First()), next)
		next = int(r.Last()) + 1
		is.True(r.Epoch() <= after.Epoch())
	}
	if len(after.Ranges()) > 0 {
		is.Equal(next, 65536)
	}
	for k := rapid.Uint16Range(0, 200).Draw(t, "key"); k < 65000; k += 333 {
		b, _ := before.RangeOf(keyspace.Key(k))
		a, _ := after.RangeOf(keyspace.Key(k))
		if a.Owner() != "" && a.Owner() != b.Owner() {
			is.True(a.Epoch() > b.Epoch())
		}
	}
	data, err := after.Encode()
	is.NoErr(err)
	read, err := keyspace.Decode(data)
	is.NoErr(err)
	is.Equal(len(read.Ranges()), len(after.Ranges()))
	for i, r := range read.Ranges() {
		is.Equal(r, after.Ranges()[i])
	}
}

// TestDecodeRejectsInvalidRow guards against a row of another writer.
func TestDecodeRejectsInvalidRow(t *testing.T) {
	is := is.New(t)
	_, err := keyspace.Decode([]byte("not a division"))
	is.True(err != nil)
}

// TestEncodedSize guards against rows that grow with the fleet: each change writes the
// whole row, and every daemon gets it. As JSON objects it took 24 KB.
func TestEncodedSize(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	const holders = 50
	members := make([]membership.Member, holders)
	for i := range members {
		instance := membership.NewInstance(fmt.Sprintf("instance-%d", i), "", fmt.Sprintf("10.1.0.%d:7600", i), identity.NewLocation("r", fmt.Sprintf("d%d", i%6)))
		members[i] = membership.RestoreMember(identity.Incarnation(rng.Uint64()), instance, 1, nil)
	}
	var d keyspace.Assignment
	for i, m := range members {
		row := membership.RestoreMember(m.Incarnation(), m.Instance(), 1, membership.ChooseWitnesses(m, members, 3))
		d = d.AddHolder(keyspace.NewHolder(row, keyspace.NewProcess(fmt.Sprintf("i-%08x", rng.Uint32()), 1_700_000_000_000), 12))
		is.Equal(len(d.Holders()), i+1)
	}
	d = d.AssignUnowned()
	for range 200 {
		r := d.Ranges()[rng.IntN(len(d.Ranges()))]
		d = d.StartMove(r.Owner(), r.Span, members[rng.IntN(holders)].Instance().Name())
		d = d.CompleteMoves(r.Owner(), []keyspace.ReleasedSpan{keyspace.NewReleasedSpan(r.Span, fmt.Sprintf("%016x", rng.Uint64()))})
	}
	data, err := d.Encode()
	is.NoErr(err)
	t.Logf("%d bytes for %d holders and %d ranges", len(data), holders, len(d.Ranges()))
	is.True(len(data) < 12_000)
	read, err := keyspace.Decode(data)
	is.NoErr(err)
	is.Equal(read, d)
}
