package node

import "briarwell.dev/core/clock"

const (
	// pauseThreshold is the time in milliseconds between two steps above which the
	// process counts as having been paused: ten ticks.
	pauseThreshold = 10 * TickInterval
	// isolationTimeout is the time in milliseconds without a message from any peer
	// after which the node counts as isolated: three renewal intervals.
	isolationTimeout clock.Millis = 900
	// reconnectGracePeriod is the time in milliseconds after a pause or an isolation
	// during which holders may renew before the node reports a lapse: two renewal
	// intervals. Without it, a witness that resumes would fence holders whose
	// renewals are still queued in its connections.
	reconnectGracePeriod clock.Millis = 600
)

// connectivity tracks pauses of this process and its isolation from the peers. While
// either is likely, missing renewals of a holder are no evidence that the holder failed.
type connectivity struct {
	lastStep     clock.Millis
	lastReceived clock.Millis
	hasStepped   bool
	hasReceived  bool
	// graceUntil is the end of the last reconnect grace period.
	graceUntil clock.Millis
}

// recordStep records a step of the node and detects a pause before it.
func (c *connectivity) recordStep(now clock.Millis) {
	if c.hasStepped && now-c.lastStep > pauseThreshold {
		c.graceUntil = now + reconnectGracePeriod
	}
	c.lastStep, c.hasStepped = now, true
}

// recordMessage records a message from a peer and detects the end of an isolation.
func (c *connectivity) recordMessage(now clock.Millis) {
	if c.isIsolated(now) {
		c.graceUntil = now + reconnectGracePeriod
	}
	c.lastReceived, c.hasReceived = now, true
}

// isIsolated reports whether no message from a peer arrived within isolationTimeout.
func (c *connectivity) isIsolated(now clock.Millis) bool {
	return !c.hasReceived || now-c.lastReceived > isolationTimeout
}

// canReportLapses reports whether missing renewals can be attributed to the holder rather
// than to a pause or an isolation of this node.
func (c *connectivity) canReportLapses(now clock.Millis) bool {
	return now >= c.graceUntil && !c.isIsolated(now)
}
