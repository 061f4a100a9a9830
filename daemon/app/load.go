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
	"briarwell.dev/daemon/control"
	"briarwell.dev/daemon/localupstream"
)

const (
	// sampleInterval is the time between two looks at the load.
	sampleInterval = time.Second
	// targetReportsPerSecond bounds the load reports that a planner receives: at 670
	// daemons with 168 members of one service, a report a second from each costs
	// the planner 72 KB/s of the 15 KB/s that control may use.
	targetReportsPerSecond = 17
	// maxReportInterval keeps the time between two reports below the 15 s for which
	// the planner counts one.
	maxReportInterval = 10 * time.Second
	// tokenSweepInterval is the time between two sweeps of old token rows.
	tokenSweepInterval = time.Hour
	// configurationPollInterval is the time between two looks at the configuration in force.
	configurationPollInterval = 5 * time.Millisecond
)

// loadMeter measures the load of the units. Use newLoadMeter.
type loadMeter struct {
	clock clock.Clock
	meter *meter.Meter
}

func newLoadMeter(c clock.Clock, hotKeys bool) *loadMeter {
	return &loadMeter{clock: c, meter: meter.New(hotKeys)}
}

// recordUsage takes an order that ended. Orders that were not run used nothing.
func (m *loadMeter) recordUsage(order router.RequestUsage) {
	if _, notRun := order.Outcome.(outcome.NotRun); notRun {
		return
	}
	m.meter.Observe(m.clock.Now(), order.Shard, order.Key, order.SlotTime)
}

// endInterval returns the smoothed load of one interval.
func (m *loadMeter) endInterval() []peer.UnitLoad {
	measured := m.meter.EndInterval(m.clock.Now())
	loads := make([]peer.UnitLoad, 0, len(measured))
	for _, l := range measured {
		loads = append(loads, peer.NewUnitLoad(l.Unit().Shard(), l.Unit().HotKey(), l.BusySlotMillis(), l.Requests()))
	}
	return loads
}

// report tells the node the load of each report interval until ctx ends.
func (m *loadMeter) report(ctx context.Context, loop *control.Loop, upstream *localupstream.Upstream) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	last := upstream.BusySlotMillis()
	var elapsed time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		elapsed += sampleInterval
		if elapsed < reportInterval(memberCount(loop, upstream)) {
			continue
		}
		busy := upstream.BusySlotMillis()
		// A newly announced upstream counts from zero.
		used := clock.Millis(busy - min(busy, last))
		last = busy
		loop.Post(node.NewLoadMeasured(clock.FromDuration(elapsed), used, m.endInterval()))
		elapsed = 0
	}
}

// memberCount returns the number of members of the upstream's service.
func memberCount(loop *control.Loop, upstream *localupstream.Upstream) int {
	service, ok := upstream.Service()
	if !ok {
		return 0
	}
	return len(loop.Snapshot().Members(service))
}

// reportInterval returns the time between two reports of a member of a service
// with count members.
func reportInterval(count int) time.Duration {
	interval := time.Duration(count) * time.Second / targetReportsPerSecond
	return min(max(interval, sampleInterval), maxReportInterval)
}

// configurationWaiter waits until a configuration version is in force.
type configurationWaiter struct {
	catalogs localupstream.CatalogSource
}

// Await returns when the version, or a newer one, is in force, or the error of
// ctx.
func (a configurationWaiter) Await(ctx context.Context, version uint64) error {
	for a.catalogs.Catalog().Version() < version {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(configurationPollInterval):
		}
	}
	return nil
}

// exportGauges exports the state of the daemon as metrics until ctx ends.
func (a *App) exportGauges(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := a.loop.Snapshot()
		inFlight, queued := a.upstream.InFlight()
		a.scope.Gauge("lease_remaining_millis").Update(max(0, float64(snapshot.LeaseEnd()-a.clock.Now())))
		a.scope.Gauge("config_version").Update(float64(a.loop.Catalog().Version()))
		a.scope.Gauge("table_revision").Update(float64(snapshot.Revision()))
		a.scope.Gauge("orders_in_flight").Update(float64(inFlight))
		a.scope.Gauge("requests_queued").Update(float64(queued))
		a.scope.Gauge("members").Update(float64(len(snapshot.AllMembers())))
		if service, ok := a.upstream.Service(); ok {
			a.scope.Gauge("owned_shards").Update(float64(len(a.loop.OwnedShards(service))))
		}
	}
}

// sweepTokens removes old token rows of the table now and then until ctx ends. The
// first call comes after a random part of the interval, so that daemons that
// start together don't scan together.
func (a *App) sweepTokens(ctx context.Context, tokens *token.Table) {
	wait := rand.N(tokenSweepInterval)
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
		wait = tokenSweepInterval
	}
}
