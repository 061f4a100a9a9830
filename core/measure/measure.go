// Package measure computes the metrics of a run from its records: load
// imbalance across upstreams, churn of ownership, and time without service.
package measure

import (
	"cmp"
	"math"
	"slices"

	"briarwell.dev/core/audit/record"
)

// microsPerMilli converts record times to milliseconds.
const microsPerMilli = 1000

// Distribution is a set of values. The zero value is empty.
type Distribution struct {
	sorted []float64
}

// NewDistribution returns the distribution of the values.
func NewDistribution(values []float64) Distribution {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Distribution{sorted: sorted}
}

// Count returns the number of values.
func (d Distribution) Count() int { return len(d.sorted) }

// Quantile returns the smallest value that is not below a share q of all
// values, 0 if there are none.
func (d Distribution) Quantile(q float64) float64 {
	if len(d.sorted) == 0 {
		return 0
	}
	index := int(math.Ceil(q*float64(len(d.sorted)))) - 1
	return d.sorted[min(max(index, 0), len(d.sorted)-1)]
}

// Max returns the largest value, 0 if there are none.
func (d Distribution) Max() float64 { return d.Quantile(1) }

// Imbalance is the load of a service's upstreams.
type Imbalance struct {
	service    string
	upstreams  int
	peakToMean float64
}

// Service returns the service.
func (i Imbalance) Service() string { return i.service }

// Upstreams returns the number of upstreams that accepted orders.
func (i Imbalance) Upstreams() int { return i.upstreams }

// PeakToMean returns the time that the busiest upstream spent on orders,
// divided by the mean of all upstreams of the service.
func (i Imbalance) PeakToMean() float64 { return i.peakToMean }

// Imbalances returns the imbalance of each service, by name. The sum of the
// durations of the orders is the load of an upstream.
func Imbalances(acceptances []record.Acceptance) []Imbalance {
	busy := make(map[string]map[string]int64)
	for _, a := range acceptances {
		if busy[a.ServiceName()] == nil {
			busy[a.ServiceName()] = make(map[string]int64)
		}
		busy[a.ServiceName()][a.Upstream] += a.EndUnixMicros - a.StartUnixMicros
	}
	result := make([]Imbalance, 0, len(busy))
	for service, upstreams := range busy {
		var peak, sum int64
		for _, micros := range upstreams {
			peak = max(peak, micros)
			sum += micros
		}
		i := Imbalance{service: service, upstreams: len(upstreams)}
		if sum > 0 {
			i.peakToMean = float64(peak) * float64(len(upstreams)) / float64(sum)
		}
		result = append(result, i)
	}
	slices.SortFunc(result, func(a, b Imbalance) int { return cmp.Compare(a.service, b.service) })
	return result
}

// Shard names a shard of a service.
type Shard struct {
	service string
	number  uint32
}

// NewShard names a shard.
func NewShard(service string, number uint32) Shard { return Shard{service: service, number: number} }

// Service returns the service.
func (s Shard) Service() string { return s.service }

// Number returns the shard's number.
func (s Shard) Number() uint32 { return s.number }

// OwnerChangesPerKey returns how often the upstream of each key changed between
// consecutive orders, as a distribution over keys.
func OwnerChangesPerKey(acceptances []record.Acceptance) Distribution {
	type key struct{ service, key string }
	ordered := slices.Clone(acceptances)
	slices.SortFunc(ordered, func(a, b record.Acceptance) int { return cmp.Compare(a.StartUnixMicros, b.StartUnixMicros) })
	last := make(map[key]string)
	changes := make(map[key]int)
	for _, a := range ordered {
		if a.Epoch == 0 {
			continue
		}
		k := key{service: a.ServiceName(), key: a.Key}
		if previous, ok := last[k]; ok && previous != a.Upstream {
			changes[k]++
		}
		last[k] = a.Upstream
	}
	values := make([]float64, 0, len(last))
	for k := range last {
		values = append(values, float64(changes[k]))
	}
	return NewDistribution(values)
}

