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

// Tick reports the passing of time. The driver sends one at least every TickInterval.
type Tick struct{}

// MessageReceived is a control message from another daemon.
type MessageReceived struct{ envelope peer.Envelope }

// NewMessageReceived returns the event for a message that arrived.
func NewMessageReceived(envelope peer.Envelope) MessageReceived {
	return MessageReceived{envelope: envelope}
}

// SendFailed reports that a message could not be sent.
type SendFailed struct{ send Send }

// NewSendFailed returns the event for a failed Send.
func NewSendFailed(send Send) SendFailed { return SendFailed{send: send} }

// ScanCompleted is the result of a Scan.
type ScanCompleted struct {
	since    table.Revision
	revision table.Revision
	rows     []table.Row
}

// NewScanCompleted returns the result of a Scan of the rows written after since. The
// rows are complete up to revision. If the driver scans several prefixes, revision is
// the smallest of their revisions.
func NewScanCompleted(since, revision table.Revision, rows []table.Row) ScanCompleted {
	return ScanCompleted{since: since, revision: revision, rows: rows}
}

// ScanFailed reports that the Scan in progress returned no result.
type ScanFailed struct{}

// Committed reports that a Commit took effect.
type Committed struct {
	id       CommitID
	revision table.Revision
}

// NewCommitted returns the event for a Commit that took effect at a table revision.
func NewCommitted(id CommitID, revision table.Revision) Committed {
	return Committed{id: id, revision: revision}
}

// Conflicted reports that a Commit did not and will not take effect.
type Conflicted struct{ id CommitID }

// NewConflicted returns the event for a Commit that will never take effect.
func NewConflicted(id CommitID) Conflicted { return Conflicted{id: id} }

// CatalogChanged reports the service rules that are now in force.
type CatalogChanged struct{ catalog template.Catalog }

// NewCatalogChanged returns the event for a catalog that was put in force.
func NewCatalogChanged(catalog template.Catalog) CatalogChanged {
	return CatalogChanged{catalog: catalog}
}

// UpstreamAnnounced reports that the upstream of the instance is ready.
type UpstreamAnnounced struct{ announcement membership.Announcement }

// NewUpstreamAnnounced returns the event for an upstream's announcement.
func NewUpstreamAnnounced(a membership.Announcement) UpstreamAnnounced {
	return UpstreamAnnounced{announcement: a}
}

// UpstreamDown reports that the upstream cannot take requests.
type UpstreamDown struct{}

// UpstreamUp reports that the upstream takes requests again.
type UpstreamUp struct{}

// DrainRequested requests that the node hand over its shards and leave.
type DrainRequested struct{}

// ShardDrained reports that no non-idempotent request for a unit is in flight any more
// after a StopShard.
type ShardDrained struct {
	service identity.Service
	unit    ownership.Unit
	epoch   identity.Epoch
}

// NewShardDrained returns the event that completes a StopShard. The epoch must be that of
// the StopShard.
func NewShardDrained(service identity.Service, unit ownership.Unit, epoch identity.Epoch) ShardDrained {
	return ShardDrained{service: service, unit: unit, epoch: epoch}
}

// LoadMeasured reports the load of the instance's upstream in one interval.
type LoadMeasured struct {
	interval       clock.Millis
	busySlotMillis clock.Millis
	units          []peer.UnitLoad
}

// NewLoadMeasured returns the event for the load in an interval in milliseconds.
// BusySlotMillis is the total of the slot-milliseconds used, and units holds them by
// shard and hot key.
func NewLoadMeasured(interval, busySlotMillis clock.Millis, units []peer.UnitLoad) LoadMeasured {
	return LoadMeasured{interval: interval, busySlotMillis: busySlotMillis, units: units}
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
