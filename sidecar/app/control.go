package app

import (
	"bytes"
	"context"
	"errors"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/lease/failover"
	"briarwell.dev/core/lease/holder"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/table"
	"briarwell.dev/platform/store"
)

// firstReportWait is the time in milliseconds in which the first report of a running
// upstream comes. The first row waits for it, so that it is written once.
const firstReportWait clock.Millis = 4000

const (
	// minConflictBackoff is the shortest time before a change is tried again whose row
	// was changed by another. It doubles with each conflict in a row, and as much
	// again is added at random: all holders of a service write the same row, and a
	// write takes 45 ms from the farthest region.
	minConflictBackoff = 50 * time.Millisecond
	// maxConflictDoublings bounds how often it doubles: to 800 ms.
	maxConflictDoublings = 4
	// joinConflictDoublings is how often it has doubled already at the first conflict of a
	// holder that enters: all start together.
	joinConflictDoublings = 2
)

// controlInterval is the time between two looks at what is due.
const controlInterval = 50 * time.Millisecond

// controlLoop drives the state machines: it sends what they ask for and writes the
// changes that they want, one at a time.
func (a *App) controlLoop(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.wake:
		}
		a.sendRenewals(ctx)
		a.checkLapsedLeases(ctx)
		a.writeChanges(ctx)
	}
}

// wakeControl makes the control loop look at what is due at once.
func (a *App) wakeControl() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *App) sendRenewals(ctx context.Context) {
	s := a.state
	s.mu.Lock()
	due := s.custodian.DueRenewals(a.clock.Now())
	s.mu.Unlock()
	for _, request := range due {
		go a.renewLease(ctx, request)
	}
}

func (a *App) renewLease(ctx context.Context, request holder.RenewRequest) {
	s, to := a.state, request.Witness()
	message := renewRequest{To: to.Incarnation(), Holder: s.incarnation, Generation: request.Generation(), Sequence: request.Sequence()}
	var answer renewResponse
	if err := a.peers.call(ctx, to.PeerAddress(), pathRenew, message, &answer); err != nil {
		a.log.Debug().Err(err).Str("witness", to.Incarnation().String()).Msg("renewalFailed")
		s.avoidWitness(a.clock.Now(), to.Incarnation())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.From != to.Incarnation() {
		s.recordIncarnation(a.clock.Now(), to.PeerAddress(), to.Incarnation(), answer.From)
		return
	}
	reply := peer.NewRenewReply(request.Generation(), request.Sequence(), answer.Result, 0)
	s.custodian.HandleRenewReply(a.clock.Now(), answer.From, reply)
}

// checkLapsedLeases asks other witnesses about holders whose promises have lapsed,
// and drops the holders that have certainly lost their leases.
func (a *App) checkLapsedLeases(ctx context.Context) {
	s, now := a.state, a.clock.Now()
	s.mu.Lock()
	queries, lost := s.guard.CheckLeases(now, s.holderLeases(s.service))
	s.mu.Unlock()
	for _, query := range queries {
		go a.queryLapse(ctx, query)
	}
	for _, row := range lost {
		a.dropHolder(ctx, row)
	}
}

func (a *App) queryLapse(ctx context.Context, query failover.LapseQuery) {
	s, to := a.state, query.Witness()
	message := lapseRequest{To: to.Incarnation(), Holder: query.Holder(), Generation: query.Generation()}
	var answer lapseResponse
	if err := a.peers.call(ctx, to.PeerAddress(), pathLapse, message, &answer); err != nil {
		a.log.Debug().Err(err).Str("witness", to.Incarnation().String()).Msg("lapseQueryFailed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.From != to.Incarnation() {
		s.recordIncarnation(a.clock.Now(), to.PeerAddress(), to.Incarnation(), answer.From)
		return
	}
	if answer.Lapsed {
		s.guard.RecordLapse(to.Incarnation(), query.Holder(), query.Generation())
	}
}

// dropHolder writes the division without a holder that has lost its lease.
func (a *App) dropHolder(ctx context.Context, row membership.Member) {
	s := a.state
	s.mu.Lock()
	change, service, ok := s.dropChange(row)
	s.mu.Unlock()
	if ok {
		a.log.Warn().Str("holder", row.Instance().Name()).Str("service", service).Msg("leaseLapsed")
		a.commitDivisionAsync(ctx, service, change, false)
	}
}

// writeChanges asks the table for the changes of the own division and member row.
func (a *App) writeChanges(ctx context.Context) {
	s := a.state
	// The own row goes first: others choose their witnesses by it.
	a.publishMember(ctx)
	described, _ := a.manifest.Load().Service(s.service)
	if described.Keyed {
		a.probeStore(ctx)
		s.mu.Lock()
		var change keyowner.Change
		due := len(a.writeSemaphore) == 0
		if due {
			change, due = s.custodian.NextChange(a.clock.Now())
		}
		s.mu.Unlock()
		if due {
			if a.consecutiveConflicts.Load() == 0 || !a.propose(ctx, change) {
				a.commitDivisionAsync(ctx, s.service, change, true)
			}
		}
	}
}

// probeStore reads the rows if keys are to move and the store has not answered lately.
func (a *App) probeStore(ctx context.Context) {
	s := a.state
	s.mu.Lock()
	asks := s.custodian.NeedsStoreAnswer(a.clock.Now())
	s.mu.Unlock()
	if !asks {
		return
	}
	select {
	case a.writeSemaphore <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-a.writeSemaphore }()
		rows, _, err := a.store.ReadRows(ctx, store.OwnRows)
		if err != nil {
			a.log.Debug().Err(err).Msg("probeFailed")
			sleepJittered(ctx, minStoreBackoff)
			return
		}
		s.recordStoreAnswer(a.clock.Now())
		a.applyRows(rows)
	}()
}

// commitDivisionAsync writes a division unless another write is in progress.
func (a *App) commitDivisionAsync(ctx context.Context, service string, change keyowner.Change, own bool) {
	select {
	case a.writeSemaphore <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-a.writeSemaphore }()
		a.commitDivisionLocked(ctx, service, change, own)
	}()
}

