package keyspace_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
)

// changeAtRandom returns the assignment after a random change.
func changeAtRandom(random *rand.Rand, a keyspace.Assignment, step int) keyspace.Assignment {
	pick := func() string {
		if len(a.Holders()) == 0 {
			return ""
		}
		return a.Holders()[random.IntN(len(a.Holders()))].InstanceName()
	}
	switch random.IntN(7) {
	case 0:
		name := string(rune('a' + random.IntN(20)))
		member := membership.RestoreMember(identity.Incarnation(step), membership.NewInstance(name, "", "p"+name, identity.NewLocation("r", "d")), uint64(step),
			[]membership.Witness{membership.NewWitness(identity.Incarnation(step+1), "w")})
		return a.AddHolder(keyspace.NewHolder(member, keyspace.NewProcess(name, int64(random.IntN(3))), 6))
	case 1:
		return a.MarkLeaving(pick())
	case 2:
		if random.IntN(3) == 0 {
			return a.RemoveHolder(pick())
		}
		return a
	case 3:
		return a.AssignUnowned()
	case 4:
		balanced, _ := a.BalanceRangeCounts()
		return balanced
	case 5:
		first := keyspace.Key(random.IntN(65000))
		return a.StartMove(pick(), keyspace.NewSpan(first, first+keyspace.Key(random.IntN(500))), pick())
	default:
		owner := pick()
		var released []keyspace.ReleasedSpan
		for _, r := range a.OwnedBy(owner) {
			if r.NextOwner() != "" && random.IntN(2) == 0 {
				released = append(released, keyspace.NewReleasedSpan(r.Span, "token"))
			}
		}
		return a.CompleteMoves(owner, released)
	}
}

// TestDiffAndPatch guards against sidecars that get changes as deltas and end with another
// assignment than the table has.
func TestDiffAndPatch(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7)) //nolint:gosec // The changes must repeat.
		var a keyspace.Assignment
		for step := range 150 {
			next := changeAtRandom(random, a, step)
			patched, err := a.Patch(keyspace.Diff(a, next))
			is.NoErr(err)
			want, err := next.Encode()
			is.NoErr(err)
			got, err := patched.Encode()
			is.NoErr(err)
			is.Equal(got, want)
			a = patched
		}
	}
}

// TestDeltaSize guards against deltas whose size follows the number of holders.
func TestDeltaSize(t *testing.T) {
	is := is.New(t)
	a := newLargeAssignment(115)
	full, err := a.Encode()
	is.NoErr(err)
	next := a
	for i := range 8 { // eight moves of one holder
		r := a.OwnedBy("instance-007")[i]
		next = next.StartMove(r.Owner(), r.Span, "instance-100")
	}
	delta := keyspace.Diff(a, next)
	t.Logf("row %d bytes, delta of eight moves %d bytes", len(full), len(delta))
	is.True(len(delta) < 200)
	is.True(len(keyspace.Diff(a, a)) < 10)
}

// FuzzPatch guards against a delta that stops the process, or leaves keys out.
func FuzzPatch(f *testing.F) {
	base := newLargeAssignment(3)
	f.Add(keyspace.Diff(base, base.MarkLeaving("instance-001")))
	f.Add(keyspace.Diff(keyspace.Assignment{}, base))
	f.Add(keyspace.Diff(base, base.RemoveHolder("instance-002")))
	f.Fuzz(func(t *testing.T, delta []byte) {
		for _, a := range []keyspace.Assignment{{}, base} {
			patched, err := a.Patch(delta)
			var rejected *keyspace.DecodeError
			if err != nil && !errors.As(err, &rejected) {
				t.Fatal(err)
			}
			next := 0
			for _, r := range patched.Ranges() {
				if int(r.First()) != next {
					t.Fatalf("range from key %d does not follow key %d", r.First(), next)
				}
				next = int(r.Last()) + 1
			}
			if next != 0 && next != int(keyspace.LastKey)+1 {
				t.Fatalf("ranges end at key %d", next)
			}
		}
	})
}
