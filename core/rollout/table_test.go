package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"

	"briarwell.dev/core/table"
)

// memoryTable is a table whose commits may lose their response: the write takes
// effect at once, later or never.
type memoryTable struct {
	mutex    sync.Mutex
	rows     map[string]table.Row
	revision table.Revision
	random   *rand.Rand
	lossPer  int
	late     []table.Transaction
	before   func()
}

func newTable(seed uint64, lossPercent int) *memoryTable {
	return &memoryTable{rows: map[string]table.Row{}, random: rand.New(rand.NewPCG(seed, 1)), lossPer: lossPercent}
}

func (m *memoryTable) lost() bool { return m.random.IntN(100) < m.lossPer }

// land applies a late transaction now and then.
func (m *memoryTable) land() {
	if len(m.late) > 0 && m.random.IntN(3) == 0 {
		_, _ = m.apply(m.late[0])
		m.late = m.late[1:]
	}
}

func (m *memoryTable) Read(_ context.Context, keys []string) ([]table.Row, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.land()
	rows := make([]table.Row, 0, len(keys))
	for _, key := range keys {
		row, ok := m.rows[key]
		if !ok {
			row = table.NewRow(key, 0, nil)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (m *memoryTable) Scan(_ context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.land()
	var rows []table.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && row.Version() > since {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key() < rows[j].Key() })
	return rows, m.revision, nil
}

func (m *memoryTable) Commit(_ context.Context, transaction table.Transaction) (table.Revision, error) {
	if m.before != nil {
		m.before()
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.land()
	if m.lost() {
		if m.lossPer < 100 && m.random.IntN(2) == 0 {
			m.late = append(m.late, transaction)
		}
		return 0, table.NewOutageError("commit", errors.New("lost before the write"))
	}
	revision, err := m.apply(transaction)
	if err == nil && m.lost() {
		return 0, table.NewOutageError("commit", errors.New("lost after the write"))
	}
	return revision, err
}

func (m *memoryTable) apply(transaction table.Transaction) (table.Revision, error) {
	for _, condition := range transaction.Conditions() {
		if actual := m.rows[condition.Key()].Version(); actual != condition.Version() {
			return 0, table.NewConflictError(condition.Key(), condition.Version(), actual)
		}
	}
	m.revision++
	for _, mutation := range transaction.Mutations() {
		put, ok := mutation.(table.Put)
		if !ok {
			panic(fmt.Sprintf("unexpected mutation of %s", mutation.Key()))
		}
		m.rows[put.Key()] = table.NewRow(put.Key(), m.revision, put.Value())
	}
	return m.revision, nil
}
