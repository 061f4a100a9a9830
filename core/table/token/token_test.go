package token_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/table"
	"briarwell.dev/core/table/memory"
	"briarwell.dev/core/table/token"
)

type fault int

const (
	noFault fault = iota
	loseRequest
	loseResponse
	delayRequest // The caller gets no response; the call takes effect at flush.
	sendTwice    // The transport repeats the call after a lost response.
	faultCount
)

var errLost = errors.New("request or response lost")

// faultyTable is a table that applies the fault returned by nextFault to each call.
type faultyTable struct {
	table.Table
	nextFault func() fault
	delayed   []table.Transaction
}

func (f *faultyTable) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	switch f.nextFault() {
	case loseResponse:
		return nil, table.NewOutageError("read", errLost)
	case delayRequest: // Delayed commits arrive right after this read.
		defer f.flush()
	default:
	}
	return f.Table.Read(ctx, keys)
}

func (f *faultyTable) Commit(ctx context.Context, transaction table.Transaction) (table.Revision, error) {
	switch f.nextFault() {
	case loseRequest:
		return 0, table.NewOutageError("commit", errLost)
	case loseResponse:
		_, _ = f.Table.Commit(ctx, transaction)
		return 0, table.NewOutageError("commit", errLost)
	case delayRequest:
		f.delayed = append(f.delayed, transaction)
		return 0, table.NewOutageError("commit", errLost)
	case sendTwice:
		_, _ = f.Table.Commit(ctx, transaction)
	default:
	}
	return f.Table.Commit(ctx, transaction)
}

func (f *faultyTable) flush() {
	for _, transaction := range f.delayed {
		_, _ = f.Table.Commit(context.Background(), transaction)
	}
	f.delayed = nil
}

// faultSequence returns the faults in order, and noFault after the last.
func faultSequence(faults ...fault) func() fault {
	return func() fault {
		if len(faults) == 0 {
			return noFault
		}
		first := faults[0]
		faults = faults[1:]
		return first
	}
}

// naiveClient repeats a commit whose response was lost.
type naiveClient struct{ table.Table }

func (n naiveClient) Commit(ctx context.Context, transaction table.Transaction) (table.Revision, error) {
	for {
		revision, err := n.Table.Commit(ctx, transaction)
		var outage *table.OutageError
		if !errors.As(err, &outage) {
			return revision, err
		}
	}
}

func newClient(inner table.Table, seed uint64) *token.Table {
	return token.New(inner, token.Seed(seed), token.Backoff(1, 2))
}

func putTransaction(key, value string, version table.Revision) table.Transaction {
	return table.NewTransaction(
		[]table.Condition{table.NewCondition(key, version)}, []table.Mutation{table.NewPut(key, []byte(value))})
}

func countRows(t interface{ Fatal(...any) }, rows table.Table, prefix string) int {
	found, _, err := rows.Scan(context.Background(), prefix, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(found)
}

// TestLostResponseIsResolved guards against a commit that is reported as a
// conflict, or applied twice, after its response was lost. naiveClient does both.
func TestLostResponseIsResolved(t *testing.T) {
	ctx := context.Background()
	for _, lost := range []fault{loseResponse, sendTwice} {
		is := is.New(t)
		client := newClient(&faultyTable{Table: memory.New(), nextFault: faultSequence(lost)}, 1)
		revision, err := client.Commit(ctx, putTransaction("a", "1", 0))
		is.NoErr(err)
		is.Equal(revision, table.Revision(1))

		_, err = naiveClient{&faultyTable{Table: memory.New(), nextFault: faultSequence(lost)}}.Commit(ctx, putTransaction("a", "1", 0))
		var conflict *table.ConflictError
		is.True(errors.As(err, &conflict)) // naiveClient reports a conflict with its own commit
	}
	is := is.New(t)
	unconditional := table.NewTransaction(nil, []table.Mutation{table.NewPut("a", []byte("1"))})
	rows := memory.New()
	_, err := naiveClient{&faultyTable{Table: rows, nextFault: faultSequence(loseResponse)}}.Commit(ctx, unconditional)
	is.NoErr(err)
	read, _ := rows.Read(ctx, []string{"a"})
	is.Equal(read[0].Version(), table.Revision(2)) // naiveClient wrote the row twice
	rows = memory.New()
	_, err = newClient(&faultyTable{Table: rows, nextFault: faultSequence(loseResponse)}, 1).Commit(ctx, unconditional)
	is.NoErr(err)
	read, _ = rows.Read(ctx, []string{"a"})
	is.Equal(read[0].Version(), table.Revision(1))
}

// TestConflictIsReported guards against a conflict with another client's write
// that is taken for one with the client's own commit, also if the response that
// reported the conflict was lost.
func TestConflictIsReported(t *testing.T) {
	for _, lost := range []fault{noFault, loseRequest, loseResponse, delayRequest, sendTwice} {
		is := is.New(t)
		rows := memory.New()
		_, err := rows.Commit(context.Background(), putTransaction("a", "other", 0))
		is.NoErr(err)
		faults := &faultyTable{Table: rows, nextFault: faultSequence(lost)}
		_, err = newClient(faults, 1).Commit(context.Background(), putTransaction("a", "1", 0))
		var conflict *table.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Key(), "a")
		is.Equal(conflict.Actual(), table.Revision(1))
		faults.flush()
		read, _ := rows.Read(context.Background(), []string{"a"})
		is.Equal(string(read[0].Value()), "other")
	}
}

