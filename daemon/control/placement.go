package control

import (
	"strconv"

	"briarwell.dev/core/node"
)

// planned writes a plan of the placement as one line and exports its figures. The
// gauges of a daemon that is no planner any more keep their last values; the
// counter placement_plans tells which daemon plans.
func (l *Loop) planned(plan node.PlacementPlanned) {
	peakToMean := plan.Input().PeakToMean()
	l.ports.Log.Info().Str("service", plan.Input().Service().String()).
		Str("peakToMean", strconv.FormatFloat(peakToMean, 'f', 3, 64)).
		Int("moves", plan.Moves()).Int("hotKeys", plan.HotKeys()).
		Int("members", len(plan.Input().Candidates())).Int("units", len(plan.Input().Units())).
		Str("heldBack", plan.BlockedReason()).Msg("placementPlan")
	l.ports.Scope.Gauge("placement_peak_to_mean").Update(peakToMean)
	l.ports.Scope.Gauge("placement_hot_keys").Update(float64(plan.HotKeys()))
	l.ports.Scope.Counter("placement_plans").Inc(1)
	l.ports.Scope.Counter("placement_moves").Inc(int64(plan.Moves()))
	if plan.BlockedReason() != "" {
		l.ports.Scope.Tagged(map[string]string{"reason": plan.BlockedReason()}).Counter("placement_held_back").Inc(1)
	}
}

// measureHandovers records how long units were stopped here that another member
// owns now, or that serve here again. The time until the new owner serves is not
// included.
func (l *Loop) measureHandovers() {
	if len(l.unserved) == 0 {
		return
	}
	snapshot, now := l.node.Snapshot(), l.ports.Clock.Now()
	for key, since := range l.unserved {
		owner, ok := snapshot.Owner(key.service, key.unit.Shard(), key.unit.HotKey())
		switch {
		case ok && !owner.IsLocal():
			l.ports.Scope.Timer("unit_handover").Record((now - since).Duration())
		case ok && owner.Admits(now):
			l.ports.Scope.Timer("unit_handover_given_up").Record((now - since).Duration())
		default:
			continue
		}
		delete(l.unserved, key)
	}
}
