package control

import (
	"strconv"

	"briarwell.dev/core/node"
)

// recordPlan logs a placement plan as one line and exports its figures as metrics. The
// gauges of a daemon that is not the planner any more keep their last values. The
// counter placement_plans shows which daemon is the planner.
func (l *Loop) recordPlan(plan node.PlacementPlanned) {
	peakToMean := plan.Input().PeakToMean()
	l.settings.Log.Info().Str("service", plan.Input().Service().String()).
		Str("peakToMean", strconv.FormatFloat(peakToMean, 'f', 3, 64)).
		Int("moves", plan.Moves()).Int("hotKeys", plan.HotKeys()).
		Int("members", len(plan.Input().Candidates())).Int("units", len(plan.Input().Units())).
		Str("heldBack", plan.BlockedReason()).Msg("placementPlan")
	l.settings.Scope.Gauge("placement_peak_to_mean").Update(peakToMean)
	l.settings.Scope.Gauge("placement_hot_keys").Update(float64(plan.HotKeys()))
	l.settings.Scope.Counter("placement_plans").Inc(1)
	l.settings.Scope.Counter("placement_moves").Inc(int64(plan.Moves()))
	if plan.BlockedReason() != "" {
		l.settings.Scope.Tagged(map[string]string{"reason": plan.BlockedReason()}).Counter("placement_held_back").Inc(1)
	}
}

// recordHandoverTimes records, for each unit whose handover has ended, how long the
// unit was stopped on this daemon. The timer is unit_handover if another member owns
// the unit now, and unit_handover_given_up if this daemon serves it again. The time
// until the new owner serves is not included.
func (l *Loop) recordHandoverTimes() {
	if len(l.handoverStarts) == 0 {
		return
	}
	snapshot, now := l.node.Snapshot(), l.settings.Clock.Now()
	for key, stoppedAt := range l.handoverStarts {
		owner, ok := snapshot.Owner(key.service, key.unit.Shard(), key.unit.HotKey())
		switch {
		case ok && !owner.IsLocal():
			l.settings.Scope.Timer("unit_handover").Record((now - stoppedAt).Duration())
		case ok && owner.Admits(now):
			l.settings.Scope.Timer("unit_handover_given_up").Record((now - stoppedAt).Duration())
		default:
			continue
		}
		delete(l.handoverStarts, key)
	}
}
