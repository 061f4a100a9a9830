package keyspace

import (
	"encoding/binary"

	"briarwell.dev/core/era"
	"briarwell.dev/core/identity"
)

const (
	// epochsPerEra is the distance between the first epochs of two consecutive eras. A store that
	// comes back from an older copy loses some seconds, and fewer changes than this.
	epochsPerEra = 1 << 20
	// maxEraGap bounds the number of eras that are counted, so that epochs stay far below 2^53.
	maxEraGap = 1 << 20
)

// Era returns the era of the store for which the assignment was written, 0 if the store reports none.
func (a Assignment) Era() era.Era { return a.era }

// EpochFloor returns the highest epoch that may have been given out before the assignment's era. The
// store may have lost the change that gave it out.
func (a Assignment) EpochFloor() identity.Epoch { return a.epochFloor }

// Settled reports whether no owner can be left whose keys were assigned by a change that the store
// has lost.
func (a Assignment) Settled() bool { return !a.unsettled }

// Settle returns the assignment as settled.
func (a Assignment) Settle() Assignment {
	a.unsettled = false
	return a
}

// ForEra returns the assignment as the base of changes in an era. In a later era than its own, all
// new epochs are higher than any that was given out before, also by changes that the store has lost,
// and the assignment is not settled.
func (a Assignment) ForEra(e era.Era) Assignment {
	if e <= a.era {
		return a
	}
	gap, first := e-a.era, false
	if a.era == 0 {
		// It was never written, or by a build that did not record the era, or the store has lost it. The
		// first era that a store reports is 0 or 1.
		gap, first = era.Era(min(e.Reported(), maxEraGap)), e.Reported() <= 1
	}
	floor := a.epoch + identity.Epoch(min(gap, maxEraGap))*epochsPerEra
	a.unsettled = a.unsettled || !first
	a.era, a.epoch, a.epochFloor = e, floor, floor
	return a
}

// Reclaim gives the ranges of an instance that may have had another owner in a change that the store
// has lost a new epoch, except those for which keep returns true. It reports whether there are any.
// The caller must be certain that no other upstream holds the keys.
func (a Assignment) Reclaim(instance string, keep func(Range) bool) (Assignment, bool) {
	reclaimed := a.clone()
	reclaimed.epoch++
	changed := false
	for j := range reclaimed.ranges {
		if r := &reclaimed.ranges[j]; r.owner == instance && r.epoch <= a.epochFloor && !keep(*r) {
			r.epoch, r.handoverToken, changed = reclaimed.epoch, "", true
		}
	}
	if !changed {
		return a, false
	}
	return reclaimed, true
}

// eraMarker is the first byte of an encoded assignment that names its era. Compressed data never
// begins with it: it would be a block of a reserved type.
const eraMarker = 7

// appendEra appends the era and what depends on it.
func (a Assignment) appendEra(data []byte) []byte {
	unsettled := uint64(0)
	if a.unsettled {
		unsettled = 1
	}
	data = binary.AppendUvarint(data, uint64(a.era))
	data = binary.AppendUvarint(data, uint64(a.epochFloor))
	return binary.AppendUvarint(data, unsettled)
}

// readEra reads what appendEra appended.
func (c *columnReader) readEra(a *Assignment) {
	a.era, a.epochFloor, a.unsettled = era.Era(c.uvarint()), identity.Epoch(c.uvarint()), c.uvarint() != 0
}

// EraOf returns the era for which an encoded assignment was written, 0 if it names none.
func EraOf(data []byte) era.Era {
	if len(data) == 0 || data[0] != eraMarker {
		return 0
	}
	c := &columnReader{rest: data[1:]}
	return era.Era(c.uvarint())
}