// Gap is a time during which a shard gave no answer although callers asked: it
// runs from the last done answer before to the first done answer after.
type Gap struct {
	shard                           Shard
	fromUnixMicros, untilUnixMicros int64
	// firstFailedUnixMicros and lastFailed are the send times of the failed calls, the first
	// not before the gap.
	firstFailedUnixMicros, lastFailedUnixMicros int64
}

// Shard returns the shard.
func (g Gap) Shard() Shard { return g.shard }

// FromUnixMicros returns the time of the last answer before the gap.
func (g Gap) FromUnixMicros() int64 { return g.fromUnixMicros }

// UntilUnixMicros returns the time of the first answer after the gap.
func (g Gap) UntilUnixMicros() int64 { return g.untilUnixMicros }

// FirstFailedUnixMicros returns when the first failed call in the gap was sent.
func (g Gap) FirstFailedUnixMicros() int64 { return g.firstFailedUnixMicros }

// Millis returns the length in milliseconds.
func (g Gap) Millis() float64 { return float64(g.untilUnixMicros-g.fromUnixMicros) / microsPerMilli }

// FailingMillis returns the time in milliseconds from the first failed call in the
// gap to the last. It leaves out the time in which nobody asked.
func (g Gap) FailingMillis() float64 {
	return float64(max(g.lastFailedUnixMicros-g.firstFailedUnixMicros, 0)) / microsPerMilli
}

// Gaps returns the gaps of all shards of keyed services, in which at least one
// call got no done answer. A shard without any done answer after its last
// failed call ends its gap with that call.
func Gaps(calls []record.Call) []Gap {
	byShard := make(map[Shard][]record.Call)
	for _, c := range calls {
		if c.Key != "" {
			s := NewShard(c.Service, c.Shard)
			byShard[s] = append(byShard[s], c)
		}
	}
	gaps := make([]Gap, 0, len(byShard))
	for s, answers := range byShard {
		slices.SortFunc(answers, func(a, b record.Call) int { return cmp.Compare(a.ReceivedUnixMicros, b.ReceivedUnixMicros) })
		gaps = append(gaps, shardGaps(s, answers)...)
	}
	slices.SortFunc(gaps, func(a, b Gap) int {
		return cmp.Or(cmp.Compare(a.fromUnixMicros, b.fromUnixMicros), cmp.Compare(a.shard.number, b.shard.number))
	})
	return gaps
}

func shardGaps(s Shard, answers []record.Call) []Gap {
	var gaps []Gap
	from := answers[0].SentUnixMicros
	var failed []record.Call
	end := func(until int64) {
		if len(failed) == 0 {
			return
		}
		bySent := func(a, b record.Call) int { return cmp.Compare(a.SentUnixMicros, b.SentUnixMicros) }
		gaps = append(gaps, Gap{
			shard: s, fromUnixMicros: from, untilUnixMicros: until,
			firstFailedUnixMicros: max(slices.MinFunc(failed, bySent).SentUnixMicros, from), lastFailedUnixMicros: slices.MaxFunc(failed, bySent).SentUnixMicros,
		})
		failed = nil
	}
	for _, c := range answers {
		if c.Outcome != "done" {
			failed = append(failed, c)
			continue
		}
		end(c.ReceivedUnixMicros)
		from = c.ReceivedUnixMicros
	}
	end(answers[len(answers)-1].ReceivedUnixMicros)
	return gaps
}

// GapLengths returns the lengths of the gaps in milliseconds.
func GapLengths(gaps []Gap) Distribution {
	values := make([]float64, 0, len(gaps))
	for _, g := range gaps {
		values = append(values, g.Millis())
	}
	return NewDistribution(values)
}

// LongestGap returns the longest gap that overlaps the time from start to end in
// microseconds since the Unix epoch, or false.
func LongestGap(gaps []Gap, start, end int64) (Gap, bool) {
	var longest Gap
	found := false
	for _, g := range gaps {
		if g.untilUnixMicros < start || g.fromUnixMicros > end {
			continue
		}
		if !found || g.Millis() > longest.Millis() {
			longest, found = g, true
		}
	}
	return longest, found
}
