// Package soak runs sidecars as separate processes against fakes of the platform's
// store and of upstreams. It injects overlapping faults into the processes and their
// connections, and checks the responses that callers get and the requests that
// upstreams run.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind int

// The kinds of faults. A change of their order changes the plan of each seed.
const (
	// Pause suspends a sidecar with SIGSTOP and resumes it with SIGCONT.
	Pause FaultKind = iota
	// Kill kills a sidecar with SIGKILL and restarts it.
	Kill
	// Restart stops a sidecar gracefully and restarts it.
	Restart
	// Reload makes a sidecar reload its settings with SIGHUP.
	Reload
	// UpstreamCrash ends an upstream and starts a new one at the same address.
	UpstreamCrash
	// StoreLink disturbs the connections of a sidecar to the store.
	StoreLink
	// UpstreamLink disturbs the connections of a sidecar to its upstream.
	UpstreamLink
	// HeartbeatLink disturbs the connections of an upstream to its sidecar, over which
	// it sends heartbeats.
	HeartbeatLink
	// StoreOutage makes the store respond to all calls with 503.
	StoreOutage
	// LostResponses makes the store apply transactions late and without a response.
	LostResponses
	// HistoryLoss makes the feeds of the store respond that the history is gone.
	HistoryLoss
	// ManifestChange writes a new manifest, with a restricted route of the keyed service if the
	// previous one had none.
	ManifestChange
	// KillAll kills all sidecars and restarts them.
	KillAll
	// UpstreamLeave makes an upstream deregister, serve on for a while with reports that do
	// not say so, and end. A new one starts at its address.
	UpstreamLeave
	// Hangups sends SIGHUP to a sidecar again and again.
	Hangups
	// StoreSilence makes calls to the store get no response, also those that are pending.
	StoreSilence
	// ColdTurn makes an upstream cold without notice, unless it is cold already.
	ColdTurn
	// Evacuate takes the failure domain of an instance out of use and returns it; with the mode
	// Silence, all domains at once.
	Evacuate
	faultKindCount
)

// The kinds of the series of manifests and slow links, which runs beside the other faults. A change
// of their order changes the series of each seed.
const (
	// Grow adds routes to the manifest at once.
	Grow FaultKind = faultKindCount + iota
	// GrowInSteps adds routes in several manifests, one after another.
	GrowInSteps
	// Shrink removes routes.
	Shrink
	// GrowWhileRefused adds routes while the store refuses the calls of some instances.
	GrowWhileRefused
	// GrowBeforeRestart adds routes and restarts some sidecars at once, gracefully or with SIGKILL.
	GrowBeforeRestart
	// GrowInPowerLoss adds routes after all sidecars were killed, before they are restarted.
	GrowInPowerLoss
	// GrowOnSlowLinks adds routes while the links of some instances are slow.
	GrowOnSlowLinks
	seriesKindEnd
)

// StoreDrill makes the store come back from an older copy. Drills are a series of their own.
const StoreDrill = seriesKindEnd

// String returns the name of the kind.
func (k FaultKind) String() string {
	return [...]string{
		"pause", "kill", "restart", "reload", "crash", "storeLink", "upstreamLink", "reportLink", "outage", "lostAnswers", "history",
		"manifest", "killAll", "leave", "hangups", "silence", "cold", "evacuate",
		"grow", "growInSteps", "shrink", "growWhileRefused", "growBeforeRestart", "growInPowerLoss", "growOnSlowLinks", "drill",
		"lateReports", "copiedReports", "reportsOfDead", "foreignReports", "closedListener", "killSeries", "killAfterWrite", "stopInAnswer", "lateWrites", "restartInMove",
		"longKill", "peerLink", "cutOff", "slowStore", "", "staleReports",
	}[k]
}

// Fault is a scheduled fault.
type Fault struct {
	// Start is the time from the start of the fault phase.
	Start    time.Duration
	Duration time.Duration
	Kind     FaultKind
	// Instance is the index of the affected instance. Faults of the store and KillAll
	// ignore it.
	Instance int
	// Mode is the proxy mode of link faults. It selects the scope of Evacuate and of the series;
	// other faults ignore it.
	Mode Mode
	// Routes is the number of routes that the series adds.
	Routes int
	// Age is how old the copy is from which the store comes back.
	Age time.Duration
}

