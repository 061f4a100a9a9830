// Package memory implements table.Table in memory.
package memory

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"

	"briarwell.dev/core/table"
)

// minCompactionEntries is the number of entries below which a log is not
// compacted.
const minCompactionEntries = 64

// Table is a table.Table in memory. The zero value is empty and ready for use.
// It is safe for concurrent use.
type Table struct {
	mu       sync.RWMutex
	revision table.Revision
	rows     map[string]table.Row
	// logs has a log of writes for each first path segment of the keys, so that a
	// scan reads only the writes after its revision.
	logs map[string]*writeLog
}

// writeLog holds writes by ascending revision. An entry is superseded once its
// row is written again or removed, and live until then.
type writeLog struct {
	entries []logEntry
	// liveEntries is the number of live entries.
	liveEntries int
}

type logEntry struct {
	revision table.Revision
	key      string
}

// New returns an empty table.
func New() *Table { return &Table{} }

// Read returns the rows at the keys, in order.
func (t *Table) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, table.NewOutageError("read", err)
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	rows := make([]table.Row, 0, len(keys))
	for _, key := range keys {
		row, ok := t.rows[key]
		if !ok {
			row = table.NewRow(key, 0, nil)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Scan returns the rows under prefix written after since, by ascending version.
// Its cost is proportional to the number of writes after since whose keys share
// the first path segment of the prefix.
func (t *Table) Scan(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, table.NewOutageError("scan", err)
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	if segment, _, ok := strings.Cut(prefix, "/"); ok {
		return t.appendLiveRows(nil, t.logs[segment], prefix, since), t.revision, nil
	}
	var rows []table.Row
	for segment, log := range t.logs {
		if strings.HasPrefix(segment, prefix) {
			rows = t.appendLiveRows(rows, log, prefix, since)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version() < rows[j].Version() })
	return rows, t.revision, nil
}

// appendLiveRows appends the live rows of log under prefix written after since.
func (t *Table) appendLiveRows(rows []table.Row, log *writeLog, prefix string, since table.Revision) []table.Row {
	if log == nil {
		return rows
	}
	first := sort.Search(len(log.entries), func(i int) bool { return log.entries[i].revision > since })
	for _, entry := range log.entries[first:] {
		if !strings.HasPrefix(entry.key, prefix) {
			continue
		}
		if row, ok := t.rows[entry.key]; ok && row.Version() == entry.revision {
			rows = append(rows, row)
		}
	}
	return rows
}

// Commit applies the transaction. Of several mutations of the same row, only the
// last is applied.
func (t *Table) Commit(ctx context.Context, transaction table.Transaction) (table.Revision, error) {
	if err := ctx.Err(); err != nil {
		return 0, table.NewOutageError("commit", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, condition := range transaction.Conditions() {
		actual := t.rows[condition.Key()].Version()
		if actual != condition.Version() {
			return 0, table.NewConflictError(condition.Key(), condition.Version(), actual)
		}
	}
	t.revision++
	mutations := transaction.Mutations()
	for i, mutation := range mutations {
		if !isOverridden(mutation.Key(), mutations[i+1:]) {
			t.apply(mutation)
		}
	}
	return t.revision, nil
}

// isOverridden reports whether a later mutation of the transaction changes the
// row at key. A linear search suffices, as transactions have few mutations.
func isOverridden(key string, later []table.Mutation) bool {
	for _, mutation := range later {
		if mutation.Key() == key {
			return true
		}
	}
	return false
}

func (t *Table) apply(mutation table.Mutation) {
	if t.rows == nil {
		t.rows = make(map[string]table.Row)
		t.logs = make(map[string]*writeLog)
	}
	key := mutation.Key()
	segment, _, _ := strings.Cut(key, "/")
	log := t.logs[segment]
	if log == nil {
		log = &writeLog{}
		t.logs[segment] = log
	}
	if _, existed := t.rows[key]; existed {
		log.liveEntries--
	}
	switch mutation := mutation.(type) {
	case table.Put:
		t.rows[key] = table.NewRow(key, t.revision, bytes.Clone(mutation.Value()))
		log.entries = append(log.entries, logEntry{revision: t.revision, key: key})
		log.liveEntries++
	case table.Delete:
		delete(t.rows, key)
	}
	t.compact(segment, log)
}

// compact removes the superseded entries if there are at least as many as live
// ones, so that a log above minCompactionEntries has at most twice as many
// entries as rows.
func (t *Table) compact(segment string, log *writeLog) {
	if len(log.entries) < minCompactionEntries || len(log.entries) < 2*log.liveEntries {
		return
	}
	kept := make([]logEntry, 0, log.liveEntries)
	for _, entry := range log.entries {
		if row, ok := t.rows[entry.key]; ok && row.Version() == entry.revision {
			kept = append(kept, entry)
		}
	}
	log.entries = kept
	if len(kept) == 0 {
		delete(t.logs, segment)
	}
}
