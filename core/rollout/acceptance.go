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
	asked    identity.Incarnation
	answered identity.Incarnation
	version  uint64
}

// StatusFailed says that a member's address gave no answer.
type StatusFailed struct {
	asked  identity.Incarnation
	reason string
}

// MarkRead carries the accepted version in the table.
type MarkRead struct {
	version uint64
}

// NewMembersRead returns the event for all member rows as of a revision.
func NewMembersRead(revision table.Revision, members []Member) MembersRead {
	return MembersRead{revision: revision, members: members}
}

// NewStatusReceived returns the event for an answer: the address of the member
// asked answered as the incarnation answered with a version in force.
func NewStatusReceived(asked, answered identity.Incarnation, version uint64) StatusReceived {
	return StatusReceived{asked: asked, answered: answered, version: version}
}

// NewStatusFailed returns the event for a missing answer.
func NewStatusFailed(asked identity.Incarnation, reason string) StatusFailed {
	return StatusFailed{asked: asked, reason: reason}
}

// NewMarkRead returns the event for the accepted version in the table.
func NewMarkRead(version uint64) MarkRead { return MarkRead{version: version} }

func (MembersRead) isEvent()    {}
func (StatusReceived) isEvent() {}
func (StatusFailed) isEvent()   {}
func (MarkRead) isEvent()       {}

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

// Acceptance follows one version from stored to accepted. It is a plain state
// machine: members of the table that are not dead at a revision at or after
// the edit's must confirm. Members that register later need not: their
// registration is conditional on the head that they loaded.
type Acceptance struct {
	version   uint64
	stored    table.Revision
	read      table.Revision
	members   []Member
	confirmed map[identity.Incarnation]bool
	reasons   map[identity.Incarnation]string
	accepted  bool
}

// NewAcceptance follows a version that is stored as of a revision.
func NewAcceptance(version uint64, stored table.Revision) *Acceptance {
	return &Acceptance{
		version:   version,
		stored:    stored,
		confirmed: map[identity.Incarnation]bool{},
		reasons:   map[identity.Incarnation]string{},
	}
}

// Version returns the version that is followed.
func (a *Acceptance) Version() uint64 { return a.version }

// Step takes an event and tells whether the version is accepted, which is final.
func (a *Acceptance) Step(event Event) bool {
	switch event := event.(type) {
	case MembersRead:
		a.readMembers(event)
	case StatusReceived:
		a.receive(event)
	case StatusFailed:
		a.reasons[event.asked] = event.reason
	case MarkRead:
		a.accepted = a.accepted || event.version >= a.version
	}
	a.accepted = a.accepted || a.read > 0 && !slices.ContainsFunc(a.members, a.lacks)
	return a.accepted
}

// lacks tells whether the member must still confirm.
func (a *Acceptance) lacks(member Member) bool {
	return !member.dead && !a.confirmed[member.incarnation]
}

// readMembers ignores rows older than the edit, which may lack members that
// registered before it, and rows older than the newest ones read.
func (a *Acceptance) readMembers(event MembersRead) {
	if event.revision < a.stored || event.revision < a.read || event.revision == 0 {
		return
	}
	a.read, a.members = event.revision, event.members
}

// receive counts an answer only for the incarnation that gave it: another
// process at the address says nothing of the one that was asked. An incarnation
// never goes back to an older version, so a confirmation stays valid.
func (a *Acceptance) receive(event StatusReceived) {
	if event.version >= a.version {
		a.confirmed[event.answered] = true
	}
	switch {
	case event.answered != event.asked:
		a.reasons[event.asked] = fmt.Sprintf("its address answers as incarnation %s", event.answered)
	case event.version < a.version:
		a.reasons[event.asked] = fmt.Sprintf("has version %d in force", event.version)
	}
}

// Unconfirmed returns the members that are to be asked for their Status.
func (a *Acceptance) Unconfirmed() []Member {
	var members []Member
	for _, member := range a.members {
		if a.lacks(member) {
			members = append(members, member)
		}
	}
	return members
}

// State returns the current state.
func (a *Acceptance) State() State {
	switch {
	case a.accepted:
		return Accepted{}
	case a.read == 0:
		return Stored{}
	default:
		return Pending{regions: a.pendingRegions()}
	}
}

func (a *Acceptance) pendingRegions() []PendingRegion {
	byRegion := map[string][]PendingMember{}
	for _, member := range a.Unconfirmed() {
		reason, asked := a.reasons[member.incarnation]
		if !asked {
			reason = "has not been asked yet"
		}
		byRegion[member.region] = append(byRegion[member.region], PendingMember{member: member, reason: reason})
	}
	regions := make([]PendingRegion, 0, len(byRegion))
	for region, members := range byRegion {
		sort.Slice(members, func(i, j int) bool { return members[i].before(members[j]) })
		regions = append(regions, PendingRegion{region: region, members: members})
	}
	sort.Slice(regions, func(i, j int) bool { return regions[i].region < regions[j].region })
	return regions
}

func (m PendingMember) before(other PendingMember) bool {
	if m.member.instance != other.member.instance {
		return m.member.instance < other.member.instance
	}
	return m.member.incarnation < other.member.incarnation
}

// AcceptedVersion returns the accepted version in the table, 0 if none.
func AcceptedVersion(ctx context.Context, source table.Table) (uint64, error) {
	rows, err := source.Read(ctx, []string{KeyAccepted})
	if err != nil || rows[0].Version() == 0 {
		return 0, err
	}
	return decodeAccepted(rows[0])
}

// MarkAccepted raises the accepted version in the table to version, and leaves
// a higher one. The error is of the table.
func MarkAccepted(ctx context.Context, target table.Table, version uint64, unixMillis int64) error {
	value, err := json.Marshal(acceptedJSON{Version: version, UnixMillis: unixMillis})
	if err != nil {
		return NewRowError(KeyAccepted, err)
	}
	delay := retryBase
	for range maxAttempts {
		if err = markOnce(ctx, target, version, value); err == nil || !retryable(err) {
			return err
		}
		if pause(ctx, delay) != nil {
			break
		}
		delay = min(2*delay, retryCap)
	}
	return err
}

func markOnce(ctx context.Context, target table.Table, version uint64, value []byte) error {
	rows, err := target.Read(ctx, []string{KeyAccepted})
	if err != nil {
		return err
	}
	if rows[0].Version() > 0 {
		stored, err := decodeAccepted(rows[0])
		if err != nil || stored >= version {
			return err
		}
	}
	conditions := []table.Condition{table.NewCondition(KeyAccepted, rows[0].Version())}
	_, err = target.Commit(ctx, table.NewTransaction(conditions, []table.Mutation{table.NewPut(KeyAccepted, value)}))
	return noAnswer(err)
}
