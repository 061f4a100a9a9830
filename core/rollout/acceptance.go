package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/table"
)

// Member is what acceptance needs of a member row.
type Member struct {
	incarnation identity.Incarnation
	instance    string
	region      string
	dead        bool
}

// NewMember returns a member; dead means that the table marks it as dead.
func NewMember(incarnation identity.Incarnation, instance, region string, dead bool) Member {
	return Member{incarnation: incarnation, instance: instance, region: region, dead: dead}
}

// Incarnation returns the member's incarnation.
func (m Member) Incarnation() identity.Incarnation { return m.incarnation }

// Event is MembersRead, StatusReceived, StatusFailed or MarkRead.
type Event interface{ isEvent() }

// MembersRead carries all member rows as of a revision of the table.
type MembersRead struct {
	revision table.Revision
	members  []Member
}

// StatusReceived carries the answer of the process at a member's address.
type StatusReceived struct {
	target    identity.Incarnation
	responder identity.Incarnation
	version   uint64
}

// StatusFailed says that a member's address gave no answer.
type StatusFailed struct {
	target identity.Incarnation
	reason string
}

// AcceptedVersionRead carries the accepted version in the table.
type AcceptedVersionRead struct {
	version uint64
}

// NewMembersRead returns the event for all member rows as of a revision.
func NewMembersRead(revision table.Revision, members []Member) MembersRead {
	return MembersRead{revision: revision, members: members}
}

// NewStatusReceived returns the event for an answer: the address of the member
// asked answered as the incarnation answered with a version in force.
func NewStatusReceived(asked, answered identity.Incarnation, version uint64) StatusReceived {
	return StatusReceived{target: asked, responder: answered, version: version}
}

// NewStatusFailed returns the event for a missing answer.
func NewStatusFailed(asked identity.Incarnation, reason string) StatusFailed {
	return StatusFailed{target: asked, reason: reason}
}

// NewAcceptedVersionRead returns the event for the accepted version in the table.
func NewAcceptedVersionRead(version uint64) AcceptedVersionRead {
	return AcceptedVersionRead{version: version}
}

func (MembersRead) isEvent()         {}
func (StatusReceived) isEvent()      {}
func (StatusFailed) isEvent()        {}
func (AcceptedVersionRead) isEvent() {}

// State is Stored, Pending or Accepted.
type State interface {
	isState()
	// String returns "stored", "pending" or "accepted".
	String() string
}

// Stored means that the version is in the table, and that the members at that
// point are not known yet.
type Stored struct{}

// Pending means that some members have not confirmed the version.
type Pending struct {
	regions []PendingRegion
}

// Accepted means that every member that the table doesn't mark as dead has the
// version, or a newer one, in force.
type Accepted struct{}

func (Stored) isState()   {}
func (Pending) isState()  {}
func (Accepted) isState() {}

func (Stored) String() string   { return "stored" }
func (Pending) String() string  { return "pending" }
func (Accepted) String() string { return "accepted" }

// Regions returns the regions with members that have not confirmed, by name.
func (p Pending) Regions() []PendingRegion { return p.regions }

// PendingRegion holds the members of a region that have not confirmed.
type PendingRegion struct {
	region  string
	members []PendingMember
}

// Region returns the region's name.
func (r PendingRegion) Region() string { return r.region }

// Members returns the members, by instance.
func (r PendingRegion) Members() []PendingMember { return r.members }

// PendingMember is a member that has not confirmed.
type PendingMember struct {
	member Member
	reason string
}

// Incarnation returns the member's incarnation.
func (m PendingMember) Incarnation() identity.Incarnation { return m.member.incarnation }

// Instance returns the name of the member's instance.
func (m PendingMember) Instance() string { return m.member.instance }

// Reason says why the member has not confirmed.
func (m PendingMember) Reason() string { return m.reason }

// AcceptanceTracker follows one version from stored to accepted. It is a plain state
// machine: members of the table that are not dead at a revision at or after
// the edit's must confirm. Members that register later need not: their
// registration is conditional on the head that they loaded.
type AcceptanceTracker struct {
	version         uint64
	storedRevision  table.Revision
	membersRevision table.Revision
	members         []Member
	confirmed       map[identity.Incarnation]bool
	reasons         map[identity.Incarnation]string
	isAccepted      bool
}

// NewAcceptanceTracker follows a version that is stored as of a revision.
func NewAcceptanceTracker(version uint64, stored table.Revision) *AcceptanceTracker {
	return &AcceptanceTracker{
		version:        version,
		storedRevision: stored,
		confirmed:      map[identity.Incarnation]bool{},
		reasons:        map[identity.Incarnation]string{},
	}
}

// Version returns the version that is followed.
func (a *AcceptanceTracker) Version() uint64 { return a.version }

