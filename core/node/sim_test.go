package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/node"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// maxRatePPM is the maximum deviation of a clock's rate in parts per million. The rates
// of two clocks differ by at most 1%.
const maxRatePPM = 4950

var service = identity.NewService("attire", "bookings")

// sim simulates nodes in virtual time, in milliseconds, with a fake network and table.
type sim struct {
	rng       *rand.Rand
	now       int64
	queue     [][]func()
	processes []*process
	table     *fakeTable
	catalog   template.Catalog
	settle    clock.Millis
	keys      []simKey
	// executions holds the possible executions of requests for each key.
	executions   map[simKey][]*execution
	highestEpoch map[simKey]identity.Epoch
	// lostAt holds the time at which the owner of a key was killed, until the key is
	// served again. The duration is then appended to recoveryTimes.
	lostAt        map[simKey]int64
	recoveryTimes []int64
	messageLoss   float64
	// cutLinks holds the pairs of instances, from and to, whose messages are dropped.
	cutLinks        map[[2]int]bool
	extraTableDelay int64
	failure         string
	trace           func(string)
	// onLeave, if not nil, is called with the index of the instance that left.
	onLeave func(int)
	policy  node.Option
	// tightTiming makes delays and ticks short and clock rates extreme, so that little
	// more than the margins of the protocol prevents two owners at the same time.
	tightTiming bool
	// naive makes processes trust their copy of the table's rows and ignore the lease.
	naive bool
}

// simKey is a hot key of a shard, or with key "" all keys of the shard that are not hot.
type simKey struct {
	shard shard.ID
	key   string
}

// execution records that requests for a key may run at a process's upstream until a time
// on the process's clock, the latest deadline that an admitted request can have.
type execution struct {
	process    *process
	epoch      identity.Epoch
	until      clock.Millis
	lastServed int64
}

// process is one process of an instance. A restart is another process with the same
// index.
type process struct {
	sim                  *sim
	index                int
	node                 *node.Node
	instance             membership.Instance
	ratePPM, clockOffset int64
	alive, hasLeft       bool
	pausedUntil          int64
	backlog              []node.Event
	units                map[ownership.Unit]bool
	configVersion        uint64
	incarnation          identity.Incarnation
	leaseEnd             clock.Millis
	checkedSnapshot      *node.Snapshot
	// localKeys holds the keys that this process owns according to checkedSnapshot.
	localKeys        []simKey
	keyed            bool
	tableUnreachable bool
}

func newSim(seed uint64, shards int, fencing upstream.Fencing, settle clock.Millis) *sim {
	s := &sim{
		rng:          rand.New(rand.NewPCG(seed, 1)),
		queue:        make([][]func(), 1, 60000),
		executions:   map[simKey][]*execution{},
		highestEpoch: map[simKey]identity.Epoch{},
		lostAt:       map[simKey]int64{},
		cutLinks:     map[[2]int]bool{},
		settle:       settle,
		trace:        func(string) {},
	}
	rules := template.NewServiceRules(service.Name(), nil, template.WithShards(uint32(shards)), template.WithFencing(fencing, settle))
	s.catalog = template.NewCatalog(1, map[string]template.ServiceRules{service.String(): rules})
	s.table = newFakeTable(s)
	for i := range shards {
		s.keys = append(s.keys, simKey{shard.ID(i), ""})
		if i%4 == 0 {
			s.keys = append(s.keys, simKey{shard.ID(i), fmt.Sprintf("hot%d", i)})
		}
	}
	return s
}

// after calls fn when delay has passed in virtual time.
func (s *sim) after(delay int64, fn func()) {
	at := int(s.now + max(delay, 0))
	for len(s.queue) <= at {
		s.queue = append(s.queue, nil)
	}
	s.queue[at] = append(s.queue[at], fn)
}

func (s *sim) runUntil(end int64) {
	for s.now <= end && s.failure == "" {
		for len(s.queue) <= int(s.now) {
			s.queue = append(s.queue, nil)
		}
		for i := 0; i < len(s.queue[s.now]) && s.failure == ""; i++ {
			s.queue[s.now][i]()
		}
		s.queue[s.now] = nil
		s.now++
	}
}

// fail ends the simulation with its first failure.
func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("t=%d: ", s.now) + fmt.Sprintf(format, args...)
		s.trace(s.failure)
	}
}

func (s *sim) address(i int) string { return fmt.Sprintf("127.0.0.%d:1", i+1) }

// latestProcess returns the latest process of instance i, dead or alive, or nil.
func (s *sim) latestProcess(i int) *process {
	for _, p := range slices.Backward(s.processes) {
		if p.index == i {
			return p
		}
	}
	return nil
}

