package app

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/fleet"
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
	// syncInterval is the mean time between two comparisons of rows with another
	// sidecar.
	syncInterval = time.Second
)

// follow keeps the rows of a feed up to date.
func (a *App) follow(ctx context.Context, feed store.Feed) {
	var after table.Revision
	loaded, reachable := false, true
	for ctx.Err() == nil {
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
			a.log.Warn().Bool("reachable", reachable).Err(err).Int("feed", int(feed)).Msg("storeReachable")
		}
		if err != nil {
			pause(ctx, storeBackoff)
			continue
		}
		a.takeRows(rows)
		if feed == store.OwnRows && !loaded {
			a.state.loaded(a.clock.Now())
		}
		after, loaded = revision, true
	}
}

// pause waits for d and up to as much again.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d + rand.N(d)): //nolint:gosec // It only spreads calls.
	}
}

// takeRows takes rows from the store or another sidecar.
func (a *App) takeRows(rows []table.Row) {
	now := a.clock.Now()
	for _, row := range a.rows.Apply(rows) {
		if row.Key() == store.ManifestKey {
			a.takeManifest(row.Value())
			continue
		}
		if err := a.state.take(now, row); err != nil {
			a.log.Error().Err(err).Msg("rowRejected")
		}
	}
	if len(rows) > 0 {
		a.publishSoon()
	}
}

// synchronise compares rows with other sidecars, so that those that the store
// turns away learn of changes too.
func (a *App) synchronise(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, syncInterval*2/3)
		if m, ok := a.state.anyPeer(); ok {
			a.compare(ctx, m)
		}
	}
}

func (a *App) compare(ctx context.Context, with fleet.Member) {
	address := with.Instance.PeerAddress()
	digest := a.rows.Digest()
	var theirs rowsMessage
	if err := a.peers.ask(ctx, address, pathSync, syncMessage{Versions: digest}, &theirs); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
		a.state.avoid(a.clock.Now(), with.Incarnation)
		return
	}
	a.takeRows(decodeRows(theirs.Rows))
	if !theirs.Behind {
		return
	}
	// The other sidecar's digest is not known: all rows go out, and it keeps the
	// newer ones.
	var done struct{}
	message := rowsMessage{Rows: encodeRows(a.rows.Newer(nil))}
	if err := a.peers.ask(ctx, address, pathRows, message, &done); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
	}
}

// anyPeer returns another sidecar at random.
func (s *state) anyPeer() (fleet.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := s.view.Members()
	for range members {
		m := members[rand.IntN(len(members))] //nolint:gosec // It only spreads calls.
		if m.Instance.Name() != s.instance.Name() {
			return m, true
		}
	}
	return fleet.Member{}, false
}
