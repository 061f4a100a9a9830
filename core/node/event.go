package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

// Event is an input of Step.
type Event interface {
	isEvent()
}

// Tick lets time pass. The driver sends one at least every TickInterval.
type Tick struct{}

// MessageReceived is a control message from another daemon.
type MessageReceived struct{ envelope peer.Envelope }

// NewMessageReceived returns the event of a message that arrived.
func NewMessageReceived(envelope peer.Envelope) MessageReceived {
	return MessageReceived{envelope: envelope}
}

// SendFailed tells that a message could not be sent.
type SendFailed struct{ send Send }

// NewSendFailed returns the event of a Send that failed.
func NewSendFailed(send Send) SendFailed { return SendFailed{send: send} }

// ScanCompleted is the result of a Scan.
type ScanCompleted struct {
	since    table.Revision
	revision table.Revision
	rows     []table.Row
}

// NewScanCompleted returns the result of a Scan above since; the rows are complete up
// to revision. If the driver scans several prefixes, revision is the smallest
// of their revisions.
func NewScanCompleted(since, revision table.Revision, rows []table.Row) ScanCompleted {
	return ScanCompleted{since: since, revision: revision, rows: rows}
}

// ScanFailed tells that the Scan in progress got no result.
type ScanFailed struct{}

// Committed tells that a Commit took effect.
type Committed struct {
	id       CommitID
	revision table.Revision
}

// NewCommitted returns the result of a Commit at revision.
func NewCommitted(id CommitID, revision table.Revision) Committed {
	return Committed{id: id, revision: revision}
}

// Conflicted tells that a Commit did not and will not take effect.
type Conflicted struct{ id CommitID }

// NewConflicted returns the result of a Commit that will never take effect.
func NewConflicted(id CommitID) Conflicted { return Conflicted{id: id} }

// CatalogChanged gives the service rules in force.
type CatalogChanged struct{ catalog template.Catalog }

// NewCatalogChanged returns the event of a catalog put in force.
func NewCatalogChanged(catalog template.Catalog) CatalogChanged {
	return CatalogChanged{catalog: catalog}
}

// UpstreamAnnounced tells that the upstream of the instance is ready.
type UpstreamAnnounced struct{ announcement membership.Announcement }

// NewUpstreamAnnounced returns the event of an announcement.
func NewUpstreamAnnounced(a membership.Announcement) UpstreamAnnounced {
	return UpstreamAnnounced{announcement: a}
}

// UpstreamDown tells that the upstream can't take orders.
type UpstreamDown struct{}

// UpstreamUp tells that the upstream takes orders again.
type UpstreamUp struct{}

// DrainRequested asks the daemon to hand over its shards and leave.
type DrainRequested struct{}

// ShardDrained tells that no non-idempotent order is in flight any more for a
// unit after StopShard.
type ShardDrained struct {
	service identity.Service
	unit    ownership.Unit
	epoch   identity.Epoch
}

// NewShardDrained returns the answer to a StopShard.
func NewShardDrained(service identity.Service, unit ownership.Unit, epoch identity.Epoch) ShardDrained {
	return ShardDrained{service: service, unit: unit, epoch: epoch}
}

// LoadMeasured is the load of the upstream of this instance in one interval.
type LoadMeasured struct {
	interval clock.Millis
	busy     clock.Millis
	units    []peer.UnitLoad
}

// NewLoadMeasured returns the slot-milliseconds used in an interval, in all and
// by shard and hot key.
func NewLoadMeasured(interval, busy clock.Millis, units []peer.UnitLoad) LoadMeasured {
	return LoadMeasured{interval: interval, busy: busy, units: units}
}

func (Tick) isEvent()              {}
func (MessageReceived) isEvent()   {}
func (SendFailed) isEvent()        {}
func (ScanCompleted) isEvent()     {}
func (ScanFailed) isEvent()        {}
func (Committed) isEvent()         {}
func (Conflicted) isEvent()        {}
func (CatalogChanged) isEvent()    {}
func (UpstreamAnnounced) isEvent() {}
func (UpstreamDown) isEvent()      {}
func (UpstreamUp) isEvent()        {}
func (DrainRequested) isEvent()    {}
func (ShardDrained) isEvent()      {}
func (LoadMeasured) isEvent()      {}
