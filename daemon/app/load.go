package app

import (
	"context"
	"math"
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/hotkey"
	"briarwell.dev/core/node"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/router"
	"briarwell.dev/daemon/backend"
	"briarwell.dev/daemon/control"
)

const (
	// loadInterval is the time between two load measurements for the planner.
	loadInterval = time.Second
	// awaitPoll is the time between two looks at the configuration in force.
	awaitPoll = 5 * time.Millisecond
	// smoothing is the weight of the newest interval in the reported load. The
	// noise of single intervals would make the planner move units to and fro.
	smoothing = 0.2
	// negligible is the number of requests in an interval below which a unit is
	// not reported any more.
	negligible = 0.01
	// hotShare is the share of the daemon's work from which a key is reported as
	// hot: half of the share from which the balanced policy moves a key alone.
	hotShare = 0.05
	// maxHotKeyBytes bounds the hot keys in the ownership rows, which all daemons
	// copy.
	maxHotKeyBytes = 128
)

// unitUse is what the orders of one unit used in an interval.
type unitUse struct {
	busy     float64
	requests float64
}

// loadMeter adds up the slot time of orders by shard, and by key for the hot
// ones. Use newLoadMeter.
type loadMeter struct {
	clock clock.Clock
	// keys is nil if hot keys are off.
	keys  *hotkey.Sketch
	mutex sync.Mutex
	use   map[ownership.Unit]unitUse
	// hot holds the keys that are counted apart from their shards.
	hot map[string]bool
	// smooth is the decaying mean of use. Only run uses it.
	smooth map[ownership.Unit]unitUse
}

func newLoadMeter(c clock.Clock, hotKeys bool) *loadMeter {
	m := &loadMeter{clock: c, use: map[ownership.Unit]unitUse{}, smooth: map[ownership.Unit]unitUse{}}
	if hotKeys {
		m.keys = &hotkey.Sketch{}
	}
	return m
}

// measured takes an order that ended. Orders that were not run used nothing.
func (m *loadMeter) measured(order router.Measurement) {
	if _, notRun := order.Outcome.(outcome.NotRun); notRun {
		return
	}
	mayBeHot := m.keys != nil && canBeHot(order.Key)
	if mayBeHot {
		m.keys.Observe(m.clock.Now(), order.Key, float64(order.Held))
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	unit := ownership.NewUnit(order.Shard, "")
	if mayBeHot && m.hot[order.Key] {
		unit = ownership.NewUnit(order.Shard, order.Key)
	}
	use := m.use[unit]
	use.busy += float64(order.Held)
	use.requests++
	m.use[unit] = use
}

// canBeHot tells whether a key may have an entry of its own: it must pass
// unchanged through JSON and an HTTP header.
func canBeHot(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != "" && len(key) <= maxHotKeyBytes
}

// take returns the smoothed use in one interval, and chooses the keys that are
// counted apart in the next one.
func (m *loadMeter) take() []peer.UnitLoad {
	hot := m.hottest()
	m.mutex.Lock()
	use := m.use
	m.use = make(map[ownership.Unit]unitUse, len(use))
	m.hot = hot
	m.mutex.Unlock()
	for unit, old := range m.smooth {
		old.busy *= 1 - smoothing
		old.requests *= 1 - smoothing
		m.smooth[unit] = old
		if old.requests < negligible {
			delete(m.smooth, unit)
		}
	}
	for unit, each := range use {
		next := m.smooth[unit]
		next.busy += smoothing * each.busy
		next.requests += smoothing * each.requests
		m.smooth[unit] = next
	}
	loads := make([]peer.UnitLoad, 0, len(m.smooth))
	for unit, each := range m.smooth {
		loads = append(loads, peer.NewUnitLoad(unit.Shard(), unit.HotKey(), clock.Millis(each.busy+0.5), uint64(each.requests+0.5)))
	}
	return loads
}

// hottest returns the keys whose certain weight is a fair share of all work.
func (m *loadMeter) hottest() map[string]bool {
	if m.keys == nil {
		return nil
	}
	counts := m.keys.Top(m.clock.Now(), math.MaxInt)
	total := 0.0
	for _, c := range counts {
		total += c.Weight()
	}
	hot := make(map[string]bool)
	for _, c := range counts {
		if c.Weight()-c.Excess() >= total*hotShare {
			hot[c.Key()] = true
		}
	}
	return hot
}

// run tells the node the load of each interval until ctx ends.
func (m *loadMeter) run(ctx context.Context, loop *control.Loop, upstream *backend.Upstream) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	last := upstream.BusySlotMillis()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		busy := upstream.BusySlotMillis()
		// A newly announced upstream counts from zero.
		used := clock.Millis(busy - min(busy, last))
		last = busy
		loop.Post(node.NewLoadMeasured(clock.FromDuration(loadInterval), used, m.take()))
	}
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
