// Package shutdown decides which requests a process accepts between a stop signal and its end.
// Load pattern: one of several instances is stopped while callers go on sending requests, of which
// some take a large part of the grace period. A request that is accepted too late is broken off at
// the end; one that is refused too early could have been served.
package shutdown

import "briarwell.dev/core/clock"

const (
	// RetryAfter is the time in milliseconds after which the caller of a refused request may
	// retry: in it a process ends and is started again.
	RetryAfter clock.Millis = 800
	// maxEndMargin bounds the time in milliseconds between the end of the requests and the kill.
	maxEndMargin clock.Millis = 600
	// peerDrainTime is the time in milliseconds after ClosedToPeers in which requests that other
	// instances have already sent still arrive and are refused.
	peerDrainTime clock.Millis = 60
)

// Settings are the times of a shutdown in milliseconds after the stop signal.
type Settings struct {
	// Grace is the time of the kill.
	Grace clock.Millis
	// Noticed is the time by which callers have noticed that the instance is not ready.
	Noticed clock.Millis
	// Refusal is the time from which requests of callers are refused in any case, so that a few
	// that go on don't keep the process from ending.
	Refusal clock.Millis
}

// Plan is the course of one shutdown. The zero value is that of a process that goes on.
type Plan struct {
	settings Settings
	began    clock.Millis
	begun    bool
	closed   bool
}

// Begin returns the plan of a shutdown whose stop signal came at now. A short grace period
// shortens the other times.
func Begin(now clock.Millis, s Settings) Plan {
	s.Noticed = min(s.Noticed, s.Grace/2)
	s.Refusal = max(min(s.Refusal, s.Grace*3/5), s.Noticed)
	return Plan{settings: s, began: now, begun: true}
}

// Close returns the plan of a process that accepts no more requests at all.
func (p Plan) Close() Plan {
	p.closed = true
	return p
}

// Begun reports whether the stop signal has come.
func (p Plan) Begun() bool { return p.begun }

// Accepts reports whether a request of a caller that ends by its deadline may be passed on at now.
// Until callers have noticed the shutdown, most of them would be refused again elsewhere or here.
// Later a request must be certain to end before the process. A nested request has a parent that
// runs here, which ends no earlier and fails if the nested one is refused.
func (p Plan) Accepts(now, deadline clock.Millis, nested bool) bool {
	elapsed := now - p.began
	switch {
	case p.closed:
		return false
	case !p.begun:
		return true
	case now >= p.End():
		return false
	case nested || elapsed < p.settings.Noticed:
		return true
	default:
		return elapsed < p.settings.Refusal && deadline <= p.End()
	}
}

// ClosedToPeers reports whether requests of other instances are refused at now.
func (p Plan) ClosedToPeers(now clock.Millis) bool {
	return p.begun && now-p.began >= p.settings.Noticed
}

// MayClose reports whether the process may accept no more requests from now on, given the number
// of those in flight.
func (p Plan) MayClose(now clock.Millis, inFlight int64) bool {
	return now >= p.End() || inFlight == 0 && now-p.began >= p.settings.Noticed+peerDrainTime
}

// End returns the time at which the requests still in flight are given up.
func (p Plan) End() clock.Millis { return p.began + p.settings.Grace - p.endMargin() }

// ResponsesEnd returns the time by which the responses to the requests given up are written.
func (p Plan) ResponsesEnd() clock.Millis { return p.End() + p.endMargin()/2 }

func (p Plan) endMargin() clock.Millis { return min(maxEndMargin, p.settings.Grace/6) }
