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

// simulatedCluster is a session with daemons that load versions, respond late or
// not at all, die and register while a command runs.
type simulatedCluster struct {
	*session
	mutex          sync.Mutex
	random         *rand.Rand
	configVersions map[identity.Incarnation]uint64
	dead           map[identity.Incarnation]bool
}

// Status returns the status of the daemon at an address after a random delay. At
// random, the response is lost.
func (c *simulatedCluster) Status(ctx context.Context, address string) (*peerpb.StatusResponse, error) {
	c.mutex.Lock()
	var incarnation identity.Incarnation
	_, _ = fmt.Sscanf(address, "127.0.0.%d:9090", &incarnation)
	response := &peerpb.StatusResponse{Incarnation: uint64(incarnation), ConfigVersion: c.configVersions[incarnation]}
	delay, lost := time.Duration(c.random.IntN(800))*time.Millisecond, c.random.IntN(4) == 0
	c.mutex.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(delay):
	}
	if lost {
		return nil, errors.New("response lost")
	}
	return response, nil
}

// step applies random changes to the daemons. A daemon registers only with the
// newest version, because its registration is conditional on the head.
func (c *simulatedCluster) step() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	rows, _ := rollout.LoadRows(c.ctx, c.table)
	versions, _ := rollout.DecodeVersions(rows)
	for incarnation, version := range c.configVersions {
		switch c.random.IntN(10) {
		case 0:
			c.configVersions[incarnation] = max(version, versions.Head().Version())
		case 1:
			if c.random.IntN(8) == 0 && !c.dead[incarnation] {
				c.dead[incarnation] = true
				c.addMember(incarnation, "lagos", bookingsService(), membership.StateDead)
			}
		}
	}
	if c.random.IntN(20) == 0 {
		c.register(versions.Head().Version())
	}
}

func (c *simulatedCluster) register(version uint64) {
	incarnation := identity.Incarnation(len(c.configVersions) + 1)
	c.configVersions[incarnation] = version
	c.addMember(incarnation, "lagos", bookingsService(), membership.StateActive)
}

// Guards against an apply that reports a version as accepted, or stores it as the
// accepted version, while a member that is not dead has an older version in force,
// and against an accepted version that decreases.
func TestApplyRandomSchedules(t *testing.T) {
	codes := map[int]int{}
	for seed := range uint64(scheduleCount) {
		synctest.Test(t, func(t *testing.T) {
			cluster := &simulatedCluster{
				session: newSession(t), random: rand.New(rand.NewPCG(seed, 3)),
				configVersions: map[identity.Incarnation]uint64{}, dead: map[identity.Incarnation]bool{},
			}
			for range 4 {
				cluster.register(0)
			}
			for version := range uint64(3) {
				code, err := cluster.runApply(version)
				codes[code]++
				if err != nil {
					t.Fatalf("seed %d, version %d: %v", seed, version+1, err)
				}
			}
		})
	}
	t.Logf("exit codes: %v", codes)
	if codes[command.ExitOK] == 0 || codes[command.ExitPending] == 0 {
		t.Fatalf("schedules must end both accepted and pending, got exit codes %v", codes)
	}
}

// runApply applies the version after baseVersion while the cluster changes, and checks
// each accepted version that it reads.
func (c *simulatedCluster) runApply(baseVersion uint64) (int, error) {
	files := []string{"../../examples/lending-service.json", "../../examples/lagos.json"}
	if baseVersion > 0 {
		files = []string{c.writeFile("edited.json", strings.Replace(lagosDocument, "90000", fmt.Sprint(90000+baseVersion), 1))}
	}
	done, code := make(chan struct{}), 0
	c.table.lostResponses = c.random.IntN(3)
	go func() {
		code = command.Run(c.ctx, command.NewEnvironment(command.WithOutput(io.Discard, io.Discard), command.WithDaemonClient(c), command.WithDefaultAuthor("ada"),
			command.WithPlatform(func(string, string) (table.Table, object.Store, error) { return c.table, memory.New(), nil }),
		), append([]string{"apply", "--table", "http://t:1", "--expect", fmt.Sprint(baseVersion), "--timeout", "3s"}, files...))
		close(done)
	}()
	acceptedVersion := uint64(0)
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(150 * time.Millisecond):
			c.step()
		}
		current, err := rollout.ReadAcceptedVersion(c.ctx, c.table)
		if err != nil || current < acceptedVersion {
			return code, fmt.Errorf("accepted version unreadable or decreased: previous %d, current %d: %w", acceptedVersion, current, err)
		}
		acceptedVersion = current
		for incarnation, version := range c.configVersions {
			if !c.dead[incarnation] && version < current {
				return code, fmt.Errorf("accepted version is %d, but %s has version %d in force", current, incarnation, version)
			}
		}
	}
	if code == command.ExitOK && acceptedVersion != baseVersion+1 {
		return code, fmt.Errorf("apply reported acceptance, but the accepted version is %d", acceptedVersion)
	}
	return code, nil
}
