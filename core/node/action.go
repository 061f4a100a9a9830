package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/table"
)

// Action is an output of Step. The driver carries actions out in order; a
// StopShard takes effect before Step is called again.
type Action interface {
	isAction()
}

// Send sends a control message to the daemon at an address.
type Send struct {
	address  string
	envelope peer.Envelope
}

// Address returns the peer address of the receiver.
func (a Send) Address() string { return a.address }

// Envelope returns the message.
func (a Send) Envelope() peer.Envelope { return a.envelope }

// Scan reads the rows below "member/", "shards/" and "config/" (without
// "config/history/") that were written after a revision. At most one is in
// progress.
type Scan struct{ since table.Revision }

// Since returns the revision above which rows are wanted.
func (a Scan) Since() table.Revision { return a.since }

// CommitID numbers the commits of a Node.
type CommitID uint64

// Commit runs a transaction. The driver reports Committed or Conflicted once
// the outcome is certain, and nothing before.
type Commit struct {
	id          CommitID
	transaction table.Transaction
}

// ID returns the number that the result names.
func (a Commit) ID() CommitID { return a.id }

// Transaction returns the transaction, without a token row.
func (a Commit) Transaction() table.Transaction { return a.transaction }

// ServeShard tells that the node owns a unit.
type ServeShard struct {
	service   identity.Service
	unit      ownership.Unit
	epoch     identity.Epoch
	serveFrom clock.Millis
}

// Service returns the service.
func (a ServeShard) Service() identity.Service { return a.service }

// Unit returns the shard or hot key.
func (a ServeShard) Unit() ownership.Unit { return a.unit }

// Epoch returns the epoch under which the node owns the unit.
func (a ServeShard) Epoch() identity.Epoch { return a.epoch }

// ServeFrom returns the earliest point at which the node may admit orders.
func (a ServeShard) ServeFrom() clock.Millis { return a.serveFrom }

// StopShard ends the admission of orders for a unit. If Drain is set the driver
// reports ShardDrained when no non-idempotent order is in flight.
type StopShard struct {
	service       identity.Service
	unit          ownership.Unit
	epoch         identity.Epoch
	drainExpected bool
}

// Service returns the service.
func (a StopShard) Service() identity.Service { return a.service }

// Unit returns the shard or hot key.
func (a StopShard) Unit() ownership.Unit { return a.unit }

// Epoch returns the epoch under which the node owned the unit.
func (a StopShard) Epoch() identity.Epoch { return a.epoch }

// DrainExpected tells whether ShardDrained is expected: a handover follows.
func (a StopShard) DrainExpected() bool { return a.drainExpected }

// ResumeKey ends the stop of a key that was to be split off: the key stays a part
// of its shard, whose service goes on.
type ResumeKey struct {
	service identity.Service
	unit    ownership.Unit
}

// Service returns the service.
func (a ResumeKey) Service() identity.Service { return a.service }

// Unit returns the key and its shard.
func (a ResumeKey) Unit() ownership.Unit { return a.unit }

// LeaseChanged gives the point until which the node's lease is valid.
type LeaseChanged struct{ validUntil clock.Millis }

// ValidUntil returns the end of the lease; the lease is not valid at the end.
func (a LeaseChanged) ValidUntil() clock.Millis { return a.validUntil }

// Field is a key and value of a Note.
type Field struct {
	key   string
	value string
}

// Key returns the key in camelCase.
func (f Field) Key() string { return f.key }

// Value returns the value.
func (f Field) Value() string { return f.value }

// LogEvent describes a decision; the driver logs it as one line.
type LogEvent struct {
	name   string
	fields []Field
}

// Name returns the name of the event in camelCase.
func (a LogEvent) Name() string { return a.name }

// Fields returns the fields; callers must not change them.
func (a LogEvent) Fields() []Field { return a.fields }

// DrainCompleted tells that the node has left and that the process may end.
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