// commitDivisionLocked writes a division and tells whether the store accepted it. The caller
// holds a.writing.
func (a *App) commitDivisionLocked(ctx context.Context, service string, change keyowner.Change, own bool) bool {
	value, err := change.Assignment().Encode()
	if err != nil {
		a.log.Error().Err(err).Msg("divisionNotEncoded")
		return false
	}
	key := fleet.AssignmentKey(service)
	revision, committed := a.commitRow(ctx, key, change.Base(), value, change.Reason())
	if !committed {
		return false
	}
	if own {
		s := a.state
		s.mu.Lock()
		s.custodian.HandleCommit(a.clock.Now(), revision, change)
		s.mu.Unlock()
	}
	a.applyRows([]table.Row{table.NewRow(key, revision, value)})
	return true
}

// commitRow writes a row in place of the version base. If the row has changed or
// the outcome is not known, it reads the rows again before it returns.
func (a *App) commitRow(ctx context.Context, key string, base table.Revision, value []byte, reason string) (table.Revision, bool) {
	transaction := table.NewTransaction([]table.Condition{table.NewCondition(key, base)}, []table.Mutation{table.NewPut(key, value)})
	revision, err := a.store.Commit(ctx, transaction)
	if err == nil {
		a.state.recordStoreAnswer(a.clock.Now())
		a.consecutiveConflicts.Store(0)
		a.log.Info().Str("row", key).Str("reason", reason).Uint64("base", uint64(base)).Uint64("revision", uint64(revision)).Msg("rowWritten")
		return revision, true
	}
	a.log.Warn().Err(err).Str("row", key).Str("reason", reason).Uint64("base", uint64(base)).Msg("rowNotWritten")
	var refused *store.StatusError
	if errors.As(err, &refused) {
		sleepJittered(ctx, minStoreBackoff)
		return 0, false
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		a.state.recordStoreAnswer(a.clock.Now())
	}
	if errors.As(err, &conflict) && len(conflict.CurrentRows()) > 0 && conflict.CurrentRows()[0].Version() > 0 {
		a.applyRows(conflict.CurrentRows())
		sleepJittered(ctx, a.conflictBackoff(reason))
		return 0, false
	}
	for ctx.Err() == nil {
		rows, _, err := a.store.ReadRows(ctx, store.OwnRows)
		if err == nil {
			a.applyRows(rows)
			return 0, false
		}
		sleepJittered(ctx, minStoreBackoff)
	}
	return 0, false
}

// conflictBackoff returns the time before a change is tried again.
func (a *App) conflictBackoff(reason string) time.Duration {
	doublings := int(a.consecutiveConflicts.Add(1)) - 1
	if reason == keyowner.ReasonJoin {
		doublings += joinConflictDoublings
	}
	return minConflictBackoff << min(doublings, maxConflictDoublings)
}

// publishMember writes the own member row if it is not what the table has.
func (a *App) publishMember(ctx context.Context) {
	s := a.state
	member, known := s.ownMember(a.stopping.Load())
	if !known && a.clock.Now()-a.startedAt < firstReportWait {
		return
	}
	value, err := member.Encode()
	if err != nil {
		a.log.Error().Err(err).Msg("memberNotEncoded")
		return
	}
	key := fleet.MemberKey(s.instance.Name())
	row := a.rows.Get(key)
	if bytes.Equal(row.Value(), value) {
		return
	}
	select {
	case a.writeSemaphore <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-a.writeSemaphore }()
		if revision, ok := a.commitRow(ctx, key, row.Version(), value, "member"); ok {
			a.applyRows([]table.Row{table.NewRow(key, revision, value)})
		}
	}()
}

// ownMember returns what the own row should say, and whether the upstream is known.
func (s *state) ownMember(stopping bool) (fleet.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, seen := s.tracker.Last()
	return fleet.Member{
		Instance: s.instance, Incarnation: s.incarnation, Service: s.service, Slots: known.Slots,
		Serving: seen && !s.tracker.Ended() && !s.tracker.Leaving() && !stopping,
	}, seen
}
