package control

import (
	"context"
	"errors"
	"maps"
	"reflect"

	"github.com/uber-go/tally/v4"

	"briarwell.dev/core/membership"
	"briarwell.dev/core/node"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/table"
	"briarwell.dev/core/table/token"
)

// execute carries out one action.
func (l *Loop) execute(ctx context.Context, action node.Action) {
	switch action := action.(type) {
	case node.Send:
		l.sendMessage(action.Address(), action.Envelope())
	case node.Scan:
		l.workers.Go(func() { l.scan(ctx, action.Since()) })
	case node.Commit:
		l.workers.Go(func() { l.commit(ctx, action) })
	case node.ServeShard:
		l.serveUnit(action)
	case node.StopShard:
		l.stopUnit(action)
	case node.ResumeKey:
		l.settings.Requests.ResumeKey(action.Service(), action.Unit().Shard(), action.Unit().HotKey())
	case node.PlacementPlanned:
		l.recordPlan(action)
	case node.LeaseChanged:
		l.updateGrants()
	case node.LogEvent:
		l.logEvent(action)
	case node.DrainCompleted:
		close(l.left)
	}
}

// updateOwned updates the units that this daemon owns, on a copy: views of
// the request path keep the old map.
func (l *Loop) updateOwned(actions []node.Action) {
	var next map[unitKey]ownedUnit
	for _, action := range actions {
		serve, isServe := action.(node.ServeShard)
		stop, isStop := action.(node.StopShard)
		if !isServe && !isStop {
			continue
		}
		if next == nil {
			next = maps.Clone(l.owned)
		}
		if isServe {
			key := unitKey{service: serve.Service(), unit: serve.Unit()}
			next[key] = l.newOwnedUnit(key, serve)
			continue
		}
		markStopped(next, unitKey{service: stop.Service(), unit: stop.Unit()})
	}
	if next != nil {
		l.owned = next
	}
}

// markStopped keeps the start of the epoch: a handover that is given up resumes
// it, and stamps that were issued before must not become valid for longer.
func markStopped(held map[unitKey]ownedUnit, key unitKey) {
	stopped, ok := held[key]
	if !ok {
		return
	}
	stopped.stopped = true
	stopped.granted = false
	held[key] = stopped
}

// newOwnedUnit keeps the start of an epoch that is only resumed, since stamps are
// counted from it.
func (l *Loop) newOwnedUnit(key unitKey, serve node.ServeShard) ownedUnit {
	held := ownedUnit{epoch: serve.Epoch(), since: l.settings.Clock.Now(), serveFrom: serve.ServeFrom()}
	if old, ok := l.owned[key]; ok && old.epoch == held.epoch {
		held.since = old.since
		held.granted = old.granted
	}
	return held
}

func (l *Loop) serveUnit(action node.ServeShard) {
	unit := action.Unit()
	if unit.HotKey() == "" {
		l.settings.Requests.ResumeShard(action.Service(), unit.Shard())
	} else {
		l.settings.Requests.ResumeKey(action.Service(), unit.Shard(), unit.HotKey())
	}
	l.settings.Log.Info().Str("service", action.Service().String()).Uint32("shard", uint32(unit.Shard())).
		Str("hotKey", unit.HotKey()).Uint64("epoch", uint64(action.Epoch())).
		Int64("serveFromMillis", int64(action.ServeFrom())).Msg("serveShard")
	l.updateGrants()
}

func (l *Loop) stopUnit(action node.StopShard) {
	unit := action.Unit()
	drained := func() {
		if action.DrainExpected() {
			l.Post(node.NewShardDrained(action.Service(), unit, action.Epoch()))
		}
	}
	if unit.HotKey() == "" {
		l.settings.Requests.StopShard(action.Service(), unit.Shard(), drained)
	} else {
		l.settings.Requests.StopKey(action.Service(), unit.Shard(), unit.HotKey(), drained)
	}
	if action.DrainExpected() {
		l.handoverStarts[unitKey{service: action.Service(), unit: unit}] = l.settings.Clock.Now()
	}
	l.settings.Log.Info().Str("service", action.Service().String()).Uint32("shard", uint32(unit.Shard())).
		Str("hotKey", unit.HotKey()).Uint64("epoch", uint64(action.Epoch())).
		Bool("handover", action.DrainExpected()).Msg("stopShard")
}

