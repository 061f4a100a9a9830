// Package meter measures the load of the units of one daemon for the planner.
package meter

import (
	"math"
	"sync"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/hotkey"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/shard"
)

const (
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

// use is what the orders of one unit used in an interval.
type use struct {
	busy     float64
	requests float64
}

// Load is the smoothed load of a unit in one interval.
type Load struct {
	unit ownership.Unit
	use  use
}

// Unit returns the shard or hot key.
func (l Load) Unit() ownership.Unit { return l.unit }

// Busy returns the slot-milliseconds used. That of a shard does not include its
// hot keys that are listed apart.
func (l Load) Busy() clock.Millis { return clock.Millis(l.use.busy + 0.5) }

// Requests returns the number of requests.
func (l Load) Requests() uint64 { return uint64(l.use.requests + 0.5) }

// Meter adds up the slot time of orders by shard, and by key for the hot ones.
// The zero value does not look for hot keys. It is safe for concurrent use.
type Meter struct {
	keys  *hotkey.Sketch
	mutex sync.Mutex
	use   map[ownership.Unit]use
	// hot holds the keys that are counted apart from their shards.
	hot map[string]bool
	// smooth is the decaying mean of use.
	smooth map[ownership.Unit]use
}

// New returns a meter that looks for hot keys if hotKeys is set.
func New(hotKeys bool) *Meter {
	m := &Meter{}
	if hotKeys {
		m.keys = &hotkey.Sketch{}
	}
	return m
}

// Observe adds an order that held a slot for busy milliseconds.
func (m *Meter) Observe(now clock.Millis, id shard.ID, key string, busy clock.Millis) {
	mayBeHot := m.keys != nil && canBeHot(key)
	if mayBeHot {
		m.keys.Observe(now, key, float64(busy))
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	unit := ownership.NewUnit(id, "")
	if mayBeHot && m.hot[key] {
		unit = ownership.NewUnit(id, key)
	}
	if m.use == nil {
		m.use = make(map[ownership.Unit]use)
	}
	m.use[unit] = m.use[unit].plus(1, use{busy: float64(busy), requests: 1})
}

func (u use) plus(weight float64, more use) use {
	return use{busy: u.busy + weight*more.busy, requests: u.requests + weight*more.requests}
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

// Take ends an interval at now. It returns the smoothed loads, in no order, and
// chooses the keys that are counted apart in the next interval.
func (m *Meter) Take(now clock.Millis) []Load {
	hot := m.hottest(now)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.hot = hot
	next := make(map[ownership.Unit]use, len(m.use))
	for unit, old := range m.smooth {
		if rest := (use{}).plus(1-smoothing, old); rest.requests >= negligible {
			next[unit] = rest
		}
	}
	for unit, newest := range m.use {
		next[unit] = next[unit].plus(smoothing, newest)
	}
	m.smooth, m.use = next, nil
	loads := make([]Load, 0, len(next))
	for unit, smoothed := range next {
		loads = append(loads, Load{unit: unit, use: smoothed})
	}
	return loads
}

// hottest returns the keys whose certain weight is a fair share of all work.
func (m *Meter) hottest(now clock.Millis) map[string]bool {
	if m.keys == nil {
		return nil
	}
	counts := m.keys.Top(now, math.MaxInt)
	total := 0.0
	for _, c := range counts {
		total += c.Weight()
	}
	hot := make(map[string]bool)
	for _, c := range counts {
		if c.Weight()-c.MaxError() >= total*hotShare {
			hot[c.Key()] = true
		}
	}
	return hot
}
