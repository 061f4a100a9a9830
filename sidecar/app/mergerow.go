package app

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"briarwell.dev/core/fleet"
)

// rowMerge asks other sidecars for what they know of the own member row. The zero value has not begun.
type rowMerge struct {
	once sync.Once
	done atomic.Bool
}

// ownRowMerged reports whether the own member row may be relied on. A sidecar that was restarted after
// the store came back from an older copy first asks others for the row: the store may have lost a
// departure of the upstream that an earlier process had acknowledged.
func (a *App) ownRowMerged() bool {
	row := a.rows.Get(fleet.MemberKey(a.settings.Instance()))
	m := &a.rowMerge
	if row.Confirmed() || m.done.Load() || !a.state.isOwnRowOfPredecessor() {
		return true
	}
	m.once.Do(func() {
		a.goOnce("mergeOwnRow", func() {
			defer m.done.Store(true)
			ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
			defer cancel()
			asked, _ := a.state.regionWatchers(a.clock.Now())
			if other, ok := a.state.randomPeer(); ok {
				asked = append(asked, other)
			}
			a.syncWithAll(ctx, asked)
			a.log.Info().Int("asked", len(asked)).Stringer("row", a.rows.Get(row.Key()).Stamp).Msg("ownRowMerged")
		})
	})
	return false
}

// awaitOwnRowMerged waits until the own member row may be relied on, for little more than
// controlTimeout at most.
func (a *App) awaitOwnRowMerged() {
	for !a.ownRowMerged() {
		time.Sleep(grantPollInterval)
	}
}

// isOwnRowOfPredecessor reports whether an earlier process wrote the known own member row.
func (s *state) isOwnRowOfPredecessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, known := s.view.Member(s.instance.Name())
	return known && own.Incarnation != s.incarnation
}
