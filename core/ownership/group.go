package ownership

import (
	"cmp"
	"maps"
	"slices"

	"briarwell.dev/core/shard"
)

// Group holds the entries of one row: GroupSize consecutive shards and the hot
// keys that hash to them. It is immutable. No unit of the zero value has an owner.
type Group struct {
	shards  []Entry
	hotKeys map[string]hotKeyEntry
}

type hotKeyEntry struct {
	shard shard.ID
	entry Entry
}

// Entry returns the entry of a unit. It returns the zero value for a hot key
// without an entry of its own.
func (g Group) Entry(unit Unit) Entry {
	if unit.hotKey != "" {
		return g.hotKeys[unit.hotKey].entry
	}
	if index := int(unit.shard % GroupSize); index < len(g.shards) {
		return g.shards[index]
	}
	return Entry{}
}

// WithEntry returns a copy of the group in which the unit has the given entry.
func (g Group) WithEntry(unit Unit, entry Entry) Group {
	if unit.hotKey != "" {
		hotKeys := maps.Clone(g.hotKeys)
		if hotKeys == nil {
			hotKeys = make(map[string]hotKeyEntry)
		}
		hotKeys[unit.hotKey] = hotKeyEntry{shard: unit.shard, entry: entry}
		return Group{shards: g.shards, hotKeys: hotKeys}
	}
	index := int(unit.shard % GroupSize)
	shards := make([]Entry, max(len(g.shards), index+1))
	copy(shards, g.shards)
	shards[index] = entry
	return Group{shards: shards, hotKeys: g.hotKeys}
}

// UnitEntry is a unit with its entry.
type UnitEntry struct {
	unit  Unit
	entry Entry
}

// Unit returns the unit.
func (u UnitEntry) Unit() Unit { return u.unit }

// Entry returns the unit's entry.
func (u UnitEntry) Entry() Entry { return u.entry }

// Units returns the units of the group and their entries: the shards in ascending
// order, then the hot keys in ascending order. The parameter number is the number
// of the group in its service.
func (g Group) Units(number int) []UnitEntry {
	units := make([]UnitEntry, 0, len(g.shards)+len(g.hotKeys))
	for index, entry := range g.shards {
		units = append(units, UnitEntry{unit: NewUnit(shard.ID(number*GroupSize+index), ""), entry: entry})
	}
	for key, e := range g.hotKeys {
		units = append(units, UnitEntry{unit: NewUnit(e.shard, key), entry: e.entry})
	}
	slices.SortFunc(units[len(g.shards):], func(a, b UnitEntry) int { return cmp.Compare(a.unit.hotKey, b.unit.hotKey) })
	return units
}
