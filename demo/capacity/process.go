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
	// framingBytes is added to the size of each message: 5 bytes of gRPC, 9 of the HTTP/2
	// DATA frame, 52 of TCP (with timestamps) and IPv4, and 52 of the acknowledgement in
	// the other direction. It is assumed that no two messages share a packet.
	framingBytes = 5 + 9 + 52 + 52
	// slotsPerUpstream is the number of requests that an upstream serves at a time.
	slotsPerUpstream       = 12
	connectionsPerUpstream = 110
	// slotUseShare is the mean share of the slots that is in use.
	slotUseShare = 0.5
	// requestsPerLoadReport is the number of requests to a daemon in a load report interval
	// of 1 s: 2.3 million requests a second spread over 670 daemons.
	requestsPerLoadReport = 3433
)

// processCost holds the messages that one daemon sent and received, their bytes with
// framing, and the wall-clock time of its state machine and message codec.
type processCost struct {
	messages    int
	bytes       int
	stepTime    time.Duration
	codecTime   time.Duration
	bytesByKind map[string]int
}

// process is one process of a daemon. A restart creates another process with the same
// index.
type process struct {
	cluster       *cluster
	index         int
	failureDomain int
	instance      membership.Instance
	service       identity.Service
	keyed         bool
	node          *node.Node
	// alive is false once the process was killed.
	alive bool
	units map[ownership.Unit]bool
	cost  processCost
	// configRevision is the newest configuration revision that the daemon has, and
	// configReceivedAt is when it got it.
	configRevision   table.Revision
	configReceivedAt virtualTime
}

// countMessage counts a message of the given size that the process sent or received.
func (p *process) countMessage(kind string, size int) {
	p.cost.messages++
	p.cost.bytes += size + framingBytes
	p.cost.bytesByKind[kind] += size + framingBytes
	p.cluster.currentCounts().messageBytes += size + framingBytes
}

// startProcess starts the daemon of an instance. The instance must have no running daemon.
func (c *cluster) startProcess(index int) {
	failureDomain := index % failureDomainCount
	region := "first"
	if failureDomain >= firstRegionDomainCount {
		region = "second"
	}
	address := fmt.Sprintf("10.%d.%d.%d:7400", failureDomain, index/250, index%250)
	instance := membership.NewInstance(fmt.Sprintf("instance-%04d", index), fmt.Sprintf("10.%d.%d.%d:8400", failureDomain, index/250, index%250), address,
		identity.NewLocation(region, fmt.Sprintf("%s-%d", region, failureDomain)))
	service, keyed := serviceOfInstance(index)
	p := &process{
		cluster: c, index: index, failureDomain: failureDomain, instance: instance, service: service, keyed: keyed, alive: true,
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

// kill ends the process abruptly: it sends no message and leaves its units unserved.
func (p *process) kill() {
	p.alive = false
	for u := range p.units {
		key := serviceUnit{p.service, u}
		if p.cluster.processByUnit[key] == p {
			p.cluster.unservedSince[key] = p.cluster.now
		}
	}
}

// tick passes a tick to the node at each tick interval.
func (p *process) tick() {
	if p.alive {
		p.step(node.Tick{})
		p.cluster.schedule(virtualTime(node.TickInterval)*millisecond, p.tick)
	}
}

// reportLoad passes the load of the owned units to the node at each load report interval.
// A service without keys reports its load as that of shard 0.
func (p *process) reportLoad() {
	if !p.alive {
		return
	}
	interval := clock.Millis(loadReportInterval / millisecond)
	busySlotMillis := float64(interval) * slotsPerUpstream * slotUseShare
	units := []peer.UnitLoad{peer.NewUnitLoad(0, "", clock.Millis(busySlotMillis), requestsPerLoadReport)}
	if p.keyed {
		units = units[:0]
		for u := range p.units {
			units = append(units, peer.NewUnitLoad(u.Shard(), "", clock.Millis(p.cluster.unitBusySlotMillis), requestsPerLoadReport/uint64(len(p.units))))
		}
		busySlotMillis = p.cluster.unitBusySlotMillis * float64(len(units))
	}
	p.step(node.NewLoadMeasured(interval, clock.Millis(busySlotMillis), units))
	p.cluster.schedule(loadReportInterval, p.reportLoad)
}

// step passes an event to the node and executes the actions that it returns. If the node
// then has a new configuration revision, step passes a changed catalog to it, as the
// daemon does.
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

// execute performs an action of the node. It ignores actions that the simulation does not
// need.
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
			// The simulation has no requests in flight, so the unit is drained at once.
			p.cluster.schedule(0, func() { p.step(node.NewShardDrained(a.Service(), a.Unit(), a.Epoch())) })
		}
	}
}

// sendMessage encodes a message and delivers it after the network delay. The process that
// has the address at the time of delivery receives it.
func (p *process) sendMessage(a node.Send) {
	start := time.Now()
	wire, err := proto.Marshal(peercodec.Encode(a.Envelope()))
	p.cost.codecTime += time.Since(start)
	if err != nil {
		panic(err) // An envelope holds only fields that always encode.
	}
	kind := messageKind(a.Envelope().Message())
	p.countMessage(kind, len(wire))
	receiver := p.cluster.processByAddress[a.Address()]
	if receiver == nil {
		return
	}
	p.cluster.schedule(p.delayTo(receiver), func() { p.cluster.processByAddress[a.Address()].receiveMessage(kind, wire) })
}

// delayTo returns the one-way network delay to another process.
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

// receiveMessage decodes a message and passes it to the node.
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

// messageKind returns the kind by which the cost of a message is reported.
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
