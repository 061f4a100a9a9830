package app

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/replica"
	"briarwell.dev/platform/store"
)

// maxStoreSilence is the age in milliseconds of the latest known answer of the store up to which
// a changed row counts as written shortly before it is learned. A call that waits for changes is
// answered after 3 s, and the answer reaches other sidecars up to 0.8 s later. After a longer
// silence the row may have been written at any time since.
const maxStoreSilence clock.Millis = 5000

// evacuationsFirst returns the rows with the evacuation rows in front: a manifest allows a sidecar
// to send requests, so the failure domains that are out of use must be known before.
func evacuationsFirst[R any](rows []R, key func(R) string) []R {
	ordered := slices.Clone(rows)
	rank := func(r R) int {
		if _, ok := fleet.OutOfUseDomain(key(r)); ok {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(ordered, func(x, y R) int { return rank(x) - rank(y) })
	return ordered
}

// withEvacuations returns rows that are sent to another sidecar, with all evacuation rows if the
// manifest is among them: that sidecar may have none of them.
func (a *App) withEvacuations(rows []era.Row) []era.Row {
	if !slices.ContainsFunc(rows, func(r era.Row) bool { return r.Key() == store.ManifestKey }) {
		return rows
	}
	others := slices.DeleteFunc(slices.Clone(rows), func(r era.Row) bool {
		_, ok := fleet.OutOfUseDomain(r.Key())
		return ok
	})
	return append(a.rows.WithPrefix(fleet.OutOfUsePrefix), others...)
}

// applyFeed updates the local copy with rows of a feed, which are complete up to a revision, and
// returns the rows that were newer than the local ones. With allRead, they are all rows of the
// feed: known evacuation rows that are absent were deleted, and rows of the router were lost by the store.
func (a *App) applyFeed(feed store.Feed, rows []era.Row, revision era.Revision, allRead bool) []era.Row {
	a.observeEra(revision.Era())
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	if feed != store.OperatorRows {
		if allRead {
			for _, prefix := range fleet.RouterPrefixes() {
				rows = append(a.rows.LostRows(prefix, rows, revision), rows...)
			}
		}
		return a.applyRowsLocked(rows, false)
	}
	if allRead {
		rows = append(a.rows.DeletedRows(fleet.OutOfUsePrefix, rows, revision), rows...)
	}
	changed := a.applyRowsLocked(rows, allRead)
	a.operatorRevision = era.Later(a.operatorRevision, revision)
	return changed
}

// withKnownDeletion returns a row of another sidecar, which is newer than the local one, or its
// tombstone if it is an evacuation row that was deleted: the operator's rows are known up to a
// later revision. The other sidecar has missed the deletion. The caller holds a.applyMu.
func (a *App) withKnownDeletion(row era.Row) era.Row {
	if _, ok := fleet.OutOfUseDomain(row.Key()); ok && len(row.Value()) > 0 && !row.Version().After(a.operatorRevision) {
		return replica.Tombstone(row, a.operatorRevision)
	}
	return row
}

// applyEvacuation passes a changed evacuation row to the state machines. With allRead, the row
// was not read as a change. Before the first manifest, everything that is learned may be old.
func (a *App) applyEvacuation(domain string, row era.Row, allRead bool) error {
	s, now := a.state, a.clock.Now()
	if own := domain == s.instance.Location().FailureDomain(); own && len(row.Value()) == 0 && s.returnsToUse(a.manifest.Load().Version() > 0) {
		// Before the upstream may get requests: it may be cold.
		a.executor.HandleReturnToUse()
	}
	changed, err := s.applyEvacuation(now, row, a.manifest.Load().Version() > 0, allRead)
	if err != nil {
		a.log.Error().Err(err).Msg("rowRejected")
		return err
	}
	if changed {
		s.mu.Lock()
		closed := s.domain.Closed(now)
		s.mu.Unlock()
		a.log.Warn().Str("domain", domain).Bool("outOfUse", len(row.Value()) > 0).Stringer("revision", row.Version()).
			Bool("own", domain == s.instance.Location().FailureDomain()).Bool("closed", closed).Msg("domainUse")
	}
	return nil
}

// applyEvacuation updates the state with an evacuation row. It reports whether the domain was
// taken out of use or returned. The error is a *fleet.RowError; the state is then unchanged.
// Running is set once a manifest is in force, allRead if the row was not read as a change.
func (s *state) applyEvacuation(now clock.Millis, row era.Row, running, allRead bool) (bool, error) {
	domain, _ := fleet.OutOfUseDomain(row.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	view, err := s.view.WithRow(row)
	if err != nil {
		return false, err
	}
	before, after := s.view.OutOfUse(domain), view.OutOfUse(domain)
	s.view = view
	if domain == s.instance.Location().FailureDomain() {
		answeredAt := s.keyController.StoreAnsweredAt()
		switch {
		case after:
			ageKnown := running && !allRead && answeredAt > 0 && now-answeredAt <= maxStoreSilence
			s.domain.TakeOutOfUse(now, s.outOfUseWithin, ageKnown)
		case before || running:
			s.domain.Return()
		}
	}
	return before != after, nil
}

// returnsToUse reports whether the deletion of the own domain's evacuation row returns it to use.
// A running sidecar that learns only of the deletion has missed the evacuation. One that starts
// has sent no requests yet.
func (s *state) returnsToUse(running bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return running || s.domain.OutOfUse()
}

// placeable reports whether the upstream may own keys: its failure domain is in use, and its
// region is one of the owner regions, unless these are nil. The caller holds s.mu.
func (s *state) placeable(ownerRegions []string) bool {
	return !s.domain.OutOfUse() && (ownerRegions == nil || slices.Contains(ownerRegions, s.instance.Location().Region()))
}

// logPlaceable logs when the upstream may no longer own keys, and when it may again. Only the
// control loop calls it.
func (a *App) logPlaceable(ownerRegions []string) {
	s := a.state
	s.mu.Lock()
	placeable, outOfUse := s.placeable(ownerRegions), s.domain.OutOfUse()
	s.mu.Unlock()
	if placeable != a.unplaceable {
		return
	}
	a.unplaceable = !placeable
	a.log.Info().Bool("placeable", placeable).Bool("outOfUse", outOfUse).Strs("ownerRegions", ownerRegions).Msg("keyPlacement")
}
