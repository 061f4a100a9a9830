package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
)

const (
	// pollInterval is the time in milliseconds between two polls of the table by
	// one reader.
	pollInterval clock.Millis = 1000
	// pollersPerDomain is the number of readers of the table in each failure
	// domain: at 7 domains they make 14 of the 2,000 reads a second.
	pollersPerDomain = 2
	// scanGap is the shortest time in milliseconds between two scans.
	scanGap clock.Millis = 50
	// scanBackoff is the time in milliseconds after a failed scan.
	scanBackoff clock.Millis = 300
	// behindLimit is the time in milliseconds for which peers may have a newer
	// copy before the node reads the table itself.
	behindLimit clock.Millis = 600
)

type pollState struct {
	scanning bool
	scanned  bool
	wanted   bool
	started  clock.Millis
	next     clock.Millis
	// pollers are the readers of the node's failure domain; nil if unknown.
	pollers []identity.Incarnation
}

func (n *Node) stepPoll() {
	if n.poll.scanning || n.now < n.poll.next {
		return
	}
	periodic := n.needsPolling() && (n.now >= n.poll.started+pollInterval || !n.poll.scanned)
	if !n.poll.wanted && !periodic {
		return
	}
	n.poll.scanning, n.poll.wanted = true, false
	n.poll.started = n.now
	n.poll.next = n.now + scanGap
	n.emit(Scan{since: n.copy.revision})
}

func (n *Node) needsPolling() bool {
	if n.row.State() != membership.StateActive && n.row.State() != membership.StateDraining {
		return true
	}
	return n.contact.isolated(n.now) || n.behind(behindLimit) || n.isPoller()
}

// isPoller tells whether the node is one of the active members of its failure
// domain with the smallest incarnations.
func (n *Node) isPoller() bool {
	if n.poll.pollers == nil {
		n.poll.pollers = make([]identity.Incarnation, 0, pollersPerDomain)
		for _, m := range n.view.Alive() {
			if len(n.poll.pollers) == pollersPerDomain {
				break
			}
			if m.State() == membership.StateActive && m.Instance().Location() == n.settings.instance.Location() {
				n.poll.pollers = append(n.poll.pollers, m.Incarnation())
			}
		}
	}
	for _, p := range n.poll.pollers {
		if p == n.incarnation {
			return true
		}
	}
	return false
}

func (n *Node) scanned(e Scanned) {
	n.poll.scanning, n.poll.scanned = false, true
	n.selfLane.needScan, n.sharedLane.needScan = false, false
	if e.since <= n.copy.revision {
		n.copy.revision = max(n.copy.revision, e.revision)
	}
	n.applyRows(e.rows)
	n.pace.read(n.now, n.now-n.poll.started)
	n.beginRequested(n.poll.started)
}

func (n *Node) scanFailed() {
	n.poll.scanning = false
	n.handovers.requested = nil
	n.poll.wanted = n.poll.wanted || n.selfLane.needScan || n.sharedLane.needScan
	n.poll.next = n.now + scanBackoff + clock.Millis(n.random.Int64N(int64(scanBackoff)))
}
