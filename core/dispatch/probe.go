package dispatch

import "briarwell.dev/core/clock"

// probeInterval is the shortest time in milliseconds between two probes of an instance. A
// restart takes about a second.
const probeInterval clock.Millis = 200

// Prober asks daemons whether requests can be sent to them.
type Prober interface {
	// Probe asks the daemon of the named instance in the background, and calls report once
	// with the result.
	Probe(name string, report func(reachable bool))
}

// probeSchedule decides when to probe an unreachable instance. Load pattern: requests for the
// keys of an owner whose daemon is restarted, or whose link is cut, for a second or two. No
// other instance may run them, and the pauses between requests to it double. It is probed only
// while there are requests for it. The zero value has no probes.
type probeSchedule struct {
	probes map[string]probeState
}

type probeState struct {
	startedAt clock.Millis
	running   bool
}

// start reports whether to probe an instance now, and records the probe if so.
func (p *probeSchedule) start(now clock.Millis, name string) bool {
	probe, known := p.probes[name]
	if known && (probe.running || now-probe.startedAt < probeInterval) {
		return false
	}
	if p.probes == nil {
		p.probes = make(map[string]probeState)
	}
	p.probes[name] = probeState{startedAt: now, running: true}
	return true
}

// end records the end of a probe. Instances that can be reached are not kept.
func (p *probeSchedule) end(name string, reachable bool) {
	if reachable {
		delete(p.probes, name)
		return
	}
	p.probes[name] = probeState{startedAt: p.probes[name].startedAt}
}
