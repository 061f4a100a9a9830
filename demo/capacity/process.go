package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/node"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/peer/peercodec"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

const (
	// framingBytes is added to each message: 5 of gRPC, 9 of an HTTP/2 DATA frame
	// and 52 of TCP (with timestamps) and IPv4, and 52 for the acknowledgement in
	// the other direction. Messages are not joined into one packet.
	framingBytes = 5 + 9 + 52 + 52
	slots        = 12
	connections  = 110
	// meanUse is the part of its slots that each upstream reports as used.
	meanUse = 0.5
	// requestsPerDaemon is 2.3 million requests a second over 670 daemons.
	requestsPerDaemon = 3433
)

// traffic counts what one daemon sent and received.
type traffic struct {
	messages int
	bytes    int
	step     time.Duration
	codec    time.Duration
	byKind   map[string]int
}

// process is one daemon; a restart is another process.
type process struct {
	cluster  *cluster
	index    int
	domain   int
	instance membership.Instance
	service  identity.Service
	keyed    bool
	node     *node.Node
	alive    bool
	units    map[ownership.Unit]bool
	traffic  traffic
	head     table.Revision
	headAt   instant
}

func (p *process) count(kind string, size int) {
	p.traffic.messages++
	p.traffic.bytes += size + framingBytes
	p.traffic.byKind[kind] += size + framingBytes
	p.cluster.count().bytes += size + framingBytes
}

// start begins a process of an instance, which must have none.
func (c *cluster) start(index int) {
	domain := index % failureDomains
	region := "first"
	if domain >= firstRegionDomains {
		region = "second"
	}
	address := fmt.Sprintf("10.%d.%d.%d:7400", domain, index/250, index%250)
	instance := membership.NewInstance(fmt.Sprintf("instance-%04d", index), fmt.Sprintf("10.%d.%d.%d:8400", domain, index/250, index%250), address,
		identity.NewLocation(region, fmt.Sprintf("%s-%d", region, domain)))
	service, keyed := serviceOf(index)
	p := &process{
		cluster: c, index: index, domain: domain, instance: instance, service: service, keyed: keyed, alive: true,
		units: map[ownership.Unit]bool{}, traffic: traffic{byKind: map[string]int{}},
	}
	p.node = node.New(node.NewSettings(instance), c.clock(), c.random.Uint64())
	c.processes = append(c.processes, p)
	c.byAddress[address] = p
	p.step(node.NewCatalogChanged(template.NewCatalog(1, c.rules)))
	p.step(node.NewUpstreamAnnounced(membership.NewAnnouncement(service, slots, connections, upstream.FencingEpoch, 0)))
	c.after(instant(c.random.Int64N(int64(node.TickInterval)))*millisecond, p.tick)
	c.after(instant(c.random.Int64N(int64(loadInterval))), p.measureLoad)
}

// kill ends the process without a word to anyone.
func (p *process) kill() {
	p.alive = false
	for u := range p.units {
		key := unit{p.service, u}
		if p.cluster.serving[key] == p {
			p.cluster.lost[key] = p.cluster.now
		}
	}
}

func (p *process) tick() {
	if p.alive {
		p.step(node.Tick{})
		p.cluster.after(instant(node.TickInterval)*millisecond, p.tick)
	}
}

// measureLoad reports the load of the owned units.
func (p *process) measureLoad() {
	if !p.alive {
		return
	}
	interval := clock.Millis(loadInterval / millisecond)
	busy := float64(interval) * slots * meanUse
	units := []peer.UnitLoad{peer.NewUnitLoad(0, "", clock.Millis(busy), requestsPerDaemon)}
	if p.keyed {
		units = units[:0]
		for u := range p.units {
			units = append(units, peer.NewUnitLoad(u.Shard(), "", clock.Millis(p.cluster.unitBusy), requestsPerDaemon/uint64(len(p.units))))
		}
		busy = p.cluster.unitBusy * float64(len(units))
	}
	p.step(node.NewLoadMeasured(interval, clock.Millis(busy), units))
	p.cluster.after(loadInterval, p.measureLoad)
}

// step gives the node an event, and a changed configuration as the driver does.
func (p *process) step(event node.Event) {
	if !p.alive {
		return
	}
	start := time.Now()
	actions := p.node.Step(p.cluster.clock(), event)
	p.traffic.step += time.Since(start)
	for _, action := range actions {
		p.act(action)
	}
	head, ok := p.node.Snapshot().ConfigRow(headKey)
	if !ok || head.Version() == p.head {
		return
	}
	p.head, p.headAt = head.Version(), p.cluster.now
	p.step(node.NewCatalogChanged(template.NewCatalog(uint64(p.head), p.cluster.rules)))
}

func (p *process) act(action node.Action) {
	switch a := action.(type) {
	case node.Send:
		p.send(a)
	case node.Scan:
		p.scan(a)
	case node.Commit:
		p.commit(a)
	case node.ServeShard:
		p.units[a.Unit()] = true
		p.cluster.serving[unit{a.Service(), a.Unit()}] = p
	case node.StopShard:
		delete(p.units, a.Unit())
		if a.DrainExpected() {
			// No order is in flight here, so the unit is drained at once.
			p.cluster.after(0, func() { p.step(node.NewShardDrained(a.Service(), a.Unit(), a.Epoch())) })
		}
	}
}

// send carries a message in its wire form.
func (p *process) send(a node.Send) {
	start := time.Now()
	wire, err := proto.Marshal(peercodec.Encode(a.Envelope()))
	p.traffic.codec += time.Since(start)
	if err != nil {
		panic(err) // An envelope holds only fields that always encode.
	}
	kind := kindOf(a.Envelope().Message())
	p.count(kind, len(wire))
	to := p.cluster.byAddress[a.Address()]
	if to == nil {
		return
	}
	p.cluster.after(p.delay(to), func() { p.cluster.byAddress[a.Address()].receive(kind, wire) })
}

func (p *process) delay(to *process) instant {
	switch {
	case (p.domain < firstRegionDomains) != (to.domain < firstRegionDomains):
		return otherRegionDelay
	case p.domain != to.domain:
		return otherDomainDelay
	default:
		return sameDomainDelay
	}
}

func (p *process) receive(kind string, wire []byte) {
	if !p.alive {
		return
	}
	p.count(kind, len(wire))
	start := time.Now()
	var envelope peerpb.Envelope
	if err := proto.Unmarshal(wire, &envelope); err != nil {
		panic(err) // The bytes come from Marshal.
	}
	decoded, err := peercodec.Decode(&envelope)
	p.traffic.codec += time.Since(start)
	if err != nil {
		panic(err) // The envelope comes from Encode.
	}
	p.step(node.NewMessageReceived(decoded))
}

func kindOf(message peer.Message) string {
	switch message.(type) {
	case peer.Renew, peer.RenewReply:
		return "renew"
	case peer.Sync, peer.SyncReply:
		return "sync"
	case peer.LapseQuery, peer.LapseReply:
		return "lapse"
	case peer.LoadReport:
		return "load"
	default:
		return "other"
	}
}
