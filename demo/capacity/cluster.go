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

// instant is a point of virtual time in units of 100 microseconds.
type instant int64

const (
	millisecond instant = 10
	second              = 1000 * millisecond

	// sameDomainDelay is an assumption; the others are in section 1.3 of the
	// design page.
	sameDomainDelay  = millisecond / 5
	otherDomainDelay = 14 * millisecond / 10
	otherRegionDelay = 20 * millisecond
	// tableTime is the assumed time of the table service for one request.
	tableTime = 4 * millisecond
	// servingInterval is the resolution of the times until a unit is served.
	servingInterval = 10 * millisecond

	failureDomains = 7
	// firstRegionDomains of the failure domains are in the first region.
	firstRegionDomains = 4

	headKey = node.ConfigPrefix + "head"
	// configRowBytes is the assumed size of an organisation's configuration row.
	configRowBytes = 2048
	// loadInterval is that of the daemon's load reports.
	loadInterval = second
)

// unit is a shard of a service.
type unit struct {
	service identity.Service
	unit    ownership.Unit
}

// tableCounts are the table requests and the traffic in one virtual second.
type tableCounts struct {
	// Reads counts scans; a daemon scans three prefixes in one poll.
	Reads int `json:"reads"`
	// Writes counts transactions, among them those that conflict.
	Writes    int `json:"writes"`
	Rows      int `json:"rows"`
	Conflicts int `json:"conflicts"`
	// bytes are those that all daemons sent and received.
	bytes int
}

// cluster runs daemons at a virtual time.
type cluster struct {
	ctx    context.Context
	now    instant
	queue  map[instant][]func()
	random *rand.Rand
	table  *memory.Table
	counts map[int64]*tableCounts
	rules  map[string]template.ServiceRules
	// unitBusy is the slot time that each unit uses in a load interval.
	unitBusy  float64
	processes []*process
	byAddress map[string]*process
	serving   map[unit]*process
	// lost holds the units that nobody serves and since when.
	lost      map[unit]instant
	recovered []float64
	lastWrite instant
}

// serviceNames are spread over the instances of each failure domain in this
// order: three services of each organisation, of which that with keys has half
// of the instances.
func serviceNames() []string {
	return []string{"bookings", "signoff", "catalogue", "checklist", "bookings", "signoff", "patterns", "welcome"}
}

// serviceOf returns the service of an instance, and whether it has keys.
func serviceOf(index int) (identity.Service, bool) {
	names := serviceNames()
	position := index / failureDomains % len(names)
	organisation := []string{"attire", "onboarding"}[position%2]
	return identity.NewService(organisation, names[position]), position%4 < 2
}

func newCluster(ctx context.Context, seed uint64, daemons int, shards uint32) *cluster {
	c := &cluster{
		ctx:   ctx,
		queue: map[instant][]func(){}, random: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // Runs must repeat for a seed.
		table: memory.New(), counts: map[int64]*tableCounts{}, byAddress: map[string]*process{},
		serving: map[unit]*process{}, lost: map[unit]instant{}, rules: map[string]template.ServiceRules{},
	}
	owners := float64(daemons) / 4
	c.unitBusy = float64(loadInterval/millisecond) * slots * meanUse * owners / float64(shards)
	for i := range serviceNames() {
		service, keyed := serviceOf(i * failureDomains)
		options := []template.ServiceOption{template.WithFencing(upstream.FencingEpoch, 0)}
		if keyed {
			options = append(options, template.WithShards(shards))
			for id := range shards {
				c.lost[unit{service, ownership.NewUnit(shard.ID(id), "")}] = 0
			}
		}
		c.rules[service.String()] = template.NewServiceRules(service.Name(), nil, options...)
	}
	c.changeConfig()
	c.after(servingInterval, c.checkServing)
	return c
}

