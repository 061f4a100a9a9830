package retry

import "briarwell.dev/core/clock"

const (
	// minOutagePause is the shortest time in milliseconds between two calls to a store that
	// does not answer; a random time of up to the same length is added.
	minOutagePause clock.Millis = 250
	// maxOutagePause bounds the shortest time of a daemon that others call the store for.
	maxOutagePause clock.Millis = 2000
	// answerValidity is the age in milliseconds up to which an answer of the store to any
	// daemon shows that it answers some calls.
	answerValidity clock.Millis = 1500
	// maxReturnDelay bounds the random time in milliseconds after which a daemon calls the
	// store when it has learned that the store answers again.
	maxReturnDelay clock.Millis = 250
)

// Outage decides when a daemon calls a store again that has refused its calls or not answered
// them. Load pattern: all daemons notice an outage at the same moment, and each call counts
// against the rates that they share. A few daemons call often, to notice the end, and tell the
// others; these call less and less often, for the case that the store answers only some
// daemons. The zero value has no failed call. It is not safe for concurrent use.
type Outage struct {
	failures int
	failedAt clock.Millis
	pause    clock.Millis
	// total is true if no daemon was known to get answers at the last failure.
	total bool
	// returned is true once the store is known to answer again.
	returned bool
}

// RecordSuccess records an answer of the store to this daemon.
func (o *Outage) RecordSuccess() { *o = Outage{} }

// RecordFailure records a failed call at now. answeredAt is the time of the latest known answer
// of the store to any daemon, 0 if there is none. lookout is true for a daemon that notices the
// end of the outage for others. random is uniform in [0, 1).
func (o *Outage) RecordFailure(now, answeredAt clock.Millis, lookout bool, random float64) {
	pause := minOutagePause
	if !lookout {
		pause = min(minOutagePause<<min(o.failures, 10), maxOutagePause)
	}
	*o = Outage{failures: o.failures + 1, failedAt: now, pause: jittered(pause, random), total: now-answeredAt > answerValidity}
}

// NextCall returns the time from which the store may be called again, given the time of its
// latest known answer to any daemon. random is uniform in [0, 1).
func (o *Outage) NextCall(now, answeredAt clock.Millis, random float64) clock.Millis {
	// An answer to others says nothing if this daemon was refused beside them.
	if o.total && !o.returned && answeredAt > o.failedAt {
		o.returned = true
		o.pause = min(o.pause, now-o.failedAt+clock.Millis(float64(maxReturnDelay)*random))
	}
	return o.failedAt + o.pause
}

// jittered returns pause with a random time of up to the same length added.
func jittered(pause clock.Millis, random float64) clock.Millis {
	return pause + clock.Millis(float64(pause)*random)
}
