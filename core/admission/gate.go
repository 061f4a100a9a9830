// Package admission decides which requests the upstream of this instance gets,
// in which order, and which are refused.
package admission

import (
	"context"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// Settings are those of a Gate.
type Settings struct {
	// Slots is the announced number of orders that the upstream runs at once.
	Slots int
	// QueueLimit bounds the waiting requests; zero means 4 for each slot.
	QueueLimit int
	// ColdStart is the time in milliseconds in which the limit rises to Slots.
	ColdStart clock.Millis
}

// Gate admits requests to one upstream. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock
}

// NewGate returns a Gate whose cold start begins now.
func NewGate(c clock.Clock, settings Settings) *Gate {
	_ = settings
	return &Gate{clock: c}
}

// Acquire waits for a slot. It returns a *RefusedError if the request is
// refused, or the error of ctx.
func (g *Gate) Acquire(ctx context.Context, priority template.Priority, deadline clock.Millis) (*Slot, error) {
	_, _, _ = ctx, priority, deadline
	return &Slot{}, nil
}

// Announce replaces the slots, as an upstream announced them again.
func (g *Gate) Announce(settings Settings) { _ = settings }

// Report takes the upstream's own load report.
func (g *Gate) Report(load upstream.Load) { _ = load }

// InFlight returns the admitted requests that have not released their slot.
func (g *Gate) InFlight() int { return 0 }

// Queued returns the waiting requests.
func (g *Gate) Queued() int { return 0 }

// BusySlotMillis returns the slot-milliseconds used since the Gate was made.
func (g *Gate) BusySlotMillis() uint64 { return 0 }

// Slot is an admitted request's share of the upstream.
type Slot struct{}

// Release gives the slot back after an answer. Only the first call of Release
// or Refused has an effect.
func (s *Slot) Release() {}

// Refused gives the slot back after the upstream refused the order.
func (s *Slot) Refused() {}
