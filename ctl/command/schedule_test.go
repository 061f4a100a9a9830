package command_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/object"
	"briarwell.dev/core/object/memory"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/table"
	"briarwell.dev/ctl/command"
)

const scheduleCount = 60

// simulatedCluster is a fleet whose daemons learn versions, freeze, die and register
// while a command runs.
type simulatedCluster struct {
	*session
	mutex   sync.Mutex
	random  *rand.Rand
	inForce map[identity.Incarnation]uint64
	dead    map[identity.Incarnation]bool
}

// Status answers for the daemon at an address, late or not at all at times.
func (r *simulatedCluster) Status(ctx context.Context, address string) (*peerpb.StatusResponse, error) {
	r.mutex.Lock()
	var incarnation identity.Incarnation
	_, _ = fmt.Sscanf(address, "127.0.0.%d:9090", &incarnation)
	answer := &peerpb.StatusResponse{Incarnation: uint64(incarnation), ConfigVersion: r.inForce[incarnation]}
	delay, lost := time.Duration(r.random.IntN(800))*time.Millisecond, r.random.IntN(4) == 0
	r.mutex.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(delay):
	}
	if lost {
		return nil, errors.New("no answer")
	}
	return answer, nil
}

// step lets time pass for the fleet. A daemon registers only with the newest
// version, as its registration is conditional on the head.
func (r *simulatedCluster) step() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	rows, _ := rollout.LoadRows(r.ctx, r.table)
	versions, _ := rollout.DecodeVersions(rows)
	for incarnation, version := range r.inForce {
		switch r.random.IntN(10) {
		case 0:
			r.inForce[incarnation] = max(version, versions.Head().Version())
		case 1:
			if r.random.IntN(8) == 0 && !r.dead[incarnation] {
				r.dead[incarnation] = true
				r.addMember(incarnation, "lagos", bookingsService(), membership.StateDead)
			}
		}
	}
	if r.random.IntN(20) == 0 {
		r.register(versions.Head().Version())
	}
}

func (r *simulatedCluster) register(version uint64) {
	incarnation := identity.Incarnation(len(r.inForce) + 1)
	r.inForce[incarnation] = version
	r.addMember(incarnation, "lagos", bookingsService(), membership.StateActive)
}

// Guards against an apply that tells accepted, or stores the mark, while a
// member that is not dead has an older version in force, and against a mark
// that falls.
func TestApplyRandomSchedules(t *testing.T) {
	codes := map[int]int{}
	for seed := range uint64(scheduleCount) {
		synctest.Test(t, func(t *testing.T) {
			fleet := &simulatedCluster{
				session: newSession(t), random: rand.New(rand.NewPCG(seed, 3)),
				inForce: map[identity.Incarnation]uint64{}, dead: map[identity.Incarnation]bool{},
			}
			for range 4 {
				fleet.register(0)
			}
			for version := range uint64(3) {
				code, err := fleet.runApply(version)
				codes[code]++
				if err != nil {
					t.Fatalf("seed %d, version %d: %v", seed, version+1, err)
				}
			}
		})
	}
	t.Logf("exit codes: %v", codes)
	if codes[command.ExitOK] == 0 || codes[command.ExitPending] == 0 {
		t.Fatalf("schedules don't reach both accepted and pending: %v", codes)
	}
}

// runApply stores the version after expect while the fleet changes, and checks
// every mark that it sees.
func (r *simulatedCluster) runApply(expect uint64) (int, error) {
	names := []string{"../../examples/lending-service.json", "../../examples/lagos.json"}
	if expect > 0 {
		names = []string{r.writeFile("edited.json", strings.Replace(lagosDocument, "90000", fmt.Sprint(90000+expect), 1))}
	}
	done, code := make(chan struct{}), 0
	r.table.lostResponses = r.random.IntN(3)
	go func() {
		code = command.Run(r.ctx, command.NewEnvironment(command.WithOutput(io.Discard, io.Discard), command.WithDaemonClient(r), command.WithDefaultAuthor("ada"),
			command.WithPlatform(func(string, string) (table.Table, object.Store, error) { return r.table, memory.New(), nil }),
		), append([]string{"apply", "--table", "http://t:1", "--expect", fmt.Sprint(expect), "--timeout", "3s"}, names...))
		close(done)
	}()
	marked := uint64(0)
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(150 * time.Millisecond):
			r.step()
		}
		mark, err := rollout.ReadAcceptedVersion(r.ctx, r.table)
		if err != nil || mark < marked {
			return code, fmt.Errorf("mark fell from %d to %d: %w", marked, mark, err)
		}
		marked = mark
		for incarnation, version := range r.inForce {
			if !r.dead[incarnation] && version < mark {
				return code, fmt.Errorf("mark %d while %s has version %d in force", mark, incarnation, version)
			}
		}
	}
	if code == command.ExitOK && marked != expect+1 {
		return code, fmt.Errorf("told accepted with mark %d", marked)
	}
	return code, nil
}
