package keyspace_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
)

// newHolder returns the holder of an upstream on an instance.
func newHolder(instance string, incarnation identity.Incarnation) keyspace.Holder {
	location := identity.NewLocation("r", "d")
	member := membership.RestoreMember(incarnation, membership.NewInstance(instance, "", "peer-"+instance, location), 1, []membership.Witness{})
	return keyspace.NewHolder(member, keyspace.NewProcess("u-"+instance, 1), 4)
}

// TestForEra guards against an epoch that may have been given out by a change that the store has lost.
func TestForEra(t *testing.T) {
	is := is.New(t)
	a := keyspace.Assignment{}.ForEra(2).AddHolder(newHolder("a", 1)).AddHolder(newHolder("b", 2)).AssignUnowned()
	is.True(a.Settled()) // in the first era
	// An assignment that was never written may be one that the store has lost.
	is.True(keyspace.Assignment{}.ForEra(3).EpochFloor() >= a.Epoch())
	is.True(!keyspace.Assignment{}.ForEra(3).Settled())
	lost := a
	for range 5000 { // far more than are made in some seconds
		lost = lost.StartMove("a", keyspace.NewSpan(0, 99), "b").CompleteMoves("a", []keyspace.ReleasedSpan{keyspace.NewReleasedSpan(keyspace.NewSpan(0, 99), "")})
		lost = lost.StartMove("b", keyspace.NewSpan(0, 99), "a").CompleteMoves("b", []keyspace.ReleasedSpan{keyspace.NewReleasedSpan(keyspace.NewSpan(0, 99), "")})
	}
	restored := a.ForEra(3)
	is.True(restored.EpochFloor() >= lost.Epoch())
	is.True(!restored.Settled())
	is.Equal(restored.ForEra(2).Era(), restored.Era()) // It does not go back.
	is.True(a.ForEra(4).EpochFloor() > restored.EpochFloor()+5000)
	// Two holders lose their keys to others: all get epochs above the floor.
	moved := restored.RemoveHolder("a")
	for _, r := range moved.Ranges() {
		before, _ := restored.RangeOf(r.First())
		is.True(before.Owner() == "b" || r.Epoch() > restored.EpochFloor())
	}
	reclaimed, changed := restored.Reclaim("b", func(r keyspace.Range) bool { return r.Contains(keyspace.LastKey) })
	is.True(changed)
	for _, r := range reclaimed.OwnedBy("b") {
		is.Equal(r.Epoch() > restored.EpochFloor(), !r.Contains(keyspace.LastKey))
	}
	_, changed = reclaimed.Reclaim("b", func(r keyspace.Range) bool { return r.Contains(keyspace.LastKey) })
	is.True(!changed)
}

// TestEraCodec guards against an assignment that loses its era on its way, whole or as a change, and
// against another encoding than that of earlier builds where the store reports no era.
func TestEraCodec(t *testing.T) {
	is := is.New(t)
	plain := keyspace.Assignment{}.AddHolder(newHolder("a", 1)).AssignUnowned()
	for _, a := range []keyspace.Assignment{plain, plain.ForEra(1), plain.ForEra(5), plain.ForEra(5).Settle()} {
		data, err := a.Encode()
		is.NoErr(err)
		is.Equal(keyspace.EraOf(data), a.Era())
		decoded, err := keyspace.Decode(data)
		is.NoErr(err)
		is.Equal(decoded, a)
		patched, err := plain.Patch(keyspace.Diff(plain, a))
		is.NoErr(err)
		is.Equal(patched, a)
	}
	data, err := plain.Encode()
	is.NoErr(err)
	is.True(data[0]&7 != 7) // compressed data, without a marker
	_, err = keyspace.Decode([]byte{7})
	is.True(err != nil)
}
