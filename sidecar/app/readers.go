package app

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/table"
	"briarwell.dev/platform/store"
)

const (
	// watchersPerRegion is the number of sidecars of a region that follow the
	// operator's rows; the others learn from them, and one may be lost without a
	// delay. Only the first follows the own rows, which change more often.
	watchersPerRegion = 2
	// syncInterval is the shortest time between two comparisons of rows with the
	// readers; half as much is added at random. With the time in which a reader
	// notices that the store is silent (1.1 s) and the timeout of a message it
	// stays below the 2,500 ms in which a manifest must be in force.
	syncInterval = 600 * time.Millisecond
	// randomSyncRounds is after how many comparisons one with a sidecar of any region
	// follows, which may know what the own region does not.
	randomSyncRounds = 3
	// unreachableTime is the time in milliseconds for which a sidecar that did not
	// answer counts as no reader.
	unreachableTime clock.Millis = 4000
)

// syncLoop compares rows with the readers of the region, and follows the store
// itself while this sidecar is a reader or no reader is well.
func (a *App) syncLoop(ctx context.Context) {
	for round := 1; ctx.Err() == nil; round++ {
		sleepJittered(ctx, syncInterval*2/3)
		readers, place := a.state.regionWatchers(a.clock.Now())
		well := a.syncWithAll(ctx, readers)
		a.setWatching(store.OperatorRows, !well || place >= 0)
		// A later reader compares with those before it.
		a.setWatching(store.OwnRows, !well || place == 0)
		a.watcherRoleKnown.Store(len(readers) > 0)
		if round%randomSyncRounds == 0 {
			if m, ok := a.state.randomPeer(); ok {
				a.syncWith(ctx, m)
			}
		}
	}
}

// setWatching starts or ends to follow a feed.
func (a *App) setWatching(feed store.Feed, reading bool) {
	if a.watching[feed].Swap(reading) != reading {
		a.log.Info().Int("feed", int(feed)).Bool("reading", reading).Msg("storeReading")
	}
}

// syncWithAll compares rows with the readers and tells whether any of them follows
// the store.
func (a *App) syncWithAll(ctx context.Context, readers []fleet.Member) bool {
	var well atomic.Bool
	var checks conc.WaitGroup
	for _, m := range readers {
		checks.Go(func() {
			if a.syncWith(ctx, m) {
				well.Store(true)
			}
		})
	}
	checks.Wait()
	return well.Load()
}

// syncWith exchanges newer rows with another sidecar and tells whether that one
// follows the store.
func (a *App) syncWith(ctx context.Context, with fleet.Member) bool {
	address := with.Instance.PeerAddress()
	var answer syncResponse
	if err := a.peers.call(ctx, address, pathSync, syncRequest{Sum: a.rows.Checksum()}, &answer); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
		a.state.markUnreachable(a.clock.Now(), with)
		return false
	}
	reading := answer.Watching
	if answer.Same {
		return reading
	}
	if err := a.peers.call(ctx, address, pathSync, syncRequest{Versions: a.rows.Versions()}, &answer); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
		return false
	}
	a.applyRows(decodeRows(answer.Rows))
	if answer.Behind {
		// Its versions are not known: it keeps the rows that are news to it.
		a.sendRows(ctx, with, a.rows.NewerThan(nil))
	}
	return reading
}

// handleSync answers another sidecar that compares rows.
func (a *App) handleSync(m syncRequest) syncResponse {
	reading := a.watching[store.OperatorRows].Load()
	for i := range a.feedReachable {
		reading = reading && (a.feedReachable[i].Load() || !a.watching[i].Load())
	}
	if m.Versions == nil {
		return syncResponse{Same: m.Sum == a.rows.Checksum(), Watching: reading}
	}
	return syncResponse{Watching: reading, Rows: encodeRows(a.rows.NewerThan(m.Versions)), Behind: a.rows.IsBehind(m.Versions)}
}

func (a *App) sendRows(ctx context.Context, to fleet.Member, rows []table.Row) {
	var done struct{}
	if err := a.peers.call(ctx, to.Instance.PeerAddress(), pathRows, rowsRequest{Rows: encodeRows(rows)}, &done); err != nil {
		a.log.Debug().Err(err).Str("peer", to.Instance.Name()).Msg("rowsNotSent")
	}
}

// relayRows sends rows that are news to the sidecars of the region that learn from
// this one. Those that the store has told go to the other readers too.
func (a *App) relayRows(ctx context.Context, rows []table.Row, fromStore bool) {
	if len(rows) == 0 {
		return
	}
	for _, m := range a.state.relayTargets(a.clock.Now(), fromStore) {
		go a.sendRows(ctx, m, rows)
	}
}

// regionMembers returns the members of the own region that have answered lately, by
// name; s.mu is held.
func (s *state) regionMembers(now clock.Millis) []fleet.Member {
	var near []fleet.Member
	for _, m := range s.view.Members() {
		if m.Instance.Location().Region() == s.instance.Location().Region() && now >= s.unreachableUntil[m.Instance.Name()] {
			near = append(near, m)
		}
	}
	return near
}

// regionWatchers returns the other sidecars of the region that should follow the store,
// and the own place among the readers, -1 if this is none.
func (s *state) regionWatchers(now clock.Millis) ([]fleet.Member, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	near := s.regionMembers(now)
	near = near[:min(len(near), watchersPerRegion)]
	i := slices.IndexFunc(near, s.isSelf)
	if i < 0 {
		return near, i
	}
	return slices.Delete(near, i, i+1), i
}

// relayTargets returns the sidecars of the region to which this reader sends rows, with
// the other readers if it should. One that is no reader sends none.
func (s *state) relayTargets(now clock.Millis, readersToo bool) []fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	near := s.regionMembers(now)
	readers := near[:min(len(near), watchersPerRegion)]
	own := slices.IndexFunc(readers, s.isSelf)
	if own < 0 {
		return nil
	}
	var listeners []fleet.Member
	for i, m := range readers {
		if readersToo && i != own {
			listeners = append(listeners, m)
		}
	}
	for i, m := range near[len(readers):] {
		if i%len(readers) == own {
			listeners = append(listeners, m)
		}
	}
	return listeners
}

func (s *state) isSelf(m fleet.Member) bool {
	return m.Instance.Name() == s.instance.Name()
}

// markUnreachable notes that a sidecar did not answer.
func (s *state) markUnreachable(now clock.Millis, m fleet.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachableUntil[m.Instance.Name()] = now + unreachableTime
	s.custodian.AvoidWitness(now, m.Incarnation)
}

// randomPeer returns another sidecar at random.
func (s *state) randomPeer() (fleet.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := slices.DeleteFunc(s.view.Members(), s.isSelf)
	if len(members) == 0 {
		return fleet.Member{}, false
	}
	return members[rand.IntN(len(members))], true //nolint:gosec // It only spreads calls.
}