// updateGrants hands the owned units and the end of the lease to the upstream.
func (l *Loop) updateGrants() {
	units := make([]GrantedUnit, 0, len(l.owned))
	for key, held := range l.owned {
		if held.stopped {
			continue
		}
		units = append(units, GrantedUnit{key: key, epoch: held.epoch})
	}
	l.settings.Grants.Update(units, l.node.Snapshot().LeaseEnd())
}

// GrantAccepted reports that the upstream has taken the grants of units.
func (l *Loop) GrantAccepted(units []GrantedUnit) {
	l.mailbox.post(grantAccepted{units: units})
}

func (l *Loop) markGranted(event grantAccepted) {
	var next map[unitKey]ownedUnit
	for _, unit := range event.units {
		held, ok := l.owned[unit.key]
		if !ok || held.granted || held.stopped || held.epoch != unit.epoch {
			continue
		}
		if next == nil {
			next = maps.Clone(l.owned)
		}
		held.granted = true
		next[unit.key] = held
	}
	if next != nil {
		l.owned = next
		l.publish()
	}
}

// replicatedPrefixes are the parts of the table that each daemon copies. The history of
// edits is not among them.
func replicatedPrefixes() []string {
	return []string{
		membership.KeyPrefix, ownership.KeyPrefix, rollout.KeyHead, rollout.KeyAccepted,
		rollout.PrefixTemplate, rollout.PrefixOrganisation,
	}
}

// scan reads the copied rows above a revision. The rows are complete up to the
// smallest revision of the parts.
func (l *Loop) scan(ctx context.Context, since table.Revision) {
	var rows []table.Row
	var complete table.Revision
	for index, prefix := range replicatedPrefixes() {
		part, revision, err := l.settings.Table.Scan(ctx, prefix, since)
		if err != nil {
			l.settings.Log.Warn().Err(err).Msg("tableScanFailed")
			l.Post(node.ScanFailed{})
			return
		}
		if index == 0 || revision < complete {
			complete = revision
		}
		rows = append(rows, part...)
	}
	l.Post(node.NewScanCompleted(since, complete, rowsUpTo(rows, complete)))
}

// rowsUpTo drops the rows of parts that are newer than the whole.
func rowsUpTo(rows []table.Row, complete table.Revision) []table.Row {
	kept := rows[:0]
	for _, row := range rows {
		if row.Version() <= complete {
			kept = append(kept, row)
		}
	}
	return kept
}

// commit runs a transaction and reports its outcome once it is certain.
func (l *Loop) commit(ctx context.Context, action node.Commit) {
	revision, err := l.settings.Table.Commit(ctx, action.Transaction())
	if err == nil {
		l.Post(node.NewCommitted(action.ID(), revision))
		return
	}
	var conflict *table.ConflictError
	var notApplied *token.NotAppliedError
	if errors.As(err, &conflict) || errors.As(err, &notApplied) {
		l.Post(node.NewConflicted(action.ID()))
		return
	}
	l.settings.Log.Warn().Err(err).Msg("tableCommitUnresolved")
}

// logEvent writes a decision as one line and counts it.
func (l *Loop) logEvent(note node.LogEvent) {
	entry := l.settings.Log.Info()
	for _, field := range note.Fields() {
		entry = entry.Str(field.Key(), field.Value())
	}
	entry.Msg(note.Name())
	l.counters.increment(note.Name())
}

// decisionCounters counts the decisions by name.
type decisionCounters struct {
	scope tally.Scope
}

func (c decisionCounters) increment(name string) {
	c.scope.Tagged(map[string]string{"event": name}).Counter("control_decisions").Inc(1)
}

// isSameMap tells whether two maps are the same object.
func isSameMap(a, b map[unitKey]ownedUnit) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