// TestContextEndLeavesOutcomeUnresolved guards against an error that does not say
// that the transaction may still commit when the context ends.
func TestContextEndLeavesOutcomeUnresolved(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	client := newClient(&faultyTable{Table: memory.New(), nextFault: func() fault { return loseResponse }}, 1)
	_, err := client.Commit(ctx, putTransaction("a", "1", 0))
	var outage *table.OutageError
	var unresolved *token.UnresolvedError
	is.True(errors.As(err, &outage) && errors.As(err, &unresolved))
}

// TestTokenRowsAreRemoved guards against token rows that accumulate, and against
// abandoned rows that are removed while a delayed request could still arrive.
func TestTokenRowsAreRemoved(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	rows, now := memory.New(), time.Unix(1_000_000, 0)
	client := token.New(&faultyTable{Table: rows, nextFault: faultSequence(loseRequest)}, token.Seed(1), token.Backoff(1, 2),
		token.WallClock(func() time.Time { return now }))
	for i := range 200 {
		_, err := client.Commit(ctx, putTransaction("k"+strconv.Itoa(i), "1", 0))
		is.NoErr(err)
	}
	is.Equal(countRows(t, rows, token.Prefix), 2) // the row of the abandoned transaction and that of the last one
	now = now.Add(token.Retention.Duration())
	removed, err := client.Sweep(ctx)
	is.NoErr(err)
	is.Equal(removed, 0)
	now = now.Add(time.Millisecond)
	removed, err = client.Sweep(ctx)
	is.NoErr(err)
	is.Equal(removed, 2)
	is.Equal(countRows(t, rows, token.Prefix), 1) // the row of the sweep's own transaction
}

// TestCounterUnderFaults guards against commits that are lost, applied twice or
// reported wrongly. Two clients increment a counter under random faults. The
// counter must end at the number of reported successes, and each conflict must be
// explained by another client's write.
func TestCounterUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		rows := memory.New()
		faults := &faultyTable{Table: rows, nextFault: func() fault {
			return fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
		}}
		clients := []*token.Table{newClient(faults, 1), newClient(faults, 2)}
		committed := 0
		stale, _ := rows.Read(ctx, []string{"n"})
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			client := clients[rapid.IntRange(0, 1).Draw(t, "client")]
			fresh, _ := rows.Read(ctx, []string{"n"})
			base := fresh[0]
			if rapid.Bool().Draw(t, "stale") {
				base = stale[0]
			}
			stale = fresh
			_, err := client.Commit(ctx, putTransaction("n", strconv.Itoa(committed+1), base.Version()))
			var conflict *table.ConflictError
			switch {
			case err == nil:
				committed++
			case !errors.As(err, &conflict) || base.Version() == fresh[0].Version():
				t.Fatal("unexplained error", err)
			}
			if rapid.Bool().Draw(t, "flush") {
				faults.flush()
			}
		}
		faults.flush()
		final, _ := rows.Read(ctx, []string{"n"})
		found := string(final[0].Value())
		if want := strconv.Itoa(committed); found != want && (found != "" || committed != 0) {
			t.Fatal(fmt.Sprintf("counter is %q after %s reported commits", found, want))
		}
		if count := countRows(t, rows, "n"); count > 1 {
			t.Fatal("rows under n, want at most 1:", count)
		}
	})
}
