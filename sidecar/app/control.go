package app

import (
	"bytes"
	"context"
	"errors"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/lease/failover"
	"briarwell.dev/core/lease/holder"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
	"briarwell.dev/platform/store"
)

// firstReportWait is the time in milliseconds after the start within which a running
// upstream sends its first report. The first write of the member row waits for the
// report, so that the row is written only once.
const firstReportWait clock.Millis = 4000

const (
	// minConflictBackoff is the shortest time before a write is retried after a
	// conflict. It doubles with each consecutive conflict, and a random time of up to
	// the same length is added: all holders of a service write the same row, and a
	// write takes 45 ms from the farthest region.
	minConflictBackoff = 50 * time.Millisecond
	// maxConflictDoublings bounds the doublings: the backoff is at most 800 ms before
	// the random part.
	maxConflictDoublings = 4
	// joinConflictDoublings is the number of doublings added for a holder that joins,
	// since all holders may start and join together.
	joinConflictDoublings = 2
)

// controlInterval is the longest time between two runs of the control loop.
const controlInterval = 50 * time.Millisecond

// controlLoop drives the state machines until ctx ends: it sends their lease renewals
// and lapse queries and writes their changes, one at a time.
func (a *App) controlLoop(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.controlWake:
		}
		a.sendRenewals(ctx)
		a.checkLapsedLeases(ctx)
		a.writeChanges(ctx)
	}
}

// wakeControl makes the control loop run at once.
func (a *App) wakeControl() {
	select {
	case a.controlWake <- struct{}{}:
	default:
	}
}

func (a *App) sendRenewals(ctx context.Context) {
	s := a.state
	s.mu.Lock()
	due := s.keyController.DueRenewals(a.clock.Now())
	s.mu.Unlock()
	for _, renewal := range due {
		a.goOnce("renewLease", func() { a.renewLease(ctx, renewal) })
	}
}