// String returns the fault as key=value pairs for logs.
func (f Fault) String() string {
	return fmt.Sprintf("%s instance=%d mode=%s at=%s length=%s routes=%d age=%s", f.Kind, f.Instance, f.Mode, f.Start.Round(time.Millisecond), f.Duration.Round(time.Millisecond), f.Routes, f.Age.Round(time.Millisecond))
}

const (
	// meanFaultInterval is the mean time between the starts of two faults. It is
	// shorter than the mean duration of faults, so that faults overlap.
	meanFaultInterval = 700 * time.Millisecond
	// The duration of a fault is minFaultDuration plus an exponentially distributed
	// time with the mean meanExtraFaultDuration, at most maxFaultDuration. The maximum is
	// longer than the hold time of a grant.
	minFaultDuration       = 200 * time.Millisecond
	meanExtraFaultDuration = 2500 * time.Millisecond
	maxFaultDuration       = 7 * time.Second
	// meanSeriesInterval is meanFaultInterval for the series of manifests and slow links.
	meanSeriesInterval = 1700 * time.Millisecond
	// Manifests grow by minGrowth to maxGrowth routes.
	minGrowth = 100
	maxGrowth = 4000
)

// Without selects series that a plan leaves out. The zero value leaves out none.
type Without struct {
	// Drills has the store come back from older copies.
	Drills bool
	// HoldFaults press on exclusive holds. Without them, the work of upstreams is short and their clocks
	// are right.
	HoldFaults bool
	// Others has all faults that neither press on exclusive holds nor move keys, and the checks that
	// follow the faults.
	Others bool
}

// movesKeys reports whether faults of the kind make keys change hands.
func (k FaultKind) movesKeys() bool {
	return k > StoreDrill || slices.Contains([]FaultKind{Pause, Kill, Restart, UpstreamCrash, StoreLink, HeartbeatLink, StoreOutage, UpstreamLeave, StoreSilence, Evacuate}, k)
}

// NewPlan returns the faults of a seed for a number of instances, ordered by start.
// All start before the end of the fault phase. Without a series, the other faults are the same.
func NewPlan(seed uint64, instances int, faultPhase time.Duration, without Without) []Fault {
	rng := rand.New(rand.NewPCG(seed, 11)) //nolint:gosec // Equal seeds must give equal faults.
	var plan []Fault
	for start := time.Duration(0); ; {
		start += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval))
		f := Fault{
			Start: start, Kind: FaultKind(rng.IntN(int(faultKindCount))), Instance: rng.IntN(instances), Mode: Mode(1 + rng.IntN(int(modeCount)-1)),
			Duration: min(minFaultDuration+time.Duration(rng.ExpFloat64()*float64(meanExtraFaultDuration)), maxFaultDuration),
		}
		if start >= faultPhase {
			break
		}
		plan = append(plan, f)
	}
	plan = append(plan, newSeries(seed, instances, faultPhase)...)
	if !without.Drills {
		plan = append(plan, newDrills(seed, faultPhase)...)
	}
	if !without.HoldFaults {
		plan = append(plan, newHoldFaults(seed, instances, faultPhase)...)
	}
	if without.Others {
		plan = slices.DeleteFunc(plan, func(f Fault) bool { return !f.Kind.movesKeys() })
	}
	slices.SortFunc(plan, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}

// newSeries returns the manifests and slow links of a seed.
func newSeries(seed uint64, instances int, faultPhase time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 12)) //nolint:gosec // Equal seeds must give equal faults.
	var series []Fault
	for start := time.Duration(0); ; {
		start += time.Duration(rng.ExpFloat64() * float64(meanSeriesInterval))
		f := Fault{
			Start: start, Kind: Grow + FaultKind(rng.IntN(int(seriesKindEnd-Grow))), Instance: rng.IntN(instances), Mode: Mode(1 + rng.IntN(int(modeCount)-1)),
			Duration: min(minFaultDuration+time.Duration(rng.ExpFloat64()*float64(meanExtraFaultDuration)), maxFaultDuration),
			Routes:   minGrowth + rng.IntN(maxGrowth-minGrowth),
		}
		if start >= faultPhase {
			return series
		}
		series = append(series, f)
	}
}
