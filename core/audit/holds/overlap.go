package holds

import (
	"cmp"
	"fmt"
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
)

// Overlap is a time in which two live processes held the same keys.
type Overlap struct {
	first, second string
	// firstEpoch and secondEpoch are the epochs of the piece of the overlap that began first.
	firstEpoch, secondEpoch identity.Epoch
	from, until             clock.Millis
	spans                   []keyspace.Span
	longest                 clock.Millis
	firstBegan, secondBegan int
}

// From returns when the overlap began, Until when it ended.
func (o Overlap) From() clock.Millis { return o.from }

// Until returns when the overlap ended.
func (o Overlap) Until() clock.Millis { return o.until }

// Longest returns for how long one key was held by both, at most.
func (o Overlap) Longest() clock.Millis { return o.longest }

// Spans returns the keys; callers must not change them.
func (o Overlap) Spans() []keyspace.Span { return o.spans }

// Processes returns the one that held the keys first, and the other one.
func (o Overlap) Processes() (first, second string) { return o.first, o.second }

// BothBegan reports whether both processes began requests for the keys in that time.
func (o Overlap) BothBegan() bool { return o.firstBegan > 0 && o.secondBegan > 0 }

func (o Overlap) String() string {
	return fmt.Sprintf("%s (epoch %d) and %s (epoch %d) both held %d spans of keys, the first %d to %d, from %d to %d ms, one key for up to %d ms; %d and %d requests began",
		o.first, o.firstEpoch, o.second, o.secondEpoch, len(o.spans), o.spans[0].First(), o.spans[0].Last(), o.from, o.until, o.longest, o.firstBegan, o.secondBegan)
}

// Regression is a take of keys with an epoch that is not above all under which others had them, or is
// below the process's own.
type Regression struct {
	at                 clock.Millis
	process, former    string
	epoch, formerEpoch identity.Epoch
	span               keyspace.Span
}

func (r Regression) String() string {
	return fmt.Sprintf("%s took keys %d to %d at %d ms with epoch %d, %s had epoch %d", r.process, r.span.First(), r.span.Last(), r.at, r.epoch, r.former, r.formerEpoch)
}

// Regressions returns all takes so far whose epoch does not rise, in their order.
func (a *Audit) Regressions() []Regression { return slices.Clone(a.regressions) }

// Overlaps returns all overlaps up to now, in the order of their beginnings. Those of the same two
// processes that meet in time are one.
func (a *Audit) Overlaps(now clock.Millis) []Overlap {
	all := slices.Clone(a.past)
	for _, holds := range a.current {
		for _, h := range holds {
			h.until = min(h.until, now)
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(x, y hold) int { return cmp.Compare(x.from, y.from) })
	var overlaps []Overlap
	for i, first := range all {
		for _, second := range all[i+1:] {
			if second.from >= first.until {
				break
			}
			span, ok := intersect(first.span, second.span)
			until := min(first.until, second.until)
			if !ok || first.process == second.process || until <= second.from {
				continue
			}
			overlaps = append(overlaps, Overlap{
				first: first.process, second: second.process, firstEpoch: first.epoch, secondEpoch: second.epoch, from: second.from, until: until,
				spans: []keyspace.Span{span}, longest: until - second.from,
				firstBegan: a.countStarts(first.process, span, second.from, until), secondBegan: a.countStarts(second.process, span, second.from, until),
			})
		}
	}
	return mergeOverlaps(overlaps)
}

// countStarts counts the requests that a process began for a span from one time up to another.
func (a *Audit) countStarts(process string, span keyspace.Span, from, until clock.Millis) int {
	count := 0
	for _, s := range a.starts {
		if s.process == process && from <= s.at && s.at < until && span.First() <= s.key && s.key <= span.Last() {
			count++
		}
	}
	return count
}

// mergeOverlaps merges the overlaps of the same processes that meet in time.
func mergeOverlaps(pieces []Overlap) []Overlap {
	slices.SortStableFunc(pieces, func(x, y Overlap) int { return cmp.Compare(x.from, y.from) })
	var merged []Overlap
	for _, p := range pieces {
		i := slices.IndexFunc(merged, func(m Overlap) bool {
			return p.from <= m.until && (m.first == p.first && m.second == p.second || m.first == p.second && m.second == p.first)
		})
		if i < 0 {
			merged = append(merged, p)
			continue
		}
		m := &merged[i]
		m.until, m.longest, m.spans = max(m.until, p.until), max(m.longest, p.longest), append(m.spans, p.spans...)
		if m.first != p.first {
			p.firstBegan, p.secondBegan = p.secondBegan, p.firstBegan
		}
		m.firstBegan, m.secondBegan = m.firstBegan+p.firstBegan, m.secondBegan+p.secondBegan
	}
	return merged
}