func (a *App) renewLease(ctx context.Context, renewal holder.RenewRequest) {
	s, witness := a.state, renewal.Witness()
	request := renewRequest{To: witness.Incarnation(), Holder: s.incarnation, Generation: renewal.Generation(), Sequence: renewal.Sequence(), Era: s.knownEra()}
	var response renewResponse
	if err := a.peers.call(ctx, witness.PeerAddress(), pathRenew, request, &response); err != nil {
		a.log.Debug().Err(err).Str("witness", witness.Incarnation().String()).Msg("renewalFailed")
		s.avoidWitness(a.clock.Now(), witness.Incarnation())
		return
	}
	if a.observeEra(response.Era) {
		if m, ok := s.memberAt(witness.PeerAddress()); ok {
			a.goOnce("syncVersions", func() { a.syncVersions(ctx, m, nil) })
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if response.From != witness.Incarnation() {
		s.recordIncarnation(a.clock.Now(), witness.PeerAddress(), witness.Incarnation(), response.From)
		return
	}
	reply := peer.NewRenewReply(renewal.Generation(), renewal.Sequence(), response.Result, 0)
	s.keyController.HandleRenewReply(a.clock.Now(), response.From, reply)
}

// checkLapsedLeases queries the other witnesses of the holders for which this witness's
// promise has expired, and drops the holders that have certainly lost their leases.
func (a *App) checkLapsedLeases(ctx context.Context) {
	s, now := a.state, a.clock.Now()
	s.mu.Lock()
	queries, lost := s.leaseWitness.CheckLeases(now, s.peerHolders)
	s.mu.Unlock()
	for _, query := range queries {
		a.goOnce("queryLapse", func() { a.queryLapse(ctx, query) })
	}
	for _, member := range lost {
		a.dropHolder(ctx, member)
	}
}

func (a *App) queryLapse(ctx context.Context, query failover.LapseQuery) {
	s, witness := a.state, query.Witness()
	request := lapseRequest{To: witness.Incarnation(), Holder: query.Holder(), Generation: query.Generation()}
	var response lapseResponse
	if err := a.peers.call(ctx, witness.PeerAddress(), pathLapse, request, &response); err != nil {
		a.log.Debug().Err(err).Str("witness", witness.Incarnation().String()).Msg("lapseQueryFailed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if response.From != witness.Incarnation() {
		s.recordIncarnation(a.clock.Now(), witness.PeerAddress(), witness.Incarnation(), response.From)
		return
	}
	if response.Lapsed {
		s.leaseWitness.RecordLapse(witness.Incarnation(), query.Holder(), query.Generation())
	}
}

// dropHolder writes the assignment without a holder that has lost its lease.
func (a *App) dropHolder(ctx context.Context, member membership.Member) {
	s := a.state
	s.mu.Lock()
	change, service, ok := s.dropChange(a.clock.Now(), member)
	s.mu.Unlock()
	if ok {
		a.log.Warn().Str("holder", member.Instance().Name()).Str("service", service).Msg("leaseLapsed")
		a.commitAssignmentAsync(ctx, service, change, false)
	}
}

// writeChanges writes this sidecar's member row and the changes that its upstream
// needs in the assignment of the service.
func (a *App) writeChanges(ctx context.Context) {
	s := a.state
	// The member row is written first: other sidecars choose their witnesses by it.
	a.publishMember(ctx)
	manifest := a.manifest.Load()
	serviceConfig, _ := manifest.Service(s.service)
	if serviceConfig.Keyed {
		a.probeStore(ctx)
		a.logPlaceable(manifest.OwnerRegions(s.service))
		var change keyowner.Change
		// While the member row is being written, others may know an earlier incarnation and
		// choose no working witnesses.
		due := len(a.writeSemaphore) == 0 && len(a.memberSemaphore) == 0
		if due {
			_, cold := a.executor.Cold()
			change, due = s.nextChange(a.clock.Now(), cold, manifest.OwnerRegions(s.service))
		}
		if due {
			direct := a.consecutiveConflicts.Load() == 0 && !s.proposesFirst()
			if direct || !a.propose(ctx, change) {
				a.commitAssignmentAsync(ctx, s.service, change, true)
			}
		}
	}
}

// probeStore reads a row if keys are to move away from the upstream and the store has
// not answered recently, since keys are released only while the store is known to answer.
func (a *App) probeStore(ctx context.Context) {
	s := a.state
	s.mu.Lock()
	needed := s.keyController.NeedsStoreAnswer(a.clock.Now())
	s.mu.Unlock()
	if !needed || !a.writeOutage.callDue(a) {
		return
	}
	select {
	case a.writeSemaphore <- struct{}{}:
	default:
		return
	}
	a.goOnce("probeStore", func() {
		defer func() { <-a.writeSemaphore }()
		sentAt := a.clock.Now()
		if err := a.store.Probe(ctx); err != nil {
			a.log.Debug().Err(err).Msg("probeFailed")
			a.writeOutage.recordFailure(a, false)
			return
		}
		a.writeOutage.recordSuccess()
		s.recordStoreAnswer(sentAt)
	})
}

// commitAssignmentAsync writes an assignment in the background. It does nothing while
// another operation holds the write semaphore, or during the pause after a failed call to the
// store. With ownChange, the change comes from this sidecar's key controller, which is notified
// of the commit.
func (a *App) commitAssignmentAsync(ctx context.Context, service string, change keyowner.Change, ownChange bool) {
	if !a.writeOutage.callDue(a) {
		return
	}
	select {
	case a.writeSemaphore <- struct{}{}:
	default:
		return
	}
	a.goOnce("commitAssignment", func() {
		defer func() { <-a.writeSemaphore }()
		a.commitAssignmentLocked(ctx, service, change, ownChange)
	})
}

// commitAssignmentLocked writes an assignment and reports whether the store accepted
// it. The caller holds a.writeSemaphore.
func (a *App) commitAssignmentLocked(ctx context.Context, service string, change keyowner.Change, ownChange bool) bool {
	value, err := change.Assignment().Encode()
	if err != nil {
		a.log.Error().Err(err).Msg("divisionNotEncoded")
		return false
	}
	key := fleet.AssignmentKey(service)
	row, committed := a.commitRow(ctx, key, change.Base(), value, change.Reason())
	if !committed {
		return false
	}
	if ownChange {
		s := a.state
		s.mu.Lock()
		s.keyController.HandleCommit(a.clock.Now(), row.Stamp, change)
		s.mu.Unlock()
	}
	a.recordKeysPassed(service, change)
	a.applyRows([]era.Row{row})
	return true
}

// commitRow replaces the version base of a row. It returns the new row, and whether the store accepted
// the write. If the row has changed or the outcome is unknown, it updates the local
// copy of the rows before it returns.
func (a *App) commitRow(ctx context.Context, key string, base era.Revision, value []byte, reason string) (era.Row, bool) {
	revision, err := a.store.Put(ctx, key, base, value)
	if err == nil {
		a.observeEra(revision.Era())
		a.state.recordStoreAnswer(a.clock.Now())
		a.writeOutage.recordSuccess()
		a.consecutiveConflicts.Store(0)
		a.log.Info().Str("row", key).Str("reason", reason).Stringer("base", base).Stringer("revision", revision).Msg("rowWritten")
		return era.NewRowAt(key, era.NewStamp(revision, fleet.ContentRevision(key, revision, value)), value), true
	}
	a.log.Warn().Err(err).Str("row", key).Str("reason", reason).Stringer("base", base).Msg("rowNotWritten")
	var statusErr *store.StatusError
	if errors.As(err, &statusErr) {
		a.writeOutage.recordFailure(a, false)
		sleepJittered(ctx, minStoreBackoff)
		return era.Row{}, false
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		a.state.recordStoreAnswer(a.clock.Now())
		a.writeOutage.recordSuccess()
	}
	if errors.As(err, &conflict) && len(conflict.CurrentRows()) > 0 {
		a.applyRows(conflict.CurrentRows())
		if reason != keyowner.ReasonProposals { // The senders of proposals wait themselves.
			sleepJittered(ctx, a.conflictBackoff(reason))
		}
		return era.Row{}, false
	}
	for ctx.Err() == nil {
		rows, revision, err := a.store.ReadRows(ctx, store.RouterRows)
		if err == nil {
			a.writeOutage.recordSuccess()
			a.applyFeed(store.RouterRows, rows, revision, true)
			return era.Row{}, false
		}
		a.writeOutage.recordFailure(a, false)
		a.writeOutage.await(ctx, a)
	}
	return era.Row{}, false
}

// conflictBackoff counts a write conflict and returns the shortest time before the
// write is retried.
func (a *App) conflictBackoff(reason string) time.Duration {
	doublings := int(a.consecutiveConflicts.Add(1)) - 1
	if reason == keyowner.ReasonJoin {
		doublings += joinConflictDoublings
	}
	return minConflictBackoff << min(doublings, maxConflictDoublings)
}

// publishMember writes this sidecar's member row if it differs from the known one.
func (a *App) publishMember(ctx context.Context) {
	s := a.state
	member, known := s.ownMember(a.isStopping())
	if !known && a.clock.Now()-a.startedAt < firstReportWait && !s.departureUnwritten() {
		return
	}
	if !a.ownRowMerged() {
		return
	}
	key := fleet.MemberKey(s.instance.Name())
	row := a.rows.Get(key)
	base := row.Version()
	if base.IsZero() {
		base = s.absentRow()
	}
	value, err := s.encodeOwnMember(member, row.Origin().Era())
	if err == nil && row.Stored() && bytes.Equal(row.Value(), value) || !a.writeOutage.callDue(a) {
		return
	}
	if err == nil && row.Origin().Era() != base.Era() {
		value, err = s.encodeOwnMember(member, base.Era())
	}
	if err != nil {
		a.log.Error().Err(err).Msg("memberNotEncoded")
		return
	}
	select {
	case a.memberSemaphore <- struct{}{}:
	default:
		return
	}
	a.goOnce("publishMember", func() {
		defer func() { <-a.memberSemaphore }()
		if row, ok := a.commitRow(ctx, key, base, value, "member"); ok {
			a.applyRows([]era.Row{row})
		}
	})
}

// ownMember returns the content of this sidecar's member row, and whether the upstream
// has sent a report.
func (s *state) ownMember(stopping bool) (fleet.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, seen := s.tracker.Last()
	return fleet.Member{
		Instance: s.instance, Incarnation: s.incarnation, Service: s.service, Slots: last.Slots,
		Serving:   seen && !s.tracker.Ended() && !s.tracker.Leaving() && !stopping,
		Strength:  s.strength,
		Departure: s.tracker.Departure(),
	}, seen
}

// encodeOwnMember returns the value of this sidecar's member row in an era. The control loop needs it
// in each round, but it changes rarely.
func (s *state) encodeOwnMember(member fleet.Member, e era.Era) ([]byte, error) {
	if s.encodedMember.value != nil && s.encodedMember.member == member && s.encodedMember.era == e {
		return s.encodedMember.value, nil
	}
	value, err := member.Encode(e)
	if err == nil {
		s.encodedMember.member, s.encodedMember.era, s.encodedMember.value = member, e, value
	}
	return value, err
}
