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

// maxRate is the largest deviation of a clock's rate in millionths: the rates of
// two clocks differ by at most 1%.
const maxRate = 4950

var service = identity.NewService("attire", "bookings")

// sim runs nodes at a virtual time in milliseconds on a fake bus and table.
type sim struct {
	rng     *rand.Rand
	t       int64
	queue   [][]func()
	procs   []*proc
	table   *fakeTable
	catalog template.Catalog
	settle  clock.Millis
	keys    []simKey
	occupy  map[simKey][]*occupancy
	highest map[simKey]identity.Epoch
	lostAt  map[simKey]int64
	again   []int64
	loss    float64
	cuts    map[[2]int]bool
	slow    int64
	failure string
	trace   func(string)
	// onLeft, if set, is called with the instance of a process that left.
	onLeft func(int)
	policy node.Option
	// sharp makes delays and ticks short and clock rates extreme, so that little
	// but the margins of the protocol keeps owners apart.
	sharp bool
	// naive makes processes trust their copy of the table's rows and no lease.
	naive bool
}

// simKey is a key of a shard; "" stands for all keys that are not hot.
type simKey struct {
	shard shard.ID
	key   string
}

// occupancy says that orders for a key may run at a process's upstream until a
// point on its clock: the largest deadline that an admitted order can have.
type occupancy struct {
	proc   *proc
	epoch  identity.Epoch
	bound  clock.Millis
	served int64
}

// proc is one process; a restart is another proc with the same index.
type proc struct {
	s           *sim
	index       int
	node        *node.Node
	instance    membership.Instance
	ppm, offset int64
	alive, left bool
	pausedUntil int64
	backlog     []node.Event
	units       map[ownership.Unit]bool
	configSeen  uint64
	incarnation identity.Incarnation
	leaseEnd    clock.Millis
	// local are the keys that the checked snapshot gives to this process.
	checked  *node.Snapshot
	local    []simKey
	keyed    bool
	cutTable bool
}

