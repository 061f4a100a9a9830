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
	// intervalWeight is the weight of the newest interval in the reported load. Without
	// smoothing, the noise of single intervals would make the planner move units back
	// and forth.
	intervalWeight = 0.2
	// minReportedRequests is the smoothed number of requests per interval below which a
	// unit without new requests is no longer reported.
	minReportedRequests = 0.01
	// minHotKeyShare is the share of the daemon's load from which a key is reported as
	// hot. It is half of the share from which the balanced policy moves a hot key
	// separately from its shard.
	minHotKeyShare = 0.05
	// maxHotKeyBytes is the maximum length of a hot key. It limits the size of the
	// ownership rows, which contain the hot keys and of which each daemon has a copy.
	maxHotKeyBytes = 128
)

// usage is the slot time and the number of requests of one unit in an interval.
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

// BusySlotMillis returns the slot-milliseconds used. The load of a shard does not
// include that of its hot keys, which have a Load of their own.
func (l Load) BusySlotMillis() clock.Millis { return clock.Millis(l.usage.slotMillis + 0.5) }

// Requests returns the number of requests.
func (l Load) Requests() uint64 { return uint64(l.usage.requests + 0.5) }

// Meter sums up the slot time of requests for each shard and each hot key. The zero
// value does not detect hot keys. It is safe for concurrent use.
type Meter struct {
	sketch *hotkey.Sketch
	mutex  sync.Mutex
	usage  map[ownership.Unit]usage
	// hotKeys holds the keys that are counted separately from their shards.
	hotKeys map[string]bool
	// smoothed holds the exponentially weighted moving average of the usage.
	smoothed map[ownership.Unit]usage
}

// New returns a meter that detects hot keys if detectHotKeys is set.
func New(detectHotKeys bool) *Meter {
	m := &Meter{}
	if detectHotKeys {
		m.sketch = &hotkey.Sketch{}
	}
	return m
}

// Observe adds a request that occupied a slot for slotMillis.
func (m *Meter) Observe(now clock.Millis, id shard.ID, key string, slotMillis clock.Millis) {
	mayBeHot := m.sketch != nil && isEligibleHotKey(key)
	if mayBeHot {
		m.sketch.Observe(now, key, float64(slotMillis))
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
	m.usage[unit] = m.usage[unit].addWeighted(1, usage{slotMillis: float64(slotMillis), requests: 1})
}

// addWeighted returns the sum of u and the weighted other usage.
func (u usage) addWeighted(weight float64, other usage) usage {
	return usage{slotMillis: u.slotMillis + weight*other.slotMillis, requests: u.requests + weight*other.requests}
}

// isEligibleHotKey reports whether a key may have an ownership entry of its own. Such a
// key must be short and pass unchanged through JSON and an HTTP header.
func isEligibleHotKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != "" && len(key) <= maxHotKeyBytes
}

// EndInterval ends the current interval and returns the smoothed loads in no particular
// order. It selects the hot keys as of now, which are counted separately from their
// shards in the next interval.
func (m *Meter) EndInterval(now clock.Millis) []Load {
	hotKeys := m.selectHotKeys(now)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.hotKeys = hotKeys
	next := make(map[ownership.Unit]usage, len(m.usage))
	for unit, old := range m.smoothed {
		if decayed := (usage{}).addWeighted(1-intervalWeight, old); decayed.requests >= minReportedRequests {
			next[unit] = decayed
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

// selectHotKeys returns the keys whose weight, less its maximum error, is at least the
// share minHotKeyShare of the total. It returns nil if the meter detects no hot keys.
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
			hotKeys[c.Key()] = true
		}
	}
	return hotKeys
}
