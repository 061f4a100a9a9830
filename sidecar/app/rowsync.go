package app

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/fleet"
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
		a.fetchNext() // A transfer that has failed may be due again.
		watchers, ownIndex := a.state.regionWatchers(a.clock.Now())
		anyWatching := a.syncWithAll(ctx, watchers)
		a.setWatching(store.OperatorRows, !anyWatching || ownIndex >= 0)
		// The second watcher gets the router's rows from the first.
		a.setWatching(store.RouterRows, !anyWatching || ownIndex == 0)
		a.watcherRoleKnown.Store(len(watchers) > 0 || ownIndex >= 0)
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
	return a.syncConfirming(ctx, member, false)
}

// syncConfirming is syncWith. With confirm, the other sidecar is to find out which manifest is the
// newest.
func (a *App) syncConfirming(ctx context.Context, member fleet.Member, confirm bool) bool {
	address := member.Instance.PeerAddress()
	request := syncRequest{
		Checksum: a.rows.Checksum(), Newest: a.rows.Newest(), Assignments: a.assignmentVersions(), Fetches: true,
		Unstored: a.rows.Unstored(),
		Confirm:  confirm,
	}
	var response syncResponse
	sentAt := a.clock.Now()
	if err := a.peers.call(ctx, address, pathSync, request, &response); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
		a.state.markUnreachable(a.clock.Now(), member)
		return false
	}
	_, missing := a.applyEncodedRows(response.Rows)
	a.addOffers(address, response.Offers)
	// Only now, since the answer before tells how old an evacuation row may be.
	a.state.recordStoreAnswerAge(sentAt, response.StoreAge)
	if response.ManifestAge != nil && *response.ManifestAge >= 0 {
		a.state.observeManifest(sentAt-*response.ManifestAge, response.ManifestRevision)
	}
	if response.Same {
		return response.Watching
	}
	if request.Newest.After(response.Newest) {
		a.sendRows(ctx, member, a.rows.ChangedAfter(response.Newest))
	}
	a.exchangeUnstored(ctx, member, response)
	if len(missing) > 0 || request.Newest.Era() != response.Newest.Era() || a.rows.Newest() == response.Newest && a.rows.Checksum() != response.Checksum {
		a.syncVersions(ctx, member, missing)
	}
	return response.Watching
}

// exchangeUnstored sends and gets the rows whose content the store has lost, as far as one of both
// sidecars lacks them: a newer version of a row does not show that its content is known.
func (a *App) exchangeUnstored(ctx context.Context, member fleet.Member, response syncResponse) {
	wanted := make([]era.Row, 0, len(response.Wanted))
	for _, key := range response.Wanted {
		wanted = append(wanted, a.rows.Get(key))
	}
	if len(wanted) > 0 {
		a.sendEncodedRows(ctx, member, rowsRequest{Rows: a.encodeRowsSince(wanted, nil), From: a.settings.PeerAddress()})
	}
	lacking := a.rows.Lacking(response.Unstored)
	if len(lacking) == 0 {
		return
	}
	request := syncRequest{Stamps: make(map[string]era.Stamp, len(lacking)), Only: true, Fetches: true}
	for _, key := range lacking {
		request.Stamps[key] = a.rows.Get(key).Stamp
	}
	var rows syncResponse
	address := member.Instance.PeerAddress()
	if err := a.peers.call(ctx, address, pathSync, request, &rows); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
		return
	}
	changed, _ := a.applyEncodedRows(rows.Rows)
	a.addOffers(address, rows.Offers)
	a.relayRows(ctx, changed, false)
}

// syncVersions compares the stamp of each row with another sidecar, for the case that the
// rows differ although the newest ones are the same: a change that was relayed may have
// overtaken an earlier one. The keys of missing rows get whole rows.
func (a *App) syncVersions(ctx context.Context, member fleet.Member, missing map[string]era.Revision) {
	address := member.Instance.PeerAddress()
	stamps := a.rows.Stamps()
	for key := range missing {
		delete(stamps, key)
	}
	var response syncResponse
	if err := a.peers.call(ctx, address, pathSync, syncRequest{Stamps: stamps, Fetches: true}, &response); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
		return
	}
	a.applyEncodedRows(response.Rows)
	a.addOffers(address, response.Offers)
	if response.Behind {
		// The stamps of the other sidecar are not known here, so it gets all rows and
		// applies the newer ones.
		a.sendRows(ctx, member, a.rows.NewerThan(nil))
	}
}

// handleSync compares the rows of another sidecar with the local ones. Watching is set in
// the response if this sidecar watches the operator's rows and the store answers for each
// feed that it watches.
func (a *App) handleSync(request syncRequest) syncResponse {
	if request.Confirm && a.watching[store.OperatorRows].Load() {
		a.confirmManifest()
	}
	watching := a.watching[store.OperatorRows].Load()
	for i := range a.feedReachable {
		watching = watching && (a.feedReachable[i].Load() || !a.watching[i].Load())
	}
	if request.Stamps != nil {
		newer := a.rows.NewerThan(request.Stamps)
		if request.Only {
			newer = slices.DeleteFunc(newer, func(r era.Row) bool { _, ok := request.Stamps[r.Key()]; return !ok })
		}
		rows, offers := separateLarge(newer, request.Fetches)
		return syncResponse{
			Watching: watching, Rows: a.encodeRowsSince(rows, origins(request.Stamps)), Offers: offers, Behind: a.rows.IsBehind(request.Stamps),
		}
	}
	response := syncResponse{Watching: watching, Checksum: a.rows.Checksum(), Newest: a.rows.Newest(), StoreAge: a.state.storeAnswerAge(a.clock.Now())}
	response.ManifestRevision, response.ManifestAge = a.state.manifestObservation(a.clock.Now())
	response.Same = request.Checksum == response.Checksum
	if !response.Same {
		response.Unstored, response.Wanted = a.rows.Unstored(), a.rows.Lacking(request.Unstored)
	}
	if !response.Same && !request.Newest.IsZero() {
		var rows []era.Row
		rows, response.Offers = separateLarge(a.rows.ChangedAfter(request.Newest), request.Fetches)
		response.Rows = a.encodeRowsSince(rows, request.Assignments)
	}
	return response
}

