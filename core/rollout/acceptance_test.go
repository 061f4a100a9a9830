package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/table"
)

// simulatedDaemon is a daemon of clusterModel.
type simulatedDaemon struct {
	incarnation identity.Incarnation
	address     int
	// activeVersion never decreases.
	activeVersion uint64
	// dead reports whether the member row has the state dead.
	dead bool
}

// clusterModel is a model of the table, the members and their status responses.
type clusterModel struct {
	headVersion   uint64
	tableRevision table.Revision
	members       []*simulatedDaemon
	// responses holds all status responses. They are delivered late, more than once
	// or never.
	responses []rollout.Event
}

func (m *clusterModel) readMembers() rollout.MembersRead {
	members := make([]rollout.Member, 0, len(m.members))
	for _, member := range m.members {
		members = append(members, rollout.NewMember(member.incarnation, fmt.Sprint("i", member.address), fmt.Sprint("r", member.address%3), member.dead))
	}
	return rollout.NewMembersRead(m.tableRevision, members)
}

// register starts a daemon that has loaded a version. The table accepts the
// registration only if that version is the head.
func (m *clusterModel) register(address int, loadedVersion uint64) {
	if loadedVersion != m.headVersion {
		return
	}
	m.tableRevision++
	m.members = append(m.members, &simulatedDaemon{incarnation: identity.Incarnation(len(m.members) + 1), address: address, activeVersion: loadedVersion})
}

// requestStatus adds the response of the newest daemon at the target's address.
func (m *clusterModel) requestStatus(target *simulatedDaemon) {
	responder := target
	for _, member := range m.members {
		if member.address == target.address {
			responder = member
		}
	}
	m.responses = append(m.responses, rollout.NewStatusReceived(target.incarnation, responder.incarnation, responder.activeVersion))
}

func (m *clusterModel) allConfirmed(version uint64) bool {
	for _, member := range m.members {
		if !member.dead && member.activeVersion < version {
			return false
		}
	}
	return true
}

const scheduleCount = 20_000

// Guards against a version that is reported as accepted while an older version is
// active at a member that is not dead, and against an acceptance that is revoked.
// Responses are lost, repeated and late, member rows are outdated, and daemons die
// and register.
func TestAcceptanceRandomSchedules(t *testing.T) {
	accepted := 0
	for seed := range uint64(scheduleCount) {
		reached, err := runSchedule(rand.New(rand.NewPCG(seed, 2)))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if reached {
			accepted++
		}
	}
	t.Logf("%d of %d schedules reached accepted", accepted, scheduleCount)
	if accepted < scheduleCount/10 {
		t.Fatal("fewer than a tenth of the schedules reached accepted")
	}
}

// runSchedule runs one random schedule and reports whether its version was accepted.
func runSchedule(random *rand.Rand) (bool, error) {
	cluster := &clusterModel{headVersion: 4, tableRevision: 10}
	reads := make([]rollout.Event, 0, 8)
	for range random.IntN(5) {
		cluster.register(random.IntN(4), 4)
		reads = append(reads, cluster.readMembers())
	}
	cluster.tableRevision++
	cluster.headVersion = 5
	tracker := rollout.NewAcceptanceTracker(5, cluster.tableRevision)
	previous := tracker.State().String()
	for range random.IntN(150) {
		event := cluster.step(random, &reads)
		if event == nil {
			continue
		}
		accepted := tracker.Step(event)
		state := tracker.State().String()
		if accepted != (state == "accepted") {
			return false, fmt.Errorf("the result of Step is %v in state %s", accepted, state)
		}
		if previous == "accepted" && state != "accepted" {
			return false, fmt.Errorf("state changed from accepted to %s", state)
		}
		if previous != "accepted" && state == "accepted" && !cluster.allConfirmed(5) {
			return false, errors.New("accepted while a live member has an older version active")
		}
		previous = state
	}
	return previous == "accepted", nil
}

