package app

import (
	"context"
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/platform/store"
)

const (
	// confirmTimeout bounds the search for the newest manifest, for which a request without a route
	// waits.
	confirmTimeout = 300 * time.Millisecond
	// confirmPause is the time in milliseconds after a search in which no other one begins.
	confirmPause clock.Millis = 250
	// confirmWait is the time in milliseconds for which the store waits for a change: next to none.
	confirmWait clock.Millis = 1
)

// confirmation is the search for the newest manifest. The zero value is none.
type confirmation struct {
	mu      sync.Mutex
	running chan struct{}
	endedAt clock.Millis
}

// confirmManifest finds out which manifest is the newest, at the store if this sidecar watches the
// operator's rows, otherwise by the first watcher of the region. One search at a time serves all
// requests that wait for it.
func (a *App) confirmManifest() {
	c := &a.confirmation
	c.mu.Lock()
	running := c.running
	due := running == nil && (c.endedAt == 0 || a.clock.Now()-c.endedAt >= confirmPause)
	if due {
		c.running = make(chan struct{})
	}
	c.mu.Unlock()
	switch {
	case due:
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			close(c.running)
			c.running, c.endedAt = nil, a.clock.Now()
		}()
		a.searchNewestManifest()
	case running != nil:
		<-running // It ends within confirmTimeout.
	}
}

func (a *App) searchNewestManifest() {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	watchers, ownIndex := a.state.regionWatchers(a.clock.Now())
	if ownIndex < 0 && len(watchers) > 0 && !a.watching[store.OperatorRows].Load() {
		a.syncConfirming(ctx, watchers[0], true)
		return
	}
	if !a.feedReachable[store.OperatorRows].Load() {
		return
	}
	a.applyMu.Lock()
	after := a.operatorRevision
	a.applyMu.Unlock()
	newest := a.newest()
	changes, asOf, err := a.watchRows(ctx, store.OperatorRows, after, confirmWait)
	if err != nil {
		a.log.Debug().Err(err).Msg("manifestNotConfirmed")
		return
	}
	if changed := a.applyFeed(store.OperatorRows, changes.Rows(), changes.Revision(), false); len(changed) > 0 {
		a.relayRows(context.Background(), changed, true)
	}
	if !newest.After(changes.Revision()) {
		a.state.observeManifest(asOf, a.rows.Get(store.ManifestKey).Version())
	}
	a.recordRevision(changes.Revision())
}
