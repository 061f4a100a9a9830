// Package soak runs sidecars as separate processes beside stand-ins of the platform's
// store and of upstreams, injects faults from outside of them, and checks while it
// runs what callers and upstreams see.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of fault.
type Fault int

// The kinds of faults. Their order is part of a seed's meaning.
const (
	// Pause stops a sidecar's process and continues it.
	Pause Fault = iota
	// Kill ends a sidecar and starts it again.
	Kill
	// Restart stops a sidecar gracefully and starts it again.
	Restart
	// Reload tells a sidecar that its settings have changed.
	Reload
	// Crash ends an upstream; another life starts at its address.
	Crash
	// StoreLink harms a sidecar's connections to the store.
	StoreLink
	// UpstreamLink harms a sidecar's connections to its upstream.
	UpstreamLink
	// ReportLink harms an upstream's connections to its sidecar.
	ReportLink
	// Outage makes the store refuse all calls.
	Outage
	// LostAnswers makes the store perform changes late and without an answer.
	LostAnswers
	// History makes the store forget its history.
	History
	// Manifest writes a manifest with further routes.
	Manifest
	// KillAll ends all sidecars and starts them again.
	KillAll
	faults
)

// String returns the fault's name.
func (f Fault) String() string {
	return [...]string{
		"pause", "kill", "restart", "reload", "crash", "storeLink", "upstreamLink", "reportLink", "outage", "lostAnswers", "history",
		"manifest", "killAll",
	}[f]
}

// Event is a fault at a time.
type Event struct {
	At       time.Duration
	Length   time.Duration
	Fault    Fault
	Instance int
	Mode     Mode
}

// String returns the event for logs.
func (e Event) String() string {
	return fmt.Sprintf("%s instance=%d mode=%s at=%s length=%s", e.Fault, e.Instance, e.Mode, e.At.Round(time.Millisecond), e.Length.Round(time.Millisecond))
}

const (
	// meanGap is the mean time between two faults; they last longer than that, so
	// that they overlap.
	meanGap = 700 * time.Millisecond
	// leastLength and meanLength shape the lengths of faults; maxLength is longer
	// than a hold.
	leastLength = 200 * time.Millisecond
	meanLength  = 2500 * time.Millisecond
	maxLength   = 7 * time.Second
)

// NewPlan returns the faults of a seed for a number of instances, by time.
func NewPlan(seed uint64, instances int, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 11)) //nolint:gosec // A seed must repeat its faults.
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		e := Event{
			At: at, Fault: Fault(rng.IntN(int(faults))), Instance: rng.IntN(instances), Mode: Mode(1 + rng.IntN(int(modes)-1)),
			Length: min(leastLength+time.Duration(rng.ExpFloat64()*float64(meanLength)), maxLength),
		}
		if at >= length {
			break
		}
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}
