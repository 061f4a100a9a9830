package node

import "briarwell.dev/core/clock"

const (
	// pauseThreshold is the time in milliseconds between two steps above which the
	// process was paused: ten ticks.
	pauseThreshold = 10 * TickInterval
	// isolationTimeout is the time in milliseconds without a message from any peer
	// after which the node is cut off: three renewals.
	isolationTimeout clock.Millis = 900
	// reconnectGracePeriod is the time in milliseconds after a pause or a cut in which
	// holders get to renew before the node reports a lapse: two renewals. Without
	// it a witness that resumes would fence holders whose renewals still wait in
	// its connections.
	reconnectGracePeriod clock.Millis = 600
)

// connectivity tells whether the node may judge others by their silence.
type connectivity struct {
	lastStep     clock.Millis
	lastReceived clock.Millis
	hasStepped   bool
	hasReceived  bool
	graceUntil   clock.Millis
}

func (c *connectivity) recordStep(now clock.Millis) {
	if c.hasStepped && now-c.lastStep > pauseThreshold {
		c.graceUntil = now + reconnectGracePeriod
	}
	c.lastStep, c.hasStepped = now, true
}

func (c *connectivity) recordMessage(now clock.Millis) {
	if c.isIsolated(now) {
		c.graceUntil = now + reconnectGracePeriod
	}
	c.lastReceived, c.hasReceived = now, true
}

// isIsolated tells whether no peer was heard lately.
func (c *connectivity) isIsolated(now clock.Millis) bool {
	return !c.hasReceived || now-c.lastReceived > isolationTimeout
}

// canReportLapses tells whether the silence of a holder says something about the holder
// and not about this node.
func (c *connectivity) canReportLapses(now clock.Millis) bool {
	return now >= c.graceUntil && !c.isIsolated(now)
}
