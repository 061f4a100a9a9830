package memory_test

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/table"
	"briarwell.dev/core/table/memory"
)

// referenceTable is a simple table in a map. Its scan reads all rows.
type referenceTable struct {
	revision table.Revision
	rows     map[string]table.Row
}

func (r *referenceTable) commit(transaction table.Transaction) bool {
	for _, condition := range transaction.Conditions() {
		if r.rows[condition.Key()].Version() != condition.Version() {
			return false
		}
	}
	r.revision++
	for _, mutation := range transaction.Mutations() {
		switch mutation := mutation.(type) {
		case table.Put:
			r.rows[mutation.Key()] = table.NewRow(mutation.Key(), r.revision, mutation.Value())
		case table.Delete:
			delete(r.rows, mutation.Key())
		}
	}
	return true
}

func (r *referenceTable) scan(prefix string, since table.Revision) []string {
	var found []table.Row
	for key, row := range r.rows {
		if strings.HasPrefix(key, prefix) && row.Version() > since {
			found = append(found, row)
		}
	}
	return rowTexts(found)
}

// rowTexts returns the sorted texts of the rows: by version, and by key where
// several rows have the same version, as a scan does not order these.
func rowTexts(rows []table.Row) []string {
	texts := make([]string, 0, len(rows))
	for _, row := range rows {
		texts = append(texts, fmt.Sprintf("%06d %s=%s", row.Version(), row.Key(), row.Value()))
	}
	sort.Strings(texts)
	return texts
}

func drawTransaction(t *rapid.T, revision table.Revision) table.Transaction {
	key := rapid.SampledFrom([]string{"a", "a/1", "a/2", "ab/1", "b/1", "b/2", ""})
	var conditions []table.Condition
	if rapid.Bool().Draw(t, "conditional") {
		version := table.Revision(rapid.Uint64Range(0, uint64(revision)).Draw(t, "version"))
		conditions = []table.Condition{table.NewCondition(key.Draw(t, "condition"), version)}
	}
	var mutations []table.Mutation
	for range rapid.IntRange(0, 3).Draw(t, "mutations") {
		if rapid.Bool().Draw(t, "put") {
			mutations = append(mutations, table.NewPut(key.Draw(t, "key"), []byte(rapid.StringN(0, 2, 8).Draw(t, "value"))))
		} else {
			mutations = append(mutations, table.NewDelete(key.Draw(t, "key")))
		}
	}
	return table.NewTransaction(conditions, mutations)
}

// TestMatchesReferenceTable guards against a scan that misses, repeats or adds
// rows, and against a commit whose conditions don't hold.
func TestMatchesReferenceTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is, ctx := is.New(t), context.Background()
		var rows memory.Table
		model := &referenceTable{rows: make(map[string]table.Row)}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			transaction := drawTransaction(t, model.revision)
			revision, err := rows.Commit(ctx, transaction)
			var conflict *table.ConflictError
			if model.commit(transaction) {
				is.NoErr(err)
				is.Equal(revision, model.revision)
			} else {
				is.True(errors.As(err, &conflict))
				is.Equal(model.rows[conflict.Key()].Version(), conflict.Actual())
			}
			prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/1", "c"}).Draw(t, "prefix")
			since := table.Revision(rapid.Uint64Range(0, uint64(model.revision)).Draw(t, "since"))
			found, current, err := rows.Scan(ctx, prefix, since)
			is.NoErr(err)
			is.Equal(current, model.revision)
			is.True(sort.SliceIsSorted(found, func(i, j int) bool { return found[i].Version() < found[j].Version() }))
			is.Equal(rowTexts(found), model.scan(prefix, since))
		}
	})
}

// BenchmarkScanTail measures a scan of the last 10 writes to a large table.
func BenchmarkScanTail(b *testing.B) {
	for _, size := range []int{1000, 1_000_000} {
		var rows memory.Table
		for i := range size {
			mutation := table.NewPut(fmt.Sprintf("shards/%d", i), []byte("x"))
			_, _ = rows.Commit(context.Background(), table.NewTransaction(nil, []table.Mutation{mutation}))
		}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				found, _, _ := rows.Scan(context.Background(), "shards/", table.Revision(size-10))
				if len(found) != 10 {
					b.Fatal(len(found))
				}
			}
		})
	}
}