// step changes the cluster or returns an event to deliver.
func (m *clusterModel) step(random *rand.Rand, reads *[]rollout.Event) rollout.Event {
	action := random.IntN(12)
	if len(m.members) == 0 {
		action = max(action, 9)
	}
	switch action {
	case 0, 1:
		member := m.members[random.IntN(len(m.members))]
		member.activeVersion = max(member.activeVersion, 4+random.Uint64N(m.headVersion-3))
	case 2:
		if random.IntN(3) == 0 {
			m.members[random.IntN(len(m.members))].dead = true
			m.tableRevision++
		}
	case 3, 4, 5:
		m.requestStatus(m.members[random.IntN(len(m.members))])
	case 6, 7:
		if len(m.responses) > 0 {
			return m.responses[random.IntN(len(m.responses))]
		}
	case 8:
		return rollout.NewStatusFailed(m.members[random.IntN(len(m.members))].incarnation, "no answer")
	case 9:
		m.register(random.IntN(4), 4+random.Uint64N(m.headVersion-3))
	case 10:
		*reads = append(*reads, m.readMembers())
	default:
		if len(*reads) > 0 {
			return (*reads)[random.IntN(len(*reads))]
		}
	}
	return nil
}

// Guards against a pending state without the region, the instance or the reason of
// an unconfirmed member.
func TestPendingReasons(t *testing.T) {
	is := is.New(t)
	tracker := rollout.NewAcceptanceTracker(7, 20)
	members := []rollout.Member{
		rollout.NewMember(1, "kano-1", "kano", false), rollout.NewMember(2, "lagos-1", "lagos", false), rollout.NewMember(3, "kano-0", "kano", false),
		rollout.NewMember(4, "enugu-1", "enugu", true), rollout.NewMember(5, "kano-2", "kano", false),
	}
	is.True(!tracker.Step(rollout.NewMembersRead(19, members)))
	is.Equal(tracker.State().String(), "stored")
	tracker.Step(rollout.NewMembersRead(20, members))
	tracker.Step(rollout.NewStatusReceived(1, 1, 6))
	tracker.Step(rollout.NewStatusFailed(3, "no answer within 1 s"))
	tracker.Step(rollout.NewStatusReceived(5, 9, 8))
	is.True(!tracker.Step(rollout.NewStatusReceived(2, 2, 8)))
	pending := ""
	for _, region := range tracker.State().(rollout.Pending).Regions() {
		for _, member := range region.Members() {
			pending += fmt.Sprintf("%s/%s %s\n", region.Region(), member.Instance(), member.Reason())
		}
	}
	is.Equal(pending, "kano/kano-0 no answer within 1 s\nkano/kano-1 has version 6 in force\nkano/kano-2 its address answers as incarnation 0000000000000009\n")
	is.True(!tracker.Step(rollout.NewAcceptedVersionRead(6)))
	is.True(tracker.Step(rollout.NewAcceptedVersionRead(7)))
}

// Guards against an accepted version in the table that is lowered by an operator who
// marks an older version, or by a delayed write.
func TestAcceptedVersionNeverDecreases(t *testing.T) {
	checkWithFakeClock(t, func(draw *rapid.T) func() error {
		target := newTable(rapid.Uint64().Draw(draw, "seed"), rapid.IntRange(0, 30).Draw(draw, "lossPercent"))
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 6).Draw(draw, "versions")
		return func() error { return checkAcceptedVersion(target, versions) }
	})
}

func checkAcceptedVersion(target *lossyTable, versions []uint64) error {
	ctx := context.Background()
	var highest, last uint64
	var decreaseErr error
	target.beforeCommit = func() {
		accepted, _ := rollout.ReadAcceptedVersion(ctx, target)
		if accepted < last {
			decreaseErr = fmt.Errorf("accepted version decreased from %d to %d", last, accepted)
		}
		last = accepted
	}
	for _, version := range versions {
		if rollout.MarkAccepted(ctx, target, version, 1) == nil {
			highest = max(highest, version)
		}
	}
	if accepted, _ := rollout.ReadAcceptedVersion(ctx, target); accepted < highest {
		return fmt.Errorf("accepted version is %d after MarkAccepted succeeded for %d", accepted, highest)
	}
	return decreaseErr
}
