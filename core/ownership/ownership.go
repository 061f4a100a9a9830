// Package ownership holds the owners and epochs of shards and hot keys.
package ownership

import (
	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
)

// GroupSize is the number of consecutive shards in one row: a change of one
// shard rewrites and spreads one small row.
const GroupSize = 32

// Unit is a shard, or a hot key that is owned apart from its shard.
type Unit struct {
	shard  shard.ID
	hotKey string
}

// NewUnit returns the unit of a shard, or of a hot key if it is not "".
func NewUnit(id shard.ID, hotKey string) Unit { return Unit{shard: id, hotKey: hotKey} }

// Shard returns the shard, or the hot key's shard.
func (u Unit) Shard() shard.ID { return u.shard }

// HotKey returns the hot key, "" for the shard itself.
func (u Unit) HotKey() string { return u.hotKey }

// Entry is the ownership of one unit. The zero value is unowned.
type Entry struct {
	owner  identity.Incarnation
	epoch  identity.Epoch
	lapsed bool
}

// NewEntry returns an entry. Lapsed says that the last owner was replaced and
// did not hand over.
func NewEntry(owner identity.Incarnation, epoch identity.Epoch, lapsed bool) Entry {
	return Entry{owner: owner, epoch: epoch, lapsed: lapsed}
}

// Owner returns the owner, 0 if there is none.
func (e Entry) Owner() identity.Incarnation { return e.owner }

// Epoch returns the epoch of the owner.
func (e Entry) Epoch() identity.Epoch { return e.epoch }

// Lapsed tells whether the last owner was replaced and did not hand over.
func (e Entry) Lapsed() bool { return e.lapsed }

// Next returns the entry of the next owner, with the epoch raised by one.
func (e Entry) Next(owner identity.Incarnation, lapsed bool) Entry {
	return Entry{owner: owner, epoch: e.epoch + 1, lapsed: lapsed}
}
