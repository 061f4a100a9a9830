package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/table"
)

// commitSlot runs one transaction at a time. The node has one lane for its own row and
// one for shared rows, so that a lost answer of one does not delay the other.
type commitSlot struct {
	inProgress   bool
	scanRequired bool
	commitID     CommitID
	sentAt       clock.Millis
	transaction  table.Transaction
	onOutcome    func(committed bool)
}

// isFree tells whether a transaction may be sent: none is in progress and the copy
// was refreshed since the last conflict.
func (l *commitSlot) isFree() bool { return !l.inProgress && !l.scanRequired }

// commit sends a transaction. Done is called with its outcome after its rows
// were taken into the copy.
func (n *Node) commit(l *commitSlot, conditions []table.Condition, mutations []table.Mutation, done func(committed bool)) {
	n.lastCommitID++
	transaction := table.NewTransaction(conditions, mutations)
	*l = commitSlot{inProgress: true, commitID: n.lastCommitID, sentAt: n.now, transaction: transaction, onOutcome: done}
	n.emit(Commit{id: n.lastCommitID, transaction: transaction})
}

func (n *Node) findCommitSlot(id CommitID) *commitSlot {
	for _, l := range []*commitSlot{&n.ownRowSlot, &n.sharedRowsSlot} {
		if l.inProgress && l.commitID == id {
			return l
		}
	}
	return nil
}

func (n *Node) handleCommitted(e Committed) {
	l := n.findCommitSlot(e.id)
	if l == nil {
		return
	}
	finished := *l
	*l = commitSlot{}
	n.tableLatency.recordTransaction(n.now, n.now-finished.sentAt)
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
		n.poll.scanRequested = true
	}
	n.applyRows(rows)
	finished.onOutcome(true)
}

func (n *Node) handleConflicted(e Conflicted) {
	l := n.findCommitSlot(e.id)
	if l == nil {
		return
	}
	finished := *l
	*l = commitSlot{scanRequired: true}
	n.tableLatency.recordTransaction(n.now, n.now-finished.sentAt)
	n.poll.scanRequested = true
	finished.onOutcome(false)
}
