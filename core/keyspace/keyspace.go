// Package keyspace assigns the numbered keys of a service to the upstreams that
// own them. The table stores one Assignment per service. Each change returns a new
// Assignment, which takes effect when the table accepts it in place of the old one.
package keyspace

import (
	"slices"
	"strconv"

	"briarwell.dev/core/era"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
)

// Key is a numbered key of a service whose requests are routed by key.
type Key uint16

// LastKey is the largest key.
const LastKey Key = 65535

// Process identifies one run of an upstream. An upstream that restarts under the
// same ID is another process.
type Process struct {
	id              string
	startUnixMillis int64
}

// NewProcess returns the process of the upstream with the given ID and start time,
// in milliseconds since the Unix epoch.
func NewProcess(id string, startUnixMillis int64) Process {
	return Process{id: id, startUnixMillis: startUnixMillis}
}

// ID returns the upstream's ID.
func (p Process) ID() string { return p.id }

// StartUnixMillis returns the start time in milliseconds since the Unix epoch.
func (p Process) StartUnixMillis() int64 { return p.startUnixMillis }

// String returns "ID@START", with the start time in milliseconds.
func (p Process) String() string { return p.id + "@" + strconv.FormatInt(p.startUnixMillis, 10) }

// Holder is an upstream process that may own keys, together with the daemon on its
// instance, which holds the lease.
type Holder struct {
	member  membership.Member
	process Process
	slots   int
	leaving bool
	// moveGeneration counts the times that a move of the holder's keys was withdrawn. A
	// handover that was proposed before no longer applies then.
	moveGeneration uint64
}

// NewHolder returns a holder. The member gives the daemon's instance, incarnation
// and witnesses; slots is the number of requests that the upstream runs at once.
func NewHolder(member membership.Member, process Process, slots int) Holder {
	return Holder{member: member, process: process, slots: slots}
}

// Member returns the daemon that holds the lease, with its witnesses.
func (h Holder) Member() membership.Member { return h.member }

// InstanceName returns the name of the instance of daemon and upstream.
func (h Holder) InstanceName() string { return h.member.Instance().Name() }

// Process returns the upstream process that may own keys.
func (h Holder) Process() Process { return h.process }

// Slots returns the number of requests that the upstream runs at once.
func (h Holder) Slots() int { return h.slots }

// MoveGeneration returns how often a move of the holder's keys was withdrawn.
func (h Holder) MoveGeneration() uint64 { return h.moveGeneration }

// Leaving reports whether the upstream is giving up all its keys.
func (h Holder) Leaving() bool { return h.leaving }

// Span is a contiguous set of keys; both bounds are included.
type Span struct {
	first Key
	last  Key
}

// NewSpan returns the span of the keys from first to last, inclusive.
func NewSpan(first, last Key) Span { return Span{first: first, last: last} }

// First returns the first key.
func (s Span) First() Key { return s.first }

// Last returns the last key, which is part of the span.
func (s Span) Last() Key { return s.last }

// Contains reports whether the span includes the key.
func (s Span) Contains(k Key) bool { return s.first <= k && k <= s.last }

// Covers reports whether the span includes all keys of other.
func (s Span) Covers(other Span) bool { return s.first <= other.first && other.last <= s.last }

// Range is a span of keys with the same owner, epoch and next owner.
type Range struct {
	Span

	owner         string
	epoch         identity.Epoch
	nextOwner     string
	handoverToken string
}

// NewRange returns a range without an owner.
func NewRange(span Span, epoch identity.Epoch) Range { return Range{Span: span, epoch: epoch} }

// Owner returns the name of the owner's instance, "" if there is no owner.
func (r Range) Owner() string { return r.owner }

// Epoch returns the fencing token of the current owner.
func (r Range) Epoch() identity.Epoch { return r.epoch }

// NextOwner returns the name of the instance to which the keys are moving, "" if
// they stay.
func (r Range) NextOwner() string { return r.nextOwner }

// HandoverToken returns the token that the previous owner's upstream left for the
// upstream of the current owner, "" if there is none.
func (r Range) HandoverToken() string { return r.handoverToken }

// Assignment maps the keys of a service to their owners. It is immutable. The zero
// value has neither holders nor ranges.
type Assignment struct {
	epoch   identity.Epoch
	holders []Holder
	ranges  []Range
	// era, epochFloor and unsettled are as Era, EpochFloor and Settled return them.
	era        era.Era
	epochFloor identity.Epoch
	unsettled  bool
}

// Holders returns the holders sorted by instance name; callers must not change them.
func (a Assignment) Holders() []Holder { return a.holders }

// Ranges returns the ranges in ascending order; callers must not change them.
func (a Assignment) Ranges() []Range { return a.ranges }

// Epoch returns the highest epoch that any range has had.
func (a Assignment) Epoch() identity.Epoch { return a.epoch }

// Holder returns the holder on an instance, or false if there is none.
func (a Assignment) Holder(instance string) (Holder, bool) {
	i, ok := a.holderIndex(instance)
	if !ok {
		return Holder{}, false
	}
	return a.holders[i], true
}

// RangeOf returns the range of a key, or false before the keys are first assigned.
func (a Assignment) RangeOf(k Key) (Range, bool) {
	i, _ := slices.BinarySearchFunc(a.ranges, k, func(r Range, k Key) int { return int(r.last) - int(k) })
	if i == len(a.ranges) {
		return Range{}, false
	}
	return a.ranges[i], true
}

// OwnedBy returns the ranges that an instance owns, in ascending order.
func (a Assignment) OwnedBy(instance string) []Range {
	var owned []Range
	for _, r := range a.ranges {
		if r.owner == instance {
			owned = append(owned, r)
		}
	}
	return owned
}

func (a Assignment) holderIndex(instance string) (int, bool) {
	return slices.BinarySearchFunc(a.holders, instance, func(h Holder, instance string) int {
		switch {
		case h.InstanceName() < instance:
			return -1
		case h.InstanceName() > instance:
			return 1
		default:
			return 0
		}
	})
}

func (a Assignment) clone() Assignment {
	a.holders, a.ranges = slices.Clone(a.holders), slices.Clone(a.ranges)
	return a
}

// WithoutHandoverToken returns a copy of the range without its handover token.
func (r Range) WithoutHandoverToken() Range {
	r.handoverToken = ""
	return r
}

// MergeAdjacent joins adjacent ranges with the same owner, epoch and next owner and
// without a handover token. The ranges must be in ascending order.
func MergeAdjacent(ranges []Range) []Range { return Assignment{ranges: ranges}.mergeAdjacent().ranges }
