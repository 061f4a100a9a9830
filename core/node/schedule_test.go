package node_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/node"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/upstream"
)

const (
	// startupTime is the time in milliseconds at which the first fault may occur.
	startupTime = 6000
	// faultTime is the time in milliseconds during which faults occur. In one of eight
	// schedules it is longFaultTime, which is longer than the bootstrap window and a
	// replacement together.
	faultTime     = 14000
	longFaultTime = 24000
	// maxMoveTime is the maximum time in milliseconds of a planned move: 200 ms for the
	// requests in flight, and its transactions.
	maxMoveTime = 1000
	// lossRecoveryTarget is the time in milliseconds within which the shards of one lost
	// daemon must be served again. The settle time of upstreams without fencing is
	// added.
	lossRecoveryTarget = 3000
	// recoveryTarget is the time in milliseconds after the last fault within which every
	// shard must be served: BootstrapWindow and PromiseLength with clock drift,
	// B*(1+drift) + L*(1+drift), for the promises of dead witnesses, and the target for
	// a loss.
	recoveryTarget = 11615 + lossRecoveryTarget
)

// scheduleResult is the result of one schedule. The failure is "" if it passed.
type scheduleResult struct {
	seed          uint64
	failure       string
	singleLoss    bool
	recoveryTimes []int64
}

// schedule is a simulation with faults that are determined by a seed.
type schedule struct {
	*sim
	seed      uint64
	faultTime int64
	locations []identity.Location
	keyed     []bool
}

func newSchedule(seed uint64, trace func(string)) *schedule {
	rng := newSim(seed, 0, upstream.FencingDeadline, 0).rng
	fencing, settle := upstream.FencingDeadline, clock.Millis(0)
	if rng.IntN(4) == 0 {
		fencing, settle = upstream.FencingNone, clock.Millis(rng.Int64N(900))
	}
	c := &schedule{sim: newSim(seed+1e9, 4+rng.IntN(8), fencing, settle), seed: seed}
	if trace != nil {
		c.trace = trace
	}
	c.tightTiming, c.faultTime = rng.IntN(4) == 0, faultTime
	if rng.IntN(8) == 0 {
		c.faultTime = longFaultTime
	}
	nodes, regions, domains := 3+rng.IntN(5), 1+rng.IntN(2), 1+rng.IntN(3)
	for i := range nodes {
		region := i % regions
		c.locations = append(c.locations, identity.NewLocation(fmt.Sprintf("r%d", region), fmt.Sprintf("r%dd%d", region, i/regions%domains)))
		c.keyed = append(c.keyed, i < 3 || rng.IntN(4) > 0)
		c.after(rng.Int64N(2000), func() { c.start(i, c.locations[i], c.keyed[i]) })
	}
	return c
}

func (c *schedule) randomMember() int { return c.rng.IntN(len(c.locations)) }

