package assess_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/audit"
	"briarwell.dev/core/audit/record"
	"briarwell.dev/demo/assess"
)

// TestTargets guards against a missed target or a violation that is reported as
// a pass.
func TestTargets(t *testing.T) {
	is := is.New(t)
	call := func(outcome string, sent, received int64) record.Call {
		return record.Call{Service: "o/s", Key: "k", Outcome: outcome, SentUnixMicros: sent, ReceivedUnixMicros: received}
	}
	fault := assess.Event{Name: "kill", Targeted: true, FromUnixMicros: 1_000_000, UntilUnixMicros: 9_000_000}
	calls := []record.Call{call("done", 0, 900_000), call("unknown", 950_000, 3_000_000), call("done", 3_900_000, 4_000_000)}
	report := assess.Run(&audit.History{}, nil, calls, []assess.Event{fault})
	is.Equal(report.Faults[0].Shards, 1)
	is.Equal(report.Faults[0].MaxMillis, 3000.0)
	is.Equal(report.Faults[0].GapMillis, 3100.0)
	is.True(!report.Failed())
	calls[2].ReceivedUnixMicros++
	is.True(assess.Run(&audit.History{}, nil, calls, []assess.Event{fault}).Failed())
	calls[0].RequestID = "never ran"
	is.True(assess.Run(&audit.History{}, nil, calls[:1], nil).Failed())
}
