package keyspace

import (
	"cmp"
	"slices"

	"briarwell.dev/core/identity"
)

const (
	// initialRangesPerHolder is the number of ranges per holder in the first
	// assignment. It is high so that adjacent busy keys belong to several holders.
	initialRangesPerHolder = 64
	// minRangesPerHolder is the mean number of ranges per holder below which ranges are split
	// before they are balanced: with fewer, a quarter of the mean is no whole range.
	minRangesPerHolder = 4
	// MaxRangesPerHolder bounds the ranges of one holder, so that its grants of about
	// 24 bytes each fit into the 4 KiB of an answer to a report.
	MaxRangesPerHolder = 150
	// alignedRanges is the number of ranges of a holder from which a further one gets the epoch
	// of an adjacent one if that is higher than its own. Both then take one row of the grant.
	alignedRanges = 100
)

// ReleasedSpan is a span of keys that an upstream has given up.
type ReleasedSpan struct {
	Span

	handoverToken string
}

// NewReleasedSpan returns a released span with the token that the upstream left for
// the next owner.
func NewReleasedSpan(span Span, token string) ReleasedSpan {
	return ReleasedSpan{Span: span, handoverToken: token}
}

// HandoverToken returns the token that the upstream left for the next owner.
func (r ReleasedSpan) HandoverToken() string { return r.handoverToken }

// AddHolder adds a holder, or replaces the one on its instance. The keys of another
// process pass to the new one under a higher epoch: the old process has ended, as
// both have the same address.
func (a Assignment) AddHolder(h Holder) Assignment {
	a = a.clone()
	i, known := a.holderIndex(h.InstanceName())
	if !known {
		a.holders = slices.Insert(a.holders, i, h)
		return a
	}
	old := a.holders[i]
	a.holders[i] = h
	a.holders[i].moveGeneration = old.moveGeneration
	if old.process == h.process {
		a.holders[i].leaving = old.leaving
		return a
	}
	a.epoch++
	for j := range a.ranges {
		if a.ranges[j].owner == h.InstanceName() {
			a.ranges[j].epoch, a.ranges[j].handoverToken, a.ranges[j].nextOwner = a.epoch, "", ""
		}
	}
	return a
}

// MarkLeaving marks the holder on an instance as leaving and sets the next owners of
// its keys. Moves to holders that stay are kept. If no other holder can take the keys, they
// stay until it is removed or MarkLeaving is called again.
func (a Assignment) MarkLeaving(instance string) Assignment {
	a = a.clone()
	i, ok := a.holderIndex(instance)
	if !ok {
		return a
	}
	a.holders[i].leaving = true
	ra := a.newRangeAssigner()
	withdrawn := false
	for j := range a.ranges {
		r := &a.ranges[j]
		if r.owner != instance || a.isStaying(r.nextOwner) {
			continue
		}
		nextOwner, found := ra.pickHolder()
		withdrawn = withdrawn || !found && r.nextOwner != ""
		r.nextOwner = nextOwner
	}
	a.spreadRest(instance)
	if withdrawn {
		a.holders[i].moveGeneration++
	}
	return a
}

// spreadRest sets the next owners of the ranges of an instance that have none because the other
// holders have MaxRangesPerHolder ranges each, as when most holders leave. They get the ranges
// next to those that move to them, which take no further row of the grant, and others as long as
// the rows, not the ranges, are below that limit.
func (a Assignment) spreadRest(instance string) {
	rows := a.grantRows()
	for {
		first := -1
		for found := true; found; {
			// Each range with a next owner may give one to the ranges on both sides.
			found, first = false, -1
			for j := range a.ranges {
				r := &a.ranges[j]
				if r.owner != instance || r.nextOwner != "" {
					continue
				}
				r.nextOwner = a.adjacentTaker(j)
				found = found || r.nextOwner != ""
				if first < 0 && r.nextOwner == "" {
					first = j
				}
			}
		}
		holder := a.fewestRows(rows)
		if first < 0 || holder == "" {
			return
		}
		a.ranges[first].nextOwner = holder
		rows[holder]++
	}
}

// grantRows returns the number of rows in the grant of each holder once all moves are completed.
// Adjacent ranges of one holder take one row if they have the same epoch then.
func (a Assignment) grantRows() map[string]int {
	rows := make(map[string]int, len(a.holders))
	for j := range a.ranges {
		taker := cmp.Or(a.ranges[j].nextOwner, a.ranges[j].owner)
		if j == 0 || !a.sharesRow(a.ranges[j-1], a.ranges[j]) {
			rows[taker]++
		}
	}
	return rows
}

