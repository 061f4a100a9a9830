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
	// watchersPerRegion is the number of sidecars of a region that watch the operator's
	// rows at the store and relay them to the others. With two, the loss of one causes
	// no delay. Only the first one watches the router's rows, which change more often.
	watchersPerRegion = 2
	// syncInterval is the mean time between two sync rounds with the watchers; the time
	// varies at random between 400 and 800 ms. Together with the time in which a watcher
	// detects that the store doesn't respond (1.1 s) and controlTimeout it stays below
	// the 2,500 ms within which a manifest must be applied.
	syncInterval = 600 * time.Millisecond
	// randomSyncRounds is the number of sync rounds after which this sidecar also syncs
	// with a random sidecar of any region, which may have rows that its own region
	// lacks.
	randomSyncRounds = 3
	// unreachableTime is the time in milliseconds for which a sidecar that did not
	// respond is not counted as a watcher and gets no proposals.
	unreachableTime clock.Millis = 4000
)

// syncLoop compares rows with the watchers of the region until ctx ends. This sidecar
// watches the store itself while it is one of them or none of the others does.
func (a *App) syncLoop(ctx context.Context) {
	for round := 1; ctx.Err() == nil; round++ {
		sleepJittered(ctx, syncInterval*2/3)
		watchers, ownIndex := a.state.regionWatchers(a.clock.Now())
		anyWatching := a.syncWithAll(ctx, watchers)
		a.setWatching(store.OperatorRows, !anyWatching || ownIndex >= 0)
		// The second watcher gets the router's rows from the first.
		a.setWatching(store.RouterRows, !anyWatching || ownIndex == 0)
		a.watcherRoleKnown.Store(len(watchers) > 0)
		if round%randomSyncRounds == 0 {
			if m, ok := a.state.randomPeer(); ok {
				a.syncWith(ctx, m)
			}
		}
	}
}

// setWatching starts or stops watching a feed of the store.
func (a *App) setWatching(feed store.Feed, watching bool) {
	if a.watching[feed].Swap(watching) != watching {
		a.log.Info().Int("feed", int(feed)).Bool("reading", watching).Msg("storeReading")
	}
}

// syncWithAll compares rows with the members concurrently and reports whether any of
// them watches the store.
func (a *App) syncWithAll(ctx context.Context, members []fleet.Member) bool {
	var anyWatching atomic.Bool
	var tasks conc.WaitGroup
	for _, m := range members {
		tasks.Go(func() {
			if a.syncWith(ctx, m) {
				anyWatching.Store(true)
			}
		})
	}
	tasks.Wait()
	return anyWatching.Load()
}

// syncWith exchanges newer rows with another sidecar and reports whether that sidecar
// watches the store.
func (a *App) syncWith(ctx context.Context, member fleet.Member) bool {
	address := member.Instance.PeerAddress()
	var response syncResponse
	if err := a.peers.call(ctx, address, pathSync, syncRequest{Checksum: a.rows.Checksum()}, &response); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
		a.state.markUnreachable(a.clock.Now(), member)
		return false
	}
	watching := response.Watching
	if response.Same {
		return watching
	}
	if err := a.peers.call(ctx, address, pathSync, syncRequest{Versions: a.rows.Versions()}, &response); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
		return false
	}
	a.applyRows(decodeRows(response.Rows))
	if response.Behind {
		// The versions of the other sidecar are not known here, so it gets all rows and
		// applies the newer ones.
		a.sendRows(ctx, member, a.rows.NewerThan(nil))
	}
	return watching
}

// handleSync compares the rows of another sidecar with the local ones. Watching is set in
// the response if this sidecar watches the operator's rows and the store answers for each
// feed that it watches.
func (a *App) handleSync(request syncRequest) syncResponse {
	watching := a.watching[store.OperatorRows].Load()
	for i := range a.feedReachable {
		watching = watching && (a.feedReachable[i].Load() || !a.watching[i].Load())
	}
	if request.Versions == nil {
		return syncResponse{Same: request.Checksum == a.rows.Checksum(), Watching: watching}
	}
	return syncResponse{Watching: watching, Rows: encodeRows(a.rows.NewerThan(request.Versions)), Behind: a.rows.IsBehind(request.Versions)}
}

func (a *App) sendRows(ctx context.Context, to fleet.Member, rows []table.Row) {
	var response struct{}
	if err := a.peers.call(ctx, to.Instance.PeerAddress(), pathRows, rowsRequest{Rows: encodeRows(rows)}, &response); err != nil {
		a.log.Debug().Err(err).Str("peer", to.Instance.Name()).Msg("rowsNotSent")
	}
}

// relayRows sends changed rows to the sidecars of the region that get their rows from
// this one. Rows from the store are also sent to the other watchers.
func (a *App) relayRows(ctx context.Context, rows []table.Row, fromStore bool) {
	if len(rows) == 0 {
		return
	}
	for _, m := range a.state.relayTargets(a.clock.Now(), fromStore) {
		a.goOnce("sendRows", func() { a.sendRows(ctx, m, rows) })
	}
}

// regionMembers returns the members of this sidecar's region, including itself, that are
// not marked as unreachable, sorted by name. The caller holds s.mu.
func (s *state) regionMembers(now clock.Millis) []fleet.Member {
	var members []fleet.Member
	for _, m := range s.view.Members() {
		if m.Instance.Location().Region() == s.instance.Location().Region() && now >= s.unreachableUntil[m.Instance.Name()] {
			members = append(members, m)
		}
	}
	return members
}

// regionWatchers returns the other sidecars of the region that should watch the store,
// and this sidecar's index among all watchers of the region, or -1 if it is none.
func (s *state) regionWatchers(now clock.Millis) ([]fleet.Member, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	watchers := s.regionMembers(now)
	watchers = watchers[:min(len(watchers), watchersPerRegion)]
	ownIndex := slices.IndexFunc(watchers, s.isSelf)
	if ownIndex < 0 {
		return watchers, ownIndex
	}
	return slices.Delete(watchers, ownIndex, ownIndex+1), ownIndex
}

// relayTargets returns the sidecars of the region to which this sidecar relays rows: its
// share of the sidecars that are no watchers and, if includeWatchers is set, the other
// watchers. It returns nil if this sidecar is no watcher.
func (s *state) relayTargets(now clock.Millis, includeWatchers bool) []fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := s.regionMembers(now)
	watchers := members[:min(len(members), watchersPerRegion)]
	ownIndex := slices.IndexFunc(watchers, s.isSelf)
	if ownIndex < 0 {
		return nil
	}
	var targets []fleet.Member
	for i, m := range watchers {
		if includeWatchers && i != ownIndex {
			targets = append(targets, m)
		}
	}
	for i, m := range members[len(watchers):] {
		if i%len(watchers) == ownIndex {
			targets = append(targets, m)
		}
	}
	return targets
}

func (s *state) isSelf(m fleet.Member) bool {
	return m.Instance.Name() == s.instance.Name()
}

// markUnreachable excludes a sidecar that did not respond from the watchers, the proposal
// targets and the choice of witnesses for a while.
func (s *state) markUnreachable(now clock.Millis, m fleet.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachableUntil[m.Instance.Name()] = now + unreachableTime
	s.keyController.AvoidWitness(now, m.Incarnation)
}

// randomPeer returns another sidecar at random, or false if none is known.
func (s *state) randomPeer() (fleet.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := slices.DeleteFunc(s.view.Members(), s.isSelf)
	if len(members) == 0 {
		return fleet.Member{}, false
	}
	return members[rand.IntN(len(members))], true //nolint:gosec // Used only to spread the calls.
}
