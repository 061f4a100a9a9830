package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
)

const (
	// pollInterval is the time in milliseconds between two polls of the table by one
	// node.
	pollInterval clock.Millis = 1000
	// pollersPerDomain is the number of nodes that poll the table in each failure domain.
	// With 7 domains they cause 14 of the 2,000 reads per second that the table allows.
	pollersPerDomain = 2
	// minScanInterval is the minimum time in milliseconds between two scans.
	minScanInterval clock.Millis = 50
	// scanBackoff is the minimum time in milliseconds between a failed scan and the next
	// one. A random time of up to the same length is added.
	scanBackoff clock.Millis = 300
	// maxBehindTime is the time in milliseconds for which peers may have a newer copy
	// before the node scans the table itself.
	maxBehindTime clock.Millis = 600
)

// pollState tracks the scans of the table.
type pollState struct {
	scanInProgress bool
	hasScanned     bool
	scanRequested  bool
	scanStartedAt  clock.Millis
	nextScan       clock.Millis
	// pollers holds the pollers of the node's failure domain, or nil if they must be
	// determined again.
	pollers []identity.Incarnation
}

// stepPoll starts a scan of the table if one is requested or a poll is due.
func (n *Node) stepPoll() {
	if n.poll.scanInProgress || n.now < n.poll.nextScan {
		return
	}
	periodic := n.needsPolling() && (n.now >= n.poll.scanStartedAt+pollInterval || !n.poll.hasScanned)
	if !n.poll.scanRequested && !periodic {
		return
	}
	n.poll.scanInProgress, n.poll.scanRequested = true, false
	n.poll.scanStartedAt = n.now
	n.poll.nextScan = n.now + minScanInterval
	n.emit(Scan{since: n.copy.revision})
}

// needsPolling reports whether the node must poll the table itself, since it is not
// active, gets no rows from peers or is a poller of its failure domain.
func (n *Node) needsPolling() bool {
	if n.ownRow.State() != membership.StateActive && n.ownRow.State() != membership.StateDraining {
		return true
	}
	return n.connectivity.isIsolated(n.now) || n.isBehind(maxBehindTime) || n.isPoller()
}

// isPoller reports whether the node is one of the pollersPerDomain active members of its
// failure domain with the lowest incarnations.
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

func (n *Node) handleScanCompleted(e ScanCompleted) {
	n.poll.scanInProgress, n.poll.hasScanned = false, true
	n.ownRowSlot.scanRequired, n.sharedRowsSlot.scanRequired = false, false
	if e.since <= n.copy.revision {
		n.copy.revision = max(n.copy.revision, e.revision)
	}
	n.applyRows(e.rows)
	n.tableLatency.recordScan(n.now, n.now-n.poll.scanStartedAt)
	n.startRequestedMoves(n.poll.scanStartedAt)
}

func (n *Node) handleScanFailed() {
	n.poll.scanInProgress = false
	n.units.requestedMoves = nil
	n.poll.scanRequested = n.poll.scanRequested || n.ownRowSlot.scanRequired || n.sharedRowsSlot.scanRequired
	n.poll.nextScan = n.now + scanBackoff + clock.Millis(n.random.Int64N(int64(scanBackoff)))
}
