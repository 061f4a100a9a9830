// Package retry decides whether and when a failed request is retried, and bounds
// retries by a budget.
package retry

import (
	"sync"

	"briarwell.dev/core/clock"
)

const (
	// defaultRatio limits retries to a tenth of the first attempts, so that they
	// can't multiply an overload.
	defaultRatio = 0.1
	// defaultMinPerSecond is the number of retries per second that are always
	// allowed, so that a daemon with few requests can retry at all.
	defaultMinPerSecond = 1.0
	// defaultBurst bounds the retries that accumulate while few are needed.
	defaultBurst = 100.0

	millisPerSecond = 1000.0
)

// Budget is a token bucket that limits retries to a ratio of first attempts. The zero
// value allows 10% and one retry per second. It is safe for concurrent use.
type Budget struct {
	mu           sync.Mutex
	ratio        float64
	minPerSecond float64
	burst        float64
	tokens       float64
	updatedAt    clock.Millis
	started      bool
}

// NewBudget returns a budget of ratio retries per first attempt, plus minPerSecond
// retries per second. A value of zero or less means the default.
func NewBudget(ratio, minPerSecond float64) *Budget {
	return &Budget{ratio: ratio, minPerSecond: minPerSecond}
}

// WithBurst sets the maximum number of retries that accumulate while few are needed.
// It must be called before the budget is used. It returns b.
func (b *Budget) WithBurst(limit float64) *Budget {
	b.burst = limit
	return b
}

// SetMinPerSecond sets the retries per second that are allowed regardless of first
// attempts.
func (b *Budget) SetMinPerSecond(minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.minPerSecond = minPerSecond
}

// RecordFirstAttempt adds the retries that one first attempt allows.
func (b *Budget) RecordFirstAttempt(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+orDefault(b.ratio, defaultRatio), orDefault(b.burst, defaultBurst))
}

// Allow reports whether a retry is allowed now, and takes it from the budget if so.
func (b *Budget) Allow(now clock.Millis) bool { return b.AllowWithReserve(now, 0) }

// AllowWithReserve is Allow for a retry that must leave reserve retries in the budget
// for more important ones.
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
	minPerSecond := orDefault(b.minPerSecond, defaultMinPerSecond)
	if !b.started {
		b.started, b.updatedAt, b.tokens = true, now, min(minPerSecond, orDefault(b.burst, defaultBurst))
		return
	}
	if now <= b.updatedAt {
		return
	}
	b.tokens = min(b.tokens+minPerSecond*float64(now-b.updatedAt)/millisPerSecond, orDefault(b.burst, defaultBurst))
	b.updatedAt = now
}

func orDefault(value, defaultValue float64) float64 {
	if value <= 0 {
		return defaultValue
	}
	return value
}
