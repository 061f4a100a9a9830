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

// TestStampedIDRunsOnce guards against a second run of an ID whose record was
// dropped: the owner's table and stamps together must cover any repeat.
func TestStampedIDRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := dedupe.New(dedupe.Limits{Count: 4, Bytes: 20, AnswerBytes: 8})
		stamps, ran := map[string]string{}, map[string]bool{}
		now, epoch, since := clock.Millis(0), identity.Epoch(1), clock.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.SampledFrom([]int{0, 900, 1100, 200_000, 599_999, 600_001}).Draw(t, "advance"))
			if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
				epoch, since, table = epoch+1, now, dedupe.New(dedupe.Limits{Count: 4, Bytes: 20, AnswerBytes: 8})
			}
			held := dedupe.Held{Epoch: epoch, Millis: now - since, First: epoch == 1}
			id := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "id"))
			if _, ok := stamps[id]; !ok {
				stamps[id] = held.Stamp()
			}
			name := dedupe.ID{Key: "k", Request: id}
			if _, ok := table.Begin(now, name, held.Judge(stamps[id])).(dedupe.First); !ok {
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
			table.Finish(now, name, dedupe.Record{Outcome: outcome.Done{}, Body: make([]byte, rapid.IntRange(0, 12).Draw(t, "size")), Whole: true})
			if table.Len() > 4 || table.Bytes() > 20 {
				t.Fatalf("%d IDs, %d bytes", table.Len(), table.Bytes())
			}
		}
	})
}

// TestLimits guards against memory without bound, and against a kept ID that is
// evicted early.
func TestLimits(t *testing.T) {
	is := is.New(t)
	table := dedupe.New(dedupe.Limits{Count: 1, AnswerBytes: 4})
	a, b := dedupe.ID{Request: "a"}, dedupe.ID{Request: "b"}
	is.Equal(table.Begin(0, a, dedupe.VerdictRun), dedupe.Result(dedupe.First{}))
	_, running := table.Begin(0, a, dedupe.VerdictRun).(dedupe.Running)
	is.True(running)
	table.Finish(0, a, dedupe.Record{Outcome: outcome.Done{}, Status: 200, Body: []byte("large"), Whole: true})
	repeat := table.Begin(dedupe.Retention, a, dedupe.VerdictOlder).(dedupe.Repeat)
	is.Equal(repeat.Record().Status, 200)
	is.True(!repeat.Record().Whole)
	is.Equal(table.Begin(dedupe.Retention, b, dedupe.VerdictRun), dedupe.Result(dedupe.Full{}))
	is.Equal(table.Begin(dedupe.Retention+1, b, dedupe.VerdictRun), dedupe.Result(dedupe.First{}))
}

// TestJudge guards against a stamp that lets an ID of an earlier owner run.
func TestJudge(t *testing.T) {
	is := is.New(t)
	held := dedupe.Held{Epoch: 3, Millis: 700_000}
	is.Equal(held.Stamp(), "3.700")
	is.Equal(held.Judge(""), dedupe.VerdictRun)
	is.Equal(held.Judge("3.100"), dedupe.VerdictRun)
	for _, stamp := range []string{"3.99", "2.700", "4.1", "3.701", "3", "x.y", "3.-1"} {
		is.Equal(held.Judge(stamp), dedupe.VerdictOlder)
	}
	held.Millis = 600_000
	is.Equal(held.Judge(""), dedupe.VerdictStampRequired)
	held.First = true
	is.Equal(held.Judge(""), dedupe.VerdictRun)
	hot := dedupe.Held{Epoch: 3, Millis: 700_000, HotKey: true}
	is.Equal(hot.Judge(hot.Stamp()), dedupe.VerdictRun)
	is.Equal(hot.Judge(held.Stamp()), dedupe.VerdictOlder) // the epochs of the shard are others
	is.Equal(held.Judge(hot.Stamp()), dedupe.VerdictOlder)
}
