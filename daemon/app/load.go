package app

import (
	"context"
	"math/rand/v2"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/node"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/placement/meter"
	"briarwell.dev/core/router"
	"briarwell.dev/core/table/token"
	"briarwell.dev/daemon/backend"
	"briarwell.dev/daemon/control"
)

const (
	// loadInterval is the time between two looks at the load.
	loadInterval = time.Second
	// reportsPerSecond bounds the load reports that a planner receives: at 670
	// daemons with 168 members of one service, a report a second from each costs
	// the planner 72 KB/s of the 15 KB/s that control may use.
	reportsPerSecond = 17
	// longestReport keeps the time between two reports below the 15 s for which
	// the planner counts one.
	longestReport = 10 * time.Second
	// sweepInterval is the time between two sweeps of old token rows.
	sweepInterval = time.Hour
	// awaitPoll is the time between two looks at the configuration in force.
	awaitPoll = 5 * time.Millisecond
)

// loadMeter measures the load of the units. Use newLoadMeter.
type loadMeter struct {
	clock clock.Clock
	units *meter.Meter
}

func newLoadMeter(c clock.Clock, hotKeys bool) *loadMeter {
	return &loadMeter{clock: c, units: meter.New(hotKeys)}
}

// measured takes an order that ended. Orders that were not run used nothing.
func (m *loadMeter) measured(order router.RequestUsage) {
	if _, notRun := order.Outcome.(outcome.NotRun); notRun {
		return
	}
	m.units.Observe(m.clock.Now(), order.Shard, order.Key, order.SlotTime)
}

// take returns the smoothed load of one interval.
func (m *loadMeter) take() []peer.UnitLoad {
	measured := m.units.EndInterval(m.clock.Now())
	loads := make([]peer.UnitLoad, 0, len(measured))
	for _, l := range measured {
		loads = append(loads, peer.NewUnitLoad(l.Unit().Shard(), l.Unit().HotKey(), l.BusySlotMillis(), l.Requests()))
	}
	return loads
}

// run tells the node the load of each report interval until ctx ends.
func (m *loadMeter) run(ctx context.Context, loop *control.Loop, upstream *backend.Upstream) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	last := upstream.BusySlotMillis()
	var elapsed time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		elapsed += loadInterval
		if elapsed < reportInterval(members(loop, upstream)) {
			continue
		}
		busy := upstream.BusySlotMillis()
		// A newly announced upstream counts from zero.
		used := clock.Millis(busy - min(busy, last))
		last = busy
		loop.Post(node.NewLoadMeasured(clock.FromDuration(elapsed), used, m.take()))
		elapsed = 0
	}
}

// members returns the number of members of the upstream's service.
func members(loop *control.Loop, upstream *backend.Upstream) int {
	service, ok := upstream.Service()
	if !ok {
		return 0
	}
	return len(loop.Snapshot().Members(service))
}

// reportInterval returns the time between two reports of a member of a service
// with count members.
func reportInterval(count int) time.Duration {
	interval := time.Duration(count) * time.Second / reportsPerSecond
	return min(max(interval, loadInterval), longestReport)
}

// awaiter waits until a configuration version is in force.
type awaiter struct {
	catalogs backend.Catalogs
}

// Await returns when the version, or a newer one, is in force, or the error of
// ctx.
func (a awaiter) Await(ctx context.Context, version uint64) error {
	for a.catalogs.Catalog().Version() < version {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(awaitPoll):
		}
	}
	return nil
}

// gauge exports the state of the daemon as metrics until ctx ends.
func (a *App) gauge(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := a.loop.Snapshot()
		inFlight, queued := a.backend.InFlight()
		a.scope.Gauge("lease_remaining_millis").Update(max(0, float64(snapshot.LeaseEnd()-a.clock.Now())))
		a.scope.Gauge("config_version").Update(float64(a.loop.Catalog().Version()))
		a.scope.Gauge("table_revision").Update(float64(snapshot.Revision()))
		a.scope.Gauge("orders_in_flight").Update(float64(inFlight))
		a.scope.Gauge("requests_queued").Update(float64(queued))
		a.scope.Gauge("members").Update(float64(len(snapshot.AllMembers())))
		if service, ok := a.backend.Service(); ok {
			a.scope.Gauge("owned_shards").Update(float64(len(a.loop.OwnedShards(service))))
		}
	}
}

// sweep removes old token rows of the table now and then until ctx ends. The
// first call comes after a random part of the interval, so that daemons that
// start together don't scan together.
func (a *App) sweep(ctx context.Context, tokens *token.Table) {
	wait := rand.N(sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		removed, err := tokens.Sweep(ctx)
		if err != nil {
			a.log.Warn().Err(err).Msg("tokenSweepFailed")
		} else if removed > 0 {
			a.log.Info().Int("removed", removed).Msg("tokenSweep")
		}
		wait = sweepInterval
	}
}
