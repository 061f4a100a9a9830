// Package peercodec converts control messages to and from the protocol between
// daemons.
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

// MessageError reports an envelope without a known message.
type MessageError struct {
	message any
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("control message of type %T is not known", e.message)
}

// Encode returns the envelope as sent.
func Encode(envelope peer.Envelope) *peerpb.Envelope {
	encoded := &peerpb.Envelope{
		From:        uint64(envelope.From()),
		To:          uint64(envelope.To()),
		FromAddress: envelope.FromAddress(),
	}
	setMessage(encoded, envelope.Message())
	return encoded
}

// Decode returns the envelope as received. It returns a *MessageError if it
// carries no known message.
func Decode(encoded *peerpb.Envelope) (peer.Envelope, error) {
	message, err := messageOf(encoded)
	if err != nil {
		return peer.Envelope{}, err
	}
	from, to := identity.Incarnation(encoded.GetFrom()), identity.Incarnation(encoded.GetTo())
	return peer.NewEnvelope(from, to, encoded.GetFromAddress(), message), nil
}

func setMessage(encoded *peerpb.Envelope, message peer.Message) {
	switch m := message.(type) {
	case peer.Renew:
		encoded.Message = &peerpb.Envelope_Renew{Renew: &peerpb.Renew{
			Generation: m.Generation(), Sequence: m.Sequence(), Revision: uint64(m.Revision()),
		}}
	case peer.RenewReply:
		encoded.Message = &peerpb.Envelope_RenewReply{RenewReply: encodeRenewReply(m)}
	case peer.LapseQuery:
		encoded.Message = &peerpb.Envelope_LapseQuery{LapseQuery: &peerpb.LapseQuery{
			Holder: uint64(m.Holder()), Generation: m.Generation(),
		}}
	case peer.LapseReply:
		encoded.Message = &peerpb.Envelope_LapseReply{LapseReply: &peerpb.LapseReply{
			Holder: uint64(m.Holder()), Generation: m.Generation(), Lapsed: m.Lapsed(),
		}}
	case peer.Sync:
		encoded.Message = &peerpb.Envelope_Sync{Sync: &peerpb.Sync{Revision: uint64(m.Revision())}}
	case peer.SyncReply:
		encoded.Message = &peerpb.Envelope_SyncReply{SyncReply: encodeSyncReply(m)}
	case peer.Handover:
		encoded.Message = &peerpb.Envelope_Handover{Handover: encodeHandover(m)}
	case peer.LoadReport:
		encoded.Message = &peerpb.Envelope_LoadReport{LoadReport: encodeLoadReport(m)}
	case peer.OtherIncarnation:
		encoded.Message = &peerpb.Envelope_OtherIncarnation{OtherIncarnation: &peerpb.OtherIncarnation{
			Asked: uint64(m.Asked()),
		}}
	}
}

func messageOf(encoded *peerpb.Envelope) (peer.Message, error) {
	switch m := encoded.GetMessage().(type) {
	case *peerpb.Envelope_Renew:
		return peer.NewRenew(m.Renew.GetGeneration(), m.Renew.GetSequence(), table.Revision(m.Renew.GetRevision())), nil
	case *peerpb.Envelope_RenewReply:
		return decodeRenewReply(m.RenewReply), nil
	case *peerpb.Envelope_LapseQuery:
		return peer.NewLapseQuery(identity.Incarnation(m.LapseQuery.GetHolder()), m.LapseQuery.GetGeneration()), nil
	case *peerpb.Envelope_LapseReply:
		holder := identity.Incarnation(m.LapseReply.GetHolder())
		return peer.NewLapseReply(holder, m.LapseReply.GetGeneration(), m.LapseReply.GetLapsed()), nil
	case *peerpb.Envelope_Sync:
		return peer.NewSync(table.Revision(m.Sync.GetRevision())), nil
	case *peerpb.Envelope_SyncReply:
		return decodeSyncReply(m.SyncReply), nil
	case *peerpb.Envelope_Handover:
		return decodeHandover(m.Handover), nil
	case *peerpb.Envelope_LoadReport:
		return decodeLoadReport(m.LoadReport), nil
	case *peerpb.Envelope_OtherIncarnation:
		return peer.NewOtherIncarnation(identity.Incarnation(m.OtherIncarnation.GetAsked())), nil
	default:
		return nil, &MessageError{message: encoded.GetMessage()}
	}
}

