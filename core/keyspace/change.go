package keyspace

import (
	"cmp"
	"slices"
)

const (
	// rangesPerHolder is the number of ranges that each holder is dealt at first.
	// Adjacent busy keys then lie in ranges of several holders.
	rangesPerHolder = 64
	// MaxRanges bounds the ranges of one holder, so that its grants fit into the
	// answer to a report of 4 KiB with about 24 bytes each.
	MaxRanges = 150
)

// Released is a span that an upstream has given up.
type Released struct {
	Span

	handover string
}

// NewReleased returns a released span with what the upstream left for the next
// owner.
func NewReleased(span Span, handover string) Released {
	return Released{Span: span, handover: handover}
}

// Handover returns what the upstream left for the next owner.
func (r Released) Handover() string { return r.handover }

// Join adds a holder or replaces the one of its instance. The keys of another
// life pass to the new one with a higher epoch: the old process has ended, as
// both have the same address.
func (d Division) Join(h Holder) Division {
	d = d.clone()
	i, known := d.position(h.Name())
	if !known {
		d.holders = slices.Insert(d.holders, i, h)
		return d
	}
	old := d.holders[i]
	d.holders[i] = h
	if old.life == h.life {
		d.holders[i].leaving = old.leaving
		return d
	}
	d.epoch++
	for j := range d.ranges {
		if d.ranges[j].owner == h.Name() {
			d.ranges[j].epoch, d.ranges[j].handover, d.ranges[j].next = d.epoch, "", ""
		}
	}
	return d
}

// Leave marks the holder of an instance as leaving and names the next owners of
// its keys. Without another holder the keys stay until it is dropped.
func (d Division) Leave(name string) Division {
	d = d.clone()
	i, ok := d.position(name)
	if !ok {
		return d
	}
	d.holders[i].leaving = true
	t := d.takers()
	for j := range d.ranges {
		if d.ranges[j].owner != name {
			continue
		}
		if next, ok := t.next(); ok {
			d.ranges[j].next = next
		}
	}
	return d
}

// Drop removes a holder that certainly holds nothing any more. Its keys go to
// the others at once.
func (d Division) Drop(name string) Division {
	d = d.clone()
	i, ok := d.position(name)
	if !ok {
		return d
	}
	d.holders = slices.Delete(d.holders, i, i+1)
	for j := range d.ranges {
		r := &d.ranges[j]
		if r.owner == name {
			r.owner, r.next, r.handover = "", "", ""
		}
		if r.next == name {
			r.next = ""
		}
	}
	return d.Deal()
}

// Deal gives the keys without an owner to the holders with the fewest ranges.
// The first deal divides all keys by turns.
func (d Division) Deal() Division {
	d = d.clone()
	t := d.takers()
	if len(d.ranges) == 0 && len(t.names) > 0 {
		d.ranges = equalRanges(len(t.names) * rangesPerHolder)
	}
	epoch := d.epoch + 1
	dealt := false
	for j := range d.ranges {
		r := &d.ranges[j]
		if r.owner != "" {
			continue
		}
		name, ok := t.next()
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

// Undealt tells whether there are keys that Deal would give to a holder.
func (d Division) Undealt() bool {
	t := d.takers()
	if len(t.names) == 0 || t.counts[t.poorest()] >= MaxRanges {
		return false
	}
	if len(d.ranges) == 0 {
		return true
	}
	return slices.ContainsFunc(d.ranges, func(r Range) bool { return r.owner == "" })
}

// Move names the next owner of the parts of a holder's ranges that lie in span.
// A next owner that is no holder or leaves changes nothing.
func (d Division) Move(name string, span Span, next string) Division {
	if h, ok := d.Holder(next); !ok || h.leaving {
		return d
	}
	d = d.clone().split(span)
	for j := range d.ranges {
		if r := &d.ranges[j]; r.owner == name && span.Covers(r.Span) && next != name {
			r.next = next
		}
	}
	return d
}

// Handed gives the released spans of an instance that were moving to their next
// owners. A next owner that has gone is replaced by another holder.
func (d Division) Handed(name string, released []Released) Division {
	d = d.clone()
	for _, s := range released {
		d = d.split(s.Span)
	}
	t := d.takers()
	epoch := d.epoch + 1
	changed := false
	for j := range d.ranges {
		r := &d.ranges[j]
		if r.owner != name || r.next == "" {
			continue
		}
		i := slices.IndexFunc(released, func(s Released) bool { return s.Covers(r.Span) })
		if i < 0 {
			continue
		}
		next := r.next
		if h, ok := d.Holder(next); !ok || h.leaving {
			if next, ok = t.next(); !ok {
				continue
			}
		}
		r.owner, r.next, r.epoch, r.handover, changed = next, "", epoch, released[i].handover, true
	}
	if changed {
		d.epoch = epoch
	}
	return d.merged()
}

// split cuts the ranges at both ends of a span.
func (d Division) split(span Span) Division {
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
		upper.handover = ""
		d.ranges[i].last, d.ranges[i].handover = Key(at-1), ""
		d.ranges = slices.Insert(d.ranges, i+1, upper)
	}
	return d
}

// merged joins neighbours that differ in nothing.
func (d Division) merged() Division {
	kept := d.ranges[:0]
	for _, r := range d.ranges {
		if n := len(kept); n > 0 {
			last := &kept[n-1]
			if int(last.last)+1 == int(r.first) && last.owner == r.owner && last.epoch == r.epoch && last.next == r.next && last.handover == "" && r.handover == "" {
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

// takers hands out keys to the holders that may take some, fewest ranges first.
type takers struct {
	names  []string
	counts map[string]int
}

func (d Division) takers() *takers {
	t := &takers{counts: make(map[string]int)}
	for _, h := range d.holders {
		if !h.leaving {
			t.names = append(t.names, h.Name())
		}
	}
	for _, r := range d.ranges {
		t.counts[cmp.Or(r.next, r.owner)]++
	}
	return t
}

// poorest returns the holder with the fewest ranges; there must be one.
func (t *takers) poorest() string {
	return slices.MinFunc(t.names, func(a, b string) int { return cmp.Compare(t.counts[a], t.counts[b]) })
}

func (t *takers) next() (string, bool) {
	if len(t.names) == 0 {
		return "", false
	}
	best := t.poorest()
	if t.counts[best] >= MaxRanges {
		return "", false
	}
	t.counts[best]++
	return best, true
}

// Even names new owners for ranges of the holders with the most, if another
// holder has less than a quarter of its share, as one that just joined. It gives
// that holder half of a share: its load shows what more it can take. It leaves
// ranges that move already, and tells whether it moved any.
func (d Division) Even() (Division, bool) {
	t := d.takers()
	if len(t.names) < 2 || len(d.ranges) == 0 {
		return d, false
	}
	fair := len(d.ranges) / len(t.names)
	if t.counts[t.poorest()]*4 >= fair {
		return d, false
	}
	d = d.clone()
	moved := false
	for j := range d.ranges {
		r := &d.ranges[j]
		poorest := t.poorest()
		if t.counts[poorest]*2 >= fair {
			break
		}
		if r.owner == "" || r.next != "" || t.counts[r.owner] <= fair {
			continue
		}
		t.counts[r.owner]--
		t.counts[poorest]++
		r.next, moved = poorest, true
	}
	return d, moved
}
