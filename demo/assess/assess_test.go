package assess_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/audit"
	"briarwell.dev/core/audit/record"
	"briarwell.dev/demo/assess"
)

// TestReportFailsOnMissedTargetOrViolation guards against a run with a missed recovery
// target or an audit finding that is reported as passed.
func TestReportFailsOnMissedTargetOrViolation(t *testing.T) {
	is := is.New(t)
	call := func(outcome string, sent, received int64) record.Call {
		return record.Call{Service: "o/s", Key: "k", Outcome: outcome, SentUnixMicros: sent, ReceivedUnixMicros: received}
	}
	fault := assess.Fault{Name: "kill", HasTarget: true, StartUnixMicros: 1_000_000, SettledUnixMicros: 9_000_000}
	calls := []record.Call{call("done", 0, 900_000), call("unknown", 950_000, 3_000_000), call("done", 3_900_000, 4_000_000)}
	report := assess.Run(&audit.History{}, nil, calls, []assess.Fault{fault})
	is.Equal(report.Faults[0].UnservedShards, 1)
	is.Equal(report.Faults[0].RecoveryMaxMillis, 3000.0)
	is.Equal(report.Faults[0].MaxGapMillis, 3100.0)
	is.True(!report.Failed())
	calls[2].ReceivedUnixMicros++
	is.True(assess.Run(&audit.History{}, nil, calls, []assess.Fault{fault}).Failed())
	calls[0].RequestID = "never ran"
	is.True(assess.Run(&audit.History{}, nil, calls[:1], nil).Failed())
}
