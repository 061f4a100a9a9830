// Package assess audits the records of a run and reports how long shards were without
// service around each injected fault.
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

// RecoveryTargetMillis is the maximum time until a key is served again after the loss of
// its owner. See section 1.4 of the design page.
const RecoveryTargetMillis = 3000

// maxPrintedFindings bounds the number of findings in the text report. The JSON report has
// all of them.
const maxPrintedFindings = 20

// Fault is a fault that was injected during the run.
type Fault struct {
	Name string `json:"name"`
	// HasTarget reports whether RecoveryTargetMillis applies to the fault.
	HasTarget bool `json:"targeted"`
	// StartUnixMicros is when the fault began.
	StartUnixMicros int64 `json:"fromUnixMicros"`
	// EndUnixMicros is when the fault ended.
	EndUnixMicros int64 `json:"healUnixMicros"`
	// SettledUnixMicros is when the cluster was ready again and had time to settle. The next
	// fault starts after it.
	SettledUnixMicros int64 `json:"untilUnixMicros"`
	// StopMillis is the duration of a graceful stop, or 0 for other faults.
	StopMillis int64 `json:"stopMillis"`
}

// FaultResult holds the times without service around one fault.
type FaultResult struct {
	Fault
	// UnservedShards is the number of shards with a gap around the fault.
	UnservedShards int `json:"shards"`
	// RecoveryP50Millis and RecoveryMaxMillis are the median and the maximum of the times
	// from the start of the fault to the end of a gap. For a gap that starts after the
	// fault, the time counts from the last done response before the failed calls.
	RecoveryP50Millis float64 `json:"p50Millis"`
	RecoveryMaxMillis float64 `json:"maxMillis"`
	// MaxGapMillis is the longest gap between two done responses of one shard with failed
	// calls between them.
	MaxGapMillis float64 `json:"gapMillis"`
	// MaxFailingMillis is the longest time between two failed calls of one shard without a
	// done response between them. Unlike a gap, it excludes the times before the first and
	// after the last failed call.
	MaxFailingMillis float64 `json:"provedMillis"`
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

func newDistributionSummary(d measure.Distribution) DistributionSummary {
	return DistributionSummary{Count: d.Count(), P50: d.Quantile(0.5), P90: d.Quantile(0.9), P99: d.Quantile(0.99), Max: d.Max()}
}

// Report holds the assessment of a run in the form in which it is written as JSON.
type Report struct {
	Acceptances int `json:"acceptances"`
	Calls       int `json:"calls"`
	// Outcomes counts the calls with a request ID by outcome and reason.
	Outcomes map[string]int `json:"outcomes"`
	// FindingCounts counts the findings of the audit by kind.
	FindingCounts map[string]int `json:"findings"`
	FindingTexts  []string       `json:"findingTexts"`
	Faults        []FaultResult  `json:"faults"`
	// PeakToMean describes the peak-to-mean load of each service.
	PeakToMean []string `json:"peakToMean"`
	// UnservedMillis summarises the gaps of all shards during the run, in milliseconds.
	UnservedMillis DistributionSummary `json:"unservedMillis"`
	// MaxOwnerChangesPerKey is the highest number of owner changes of a single key.
	MaxOwnerChangesPerKey float64 `json:"ownerChangesPerKeyMax"`
}

// Run adds the records of a run to history, audits it, and measures the time without
// service around each fault.
func Run(history *audit.History, acceptances []record.Acceptance, calls []record.Call, faults []Fault) Report {
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
	for _, fault := range faults {
		r.Faults = append(r.Faults, assessFault(fault, gaps))
	}
	return r
}

// outcomeName returns the name under which the report counts a call: its outcome, followed
// by the reason if there is one, or "no answer" if no response arrived.
func outcomeName(c record.Call) string {
	if c.Outcome == "" {
		return "no answer"
	}
	if c.Reason != "" {
		return c.Outcome + " (" + c.Reason + ")"
	}
	return c.Outcome
}

// assessFault measures the gaps that belong to a fault: those that ended after the start
// of the fault and whose first failed call was sent before SettledUnixMicros, so before
// the next fault.
func assessFault(fault Fault, gaps []measure.Gap) FaultResult {
	result := FaultResult{Fault: fault}
	var recoveryMillis []float64
	shards := make(map[measure.Shard]bool)
	for _, g := range gaps {
		if g.UntilUnixMicros() <= fault.StartUnixMicros || g.FirstFailedUnixMicros() >= fault.SettledUnixMicros {
			continue
		}
		startUnixMicros := max(g.FromUnixMicros(), fault.StartUnixMicros)
		recoveryMillis = append(recoveryMillis, float64(g.UntilUnixMicros()-startUnixMicros)/float64(time.Millisecond.Microseconds()))
		result.MaxGapMillis = max(result.MaxGapMillis, g.Millis())
		result.MaxFailingMillis = max(result.MaxFailingMillis, g.FailingMillis())
		shards[g.Shard()] = true
	}
	distribution := measure.NewDistribution(recoveryMillis)
	result.UnservedShards, result.RecoveryP50Millis, result.RecoveryMaxMillis = len(shards), distribution.Quantile(0.5), distribution.Max()
	return result
}

// WriteJSON writes the report to the file at path as indented JSON.
func (r Report) WriteJSON(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Print writes the report as text, with a table of the faults.
func (r Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "fault\tunserved shards\trecovery p50 ms\trecovery max ms\tlongest gap ms\tlongest failing ms\ttarget\tstop ms")
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%d\n", f.Name, f.UnservedShards, f.RecoveryP50Millis, f.RecoveryMaxMillis, f.MaxGapMillis, f.MaxFailingMillis, f.targetResult(), f.StopMillis)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%d acceptances, %d calls by outcome: %v\n", r.Acceptances, r.Calls, r.Outcomes)
	for _, text := range r.PeakToMean {
		_, _ = fmt.Fprintln(out, "peak-to-mean load:", text)
	}
	_, _ = fmt.Fprintf(out, "gaps between done responses of a shard with failed calls between: %d, p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, max %.0f ms\n",
		r.UnservedMillis.Count, r.UnservedMillis.P50, r.UnservedMillis.P90, r.UnservedMillis.P99, r.UnservedMillis.Max)
	_, _ = fmt.Fprintf(out, "most owner changes of a key: %.0f\n", r.MaxOwnerChangesPerKey)
	_, err := fmt.Fprintf(out, "audit: %d findings %v\n", len(r.FindingTexts), r.FindingCounts)
	for _, text := range r.FindingTexts[:min(len(r.FindingTexts), maxPrintedFindings)] {
		_, _ = fmt.Fprintln(out, "  "+text)
	}
	return err
}

// targetResult reports whether the fault met the recovery target, or "none" if the target
// does not apply to it.
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

// Failed reports whether the audit has findings or a fault missed the recovery target.
func (r Report) Failed() bool {
	missed := func(f FaultResult) bool { return f.HasTarget && f.RecoveryMaxMillis > RecoveryTargetMillis }
	return len(r.FindingTexts) > 0 || slices.ContainsFunc(r.Faults, missed)
}