// sharesRow reports whether two adjacent ranges take one row of a grant once their moves are
// completed.
func (a Assignment) sharesRow(x, y Range) bool {
	switch {
	case cmp.Or(x.nextOwner, x.owner) != cmp.Or(y.nextOwner, y.owner):
		return false
	case x.nextOwner != "" && y.nextOwner != "":
		return true
	case x.nextOwner != "":
		return y.epoch > x.epoch
	case y.nextOwner != "":
		return x.epoch > y.epoch
	default:
		return x.epoch == y.epoch
	}
}

// fewestRows returns the holder with the fewest rows among those that stay and have less than
// MaxRangesPerHolder, "" if there is none.
func (a Assignment) fewestRows(rows map[string]int) string {
	best := ""
	for _, h := range a.holders {
		if name := h.InstanceName(); !h.leaving && rows[name] < MaxRangesPerHolder && (best == "" || rows[name] < rows[best]) {
			best = name
		}
	}
	return best
}

// adjacentTaker returns the holder to which a range can move without a further row in its grant:
// one to which an adjacent range moves, or has moved under a higher epoch. It returns "" if there
// is none.
func (a Assignment) adjacentTaker(j int) string {
	for _, k := range []int{j - 1, j + 1} {
		if k < 0 || k >= len(a.ranges) {
			continue
		}
		neighbour := a.ranges[k]
		if a.isStaying(neighbour.nextOwner) {
			return neighbour.nextOwner
		}
		if neighbour.nextOwner == "" && neighbour.epoch > a.ranges[j].epoch && a.isStaying(neighbour.owner) {
			return neighbour.owner
		}
	}
	return ""
}

// epochAt returns the epoch under which a range moves to a holder. It is the new one, or that of
// an adjacent range of the holder if that is higher than the one of the range: each key still has
// a higher epoch with each owner.
func (a Assignment) epochAt(j int, holder string, newEpoch identity.Epoch) identity.Epoch {
	for _, k := range []int{j - 1, j + 1} {
		if k < 0 || k >= len(a.ranges) {
			continue
		}
		if neighbour := a.ranges[k]; neighbour.owner == holder && neighbour.nextOwner == "" && neighbour.epoch > max(a.ranges[j].epoch, a.epochFloor) {
			return neighbour.epoch
		}
	}
	return newEpoch
}

// CancelLeaving makes a leaving holder one that stays. Its keys go on moving to their next
// owners: its upstream may have released them already.
func (a Assignment) CancelLeaving(instance string) Assignment {
	a = a.clone()
	if i, ok := a.holderIndex(instance); ok {
		a.holders[i].leaving = false
	}
	return a
}

// LacksNextOwners reports whether MarkLeaving would change the next owners of a holder that is
// leaving: another holder can take keys that have none, or a next owner is leaving too.
func (a Assignment) LacksNextOwners(instance string) bool {
	if h, ok := a.Holder(instance); !ok || !h.leaving {
		return false
	}
	without := false
	for j, r := range a.ranges {
		if r.owner != instance {
			continue
		}
		if r.nextOwner != "" && !a.isStaying(r.nextOwner) || r.nextOwner == "" && a.adjacentTaker(j) != "" {
			return true
		}
		without = without || r.nextOwner == ""
	}
	if !without {
		return false
	}
	return a.fewestRows(a.grantRows()) != ""
}

// isStaying reports whether there is a holder on the instance that is not leaving.
func (a Assignment) isStaying(instance string) bool {
	h, ok := a.Holder(instance)
	return ok && !h.leaving
}

// RemoveHolder removes the holder on an instance and assigns its keys to the other
// holders at once. The caller must be certain that the holder's upstream holds no keys.
func (a Assignment) RemoveHolder(instance string) Assignment {
	a = a.clone()
	i, ok := a.holderIndex(instance)
	if !ok {
		return a
	}
	a.holders = slices.Delete(a.holders, i, i+1)
	withdrawn := make(map[string]bool)
	for j := range a.ranges {
		r := &a.ranges[j]
		if r.owner == instance {
			r.owner, r.nextOwner, r.handoverToken = "", "", ""
		}
		if r.nextOwner == instance {
			r.nextOwner = ""
			withdrawn[r.owner] = true
		}
	}
	for j := range a.holders {
		if withdrawn[a.holders[j].InstanceName()] {
			a.holders[j].moveGeneration++
		}
	}
	return a.AssignUnowned()
}

