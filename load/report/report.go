// Package report prints the results and measures of a run as text and JSON.
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

// columnPadding is the space between the columns of a table.
const columnPadding = 2

// Report is the JSON form of a run's results. Times are in milliseconds.
type Report struct {
	DurationSeconds    float64             `json:"durationSeconds"`
	Routes             []Route             `json:"routes"`
	Imbalances         []Imbalance         `json:"imbalance"`
	OwnerChangesPerKey DistributionSummary `json:"ownerChangesPerKey"`
	UnservedMillis     DistributionSummary `json:"unservedMillis"`
}

// Route holds the results of one route.
type Route struct {
	Service          string           `json:"service"`
	Route            string           `json:"route"`
	Outcomes         map[string]int64 `json:"outcomes"`
	GoodputPerSecond float64          `json:"goodputPerSecond"`
	P50Millis        float64          `json:"p50Millis"`
	P99Millis        float64          `json:"p99Millis"`
	P999Millis       float64          `json:"p999Millis"`
	MaxMillis        float64          `json:"maxMillis"`
}

// Imbalance is the peak-to-mean load of a service.
type Imbalance struct {
	Service    string  `json:"service"`
	Upstreams  int     `json:"upstreams"`
	PeakToMean float64 `json:"peakToMean"`
}

// DistributionSummary summarises a distribution.
type DistributionSummary struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// newDistributionSummary summarises d.
func newDistributionSummary(d measure.Distribution) DistributionSummary {
	return DistributionSummary{Count: d.Count(), P50: d.Quantile(0.5), P90: d.Quantile(0.9), P99: d.Quantile(0.99), Max: d.Max()}
}

func (s DistributionSummary) String() string {
	return fmt.Sprintf("count %d, p50 %.1f, p90 %.1f, p99 %.1f, max %.1f", s.Count, s.P50, s.P90, s.P99, s.Max)
}

// New computes the report of a run. Acceptances may be nil.
func New(results *runner.Results, calls []record.Call, acceptances []record.Acceptance) Report {
	r := Report{
		DurationSeconds:    results.Duration().Seconds(),
		OwnerChangesPerKey: newDistributionSummary(measure.OwnerChangesPerKey(acceptances)),
		UnservedMillis:     newDistributionSummary(measure.GapLengths(measure.Gaps(calls))),
	}
	for _, route := range results.Routes() {
		millis := func(percent float64) float64 { return float64(route.Latency().ValueAtQuantile(percent)) / 1000 }
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
	_, err := fmt.Fprintf(out, "gaps between done answers of a shard with failed calls between, in ms: %v\n", r.UnservedMillis)
	return err
}

func formatOutcomes(outcomes map[string]int64) string {
	names := slices.Sorted(maps.Keys(outcomes))
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %d", name, outcomes[name]))
	}
	return strings.Join(texts, ", ")
}