// Step takes an event and tells whether the version is accepted, which is final.
func (a *AcceptanceTracker) Step(event Event) bool {
	switch event := event.(type) {
	case MembersRead:
		a.updateMembers(event)
	case StatusReceived:
		a.recordStatus(event)
	case StatusFailed:
		a.reasons[event.target] = event.reason
	case AcceptedVersionRead:
		a.isAccepted = a.isAccepted || event.version >= a.version
	}
	a.isAccepted = a.isAccepted || a.membersRevision > 0 && !slices.ContainsFunc(a.members, a.isUnconfirmed)
	return a.isAccepted
}

// isUnconfirmed tells whether the member must still confirm.
func (a *AcceptanceTracker) isUnconfirmed(member Member) bool {
	return !member.dead && !a.confirmed[member.incarnation]
}

// updateMembers ignores rows older than the edit, which may lack members that
// registered before it, and rows older than the newest ones read.
func (a *AcceptanceTracker) updateMembers(event MembersRead) {
	if event.revision < a.storedRevision || event.revision < a.membersRevision || event.revision == 0 {
		return
	}
	a.membersRevision, a.members = event.revision, event.members
}

// recordStatus counts an answer only for the incarnation that gave it: another
// process at the address says nothing of the one that was asked. An incarnation
// never goes back to an older version, so a confirmation stays valid.
func (a *AcceptanceTracker) recordStatus(event StatusReceived) {
	if event.version >= a.version {
		a.confirmed[event.responder] = true
	}
	switch {
	case event.responder != event.target:
		a.reasons[event.target] = fmt.Sprintf("its address answers as incarnation %s", event.responder)
	case event.version < a.version:
		a.reasons[event.target] = fmt.Sprintf("has version %d in force", event.version)
	}
}

// UnconfirmedMembers returns the members that are to be asked for their Status.
func (a *AcceptanceTracker) UnconfirmedMembers() []Member {
	var members []Member
	for _, member := range a.members {
		if a.isUnconfirmed(member) {
			members = append(members, member)
		}
	}
	return members
}

// State returns the current state.
func (a *AcceptanceTracker) State() State {
	switch {
	case a.isAccepted:
		return Accepted{}
	case a.membersRevision == 0:
		return Stored{}
	default:
		return Pending{regions: a.pendingRegions()}
	}
}

func (a *AcceptanceTracker) pendingRegions() []PendingRegion {
	byRegion := map[string][]PendingMember{}
	for _, member := range a.UnconfirmedMembers() {
		reason, asked := a.reasons[member.incarnation]
		if !asked {
			reason = "has not been asked yet"
		}
		byRegion[member.region] = append(byRegion[member.region], PendingMember{member: member, reason: reason})
	}
	regions := make([]PendingRegion, 0, len(byRegion))
	for region, members := range byRegion {
		sort.Slice(members, func(i, j int) bool { return members[i].less(members[j]) })
		regions = append(regions, PendingRegion{region: region, members: members})
	}
	sort.Slice(regions, func(i, j int) bool { return regions[i].region < regions[j].region })
	return regions
}

func (m PendingMember) less(other PendingMember) bool {
	if m.member.instance != other.member.instance {
		return m.member.instance < other.member.instance
	}
	return m.member.incarnation < other.member.incarnation
}

// ReadAcceptedVersion returns the accepted version in the table, 0 if none.
func ReadAcceptedVersion(ctx context.Context, source table.Table) (uint64, error) {
	rows, err := source.Read(ctx, []string{KeyAccepted})
	if err != nil || rows[0].Version() == 0 {
		return 0, err
	}
	return decodeAcceptedVersion(rows[0])
}

// MarkAccepted raises the accepted version in the table to version, and leaves
// a higher one. The error is of the table.
func MarkAccepted(ctx context.Context, target table.Table, version uint64, unixMillis int64) error {
	value, err := json.Marshal(acceptedVersionJSON{Version: version, UnixMillis: unixMillis})
	if err != nil {
		return NewRowError(KeyAccepted, err)
	}
	delay := retryBaseDelay
	for range maxAttempts {
		if err = tryMarkAccepted(ctx, target, version, value); err == nil || !isRetryable(err) {
			return err
		}
		if sleep(ctx, delay) != nil {
			break
		}
		delay = min(2*delay, retryMaxDelay)
	}
	return err
}

func tryMarkAccepted(ctx context.Context, target table.Table, version uint64, value []byte) error {
	rows, err := target.Read(ctx, []string{KeyAccepted})
	if err != nil {
		return err
	}
	if rows[0].Version() > 0 {
		stored, err := decodeAcceptedVersion(rows[0])
		if err != nil || stored >= version {
			return err
		}
	}
	conditions := []table.Condition{table.NewCondition(KeyAccepted, rows[0].Version())}
	_, err = target.Commit(ctx, table.NewTransaction(conditions, []table.Mutation{table.NewPut(KeyAccepted, value)}))
	return asOutage(err)
}
