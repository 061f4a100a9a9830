package rollout_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"briarwell.dev/core/table"
	"briarwell.dev/core/table/memory"
)

// lossyTable is a table whose commits may lose their answer: the write takes
// effect at once, later or never.
type lossyTable struct {
	memory.Table
	mutex   sync.Mutex
	random  *rand.Rand
	lossPer int
	late    []table.Transaction
	before  func()
}

func newTable(seed uint64, lossPercent int) *lossyTable {
	return &lossyTable{random: rand.New(rand.NewPCG(seed, 1)), lossPer: lossPercent}
}

// draw lands a late transaction now and then, and tells whether this answer is
// lost, and before or after the write.
func (l *lossyTable) draw() (lost, early bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.late) > 0 && l.random.IntN(3) == 0 {
		_, _ = l.Table.Commit(context.Background(), l.late[0])
		l.late = l.late[1:]
	}
	return l.random.IntN(100) < l.lossPer, l.random.IntN(2) == 0
}

func (l *lossyTable) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	l.draw()
	return l.Table.Read(ctx, keys)
}

func (l *lossyTable) Scan(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	l.draw()
	return l.Table.Scan(ctx, prefix, since)
}

func (l *lossyTable) Commit(ctx context.Context, transaction table.Transaction) (table.Revision, error) {
	if l.before != nil {
		l.before()
	}
	noAnswer := table.NewOutageError("commit", errors.New("answer lost"))
	lost, early := l.draw()
	if lost && (early || l.lossPer == 100) {
		if l.lossPer < 100 && l.random.IntN(2) == 0 {
			l.late = append(l.late, transaction)
		}
		return 0, noAnswer
	}
	revision, err := l.Table.Commit(ctx, transaction)
	if lost && err == nil {
		return 0, noAnswer
	}
	return revision, err
}
