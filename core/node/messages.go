package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/table"
)

// syncPatience is the time in milliseconds after which a Sync that got no answer
// may be sent to another peer: well above the round trip between regions.
const syncPatience clock.Millis = 200

// announceGap is the shortest time in milliseconds between two announcements of
// the node's revision. A single change is announced at once; when hundreds of
// members join, their changes are announced together.
const announceGap clock.Millis = 50

type syncState struct {
	// announce is set when rows were taken into the copy since the last
	// announcement of its revision.
	announce     bool
	announced    table.Revision
	nextAnnounce clock.Millis
	pendingUntil clock.Millis
	heard        table.Revision
	behindSince  clock.Millis
	// extra are members that must learn of a change at once: the takers of a
	// replacement or handover.
	extra []identity.Incarnation
}

// received handles a message and tells whether further decisions may follow.
func (n *Node) received(e peer.Envelope) bool {
	if e.From() == n.incarnation {
		return false
	}
	n.contact.message(n.now)
	if e.To() != 0 && e.To() != n.incarnation {
		n.send(e.FromAddress(), e.From(), peer.NewOtherIncarnation(e.To()))
		return false
	}
	switch m := e.Message().(type) {
	case peer.Renew:
		n.renew(e, m)
		return false
	case peer.RenewReply:
		n.holder.HandleReply(n.now, e.From(), m)
		n.witness.ExtendGrantWindow(n.holder.End())
		n.learnRevision(e, m.Revision())
		return false
	case peer.LapseQuery:
		n.lapseQuery(e, m)
	case peer.LapseReply:
		if m.Lapsed() {
			n.replacer.RecordLapse(e.From(), m.Holder(), m.Generation())
		}
	case peer.Sync:
		if n.copy.revision > m.Revision() {
			n.send(e.FromAddress(), e.From(), peer.NewSyncReply(m.Revision(), n.copy.revision, n.copy.since(m.Revision())))
		}
	case peer.SyncReply:
		n.syncReply(e, m)
	case peer.Handover:
		n.handoverRequested(m)
	case peer.LoadReport:
		n.loadReported(e.From(), m)
	case peer.OtherIncarnation:
		n.otherIncarnation(e, m)
	}
	return true
}

func (n *Node) renew(e peer.Envelope, m peer.Renew) {
	n.self.askedAt, n.self.wasAsked = n.now, true
	n.learnRevision(e, m.Revision())
	result := peer.RenewRefused
	if holder, ok := n.view.Member(e.From()); ok && !holder.Alive() {
		result = peer.RenewFenced
	} else if n.registered() {
		result = n.witness.Renew(n.now, e.From(), m.Generation())
	}
	n.send(e.FromAddress(), e.From(), peer.NewRenewReply(m.Generation(), m.Sequence(), result, n.copy.revision))
}

// lapseQuery reports whether a promise has expired. A report binds this witness,
// so it is not given while the silence may be its own.
func (n *Node) lapseQuery(e peer.Envelope, m peer.LapseQuery) {
	lapsed := n.registered() && n.contact.mayJudge(n.now) && n.witness.FenceIfExpired(n.now, m.Holder(), m.Generation())
	n.send(e.FromAddress(), e.From(), peer.NewLapseReply(m.Holder(), m.Generation(), lapsed))
}

// otherIncarnation takes the proof that the process of an incarnation is gone,
// if it comes from the address of that incarnation's row.
func (n *Node) otherIncarnation(e peer.Envelope, m peer.OtherIncarnation) {
	member, ok := n.view.Member(m.Asked())
	if ok && member.Instance().PeerAddress() == e.FromAddress() {
		n.losses.sawOther(m.Asked(), n.now)
	}
}

// learnRevision asks the sender for rows if its copy is newer.
func (n *Node) learnRevision(e peer.Envelope, revision table.Revision) {
	if revision <= n.copy.revision {
		return
	}
	if n.sync.heard <= n.copy.revision {
		n.sync.behindSince = n.now
	}
	n.sync.heard = max(n.sync.heard, revision)
	if n.now < n.sync.pendingUntil {
		return
	}
	n.sync.pendingUntil = n.now + syncPatience
	n.send(e.FromAddress(), e.From(), peer.NewSync(n.copy.revision))
}

// syncReply takes rows. A reply without rows and with equal revisions is an
// announcement of the sender's revision.
func (n *Node) syncReply(e peer.Envelope, m peer.SyncReply) {
	if m.Since() > n.copy.revision {
		n.learnRevision(e, m.Revision())
		return
	}
	n.sync.pendingUntil = 0
	n.copy.revision = max(n.copy.revision, m.Revision())
	n.applyRows(m.Rows())
}

// behind tells whether peers have had a newer copy for longer than patience.
func (n *Node) behind(patience clock.Millis) bool {
	return n.sync.heard > n.copy.revision && n.now-n.sync.behindSince > patience
}

// announceRevision tells the node's witnesses and holders at once that it has
// new rows. They fetch the rows from it, so that a change spreads in a few round
// trips and not with the renewals only.
func (n *Node) announceRevision() {
	if !n.sync.announce || n.copy.revision <= n.sync.announced || n.now < n.sync.nextAnnounce {
		return
	}
	n.sync.announce = false
	n.sync.nextAnnounce = n.now + announceGap
	n.sync.announced = n.copy.revision
	hint := peer.NewSyncReply(n.copy.revision, n.copy.revision, nil)
	told := map[identity.Incarnation]bool{n.incarnation: true}
	tell := func(incarnation identity.Incarnation, address string) {
		if !told[incarnation] {
			told[incarnation] = true
			n.send(address, incarnation, hint)
		}
	}
	for _, incarnation := range n.sync.extra {
		if m, ok := n.view.Member(incarnation); ok {
			tell(incarnation, m.Instance().PeerAddress())
		}
	}
	n.sync.extra = nil
	for _, w := range n.row.Witnesses() {
		tell(w.Incarnation(), w.PeerAddress())
	}
	for _, holder := range n.replacer.WatchedHolders() {
		tell(holder.Incarnation(), holder.Instance().PeerAddress())
	}
}

// address returns the peer address of a member.
func (n *Node) address(incarnation identity.Incarnation) (string, bool) {
	m, ok := n.view.Member(incarnation)
	return m.Instance().PeerAddress(), ok && m.Alive()
}

// memberActive tells whether a member may own units of its service.
func memberActive(m membership.Member, service identity.Service) bool {
	return m.State() == membership.StateActive && m.Announcement().Service() == service
}
