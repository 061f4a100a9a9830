// Package membership describes the daemons by their rows in the table, and chooses their
// witnesses.
package membership

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/upstream"
)

// State is the lifecycle state of a member.
type State string

// States of a member.
const (
	// StateJoining means that the member has not held a lease yet.
	StateJoining State = "joining"
	// StateActive means that the member may own shards.
	StateActive State = "active"
	// StateDraining means that the member hands over its shards and then leaves.
	StateDraining State = "draining"
	// StateDead means that the member has ended for good. It is the final state.
	StateDead State = "dead"
)

// Instance describes the machine of a daemon and the daemon's addresses.
type Instance struct {
	name        string
	httpAddress string
	peerAddress string
	location    identity.Location
}

// NewInstance returns an instance. Callers use the HTTP address, other daemons the
// peer address.
func NewInstance(name, httpAddress, peerAddress string, location identity.Location) Instance {
	return Instance{name: name, httpAddress: httpAddress, peerAddress: peerAddress, location: location}
}

// Name returns the instance's name.
func (i Instance) Name() string { return i.name }

// HTTPAddress returns the address that callers use.
func (i Instance) HTTPAddress() string { return i.httpAddress }

// PeerAddress returns the address that other daemons use.
func (i Instance) PeerAddress() string { return i.peerAddress }

// Location returns the region and the failure domain.
func (i Instance) Location() identity.Location { return i.location }

// Announcement describes an upstream, as the upstream announces itself to its daemon.
type Announcement struct {
	service     identity.Service
	slots       int
	connections int
	fencing     upstream.Fencing
	coldStart   clock.Millis
}

// NewAnnouncement returns an announcement. ColdStart is the length of the cold start in
// milliseconds.
func NewAnnouncement(service identity.Service, slots, connections int, fencing upstream.Fencing, coldStart clock.Millis) Announcement {
	return Announcement{service: service, slots: slots, connections: connections, fencing: fencing, coldStart: coldStart}
}

// Service returns the upstream's service, the zero value if no upstream has announced
// itself.
func (a Announcement) Service() identity.Service { return a.service }

// Slots returns the number of requests that the upstream runs at once.
func (a Announcement) Slots() int { return a.slots }

// Connections returns the maximum number of connections to the upstream.
func (a Announcement) Connections() int { return a.connections }

// Fencing returns what the upstream checks before it runs a request.
func (a Announcement) Fencing() upstream.Fencing { return a.fencing }

// ColdStart returns the length of the cold start in milliseconds.
func (a Announcement) ColdStart() clock.Millis { return a.coldStart }

// Witness identifies a daemon that serves as a witness for a member's lease.
type Witness struct {
	incarnation identity.Incarnation
	peerAddress string
}

// NewWitness returns a witness with the given peer address.
func NewWitness(incarnation identity.Incarnation, peerAddress string) Witness {
	return Witness{incarnation: incarnation, peerAddress: peerAddress}
}

// Incarnation returns the witness's incarnation.
func (w Witness) Incarnation() identity.Incarnation { return w.incarnation }

// PeerAddress returns the witness's address for other daemons.
func (w Witness) PeerAddress() string { return w.peerAddress }

// Member is the row of one incarnation of a daemon. It is immutable.
type Member struct {
	incarnation       identity.Incarnation
	instance          Instance
	announcement      Announcement
	state             State
	witnessGeneration uint64
	witnesses         []Witness
}

// NewMember returns a joining member without witnesses.
func NewMember(incarnation identity.Incarnation, instance Instance) Member {
	return Member{incarnation: incarnation, instance: instance, state: StateJoining}
}

// RestoreMember returns an active member with a witness set and its generation, as read
// from the table.
func RestoreMember(incarnation identity.Incarnation, instance Instance, generation uint64, witnesses []Witness) Member {
	return Member{incarnation: incarnation, instance: instance, state: StateActive, witnessGeneration: generation, witnesses: witnesses}
}

// NewUnregisteredMember returns a member that is not registered yet. Its state is "".
func NewUnregisteredMember(incarnation identity.Incarnation, instance Instance) Member {
	return Member{incarnation: incarnation, instance: instance}
}

// WithAnnouncement returns a copy with the announcement of its upstream.
func (m Member) WithAnnouncement(a Announcement) Member {
	m.announcement = a
	return m
}

// WithState returns a copy in the given state.
func (m Member) WithState(state State) Member {
	m.state = state
	return m
}

// WithWitnesses returns a copy with the next witness generation and the given witnesses.
// The slice is not copied.
func (m Member) WithWitnesses(witnesses []Witness) Member {
	m.witnessGeneration++
	m.witnesses = witnesses
	return m
}

// Incarnation returns the member's incarnation.
func (m Member) Incarnation() identity.Incarnation { return m.incarnation }

// Instance returns the member's instance.
func (m Member) Instance() Instance { return m.instance }

// Announcement returns the announcement of the member's upstream.
func (m Member) Announcement() Announcement { return m.announcement }

// State returns the member's state; the zero Member has "".
func (m Member) State() State { return m.state }

// WitnessGeneration returns the number of the witness set. Each change of the set
// increments it.
func (m Member) WitnessGeneration() uint64 { return m.witnessGeneration }

// Witnesses returns the witness set; callers must not change it.
func (m Member) Witnesses() []Witness { return m.witnesses }

// Alive reports whether the member is registered and not dead.
func (m Member) Alive() bool { return m.state != "" && m.state != StateDead }