func newSim(seed uint64, shards int, fencing upstream.Fencing, settle clock.Millis) *sim {
	s := &sim{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		queue:   make([][]func(), 1, 60000),
		occupy:  map[simKey][]*occupancy{},
		highest: map[simKey]identity.Epoch{},
		lostAt:  map[simKey]int64{},
		cuts:    map[[2]int]bool{},
		settle:  settle,
		trace:   func(string) {},
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

func (s *sim) after(delay int64, fn func()) {
	at := int(s.t + max(delay, 0))
	for len(s.queue) <= at {
		s.queue = append(s.queue, nil)
	}
	s.queue[at] = append(s.queue[at], fn)
}

func (s *sim) run(end int64) {
	for s.t <= end && s.failure == "" {
		for len(s.queue) <= int(s.t) {
			s.queue = append(s.queue, nil)
		}
		for i := 0; i < len(s.queue[s.t]) && s.failure == ""; i++ {
			s.queue[s.t][i]()
		}
		s.queue[s.t] = nil
		s.t++
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("t=%d: ", s.t) + fmt.Sprintf(format, args...)
		s.trace(s.failure)
	}
}

func (s *sim) address(i int) string { return fmt.Sprintf("127.0.0.%d:1", i+1) }

func (s *sim) current(i int) *proc {
	for _, p := range slices.Backward(s.procs) {
		if p.index == i {
			return p
		}
	}
	return nil
}

// start begins a process of instance i, which must have none.
func (s *sim) start(i int, location identity.Location, keyed bool) {
	instance := membership.NewInstance(fmt.Sprintf("i%d", i), "http"+s.address(i), s.address(i), location)
	p := &proc{
		s: s, index: i, instance: instance, alive: true, keyed: keyed,
		ppm: s.rng.Int64N(2*maxRate+1) - maxRate, offset: s.rng.Int64N(1e6), units: map[ownership.Unit]bool{},
	}
	if s.sharp {
		p.ppm = maxRate - 2*maxRate*s.rng.Int64N(2)
	}
	options := []node.Option{}
	if s.policy != nil {
		options = append(options, s.policy)
	}
	p.node = node.New(node.NewSettings(instance, options...), p.now(), s.rng.Uint64())
	s.procs = append(s.procs, p)
	p.deliver(node.NewCatalogChanged(s.catalog))
	if keyed {
		p.deliver(node.NewUpstreamAnnounced(p.announcement()))
	}
	p.tick()
}

func (p *proc) announcement() membership.Announcement {
	return membership.NewAnnouncement(service, 12, 110, upstream.FencingDeadline, 0)
}

// now reads the process's clock; two rates differ by at most 1%.
func (p *proc) now() clock.Millis {
	return clock.Millis(p.offset + p.s.t + p.s.t*p.ppm/1e6)
}

func (p *proc) tick() {
	if !p.alive {
		return
	}
	if p.s.t >= p.pausedUntil {
		p.deliver(node.Tick{})
	}
	interval := int64(node.TickInterval)
	if p.s.sharp {
		interval = 8
	}
	p.s.after(interval, p.tick)
}

func (p *proc) pause(duration int64) {
	p.pausedUntil = p.s.t + duration
	p.s.after(duration, func() {
		if p.s.t < p.pausedUntil {
			return
		}
		if p.s.rng.IntN(2) == 0 {
			p.deliver(node.Tick{})
		}
		backlog := p.backlog
		p.backlog = nil
		for _, e := range backlog {
			p.deliver(e)
		}
	})
}

func (p *proc) deliver(e node.Event) {
	switch {
	case !p.alive || p.s.failure != "":
	case p.s.t < p.pausedUntil:
		p.backlog = append(p.backlog, e)
	default:
		for _, action := range p.node.Step(p.now(), e) {
			p.act(action)
		}
		p.check()
	}
}

func (p *proc) act(action node.Action) {
	switch a := action.(type) {
	case node.Send:
		p.s.send(p, a)
	case node.Scan:
		p.s.table.scan(p, a)
	case node.Commit:
		p.s.table.commit(p, a)
	case node.ServeShard:
		p.s.trace(fmt.Sprintf("%6d i%d serve unit=%v epoch=%d", p.s.t, p.index, a.Unit(), a.Epoch()))
		p.units[a.Unit()] = true
		p.s.after(int64(a.ServeFrom()-p.now())*102/100, p.check)
	case node.StopShard:
		p.s.trace(fmt.Sprintf("%6d i%d stop unit=%v epoch=%d drain=%t", p.s.t, p.index, a.Unit(), a.Epoch(), a.DrainExpected()))
		p.stop(a)
	case node.LogEvent:
		line := fmt.Sprintf("%6d i%d %s", p.s.t, p.index, a.Name())
		for _, f := range a.Fields() {
			line += " " + f.Key() + "=" + f.Value()
		}
		p.s.trace(line)
	case node.DrainCompleted:
		p.alive, p.left = false, true
		if p.s.onLeft != nil {
			p.s.after(1, func() { p.s.onLeft(p.index) })
		}
	}
}

// stop lets the orders in flight end some time after their admission stopped.
func (p *proc) stop(a node.StopShard) {
	delete(p.units, a.Unit())
	if !a.DrainExpected() {
		return
	}
	stopped := p.s.t
	p.s.after(p.s.rng.Int64N(200), func() {
		if !p.alive {
			return
		}
		for _, key := range p.s.keys {
			own := p.units[ownership.NewUnit(key.shard, key.key)]
			if key.shard != a.Unit().Shard() || (a.Unit().HotKey() != key.key && (a.Unit().HotKey() != "" || own)) {
				continue
			}
			p.s.occupy[key] = slices.DeleteFunc(p.s.occupy[key], func(o *occupancy) bool {
				return o.proc == p && o.served <= stopped
			})
		}
		p.deliver(node.NewShardDrained(service, a.Unit(), a.Epoch()))
	})
}

// send carries a message with delay, loss and cuts.
func (s *sim) send(p *proc, a node.Send) {
	var to int
	if _, err := fmt.Sscanf(a.Address(), "127.0.0.%d:1", &to); err != nil {
		s.fail("message to address %q", a.Address())
		return
	}
	to--
	if s.cuts[[2]int{p.index, to}] || s.rng.Float64() < s.loss {
		return
	}
	delay := 1 + s.rng.Int64N(4)
	if q := s.current(to); q != nil && q.instance.Location().Region() != p.instance.Location().Region() {
		delay += 19
	}
	if s.sharp {
		delay = s.rng.Int64N(2)
	}
	if s.rng.IntN(50) == 0 {
		delay += s.rng.Int64N(400)
	}
	s.after(delay, func() {
		if q := s.current(to); q != nil && q.alive {
			q.deliver(node.NewMessageReceived(a.Envelope()))
			return
		}
		p.deliver(node.NewSendFailed(a))
	})
}

func (s *sim) inject(to int, m peer.Message) {
	if q := s.current(to); q != nil {
		q.deliver(node.NewMessageReceived(peer.NewEnvelope(1, 0, "127.0.0.99:1", m)))
	}
}

// serves tells whether p admits orders for a key now, as the request path would.
func (p *proc) serves(key simKey) (node.Owner, bool) {
	snapshot, now := p.node.Snapshot(), p.now()
	owner, ok := snapshot.Owner(service, key.shard, key.key)
	return owner, ok && owner.IsLocal() && owner.Admits(now) && (p.s.naive || snapshot.LeaseValid(now))
}

// check looks at what p may admit now: no orders of another process may run for
// the same key, and epochs and configuration must not go back.
func (p *proc) check() {
	s, snapshot := p.s, p.node.Snapshot()
	if !p.alive || s.t < p.pausedUntil {
		return
	}
	if head, ok := snapshot.ConfigRow("config/head"); ok {
		if uint64(head.Version()) < p.configSeen {
			s.fail("i%d went back from configuration %d to %d", p.index, p.configSeen, head.Version())
		}
		p.configSeen = uint64(head.Version())
	}
	if snapshot.Incarnation() == p.incarnation && snapshot.LeaseEnd() < p.leaseEnd && p.now() < p.leaseEnd {
		s.fail("i%d shortened its lease from %d to %d: orders in flight have the old deadline", p.index, p.leaseEnd, snapshot.LeaseEnd())
	}
	p.incarnation, p.leaseEnd = snapshot.Incarnation(), snapshot.LeaseEnd()
	if snapshot != p.checked {
		p.checked, p.local = snapshot, p.local[:0]
		for _, key := range s.keys {
			if owner, ok := snapshot.Owner(service, key.shard, key.key); ok && owner.IsLocal() {
				p.local = append(p.local, key)
			}
		}
	}
	for _, key := range p.local {
		owner, serves := p.serves(key)
		if !serves {
			continue
		}
		p.occupies(key, owner.Epoch(), max(snapshot.LeaseEnd(), p.now()+1)+s.settle)
		if at, lost := s.lostAt[key]; lost {
			delete(s.lostAt, key)
			s.again = append(s.again, s.t-at)
		}
	}
}

func (p *proc) occupies(key simKey, epoch identity.Epoch, bound clock.Millis) {
	s := p.s
	var own *occupancy
	s.occupy[key] = slices.DeleteFunc(s.occupy[key], func(o *occupancy) bool { return o.proc.now() >= o.bound })
	for _, o := range s.occupy[key] {
		if o.proc == p && o.epoch == epoch {
			own = o
			continue
		}
		if o.proc != p {
			s.fail("key %v is served by i%d at epoch %d, and by i%d at epoch %d for %d ms more", key, p.index, epoch, o.proc.index, o.epoch, o.bound-o.proc.now())
		}
	}
	if epoch < s.highest[key] {
		s.fail("key %v is served by i%d at epoch %d after epoch %d", key, p.index, epoch, s.highest[key])
	}
	s.highest[key] = epoch
	if own == nil {
		own = &occupancy{proc: p, epoch: epoch}
		s.occupy[key] = append(s.occupy[key], own)
	}
	own.bound, own.served = bound, s.t
}

func (p *proc) kill() {
	if !p.alive {
		return
	}
	for _, key := range p.s.keys {
		if _, serves := p.serves(key); serves && p.s.t >= p.pausedUntil {
			p.s.lostAt[key] = p.s.t
		}
	}
	p.alive = false
}

// unserved returns those of the keys that no process serves.
func (s *sim) unserved(keys []simKey) []simKey {
	return slices.DeleteFunc(slices.Clone(keys), func(key simKey) bool {
		return slices.ContainsFunc(s.procs, func(p *proc) bool {
			_, serves := p.serves(key)
			return serves && p.alive
		})
	})
}
