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

// execute executes an action of the node.
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

// updateOwned applies the actions to the units that this daemon owns. It changes a
// copy of the map, because views on the request path still use the old one.
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

// markStopped marks a unit as stopped. The entry keeps the start of its epoch: the
// epoch resumes if the handover is abandoned, and stamps that were issued before must
// not become valid for longer.
func markStopped(owned map[unitKey]ownedUnit, key unitKey) {
	unit, ok := owned[key]
	if !ok {
		return
	}
	unit.stopped = true
	unit.granted = false
	owned[key] = unit
}

// newOwnedUnit returns the entry of a unit that is to be served. If its epoch is only
// resumed, the entry keeps the start of the epoch, because the validity of stamps is
// counted from it.
func (l *Loop) newOwnedUnit(key unitKey, serve node.ServeShard) ownedUnit {
	unit := ownedUnit{epoch: serve.Epoch(), since: l.settings.Clock.Now(), serveFrom: serve.ServeFrom()}
	if old, ok := l.owned[key]; ok && old.epoch == unit.epoch {
		unit.since = old.since
		unit.granted = old.granted
	}
	return unit
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

// updateGrants passes the owned units and the end of the lease to the grant updater.
func (l *Loop) updateGrants() {
	units := make([]GrantedUnit, 0, len(l.owned))
	for key, unit := range l.owned {
		if unit.stopped {
			continue
		}
		units = append(units, GrantedUnit{key: key, epoch: unit.epoch})
	}
	l.settings.Grants.Update(units, l.node.Snapshot().LeaseEnd())
}

// GrantAccepted queues the notification that the upstream has accepted the grants of
// units. It never blocks.
func (l *Loop) GrantAccepted(units []GrantedUnit) {
	l.mailbox.post(grantAccepted{units: units})
}

// markGranted marks the accepted units as granted. It ignores a unit that has been
// stopped or owned under another epoch since the grant was sent.
func (l *Loop) markGranted(accepted grantAccepted) {
	var next map[unitKey]ownedUnit
	for _, granted := range accepted.units {
		unit, ok := l.owned[granted.key]
		if !ok || unit.granted || unit.stopped || unit.epoch != granted.epoch {
			continue
		}
		if next == nil {
			next = maps.Clone(l.owned)
		}
		unit.granted = true
		next[granted.key] = unit
	}
	if next != nil {
		l.owned = next
		l.publish()
	}
}

// replicatedPrefixes returns the key prefixes of the table rows that each daemon
// replicates. The history of configuration edits is not among them.
func replicatedPrefixes() []string {
	return []string{
		membership.KeyPrefix, ownership.KeyPrefix, rollout.KeyHead, rollout.KeyAccepted,
		rollout.PrefixTemplate, rollout.PrefixOrganisation,
	}
}

// scan reads the replicated rows that were written after revision since. The result
// is complete only up to the smallest revision at which one of the prefixes was read.
func (l *Loop) scan(ctx context.Context, since table.Revision) {
	var rows []table.Row
	var complete table.Revision
	for index, prefix := range replicatedPrefixes() {
		prefixRows, revision, err := l.settings.Table.Scan(ctx, prefix, since)
		if err != nil {
			l.settings.Log.Warn().Err(err).Msg("tableScanFailed")
			l.Post(node.ScanFailed{})
			return
		}
		if index == 0 || revision < complete {
			complete = revision
		}
		rows = append(rows, prefixRows...)
	}
	l.Post(node.NewScanCompleted(since, complete, rowsUpTo(rows, complete)))
}

// rowsUpTo returns the rows that are not newer than the revision limit. It reuses the
// memory of rows.
func rowsUpTo(rows []table.Row, limit table.Revision) []table.Row {
	kept := rows[:0]
	for _, row := range rows {
		if row.Version() <= limit {
			kept = append(kept, row)
		}
	}
	return kept
}

// commit runs a transaction and posts its outcome to the node. It posts nothing if the
// outcome is uncertain.
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

// logEvent logs a decision of the node as one line and counts it.
func (l *Loop) logEvent(event node.LogEvent) {
	entry := l.settings.Log.Info()
	for _, field := range event.Fields() {
		entry = entry.Str(field.Key(), field.Value())
	}
	entry.Msg(event.Name())
	l.counters.increment(event.Name())
}

// decisionCounters counts the decisions of the node by name.
type decisionCounters struct {
	scope tally.Scope
}

func (c decisionCounters) increment(name string) {
	c.scope.Tagged(map[string]string{"event": name}).Counter("control_decisions").Inc(1)
}

// isSameMap reports whether a and b are the same map object.
func isSameMap(a, b map[unitKey]ownedUnit) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