// start starts a process of instance i, which must not have a live one.
func (s *sim) start(i int, location identity.Location, keyed bool) {
	instance := membership.NewInstance(fmt.Sprintf("i%d", i), "http"+s.address(i), s.address(i), location)
	p := &process{
		sim: s, index: i, instance: instance, alive: true, keyed: keyed,
		ratePPM: s.rng.Int64N(2*maxRatePPM+1) - maxRatePPM, clockOffset: s.rng.Int64N(1e6), units: map[ownership.Unit]bool{},
	}
	if s.tightTiming {
		p.ratePPM = maxRatePPM - 2*maxRatePPM*s.rng.Int64N(2)
	}
	options := []node.Option{}
	if s.policy != nil {
		options = append(options, s.policy)
	}
	p.node = node.New(node.NewSettings(instance, options...), p.now(), s.rng.Uint64())
	s.processes = append(s.processes, p)
	p.deliver(node.NewCatalogChanged(s.catalog))
	if keyed {
		p.deliver(node.NewUpstreamAnnounced(p.announcement()))
	}
	p.tick()
}

func (p *process) announcement() membership.Announcement {
	return membership.NewAnnouncement(service, 12, 110, upstream.FencingDeadline, 0)
}

// now returns the time of the process's clock.
func (p *process) now() clock.Millis {
	return clock.Millis(p.clockOffset + p.sim.now + p.sim.now*p.ratePPM/1e6)
}

func (p *process) tick() {
	if !p.alive {
		return
	}
	if p.sim.now >= p.pausedUntil {
		p.deliver(node.Tick{})
	}
	interval := int64(node.TickInterval)
	if p.sim.tightTiming {
		interval = 8
	}
	p.sim.after(interval, p.tick)
}

// pause suspends the process and queues its events until it resumes. In half of the cases
// a tick precedes the queued events.
func (p *process) pause(duration int64) {
	p.pausedUntil = p.sim.now + duration
	p.sim.after(duration, func() {
		if p.sim.now < p.pausedUntil {
			return
		}
		if p.sim.rng.IntN(2) == 0 {
			p.deliver(node.Tick{})
		}
		backlog := p.backlog
		p.backlog = nil
		for _, e := range backlog {
			p.deliver(e)
		}
	})
}

func (p *process) deliver(e node.Event) {
	switch {
	case !p.alive || p.sim.failure != "":
	case p.sim.now < p.pausedUntil:
		p.backlog = append(p.backlog, e)
	default:
		for _, action := range p.node.Step(p.now(), e) {
			p.execute(action)
		}
		p.checkInvariants()
	}
}

func (p *process) execute(action node.Action) {
	switch a := action.(type) {
	case node.Send:
		p.sim.send(p, a)
	case node.Scan:
		p.sim.table.scan(p, a)
	case node.Commit:
		p.sim.table.commit(p, a)
	case node.ServeShard:
		p.sim.trace(fmt.Sprintf("%6d i%d serve unit=%v epoch=%d", p.sim.now, p.index, a.Unit(), a.Epoch()))
		p.units[a.Unit()] = true
		p.sim.after(int64(a.ServeFrom()-p.now())*102/100, p.checkInvariants)
	case node.StopShard:
		p.sim.trace(fmt.Sprintf("%6d i%d stop unit=%v epoch=%d drain=%t", p.sim.now, p.index, a.Unit(), a.Epoch(), a.DrainExpected()))
		p.stopUnit(a)
	case node.LogEvent:
		line := fmt.Sprintf("%6d i%d %s", p.sim.now, p.index, a.Name())
		for _, f := range a.Fields() {
			line += " " + f.Key() + "=" + f.Value()
		}
		p.sim.trace(line)
	case node.DrainCompleted:
		p.alive, p.hasLeft = false, true
		if p.sim.onLeave != nil {
			p.sim.after(1, func() { p.sim.onLeave(p.index) })
		}
	}
}

// stopUnit stops a unit. Its requests in flight end within 200 ms.
func (p *process) stopUnit(a node.StopShard) {
	delete(p.units, a.Unit())
	if !a.DrainExpected() {
		return
	}
	stopped := p.sim.now
	p.sim.after(p.sim.rng.Int64N(200), func() {
		if !p.alive {
			return
		}
		for _, key := range p.sim.keys {
			isOwned := p.units[ownership.NewUnit(key.shard, key.key)]
			if key.shard != a.Unit().Shard() || (a.Unit().HotKey() != key.key && (a.Unit().HotKey() != "" || isOwned)) {
				continue
			}
			p.sim.executions[key] = slices.DeleteFunc(p.sim.executions[key], func(o *execution) bool {
				return o.process == p && o.lastServed <= stopped
			})
		}
		p.deliver(node.NewShardDrained(service, a.Unit(), a.Epoch()))
	})
}