// AssignUnowned assigns ranges without an owner to the holders with the fewest
// ranges. The first call splits all keys into equal ranges and assigns them in turn.
func (a Assignment) AssignUnowned() Assignment {
	a = a.clone()
	ra := a.newRangeAssigner()
	if len(a.ranges) == 0 && len(ra.holders) > 0 {
		a.ranges = equalRanges(len(ra.holders) * initialRangesPerHolder)
	}
	epoch := a.epoch + 1
	assigned := false
	for j := range a.ranges {
		r := &a.ranges[j]
		if r.owner != "" {
			continue
		}
		instance, ok := ra.pickHolder()
		if !ok {
			break
		}
		r.owner, r.epoch, assigned = instance, epoch, true
	}
	if assigned {
		a.epoch = epoch
	}
	return a
}

// CanAssignUnowned reports whether AssignUnowned would assign any keys.
func (a Assignment) CanAssignUnowned() bool {
	if len(a.ranges) > 0 && !slices.ContainsFunc(a.ranges, func(r Range) bool { return r.owner == "" }) {
		return false // The usual case, without a count of all ranges.
	}
	ra := a.newRangeAssigner()
	return len(ra.holders) > 0 && ra.rangeCounts[ra.leastLoaded()] < MaxRangesPerHolder
}

// StartMove sets the next owner of the keys in span that an instance owns. It changes
// nothing if the next owner is not a holder or is leaving.
func (a Assignment) StartMove(instance string, span Span, nextOwner string) Assignment {
	if h, ok := a.Holder(nextOwner); !ok || h.leaving {
		return a
	}
	a = a.clone().splitAtBounds(span)
	for j := range a.ranges {
		if r := &a.ranges[j]; r.owner == instance && span.Covers(r.Span) && nextOwner != instance {
			r.nextOwner = nextOwner
		}
	}
	return a
}

// CompleteMoves passes the moving ranges of an instance that lie in released spans to
// their next owners. A next owner that is no longer a holder, or is leaving, is
// replaced by another holder.
func (a Assignment) CompleteMoves(instance string, released []ReleasedSpan) Assignment {
	a = a.clone()
	for _, s := range released {
		a = a.splitAtBounds(s.Span)
	}
	ra := a.newRangeAssigner()
	epoch := a.epoch + 1
	changed := false
	for j := range a.ranges {
		r := &a.ranges[j]
		if r.owner != instance || r.nextOwner == "" {
			continue
		}
		i := slices.IndexFunc(released, func(s ReleasedSpan) bool { return s.Covers(r.Span) })
		if i < 0 {
			continue
		}
		nextOwner := r.nextOwner
		if h, ok := a.Holder(nextOwner); !ok || h.leaving {
			if nextOwner, ok = ra.pickHolder(); !ok {
				continue
			}
		}
		rangeEpoch := epoch
		if ra.rangeCounts[nextOwner] >= alignedRanges {
			rangeEpoch = a.epochAt(j, nextOwner, epoch)
		}
		r.owner, r.nextOwner, r.epoch, r.handoverToken, changed = nextOwner, "", rangeEpoch, released[i].handoverToken, true
	}
	if changed {
		a.epoch = epoch
	}
	return a.mergeAdjacent()
}

// splitAtBounds splits the ranges that reach across either end of a span.
func (a Assignment) splitAtBounds(span Span) Assignment {
	for _, bound := range []int{int(span.first), int(span.last) + 1} {
		if bound > int(LastKey) {
			continue
		}
		i := slices.IndexFunc(a.ranges, func(r Range) bool { return r.Contains(Key(bound)) })
		if i < 0 || int(a.ranges[i].first) == bound {
			continue
		}
		upper := a.ranges[i]
		upper.first = Key(bound)
		// The token belongs to the whole range that the upstream released, so
		// neither part keeps it.
		upper.handoverToken = ""
		a.ranges[i].last, a.ranges[i].handoverToken = Key(bound-1), ""
		a.ranges = slices.Insert(a.ranges, i+1, upper)
	}
	return a
}

// mergeAdjacent joins adjacent ranges with the same owner, epoch and next owner and
// without a handover token.
func (a Assignment) mergeAdjacent() Assignment {
	kept := a.ranges[:0]
	for _, r := range a.ranges {
		if n := len(kept); n > 0 {
			previous := &kept[n-1]
			if int(previous.last)+1 == int(r.first) && previous.owner == r.owner && previous.epoch == r.epoch && previous.nextOwner == r.nextOwner && previous.handoverToken == "" && r.handoverToken == "" {
				previous.last = r.last
				continue
			}
		}
		kept = append(kept, r)
	}
	a.ranges = kept
	return a
}

