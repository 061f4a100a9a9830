package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/table"
)

// commitSlot limits commits to one transaction at a time. The node has one slot for its
// own row and one for shared rows, so that a lost response to one transaction does not
// delay the other.
type commitSlot struct {
	inProgress   bool
	scanRequired bool
	commitID     CommitID
	sentAt       clock.Millis
	transaction  table.Transaction
	onOutcome    func(committed bool)
}

// isFree reports whether a transaction may be sent: none is in progress, and the table
// was scanned since the last conflict.
func (s *commitSlot) isFree() bool { return !s.inProgress && !s.scanRequired }

// commit sends a transaction and calls onOutcome with its outcome. If the transaction
// took effect, the copy contains its rows by then.
func (n *Node) commit(slot *commitSlot, conditions []table.Condition, mutations []table.Mutation, onOutcome func(committed bool)) {
	n.lastCommitID++
	transaction := table.NewTransaction(conditions, mutations)
	*slot = commitSlot{inProgress: true, commitID: n.lastCommitID, sentAt: n.now, transaction: transaction, onOutcome: onOutcome}
	n.emit(Commit{id: n.lastCommitID, transaction: transaction})
}

// findCommitSlot returns the slot whose commit in progress has an ID, or nil.
func (n *Node) findCommitSlot(id CommitID) *commitSlot {
	for _, slot := range []*commitSlot{&n.ownRowSlot, &n.sharedRowsSlot} {
		if slot.inProgress && slot.commitID == id {
			return slot
		}
	}
	return nil
}

func (n *Node) handleCommitted(e Committed) {
	slot := n.findCommitSlot(e.id)
	if slot == nil {
		return
	}
	completed := *slot
	*slot = commitSlot{}
	n.tableLatency.recordTransaction(n.now, n.now-completed.sentAt)
	var rows []table.Row
	for _, mutation := range completed.transaction.Mutations() {
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
	completed.onOutcome(true)
}

func (n *Node) handleConflicted(e Conflicted) {
	slot := n.findCommitSlot(e.id)
	if slot == nil {
		return
	}
	completed := *slot
	*slot = commitSlot{scanRequired: true}
	n.tableLatency.recordTransaction(n.now, n.now-completed.sentAt)
	n.poll.scanRequested = true
	completed.onOutcome(false)
}
