package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/table"
)

// syncTimeout is the time in milliseconds after which an unanswered Sync may be sent to
// another peer. It is well above the round trip between regions.
const syncTimeout clock.Millis = 200

// minAnnounceInterval is the minimum time in milliseconds between two announcements of
// the node's revision. A single change is announced at once. When hundreds of members
// join, their changes are announced together.
const minAnnounceInterval clock.Millis = 50

// syncState tracks the exchange of rows with peers.
type syncState struct {
	// announceDue is true if rows were stored in the copy since the last announcement
	// of its revision.
	announceDue         bool
	announcedRevision   table.Revision
	nextAnnounce        clock.Millis
	requestPendingUntil clock.Millis
	newestPeerRevision  table.Revision
	behindSince         clock.Millis
	// newOwners holds the members to notify at once, since a replacement, handover or
	// assignment gave them units.
	newOwners []identity.Incarnation
}

// handleMessage handles a message and reports whether further decisions may follow.
func (n *Node) handleMessage(e peer.Envelope) bool {
	if e.From() == n.incarnation {
		return false
	}
	n.connectivity.recordMessage(n.now)
	if e.To() != 0 && e.To() != n.incarnation {
		n.send(e.FromAddress(), e.From(), peer.NewOtherIncarnation(e.To()))
		return false
	}
	switch m := e.Message().(type) {
	case peer.Renew:
		n.handleRenew(e, m)
		return false
	case peer.RenewReply:
		n.holder.HandleReply(n.now, e.From(), m)
		n.witness.ExtendGrantWindow(n.holder.End())
		n.requestNewerRows(e, m.Revision())
		return false
	case peer.LapseQuery:
		n.handleLapseQuery(e, m)
	case peer.LapseReply:
		if m.Lapsed() {
			n.monitor.RecordLapse(e.From(), m.Holder(), m.Generation())
		}
	case peer.Sync:
		if n.copy.revision > m.Revision() {
			n.send(e.FromAddress(), e.From(), peer.NewSyncReply(m.Revision(), n.copy.revision, n.copy.rowsSince(m.Revision())))
		}
	case peer.SyncReply:
		n.handleSyncReply(e, m)
	case peer.Handover:
		n.handleHandover(m)
	case peer.LoadReport:
		n.handleLoadReport(e.From(), m)
	case peer.OtherIncarnation:
		n.handleOtherIncarnation(e, m)
	}
	return true
}

// handleRenew replies to a holder's renewal with a promise, a refusal or a notice that the
// holder is fenced.
func (n *Node) handleRenew(e peer.Envelope, m peer.Renew) {
	n.ownState.lastRenewRequest, n.ownState.hasRenewRequest = n.now, true
	n.requestNewerRows(e, m.Revision())
	result := peer.RenewRefused
	if holder, ok := n.view.Member(e.From()); ok && !holder.Alive() {
		result = peer.RenewFenced
	} else if n.isRegistered() {
		result = n.witness.Renew(n.now, e.From(), m.Generation())
	}
	n.send(e.FromAddress(), e.From(), peer.NewRenewReply(m.Generation(), m.Sequence(), result, n.copy.revision))
}

// handleLapseQuery replies whether a promise has expired. A reported lapse binds this
// witness, so none is reported while renewals may be missing because of a pause or an
// isolation of this node.
func (n *Node) handleLapseQuery(e peer.Envelope, m peer.LapseQuery) {
	lapsed := n.isRegistered() && n.connectivity.canReportLapses(n.now) && n.witness.FenceIfExpired(n.now, m.Holder(), m.Generation())
	n.send(e.FromAddress(), e.From(), peer.NewLapseReply(m.Holder(), m.Generation(), lapsed))
}

// handleOtherIncarnation handles the reply of an incarnation that received a message for
// another one. If it comes from the address in the addressee's row, it proves that the
// addressee's process has ended.
func (n *Node) handleOtherIncarnation(e peer.Envelope, m peer.OtherIncarnation) {
	member, ok := n.view.Member(m.Addressee())
	if ok && member.Instance().PeerAddress() == e.FromAddress() {
		n.losses.recordGone(m.Addressee(), n.now)
	}
}

// requestNewerRows requests rows from the sender if its copy is newer, unless a request
// is pending.
func (n *Node) requestNewerRows(e peer.Envelope, revision table.Revision) {
	if revision <= n.copy.revision {
		return
	}
	if n.sync.newestPeerRevision <= n.copy.revision {
		n.sync.behindSince = n.now
	}
	n.sync.newestPeerRevision = max(n.sync.newestPeerRevision, revision)
	if n.now < n.sync.requestPendingUntil {
		return
	}
	n.sync.requestPendingUntil = n.now + syncTimeout
	n.send(e.FromAddress(), e.From(), peer.NewSync(n.copy.revision))
}

// handleSyncReply applies the rows of a reply. A reply without rows and with equal
// revisions announces the sender's revision.
func (n *Node) handleSyncReply(e peer.Envelope, m peer.SyncReply) {
	if m.Since() > n.copy.revision {
		n.requestNewerRows(e, m.Revision())
		return
	}
	n.sync.requestPendingUntil = 0
	n.copy.revision = max(n.copy.revision, m.Revision())
	n.applyRows(m.Rows())
}

// isBehind reports whether peers have had a newer copy for longer than limit.
func (n *Node) isBehind(limit clock.Millis) bool {
	return n.sync.newestPeerRevision > n.copy.revision && n.now-n.sync.behindSince > limit
}

// announceRevision announces new rows to new owners and to the node's witnesses and
// holders. They fetch the rows from the node, so that a change spreads within a few
// round trips rather than only with the renewals.
func (n *Node) announceRevision() {
	if !n.sync.announceDue || n.copy.revision <= n.sync.announcedRevision || n.now < n.sync.nextAnnounce {
		return
	}
	n.sync.announceDue = false
	n.sync.nextAnnounce = n.now + minAnnounceInterval
	n.sync.announcedRevision = n.copy.revision
	announcement := peer.NewSyncReply(n.copy.revision, n.copy.revision, nil)
	notified := map[identity.Incarnation]bool{n.incarnation: true}
	notify := func(incarnation identity.Incarnation, address string) {
		if !notified[incarnation] {
			notified[incarnation] = true
			n.send(address, incarnation, announcement)
		}
	}
	for _, incarnation := range n.sync.newOwners {
		if m, ok := n.view.Member(incarnation); ok {
			notify(incarnation, m.Instance().PeerAddress())
		}
	}
	n.sync.newOwners = nil
	for _, w := range n.ownRow.Witnesses() {
		notify(w.Incarnation(), w.PeerAddress())
	}
	for _, holder := range n.monitor.WatchedHolders() {
		notify(holder.Incarnation(), holder.Instance().PeerAddress())
	}
}

// peerAddress returns the peer address of a member, or false if the member is dead or
// unknown.
func (n *Node) peerAddress(incarnation identity.Incarnation) (string, bool) {
	m, ok := n.view.Member(incarnation)
	return m.Instance().PeerAddress(), ok && m.Alive()
}

// isActiveIn reports whether a member is active in a service, so that it may own the
// service's units.
func isActiveIn(m membership.Member, service identity.Service) bool {
	return m.State() == membership.StateActive && m.Announcement().Service() == service
}