func encodeRenewReply(m peer.RenewReply) *peerpb.RenewReply {
	return &peerpb.RenewReply{
		Generation: m.Generation(),
		Sequence:   m.Sequence(),
		Granted:    m.Result() == peer.RenewGranted,
		Fenced:     m.Result() == peer.RenewFenced,
		Revision:   uint64(m.Revision()),
	}
}

func decodeRenewReply(m *peerpb.RenewReply) peer.RenewReply {
	result := peer.RenewRefused
	switch {
	case m.GetGranted():
		result = peer.RenewGranted
	case m.GetFenced():
		result = peer.RenewFenced
	}
	return peer.NewRenewReply(m.GetGeneration(), m.GetSequence(), result, table.Revision(m.GetRevision()))
}

func encodeSyncReply(m peer.SyncReply) *peerpb.SyncReply {
	encoded := &peerpb.SyncReply{Since: uint64(m.Since()), Revision: uint64(m.Revision())}
	for _, row := range m.Rows() {
		encoded.Rows = append(encoded.Rows, &peerpb.Row{Key: row.Key(), Version: uint64(row.Version()), Value: row.Value()})
	}
	return encoded
}

func decodeSyncReply(m *peerpb.SyncReply) peer.SyncReply {
	rows := make([]table.Row, 0, len(m.GetRows()))
	for _, row := range m.GetRows() {
		rows = append(rows, table.NewRow(row.GetKey(), table.Revision(row.GetVersion()), row.GetValue()))
	}
	return peer.NewSyncReply(table.Revision(m.GetSince()), table.Revision(m.GetRevision()), rows)
}

func encodeHandover(m peer.Handover) *peerpb.Handover {
	encoded := &peerpb.Handover{Organisation: m.Service().Organisation(), Service: m.Service().Name()}
	for _, target := range m.Targets() {
		encoded.Targets = append(encoded.Targets, &peerpb.ShardTarget{
			Shard: uint32(target.Shard()), HotKey: target.HotKey(), Target: uint64(target.Target()),
		})
	}
	return encoded
}

func decodeHandover(m *peerpb.Handover) peer.Handover {
	targets := make([]peer.Target, 0, len(m.GetTargets()))
	for _, target := range m.GetTargets() {
		incarnation := identity.Incarnation(target.GetTarget())
		targets = append(targets, peer.NewTarget(shard.ID(target.GetShard()), target.GetHotKey(), incarnation))
	}
	return peer.NewHandover(identity.NewService(m.GetOrganisation(), m.GetService()), targets)
}

func encodeLoadReport(m peer.LoadReport) *peerpb.LoadReport {
	encoded := &peerpb.LoadReport{
		Organisation:   m.Service().Organisation(),
		Service:        m.Service().Name(),
		IntervalMillis: uint64(m.Interval()),
		BusySlotMillis: uint64(m.Busy()),
		Slots:          uint32(m.Slots()),
	}
	for _, unit := range m.Units() {
		if unit.HotKey() == "" {
			encoded.Shards = append(encoded.Shards, &peerpb.ShardLoad{
				Shard: uint32(unit.Shard()), BusySlotMillis: uint64(unit.Busy()), Requests: unit.Requests(),
			})
			continue
		}
		encoded.HotKeys = append(encoded.HotKeys, &peerpb.KeyLoad{
			Key: unit.HotKey(), Shard: uint32(unit.Shard()), BusySlotMillis: uint64(unit.Busy()), Requests: unit.Requests(),
		})
	}
	return encoded
}

func decodeLoadReport(m *peerpb.LoadReport) peer.LoadReport {
	units := make([]peer.UnitLoad, 0, len(m.GetShards())+len(m.GetHotKeys()))
	for _, load := range m.GetShards() {
		units = append(units, peer.NewUnitLoad(shard.ID(load.GetShard()), "", clock.Millis(load.GetBusySlotMillis()), load.GetRequests()))
	}
	for _, load := range m.GetHotKeys() {
		units = append(units, peer.NewUnitLoad(shard.ID(load.GetShard()), load.GetKey(), clock.Millis(load.GetBusySlotMillis()), load.GetRequests()))
	}
	service := identity.NewService(m.GetOrganisation(), m.GetService())
	return peer.NewLoadReport(service, clock.Millis(m.GetIntervalMillis()), clock.Millis(m.GetBusySlotMillis()), int(m.GetSlots()), units)
}
