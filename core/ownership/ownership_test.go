package ownership_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
)

var service = identity.NewService("attire", "bookings")

func drawUnit(t *rapid.T) ownership.Unit {
	id := shard.ID(rapid.IntRange(0, 70).Draw(t, "shard"))
	return ownership.NewUnit(id, rapid.SampledFrom([]string{"", "", "hot"}).Draw(t, "hotKey"))
}

// TestChangeRoundTrip guards against a change that loses an entry, alters another one or
// writes to the wrong group. It encodes and commits random changes, decodes the rows
// and compares them with a model.
func TestChangeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var current ownership.Table
		model := map[ownership.Unit]ownership.Entry{}
		versions := map[string]table.Revision{}
		for revision := table.Revision(1); revision < 6; revision++ {
			change := ownership.NewChange(current)
			for range rapid.IntRange(0, 5).Draw(t, "changes") {
				u := drawUnit(t)
				if u.HotKey() != "" {
					u = ownership.NewUnit(5, u.HotKey()) // a key always hashes to the same shard
				}
				entry := current.Entry(service, u).Next(identity.Incarnation(rapid.IntRange(1, 9).Draw(t, "owner")), rapid.Bool().Draw(t, "lapsed"))
				change.Set(service, u, entry)
				model[u] = entry
			}
			conditions, mutations := change.Build()
			for i, m := range mutations {
				is.Equal(conditions[i], table.NewCondition(m.Key(), versions[m.Key()]))
				versions[m.Key()] = revision
				s, number, err := ownership.ParseKey(m.Key())
				is.NoErr(err)
				group, err := ownership.Decode(m.Key(), m.(table.Put).Value())
				is.NoErr(err)
				current = current.WithGroup(s, number, revision, group)
			}
		}
		counts := map[identity.Incarnation]int{}
		for u, entry := range model {
			is.Equal(current.Entry(service, u), entry)
			counts[entry.Owner()]++
		}
		for owner, count := range counts {
			is.Equal(len(current.OwnedBy(service, owner)), count)
		}
	})
}

// TestEntryForKey guards against a lookup that returns the shard's entry for a hot key,
// or the hot key's entry for another key of the shard.
func TestEntryForKey(t *testing.T) {
	is := is.New(t)
	change := ownership.NewChange(ownership.Table{})
	change.Set(service, ownership.NewUnit(33, ""), ownership.NewEntry(1, 1, false))
	change.Set(service, ownership.NewUnit(33, "hot"), ownership.NewEntry(2, 4, true))
	_, mutations := change.Build()
	group, err := ownership.Decode(mutations[0].Key(), mutations[0].(table.Put).Value())
	is.NoErr(err)
	owners := ownership.Table{}.WithGroup(service, 1, 9, group)
	for key, owner := range map[string]identity.Incarnation{"": 1, "cold": 1, "hot": 2} {
		_, entry := owners.EntryForKey(service, 33, key)
		is.Equal(entry.Owner(), owner)
	}
}

// TestDecodeRejectsInvalidRow guards against accepting a row with the key of another
// kind of row, a malformed key or a malformed value.
func TestDecodeRejectsInvalidRow(t *testing.T) {
	is := is.New(t)
	var failure *ownership.RowError
	for _, key := range []string{"member/1", "shards/a/b", "shards/a/b/x", "shards/a/b/-1"} {
		_, _, err := ownership.ParseKey(key)
		is.True(errors.As(err, &failure))
	}
	_, err := ownership.Decode("shards/a/b/0", []byte(`{"shards":[`))
	is.True(errors.As(err, &failure))
}
