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

// TargetMillis is the longest time until a key is served again after a loss, see
// section 1.4 of the design page.
const TargetMillis = 3000

// shownFindings bounds the findings in the text report.
const shownFindings = 20

// Event is a fault that was injected.
type Event struct {
	Name string `json:"name"`
	// Targeted tells whether TargetMillis holds for the fault.
	Targeted       bool  `json:"targeted"`
	FromUnixMicros int64 `json:"fromUnixMicros"`
	// HealUnixMicros is when the fault ended, UntilUnixMicros when the cluster was
	// ready again.
	HealUnixMicros  int64 `json:"healUnixMicros"`
	UntilUnixMicros int64 `json:"untilUnixMicros"`
	// StopMillis is how long a graceful stop took, 0 for other faults.
	StopMillis int64 `json:"stopMillis"`
}

// FaultResult is the time without service around one fault.
type FaultResult struct {
	Event
	// Shards is the number of shards that were without service.
	Shards int `json:"shards"`
	// P50Millis and MaxMillis are times from the fault, or from the last done
	// answer after it, to the first done answer.
	P50Millis float64 `json:"p50Millis"`
	MaxMillis float64 `json:"maxMillis"`
	// GapMillis is the longest gap between done answers of one shard.
	GapMillis float64 `json:"gapMillis"`
	// ProvedMillis is the longest time between failed calls of one shard without a
	// done answer between them.
	ProvedMillis float64 `json:"provedMillis"`
}

// Spread summarises a distribution.
type Spread struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func newSpread(d measure.Distribution) Spread {
	return Spread{Count: d.Count(), P50: d.Quantile(0.5), P90: d.Quantile(0.9), P99: d.Quantile(0.99), Max: d.Max()}
}

// Report is the JSON form of an assessment.
type Report struct {
	Acceptances int            `json:"acceptances"`
	Calls       int            `json:"calls"`
	Outcomes    map[string]int `json:"outcomes"`
	Kinds       map[string]int `json:"findings"`
	Findings    []string       `json:"findingTexts"`
	Faults      []FaultResult  `json:"faults"`
	PeakToMean  []string       `json:"peakToMean"`
	// Unserved holds the gaps of all shards during the run.
	Unserved Spread  `json:"unservedMillis"`
	ChurnMax float64 `json:"ownerChangesPerKeyMax"`
}

// Run adds the records to the history, checks it and measures each fault.
func Run(history *audit.History, acceptances []record.Acceptance, calls []record.Call, events []Event) Report {
	history.AddAcceptances(acceptances...)
	history.AddCalls(calls...)
	for _, a := range acceptances {
		if a.TookEffect {
			history.AddEffects(a.ServiceName(), a.Key, a.RequestID)
		}
	}
	r := Report{
		Acceptances: len(acceptances), Calls: len(calls),
		Outcomes: make(map[string]int), Kinds: make(map[string]int), ChurnMax: measure.OwnerChangesPerKey(acceptances).Max(),
	}
	for _, c := range calls {
		if c.RequestID != "" {
			r.Outcomes[outcomeName(c)]++
		}
	}
	for _, f := range history.Check() {
		r.Kinds[f.Kind()]++
		r.Findings = append(r.Findings, f.Kind()+": "+f.String())
	}
	for _, i := range measure.Imbalances(acceptances) {
		r.PeakToMean = append(r.PeakToMean, fmt.Sprintf("%s %.3f over %d upstreams", i.Service(), i.PeakToMean(), i.Upstreams()))
	}
	gaps := measure.Gaps(calls)
	r.Unserved = newSpread(measure.GapLengths(gaps))
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
func assessFault(event Event, gaps []measure.Gap) FaultResult {
	result := FaultResult{Event: event}
	var lengths []float64
	shards := make(map[measure.Shard]bool)
	for _, g := range gaps {
		if g.UntilUnixMicros() <= event.FromUnixMicros || g.FirstFailedUnixMicros() >= event.UntilUnixMicros {
			continue
		}
		from := max(g.FromUnixMicros(), event.FromUnixMicros)
		lengths = append(lengths, float64(g.UntilUnixMicros()-from)/float64(time.Millisecond.Microseconds()))
		result.GapMillis = max(result.GapMillis, g.Millis())
		result.ProvedMillis = max(result.ProvedMillis, g.FailingMillis())
		shards[g.Shard()] = true
	}
	d := measure.NewDistribution(lengths)
	result.Shards, result.P50Millis, result.MaxMillis = len(shards), d.Quantile(0.5), d.Max()
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
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%d\n", f.Name, f.Shards, f.P50Millis, f.MaxMillis, f.GapMillis, f.ProvedMillis, f.verdict(), f.StopMillis)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%d acceptances, %d calls: %v\n", r.Acceptances, r.Calls, r.Outcomes)
	for _, text := range r.PeakToMean {
		_, _ = fmt.Fprintln(out, "peak-to-mean load:", text)
	}
	_, _ = fmt.Fprintf(out, "gaps of shards with failed calls in them: %d, p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, max %.0f ms\n",
		r.Unserved.Count, r.Unserved.P50, r.Unserved.P90, r.Unserved.P99, r.Unserved.Max)
	_, _ = fmt.Fprintf(out, "owner changes of one key: at most %.0f\n", r.ChurnMax)
	_, err := fmt.Fprintf(out, "audit: %d findings %v\n", len(r.Findings), r.Kinds)
	for _, text := range r.Findings[:min(len(r.Findings), shownFindings)] {
		_, _ = fmt.Fprintln(out, "  "+text)
	}
	return err
}

func (f FaultResult) verdict() string {
	switch {
	case !f.Targeted:
		return "none"
	case f.MaxMillis <= TargetMillis:
		return "met"
	default:
		return "MISSED"
	}
}

// Failed tells whether the audit found a violation or a fault missed its target.
func (r Report) Failed() bool {
	missed := func(f FaultResult) bool { return f.Targeted && f.MaxMillis > TargetMillis }
	return len(r.Findings) > 0 || slices.ContainsFunc(r.Faults, missed)
}
