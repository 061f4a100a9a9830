// Package peer defines the control messages between daemons. Package peercodec
// holds their wire encoding, package grpcpeer their transport.
package peer

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
)

// Envelope is a one-way control message with its sender and receiver.
type Envelope struct {
	from        identity.Incarnation
	to          identity.Incarnation
	fromAddress string
	message     Message
}

// NewEnvelope returns an envelope. The receiver to is 0 for any incarnation at
// the address.
func NewEnvelope(from, to identity.Incarnation, fromAddress string, message Message) Envelope {
	return Envelope{from: from, to: to, fromAddress: fromAddress, message: message}
}

// From returns the sender's incarnation.
func (e Envelope) From() identity.Incarnation { return e.from }

// To returns the incarnation that the message is addressed to, 0 for any.
func (e Envelope) To() identity.Incarnation { return e.to }

// FromAddress returns the peer address of the sender.
func (e Envelope) FromAddress() string { return e.fromAddress }

// Message returns the message.
func (e Envelope) Message() Message { return e.message }

// Message is Renew, RenewReply, LapseQuery, LapseReply, Sync, SyncReply,
// Handover, LoadReport or OtherIncarnation.
type Message interface {
	isMessage()
}

// Renew asks a witness to promise that it will not let the sender be replaced.
type Renew struct {
	generation uint64
	sequence   uint64
	revision   table.Revision
}

// NewRenew returns a Renew. The sequence is echoed in the reply, so that the
// promise counts from its own request.
func NewRenew(generation, sequence uint64, revision table.Revision) Renew {
	return Renew{generation: generation, sequence: sequence, revision: revision}
}

// Generation returns the sender's witness generation.
func (m Renew) Generation() uint64 { return m.generation }

// Sequence returns the sequence number of the request.
func (m Renew) Sequence() uint64 { return m.sequence }

// Revision returns the table revision of the sender's copy.
func (m Renew) Revision() table.Revision { return m.revision }

// RenewResult is the decision of a witness on a Renew.
type RenewResult int

// Results of a Renew.
const (
	// RenewRefused means that this request got no promise; a later one may.
	RenewRefused RenewResult = iota
	// RenewGranted means that a promise was made.
	RenewGranted
	// RenewFenced means that the witness refuses this generation permanently.
	RenewFenced
)

// RenewReply is the reply to a Renew.
type RenewReply struct {
	generation uint64
	sequence   uint64
	result     RenewResult
	revision   table.Revision
}

// NewRenewReply returns the reply to the Renew with the generation and sequence.
func NewRenewReply(generation, sequence uint64, result RenewResult, revision table.Revision) RenewReply {
	return RenewReply{generation: generation, sequence: sequence, result: result, revision: revision}
}

// Generation returns the witness generation of the request.
func (m RenewReply) Generation() uint64 { return m.generation }

// Sequence returns the sequence number of the request.
func (m RenewReply) Sequence() uint64 { return m.sequence }

// Result returns the witness's decision.
func (m RenewReply) Result() RenewResult { return m.result }

// Revision returns the table revision of the sender's copy.
func (m RenewReply) Revision() table.Revision { return m.revision }

// LapseQuery asks a witness whether its promise to a holder has expired.
type LapseQuery struct {
	holder     identity.Incarnation
	generation uint64
}

// NewLapseQuery returns a query for a holder's witness generation.
func NewLapseQuery(holder identity.Incarnation, generation uint64) LapseQuery {
	return LapseQuery{holder: holder, generation: generation}
}

// Holder returns the member that holds the promise.
func (m LapseQuery) Holder() identity.Incarnation { return m.holder }

// Generation returns the holder's witness generation.
func (m LapseQuery) Generation() uint64 { return m.generation }

// LapseReply is the reply to a LapseQuery.
type LapseReply struct {
	holder     identity.Incarnation
	generation uint64
	lapsed     bool
}

// NewLapseReply returns the reply to a LapseQuery. A witness that reports a
// lapse never makes a promise to the holder's generation again.
func NewLapseReply(holder identity.Incarnation, generation uint64, lapsed bool) LapseReply {
	return LapseReply{holder: holder, generation: generation, lapsed: lapsed}
}

// Holder returns the member that held or holds the promise.
func (m LapseReply) Holder() identity.Incarnation { return m.holder }

// Generation returns the holder's witness generation.
func (m LapseReply) Generation() uint64 { return m.generation }

// Lapsed reports whether the promise has expired.
func (m LapseReply) Lapsed() bool { return m.lapsed }

// Sync asks for the table rows above a revision.
type Sync struct {
	revision table.Revision
}

// NewSync returns a request for the rows above revision.
func NewSync(revision table.Revision) Sync { return Sync{revision: revision} }

// Revision returns the revision up to which the sender's copy is complete.
func (m Sync) Revision() table.Revision { return m.revision }

// SyncReply carries the rows written after one revision up to another.
type SyncReply struct {
	since    table.Revision
	revision table.Revision
	rows     []table.Row
}

