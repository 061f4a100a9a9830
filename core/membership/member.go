// Package membership holds the rows of the daemons and the choice of their
// witnesses.
package membership

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/upstream"
)

// State is the state of a member in its row.
type State string

// States of a member.
const (
	// StateJoining means that the member has not held a lease yet.
	StateJoining State = "joining"
	// StateActive means that the member may own shards.
	StateActive State = "active"
	// StateDraining means that the member hands its shards over and leaves.
	StateDraining State = "draining"
	// StateDead is final.
	StateDead State = "dead"
)

// Instance describes the machine and addresses of a daemon.
type Instance struct {
	name        string
	httpAddress string
	peerAddress string
	location    identity.Location
}

// NewInstance returns an instance. The HTTP address is that for callers, the
// peer address that for other daemons.
func NewInstance(name, httpAddress, peerAddress string, location identity.Location) Instance {
	return Instance{name: name, httpAddress: httpAddress, peerAddress: peerAddress, location: location}
}

// Name returns the instance's name.
func (i Instance) Name() string { return i.name }

// HTTPAddress returns the address for callers.
func (i Instance) HTTPAddress() string { return i.httpAddress }

// PeerAddress returns the address for other daemons.
func (i Instance) PeerAddress() string { return i.peerAddress }

// Location returns the region and failure domain.
func (i Instance) Location() identity.Location { return i.location }

// Announcement is what an upstream says of itself to its daemon.
type Announcement struct {
	service     identity.Service
	slots       int
	connections int
	fencing     upstream.Fencing
	coldStart   clock.Millis
}

// NewAnnouncement returns an announcement; coldStart is in milliseconds.
func NewAnnouncement(service identity.Service, slots, connections int, fencing upstream.Fencing, coldStart clock.Millis) Announcement {
	return Announcement{service: service, slots: slots, connections: connections, fencing: fencing, coldStart: coldStart}
}

// Service returns the service, the zero value if no upstream announced itself.
func (a Announcement) Service() identity.Service { return a.service }

// Slots returns the number of orders that the upstream works on at once.
func (a Announcement) Slots() int { return a.slots }

// Connections returns the most connections to the upstream.
func (a Announcement) Connections() int { return a.connections }

// Fencing returns what the upstream checks.
func (a Announcement) Fencing() upstream.Fencing { return a.fencing }

// ColdStart returns the length of the cold start in milliseconds.
func (a Announcement) ColdStart() clock.Millis { return a.coldStart }

// Witness names a witness of a member.
type Witness struct {
	incarnation identity.Incarnation
	peerAddress string
}

// NewWitness returns a witness at an address.
func NewWitness(incarnation identity.Incarnation, peerAddress string) Witness {
	return Witness{incarnation: incarnation, peerAddress: peerAddress}
}

// Incarnation returns the witness's incarnation.
func (w Witness) Incarnation() identity.Incarnation { return w.incarnation }

// PeerAddress returns the address for other daemons.
func (w Witness) PeerAddress() string { return w.peerAddress }

// Member is the row of one incarnation. It is immutable.
type Member struct {
	incarnation       identity.Incarnation
	instance          Instance
	announcement      Announcement
	state             State
	witnessGeneration uint64
	witnesses         []Witness
}

// NewMember returns the row of a joining member without witnesses.
func NewMember(incarnation identity.Incarnation, instance Instance) Member {
	return Member{incarnation: incarnation, instance: instance, state: StateJoining}
}

// RestoreMember returns an active member with a witness set that was read from the
// table.
func RestoreMember(incarnation identity.Incarnation, instance Instance, generation uint64, witnesses []Witness) Member {
	return Member{incarnation: incarnation, instance: instance, state: StateActive, witnessGeneration: generation, witnesses: witnesses}
}

// NewUnregisteredMember returns a member that is not registered yet; its state is "".
func NewUnregisteredMember(incarnation identity.Incarnation, instance Instance) Member {
	return Member{incarnation: incarnation, instance: instance}
}

// WithAnnouncement returns a copy with what its upstream announced.
func (m Member) WithAnnouncement(a Announcement) Member {
	m.announcement = a
	return m
}

// WithState returns a copy in the given state.
func (m Member) WithState(state State) Member {
	m.state = state
	return m
}

// WithWitnesses returns a copy with the next witness generation and the given
// witnesses, which are not copied.
func (m Member) WithWitnesses(witnesses []Witness) Member {
	m.witnessGeneration++
	m.witnesses = witnesses
	return m
}

// Incarnation returns the member's incarnation.
func (m Member) Incarnation() identity.Incarnation { return m.incarnation }

// Instance returns the member's instance.
func (m Member) Instance() Instance { return m.instance }

// Announcement returns what the member's upstream announced.
func (m Member) Announcement() Announcement { return m.announcement }

// State returns the member's state; the zero Member has "".
func (m Member) State() State { return m.state }

// WitnessGeneration returns the number of the witness set, raised on each change.
func (m Member) WitnessGeneration() uint64 { return m.witnessGeneration }

// Witnesses returns the witness set; callers must not change it.
func (m Member) Witnesses() []Witness { return m.witnesses }

// Alive tells whether the row exists and is not dead.
func (m Member) Alive() bool { return m.state != "" && m.state != StateDead }
