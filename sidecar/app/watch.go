package app

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/fleet"
	"briarwell.dev/platform/store"
)

const (
	// longPollWait is the time in milliseconds for which one call waits for changes. Nothing
	// else shows that the store will never answer a call whose connection stays alive, so it
	// also bounds for how long this sidecar is out of date.
	longPollWait clock.Millis = 3000
	// recheckWait replaces longPollWait for the first call after a failed one, as the store may
	// still be silent.
	recheckWait clock.Millis = 300
	// minStoreBackoff is the shortest pause after a call that the store refused; a random
	// time of up to the same length is added. During an outage, retry.Outage decides.
	minStoreBackoff = 250 * time.Millisecond
	// minWatchInterval is the shortest time between two calls that wait for changes; a
	// random time of up to the same length is added. It batches changes that are made
	// close together.
	minWatchInterval = 120 * time.Millisecond
	// startupWatchInterval replaces minWatchInterval at the start, when all sidecars
	// watch the store and write their rows. It is longer than most sync rounds, after
	// which few still watch.
	startupWatchInterval = 600 * time.Millisecond
	// watcherRoleWait is the longest time in milliseconds for which a feed that was read is
	// not watched because the sidecar doesn't know yet whether it has to: all write their
	// rows and would wake each other up.
	watcherRoleWait clock.Millis = 1200
	// watchingPollInterval is the shortest time between two checks whether to watch a
	// feed; a random time of up to the same length is added.
	watchingPollInterval = 50 * time.Millisecond
)

// watchLoop reads the rows of a feed and then, while this sidecar watches the feed,
// keeps them up to date until ctx ends.
func (a *App) watchLoop(ctx context.Context, feed store.Feed) {
	var after era.Revision
	loaded, reachable := false, true
	var outage storeOutage
	for ctx.Err() == nil {
		if loaded && !a.watching[feed].Load() {
			sleepJittered(ctx, watchingPollInterval)
			continue
		}
		newest := a.newest()
		rows, revision, asOf, err := a.readFeed(ctx, feed, after, loaded, reachable)
		if ctx.Err() != nil {
			return
		}
		var historyErr *store.HistoryGoneError
		if errors.As(err, &historyErr) {
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
			a.awaitFeed(ctx, feed, &outage)
			continue
		}
		outage.recordSuccess()
		if changed := a.applyFeed(feed, rows, revision, !loaded); loaded && len(changed) > 0 {
			a.relayRows(ctx, changed, true)
		}
		// Only now, since the answer before tells how old an evacuation row may be.
		a.state.recordStoreAnswer(a.clock.Now())
		if feed == store.OperatorRows && !newest.After(revision) { // An answer that is behind an earlier one shows nothing of the present.
			a.state.observeManifest(asOf, a.rows.Get(store.ManifestKey).Version())
		}
		a.recordRevision(revision)
		if feed == store.RouterRows && !loaded {
			a.state.markLoaded(a.clock.Now())
		}
		a.feedReachable[feed].Store(true)
		if !loaded {
			a.awaitWatcherRole(ctx)
		}
		after, loaded = revision, true
		sleepJittered(ctx, a.watchInterval())
	}
}

// readFeed reads all rows of a feed, or waits for changes after a revision if the rows are loaded. It
// also returns a time as of which the rows are complete.
func (a *App) readFeed(ctx context.Context, feed store.Feed, after era.Revision, loaded, reachable bool) ([]era.Row, era.Revision, clock.Millis, error) {
	if !loaded {
		asOf := a.clock.Now()
		rows, revision, err := a.store.ReadRows(ctx, feed)
		return rows, revision, asOf, err
	}
	wait := longPollWait
	if !reachable {
		wait = recheckWait
	}
	changes, asOf, err := a.watchRows(ctx, feed, after, wait)
	return changes.Rows(), changes.Revision(), asOf, err
}

