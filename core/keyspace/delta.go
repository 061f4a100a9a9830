package keyspace

import (
	"encoding/binary"
	"errors"
	"slices"

	"briarwell.dev/core/identity"
)

// deltaFormat is the first byte of a delta, eraDeltaFormat that of one that names the era.
const (
	deltaFormat    = 1
	eraDeltaFormat = 2
)

// Diff returns the delta that Patch applies to the assignment before to get the assignment
// after. Its size follows the number of changed holders and ranges: an assignment of 100
// holders has 10 kB, and a move of one range changes 20 bytes of it.
func Diff(before, after Assignment) []byte {
	data := []byte{deltaFormat}
	if after.era > 0 {
		data = after.appendEra([]byte{eraDeltaFormat})
	}
	data = binary.AppendUvarint(data, uint64(after.epoch))
	data = appendHolderChanges(data, before, after)
	positions := make(map[string]uint64, len(after.holders))
	for i, h := range after.holders {
		positions[h.InstanceName()] = uint64(i + 1) //nolint:gosec // A position is not negative.
	}
	i, j, copied := 0, 0, 0
	for j < len(after.ranges) {
		if i < len(before.ranges) && before.ranges[i] == after.ranges[j] {
			i, j = i+1, j+1
			continue
		}
		first, inserted := i, j
		i, j = skipToCommonEnd(before.ranges, after.ranges, i, j)
		data = binary.AppendUvarint(data, uint64(first-copied)) //nolint:gosec // Not negative.
		data = binary.AppendUvarint(data, uint64(i-first))      //nolint:gosec // Not negative.
		data = binary.AppendUvarint(data, uint64(j-inserted))   //nolint:gosec // Not negative.
		for _, r := range after.ranges[inserted:j] {
			data = binary.AppendUvarint(data, uint64(r.last-r.first)+1)
			data = binary.AppendUvarint(data, positions[r.owner])
			data = binary.AppendUvarint(data, positions[r.nextOwner])
			data = binary.AppendVarint(data, int64(after.epoch)-int64(r.epoch)) //nolint:gosec // An epoch counts changes and stays far below 2^63.
			data = appendBytes(data, []byte(r.handoverToken))
		}
		copied = i
	}
	return data
}

// skipToCommonEnd returns the positions behind the next ranges that end at the same key.
// Both lists start at the same key at the given positions, unless before is empty.
func skipToCommonEnd(before, after []Range, i, j int) (int, int) {
	if len(before) == 0 {
		return 0, len(after)
	}
	beforeEnd, afterEnd := before[i].last, after[j].last
	i, j = i+1, j+1
	for beforeEnd != afterEnd {
		if beforeEnd < afterEnd {
			beforeEnd = before[i].last
			i++
		} else {
			afterEnd = after[j].last
			j++
		}
	}
	return i, j
}

// appendHolderChanges appends the names of the removed holders, and the added and changed
// ones.
func appendHolderChanges(data []byte, before, after Assignment) []byte {
	var removed []string
	for _, h := range before.holders {
		if _, ok := after.Holder(h.InstanceName()); !ok {
			removed = append(removed, h.InstanceName())
		}
	}
	var set []Holder
	for _, h := range after.holders {
		if old, ok := before.Holder(h.InstanceName()); !ok || !old.equal(h) {
			set = append(set, h)
		}
	}
	data = binary.AppendUvarint(data, uint64(len(removed)))
	for _, name := range removed {
		data = appendBytes(data, []byte(name))
	}
	data = binary.AppendUvarint(data, uint64(len(set)))
	for _, h := range set {
		data = h.appendColumns(data)
	}
	return data
}

// equal reports whether two holders have the same attributes.
func (h Holder) equal(other Holder) bool {
	return h.process == other.process && h.slots == other.slots && h.leaving == other.leaving && h.moveGeneration == other.moveGeneration &&
		h.member.Instance() == other.member.Instance() && h.member.Incarnation() == other.member.Incarnation() &&
		h.member.WitnessGeneration() == other.member.WitnessGeneration() && slices.Equal(h.member.Witnesses(), other.member.Witnesses())
}

