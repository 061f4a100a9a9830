// Package capacity measures what the control plane costs each daemon. It runs
// the control state machines of many daemons in one process at a virtual time,
// over a bus with fixed delays and a table in memory.
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

// virtualTime is a point of virtual time in units of 100 microseconds.
type virtualTime int64

const (
	millisecond virtualTime = 10
	second                  = 1000 * millisecond

	// sameDomainDelay is an assumption; the others are in section 1.3 of the
	// design page.
	sameDomainDelay  = millisecond / 5
	otherDomainDelay = 14 * millisecond / 10
	otherRegionDelay = 20 * millisecond
	// tableLatency is the assumed time of the table service for one request.
	tableLatency = 4 * millisecond
	// recoveryCheckInterval is the resolution of the times until a unit is served.
	recoveryCheckInterval = 10 * millisecond

	failureDomainCount = 7
	// firstRegionDomainCount of the failure domains are in the first region.
	firstRegionDomainCount = 4

	configHeadKey = node.ConfigPrefix + "head"
	// configRowBytes is the assumed size of an organisation's configuration row.
	configRowBytes = 2048
	// loadReportInterval is that of the daemon's load reports.
	loadReportInterval = second
)

// serviceUnit is a shard of a service.
type serviceUnit struct {
	service identity.Service
	unit    ownership.Unit
}

// secondCounts are the table requests and the traffic in one virtual second.
type secondCounts struct {
	// Reads counts scans; a daemon scans three prefixes in one poll.
	Reads int `json:"reads"`
	// Writes counts transactions, among them those that conflict.
	Writes    int `json:"writes"`
	Rows      int `json:"rows"`
	Conflicts int `json:"conflicts"`
	// messageBytes are those that all daemons sent and received.
	messageBytes int
}

// cluster runs daemons at a virtual time.
type cluster struct {
	ctx            context.Context
	now            virtualTime
	scheduled      map[virtualTime][]func()
	random         *rand.Rand
	table          *memory.Table
	countsBySecond map[int64]*secondCounts
	rules          map[string]template.ServiceRules
	// unitBusySlotMillis is the slot time that each unit uses in a load interval.
	unitBusySlotMillis float64
	processes          []*process
	processByAddress   map[string]*process
	processByUnit      map[serviceUnit]*process
	// unservedSince holds the units that nobody serves and since when.
	unservedSince  map[serviceUnit]virtualTime
	recoveryMillis []float64
	lastCommit     virtualTime
}

// serviceNames are spread over the instances of each failure domain in this
// order: three services of each organisation, of which that with keys has half
// of the instances.
func serviceNames() []string {
	return []string{"bookings", "signoff", "catalogue", "checklist", "bookings", "signoff", "patterns", "welcome"}
}

// serviceOfInstance returns the service of an instance, and whether it has keys.
func serviceOfInstance(index int) (identity.Service, bool) {
	names := serviceNames()
	position := index / failureDomainCount % len(names)
	organisation := []string{"attire", "onboarding"}[position%2]
	return identity.NewService(organisation, names[position]), position%4 < 2
}

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

// writeConfig writes a configuration version as an operator would, and returns
// its revision.
func (c *cluster) writeConfig() table.Revision {
	body := make([]byte, configRowBytes)
	for i := range body {
		body[i] = byte('a' + c.random.IntN(26))
	}
	mutations := []table.Mutation{table.NewPut(configHeadKey, []byte(fmt.Sprint(c.now))), table.NewPut(node.ConfigPrefix+"organisation/attire", body)}
	revision, err := c.table.Commit(context.Background(), table.NewTransaction(nil, mutations))
	if err != nil {
		// A commit without conditions to a table in memory can't fail.
		panic(err)
	}
	return revision
}

func (c *cluster) schedule(delay virtualTime, fn func()) {
	c.scheduled[c.now+delay] = append(c.scheduled[c.now+delay], fn)
}

// runTo lets virtual time pass until end. Nothing happens any more once the
// context has ended.
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

// runUntil lets time pass until done, checked each 100 ms, and tells whether it
// came before the limit.
func (c *cluster) runUntil(limit virtualTime, done func() bool) bool {
	for end := c.now + limit; c.now < end; {
		if done() {
			return true
		}
		c.runTo(c.now + second/10)
	}
	return done()
}

func (c *cluster) clockMillis() clock.Millis { return clock.Millis(c.now / millisecond) }

// recordRecoveries notes the lost units that a live member with a valid lease serves.
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

// isSettled tells whether each unit is served and each member has three witnesses
// and a lease.
func (c *cluster) isSettled() bool {
	for _, p := range c.aliveProcesses() {
		snapshot := p.node.Snapshot()
		if !snapshot.LeaseValid(c.clockMillis()) || len(snapshot.Self().Witnesses()) != 3 {
			return false
		}
	}
	return len(c.unservedSince) == 0
}

// isStable tells whether the planners have made no move in their last two plans.
func (c *cluster) isStable() bool { return c.isSettled() && c.now-c.lastCommit > stableTime }

func (c *cluster) currentCounts() *secondCounts {
	at := int64(c.now / second)
	if c.countsBySecond[at] == nil {
		c.countsBySecond[at] = &secondCounts{}
	}
	return c.countsBySecond[at]
}

// tableDelay is the one-way delay to the table, which is in the first region.
func (p *process) tableDelay() virtualTime {
	if p.failureDomain >= firstRegionDomainCount {
		return otherRegionDelay
	}
	return otherDomainDelay
}

func (p *process) scanTable(action node.Scan) {
	c := p.cluster
	c.schedule(p.tableDelay()+tableLatency, func() {
		c.currentCounts().Reads += len(scannedPrefixes())
		rows, revision := make([]table.Row, 0, len(scannedPrefixes())), table.Revision(0)
		for _, prefix := range scannedPrefixes() {
			part, at, err := c.table.Scan(context.Background(), prefix, action.Since())
			if err != nil {
				panic(err) // A table in memory fails only when its context ends.
			}
			revision = at
			rows = append(rows, copyRows(part)...)
		}
		c.schedule(p.tableDelay(), func() { p.step(node.NewScanCompleted(action.Since(), revision, rows)) })
	})
}

func scannedPrefixes() []string { return []string{"member/", "shards/", node.ConfigPrefix} }

// copyRows gives a daemon values of its own, as a decoded answer has them.
func copyRows(rows []table.Row) []table.Row {
	copied := make([]table.Row, 0, len(rows))
	for _, row := range rows {
		copied = append(copied, table.NewRow(string([]byte(row.Key())), row.Version(), append([]byte(nil), row.Value()...)))
	}
	return copied
}

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
			// The token row of section 2.4 is written too.
			counts.Rows += len(action.Transaction().Mutations()) + 1
		}
		c.schedule(p.tableDelay(), func() { p.step(event) })
	})
}