// changeConfig writes a configuration version as an operator would, and returns
// its revision.
func (c *cluster) changeConfig() table.Revision {
	body := make([]byte, configRowBytes)
	for i := range body {
		body[i] = byte('a' + c.random.IntN(26))
	}
	mutations := []table.Mutation{table.NewPut(headKey, []byte(fmt.Sprint(c.now))), table.NewPut(node.ConfigPrefix+"organisation/attire", body)}
	revision, err := c.table.Commit(context.Background(), table.NewTransaction(nil, mutations))
	if err != nil {
		// A commit without conditions to a table in memory can't fail.
		panic(err)
	}
	return revision
}

func (c *cluster) after(delay instant, fn func()) {
	c.queue[c.now+delay] = append(c.queue[c.now+delay], fn)
}

// run lets virtual time pass until end. Nothing happens any more once the
// context has ended.
func (c *cluster) run(end instant) {
	for ; c.now < end; c.now++ {
		if c.ctx.Err() != nil {
			continue
		}
		for i := 0; i < len(c.queue[c.now]); i++ {
			c.queue[c.now][i]()
		}
		delete(c.queue, c.now)
	}
}

// runUntil lets time pass until done, checked each 100 ms, and tells whether it
// came before the limit.
func (c *cluster) runUntil(limit instant, done func() bool) bool {
	for end := c.now + limit; c.now < end; {
		if done() {
			return true
		}
		c.run(c.now + second/10)
	}
	return done()
}

func (c *cluster) clock() clock.Millis { return clock.Millis(c.now / millisecond) }

// checkServing notes the lost units that a live member with a valid lease serves.
func (c *cluster) checkServing() {
	for u, since := range c.lost {
		p := c.serving[u]
		if p == nil || !p.alive || !p.node.Snapshot().LeaseValid(c.clock()) {
			continue
		}
		delete(c.lost, u)
		c.recovered = append(c.recovered, float64(c.now-since)/float64(millisecond))
	}
	c.after(servingInterval, c.checkServing)
}

func (c *cluster) alive() []*process {
	var alive []*process
	for _, p := range c.processes {
		if p.alive {
			alive = append(alive, p)
		}
	}
	return alive
}

// settled tells whether each unit is served and each member has three witnesses
// and a lease.
func (c *cluster) settled() bool {
	for _, p := range c.alive() {
		snapshot := p.node.Snapshot()
		if !snapshot.LeaseValid(c.clock()) || len(snapshot.Self().Witnesses()) != 3 {
			return false
		}
	}
	return len(c.lost) == 0
}

// calm tells whether the planners have made no move in their last two plans.
func (c *cluster) calm() bool { return c.settled() && c.now-c.lastWrite > calmTime }

func (c *cluster) count() *tableCounts {
	at := int64(c.now / second)
	if c.counts[at] == nil {
		c.counts[at] = &tableCounts{}
	}
	return c.counts[at]
}

// tableDelay is the one-way delay to the table, which is in the first region.
func (p *process) tableDelay() instant {
	if p.domain >= firstRegionDomains {
		return otherRegionDelay
	}
	return otherDomainDelay
}

func (p *process) scan(action node.Scan) {
	c := p.cluster
	c.after(p.tableDelay()+tableTime, func() {
		c.count().Reads += len(scannedPrefixes())
		rows, revision := make([]table.Row, 0, len(scannedPrefixes())), table.Revision(0)
		for _, prefix := range scannedPrefixes() {
			part, at, err := c.table.Scan(context.Background(), prefix, action.Since())
			if err != nil {
				panic(err) // A table in memory fails only when its context ends.
			}
			revision = at
			rows = append(rows, copyRows(part)...)
		}
		c.after(p.tableDelay(), func() { p.step(node.NewScanCompleted(action.Since(), revision, rows)) })
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

func (p *process) commit(action node.Commit) {
	c := p.cluster
	c.after(p.tableDelay()+tableTime, func() {
		counts := c.count()
		counts.Writes++
		c.lastWrite = c.now
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
		c.after(p.tableDelay(), func() { p.step(event) })
	})
}
