// Package peercodec converts control messages between the types of package peer
// and their wire form in package peerpb.
package peercodec

import (
	"fmt"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
)

// Encode returns the wire form of an envelope.
func Encode(e peer.Envelope) *peerpb.Envelope {
	wire := &peerpb.Envelope{From: uint64(e.From()), To: uint64(e.To()), FromAddress: e.FromAddress()}
	switch m := e.Message().(type) {
	case peer.Renew:
		wire.Message = &peerpb.Envelope_Renew{Renew: &peerpb.Renew{Generation: m.Generation(), Sequence: m.Sequence(), Revision: uint64(m.Revision())}}
	case peer.RenewReply:
		wire.Message = &peerpb.Envelope_RenewReply{RenewReply: &peerpb.RenewReply{
			Generation: m.Generation(),
			Sequence:   m.Sequence(),
			Granted:    m.Result() == peer.RenewGranted,
			Fenced:     m.Result() == peer.RenewFenced,
			Revision:   uint64(m.Revision()),
		}}
	case peer.LapseQuery:
		wire.Message = &peerpb.Envelope_LapseQuery{LapseQuery: &peerpb.LapseQuery{Holder: uint64(m.Holder()), Generation: m.Generation()}}
	case peer.LapseReply:
		wire.Message = &peerpb.Envelope_LapseReply{LapseReply: &peerpb.LapseReply{Holder: uint64(m.Holder()), Generation: m.Generation(), Lapsed: m.Lapsed()}}
	case peer.Sync:
		wire.Message = &peerpb.Envelope_Sync{Sync: &peerpb.Sync{Revision: uint64(m.Revision())}}
	case peer.SyncReply:
		wire.Message = &peerpb.Envelope_SyncReply{SyncReply: encodeSyncReply(m)}
	case peer.Handover:
		wire.Message = &peerpb.Envelope_Handover{Handover: encodeHandover(m)}
	case peer.LoadReport:
		wire.Message = &peerpb.Envelope_LoadReport{LoadReport: encodeLoadReport(m)}
	case peer.OtherIncarnation:
		wire.Message = &peerpb.Envelope_OtherIncarnation{OtherIncarnation: &peerpb.OtherIncarnation{Asked: uint64(m.Addressee()), Actual: uint64(e.From())}}
	}
	return wire
}

func encodeSyncReply(m peer.SyncReply) *peerpb.SyncReply {
	wire := &peerpb.SyncReply{Since: uint64(m.Since()), Revision: uint64(m.Revision())}
	for _, row := range m.Rows() {
		wire.Rows = append(wire.Rows, &peerpb.Row{Key: row.Key(), Version: uint64(row.Version()), Value: row.Value()})
	}
	return wire
}

func encodeHandover(m peer.Handover) *peerpb.Handover {
	wire := &peerpb.Handover{Organisation: m.Service().Organisation(), Service: m.Service().Name()}
	for _, t := range m.Targets() {
		wire.Targets = append(wire.Targets, &peerpb.ShardTarget{Shard: uint32(t.Shard()), HotKey: t.HotKey(), Target: uint64(t.NextOwner())})
	}
	return wire
}

func encodeLoadReport(m peer.LoadReport) *peerpb.LoadReport {
	wire := &peerpb.LoadReport{
		Organisation:   m.Service().Organisation(),
		Service:        m.Service().Name(),
		IntervalMillis: uint64(m.Interval()),
		BusySlotMillis: uint64(m.BusySlotMillis()),
		Slots:          uint32(m.Slots()), //nolint:gosec // The number of slots fits.
	}
	for _, u := range m.Units() {
		if u.HotKey() != "" {
			wire.HotKeys = append(wire.HotKeys, &peerpb.KeyLoad{Key: u.HotKey(), Shard: uint32(u.Shard()), BusySlotMillis: uint64(u.BusySlotMillis()), Requests: u.Requests()})
			continue
		}
		wire.Shards = append(wire.Shards, &peerpb.ShardLoad{Shard: uint32(u.Shard()), BusySlotMillis: uint64(u.BusySlotMillis()), Requests: u.Requests()})
	}
	return wire
}

// Decode returns the envelope of a wire form. It returns a *DecodeError if the
// wire form has no known message or no sender.
func Decode(wire *peerpb.Envelope) (peer.Envelope, error) {
	message := decodeMessage(wire)
	if message == nil {
		return peer.Envelope{}, &DecodeError{from: identity.Incarnation(wire.GetFrom()), reason: "no known message"}
	}
	if wire.GetFrom() == 0 {
		return peer.Envelope{}, &DecodeError{reason: "no sender"}
	}
	return peer.NewEnvelope(identity.Incarnation(wire.GetFrom()), identity.Incarnation(wire.GetTo()), wire.GetFromAddress(), message), nil
}