// applyFault applies one random fault and ends it after at most duration.
func (c *schedule) applyFault(duration int64) {
	i, j := c.randomMember(), c.randomMember()
	p := c.latestProcess(i)
	traceFault := func(format string, args ...any) {
		c.trace(fmt.Sprintf("%6d fault: %s for %d ms", c.now, fmt.Sprintf(format, args...), duration))
	}
	switch c.rng.IntN(14) {
	case 0, 1:
		traceFault("kill i%d", i)
		p.kill()
		c.after(duration, func() { c.restart(i) })
	case 2, 3:
		traceFault("pause i%d", i)
		p.pause(duration)
	case 4:
		traceFault("messages cut from i%d to i%d", i, j)
		c.cut(duration, [2]int{i, j})
	case 5:
		traceFault("isolate i%d", i)
		for k := range c.locations {
			c.cut(duration, [2]int{i, k}, [2]int{k, i})
		}
	case 6:
		traceFault("partition")
		c.partition(duration)
	case 7:
		c.messageLoss = c.rng.Float64() * 0.6
		traceFault("message loss %f", c.messageLoss)
		c.after(duration, func() { c.messageLoss = 0 })
	case 8:
		traceFault("table outage")
		c.table.outage = true
		c.after(duration, func() { c.table.outage = false })
	case 9:
		traceFault("lost responses, slow table, possibly unreachable for i%d", i)
		c.table.lostResponseRate, c.extraTableDelay, p.tableUnreachable = 0.5, c.rng.Int64N(300), c.rng.IntN(2) == 0
		c.after(duration, func() { c.table.lostResponseRate, c.extraTableDelay, p.tableUnreachable = 0, 0, false })
	case 10:
		traceFault("leave i%d", i)
		p.deliver(node.DrainRequested{})
		c.after(duration, func() { c.restart(i) })
	case 11:
		traceFault("upstream down i%d", i)
		p.deliver(node.UpstreamDown{})
		c.after(duration, func() { p.deliver(node.UpstreamUp{}) })
	case 12:
		traceFault("kill all members or a failure domain")
		all := c.rng.IntN(3) == 0
		for k, location := range c.locations {
			if all || location == c.locations[i] {
				c.latestProcess(k).kill()
				c.after(c.rng.Int64N(duration), func() { c.restart(k) })
			}
		}
	case 13:
		traceFault("20 moves")
		for range 20 {
			c.after(c.rng.Int64N(duration), c.requestMove)
		}
	}
}

func (c *schedule) cut(duration int64, pairs ...[2]int) {
	for _, pair := range pairs {
		c.cutLinks[pair] = true
		c.after(duration, func() { delete(c.cutLinks, pair) })
	}
}

// partition separates the members into two sides, by region or at random. Only one side
// can reach the table.
func (c *schedule) partition(duration int64) {
	sides := 0x55
	if c.rng.IntN(2) == 0 {
		sides = c.rng.IntN(1 << len(c.locations))
	}
	side := func(i int) bool { return sides>>i&1 == 1 }
	for i := range c.locations {
		for j := range c.locations {
			if side(i) != side(j) {
				c.cut(duration, [2]int{i, j})
			}
		}
		if !side(i) {
			p := c.latestProcess(i)
			p.tableUnreachable = true
			c.after(duration, func() { p.tableUnreachable = false })
		}
	}
}

// requestMove requests the move of a random shard or hot key to a random member from all
// members. Only the owner acts on it.
func (c *schedule) requestMove() {
	key := c.keys[c.rng.IntN(len(c.keys))]
	target := peer.NewHandoverTarget(key.shard, key.key, c.latestProcess(c.randomMember()).node.Snapshot().Incarnation())
	for i := range c.locations {
		c.inject(i, peer.NewHandover(service, []peer.HandoverTarget{target}))
	}
}

func (c *schedule) restart(i int) {
	if !c.latestProcess(i).alive {
		c.start(i, c.locations[i], c.keyed[i])
	}
}

// requireServed requires that each key is served at some time within the next
// maxMoveTime, since a planned move may be in progress.
func (c *schedule) requireServed(when string) {
	missing := c.keys
	for end := c.now + maxMoveTime; c.now < end && c.failure == ""; {
		c.runUntil(c.now)
		missing = c.unservedKeys(missing)
	}
	if len(missing) > 0 {
		c.fail("keys %v are not served %s", missing, when)
	}
}

