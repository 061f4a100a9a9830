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

func holder(n int, startMillis int64) keyspace.Holder {
	name := fmt.Sprintf("i%d", n)
	instance := membership.NewInstance(name, "", "p"+name, identity.NewLocation("r", "d"))
	member := membership.RestoreMember(identity.Incarnation(n+1), instance, 1, nil)
	return keyspace.NewHolder(member, keyspace.NewProcess(name, startMillis), 12)
}

func newAssignment(holders int) keyspace.Assignment {
	var a keyspace.Assignment
	for n := range holders {
		a = a.AddHolder(holder(n, 1))
	}
	return a.AssignUnowned()
}

// TestMergeKeepsGaps guards against grants that also cover keys of other owners
// between two ranges of one owner.
func TestMergeKeepsGaps(t *testing.T) {
	is := is.New(t)
	a := newAssignment(3)
	owned := a.OwnedBy("i1")
	is.Equal(len(keyspace.MergeAdjacent(owned)), len(owned))
	for _, r := range keyspace.MergeAdjacent(owned) {
		for k := r.First(); ; k++ {
			found, ok := a.RangeOf(k)
			is.True(ok && found.Owner() == "i1")
			if k == r.Last() {
				break
			}
		}
	}
}

// TestFirstAssignmentInterleavesOwners guards against adjacent busy keys that all
// belong to one owner.
func TestFirstAssignmentInterleavesOwners(t *testing.T) {
	is := is.New(t)
	a := newAssignment(6)
	owners := map[string]bool{}
	for k := keyspace.Key(30000); k < 30600; k++ {
		r, _ := a.RangeOf(k)
		owners[r.Owner()] = true
	}
	is.True(len(owners) >= 3)
	for n := range 6 {
		is.True(len(a.OwnedBy(fmt.Sprintf("i%d", n))) <= keyspace.MaxRangesPerHolder)
	}
}

// TestNewProcessRaisesEpoch guards against keys that pass to a restarted upstream
// under the epoch of its previous process.
func TestNewProcessRaisesEpoch(t *testing.T) {
	is := is.New(t)
	a := newAssignment(2)
	before, _ := a.RangeOf(0)
	a = a.AddHolder(holder(0, 2))
	after, _ := a.RangeOf(0)
	is.Equal(after.Owner(), before.Owner())
	is.True(after.Epoch() > before.Epoch())
	again, _ := a.AddHolder(holder(0, 2)).RangeOf(0)
	is.Equal(again.Epoch(), after.Epoch()) // the same process keeps its epoch
}

// TestAssignmentInvariants guards against gaps between ranges, against a change of
// owner without a higher epoch, and against rows that can't be decoded.
func TestAssignmentInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a := newAssignment(rapid.IntRange(1, 6).Draw(t, "holders"))
		startMillis := int64(1)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			before := a
			n := rapid.IntRange(0, 7).Draw(t, "instance")
			name := fmt.Sprintf("i%d", n)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				startMillis++
				a = a.AddHolder(holder(n, startMillis))
			case 1:
				a = a.MarkLeaving(name)
			case 2:
				a = a.RemoveHolder(name)
			case 3:
				a = a.AssignUnowned()
			case 4:
				first := rapid.Uint16().Draw(t, "first")
				last := rapid.Uint16Range(first, 65535).Draw(t, "last")
				a = a.StartMove(name, keyspace.NewSpan(keyspace.Key(first), keyspace.Key(last)), fmt.Sprintf("i%d", (n+1)%8))
			case 5:
				var released []keyspace.ReleasedSpan
				for _, r := range a.OwnedBy(name) {
					if r.NextOwner() != "" {
						released = append(released, keyspace.NewReleasedSpan(r.Span, "token"))
					}
				}
				a = a.CompleteMoves(name, released)
			case 6:
				a, _ = a.BalanceRangeCounts()
			}
			checkInvariants(t, is, before, a)
		}
	})
}

func checkInvariants(t *rapid.T, is *is.I, before, after keyspace.Assignment) {
	firstKey := 0
	for _, r := range after.Ranges() {
		is.Equal(int(r.First()), firstKey)
		firstKey = int(r.Last()) + 1
		is.True(r.Epoch() <= after.Epoch())
	}
	if len(after.Ranges()) > 0 {
		is.Equal(firstKey, 65536)
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

// TestDecodeRejectsInvalidRow guards against accepting a row that another program
// wrote.
func TestDecodeRejectsInvalidRow(t *testing.T) {
	is := is.New(t)
	_, err := keyspace.Decode([]byte("not an assignment"))
	is.True(err != nil)
}

// TestEncodedSize guards against rows that grow too much with the fleet: each change
// writes the whole row, and every daemon receives it. With one JSON object per range
// the row took 24 KB.
func TestEncodedSize(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	const holders = 50
	members := make([]membership.Member, holders)
	for i := range members {
		instance := membership.NewInstance(fmt.Sprintf("instance-%d", i), "", fmt.Sprintf("10.1.0.%d:7600", i), identity.NewLocation("r", fmt.Sprintf("d%d", i%6)))
		members[i] = membership.RestoreMember(identity.Incarnation(rng.Uint64()), instance, 1, nil)
	}
	var a keyspace.Assignment
	for i, m := range members {
		row := membership.RestoreMember(m.Incarnation(), m.Instance(), 1, membership.ChooseWitnesses(m, members, 3))
		a = a.AddHolder(keyspace.NewHolder(row, keyspace.NewProcess(fmt.Sprintf("i-%08x", rng.Uint32()), 1_700_000_000_000), 12))
		is.Equal(len(a.Holders()), i+1)
	}
	a = a.AssignUnowned()
	for range 200 {
		r := a.Ranges()[rng.IntN(len(a.Ranges()))]
		a = a.StartMove(r.Owner(), r.Span, members[rng.IntN(holders)].Instance().Name())
		a = a.CompleteMoves(r.Owner(), []keyspace.ReleasedSpan{keyspace.NewReleasedSpan(r.Span, fmt.Sprintf("%016x", rng.Uint64()))})
	}
	data, err := a.Encode()
	is.NoErr(err)
	t.Logf("%d bytes for %d holders and %d ranges", len(data), holders, len(a.Ranges()))
	is.True(len(data) < 12_000)
	read, err := keyspace.Decode(data)
	is.NoErr(err)
	is.Equal(read, a)
}
