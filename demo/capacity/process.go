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
	framingBytes           = 5 + 9 + 52 + 52
	slotsPerUpstream       = 12
	connectionsPerUpstream = 110
	// slotUseShare is the part of its slots that each upstream reports as used.
	slotUseShare = 0.5
	// requestsPerLoadReport is 2.3 million requests a second over 670 daemons.
	requestsPerLoadReport = 3433
)

// processCost counts what one daemon sent and received.
type processCost struct {
	messages    int
	bytes       int
	stepTime    time.Duration
	codecTime   time.Duration
	bytesByKind map[string]int
}

// process is one daemon; a restart is another process.
type process struct {
	cluster          *cluster
	index            int
	failureDomain    int
	instance         membership.Instance
	service          identity.Service
	keyed            bool
	node             *node.Node
	alive            bool
	units            map[ownership.Unit]bool
	cost             processCost
	configRevision   table.Revision
	configReceivedAt virtualTime
}

func (p *process) countMessage(kind string, size int) {
	p.cost.messages++
	p.cost.bytes += size + framingBytes
	p.cost.bytesByKind[kind] += size + framingBytes
	p.cluster.currentCounts().messageBytes += size + framingBytes
}

// startProcess begins a process of an instance, which must have none.
func (c *cluster) startProcess(index int) {
	domain := index % failureDomainCount
	region := "first"
	if domain >= firstRegionDomainCount {
		region = "second"
	}
	address := fmt.Sprintf("10.%d.%d.%d:7400", domain, index/250, index%250)
	instance := membership.NewInstance(fmt.Sprintf("instance-%04d", index), fmt.Sprintf("10.%d.%d.%d:8400", domain, index/250, index%250), address,
		identity.NewLocation(region, fmt.Sprintf("%s-%d", region, domain)))
	service, keyed := serviceOfInstance(index)
	p := &process{
		cluster: c, index: index, failureDomain: domain, instance: instance, service: service, keyed: keyed, alive: true,
		units: map[ownership.Unit]bool{}, cost: processCost{bytesByKind: map[string]int{}},
	}
	p.node = node.New(node.NewSettings(instance), c.clockMillis(), c.random.Uint64())
	c.processes = append(c.processes, p)
	c.processByAddress[address] = p
	p.step(node.NewCatalogChanged(template.NewCatalog(1, c.rules)))
	p.step(node.NewUpstreamAnnounced(membership.NewAnnouncement(service, slotsPerUpstream, connectionsPerUpstream, upstream.FencingEpoch, 0)))
	c.schedule(virtualTime(c.random.Int64N(int64(node.TickInterval)))*millisecond, p.tick)
	c.schedule(virtualTime(c.random.Int64N(int64(loadReportInterval))), p.reportLoad)
}

// kill ends the process without a word to anyone.
func (p *process) kill() {
	p.alive = false
	for u := range p.units {
		key := serviceUnit{p.service, u}
		if p.cluster.processByUnit[key] == p {
			p.cluster.unservedSince[key] = p.cluster.now
		}
	}
}

func (p *process) tick() {
	if p.alive {
		p.step(node.Tick{})
		p.cluster.schedule(virtualTime(node.TickInterval)*millisecond, p.tick)
	}
}

// reportLoad reports the load of the owned units.
func (p *process) reportLoad() {
	if !p.alive {
		return
	}
	interval := clock.Millis(loadReportInterval / millisecond)
	busy := float64(interval) * slotsPerUpstream * slotUseShare
	units := []peer.UnitLoad{peer.NewUnitLoad(0, "", clock.Millis(busy), requestsPerLoadReport)}
	if p.keyed {
		units = units[:0]
		for u := range p.units {
			units = append(units, peer.NewUnitLoad(u.Shard(), "", clock.Millis(p.cluster.unitBusySlotMillis), requestsPerLoadReport/uint64(len(p.units))))
		}
		busy = p.cluster.unitBusySlotMillis * float64(len(units))
	}
	p.step(node.NewLoadMeasured(interval, clock.Millis(busy), units))
	p.cluster.schedule(loadReportInterval, p.reportLoad)
}

// step gives the node an event, and a changed configuration as the driver does.
func (p *process) step(event node.Event) {
	if !p.alive {
		return
	}
	start := time.Now()
	actions := p.node.Step(p.cluster.clockMillis(), event)
	p.cost.stepTime += time.Since(start)
	for _, action := range actions {
		p.execute(action)
	}
	head, ok := p.node.Snapshot().ConfigRow(configHeadKey)
	if !ok || head.Version() == p.configRevision {
		return
	}
	p.configRevision, p.configReceivedAt = head.Version(), p.cluster.now
	p.step(node.NewCatalogChanged(template.NewCatalog(uint64(p.configRevision), p.cluster.rules)))
}

func (p *process) execute(action node.Action) {
	switch a := action.(type) {
	case node.Send:
		p.sendMessage(a)
	case node.Scan:
		p.scanTable(a)
	case node.Commit:
		p.commitTransaction(a)
	case node.ServeShard:
		p.units[a.Unit()] = true
		p.cluster.processByUnit[serviceUnit{a.Service(), a.Unit()}] = p
	case node.StopShard:
		delete(p.units, a.Unit())
		if a.DrainExpected() {
			// No order is in flight here, so the unit is drained at once.
			p.cluster.schedule(0, func() { p.step(node.NewShardDrained(a.Service(), a.Unit(), a.Epoch())) })
		}
	}
}

// sendMessage carries a message in its wire form.
func (p *process) sendMessage(a node.Send) {
	start := time.Now()
	wire, err := proto.Marshal(peercodec.Encode(a.Envelope()))
	p.cost.codecTime += time.Since(start)
	if err != nil {
		panic(err) // An envelope holds only fields that always encode.
	}
	kind := messageKind(a.Envelope().Message())
	p.countMessage(kind, len(wire))
	to := p.cluster.processByAddress[a.Address()]
	if to == nil {
		return
	}
	p.cluster.schedule(p.delayTo(to), func() { p.cluster.processByAddress[a.Address()].receiveMessage(kind, wire) })
}

func (p *process) delayTo(to *process) virtualTime {
	switch {
	case (p.failureDomain < firstRegionDomainCount) != (to.failureDomain < firstRegionDomainCount):
		return otherRegionDelay
	case p.failureDomain != to.failureDomain:
		return otherDomainDelay
	default:
		return sameDomainDelay
	}
}

func (p *process) receiveMessage(kind string, wire []byte) {
	if !p.alive {
		return
	}
	p.countMessage(kind, len(wire))
	start := time.Now()
	var envelope peerpb.Envelope
	if err := proto.Unmarshal(wire, &envelope); err != nil {
		panic(err) // The bytes come from Marshal.
	}
	decoded, err := peercodec.Decode(&envelope)
	p.cost.codecTime += time.Since(start)
	if err != nil {
		panic(err) // The envelope comes from Encode.
	}
	p.step(node.NewMessageReceived(decoded))
}

func messageKind(message peer.Message) string {
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
