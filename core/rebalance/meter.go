package rebalance

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/keyspace"
)

const (
	// keysPerBucket is the number of adjacent keys that share a counter.
	keysPerBucket = 16
	bucketCount   = (int(keyspace.LastKey) + 1) / keysPerBucket
	// window is the minimum time in milliseconds over which requests are counted.
	window clock.Millis = 500
	// windowSampleWeight is the weight of the newest window in the moving averages.
	windowSampleWeight = 0.5

	millisPerSecond = 1000
)

// SpanRate is a span of keys and the rate of the requests for them.
type SpanRate struct {
	keyspace.Span

	rate float64
}

// NewSpanRate returns a span with its rate in requests per second.
func NewSpanRate(span keyspace.Span, rate float64) SpanRate { return SpanRate{Span: span, rate: rate} }

// Rate returns the requests per second.
func (s SpanRate) Rate() float64 { return s.rate }

// Meter measures the request rates of keys. The zero value has no requests. It is not
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

// TotalRate returns the rate of all requests per second.
func (m *Meter) TotalRate(now clock.Millis) float64 {
	m.advanceWindow(now)
	return m.totalRate
}

// Rates returns the spans with requests, in ascending order of their keys.
func (m *Meter) Rates(now clock.Millis) []SpanRate {
	m.advanceWindow(now)
	var rates []SpanRate
	for i, rate := range m.rates {
		if rate > 0 {
			span := keyspace.NewSpan(keyspace.Key(i*keysPerBucket), keyspace.Key((i+1)*keysPerBucket-1))
			rates = append(rates, SpanRate{Span: span, rate: float64(rate)})
		}
	}
	return rates
}

// advanceWindow updates the rates and starts a new window if the current one is over.
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

// minRate is the rate in requests per second below which a span counts as unused, so
// that a decaying rate reaches zero.
const minRate = 0.05
