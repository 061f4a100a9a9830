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

// Process is one start of an upstream process. An upstream that starts again under
// the same ID is another life.
type Process struct {
	id              string
	startUnixMillis int64
}

// NewProcess returns the life of the upstream with the given ID that was started
// at born, in milliseconds since the Unix epoch.
func NewProcess(id string, born int64) Process { return Process{id: id, startUnixMillis: born} }

// ID returns the upstream's ID.
func (l Process) ID() string { return l.id }

// StartUnixMillis returns the start in milliseconds since the Unix epoch.
func (l Process) StartUnixMillis() int64 { return l.startUnixMillis }

// String returns "ID@BORN".
func (l Process) String() string { return l.id + "@" + strconv.FormatInt(l.startUnixMillis, 10) }

// Holder is an upstream life that may own keys, with the lease of the daemon
// beside it.
type Holder struct {
	member  membership.Member
	process Process
	slots   int
	leaving bool
}

// NewHolder returns a holder. The lease names the daemon's instance, its
// incarnation and its witnesses.
func NewHolder(lease membership.Member, life Process, slots int) Holder {
	return Holder{member: lease, process: life, slots: slots}
}

// Member returns the row of the daemon's lease.
func (h Holder) Member() membership.Member { return h.member }

// InstanceName returns the name of the instance.
func (h Holder) InstanceName() string { return h.member.Instance().Name() }

// Process returns the upstream life.
func (h Holder) Process() Process { return h.process }

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

	owner         string
	epoch         identity.Epoch
	nextOwner     string
	handoverToken string
}

// NewRange returns a range whose owner is not named.
func NewRange(span Span, epoch identity.Epoch) Range { return Range{Span: span, epoch: epoch} }

// Owner returns the instance of the owner, "" if there is none.
func (r Range) Owner() string { return r.owner }

// Epoch returns the fencing token of the present owner.
func (r Range) Epoch() identity.Epoch { return r.epoch }

// NextOwner returns the instance to which the keys are moving, "" if they stay.
func (r Range) NextOwner() string { return r.nextOwner }

// HandoverToken returns what the last owner's upstream left for that of the present
// owner, "" if nothing.
func (r Range) HandoverToken() string { return r.handoverToken }

// Assignment says who owns which keys of a service. The zero value has no keys.
// It is immutable.
type Assignment struct {
	epoch   identity.Epoch
	holders []Holder
	ranges  []Range
}

// Holders returns the holders by name; callers must not change them.
func (d Assignment) Holders() []Holder { return d.holders }

// Ranges returns the ranges in ascending order; callers must not change them.
func (d Assignment) Ranges() []Range { return d.ranges }

// Epoch returns the highest epoch that was given.
func (d Assignment) Epoch() identity.Epoch { return d.epoch }

// Holder returns the holder on an instance.
func (d Assignment) Holder(name string) (Holder, bool) {
	i, ok := d.holderIndex(name)
	if !ok {
		return Holder{}, false
	}
	return d.holders[i], true
}

// RangeOf returns the range of a key, or false before the first deal.
func (d Assignment) RangeOf(k Key) (Range, bool) {
	i, _ := slices.BinarySearchFunc(d.ranges, k, func(r Range, k Key) int { return int(r.last) - int(k) })
	if i == len(d.ranges) {
		return Range{}, false
	}
	return d.ranges[i], true
}

// OwnedBy returns the ranges of an instance.
func (d Assignment) OwnedBy(name string) []Range {
	var owned []Range
	for _, r := range d.ranges {
		if r.owner == name {
			owned = append(owned, r)
		}
	}
	return owned
}

func (d Assignment) holderIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(d.holders, name, func(h Holder, name string) int {
		switch {
		case h.InstanceName() < name:
			return -1
		case h.InstanceName() > name:
			return 1
		default:
			return 0
		}
	})
}

func (d Assignment) clone() Assignment {
	d.holders, d.ranges = slices.Clone(d.holders), slices.Clone(d.ranges)
	return d
}

// WithoutHandoverToken returns the range without what the last owner left.
func (r Range) WithoutHandoverToken() Range {
	r.handoverToken = ""
	return r
}

// MergeAdjacent returns ascending ranges with neighbours joined that differ in nothing.
func MergeAdjacent(ranges []Range) []Range { return Assignment{ranges: ranges}.mergeAdjacent().ranges }
