// Package retry decides whether and when a failed request is sent again.
package retry

import (
	"sync"

	"briarwell.dev/core/clock"
)

const (
	// defaultShare lets retries add at most a tenth to the load, so that they
	// can't multiply an overload.
	defaultShare = 0.1
	// defaultFloor is the number of retries a second that are always allowed, so
	// that a daemon with few requests can retry at all.
	defaultFloor = 1.0
	// maxTokens bounds the retries that a quiet time saves up for a burst.
	maxTokens = 100.0
	// millisPerSecond converts the floor.
	millisPerSecond = 1000.0
)

// Budget bounds retries to a share of first attempts. The zero value allows
// 10% and one retry a second. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	share   float64
	floor   float64
	burst   float64
	tokens  float64
	updated clock.Millis
	started bool
}

// NewBudget returns a budget of share retries for each first attempt, and
// floor retries a second in any case. A value of zero or less means the
// default.
func NewBudget(share, floor float64) *Budget {
	return &Budget{share: share, floor: floor}
}

// Burst bounds the retries that a quiet time saves up. It returns b, which must
// not be in use yet.
func (b *Budget) Burst(limit float64) *Budget {
	b.burst = limit
	return b
}

// SetFloor changes the retries a second that are allowed in any case.
func (b *Budget) SetFloor(floor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.floor = floor
}

// First records a first attempt.
func (b *Budget) First(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+orDefault(b.share, defaultShare), orDefault(b.burst, maxTokens))
}

// Take tells whether a retry is allowed now, and counts it if so.
func (b *Budget) Take(now clock.Millis) bool { return b.TakeAbove(now, 0) }

// TakeAbove is Take for a retry that leaves a reserve of retries to others.
func (b *Budget) TakeAbove(now clock.Millis, reserve float64) bool {
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
	floor := orDefault(b.floor, defaultFloor)
	if !b.started {
		b.started, b.updated, b.tokens = true, now, min(floor, orDefault(b.burst, maxTokens))
		return
	}
	if now <= b.updated {
		return
	}
	b.tokens = min(b.tokens+floor*float64(now-b.updated)/millisPerSecond, orDefault(b.burst, maxTokens))
	b.updated = now
}

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}
