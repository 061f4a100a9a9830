// Package keyspace holds the division of a service's numbered keys among the
// upstreams that own them. A Division is what the table keeps; each change gives
// a new one, which takes effect when the table accepts it in place of the old.
package keyspace

import (
	"slices"
	"strconv"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
)

// Key is a key of a service that is divided by key.
type Key uint16

// LastKey is the largest key.
const LastKey Key = 65535

// Life is one start of an upstream process. An upstream that starts again under
// the same ID is another life.
type Life struct {
	id   string
	born int64
}

// NewLife returns the life of the upstream with the given ID that was started
// at born, in milliseconds since the Unix epoch.
func NewLife(id string, born int64) Life { return Life{id: id, born: born} }

// ID returns the upstream's ID.
func (l Life) ID() string { return l.id }

// Born returns the start in milliseconds since the Unix epoch.
func (l Life) Born() int64 { return l.born }

// String returns "ID@BORN".
func (l Life) String() string { return l.id + "@" + strconv.FormatInt(l.born, 10) }

// Holder is an upstream life that may own keys, with the lease of the daemon
// beside it.
type Holder struct {
	lease   membership.Member
	life    Life
	slots   int
	leaving bool
}

// NewHolder returns a holder. The lease names the daemon's instance, its
// incarnation and its witnesses.
func NewHolder(lease membership.Member, life Life, slots int) Holder {
	return Holder{lease: lease, life: life, slots: slots}
}

// Lease returns the row of the daemon's lease.
func (h Holder) Lease() membership.Member { return h.lease }

// Name returns the name of the instance.
func (h Holder) Name() string { return h.lease.Instance().Name() }

// Life returns the upstream life.
func (h Holder) Life() Life { return h.life }

// Slots returns how many requests the upstream runs at once.
func (h Holder) Slots() int { return h.slots }

// Leaving tells whether the upstream gives up all its keys.
func (h Holder) Leaving() bool { return h.leaving }

// Span is a range of keys, both ends included.
type Span struct {
	first Key
	last  Key
}

// NewSpan returns the keys from first to last.
func NewSpan(first, last Key) Span { return Span{first: first, last: last} }

// First returns the first key.
func (s Span) First() Key { return s.first }

// Last returns the last key, which belongs to the span.
func (s Span) Last() Key { return s.last }

// Contains tells whether the span has the key.
func (s Span) Contains(k Key) bool { return s.first <= k && k <= s.last }

// Covers tells whether the span has all keys of other.
func (s Span) Covers(other Span) bool { return s.first <= other.first && other.last <= s.last }

// Range is a span of keys with the same owner.
type Range struct {
	Span

	owner    string
	epoch    identity.Epoch
	next     string
	handover string
}

// NewRange returns a range whose owner is not named.
func NewRange(span Span, epoch identity.Epoch) Range { return Range{Span: span, epoch: epoch} }

// Owner returns the instance of the owner, "" if there is none.
func (r Range) Owner() string { return r.owner }

// Epoch returns the fencing token of the present owner.
func (r Range) Epoch() identity.Epoch { return r.epoch }

// Next returns the instance to which the keys are moving, "" if they stay.
func (r Range) Next() string { return r.next }

// Handover returns what the last owner's upstream left for that of the present
// owner, "" if nothing.
func (r Range) Handover() string { return r.handover }

// Division says who owns which keys of a service. The zero value has no keys.
// It is immutable.
type Division struct {
	epoch   identity.Epoch
	holders []Holder
	ranges  []Range
}

// Holders returns the holders by name; callers must not change them.
func (d Division) Holders() []Holder { return d.holders }

// Ranges returns the ranges in ascending order; callers must not change them.
func (d Division) Ranges() []Range { return d.ranges }

// Epoch returns the highest epoch that was given.
func (d Division) Epoch() identity.Epoch { return d.epoch }

// Holder returns the holder on an instance.
func (d Division) Holder(name string) (Holder, bool) {
	i, ok := d.position(name)
	if !ok {
		return Holder{}, false
	}
	return d.holders[i], true
}

// Find returns the range of a key, or false before the first deal.
func (d Division) Find(k Key) (Range, bool) {
	i, _ := slices.BinarySearchFunc(d.ranges, k, func(r Range, k Key) int { return int(r.last) - int(k) })
	if i == len(d.ranges) {
		return Range{}, false
	}
	return d.ranges[i], true
}

// Owned returns the ranges of an instance.
func (d Division) Owned(name string) []Range {
	var owned []Range
	for _, r := range d.ranges {
		if r.owner == name {
			owned = append(owned, r)
		}
	}
	return owned
}

func (d Division) position(name string) (int, bool) {
	return slices.BinarySearchFunc(d.holders, name, func(h Holder, name string) int {
		switch {
		case h.Name() < name:
			return -1
		case h.Name() > name:
			return 1
		default:
			return 0
		}
	})
}

func (d Division) clone() Division {
	d.holders, d.ranges = slices.Clone(d.holders), slices.Clone(d.ranges)
	return d
}

// WithoutHandover returns the range without what the last owner left.
func (r Range) WithoutHandover() Range {
	r.handover = ""
	return r
}

// Merge returns ascending ranges with neighbours joined that differ in nothing.
func Merge(ranges []Range) []Range { return Division{ranges: ranges}.merged().ranges }
