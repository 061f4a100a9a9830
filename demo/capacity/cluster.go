// Package capacity measures the cost of the control plane per daemon. It simulates a
// cluster in one process: the control state machines of many daemons run in virtual time,
// exchange messages with fixed delays, and share an in-memory table.
package capacity

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/node"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
	"briarwell.dev/core/table/memory"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// virtualTime is a time or a duration of the simulation, in units of 100 microseconds. A
// simulation starts at 0.
type virtualTime int64

const (
	millisecond virtualTime = 10
	second                  = 1000 * millisecond

	// The one-way network delays between daemons in the same failure domain, in two
	// failure domains of a region, and in two regions. The first is an assumption, the
	// others are in section 1.3 of the design page.
	sameDomainDelay  = millisecond / 5
	otherDomainDelay = 14 * millisecond / 10
	otherRegionDelay = 20 * millisecond
	// tableLatency is the assumed time in which the table service handles a request.
	tableLatency = 4 * millisecond
	// recoveryCheckInterval is the resolution of the measured times until a unit is served.
	recoveryCheckInterval = 10 * millisecond

	failureDomainCount = 7
	// firstRegionDomainCount is the number of failure domains in the first region. The
	// others are in the second.
	firstRegionDomainCount = 4

	// configHeadKey is the table key of the row that changes with each configuration
	// version.
	configHeadKey = node.ConfigPrefix + "head"
	// configRowBytes is the assumed size of the configuration row of an organisation.
	configRowBytes = 2048
	// loadReportInterval is the interval at which a daemon measures the load of its units.
	loadReportInterval = second
)

// serviceUnit identifies a unit of ownership of a service, here always a shard.
type serviceUnit struct {
	service identity.Service
	unit    ownership.Unit
}

// secondCounts holds the table requests and the message traffic of all daemons in one
// virtual second.
type secondCounts struct {
	// Reads is the number of scans. A daemon scans three prefixes in each poll.
	Reads int `json:"reads"`
	// Writes is the number of transactions, including those with a conflict.
	Writes int `json:"writes"`
	// Rows is the number of rows that the transactions wrote.
	Rows      int `json:"rows"`
	Conflicts int `json:"conflicts"`
	// messageBytes is the size of the messages that all daemons sent and received.
	messageBytes int
}

// cluster simulates daemons in virtual time. It is not safe for concurrent use.
type cluster struct {
	ctx context.Context
	now virtualTime
	// scheduled holds the functions to call at each time, in the order of the calls.
	scheduled map[virtualTime][]func()
	random    *rand.Rand
	table     *memory.Table
	// countsBySecond has the number of the virtual second as key.
	countsBySecond map[int64]*secondCounts
	// rules holds the rules of each service by its full name.
	rules map[string]template.ServiceRules
	// unitBusySlotMillis is the busy slot time of each unit in a load report interval.
	unitBusySlotMillis float64
	processes          []*process
	processByAddress   map[string]*process
	processByUnit      map[serviceUnit]*process
	// unservedSince holds the units that no daemon serves, and when they were lost. A new
	// cluster has all units, with time 0.
	unservedSince map[serviceUnit]virtualTime
	// recoveryMillis holds the times from the loss of a unit until it was served again,
	// since the start of the last disturbance.
	recoveryMillis []float64
	// lastCommit is when the last transaction reached the table.
	lastCommit virtualTime
}

// serviceNames returns the services of the instances in each failure domain, which repeat
// in this order. The two organisations alternate. Each has three services, and its service
// with keys has half of its instances.
func serviceNames() []string {
	return []string{"bookings", "signoff", "catalogue", "checklist", "bookings", "signoff", "patterns", "welcome"}
}

// serviceOfInstance returns the service of the instance with the given index, and whether
// the service has keys.
func serviceOfInstance(index int) (identity.Service, bool) {
	names := serviceNames()
	position := index / failureDomainCount % len(names)
	organisation := []string{"attire", "onboarding"}[position%2]
	return identity.NewService(organisation, names[position]), position%4 < 2
}

// newCluster returns a cluster without processes, whose table has a configuration. The
// number of daemons determines the load of each unit.
func newCluster(ctx context.Context, seed uint64, daemons int, shards uint32) *cluster {
	c := &cluster{
		ctx:       ctx,
		scheduled: map[virtualTime][]func(){}, random: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // Runs must repeat for a seed.
		table: memory.New(), countsBySecond: map[int64]*secondCounts{}, processByAddress: map[string]*process{},
		processByUnit: map[serviceUnit]*process{}, unservedSince: map[serviceUnit]virtualTime{}, rules: map[string]template.ServiceRules{},
	}
	owners := float64(daemons) / 4
	c.unitBusySlotMillis = float64(loadReportInterval/millisecond) * slotsPerUpstream * slotUseShare * owners / float64(shards)
	for i := range serviceNames() {
		service, keyed := serviceOfInstance(i * failureDomainCount)
		options := []template.ServiceOption{template.WithFencing(upstream.FencingEpoch, 0)}
		if keyed {
			options = append(options, template.WithShards(shards))
			for id := range shards {
				c.unservedSince[serviceUnit{service, ownership.NewUnit(shard.ID(id), "")}] = 0
			}
		}
		c.rules[service.String()] = template.NewServiceRules(service.Name(), nil, options...)
	}
	c.writeConfig()
	c.schedule(recoveryCheckInterval, c.recordRecoveries)
	return c
}

