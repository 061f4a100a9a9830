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
	// watchTime is for how long in milliseconds one call waits for changes; the
	// store allows 30 s.
	watchTime clock.Millis = 25_000
	// storeBackoff is the shortest time between two failed calls to the store;
	// as much again is added at random.
	storeBackoff = 250 * time.Millisecond
	// watchGap is the shortest time between two calls that wait for changes; as
	// much again is added at random. It joins changes that come together.
	watchGap = 20 * time.Millisecond
	// firstWatchGap is watchGap at the start, when all sidecars follow the store and
	// write their rows.
	firstWatchGap = 150 * time.Millisecond
	// readerPoll is the time between two looks at whether to follow the store.
	readerPoll = 50 * time.Millisecond
)

// follow keeps the rows of a feed up to date.
func (a *App) follow(ctx context.Context, feed store.Feed) {
	var after table.Revision
	loaded, reachable := false, true
	for ctx.Err() == nil {
		if loaded && !a.reading[feed].Load() {
			pause(ctx, readerPoll)
			continue
		}
		var rows []table.Row
		var revision table.Revision
		var err error
		if loaded {
			rows, revision, err = a.store.Watch(ctx, feed, after, watchTime)
		} else {
			rows, revision, err = a.store.Load(ctx, feed)
		}
		if ctx.Err() != nil {
			return
		}
		var history *store.HistoryError
		if errors.As(err, &history) {
			a.log.Warn().Err(err).Msg("storeHistoryGone")
			loaded = false
			pause(ctx, storeBackoff)
			continue
		}
		if (err == nil) != reachable {
			reachable = err == nil
			a.following[feed].Store(reachable)
			a.log.Warn().Bool("reachable", reachable).Err(err).Int("feed", int(feed)).Msg("storeReachable")
		}
		if err != nil {
			pause(ctx, storeBackoff)
			continue
		}
		a.state.storeAnswered(a.clock.Now())
		if changed := a.takeRows(rows); loaded && len(changed) > 0 {
			a.spreadRows(ctx, changed, true)
		}
		if feed == store.OwnRows && !loaded {
			a.state.loaded(a.clock.Now())
		}
		after, loaded = revision, true
		a.following[feed].Store(true)
		pause(ctx, a.watchGap())
	}
}

func (a *App) watchGap() time.Duration {
	if a.placed.Load() {
		return watchGap
	}
	return firstWatchGap
}

// pause waits for d and up to as much again.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d + rand.N(d)): //nolint:gosec // It only spreads calls.
	}
}

// takeRows takes rows from the store or another sidecar, and returns those that
// were news.
func (a *App) takeRows(rows []table.Row) []table.Row {
	now := a.clock.Now()
	changed := a.rows.Apply(rows)
	for _, row := range changed {
		if row.Key() == store.ManifestKey {
			a.takeManifest(row.Value())
			continue
		}
		if err := a.state.take(now, row); err != nil {
			a.log.Error().Err(err).Msg("rowRejected")
		}
	}
	if len(changed) > 0 {
		a.wakeControl()
	}
	return changed
}
