package dedupe_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dedupe"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
)

// TestStampedIDRunsOnce guards against a second run of a request whose record was evicted or
// whose shard has a new owner. The table and the stamps together must reject any repeat.
func TestStampedIDRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := dedupe.NewTable(dedupe.Limits{MaxIDs: 4, MaxTotalBytes: 20, MaxResponseBytes: 8})
		stamps, ran := map[string]string{}, map[string]bool{}
		now, epoch, since := clock.Millis(0), identity.Epoch(1), clock.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.SampledFrom([]int{0, 900, 1100, 200_000, 599_999, 600_001}).Draw(t, "advance"))
			if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
				epoch, since, table = epoch+1, now, dedupe.NewTable(dedupe.Limits{MaxIDs: 4, MaxTotalBytes: 20, MaxResponseBytes: 8})
			}
			age := dedupe.OwnershipAge{Epoch: epoch, Age: now - since, IsFirstOwner: epoch == 1}
			id := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "id"))
			if _, ok := stamps[id]; !ok {
				stamps[id] = age.Stamp()
			}
			name := dedupe.ID{Key: "k", RequestID: id}
			if _, ok := table.Begin(now, name, age.CheckStamp(stamps[id])).(dedupe.Accepted); !ok {
				continue
			}
			if ran[id] {
				t.Fatalf("ID %s ran twice", id)
			}
			if rapid.Bool().Draw(t, "refused") {
				table.Abandon(name)
				continue
			}
			ran[id] = true
			table.Finish(now, name, dedupe.Record{Outcome: outcome.Done{}, Body: make([]byte, rapid.IntRange(0, 12).Draw(t, "size")), Complete: true})
			if table.Len() > 4 || table.TotalBytes() > 20 {
				t.Fatalf("table holds %d IDs and %d bytes, limits are 4 and 20", table.Len(), table.TotalBytes())
			}
		}
	})
}

// TestTableLimits guards against unbounded memory, and against an ID that is evicted before
// dedupe.Retention has passed.
func TestTableLimits(t *testing.T) {
	is := is.New(t)
	table := dedupe.NewTable(dedupe.Limits{MaxIDs: 1, MaxResponseBytes: 4})
	a, b := dedupe.ID{RequestID: "a"}, dedupe.ID{RequestID: "b"}
	is.Equal(table.Begin(0, a, dedupe.VerdictNew), dedupe.Result(dedupe.Accepted{}))
	_, running := table.Begin(0, a, dedupe.VerdictNew).(dedupe.InProgress)
	is.True(running)
	table.Finish(0, a, dedupe.Record{Outcome: outcome.Done{}, Status: 200, Body: []byte("large"), Complete: true})
	repeat := table.Begin(dedupe.Retention, a, dedupe.VerdictPossiblyRun).(dedupe.Completed)
	is.Equal(repeat.Record().Status, 200)
	is.True(!repeat.Record().Complete)
	is.Equal(table.Begin(dedupe.Retention, b, dedupe.VerdictNew), dedupe.Result(dedupe.Full{}))
	is.Equal(table.Begin(dedupe.Retention+1, b, dedupe.VerdictNew), dedupe.Result(dedupe.Accepted{}))
}

// TestCheckStamp guards against a stamp with which a request that an earlier owner ran is run
// again.
func TestCheckStamp(t *testing.T) {
	is := is.New(t)
	shardAge := dedupe.OwnershipAge{Epoch: 3, Age: 700_000}
	is.Equal(shardAge.Stamp(), "3.700")
	is.Equal(shardAge.CheckStamp(""), dedupe.VerdictNew)
	is.Equal(shardAge.CheckStamp("3.100"), dedupe.VerdictNew)
	for _, stamp := range []string{"3.99", "2.700", "4.1", "3.701", "3", "x.y", "3.-1"} {
		is.Equal(shardAge.CheckStamp(stamp), dedupe.VerdictPossiblyRun)
	}
	shardAge.Age = 600_000
	is.Equal(shardAge.CheckStamp(""), dedupe.VerdictStampRequired)
	shardAge.IsFirstOwner = true
	is.Equal(shardAge.CheckStamp(""), dedupe.VerdictNew)
	hotKeyAge := dedupe.OwnershipAge{Epoch: 3, Age: 700_000, IsHotKey: true}
	is.Equal(hotKeyAge.CheckStamp(hotKeyAge.Stamp()), dedupe.VerdictNew)
	is.Equal(hotKeyAge.CheckStamp(shardAge.Stamp()), dedupe.VerdictPossiblyRun) // the epochs of the shard are counted separately
	is.Equal(shardAge.CheckStamp(hotKeyAge.Stamp()), dedupe.VerdictPossiblyRun)
}
