package keyspace

import (
	"cmp"
	"slices"
)

const (
	// initialRangesPerHolder is the number of ranges that each holder is dealt at first.
	// Adjacent busy keys then lie in ranges of several holders.
	initialRangesPerHolder = 64
	// MaxRangesPerHolder bounds the ranges of one holder, so that its grants fit into the
	// answer to a report of 4 KiB with about 24 bytes each.
	MaxRangesPerHolder = 150
)

// ReleasedSpan is a span that an upstream has given up.
type ReleasedSpan struct {
	Span

	handoverToken string
}

// NewReleasedSpan returns a released span with what the upstream left for the next
// owner.
func NewReleasedSpan(span Span, handover string) ReleasedSpan {
	return ReleasedSpan{Span: span, handoverToken: handover}
}

// HandoverToken returns what the upstream left for the next owner.
func (r ReleasedSpan) HandoverToken() string { return r.handoverToken }

// AddHolder adds a holder or replaces the one of its instance. The keys of another
// life pass to the new one with a higher epoch: the old process has ended, as
// both have the same address.
func (d Assignment) AddHolder(h Holder) Assignment {
	d = d.clone()
	i, known := d.holderIndex(h.InstanceName())
	if !known {
		d.holders = slices.Insert(d.holders, i, h)
		return d
	}
	old := d.holders[i]
	d.holders[i] = h
	if old.process == h.process {
		d.holders[i].leaving = old.leaving
		return d
	}
	d.epoch++
	for j := range d.ranges {
		if d.ranges[j].owner == h.InstanceName() {
			d.ranges[j].epoch, d.ranges[j].handoverToken, d.ranges[j].nextOwner = d.epoch, "", ""
		}
	}
	return d
}

// MarkLeaving marks the holder of an instance as leaving and names the next owners of
// its keys. Without another holder the keys stay until it is dropped.
func (d Assignment) MarkLeaving(name string) Assignment {
	d = d.clone()
	i, ok := d.holderIndex(name)
	if !ok {
		return d
	}
	d.holders[i].leaving = true
	t := d.newRangeAssigner()
	for j := range d.ranges {
		if d.ranges[j].owner != name {
			continue
		}
		if next, ok := t.pickHolder(); ok {
			d.ranges[j].nextOwner = next
		}
	}
	return d
}

// RemoveHolder removes a holder that certainly holds nothing any more. Its keys go to
// the others at once.
func (d Assignment) RemoveHolder(name string) Assignment {
	d = d.clone()
	i, ok := d.holderIndex(name)
	if !ok {
		return d
	}
	d.holders = slices.Delete(d.holders, i, i+1)
	for j := range d.ranges {
		r := &d.ranges[j]
		if r.owner == name {
			r.owner, r.nextOwner, r.handoverToken = "", "", ""
		}
		if r.nextOwner == name {
			r.nextOwner = ""
		}
	}
	return d.AssignUnowned()
}

// AssignUnowned gives the keys without an owner to the holders with the fewest ranges.
// The first deal divides all keys by turns.
func (d Assignment) AssignUnowned() Assignment {
	d = d.clone()
	t := d.newRangeAssigner()
	if len(d.ranges) == 0 && len(t.holders) > 0 {
		d.ranges = equalRanges(len(t.holders) * initialRangesPerHolder)
	}
	epoch := d.epoch + 1
	dealt := false
	for j := range d.ranges {
		r := &d.ranges[j]
		if r.owner != "" {
			continue
		}
		name, ok := t.pickHolder()
		if !ok {
			break
		}
		r.owner, r.epoch, dealt = name, epoch, true
	}
	if dealt {
		d.epoch = epoch
	}
	return d
}

// CanAssignUnowned tells whether there are keys that Deal would give to a holder.
func (d Assignment) CanAssignUnowned() bool {
	t := d.newRangeAssigner()
	if len(t.holders) == 0 || t.rangeCounts[t.leastLoaded()] >= MaxRangesPerHolder {
		return false
	}
	if len(d.ranges) == 0 {
		return true
	}
	return slices.ContainsFunc(d.ranges, func(r Range) bool { return r.owner == "" })
}

// StartMove names the next owner of the parts of a holder's ranges that lie in span.
// A next owner that is no holder or leaves changes nothing.
func (d Assignment) StartMove(name string, span Span, next string) Assignment {
	if h, ok := d.Holder(next); !ok || h.leaving {
		return d
	}
	d = d.clone().splitAtBounds(span)
	for j := range d.ranges {
		if r := &d.ranges[j]; r.owner == name && span.Covers(r.Span) && next != name {
			r.nextOwner = next
		}
	}
	return d
}

