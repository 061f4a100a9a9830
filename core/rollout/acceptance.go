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

// Member holds the fields of a member row on which acceptance depends.
type Member struct {
	incarnation identity.Incarnation
	instance    string
	region      string
	dead        bool
}

// NewMember returns a member. dead reports whether its row has the state dead.
func NewMember(incarnation identity.Incarnation, instance, region string, dead bool) Member {
	return Member{incarnation: incarnation, instance: instance, region: region, dead: dead}
}

// Incarnation returns the member's incarnation.
func (m Member) Incarnation() identity.Incarnation { return m.incarnation }

// Event is MembersRead, StatusReceived, StatusFailed or AcceptedVersionRead.
type Event interface{ isEvent() }

// MembersRead holds all member rows as of a revision of the table.
type MembersRead struct {
	revision table.Revision
	members  []Member
}

// StatusReceived holds the response of the process at a member's address. The
// responder is another incarnation than the target if the process has restarted.
type StatusReceived struct {
	target    identity.Incarnation
	responder identity.Incarnation
	version   uint64
}

// StatusFailed reports that a status request to a member's address failed.
type StatusFailed struct {
	target identity.Incarnation
	reason string
}

// AcceptedVersionRead holds the accepted version in the table.
type AcceptedVersionRead struct {
	version uint64
}

// NewMembersRead returns the event for all member rows as of a revision.
func NewMembersRead(revision table.Revision, members []Member) MembersRead {
	return MembersRead{revision: revision, members: members}
}

// NewStatusReceived returns the event for a response to a status request. The
// request was sent to the address of the member target. The process there is the
// incarnation responder and has the given version active.
func NewStatusReceived(target, responder identity.Incarnation, version uint64) StatusReceived {
	return StatusReceived{target: target, responder: responder, version: version}
}

// NewStatusFailed returns the event for a status request to target that failed.
func NewStatusFailed(target identity.Incarnation, reason string) StatusFailed {
	return StatusFailed{target: target, reason: reason}
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

// Stored means that the version is in the table, but the members that must confirm
// it are not known yet.
type Stored struct{}

// Pending means that some members have not confirmed the version yet.
type Pending struct {
	regions []PendingRegion
}

// Accepted means that the version or a newer one is active at every member that
// is not dead in the table.
type Accepted struct{}

func (Stored) isState()   {}
func (Pending) isState()  {}
func (Accepted) isState() {}

func (Stored) String() string   { return "stored" }
func (Pending) String() string  { return "pending" }
func (Accepted) String() string { return "accepted" }

// Regions returns the regions with unconfirmed members, sorted by name.
func (p Pending) Regions() []PendingRegion { return p.regions }

// PendingRegion holds the members of a region that have not confirmed the version.
type PendingRegion struct {
	region  string
	members []PendingMember
}

// Region returns the region's name.
func (r PendingRegion) Region() string { return r.region }

// Members returns the members, sorted by instance and incarnation.
func (r PendingRegion) Members() []PendingMember { return r.members }

// PendingMember is a member that has not confirmed the version.
type PendingMember struct {
	member Member
	reason string
}

// Incarnation returns the member's incarnation.
func (m PendingMember) Incarnation() identity.Incarnation { return m.member.incarnation }

// Instance returns the name of the member's instance.
func (m PendingMember) Instance() string { return m.member.instance }

// Reason returns why the member has not confirmed, for operators.
func (m PendingMember) Reason() string { return m.reason }

// AcceptanceTracker follows one version from Stored to Accepted. It is a state
// machine without I/O. The version is accepted when all members that are not dead,
// as of a table revision not before that of the edit, have confirmed it. Members
// that register later need not confirm, since a registration is conditional on the
// head row that the member loaded.
type AcceptanceTracker struct {
	version         uint64
	storedRevision  table.Revision
	membersRevision table.Revision
	members         []Member
	confirmed       map[identity.Incarnation]bool
	reasons         map[identity.Incarnation]string
	isAccepted      bool
}

// NewAcceptanceTracker returns a tracker of a version that is stored as of a
// revision of the table.
func NewAcceptanceTracker(version uint64, storedRevision table.Revision) *AcceptanceTracker {
	return &AcceptanceTracker{
		version:        version,
		storedRevision: storedRevision,
		confirmed:      map[identity.Incarnation]bool{},
		reasons:        map[identity.Incarnation]string{},
	}
}

// Version returns the tracked version.
func (a *AcceptanceTracker) Version() uint64 { return a.version }

// Step processes an event and reports whether the version is accepted. Acceptance
// is final.
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

// isUnconfirmed reports whether the member must still confirm the version.
func (a *AcceptanceTracker) isUnconfirmed(member Member) bool {
	return !member.dead && !a.confirmed[member.incarnation]
}

// updateMembers ignores rows older than the edit, which may lack members that
// registered before it, and rows older than those read before.
func (a *AcceptanceTracker) updateMembers(event MembersRead) {
	if event.revision < a.storedRevision || event.revision < a.membersRevision || event.revision == 0 {
		return
	}
	a.membersRevision, a.members = event.revision, event.members
}

// recordStatus counts a response as a confirmation only of the incarnation that
// sent it: the version of another process at the same address does not apply to the
// target. A confirmation stays valid, since an incarnation never returns to an older
// version.
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

// UnconfirmedMembers returns the members whose status is to be requested.
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
	membersByRegion := map[string][]PendingMember{}
	for _, member := range a.UnconfirmedMembers() {
		reason, known := a.reasons[member.incarnation]
		if !known {
			reason = "its status has not been requested yet"
		}
		membersByRegion[member.region] = append(membersByRegion[member.region], PendingMember{member: member, reason: reason})
	}
	regions := make([]PendingRegion, 0, len(membersByRegion))
	for region, members := range membersByRegion {
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

// ReadAcceptedVersion reads the accepted version from the table. It returns 0 if
// there is none.
func ReadAcceptedVersion(ctx context.Context, source table.Table) (uint64, error) {
	rows, err := source.Read(ctx, []string{KeyAccepted})
	if err != nil || rows[0].Version() == 0 {
		return 0, err
	}
	return decodeAcceptedVersion(rows[0])
}

// MarkAccepted raises the accepted version in the table to version. A higher one
// stays. It returns an error of the table or a *RowError.
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

// tryMarkAccepted makes one attempt to write the row KeyAccepted with value, the JSON
// text for the version.
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
