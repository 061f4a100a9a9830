// Package retry decides whether and when a failed request is sent again.
package retry

import (
	"sync"

	"briarwell.dev/core/clock"
)

const (
	// defaultRatio lets retries add at most a tenth to the load, so that they
	// can't multiply an overload.
	defaultRatio = 0.1
	// defaultMinPerSecond is the number of retries a second that are always allowed, so
	// that a daemon with few requests can retry at all.
	defaultMinPerSecond = 1.0
	// defaultBurst bounds the retries that a quiet time saves up for a burst.
	defaultBurst = 100.0
	// millisPerSecond converts the floor.
	millisPerSecond = 1000.0
)

// Budget bounds retries to a share of first attempts. The zero value allows
// 10% and one retry a second. It is safe for concurrent use.
type Budget struct {
	mu           sync.Mutex
	ratio        float64
	minPerSecond float64
	burst        float64
	tokens       float64
	updatedAt    clock.Millis
	started      bool
}

// NewBudget returns a budget of share retries for each first attempt, and
// floor retries a second in any case. A value of zero or less means the
// default.
func NewBudget(share, floor float64) *Budget {
	return &Budget{ratio: share, minPerSecond: floor}
}

// WithBurst bounds the retries that a quiet time saves up. It returns b, which must
// not be in use yet.
func (b *Budget) WithBurst(limit float64) *Budget {
	b.burst = limit
	return b
}

// SetMinPerSecond changes the retries a second that are allowed in any case.
func (b *Budget) SetMinPerSecond(floor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.minPerSecond = floor
}

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+orDefault(b.ratio, defaultRatio), orDefault(b.burst, defaultBurst))
}

// Allow tells whether a retry is allowed now, and counts it if so.
func (b *Budget) Allow(now clock.Millis) bool { return b.AllowWithReserve(now, 0) }

// AllowWithReserve is Take for a retry that leaves a reserve of retries to others.
func (b *Budget) AllowWithReserve(now clock.Millis, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now clock.Millis) {
	floor := orDefault(b.minPerSecond, defaultMinPerSecond)
	if !b.started {
		b.started, b.updatedAt, b.tokens = true, now, min(floor, orDefault(b.burst, defaultBurst))
		return
	}
	if now <= b.updatedAt {
		return
	}
	b.tokens = min(b.tokens+floor*float64(now-b.updatedAt)/millisPerSecond, orDefault(b.burst, defaultBurst))
	b.updatedAt = now
}

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}
