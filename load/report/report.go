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

// columnGap is the space between the columns of a table.
const columnGap = 2

// Report is the JSON form of a run's results. Times are in milliseconds.
type Report struct {
	DurationSeconds float64     `json:"durationSeconds"`
	Routes          []Route     `json:"routes"`
	Imbalance       []Imbalance `json:"imbalance"`
	Churn           Spread      `json:"ownerChangesPerKey"`
	Unserved        Spread      `json:"unservedMillis"`
}

// Route holds the results of one route.
type Route struct {
	Service  string           `json:"service"`
	Route    string           `json:"route"`
	Outcomes map[string]int64 `json:"outcomes"`
	Goodput  float64          `json:"goodputPerSecond"`
	P50      float64          `json:"p50Millis"`
	P99      float64          `json:"p99Millis"`
	P999     float64          `json:"p999Millis"`
	Max      float64          `json:"maxMillis"`
}

// Imbalance is the peak-to-mean load of a service.
type Imbalance struct {
	Service    string  `json:"service"`
	Upstreams  int     `json:"upstreams"`
	PeakToMean float64 `json:"peakToMean"`
}

// Spread summarises a distribution.
type Spread struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// NewSpread summarises d.
func NewSpread(d measure.Distribution) Spread {
	return Spread{Count: d.Count(), P50: d.Quantile(0.5), P90: d.Quantile(0.9), P99: d.Quantile(0.99), Max: d.Max()}
}

func (s Spread) String() string {
	return fmt.Sprintf("count %d, p50 %.1f, p90 %.1f, p99 %.1f, max %.1f", s.Count, s.P50, s.P90, s.P99, s.Max)
}

// New computes the report of a run. Acceptances may be nil.
func New(results *runner.Results, calls []record.Call, acceptances []record.Acceptance) Report {
	r := Report{
		DurationSeconds: results.Duration().Seconds(),
		Churn:           NewSpread(measure.OwnerChangesPerKey(acceptances)),
		Unserved:        NewSpread(measure.GapLengths(measure.Gaps(calls))),
	}
	for _, route := range results.Routes() {
		millis := func(percent float64) float64 { return float64(route.Latency().ValueAtQuantile(percent)) / 1000 }
		r.Routes = append(r.Routes, Route{
			Service: route.Service(), Route: route.Route(), Outcomes: route.Outcomes(),
			Goodput: float64(route.Good()) / r.DurationSeconds,
			P50:     millis(50), P99: millis(99), P999: millis(99.9), Max: millis(100),
		})
	}
	for _, i := range measure.Imbalances(acceptances) {
		r.Imbalance = append(r.Imbalance, Imbalance{Service: i.Service(), Upstreams: i.Upstreams(), PeakToMean: i.PeakToMean()})
	}
	return r
}

// Print writes the report as text.
func (r Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, "service\troute\tgoodput/s\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\toutcomes")
	for _, route := range r.Routes {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%s\n", route.Service, route.Route,
			route.Goodput, route.P50, route.P99, route.P999, route.Max, counts(route.Outcomes))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, i := range r.Imbalance {
		_, _ = fmt.Fprintf(out, "load of %s: peak-to-mean %.3f over %d upstreams\n", i.Service, i.PeakToMean, i.Upstreams)
	}
	if r.Churn.Count > 0 {
		_, _ = fmt.Fprintf(out, "owner changes per key: %v\n", r.Churn)
	}
	_, err := fmt.Fprintf(out, "gaps between done answers of a shard with failed calls between, in ms: %v\n", r.Unserved)
	return err
}

func counts(outcomes map[string]int64) string {
	names := slices.Sorted(maps.Keys(outcomes))
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %d", name, outcomes[name]))
	}
	return strings.Join(texts, ", ")
}