// send delivers a message with delay, unless it is lost or its link is cut.
func (s *sim) send(p *process, a node.Send) {
	var to int
	if _, err := fmt.Sscanf(a.Address(), "127.0.0.%d:1", &to); err != nil {
		s.fail("message sent to unknown address %q", a.Address())
		return
	}
	to--
	if s.cutLinks[[2]int{p.index, to}] || s.rng.Float64() < s.messageLoss {
		return
	}
	delay := 1 + s.rng.Int64N(4)
	if q := s.latestProcess(to); q != nil && q.instance.Location().Region() != p.instance.Location().Region() {
		delay += 19
	}
	if s.tightTiming {
		delay = s.rng.Int64N(2)
	}
	if s.rng.IntN(50) == 0 {
		delay += s.rng.Int64N(400)
	}
	s.after(delay, func() {
		if q := s.latestProcess(to); q != nil && q.alive {
			q.deliver(node.NewMessageReceived(a.Envelope()))
			return
		}
		p.deliver(node.NewSendFailed(a))
	})
}

// inject delivers a message that no process sent.
func (s *sim) inject(to int, m peer.Message) {
	if q := s.latestProcess(to); q != nil {
		q.deliver(node.NewMessageReceived(peer.NewEnvelope(1, 0, "127.0.0.99:1", m)))
	}
}

// serves reports whether p admits requests for a key now, as the request path does.
func (p *process) serves(key simKey) (node.Owner, bool) {
	snapshot, now := p.node.Snapshot(), p.now()
	owner, ok := snapshot.Owner(service, key.shard, key.key)
	return owner, ok && owner.IsLocal() && owner.Admits(now) && (p.sim.naive || snapshot.LeaseValid(now))
}

// checkInvariants checks the keys that p serves now: no requests of another process may
// run for the same key. Epochs, the configuration and the lease of an incarnation must not
// go back.
func (p *process) checkInvariants() {
	s, snapshot := p.sim, p.node.Snapshot()
	if !p.alive || s.now < p.pausedUntil {
		return
	}
	if head, ok := snapshot.ConfigRow("config/head"); ok {
		if uint64(head.Version()) < p.configVersion {
			s.fail("i%d reverted its configuration from version %d to %d", p.index, p.configVersion, head.Version())
		}
		p.configVersion = uint64(head.Version())
	}
	if snapshot.Incarnation() == p.incarnation && snapshot.LeaseEnd() < p.leaseEnd && p.now() < p.leaseEnd {
		s.fail("i%d shortened its lease from %d to %d ms: requests in flight have the old deadline", p.index, p.leaseEnd, snapshot.LeaseEnd())
	}
	p.incarnation, p.leaseEnd = snapshot.Incarnation(), snapshot.LeaseEnd()
	if snapshot != p.checkedSnapshot {
		p.checkedSnapshot, p.localKeys = snapshot, p.localKeys[:0]
		for _, key := range s.keys {
			if owner, ok := snapshot.Owner(service, key.shard, key.key); ok && owner.IsLocal() {
				p.localKeys = append(p.localKeys, key)
			}
		}
	}
	for _, key := range p.localKeys {
		owner, serves := p.serves(key)
		if !serves {
			continue
		}
		p.recordExecution(key, owner.Epoch(), max(snapshot.LeaseEnd(), p.now()+1)+s.settle)
		if at, lost := s.lostAt[key]; lost {
			delete(s.lostAt, key)
			s.recoveryTimes = append(s.recoveryTimes, s.now-at)
		}
	}
}

// recordExecution records that requests for a key may run at p until a time on its clock.
// It fails the simulation if another process may run some or a later epoch was served.
func (p *process) recordExecution(key simKey, epoch identity.Epoch, until clock.Millis) {
	s := p.sim
	var own *execution
	s.executions[key] = slices.DeleteFunc(s.executions[key], func(o *execution) bool { return o.process.now() >= o.until })
	for _, o := range s.executions[key] {
		if o.process == p && o.epoch == epoch {
			own = o
			continue
		}
		if o.process != p {
			s.fail("key %v is served by i%d at epoch %d, and by i%d at epoch %d for %d ms more", key, p.index, epoch, o.process.index, o.epoch, o.until-o.process.now())
		}
	}
	if epoch < s.highestEpoch[key] {
		s.fail("key %v is served by i%d at epoch %d after epoch %d", key, p.index, epoch, s.highestEpoch[key])
	}
	s.highestEpoch[key] = epoch
	if own == nil {
		own = &execution{process: p, epoch: epoch}
		s.executions[key] = append(s.executions[key], own)
	}
	own.until, own.lastServed = until, s.now
}

// kill ends the process and records when its keys were lost.
func (p *process) kill() {
	if !p.alive {
		return
	}
	for _, key := range p.sim.keys {
		if _, serves := p.serves(key); serves && p.sim.now >= p.pausedUntil {
			p.sim.lostAt[key] = p.sim.now
		}
	}
	p.alive = false
}

// unservedKeys returns the keys that no process serves.
func (s *sim) unservedKeys(keys []simKey) []simKey {
	return slices.DeleteFunc(slices.Clone(keys), func(key simKey) bool {
		return slices.ContainsFunc(s.processes, func(p *process) bool {
			_, serves := p.serves(key)
			return serves && p.alive
		})
	})
}
