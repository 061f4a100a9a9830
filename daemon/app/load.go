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
	// sampleInterval is the time between two updates of the gauges. It is also the
	// shortest time between two load reports.
	sampleInterval = time.Second
	// targetReportsPerSecond is the rate of load reports that the planner of a service
	// should receive at most. With 670 daemons and 168 members of one service, a
	// report per second from each member would cost the planner 72 KB/s, while
	// control traffic may use only 15 KB/s.
	targetReportsPerSecond = 17
	// maxReportInterval is below the 15 s for which the planner takes a report into
	// account. It takes precedence over targetReportsPerSecond.
	maxReportInterval = 10 * time.Second
	// tokenSweepInterval is the time between two removals of old token rows.
	tokenSweepInterval = time.Hour
	// configurationPollInterval is the time between two checks of the version of the
	// configuration in force.
	configurationPollInterval = 5 * time.Millisecond
)

// loadMeter measures the load of each unit. Use newLoadMeter to create one.
type loadMeter struct {
	clock clock.Clock
	meter *meter.Meter
}

func newLoadMeter(c clock.Clock, hotKeys bool) *loadMeter {
	return &loadMeter{clock: c, meter: meter.New(hotKeys)}
}

// recordUsage records the usage of a request that has ended. A request that was not
// run used no capacity.
func (m *loadMeter) recordUsage(usage router.RequestUsage) {
	if _, notRun := usage.Outcome.(outcome.NotRun); notRun {
		return
	}
	m.meter.Observe(m.clock.Now(), usage.Shard, usage.Key, usage.SlotTime)
}

// endInterval ends the measuring interval and returns the smoothed load of each unit.
func (m *loadMeter) endInterval() []peer.UnitLoad {
	measured := m.meter.EndInterval(m.clock.Now())
	loads := make([]peer.UnitLoad, 0, len(measured))
	for _, load := range measured {
		loads = append(loads, peer.NewUnitLoad(load.Unit().Shard(), load.Unit().HotKey(), load.BusySlotMillis(), load.Requests()))
	}
	return loads
}

// report posts the load of each report interval to the node until ctx ends.
func (m *loadMeter) report(ctx context.Context, loop *control.Loop, upstream *localupstream.Upstream) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	lastBusy := upstream.BusySlotMillis()
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
		// The counter of a newly announced upstream starts at zero.
		busyInInterval := clock.Millis(busy - min(busy, lastBusy))
		lastBusy = busy
		loop.Post(node.NewLoadMeasured(clock.FromDuration(elapsed), busyInInterval, m.endInterval()))
		elapsed = 0
	}
}

// memberCount returns the number of members of the upstream's service, 0 if no
// upstream is announced.
func memberCount(loop *control.Loop, upstream *localupstream.Upstream) int {
	service, ok := upstream.Service()
	if !ok {
		return 0
	}
	return len(loop.Snapshot().Members(service))
}

// reportInterval returns the time between two load reports of a member of a service
// with the given number of members.
func reportInterval(memberCount int) time.Duration {
	interval := time.Duration(memberCount) * time.Second / targetReportsPerSecond
	return min(max(interval, sampleInterval), maxReportInterval)
}

// configurationWaiter waits until a configuration version is in force.
type configurationWaiter struct {
	catalogs localupstream.CatalogSource
}

// Await returns nil when the version or a newer one is in force, and the error of
// ctx if that ends first.
func (w configurationWaiter) Await(ctx context.Context, version uint64) error {
	for w.catalogs.Catalog().Version() < version {
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

// sweepTokens removes old token rows from the table every tokenSweepInterval until
// ctx ends. The first removal follows after a random part of the interval, so that
// daemons that start together don't scan the table at the same time.
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
