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
	mutex        sync.Mutex
	random       *rand.Rand
	lossPercent  int
	delayed      []table.Transaction
	beforeCommit func()
}

func newTable(seed uint64, lossPercent int) *lossyTable {
	return &lossyTable{random: rand.New(rand.NewPCG(seed, 1)), lossPercent: lossPercent}
}

// drawLoss lands a late transaction now and then, and tells whether this answer is
// lost, and before or after the write.
func (l *lossyTable) drawLoss() (lost, early bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.delayed) > 0 && l.random.IntN(3) == 0 {
		_, _ = l.Table.Commit(context.Background(), l.delayed[0])
		l.delayed = l.delayed[1:]
	}
	return l.random.IntN(100) < l.lossPercent, l.random.IntN(2) == 0
}

func (l *lossyTable) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	l.drawLoss()
	return l.Table.Read(ctx, keys)
}

func (l *lossyTable) Scan(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	l.drawLoss()
	return l.Table.Scan(ctx, prefix, since)
}

func (l *lossyTable) Commit(ctx context.Context, transaction table.Transaction) (table.Revision, error) {
	if l.beforeCommit != nil {
		l.beforeCommit()
	}
	noAnswer := table.NewOutageError("commit", errors.New("answer lost"))
	lost, early := l.drawLoss()
	if lost && (early || l.lossPercent == 100) {
		if l.lossPercent < 100 && l.random.IntN(2) == 0 {
			l.delayed = append(l.delayed, transaction)
		}
		return 0, noAnswer
	}
	revision, err := l.Table.Commit(ctx, transaction)
	if lost && err == nil {
		return 0, noAnswer
	}
	return revision, err
}
