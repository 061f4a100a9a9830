// Package ownership holds the owner and epoch of each shard and each hot key, and the
// codec of the rows that store them.
package ownership

import (
	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
)

// GroupSize is the number of consecutive shards in one row. It keeps rows small,
// since changing the owner of one shard rewrites and propagates the whole row.
const GroupSize = 32

// Unit is the unit of ownership: a shard, or a hot key that is owned separately
// from its shard.
type Unit struct {
	shard  shard.ID
	hotKey string
}

// NewUnit returns the unit of a shard if hotKey is "", or else that of the hot
// key, whose shard is id.
func NewUnit(id shard.ID, hotKey string) Unit { return Unit{shard: id, hotKey: hotKey} }

// Shard returns the shard. For a hot key it is the shard that the key hashes to.
func (u Unit) Shard() shard.ID { return u.shard }

// HotKey returns the hot key, or "" if the unit is a shard.
func (u Unit) HotKey() string { return u.hotKey }

// Entry is the ownership of one unit. The zero value has no owner.
type Entry struct {
	owner  identity.Incarnation
	epoch  identity.Epoch
	lapsed bool
}

// NewEntry returns an entry. The parameter lapsed is set if the previous owner was
// replaced without a handover.
func NewEntry(owner identity.Incarnation, epoch identity.Epoch, lapsed bool) Entry {
	return Entry{owner: owner, epoch: epoch, lapsed: lapsed}
}

// Owner returns the owner, or 0 if there is none.
func (e Entry) Owner() identity.Incarnation { return e.owner }

// Epoch returns the epoch of the owner.
func (e Entry) Epoch() identity.Epoch { return e.epoch }

// Lapsed reports whether the previous owner was replaced without a handover.
func (e Entry) Lapsed() bool { return e.lapsed }

// Next returns the entry that follows e: it names the given owner and increments
// the epoch.
func (e Entry) Next(owner identity.Incarnation, lapsed bool) Entry {
	return Entry{owner: owner, epoch: e.epoch + 1, lapsed: lapsed}
}
