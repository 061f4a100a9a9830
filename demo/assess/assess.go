// Package assess audits the records of a run and reports the time without
// service after each fault.
package assess

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"briarwell.dev/core/audit"
	"briarwell.dev/core/audit/record"
	"briarwell.dev/core/measure"
)

// RecoveryTargetMillis is the longest time until a key is served again after a loss, see
// section 1.4 of the design page.
const RecoveryTargetMillis = 3000

// maxPrintedFindings bounds the findings in the text report.
const maxPrintedFindings = 20

// Fault is a fault that was injected.
type Fault struct {
	Name string `json:"name"`
	// HasTarget tells whether TargetMillis holds for the fault.
	HasTarget       bool  `json:"targeted"`
	StartUnixMicros int64 `json:"fromUnixMicros"`
	// EndUnixMicros is when the fault ended, UntilUnixMicros when the cluster was
	// ready again.
	EndUnixMicros     int64 `json:"healUnixMicros"`
	SettledUnixMicros int64 `json:"untilUnixMicros"`
	// StopMillis is how long a graceful stop took, 0 for other faults.
	StopMillis int64 `json:"stopMillis"`
}

// FaultResult is the time without service around one fault.
type FaultResult struct {
	Fault
	// UnservedShards is the number of shards that were without service.
	UnservedShards int `json:"shards"`
	// RecoveryP50Millis and MaxMillis are times from the fault, or from the last done
	// answer after it, to the first done answer.
	RecoveryP50Millis float64 `json:"p50Millis"`
	RecoveryMaxMillis float64 `json:"maxMillis"`
	// MaxGapMillis is the longest gap between done answers of one shard.
	MaxGapMillis float64 `json:"gapMillis"`
	// MaxFailingMillis is the longest time between failed calls of one shard without a
	// done answer between them.
	MaxFailingMillis float64 `json:"provedMillis"`
}

// DistributionSummary summarises a distribution.
type DistributionSummary struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func newDistributionSummary(d measure.Distribution) DistributionSummary {
	return DistributionSummary{Count: d.Count(), P50: d.Quantile(0.5), P90: d.Quantile(0.9), P99: d.Quantile(0.99), Max: d.Max()}
}

// Report is the JSON form of an assessment.
type Report struct {
	Acceptances   int            `json:"acceptances"`
	Calls         int            `json:"calls"`
	Outcomes      map[string]int `json:"outcomes"`
	FindingCounts map[string]int `json:"findings"`
	FindingTexts  []string       `json:"findingTexts"`
	Faults        []FaultResult  `json:"faults"`
	PeakToMean    []string       `json:"peakToMean"`
	// UnservedMillis holds the gaps of all shards during the run.
	UnservedMillis        DistributionSummary `json:"unservedMillis"`
	MaxOwnerChangesPerKey float64             `json:"ownerChangesPerKeyMax"`
}

// Run adds the records to the history, checks it and measures each fault.
func Run(history *audit.History, acceptances []record.Acceptance, calls []record.Call, events []Fault) Report {
	history.AddAcceptances(acceptances...)
	history.AddCalls(calls...)
	for _, a := range acceptances {
		if a.TookEffect {
			history.AddEffects(a.ServiceName(), a.Key, a.RequestID)
		}
	}
	r := Report{
		Acceptances: len(acceptances), Calls: len(calls),
		Outcomes: make(map[string]int), FindingCounts: make(map[string]int), MaxOwnerChangesPerKey: measure.OwnerChangesPerKey(acceptances).Max(),
	}
	for _, c := range calls {
		if c.RequestID != "" {
			r.Outcomes[outcomeName(c)]++
		}
	}
	for _, f := range history.Check() {
		r.FindingCounts[f.Kind()]++
		r.FindingTexts = append(r.FindingTexts, f.Kind()+": "+f.String())
	}
	for _, i := range measure.Imbalances(acceptances) {
		r.PeakToMean = append(r.PeakToMean, fmt.Sprintf("%s %.3f over %d upstreams", i.Service(), i.PeakToMean(), i.Upstreams()))
	}
	gaps := measure.Gaps(calls)
	r.UnservedMillis = newDistributionSummary(measure.GapLengths(gaps))
	for _, event := range events {
		r.Faults = append(r.Faults, assessFault(event, gaps))
	}
	return r
}

func outcomeName(c record.Call) string {
	if c.Outcome == "" {
		return "no answer"
	}
	if c.Reason != "" {
		return c.Outcome + " (" + c.Reason + ")"
	}
	return c.Outcome
}

// assessFault takes the gaps that ended after the fault began and whose first
// failed call was sent before the next fault.
func assessFault(event Fault, gaps []measure.Gap) FaultResult {
	result := FaultResult{Fault: event}
	var lengths []float64
	shards := make(map[measure.Shard]bool)
	for _, g := range gaps {
		if g.UntilUnixMicros() <= event.StartUnixMicros || g.FirstFailedUnixMicros() >= event.SettledUnixMicros {
			continue
		}
		from := max(g.FromUnixMicros(), event.StartUnixMicros)
		lengths = append(lengths, float64(g.UntilUnixMicros()-from)/float64(time.Millisecond.Microseconds()))
		result.MaxGapMillis = max(result.MaxGapMillis, g.Millis())
		result.MaxFailingMillis = max(result.MaxFailingMillis, g.FailingMillis())
		shards[g.Shard()] = true
	}
	d := measure.NewDistribution(lengths)
	result.UnservedShards, result.RecoveryP50Millis, result.RecoveryMaxMillis = len(shards), d.Quantile(0.5), d.Max()
	return result
}

// WriteJSON writes the report to a file.
func (r Report) WriteJSON(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Print writes the report as text.
func (r Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "fault\tshards\tserved again p50 ms\tmax ms\tlongest gap ms\tproved ms\ttarget\tstop ms")
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%d\n", f.Name, f.UnservedShards, f.RecoveryP50Millis, f.RecoveryMaxMillis, f.MaxGapMillis, f.MaxFailingMillis, f.targetResult(), f.StopMillis)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%d acceptances, %d calls: %v\n", r.Acceptances, r.Calls, r.Outcomes)
	for _, text := range r.PeakToMean {
		_, _ = fmt.Fprintln(out, "peak-to-mean load:", text)
	}
	_, _ = fmt.Fprintf(out, "gaps of shards with failed calls in them: %d, p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, max %.0f ms\n",
		r.UnservedMillis.Count, r.UnservedMillis.P50, r.UnservedMillis.P90, r.UnservedMillis.P99, r.UnservedMillis.Max)
	_, _ = fmt.Fprintf(out, "owner changes of one key: at most %.0f\n", r.MaxOwnerChangesPerKey)
	_, err := fmt.Fprintf(out, "audit: %d findings %v\n", len(r.FindingTexts), r.FindingCounts)
	for _, text := range r.FindingTexts[:min(len(r.FindingTexts), maxPrintedFindings)] {
		_, _ = fmt.Fprintln(out, "  "+text)
	}
	return err
}

func (f FaultResult) targetResult() string {
	switch {
	case !f.HasTarget:
		return "none"
	case f.RecoveryMaxMillis <= RecoveryTargetMillis:
		return "met"
	default:
		return "MISSED"
	}
}

// Failed tells whether the audit found a violation or a fault missed its target.
func (r Report) Failed() bool {
	missed := func(f FaultResult) bool { return f.HasTarget && f.RecoveryMaxMillis > RecoveryTargetMillis }
	return len(r.FindingTexts) > 0 || slices.ContainsFunc(r.Faults, missed)
}
