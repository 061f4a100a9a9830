package app

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/table"
	"briarwell.dev/platform/store"
)

const (
	// longPollWait is for how long in milliseconds one call waits for changes; the
	// store allows 30 s.
	longPollWait clock.Millis = 25_000
	// minStoreBackoff is the shortest time between two failed calls to the store;
	// as much again is added at random.
	minStoreBackoff = 250 * time.Millisecond
	// minWatchInterval is the shortest time between two calls that wait for changes; as
	// much again is added at random. It joins changes that come together.
	minWatchInterval = 20 * time.Millisecond
	// startupWatchInterval is watchGap at the start, when all sidecars follow the store and
	// write their rows.
	startupWatchInterval = 150 * time.Millisecond
	// watchingPollInterval is the time between two looks at whether to follow the store.
	watchingPollInterval = 50 * time.Millisecond
)

// watchLoop keeps the rows of a feed up to date.
func (a *App) watchLoop(ctx context.Context, feed store.Feed) {
	var after table.Revision
	loaded, reachable := false, true
	for ctx.Err() == nil {
		if loaded && !a.watching[feed].Load() {
			sleepJittered(ctx, watchingPollInterval)
			continue
		}
		var rows []table.Row
		var revision table.Revision
		var err error
		if loaded {
			rows, revision, err = a.store.WatchRows(ctx, feed, after, longPollWait)
		} else {
			rows, revision, err = a.store.ReadRows(ctx, feed)
		}
		if ctx.Err() != nil {
			return
		}
		var history *store.HistoryGoneError
		if errors.As(err, &history) {
			a.log.Warn().Err(err).Msg("storeHistoryGone")
			loaded = false
			sleepJittered(ctx, minStoreBackoff)
			continue
		}
		if (err == nil) != reachable {
			reachable = err == nil
			a.feedReachable[feed].Store(reachable)
			a.log.Warn().Bool("reachable", reachable).Err(err).Int("feed", int(feed)).Msg("storeReachable")
		}
		if err != nil {
			sleepJittered(ctx, minStoreBackoff)
			continue
		}
		a.state.recordStoreAnswer(a.clock.Now())
		if changed := a.applyRows(rows); loaded && len(changed) > 0 {
			a.relayRows(ctx, changed, true)
		}
		if feed == store.OwnRows && !loaded {
			a.state.markLoaded(a.clock.Now())
		}
		after, loaded = revision, true
		a.feedReachable[feed].Store(true)
		sleepJittered(ctx, a.watchInterval())
	}
}

func (a *App) watchInterval() time.Duration {
	if a.watcherRoleKnown.Load() {
		return minWatchInterval
	}
	return startupWatchInterval
}

// sleepJittered waits for d and up to as much again.
func sleepJittered(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d + rand.N(d)): //nolint:gosec // It only spreads calls.
	}
}

// applyRows takes rows from the store or another sidecar, and returns those that
// were news.
func (a *App) applyRows(rows []table.Row) []table.Row {
	now := a.clock.Now()
	changed := a.rows.Apply(rows)
	for _, row := range changed {
		if row.Key() == store.ManifestKey {
			a.applyManifest(row.Value())
			continue
		}
		if err := a.state.applyRow(now, row); err != nil {
			a.log.Error().Err(err).Msg("rowRejected")
		}
	}
	if len(changed) > 0 {
		a.wakeControl()
	}
	return changed
}
