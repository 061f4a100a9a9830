// Package meter measures the load of each shard and hot key of one daemon. The planner
// of the service uses it to place units.
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
	// intervalWeight is the weight of the newest interval in the reported load. The
	// noise of single intervals would make the planner move units to and fro.
	intervalWeight = 0.2
	// minReportedRequests is the number of requests in an interval below which a unit is
	// not reported any more.
	minReportedRequests = 0.01
	// minHotKeyShare is the share of the daemon's work from which a key is reported as
	// hot: half of the share from which the balanced policy moves a key alone.
	minHotKeyShare = 0.05
	// maxHotKeyBytes bounds the hot keys in the ownership rows, which all daemons
	// copy.
	maxHotKeyBytes = 128
)

// usage is what the orders of one unit used in an interval.
type usage struct {
	slotMillis float64
	requests   float64
}

// Load is the load of a unit per interval, smoothed over several intervals.
type Load struct {
	unit  ownership.Unit
	usage usage
}

// Unit returns the shard or hot key that has the load.
func (l Load) Unit() ownership.Unit { return l.unit }

// BusySlotMillis returns the slot-milliseconds used. That of a shard does not include its
// hot keys that are listed apart.
func (l Load) BusySlotMillis() clock.Millis { return clock.Millis(l.usage.slotMillis + 0.5) }

// Requests returns the number of requests.
func (l Load) Requests() uint64 { return uint64(l.usage.requests + 0.5) }

// Meter sums up the slot time of requests for each shard and each hot key. The zero
// value does not detect hot keys. It is safe for concurrent use.
type Meter struct {
	sketch *hotkey.Sketch
	mutex  sync.Mutex
	usage  map[ownership.Unit]usage
	// hotKeys holds the keys that are counted apart from their shards.
	hotKeys map[string]bool
	// smoothed is the decaying mean of use.
	smoothed map[ownership.Unit]usage
}

// New returns a meter that detects hot keys if detectHotKeys is set.
func New(detectHotKeys bool) *Meter {
	m := &Meter{}
	if hotKeys {
		m.sketch = &hotkey.Sketch{}
	}
	return m
}

// Observe adds an order that held a slot for busy milliseconds.
func (m *Meter) Observe(now clock.Millis, id shard.ID, key string, busy clock.Millis) {
	mayBeHot := m.sketch != nil && isEligibleHotKey(key)
	if mayBeHot {
		m.sketch.Observe(now, key, float64(busy))
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	unit := ownership.NewUnit(id, "")
	if mayBeHot && m.hotKeys[key] {
		unit = ownership.NewUnit(id, key)
	}
	if m.usage == nil {
		m.usage = make(map[ownership.Unit]usage)
	}
	m.usage[unit] = m.usage[unit].addWeighted(1, usage{slotMillis: float64(busy), requests: 1})
}

func (u usage) addWeighted(weight float64, more usage) usage {
	return usage{slotMillis: u.slotMillis + weight*more.slotMillis, requests: u.requests + weight*more.requests}
}

// isEligibleHotKey tells whether a key may have an entry of its own: it must pass
// unchanged through JSON and an HTTP header.
func isEligibleHotKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != "" && len(key) <= maxHotKeyBytes
}

// EndInterval ends an interval at now. It returns the smoothed loads, in no order, and
// chooses the keys that are counted apart in the next interval.
func (m *Meter) EndInterval(now clock.Millis) []Load {
	hot := m.selectHotKeys(now)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.hotKeys = hot
	next := make(map[ownership.Unit]usage, len(m.usage))
	for unit, old := range m.smoothed {
		if rest := (usage{}).addWeighted(1-intervalWeight, old); rest.requests >= minReportedRequests {
			next[unit] = rest
		}
	}
	for unit, newest := range m.usage {
		next[unit] = next[unit].addWeighted(intervalWeight, newest)
	}
	m.smoothed, m.usage = next, nil
	loads := make([]Load, 0, len(next))
	for unit, smoothed := range next {
		loads = append(loads, Load{unit: unit, usage: smoothed})
	}
	return loads
}

// selectHotKeys returns the keys whose certain weight is a fair share of all work.
func (m *Meter) selectHotKeys(now clock.Millis) map[string]bool {
	if m.sketch == nil {
		return nil
	}
	counts := m.sketch.Top(now, math.MaxInt)
	total := 0.0
	for _, c := range counts {
		total += c.Weight()
	}
	hotKeys := make(map[string]bool)
	for _, c := range counts {
		if c.Weight()-c.MaxError() >= total*minHotKeyShare {
			hot[c.Key()] = true
		}
	}
	return hotKeys
}