// sendRows sends rows to another sidecar, assignments as their last change, and offers it the large
// ones. If that sidecar has another revision, it gets what it lacks.
func (a *App) sendRows(ctx context.Context, to fleet.Member, rows []era.Row) {
	a.sendEncodedRows(ctx, to, a.newRowsRequest(rows))
}

// newRowsRequest returns the message with which rows are relayed.
func (a *App) newRowsRequest(rows []era.Row) rowsRequest {
	rows, offers := separateLarge(rows, true)
	return rowsRequest{Rows: a.encodeLastChanges(rows), Offers: offers, From: a.settings.PeerAddress()}
}

func (a *App) sendEncodedRows(ctx context.Context, to fleet.Member, request rowsRequest) {
	request.StoreAge = a.state.storeAnswerAge(a.clock.Now())
	var response rowsResponse
	if err := a.peers.call(ctx, to.Instance.PeerAddress(), pathRows, request, &response); err != nil {
		a.log.Debug().Err(err).Str("peer", to.Instance.Name()).Msg("rowsNotSent")
		return
	}
	if len(response.Missing) == 0 {
		return
	}
	lacking := make([]era.Row, 0, len(response.Missing))
	for key := range response.Missing {
		lacking = append(lacking, a.rows.Get(key))
	}
	request = rowsRequest{Rows: a.encodeRowsSince(lacking, response.Missing)}
	if err := a.peers.call(ctx, to.Instance.PeerAddress(), pathRows, request, &response); err != nil {
		a.log.Debug().Err(err).Str("peer", to.Instance.Name()).Msg("rowsNotSent")
	}
}

// handleRows applies rows from another sidecar and relays those that were newer.
func (a *App) handleRows(request rowsRequest) rowsResponse {
	receivedAt := a.clock.Now()
	changed, missing := a.applyEncodedRows(request.Rows)
	a.state.recordStoreAnswerAge(receivedAt, request.StoreAge)
	if a.state.knowsPeer(request.From) {
		a.addOffers(request.From, request.Offers)
	}
	a.relayRows(context.Background(), changed, false)
	return rowsResponse{Missing: missing}
}

// relayRows sends changed rows to the sidecars of the region that get their rows from
// this one. Rows from the store are also sent to the other watchers.
func (a *App) relayRows(ctx context.Context, rows []era.Row, fromStore bool) {
	if len(rows) == 0 {
		return
	}
	targets := a.state.relayTargets(a.clock.Now(), fromStore)
	if len(targets) == 0 {
		return
	}
	request := a.newRowsRequest(rows)
	for _, m := range targets {
		a.goOnce("sendRows", func() { a.sendEncodedRows(ctx, m, request) })
	}
}

// isRegionMember reports whether the member is in this sidecar's region and not marked as
// unreachable. The caller holds s.mu.
func (s *state) isRegionMember(now clock.Millis, m fleet.Member) bool {
	return m.Instance.Location().Region() == s.instance.Location().Region() && now >= s.unreachableUntil[m.Instance.Name()]
}

// allRegionWatchers returns the sidecars of the region, maybe including this one, that should
// watch the store: the strongest that are not marked as unreachable, equal ones by name. The
// caller holds s.mu.
func (s *state) allRegionWatchers(now clock.Millis) []fleet.Member {
	watchers := make([]fleet.Member, 0, watchersPerRegion+1)
	for _, m := range s.view.Members() {
		if !s.isRegionMember(now, m) {
			continue
		}
		i := slices.IndexFunc(watchers, func(other fleet.Member) bool { return m.Strength > other.Strength })
		if i < 0 {
			i = len(watchers)
		}
		watchers = slices.Insert(watchers, i, m)
		watchers = watchers[:min(len(watchers), watchersPerRegion)]
	}
	return watchers
}

// regionWatchers returns the other sidecars of the region that should watch the store,
// and this sidecar's index among all watchers of the region, or -1 if it is none.
func (s *state) regionWatchers(now clock.Millis) ([]fleet.Member, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	watchers := s.allRegionWatchers(now)
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
	watchers := s.allRegionWatchers(now)
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
	others := 0
	for _, m := range s.view.Members() {
		if !s.isRegionMember(now, m) || slices.ContainsFunc(watchers, func(w fleet.Member) bool { return w.Instance.Name() == m.Instance.Name() }) {
			continue
		}
		if others%len(watchers) == ownIndex {
			targets = append(targets, m)
		}
		others++
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
	members := s.view.Members()
	if len(members) == 0 {
		return fleet.Member{}, false
	}
	i := rand.IntN(len(members)) //nolint:gosec // Used only to spread the calls.
	if s.isSelf(members[i]) {
		i = (i + 1) % len(members)
	}
	return members[i], !s.isSelf(members[i])
}