// CompleteMoves gives the released spans of an instance that were moving to their next
// owners. A next owner that has gone is replaced by another holder.
func (d Assignment) CompleteMoves(name string, released []ReleasedSpan) Assignment {
	d = d.clone()
	for _, s := range released {
		d = d.splitAtBounds(s.Span)
	}
	t := d.newRangeAssigner()
	epoch := d.epoch + 1
	changed := false
	for j := range d.ranges {
		r := &d.ranges[j]
		if r.owner != name || r.nextOwner == "" {
			continue
		}
		i := slices.IndexFunc(released, func(s ReleasedSpan) bool { return s.Covers(r.Span) })
		if i < 0 {
			continue
		}
		next := r.nextOwner
		if h, ok := d.Holder(next); !ok || h.leaving {
			if next, ok = t.pickHolder(); !ok {
				continue
			}
		}
		r.owner, r.nextOwner, r.epoch, r.handoverToken, changed = next, "", epoch, released[i].handoverToken, true
	}
	if changed {
		d.epoch = epoch
	}
	return d.mergeAdjacent()
}

// splitAtBounds cuts the ranges at both ends of a span.
func (d Assignment) splitAtBounds(span Span) Assignment {
	for _, at := range []int{int(span.first), int(span.last) + 1} {
		if at > int(LastKey) {
			continue
		}
		i := slices.IndexFunc(d.ranges, func(r Range) bool { return r.Contains(Key(at)) })
		if i < 0 || int(d.ranges[i].first) == at {
			continue
		}
		upper := d.ranges[i]
		upper.first = Key(at)
		// Only the upstream that released the whole range knows its handover.
		upper.handoverToken = ""
		d.ranges[i].last, d.ranges[i].handoverToken = Key(at-1), ""
		d.ranges = slices.Insert(d.ranges, i+1, upper)
	}
	return d
}

// mergeAdjacent joins neighbours that differ in nothing.
func (d Assignment) mergeAdjacent() Assignment {
	kept := d.ranges[:0]
	for _, r := range d.ranges {
		if n := len(kept); n > 0 {
			last := &kept[n-1]
			if int(last.last)+1 == int(r.first) && last.owner == r.owner && last.epoch == r.epoch && last.nextOwner == r.nextOwner && last.handoverToken == "" && r.handoverToken == "" {
				last.last = r.last
				continue
			}
		}
		kept = append(kept, r)
	}
	d.ranges = kept
	return d
}

func equalRanges(count int) []Range {
	ranges := make([]Range, 0, count)
	total := int(LastKey) + 1
	for i := range count {
		ranges = append(ranges, Range{Span: NewSpan(Key(i*total/count), Key((i+1)*total/count-1))})
	}
	return ranges
}

// rangeAssigner hands out keys to the holders that may take some, fewest ranges first.
type rangeAssigner struct {
	holders     []string
	rangeCounts map[string]int
}

func (d Assignment) newRangeAssigner() *rangeAssigner {
	t := &rangeAssigner{rangeCounts: make(map[string]int)}
	for _, h := range d.holders {
		if !h.leaving {
			t.holders = append(t.holders, h.InstanceName())
		}
	}
	for _, r := range d.ranges {
		t.rangeCounts[cmp.Or(r.nextOwner, r.owner)]++
	}
	return t
}

// leastLoaded returns the holder with the fewest ranges; there must be one.
func (t *rangeAssigner) leastLoaded() string {
	return slices.MinFunc(t.holders, func(a, b string) int { return cmp.Compare(t.rangeCounts[a], t.rangeCounts[b]) })
}

func (t *rangeAssigner) pickHolder() (string, bool) {
	if len(t.holders) == 0 {
		return "", false
	}
	best := t.leastLoaded()
	if t.rangeCounts[best] >= MaxRangesPerHolder {
		return "", false
	}
	t.rangeCounts[best]++
	return best, true
}

// BalanceRangeCounts names new owners for ranges of the holders with the most, if another
// holder has less than a quarter of its share, as one that just joined. It gives
// that holder half of a share: its load shows what more it can take. It leaves
// ranges that move already, and tells whether it moved any.
func (d Assignment) BalanceRangeCounts() (Assignment, bool) {
	t := d.newRangeAssigner()
	if len(t.holders) < 2 || len(d.ranges) == 0 {
		return d, false
	}
	fair := len(d.ranges) / len(t.holders)
	if t.rangeCounts[t.leastLoaded()]*4 >= fair {
		return d, false
	}
	d = d.clone()
	moved := false
	for j := range d.ranges {
		r := &d.ranges[j]
		poorest := t.leastLoaded()
		if t.rangeCounts[poorest]*2 >= fair {
			break
		}
		if r.owner == "" || r.nextOwner != "" || t.rangeCounts[r.owner] <= fair {
			continue
		}
		t.rangeCounts[r.owner]--
		t.rangeCounts[poorest]++
		r.nextOwner, moved = poorest, true
	}
	return d, moved
}