// watchRows waits for changes of a feed. It also returns a time as of which they are complete.
func (a *App) watchRows(ctx context.Context, feed store.Feed, after era.Revision, wait clock.Millis) (store.Changes, clock.Millis, error) {
	asOf := a.clock.Now()
	changes, err := a.store.WatchRows(ctx, feed, after, wait)
	if changes.None() && a.clock.Now()-asOf >= wait {
		asOf += wait
	}
	return changes, asOf, err
}

// recordRevision records the revision of an answer of the store.
func (a *App) recordRevision(revision era.Revision) {
	for {
		known := a.newestRevision.Load()
		if known != nil && !revision.After(*known) || a.newestRevision.CompareAndSwap(known, &revision) {
			return
		}
	}
}

// newest returns the newest revision that was recorded.
func (a *App) newest() era.Revision {
	if known := a.newestRevision.Load(); known != nil {
		return *known
	}
	return era.Revision{}
}

// observeEra records an era of the store and reports whether it is newer than the known one.
func (a *App) observeEra(e era.Era) bool {
	newer := a.state.observeEra(a.clock.Now(), e)
	if newer {
		a.log.Warn().Uint64("era", e.Reported()).Msg("storeEra")
	}
	return newer
}

// awaitWatcherRole waits until it is known whether this sidecar has to watch the store, for
// at most watcherRoleWait. It returns at once if the sidecar is one of the region's watchers.
func (a *App) awaitWatcherRole(ctx context.Context) {
	for until := a.clock.Now() + watcherRoleWait; a.clock.Now() < until && ctx.Err() == nil && !a.watcherRoleKnown.Load(); {
		if _, ownIndex := a.state.regionWatchers(a.clock.Now()); ownIndex >= 0 {
			return
		}
		sleepJittered(ctx, watchingPollInterval)
	}
}

func (a *App) watchInterval() time.Duration {
	if a.watcherRoleKnown.Load() {
		return minWatchInterval
	}
	return startupWatchInterval
}

// sleepJittered waits for d and a random time of up to the same length, or until ctx
// ends.
func sleepJittered(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d + rand.N(d)): //nolint:gosec // Used only to spread the calls.
	}
}

// applyRows updates the local copy with rows from the store.
func (a *App) applyRows(rows []era.Row) {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	a.applyRowsLocked(rows, false)
}

// applyRowsLocked is applyRows while a.applyMu is held. It returns the rows of which the local copy did
// not have the version or the content. With allRead, the rows were not read as
// changes: they may have been written long ago.
func (a *App) applyRowsLocked(rows []era.Row, allRead bool) []era.Row {
	var changed []era.Row
	for _, row := range evacuationsFirst(rows, era.Row.Key) {
		if known := a.rows.Get(row.Key()); !known.Covers(row.Stamp) {
			// Also an invalid row is kept: its version is the store's.
			_ = a.applyToState(known, row, allRead) // It logs the error.
			changed = append(changed, a.rows.Apply([]era.Row{row})...)
		}
	}
	if len(changed) > 0 {
		a.wakeControl()
	}
	return changed
}

// applyToState passes a changed row to the manifest or the state machines: its content, and its version
// alone if the content is not newer than that of the known row. It logs the error.
// With allRead, the row was not read as a change.
func (a *App) applyToState(known, row era.Row, allRead bool) error {
	a.observeEra(row.Version().Era())
	joined := known.Join(row)
	if !row.Origin().After(known.Origin()) {
		if !joined.Stored() {
			a.telemetry.scope.Counter("rows_lost_by_store").Inc(1)
			a.log.Warn().Str("row", row.Key()).Stringer("version", joined.Version()).Stringer("content", joined.Origin()).Msg("rowLostByStore")
		}
		a.state.applyVersion(a.clock.Now(), joined)
		return nil
	}
	row = joined
	if row.Key() == store.ManifestKey {
		err := a.applyManifest(row.Value())
		if err == nil {
			a.state.recordManifestHeld(row.Version())
		}
		return err
	}
	if domain, ok := fleet.OutOfUseDomain(row.Key()); ok {
		return a.applyEvacuation(domain, row, allRead)
	}
	err := a.state.applyRow(a.clock.Now(), row)
	if err != nil {
		a.log.Error().Err(err).Msg("rowRejected")
	}
	return err
}