// NewSyncReply returns a reply with the rows written after since, complete up
// to revision.
func NewSyncReply(since, revision table.Revision, rows []table.Row) SyncReply {
	return SyncReply{since: since, revision: revision, rows: rows}
}

// Since returns the revision above which the rows are complete.
func (m SyncReply) Since() table.Revision { return m.since }

// Revision returns the revision up to which the rows are complete.
func (m SyncReply) Revision() table.Revision { return m.revision }

// Rows returns the rows; callers must not change them.
func (m SyncReply) Rows() []table.Row { return m.rows }

// HandoverTarget is a shard or hot key and the member that is to become its
// owner.
type HandoverTarget struct {
	shard     shard.ID
	hotKey    string
	nextOwner identity.Incarnation
}

// NewHandoverTarget returns a target. The hot key is "" for the shard itself.
func NewHandoverTarget(id shard.ID, hotKey string, nextOwner identity.Incarnation) HandoverTarget {
	return HandoverTarget{shard: id, hotKey: hotKey, nextOwner: nextOwner}
}

// Shard returns the shard, or the hot key's shard.
func (t HandoverTarget) Shard() shard.ID { return t.shard }

// HotKey returns the hot key, "" for the shard itself.
func (t HandoverTarget) HotKey() string { return t.hotKey }

// NextOwner returns the member that is to become the owner.
func (t HandoverTarget) NextOwner() identity.Incarnation { return t.nextOwner }

// Handover asks an owner to hand over shards or hot keys.
type Handover struct {
	service identity.Service
	targets []HandoverTarget
}

// NewHandover returns a request from the placement planner of service.
func NewHandover(service identity.Service, targets []HandoverTarget) Handover {
	return Handover{service: service, targets: targets}
}

// Service returns the service.
func (m Handover) Service() identity.Service { return m.service }

// Targets returns the targets; callers must not change them.
func (m Handover) Targets() []HandoverTarget { return m.targets }

// UnitLoad is the load of a shard or hot key in one interval.
type UnitLoad struct {
	shard          shard.ID
	hotKey         string
	busySlotMillis clock.Millis
	requests       uint64
}

// NewUnitLoad returns the load of a shard, or of a hot key if hotKey is not "":
// the slot-milliseconds used and the number of requests. The load of a shard
// does not include that of hot keys that are listed separately.
func NewUnitLoad(id shard.ID, hotKey string, busySlotMillis clock.Millis, requests uint64) UnitLoad {
	return UnitLoad{shard: id, hotKey: hotKey, busySlotMillis: busySlotMillis, requests: requests}
}

// Shard returns the shard, or the hot key's shard.
func (l UnitLoad) Shard() shard.ID { return l.shard }

// HotKey returns the hot key, "" for the shard itself.
func (l UnitLoad) HotKey() string { return l.hotKey }

// BusySlotMillis returns the slot-milliseconds used.
func (l UnitLoad) BusySlotMillis() clock.Millis { return l.busySlotMillis }

// Requests returns the number of requests.
func (l UnitLoad) Requests() uint64 { return l.requests }

// LoadReport reports the load of one upstream to the placement planner.
type LoadReport struct {
	service        identity.Service
	interval       clock.Millis
	busySlotMillis clock.Millis
	slots          int
	units          []UnitLoad
}

// NewLoadReport returns a report of the slot-milliseconds used in an interval,
// in total and by shard and hot key.
func NewLoadReport(service identity.Service, interval, busySlotMillis clock.Millis, slots int, units []UnitLoad) LoadReport {
	return LoadReport{service: service, interval: interval, busySlotMillis: busySlotMillis, slots: slots, units: units}
}

// Service returns the service.
func (m LoadReport) Service() identity.Service { return m.service }

// Interval returns the length of the interval in milliseconds.
func (m LoadReport) Interval() clock.Millis { return m.interval }

// BusySlotMillis returns the slot-milliseconds used in the interval.
func (m LoadReport) BusySlotMillis() clock.Millis { return m.busySlotMillis }

// Slots returns the number of slots of the upstream.
func (m LoadReport) Slots() int { return m.slots }

// Units returns the load by shard and hot key; callers must not change it.
func (m LoadReport) Units() []UnitLoad { return m.units }

// OtherIncarnation replies to a message to an incarnation that no longer runs at
// the address. The sender of the reply is the incarnation that runs there now.
type OtherIncarnation struct {
	addressee identity.Incarnation
}

// NewOtherIncarnation returns the reply to a message to addressee.
func NewOtherIncarnation(addressee identity.Incarnation) OtherIncarnation {
	return OtherIncarnation{addressee: addressee}
}

// Addressee returns the incarnation that the message was addressed to and that
// no longer runs.
func (m OtherIncarnation) Addressee() identity.Incarnation { return m.addressee }

func (Renew) isMessage()            {}
func (RenewReply) isMessage()       {}
func (LapseQuery) isMessage()       {}
func (LapseReply) isMessage()       {}
func (Sync) isMessage()             {}
func (SyncReply) isMessage()        {}
func (Handover) isMessage()         {}
func (LoadReport) isMessage()       {}
func (OtherIncarnation) isMessage() {}
