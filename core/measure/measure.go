// Package measure computes metrics of a test run from its records: load imbalance
// across upstreams, changes of key ownership, and times without service.
package measure

import (
	"cmp"
	"math"
	"slices"

	"briarwell.dev/core/audit/record"
)

// microsPerMilli converts the times of records to milliseconds.
const microsPerMilli = 1000

// Distribution is a sample of values. The zero value is empty.
type Distribution struct {
	sorted []float64
}

// NewDistribution returns the distribution of the values, which it copies.
func NewDistribution(values []float64) Distribution {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Distribution{sorted: sorted}
}

// Count returns the number of values.
func (d Distribution) Count() int { return len(d.sorted) }

// Quantile returns the smallest value that is at least as large as the share q of all
// values, or 0 if there are none.
func (d Distribution) Quantile(q float64) float64 {
	if len(d.sorted) == 0 {
		return 0
	}
	index := int(math.Ceil(q*float64(len(d.sorted)))) - 1
	return d.sorted[min(max(index, 0), len(d.sorted)-1)]
}

// Max returns the largest value, or 0 if there are none.
func (d Distribution) Max() float64 { return d.Quantile(1) }

// Imbalance describes how unevenly the load of a service is spread over its upstreams.
type Imbalance struct {
	service    string
	upstreams  int
	peakToMean float64
}

// Service returns the name of the service.
func (i Imbalance) Service() string { return i.service }

// Upstreams returns the number of upstreams that accepted requests.
func (i Imbalance) Upstreams() int { return i.upstreams }

// PeakToMean returns the load of the busiest upstream divided by the mean load of the
// upstreams that accepted requests, or 0 if there was no load.
func (i Imbalance) PeakToMean() float64 { return i.peakToMean }

// Imbalances returns the imbalance of each service, sorted by name. The load of an
// upstream is the total duration of the requests that it accepted.
func Imbalances(acceptances []record.Acceptance) []Imbalance {
	busyMicros := make(map[string]map[string]int64)
	for _, a := range acceptances {
		if busyMicros[a.ServiceName()] == nil {
			busyMicros[a.ServiceName()] = make(map[string]int64)
		}
		busyMicros[a.ServiceName()][a.Upstream] += a.EndUnixMicros - a.StartUnixMicros
	}
	imbalances := make([]Imbalance, 0, len(busyMicros))
	for service, upstreams := range busyMicros {
		var peak, sum int64
		for _, micros := range upstreams {
			peak = max(peak, micros)
			sum += micros
		}
		i := Imbalance{service: service, upstreams: len(upstreams)}
		if sum > 0 {
			i.peakToMean = float64(peak) * float64(len(upstreams)) / float64(sum)
		}
		imbalances = append(imbalances, i)
	}
	slices.SortFunc(imbalances, func(a, b Imbalance) int { return cmp.Compare(a.service, b.service) })
	return imbalances
}

// Shard identifies a shard of a service.
type Shard struct {
	service string
	number  uint32
}

// NewShard returns the identity of a shard.
func NewShard(service string, number uint32) Shard { return Shard{service: service, number: number} }

// Service returns the name of the service.
func (s Shard) Service() string { return s.service }

// Number returns the number of the shard.
func (s Shard) Number() uint32 { return s.number }

// OwnerChangesPerKey returns, as a distribution over keys, how often the upstream of
// a key changed between consecutive requests. It ignores requests without an epoch.
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

// Gap is a period in which calls to a shard failed and none succeeded. It starts at the
// last response with outcome done before the failed calls, and ends at the first one
// after them.
type Gap struct {
	shard                           Shard
	fromUnixMicros, untilUnixMicros int64
	// firstFailedUnixMicros and lastFailedUnixMicros are when the first and the last
	// failed call were sent; firstFailedUnixMicros is not before the gap.
	firstFailedUnixMicros, lastFailedUnixMicros int64
}

// Shard returns the shard whose calls failed.
func (g Gap) Shard() Shard { return g.shard }

// FromUnixMicros returns the start of the gap, in microseconds since the Unix epoch.
func (g Gap) FromUnixMicros() int64 { return g.fromUnixMicros }

// UntilUnixMicros returns the end of the gap, in microseconds since the Unix epoch.
func (g Gap) UntilUnixMicros() int64 { return g.untilUnixMicros }

// FirstFailedUnixMicros returns when the first failed call was sent, or the start of
// the gap if the call was sent before it.
func (g Gap) FirstFailedUnixMicros() int64 { return g.firstFailedUnixMicros }

// Millis returns the length of the gap in milliseconds.
func (g Gap) Millis() float64 { return float64(g.untilUnixMicros-g.fromUnixMicros) / microsPerMilli }

// FailingMillis returns the time from the first to the last failed call in
// milliseconds. Unlike Millis, it excludes the time around them without calls.
func (g Gap) FailingMillis() float64 {
	return float64(max(g.lastFailedUnixMicros-g.firstFailedUnixMicros, 0)) / microsPerMilli
}

// Gaps returns the gaps of all shards of keyed services. A gap without a previous done
// response starts when the first call of the shard was sent. A gap without a later done
// response ends with the last call of the shard.
func Gaps(calls []record.Call) []Gap {
	byShard := make(map[Shard][]record.Call)
	for _, c := range calls {
		if c.Key != "" {
			s := NewShard(c.Service, c.Shard)
			byShard[s] = append(byShard[s], c)
		}
	}
	gaps := make([]Gap, 0, len(byShard))
	for s, shardCalls := range byShard {
		slices.SortFunc(shardCalls, func(a, b record.Call) int { return cmp.Compare(a.ReceivedUnixMicros, b.ReceivedUnixMicros) })
		gaps = append(gaps, shardGaps(s, shardCalls)...)
	}
	slices.SortFunc(gaps, func(a, b Gap) int {
		return cmp.Or(cmp.Compare(a.fromUnixMicros, b.fromUnixMicros), cmp.Compare(a.shard.number, b.shard.number))
	})
	return gaps
}

// shardGaps returns the gaps of one shard from its calls, sorted by receive time.
func shardGaps(s Shard, calls []record.Call) []Gap {
	var gaps []Gap
	from := calls[0].SentUnixMicros
	var failed []record.Call
	closeGap := func(until int64) {
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
	for _, c := range calls {
		if c.Outcome != "done" {
			failed = append(failed, c)
			continue
		}
		closeGap(c.ReceivedUnixMicros)
		from = c.ReceivedUnixMicros
	}
	closeGap(calls[len(calls)-1].ReceivedUnixMicros)
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

// LongestGap returns the longest gap that overlaps the period from start to end, in
// microseconds since the Unix epoch, or false if there is none.
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