// writeConfig writes a new configuration version to the table, as an edit by an operator
// does, and returns its revision.
func (c *cluster) writeConfig() table.Revision {
	body := make([]byte, configRowBytes)
	for i := range body {
		body[i] = byte('a' + c.random.IntN(26))
	}
	mutations := []table.Mutation{table.NewPut(configHeadKey, []byte(fmt.Sprint(c.now))), table.NewPut(node.ConfigPrefix+"organisation/attire", body)}
	revision, err := c.table.Commit(context.Background(), table.NewTransaction(nil, mutations))
	if err != nil {
		// A commit without conditions to the in-memory table can't fail.
		panic(err)
	}
	return revision
}

// schedule calls fn after the delay.
func (c *cluster) schedule(delay virtualTime, fn func()) {
	c.scheduled[c.now+delay] = append(c.scheduled[c.now+delay], fn)
}

// runTo advances virtual time to end and calls the scheduled functions. Once the context
// has ended, it calls none of them.
func (c *cluster) runTo(end virtualTime) {
	for ; c.now < end; c.now++ {
		if c.ctx.Err() != nil {
			continue
		}
		for i := 0; i < len(c.scheduled[c.now]); i++ {
			c.scheduled[c.now][i]()
		}
		delete(c.scheduled, c.now)
	}
}

// runUntil advances virtual time until done returns true, but by no more than limit. It
// calls done every 100 ms and reports whether it returned true.
func (c *cluster) runUntil(limit virtualTime, done func() bool) bool {
	for end := c.now + limit; c.now < end; {
		if done() {
			return true
		}
		c.runTo(c.now + second/10)
	}
	return done()
}

// clockMillis returns the current time on the clock of the daemons.
func (c *cluster) clockMillis() clock.Millis { return clock.Millis(c.now / millisecond) }

// recordRecoveries records the recovery time of each unserved unit that a running daemon
// with a valid lease now serves. It schedules its next call.
func (c *cluster) recordRecoveries() {
	for u, since := range c.unservedSince {
		p := c.processByUnit[u]
		if p == nil || !p.alive || !p.node.Snapshot().LeaseValid(c.clockMillis()) {
			continue
		}
		delete(c.unservedSince, u)
		c.recoveryMillis = append(c.recoveryMillis, float64(c.now-since)/float64(millisecond))
	}
	c.schedule(recoveryCheckInterval, c.recordRecoveries)
}

func (c *cluster) aliveProcesses() []*process {
	var alive []*process
	for _, p := range c.processes {
		if p.alive {
			alive = append(alive, p)
		}
	}
	return alive
}

// isSettled reports whether each unit is served and each running daemon has three witnesses
// and a valid lease.
func (c *cluster) isSettled() bool {
	for _, p := range c.aliveProcesses() {
		snapshot := p.node.Snapshot()
		if !snapshot.LeaseValid(c.clockMillis()) || len(snapshot.Self().Witnesses()) != 3 {
			return false
		}
	}
	return len(c.unservedSince) == 0
}

// isStable reports whether the cluster is settled and the daemons have sent no table
// transaction for stableTime, so that the last two placement plans made no move.
func (c *cluster) isStable() bool { return c.isSettled() && c.now-c.lastCommit > stableTime }

// currentCounts returns the counts of the current virtual second.
func (c *cluster) currentCounts() *secondCounts {
	currentSecond := int64(c.now / second)
	if c.countsBySecond[currentSecond] == nil {
		c.countsBySecond[currentSecond] = &secondCounts{}
	}
	return c.countsBySecond[currentSecond]
}

// tableDelay returns the one-way delay to the table, which is in the first region.
func (p *process) tableDelay() virtualTime {
	if p.failureDomain >= firstRegionDomainCount {
		return otherRegionDelay
	}
	return otherDomainDelay
}

// scanTable performs a scan and passes the result to the node after the delays.
func (p *process) scanTable(action node.Scan) {
	c := p.cluster
	c.schedule(p.tableDelay()+tableLatency, func() {
		c.currentCounts().Reads += len(scannedPrefixes())
		rows, revision := make([]table.Row, 0, len(scannedPrefixes())), table.Revision(0)
		for _, prefix := range scannedPrefixes() {
			part, at, err := c.table.Scan(context.Background(), prefix, action.Since())
			if err != nil {
				panic(err) // The in-memory table fails only when its context ends.
			}
			revision = at
			rows = append(rows, copyRows(part)...)
		}
		c.schedule(p.tableDelay(), func() { p.step(node.NewScanCompleted(action.Since(), revision, rows)) })
	})
}

// scannedPrefixes returns the key prefixes that a daemon scans in each poll.
func scannedPrefixes() []string { return []string{"member/", "shards/", node.ConfigPrefix} }

// copyRows returns a deep copy of the rows, so that each daemon has its own memory for
// them, as with rows decoded from a response.
func copyRows(rows []table.Row) []table.Row {
	copied := make([]table.Row, 0, len(rows))
	for _, row := range rows {
		copied = append(copied, table.NewRow(string([]byte(row.Key())), row.Version(), append([]byte(nil), row.Value()...)))
	}
	return copied
}

// commitTransaction commits a transaction and passes the result to the node after the
// delays.
func (p *process) commitTransaction(action node.Commit) {
	c := p.cluster
	c.schedule(p.tableDelay()+tableLatency, func() {
		counts := c.currentCounts()
		counts.Writes++
		c.lastCommit = c.now
		revision, err := c.table.Commit(context.Background(), action.Transaction())
		var event node.Event = node.NewCommitted(action.ID(), revision)
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			counts.Conflicts++
			event = node.NewConflicted(action.ID())
		} else {
			// A daemon adds the token row of section 2.4 of the design page.
			counts.Rows += len(action.Transaction().Mutations()) + 1
		}
		c.schedule(p.tableDelay(), func() { p.step(event) })
	})
}