func equalRanges(count int) []Range {
	ranges := make([]Range, 0, count)
	total := int(LastKey) + 1
	for i := range count {
		ranges = append(ranges, Range{Span: NewSpan(Key(i*total/count), Key((i+1)*total/count-1))})
	}
	return ranges
}

// rangeAssigner picks owners among the holders that are not leaving, fewest ranges
// first. A range that moves counts for its next owner.
type rangeAssigner struct {
	holders     []string
	rangeCounts map[string]int
}

func (a Assignment) newRangeAssigner() *rangeAssigner {
	ra := &rangeAssigner{rangeCounts: make(map[string]int)}
	for _, h := range a.holders {
		if !h.leaving {
			ra.holders = append(ra.holders, h.InstanceName())
		}
	}
	for _, r := range a.ranges {
		ra.rangeCounts[cmp.Or(r.nextOwner, r.owner)]++
	}
	return ra
}

// leastLoaded returns the holder with the fewest ranges. There must be a holder.
func (ra *rangeAssigner) leastLoaded() string {
	return slices.MinFunc(ra.holders, func(a, b string) int { return cmp.Compare(ra.rangeCounts[a], ra.rangeCounts[b]) })
}

// pickHolder returns the holder for one more range and counts the range for it. It
// returns false if there is no holder or all have MaxRangesPerHolder ranges.
func (ra *rangeAssigner) pickHolder() (string, bool) {
	if len(ra.holders) == 0 {
		return "", false
	}
	best := ra.leastLoaded()
	if ra.rangeCounts[best] >= MaxRangesPerHolder {
		return "", false
	}
	ra.rangeCounts[best]++
	return best, true
}

// BalanceRangeCounts moves ranges from holders with more than an equal share to a
// holder with less than a quarter of it, such as one that has just joined. It fills
// that holder up to half a share only; its load then shows how much more it can take.
// Ranges that are already moving stay as they are. If there are few ranges, they are split
// first: a holder that was the only one for a time owns all keys in one merged range. It reports
// whether it started any move.
func (a Assignment) BalanceRangeCounts() (Assignment, bool) {
	ra := a.newRangeAssigner()
	if len(ra.holders) < 2 || len(a.ranges) == 0 {
		return a, false
	}
	balanced, stride := a, 1
	if len(a.ranges) < len(ra.holders)*minRangesPerHolder {
		parts := min(len(ra.holders)*initialRangesPerHolder, MaxRangesPerHolder)
		if parts >= len(ra.holders)*2 {
			// The moved ranges are not adjacent, so that busy keys next to each other get several owners.
			stride = len(ra.holders)
		}
		balanced = a.splitLongRanges(max(parts, len(ra.holders)*2))
		ra = balanced.newRangeAssigner()
	}
	fairShare := len(balanced.ranges) / len(ra.holders)
	if ra.rangeCounts[ra.leastLoaded()]*4 >= fairShare {
		return a, false
	}
	balanced = balanced.clone()
	moved := false
	for offset := range stride {
		for j := offset; j < len(balanced.ranges); j += stride {
			r := &balanced.ranges[j]
			least := ra.leastLoaded()
			if ra.rangeCounts[least]*2 >= fairShare {
				break
			}
			if r.owner == "" || r.nextOwner != "" || ra.rangeCounts[r.owner] <= fairShare {
				continue
			}
			ra.rangeCounts[r.owner]--
			ra.rangeCounts[least]++
			r.nextOwner, moved = least, true
		}
	}
	if !moved {
		return a, false
	}
	return balanced, true
}

// splitLongRanges splits the ranges that are longer than an equal part of all keys into parts of
// that length. Ranges that move, or whose owner has yet to use a handover token, stay whole.
func (a Assignment) splitLongRanges(parts int) Assignment {
	length := max((int(LastKey)+1)/parts, 1)
	split := make([]Range, 0, parts)
	for _, r := range a.ranges {
		for r.nextOwner == "" && r.handoverToken == "" && int(r.last)-int(r.first) >= length {
			part := r
			part.last = r.first + Key(length) - 1 //nolint:gosec // A part of the keys.
			split = append(split, part)
			r.first = part.last + 1
		}
		split = append(split, r)
	}
	a.ranges = split
	return a
}
