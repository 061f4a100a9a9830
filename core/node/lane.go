package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/table"
)

// lane runs one transaction at a time. The node has one lane for its own row and
// one for shared rows, so that a lost answer of one does not delay the other.
type lane struct {
	busy        bool
	needScan    bool
	id          CommitID
	sentAt      clock.Millis
	transaction table.Transaction
	done        func(committed bool)
}

// free tells whether a transaction may be sent: none is in progress and the copy
// was refreshed since the last conflict.
func (l *lane) free() bool { return !l.busy && !l.needScan }

// commit sends a transaction. Done is called with its outcome after its rows
// were taken into the copy.
func (n *Node) commit(l *lane, conditions []table.Condition, mutations []table.Mutation, done func(committed bool)) {
	n.lastCommit++
	transaction := table.NewTransaction(conditions, mutations)
	*l = lane{busy: true, id: n.lastCommit, sentAt: n.now, transaction: transaction, done: done}
	n.emit(Commit{id: n.lastCommit, transaction: transaction})
}

func (n *Node) laneOf(id CommitID) *lane {
	for _, l := range []*lane{&n.selfLane, &n.sharedLane} {
		if l.busy && l.id == id {
			return l
		}
	}
	return nil
}

func (n *Node) committed(e Committed) {
	l := n.laneOf(e.id)
	if l == nil {
		return
	}
	finished := *l
	*l = lane{}
	n.pace.ended(n.now, n.now-finished.sentAt)
	var rows []table.Row
	for _, mutation := range finished.transaction.Mutations() {
		if put, ok := mutation.(table.Put); ok {
			rows = append(rows, table.NewRow(put.Key(), e.revision, put.Value()))
		}
	}
	switch {
	case e.revision == n.copy.revision+1:
		n.copy.revision = e.revision
	case e.revision > n.copy.revision:
		n.poll.wanted = true
	}
	n.applyRows(rows)
	finished.done(true)
}

func (n *Node) conflicted(e Conflicted) {
	l := n.laneOf(e.id)
	if l == nil {
		return
	}
	finished := *l
	*l = lane{needScan: true}
	n.pace.ended(n.now, n.now-finished.sentAt)
	n.poll.wanted = true
	finished.done(false)
}
