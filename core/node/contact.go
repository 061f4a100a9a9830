package node

import "briarwell.dev/core/clock"

const (
	// pauseLimit is the time in milliseconds between two steps above which the
	// process was paused: ten ticks.
	pauseLimit = 10 * TickInterval
	// contactLimit is the time in milliseconds without a message from any peer
	// after which the node is cut off: three renewals.
	contactLimit clock.Millis = 900
	// settleIn is the time in milliseconds after a pause or a cut in which
	// holders get to renew before the node reports a lapse: two renewals. Without
	// it a witness that resumes would fence holders whose renewals still wait in
	// its connections.
	settleIn clock.Millis = 600
)

// contact tells whether the node may judge others by their silence.
type contact struct {
	lastStep   clock.Millis
	lastHeard  clock.Millis
	stepped    bool
	heard      bool
	quietUntil clock.Millis
}

func (c *contact) step(now clock.Millis) {
	if c.stepped && now-c.lastStep > pauseLimit {
		c.quietUntil = now + settleIn
	}
	c.lastStep, c.stepped = now, true
}

func (c *contact) message(now clock.Millis) {
	if c.isolated(now) {
		c.quietUntil = now + settleIn
	}
	c.lastHeard, c.heard = now, true
}

// isolated tells whether no peer was heard lately.
func (c *contact) isolated(now clock.Millis) bool {
	return !c.heard || now-c.lastHeard > contactLimit
}

// mayJudge tells whether the silence of a holder says something about the holder
// and not about this node.
func (c *contact) mayJudge(now clock.Millis) bool {
	return now >= c.quietUntil && !c.isolated(now)
}
