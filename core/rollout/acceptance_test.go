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

// simulatedDaemon is a daemon of the schedule: in force holds its version, which only
// rises, and dead is its mark in the table.
type simulatedDaemon struct {
	incarnation identity.Incarnation
	address     int
	inForce     uint64
	dead        bool
}

// clusterModel is a model of members, their versions and the messages under way.
type clusterModel struct {
	head          uint64
	tableRevision table.Revision
	members       []*simulatedDaemon
	answers       []rollout.Event
}

func (f *clusterModel) rows() rollout.MembersRead {
	members := make([]rollout.Member, 0, len(f.members))
	for _, member := range f.members {
		members = append(members, rollout.NewMember(member.incarnation, fmt.Sprint("i", member.address), fmt.Sprint("r", member.address%3), member.dead))
	}
	return rollout.NewMembersRead(f.tableRevision, members)
}

// register starts a process that has loaded some version. The table accepts
// the registration only if that version is the head.
func (f *clusterModel) register(address int, loaded uint64) {
	if loaded != f.head {
		return
	}
	f.tableRevision++
	f.members = append(f.members, &simulatedDaemon{incarnation: identity.Incarnation(len(f.members) + 1), address: address, inForce: loaded})
}

// ask lets the newest process at a member's address answer, now or later.
func (f *clusterModel) ask(asked *simulatedDaemon) {
	answering := asked
	for _, member := range f.members {
		if member.address == asked.address {
			answering = member
		}
	}
	f.answers = append(f.answers, rollout.NewStatusReceived(asked.incarnation, answering.incarnation, answering.inForce))
}

func (f *clusterModel) allConfirmed(version uint64) bool {
	for _, member := range f.members {
		if !member.dead && member.inForce < version {
			return false
		}
	}
	return true
}

const scheduleCount = 20_000

// Guards against accepted being told while a member that is not dead still has
// an older version in force, and against accepted being taken back. Answers are
// lost, repeated and late; member rows are old; processes die and register.
func TestAcceptanceRandomSchedules(t *testing.T) {
	accepted := 0
	for seed := range uint64(scheduleCount) {
		ok, err := runSchedule(rand.New(rand.NewPCG(seed, 2)))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if ok {
			accepted++
		}
	}
	t.Logf("%d of %d schedules reached accepted", accepted, scheduleCount)
	if accepted < scheduleCount/10 {
		t.Fatal("too few schedules reach accepted to test it")
	}
}

func runSchedule(random *rand.Rand) (bool, error) {
	world := &clusterModel{head: 4, tableRevision: 10}
	reads := make([]rollout.Event, 0, 8)
	for range random.IntN(5) {
		world.register(random.IntN(4), 4)
		reads = append(reads, world.rows())
	}
	world.tableRevision++
	world.head = 5
	acceptance := rollout.NewAcceptanceTracker(5, world.tableRevision)
	before := acceptance.State().String()
	for range random.IntN(150) {
		event := world.step(random, &reads)
		if event == nil {
			continue
		}
		accepted := acceptance.Step(event)
		state := acceptance.State().String()
		if accepted != (state == "accepted") {
			return false, fmt.Errorf("step tells accepted %v in state %s", accepted, state)
		}
		if before == "accepted" && state != "accepted" {
			return false, fmt.Errorf("accepted became %s", state)
		}
		if before != "accepted" && state == "accepted" && !world.allConfirmed(5) {
			return false, errors.New("accepted while a live member has an older version in force")
		}
		before = state
	}
	return before == "accepted", nil
}

// step changes the fleet or returns an event to deliver.
func (f *clusterModel) step(random *rand.Rand, reads *[]rollout.Event) rollout.Event {
	action := random.IntN(12)
	if len(f.members) == 0 {
		action = max(action, 9)
	}
	switch action {
	case 0, 1:
		member := f.members[random.IntN(len(f.members))]
		member.inForce = max(member.inForce, 4+random.Uint64N(f.head-3))
	case 2:
		if random.IntN(3) == 0 {
			f.members[random.IntN(len(f.members))].dead = true
			f.tableRevision++
		}
	case 3, 4, 5:
		f.ask(f.members[random.IntN(len(f.members))])
	case 6, 7:
		if len(f.answers) > 0 {
			return f.answers[random.IntN(len(f.answers))]
		}
	case 8:
		return rollout.NewStatusFailed(f.members[random.IntN(len(f.members))].incarnation, "no answer")
	case 9:
		f.register(random.IntN(4), 4+random.Uint64N(f.head-3))
	case 10:
		*reads = append(*reads, f.rows())
	default:
		if len(*reads) > 0 {
			return (*reads)[random.IntN(len(*reads))]
		}
	}
	return nil
}

// Guards against a pending state that doesn't say where and why.
func TestPendingReasons(t *testing.T) {
	is := is.New(t)
	acceptance := rollout.NewAcceptanceTracker(7, 20)
	members := []rollout.Member{
		rollout.NewMember(1, "kano-1", "kano", false), rollout.NewMember(2, "lagos-1", "lagos", false), rollout.NewMember(3, "kano-0", "kano", false),
		rollout.NewMember(4, "enugu-1", "enugu", true), rollout.NewMember(5, "kano-2", "kano", false),
	}
	is.True(!acceptance.Step(rollout.NewMembersRead(19, members)))
	is.Equal(acceptance.State().String(), "stored")
	acceptance.Step(rollout.NewMembersRead(20, members))
	acceptance.Step(rollout.NewStatusReceived(1, 1, 6))
	acceptance.Step(rollout.NewStatusFailed(3, "no answer within 1 s"))
	acceptance.Step(rollout.NewStatusReceived(5, 9, 8))
	is.True(!acceptance.Step(rollout.NewStatusReceived(2, 2, 8)))
	found := ""
	for _, region := range acceptance.State().(rollout.Pending).Regions() {
		for _, member := range region.Members() {
			found += fmt.Sprintf("%s/%s %s\n", region.Region(), member.Instance(), member.Reason())
		}
	}
	is.Equal(found, "kano/kano-0 no answer within 1 s\nkano/kano-1 has version 6 in force\nkano/kano-2 its address answers as incarnation 0000000000000009\n")
	is.True(!acceptance.Step(rollout.NewAcceptedVersionRead(6)))
	is.True(acceptance.Step(rollout.NewAcceptedVersionRead(7)))
}

// Guards against an accepted mark that an operator with an older version, or a
// late write, takes back.
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
	var fell error
	target.beforeCommit = func() {
		marked, _ := rollout.ReadAcceptedVersion(ctx, target)
		if marked < last {
			fell = fmt.Errorf("mark went from %d to %d", last, marked)
		}
		last = marked
	}
	for _, version := range versions {
		if rollout.MarkAccepted(ctx, target, version, 1) == nil {
			highest = max(highest, version)
		}
	}
	if marked, _ := rollout.ReadAcceptedVersion(ctx, target); marked < highest {
		return fmt.Errorf("mark is %d after %d was told as marked", marked, highest)
	}
	return fell
}