// runSchedule starts a cluster, applies faults, and requires that each key is served
// within recoveryTarget after the faults.
func runSchedule(seed uint64, trace func(string)) scheduleResult {
	c := newSchedule(seed, trace)
	c.runUntil(startupTime - maxMoveTime)
	c.requireServed("at the start")
	singleLoss := seed%5 == 0
	if singleLoss {
		c.latestProcess(c.randomMember()).kill()
		c.runUntil(startupTime + lossRecoveryTarget + int64(c.settle*102/100))
		if len(c.lostAt) > 0 {
			c.fail("keys %v are not served %d ms after a single loss", c.lostAt, lossRecoveryTarget)
		}
		return scheduleResult{seed, c.failure, singleLoss && c.settle == 0, c.recoveryTimes}
	}
	for range 1 + c.rng.IntN(5) {
		at := c.rng.Int64N(c.faultTime)
		c.after(at, func() { c.applyFault(1 + c.rng.Int64N(c.faultTime-at)) })
	}
	for range 3 {
		c.after(c.rng.Int64N(c.faultTime), func() { c.table.put("config/head", []byte("2")) })
	}
	c.runUntil(startupTime + c.faultTime)
	// A single member cannot have a lease, so members that are still leaving are
	// restarted.
	c.onLeave = c.restart
	for i := range c.locations {
		c.restart(i)
	}
	c.runUntil(startupTime + c.faultTime + recoveryTarget - maxMoveTime)
	c.requireServed("after the faults")
	return scheduleResult{seed, c.failure, singleLoss, c.recoveryTimes}
}

func envInt(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return fallback
}

func distribution(times []int64) string {
	if len(times) == 0 {
		return "none"
	}
	slices.Sort(times)
	at := func(share float64) int64 { return times[int(share*float64(len(times)-1))] }
	return fmt.Sprintf("n=%d min=%d p50=%d p90=%d p99=%d p99.9=%d max=%d ms", len(times), times[0], at(.5), at(.9), at(.99), at(.999), times[len(times)-1])
}

// TestFaultSchedules guards against two owners at the same time, lost assignments,
// decreasing epochs, reverted configuration and shards that stay unserved.
// BRIARWELL_SCHEDULES sets the number of seeds and BRIARWELL_SEED the first one.
// BRIARWELL_FAIL_FAST=1 ends the test at the first failure.
func TestFaultSchedules(t *testing.T) {
	is := is.New(t)
	count, first := envInt("BRIARWELL_SCHEDULES", defaultSchedules), envInt("BRIARWELL_SEED", 1)
	var mutex sync.Mutex
	var failed []scheduleResult
	var singleLoss, mixed []int64
	var stop atomic.Bool
	failFast := envInt("BRIARWELL_FAIL_FAST", 0) != 0
	workers := pool.New().WithMaxGoroutines(3)
	for i := range count {
		workers.Go(func() {
			if failFast && stop.Load() {
				return
			}
			o := runSchedule(uint64(first+i), nil)
			mutex.Lock()
			defer mutex.Unlock()
			if o.failure != "" {
				stop.Store(true)
				failed = append(failed, o)
			}
			if o.singleLoss {
				singleLoss = append(singleLoss, o.recoveryTimes...)
			} else {
				mixed = append(mixed, o.recoveryTimes...)
			}
		})
	}
	workers.Wait()
	t.Logf("%d schedules from seed %d, %d failed", count, first, len(failed))
	t.Logf("time from a single loss until served again, by key: %s", distribution(singleLoss))
	t.Logf("the same among other faults: %s", distribution(mixed))
	slices.SortFunc(failed, func(a, b scheduleResult) int { return int(a.seed) - int(b.seed) })
	for _, o := range failed[:min(len(failed), 10)] {
		t.Logf("seed %d: %s", o.seed, o.failure)
	}
	is.Equal(len(failed), 0) // the failed seeds are logged above; BRIARWELL_TRACE=seed traces one
}

// TestSameSeedSameDecisions guards against decisions that differ between runs of the same
// seed, for example because they depend on the iteration order of a map.
func TestSameSeedSameDecisions(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		var first, second strings.Builder
		runSchedule(seed, func(line string) { first.WriteString(line + "\n") })
		runSchedule(seed, func(line string) { second.WriteString(line + "\n") })
		is.Equal(first.String(), second.String())
	}
}

// TestTrace logs the decisions of the schedule whose seed BRIARWELL_TRACE gives.
func TestTrace(t *testing.T) {
	seed := envInt("BRIARWELL_TRACE", 0)
	if seed == 0 {
		return
	}
	t.Log(runSchedule(uint64(seed), func(line string) { t.Log(line) }).failure)
}
