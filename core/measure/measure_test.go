package measure_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/audit/record"
	"briarwell.dev/core/measure"
)

// TestImbalanceAndOwnerChanges guards against load that is not summed per upstream, and
// owner changes that are not counted per key.
func TestImbalanceAndOwnerChanges(t *testing.T) {
	is := is.New(t)
	acceptance := func(upstream, key string, start, end int64) record.Acceptance {
		return record.Acceptance{Service: "s", Upstream: upstream, Key: key, Epoch: 1, StartUnixMicros: start, EndUnixMicros: end}
	}
	records := []record.Acceptance{acceptance("a", "x", 0, 30), acceptance("b", "x", 40, 50), acceptance("a", "x", 60, 60), acceptance("a", "y", 5, 5)}
	imbalance := measure.Imbalances(records)
	is.Equal(len(imbalance), 1)
	is.Equal(imbalance[0].Upstreams(), 2)
	is.Equal(imbalance[0].PeakToMean(), 1.5)
	ownerChanges := measure.OwnerChangesPerKey(records)
	is.Equal(ownerChanges.Count(), 2)
	is.Equal(ownerChanges.Quantile(0.5), 0.0)
	is.Equal(ownerChanges.Max(), 2.0)
}

// TestGaps guards against idle time that is counted as time without service, and
// against a gap at the start or end of a run that is missed.
func TestGaps(t *testing.T) {
	is := is.New(t)
	call := func(shard uint32, outcome string, sent, received int64) record.Call {
		return record.Call{Service: "s", Key: "k", Shard: shard, Outcome: outcome, SentUnixMicros: sent, ReceivedUnixMicros: received}
	}
	gaps := measure.Gaps([]record.Call{
		call(1, "done", 0, 1000), call(1, "done", 90_000, 91_000), // idle
		call(2, "not-run", 0, 500), call(2, "done", 4000, 6000),
		call(3, "done", 0, 1000), call(3, "unknown", 2000, 9000), call(3, "", 9100, 9200),
	})
	is.Equal(len(gaps), 2)
	is.Equal(gaps[0].Shard(), measure.NewShard("s", 2))
	is.Equal(gaps[0].Millis(), 6.0)
	is.Equal(gaps[1].Millis(), 8.2)
	is.Equal(gaps[1].FailingMillis(), 7.1)
	longest, ok := measure.LongestGap(gaps, 7000, 8000)
	is.True(ok)
	is.Equal(longest.Shard().Number(), uint32(3))
	_, ok = measure.LongestGap(gaps, 10_000, 20_000)
	is.True(!ok)
	is.Equal(measure.GapLengths(gaps).Max(), 8.2)
}
