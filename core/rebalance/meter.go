package rebalance

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/keyspace"
)

const (
	// keysPerBucket is the number of adjacent keys that are counted together.
	keysPerBucket = 16
	bucketCount   = (int(keyspace.LastKey) + 1) / keysPerBucket
	// window is the time in milliseconds over which requests are counted.
	window clock.Millis = 500
	// windowSampleWeight is the weight of the newest window in the rates.
	windowSampleWeight = 0.5
	// millisPerSecond converts windows.
	millisPerSecond = 1000
)

// SpanRate is a span of keys and the requests for it in a second.
type SpanRate struct {
	keyspace.Span

	rate float64
}

// NewSpanRate returns a span with its rate in requests a second.
func NewSpanRate(span keyspace.Span, rate float64) SpanRate { return SpanRate{Span: span, rate: rate} }

// Rate returns the requests in a second.
func (b SpanRate) Rate() float64 { return b.rate }

// Meter counts the requests for keys. The zero value has counted none. It is not
// safe for concurrent use.
type Meter struct {
	windowStart clock.Millis
	counts      []uint16
	rates       []float32
	totalCount  int
	totalRate   float64
}

// Observe counts a request for a key at now.
func (m *Meter) Observe(now clock.Millis, key keyspace.Key) {
	m.advanceWindow(now)
	if m.counts == nil {
		m.counts, m.rates = make([]uint16, bucketCount), make([]float32, bucketCount)
	}
	m.counts[int(key)/keysPerBucket]++
	m.totalCount++
}

// TotalRate returns the rate of all requests in a second.
func (m *Meter) TotalRate(now clock.Millis) float64 {
	m.advanceWindow(now)
	return m.totalRate
}

// Rates returns the spans that are asked for.
func (m *Meter) Rates(now clock.Millis) []SpanRate {
	m.advanceWindow(now)
	var busy []SpanRate
	for i, rate := range m.rates {
		if rate > 0 {
			span := keyspace.NewSpan(keyspace.Key(i*keysPerBucket), keyspace.Key((i+1)*keysPerBucket-1))
			busy = append(busy, SpanRate{Span: span, rate: float64(rate)})
		}
	}
	return busy
}

// advanceWindow ends the windows that are over.
func (m *Meter) advanceWindow(now clock.Millis) {
	elapsed := now - m.windowStart
	if elapsed < window {
		return
	}
	perSecond := millisPerSecond / float64(elapsed)
	m.totalRate += windowSampleWeight * (float64(m.totalCount)*perSecond - m.totalRate)
	for i, n := range m.counts {
		rate := m.rates[i] + windowSampleWeight*(float32(float64(n)*perSecond)-m.rates[i])
		if rate < minRate {
			rate = 0
		}
		m.rates[i], m.counts[i] = rate, 0
	}
	m.windowStart, m.totalCount = now, 0
}

// minRate is the rate in requests a second below which a span counts as not
// asked for.
const minRate = 0.05
