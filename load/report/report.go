// Package report summarises the results of a load run and writes them as text and JSON.
package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"briarwell.dev/core/audit/record"
	"briarwell.dev/core/measure"
	"briarwell.dev/load/runner"
)

// columnPadding is the number of spaces between the columns of a table.
const columnPadding = 2

// Report holds the results of a run in the form in which they are written as JSON.
type Report struct {
	DurationSeconds float64     `json:"durationSeconds"`
	Routes          []Route     `json:"routes"`
	Imbalances      []Imbalance `json:"imbalance"`
	// OwnerChangesPerKey counts how often each key changed to another upstream.
	OwnerChangesPerKey DistributionSummary `json:"ownerChangesPerKey"`
	// UnservedMillis summarises the gaps of all shards: periods in which calls failed and
	// none succeeded.
	UnservedMillis DistributionSummary `json:"unservedMillis"`
}

// Route holds the results of one route. Latencies are in milliseconds from the intended
// send time.
type Route struct {
	Service  string           `json:"service"`
	Route    string           `json:"route"`
	Outcomes map[string]int64 `json:"outcomes"`
	// GoodputPerSecond is the rate of successful requests: outcome done, a status below
	// 400 and a complete response body.
	GoodputPerSecond float64 `json:"goodputPerSecond"`
	P50Millis        float64 `json:"p50Millis"`
	P99Millis        float64 `json:"p99Millis"`
	P999Millis       float64 `json:"p999Millis"`
	MaxMillis        float64 `json:"maxMillis"`
}

// Imbalance holds the peak-to-mean load of a service.
type Imbalance struct {
	Service string `json:"service"`
	// Upstreams is the number of upstreams that accepted requests.
	Upstreams  int     `json:"upstreams"`
	PeakToMean float64 `json:"peakToMean"`
}

// DistributionSummary holds the number of values of a distribution, its maximum and its
// quantiles. The quantiles and the maximum have the unit of the values.
type DistributionSummary struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// newDistributionSummary returns the summary of d.
func newDistributionSummary(d measure.Distribution) DistributionSummary {
	return DistributionSummary{Count: d.Count(), P50: d.Quantile(0.5), P90: d.Quantile(0.9), P99: d.Quantile(0.99), Max: d.Max()}
}

func (s DistributionSummary) String() string {
	return fmt.Sprintf("count %d, p50 %.1f, p90 %.1f, p99 %.1f, max %.1f", s.Count, s.P50, s.P90, s.P99, s.Max)
}

// New returns the report of a run. Without acceptances, the report has no imbalances and
// no owner changes. Without calls, it has no gaps.
func New(results *runner.Results, calls []record.Call, acceptances []record.Acceptance) Report {
	r := Report{
		DurationSeconds:    results.Duration().Seconds(),
		OwnerChangesPerKey: newDistributionSummary(measure.OwnerChangesPerKey(acceptances)),
		UnservedMillis:     newDistributionSummary(measure.GapLengths(measure.Gaps(calls))),
	}
	for _, route := range results.Routes() {
		millis := func(percentile float64) float64 { return float64(route.Latency().ValueAtQuantile(percentile)) / 1000 }
		r.Routes = append(r.Routes, Route{
			Service: route.Service(), Route: route.Route(), Outcomes: route.Outcomes(),
			GoodputPerSecond: float64(route.Successes()) / r.DurationSeconds,
			P50Millis:        millis(50), P99Millis: millis(99), P999Millis: millis(99.9), MaxMillis: millis(100),
		})
	}
	for _, i := range measure.Imbalances(acceptances) {
		r.Imbalances = append(r.Imbalances, Imbalance{Service: i.Service(), Upstreams: i.Upstreams(), PeakToMean: i.PeakToMean()})
	}
	return r
}

// Print writes the report as text.
func (r Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	_, _ = fmt.Fprintln(table, "service\troute\tgoodput/s\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\toutcomes")
	for _, route := range r.Routes {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%s\n", route.Service, route.Route,
			route.GoodputPerSecond, route.P50Millis, route.P99Millis, route.P999Millis, route.MaxMillis, formatOutcomes(route.Outcomes))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, i := range r.Imbalances {
		_, _ = fmt.Fprintf(out, "load of %s: peak-to-mean %.3f over %d upstreams\n", i.Service, i.PeakToMean, i.Upstreams)
	}
	if r.OwnerChangesPerKey.Count > 0 {
		_, _ = fmt.Fprintf(out, "owner changes per key: %v\n", r.OwnerChangesPerKey)
	}
	_, err := fmt.Fprintf(out, "gaps between done responses of a shard with failed calls between, in ms: %v\n", r.UnservedMillis)
	return err
}

func formatOutcomes(outcomes map[string]int64) string {
	sortedNames := slices.Sorted(maps.Keys(outcomes))
	texts := make([]string, 0, len(sortedNames))
	for _, name := range sortedNames {
		texts = append(texts, fmt.Sprintf("%s %d", name, outcomes[name]))
	}
	return strings.Join(texts, ", ")
}
