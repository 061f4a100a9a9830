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

// FaultKind is a kind of fault.
type FaultKind int

// The kinds of faults. Their order is part of a seed's meaning.
const (
	// Pause stops a sidecar's process and continues it.
	Pause FaultKind = iota
	// Kill ends a sidecar and starts it again.
	Kill
	// Restart stops a sidecar gracefully and starts it again.
	Restart
	// Reload tells a sidecar that its settings have changed.
	Reload
	// UpstreamCrash ends an upstream; another life starts at its address.
	UpstreamCrash
	// StoreLink harms a sidecar's connections to the store.
	StoreLink
	// UpstreamLink harms a sidecar's connections to its upstream.
	UpstreamLink
	// HeartbeatLink harms an upstream's connections to its sidecar.
	HeartbeatLink
	// StoreOutage makes the store refuse all calls.
	StoreOutage
	// LostResponses makes the store perform changes late and without an answer.
	LostResponses
	// HistoryLoss makes the store forget its history.
	HistoryLoss
	// ManifestChange writes a manifest with further routes.
	ManifestChange
	// KillAll ends all sidecars and starts them again.
	KillAll
	faultKindCount
)

// String returns the fault's name.
func (f FaultKind) String() string {
	return [...]string{
		"pause", "kill", "restart", "reload", "crash", "storeLink", "upstreamLink", "reportLink", "outage", "lostAnswers", "history",
		"manifest", "killAll",
	}[f]
}

// Fault is a fault at a time.
type Fault struct {
	Start    time.Duration
	Duration time.Duration
	Kind     FaultKind
	Instance int
	Mode     Mode
}

// String returns the event for logs.
func (e Fault) String() string {
	return fmt.Sprintf("%s instance=%d mode=%s at=%s length=%s", e.Kind, e.Instance, e.Mode, e.Start.Round(time.Millisecond), e.Duration.Round(time.Millisecond))
}

const (
	// meanFaultInterval is the mean time between two faults; they last longer than that, so
	// that they overlap.
	meanFaultInterval = 700 * time.Millisecond
	// minFaultDuration and meanLength shape the lengths of faults; maxLength is longer
	// than a hold.
	minFaultDuration       = 200 * time.Millisecond
	meanExtraFaultDuration = 2500 * time.Millisecond
	maxFaultDuration       = 7 * time.Second
)

// NewPlan returns the faults of a seed for a number of instances, by time.
func NewPlan(seed uint64, instances int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 11)) //nolint:gosec // A seed must repeat its faults.
	var events []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval))
		e := Fault{
			Start: at, Kind: FaultKind(rng.IntN(int(faultKindCount))), Instance: rng.IntN(instances), Mode: Mode(1 + rng.IntN(int(modeCount)-1)),
			Duration: min(minFaultDuration+time.Duration(rng.ExpFloat64()*float64(meanExtraFaultDuration)), maxFaultDuration),
		}
		if at >= length {
			break
		}
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return events
}
