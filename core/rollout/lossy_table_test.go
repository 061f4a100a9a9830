package rollout_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"briarwell.dev/core/table"
	"briarwell.dev/core/table/memory"
)

// lossyTable is a table whose commits may get no response: the write then takes effect
// at once, later or never.
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

// drawLoss commits a delayed transaction at random. It reports whether the response to
// this commit is lost, and whether it is lost before the write.
func (l *lossyTable) drawLoss() (lost, beforeWrite bool) {
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
	outage := table.NewOutageError("commit", errors.New("response lost"))
	lost, beforeWrite := l.drawLoss()
	if lost && (beforeWrite || l.lossPercent == 100) {
		if l.lossPercent < 100 && l.random.IntN(2) == 0 {
			l.delayed = append(l.delayed, transaction)
		}
		return 0, outage
	}
	revision, err := l.Table.Commit(ctx, transaction)
	if lost && err == nil {
		return 0, outage
	}
	return revision, err
}
