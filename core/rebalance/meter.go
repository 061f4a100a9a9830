package rebalance

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/keyspace"
)

const (
	// bucketKeys is the number of adjacent keys that are counted together.
	bucketKeys = 16
	buckets    = (int(keyspace.LastKey) + 1) / bucketKeys
	// window is the time in milliseconds over which requests are counted.
	window clock.Millis = 500
	// windowWeight is the weight of the newest window in the rates.
	windowWeight = 0.5
	// millisPerSecond converts windows.
	millisPerSecond = 1000
)

// Busy is a span of keys and the requests for it in a second.
type Busy struct {
	keyspace.Span

	rate float64
}

// NewBusy returns a span with its rate in requests a second.
func NewBusy(span keyspace.Span, rate float64) Busy { return Busy{Span: span, rate: rate} }

// Rate returns the requests in a second.
func (b Busy) Rate() float64 { return b.rate }

// Meter counts the requests for keys. The zero value has counted none. It is not
// safe for concurrent use.
type Meter struct {
	began  clock.Millis
	counts []uint16
	rates  []float32
	total  int
	rate   float64
}

// Observe counts a request for a key at now.
func (m *Meter) Observe(now clock.Millis, key keyspace.Key) {
	m.roll(now)
	if m.counts == nil {
		m.counts, m.rates = make([]uint16, buckets), make([]float32, buckets)
	}
	m.counts[int(key)/bucketKeys]++
	m.total++
}

// Total returns the rate of all requests in a second.
func (m *Meter) Total(now clock.Millis) float64 {
	m.roll(now)
	return m.rate
}

// Rates returns the spans that are asked for.
func (m *Meter) Rates(now clock.Millis) []Busy {
	m.roll(now)
	var busy []Busy
	for i, rate := range m.rates {
		if rate > 0 {
			span := keyspace.NewSpan(keyspace.Key(i*bucketKeys), keyspace.Key((i+1)*bucketKeys-1))
			busy = append(busy, Busy{Span: span, rate: float64(rate)})
		}
	}
	return busy
}

// roll ends the windows that are over.
func (m *Meter) roll(now clock.Millis) {
	elapsed := now - m.began
	if elapsed < window {
		return
	}
	perSecond := millisPerSecond / float64(elapsed)
	m.rate += windowWeight * (float64(m.total)*perSecond - m.rate)
	for i, n := range m.counts {
		rate := m.rates[i] + windowWeight*(float32(float64(n)*perSecond)-m.rates[i])
		if rate < leastRate {
			rate = 0
		}
		m.rates[i], m.counts[i] = rate, 0
	}
	m.began, m.total = now, 0
}

// leastRate is the rate in requests a second below which a span counts as not
// asked for.
const leastRate = 0.05
