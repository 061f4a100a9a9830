package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/table"
)

// Action is an output of Step. The driver must execute actions in order, and a
// StopShard must take effect before Step is called again.
type Action interface {
	isAction()
}

// Send requests that a control message be sent to another daemon.
type Send struct {
	address  string
	envelope peer.Envelope
}

// Address returns the peer address of the receiver.
func (a Send) Address() string { return a.address }

// Envelope returns the message with its sender and receiver.
func (a Send) Envelope() peer.Envelope { return a.envelope }

// Scan requests a read of the rows under "member/", "shards/" and "config/" (except
// "config/history/") that were written after a revision. At most one scan is in
// progress.
type Scan struct{ since table.Revision }

// Since returns the revision after which rows are requested.
func (a Scan) Since() table.Revision { return a.since }

// CommitID identifies a commit of a Node.
type CommitID uint64

// Commit requests that a transaction be run. The driver reports Committed or Conflicted
// once the outcome is certain, and nothing before.
type Commit struct {
	id          CommitID
	transaction table.Transaction
}

// ID returns the ID that the driver repeats in Committed or Conflicted.
func (a Commit) ID() CommitID { return a.id }

// Transaction returns the transaction without a token row.
func (a Commit) Transaction() table.Transaction { return a.transaction }

// ServeShard reports that the node owns a unit and admits requests for it.
type ServeShard struct {
	service   identity.Service
	unit      ownership.Unit
	epoch     identity.Epoch
	serveFrom clock.Millis
}

// Service returns the service of the unit.
func (a ServeShard) Service() identity.Service { return a.service }

// Unit returns the shard or hot key that the node owns.
func (a ServeShard) Unit() ownership.Unit { return a.unit }

// Epoch returns the epoch under which the node owns the unit.
func (a ServeShard) Epoch() identity.Epoch { return a.epoch }

// ServeFrom returns the earliest time at which the node may admit requests.
func (a ServeShard) ServeFrom() clock.Millis { return a.serveFrom }

// StopShard ends the admission of requests for a unit. If DrainExpected is true, the
// driver reports ShardDrained when no non-idempotent request is in flight.
type StopShard struct {
	service       identity.Service
	unit          ownership.Unit
	epoch         identity.Epoch
	drainExpected bool
}

// Service returns the service of the unit.
func (a StopShard) Service() identity.Service { return a.service }

// Unit returns the shard or hot key to stop.
func (a StopShard) Unit() ownership.Unit { return a.unit }

// Epoch returns the epoch under which the node owned the unit.
func (a StopShard) Epoch() identity.Epoch { return a.epoch }

// DrainExpected reports whether the driver must report ShardDrained, since a handover
// follows.
func (a StopShard) DrainExpected() bool { return a.drainExpected }

// ResumeKey cancels the stop of a key that was to get its own entry. The key remains
// part of its shard, which is still served.
type ResumeKey struct {
	service identity.Service
	unit    ownership.Unit
}

// Service returns the service of the key.
func (a ResumeKey) Service() identity.Service { return a.service }

// Unit returns the hot key with its shard.
func (a ResumeKey) Unit() ownership.Unit { return a.unit }

// LeaseChanged reports a new end of the node's lease.
type LeaseChanged struct{ validUntil clock.Millis }

// ValidUntil returns the end of the lease. The lease is no longer valid at that time.
func (a LeaseChanged) ValidUntil() clock.Millis { return a.validUntil }

// Field is a key and value of a LogEvent.
type Field struct {
	key   string
	value string
}

// Key returns the key, in camelCase.
func (f Field) Key() string { return f.key }

// Value returns the value as text.
func (f Field) Value() string { return f.value }

// LogEvent describes a decision of the node, which the driver logs as one line.
type LogEvent struct {
	name   string
	fields []Field
}

// Name returns the name of the event, in camelCase.
func (a LogEvent) Name() string { return a.name }

// Fields returns the fields. Callers must not modify the slice.
func (a LogEvent) Fields() []Field { return a.fields }

// DrainCompleted reports that the node's own row is marked dead or was never written.
// The process may exit.
type DrainCompleted struct{}

func (Send) isAction()           {}
func (Scan) isAction()           {}
func (Commit) isAction()         {}
func (ServeShard) isAction()     {}
func (StopShard) isAction()      {}
func (ResumeKey) isAction()      {}
func (LeaseChanged) isAction()   {}
func (LogEvent) isAction()       {}
func (DrainCompleted) isAction() {}