var errInvalidDelta = errors.New("delta is truncated, invalid or of another assignment")

// Patch returns the assignment with a delta from Diff applied. The error is a *DecodeError;
// a delta of another assignment is not always recognised.
func (a Assignment) Patch(delta []byte) (Assignment, error) {
	if len(delta) == 0 || delta[0] != deltaFormat && delta[0] != eraDeltaFormat {
		return Assignment{}, &DecodeError{cause: errInvalidDelta}
	}
	c := &columnReader{rest: delta[1:]}
	var patched Assignment
	if delta[0] == eraDeltaFormat {
		c.readEra(&patched)
	}
	patched.epoch = identity.Epoch(c.uvarint())
	patched.holders = c.holderChanges(a.holders)
	if len(a.ranges) > 0 || len(c.rest) > 0 {
		patched.ranges = c.rangeChanges(a.ranges, patched)
	}
	if c.err == nil && len(patched.ranges) > 0 && patched.ranges[len(patched.ranges)-1].last != LastKey {
		c.err = errInvalidDelta
	}
	if c.err != nil {
		return Assignment{}, &DecodeError{cause: c.err}
	}
	return patched, nil
}

// holderChanges returns the holders with the changes that appendHolderChanges appended.
func (c *columnReader) holderChanges(holders []Holder) []Holder {
	patched := Assignment{holders: slices.Clone(holders)}
	for range c.count() {
		if i, ok := patched.holderIndex(string(c.bytes())); ok {
			patched.holders = slices.Delete(patched.holders, i, i+1)
		}
	}
	for range c.count() {
		h := c.holder()
		i, ok := patched.holderIndex(h.InstanceName())
		if ok {
			patched.holders[i] = h
			continue
		}
		patched.holders = slices.Insert(patched.holders, i, h)
	}
	return patched.holders
}

// rangeChanges returns the ranges with the changes that Diff appended; target has the
// holders and the epoch after the change.
func (c *columnReader) rangeChanges(before []Range, target Assignment) []Range {
	ranges := make([]Range, 0, len(before))
	i := 0
	for c.err == nil && len(c.rest) > 0 {
		copied, removed, inserted := c.uvarint(), c.uvarint(), c.count()
		if c.err != nil || copied > uint64(len(before)-i) || removed > uint64(len(before)-i)-copied { //nolint:gosec // i is at most the length.
			c.err = errInvalidDelta
			return nil
		}
		ranges = append(ranges, before[i:i+int(copied)]...) //nolint:gosec // Bounded by a length.
		i += int(copied + removed)                          //nolint:gosec // Bounded by a length.
		for range inserted {
			ranges = c.appendRange(ranges, target)
		}
	}
	ranges = append(ranges, before[i:]...)
	next := 0
	for _, r := range ranges {
		if int(r.first) != next {
			c.err = errInvalidDelta
			return nil
		}
		next = int(r.last) + 1
	}
	return ranges
}

// appendRange reads a range that follows the given ones.
func (c *columnReader) appendRange(ranges []Range, target Assignment) []Range {
	first := uint64(0)
	if n := len(ranges); n > 0 {
		first = uint64(ranges[n-1].last) + 1
	}
	length, owner, nextOwner := c.uvarint(), c.uvarint(), c.uvarint()
	epoch, token := int64(target.epoch)-c.varint(), c.bytes() //nolint:gosec // An epoch stays far below 2^63.
	if c.err != nil || length < 1 || length > uint64(LastKey)+1 || first+length > uint64(LastKey)+1 {
		c.err = errInvalidDelta
		return ranges
	}
	return append(ranges, Range{
		Span: NewSpan(Key(first), Key(first+length-1)), owner: target.instanceAt(owner), nextOwner: target.instanceAt(nextOwner),
		epoch: identity.Epoch(epoch), handoverToken: string(token), //nolint:gosec // It was encoded from an epoch.
	})
}