func decodeMessage(wire *peerpb.Envelope) peer.Message {
	switch w := wire.GetMessage().(type) {
	case *peerpb.Envelope_Renew:
		return peer.NewRenew(w.Renew.GetGeneration(), w.Renew.GetSequence(), table.Revision(w.Renew.GetRevision()))
	case *peerpb.Envelope_RenewReply:
		return decodeRenewReply(w.RenewReply)
	case *peerpb.Envelope_LapseQuery:
		return peer.NewLapseQuery(identity.Incarnation(w.LapseQuery.GetHolder()), w.LapseQuery.GetGeneration())
	case *peerpb.Envelope_LapseReply:
		return peer.NewLapseReply(identity.Incarnation(w.LapseReply.GetHolder()), w.LapseReply.GetGeneration(), w.LapseReply.GetLapsed())
	case *peerpb.Envelope_Sync:
		return peer.NewSync(table.Revision(w.Sync.GetRevision()))
	case *peerpb.Envelope_SyncReply:
		return decodeSyncReply(w.SyncReply)
	case *peerpb.Envelope_Handover:
		return decodeHandover(w.Handover)
	case *peerpb.Envelope_LoadReport:
		return decodeLoadReport(w.LoadReport)
	case *peerpb.Envelope_OtherIncarnation:
		return peer.NewOtherIncarnation(identity.Incarnation(w.OtherIncarnation.GetAsked()))
	default:
		return nil
	}
}

// decodeRenewReply treats a reply as a grant only if it is not also fenced.
func decodeRenewReply(w *peerpb.RenewReply) peer.RenewReply {
	result := peer.RenewRefused
	switch {
	case w.GetFenced():
		result = peer.RenewFenced
	case w.GetGranted():
		result = peer.RenewGranted
	}
	return peer.NewRenewReply(w.GetGeneration(), w.GetSequence(), result, table.Revision(w.GetRevision()))
}

func decodeSyncReply(w *peerpb.SyncReply) peer.SyncReply {
	rows := make([]table.Row, 0, len(w.GetRows()))
	for _, r := range w.GetRows() {
		rows = append(rows, table.NewRow(r.GetKey(), table.Revision(r.GetVersion()), r.GetValue()))
	}
	return peer.NewSyncReply(table.Revision(w.GetSince()), table.Revision(w.GetRevision()), rows)
}

func decodeHandover(w *peerpb.Handover) peer.Handover {
	targets := make([]peer.HandoverTarget, 0, len(w.GetTargets()))
	for _, t := range w.GetTargets() {
		targets = append(targets, peer.NewHandoverTarget(shard.ID(t.GetShard()), t.GetHotKey(), identity.Incarnation(t.GetTarget())))
	}
	return peer.NewHandover(identity.NewService(w.GetOrganisation(), w.GetService()), targets)
}

func decodeLoadReport(w *peerpb.LoadReport) peer.LoadReport {
	units := make([]peer.UnitLoad, 0, len(w.GetShards())+len(w.GetHotKeys()))
	for _, s := range w.GetShards() {
		units = append(units, peer.NewUnitLoad(shard.ID(s.GetShard()), "", millis(s.GetBusySlotMillis()), s.GetRequests()))
	}
	for _, k := range w.GetHotKeys() {
		units = append(units, peer.NewUnitLoad(shard.ID(k.GetShard()), k.GetKey(), millis(k.GetBusySlotMillis()), k.GetRequests()))
	}
	service := identity.NewService(w.GetOrganisation(), w.GetService())
	return peer.NewLoadReport(service, millis(w.GetIntervalMillis()), millis(w.GetBusySlotMillis()), int(w.GetSlots()), units)
}

func millis(value uint64) clock.Millis {
	return clock.Millis(value) //nolint:gosec // Slot-milliseconds of one interval fit.
}

// DecodeError reports an envelope that can't be decoded.
type DecodeError struct {
	from   identity.Incarnation
	reason string
}

// From returns the sender, 0 if unknown.
func (e *DecodeError) From() identity.Incarnation { return e.from }

func (e *DecodeError) Error() string {
	return fmt.Sprintf("control message from %s: %s", e.from, e.reason)
}
