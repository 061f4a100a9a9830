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

// act carries out one action.
func (l *Loop) act(ctx context.Context, action node.Action) {
	switch action := action.(type) {
	case node.Send:
		l.send(action.Address(), action.Envelope())
	case node.Scan:
		l.workers.Go(func() { l.scan(ctx, action.Since()) })
	case node.Commit:
		l.workers.Go(func() { l.commit(ctx, action) })
	case node.ServeShard:
		l.serveUnit(action)
	case node.StopShard:
		l.stopUnit(action)
	case node.ResumeKey:
		l.ports.Orders.ResumeKey(action.Service(), action.Unit().Shard(), action.Unit().HotKey())
	case node.PlacementPlanned:
		l.planned(action)
	case node.LeaseChanged:
		l.grant()
	case node.LogEvent:
		l.log(action)
	case node.DrainCompleted:
		close(l.left)
	}
}

// recordHoldings updates the units that this daemon owns, on a copy: views of
// the request path keep the old map.
func (l *Loop) recordHoldings(actions []node.Action) {
	var next map[unitKey]holding
	for _, action := range actions {
		serve, isServe := action.(node.ServeShard)
		stop, isStop := action.(node.StopShard)
		if !isServe && !isStop {
			continue
		}
		if next == nil {
			next = maps.Clone(l.held)
		}
		if isServe {
			key := unitKey{service: serve.Service(), unit: serve.Unit()}
			next[key] = l.holdingOf(key, serve)
			continue
		}
		stopHolding(next, unitKey{service: stop.Service(), unit: stop.Unit()})
	}
	if next != nil {
		l.held = next
	}
}

// stopHolding keeps the start of the epoch: a handover that is given up resumes
// it, and stamps that were issued before must not become valid for longer.
func stopHolding(held map[unitKey]holding, key unitKey) {
	stopped, ok := held[key]
	if !ok {
		return
	}
	stopped.stopped = true
	stopped.granted = false
	held[key] = stopped
}

// holdingOf keeps the start of an epoch that is only resumed, since stamps are
// counted from it.
func (l *Loop) holdingOf(key unitKey, serve node.ServeShard) holding {
	held := holding{epoch: serve.Epoch(), since: l.ports.Clock.Now(), serveFrom: serve.ServeFrom()}
	if old, ok := l.held[key]; ok && old.epoch == held.epoch {
		held.since = old.since
		held.granted = old.granted
	}
	return held
}

func (l *Loop) serveUnit(action node.ServeShard) {
	unit := action.Unit()
	if unit.HotKey() == "" {
		l.ports.Orders.ResumeShard(action.Service(), unit.Shard())
	} else {
		l.ports.Orders.ResumeKey(action.Service(), unit.Shard(), unit.HotKey())
	}
	l.ports.Log.Info().Str("service", action.Service().String()).Uint32("shard", uint32(unit.Shard())).
		Str("hotKey", unit.HotKey()).Uint64("epoch", uint64(action.Epoch())).
		Int64("serveFromMillis", int64(action.ServeFrom())).Msg("serveShard")
	l.grant()
}

func (l *Loop) stopUnit(action node.StopShard) {
	unit := action.Unit()
	drained := func() {
		if action.DrainExpected() {
			l.Post(node.NewShardDrained(action.Service(), unit, action.Epoch()))
		}
	}
	if unit.HotKey() == "" {
		l.ports.Orders.StopShard(action.Service(), unit.Shard(), drained)
	} else {
		l.ports.Orders.StopKey(action.Service(), unit.Shard(), unit.HotKey(), drained)
	}
	if action.DrainExpected() {
		l.unserved[unitKey{service: action.Service(), unit: unit}] = l.ports.Clock.Now()
	}
	l.ports.Log.Info().Str("service", action.Service().String()).Uint32("shard", uint32(unit.Shard())).
		Str("hotKey", unit.HotKey()).Uint64("epoch", uint64(action.Epoch())).
		Bool("handover", action.DrainExpected()).Msg("stopShard")
}

// grant hands the owned units and the end of the lease to the upstream.
func (l *Loop) grant() {
	units := make([]GrantedUnit, 0, len(l.held))
	for key, held := range l.held {
		if held.stopped {
			continue
		}
		units = append(units, GrantedUnit{key: key, epoch: held.epoch})
	}
	l.ports.Grants.Update(units, l.node.Snapshot().LeaseEnd())
}

// GrantTaken reports that the upstream has taken the grants of units.
func (l *Loop) GrantTaken(units []GrantedUnit) {
	l.mailbox.post(grantTaken{units: units})
}

func (l *Loop) grantTaken(event grantTaken) {
	var next map[unitKey]holding
	for _, unit := range event.units {
		held, ok := l.held[unit.key]
		if !ok || held.granted || held.stopped || held.epoch != unit.epoch {
			continue
		}
		if next == nil {
			next = maps.Clone(l.held)
		}
		held.granted = true
		next[unit.key] = held
	}
	if next != nil {
		l.held = next
		l.publish()
	}
}

// prefixes are the parts of the table that each daemon copies. The history of
// edits is not among them.
func prefixes() []string {
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
	for index, prefix := range prefixes() {
		part, revision, err := l.ports.Table.Scan(ctx, prefix, since)
		if err != nil {
			l.ports.Log.Warn().Err(err).Msg("tableScanFailed")
			l.Post(node.ScanFailed{})
			return
		}
		if index == 0 || revision < complete {
			complete = revision
		}
		rows = append(rows, part...)
	}
	l.Post(node.NewScanCompleted(since, complete, upTo(rows, complete)))
}

// upTo drops the rows of parts that are newer than the whole.
func upTo(rows []table.Row, complete table.Revision) []table.Row {
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
	revision, err := l.ports.Table.Commit(ctx, action.Transaction())
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
	l.ports.Log.Warn().Err(err).Msg("tableCommitUnresolved")
}

// log writes a decision as one line and counts it.
func (l *Loop) log(note node.LogEvent) {
	entry := l.ports.Log.Info()
	for _, field := range note.Fields() {
		entry = entry.Str(field.Key(), field.Value())
	}
	entry.Msg(note.Name())
	l.notes.count(note.Name())
}

// counters counts the decisions by name.
type counters struct {
	scope tally.Scope
}

func (c counters) count(name string) {
	c.scope.Tagged(map[string]string{"event": name}).Counter("control_decisions").Inc(1)
}

// sameMap tells whether two maps are the same object.
func sameMap(a, b map[unitKey]holding) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
