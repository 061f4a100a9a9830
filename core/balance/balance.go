// Package balance chooses the upstream of a request that any upstream of its
// service may run. Load pattern: uneven upstreams far and near, some of them
// slow, full, failing or out of reach.
package balance

import (
	"math"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
)

const (
	// sameDomainTrip, sameRegionTrip and otherRegionTrip are the round trips in
	// milliseconds to an upstream's daemon, measured on the users' links.
	sameDomainTrip  = 0.4
	sameRegionTrip  = 3.0
	otherRegionTrip = 41.0
	// regionPremium is what a large answer from another region counts in
	// milliseconds beyond its trip. Traffic between regions is paid by volume: one
	// such answer costs the users more than it is worth to them, so that another
	// region is asked only where the own one has nobody.
	regionPremium = 1e6
	// reportLife is the age in milliseconds at which a load report counts
	// nothing.
	reportLife clock.Millis = 2000
	// firstService is the service time in milliseconds of an upstream that has
	// not been measured. It is shorter than any, so that a new one is tried.
	firstService = 20.0
	// failureWeight is the weight of the newest request in the share of failures.
	failureWeight = 0.15
	// failureCost is what a share of failures of 1 counts in milliseconds.
	failureCost = 1500.0
	// failureHalfLife is the time in milliseconds in which the share of failures
	// halves without requests, so that an upstream is tried again.
	failureHalfLife = 2500.0
	// firstPause and maxPause bound the time in milliseconds for which a daemon
	// that did not answer gets no requests; it doubles with each failure.
	firstPause clock.Millis = 400
	maxPause   clock.Millis = 3000
	// smallAnswer is the size in bytes of an answer that is not large.
	smallAnswer = 4000
	// jitterShare spreads equal choices of many daemons.
	jitterShare = 0.15
)

// Load is what a daemon says of its upstream.
type Load struct {
	// Running and Waiting are requests, Slots how many can run at once.
	Running int
	Waiting int
	Slots   int
	// Service is the time in milliseconds for which a request holds a slot.
	Service clock.Millis
	// Demand is the share of its slots in percent that all requests for its keys
	// would take, also those that it refused.
	Demand int
	// LinkMbps is the bandwidth of the instance's link in Mbit/s, 0 if it has no
	// limit, and LinkWait the time in milliseconds that it needs for the answers
	// that wait for it.
	LinkMbps int
	LinkWait clock.Millis
}

// Candidate is an upstream that may run a request.
type Candidate struct {
	Name     string
	Location identity.Location
	Slots    int
}

type peerState struct {
	inFlight int
	load     Load
	loadAt   clock.Millis
	// atReport is inFlight when the load was reported.
	atReport int
	known    bool
	failures float64
	failedAt clock.Millis
	pause    clock.Millis
	until    clock.Millis
}

// Balancer remembers what is known of each upstream. The zero value knows
// nothing. It is not safe for concurrent use.
type Balancer struct {
	own   identity.Location
	peers map[string]*peerState
	// large is the mean size of large answers in bytes.
	large float64
}

// New returns a balancer of a daemon at a location.
func New(own identity.Location) *Balancer { return &Balancer{own: own} }

func (b *Balancer) peer(name string) *peerState {
	if b.peers == nil {
		b.peers = make(map[string]*peerState)
	}
	p, ok := b.peers[name]
	if !ok {
		p = &peerState{}
		b.peers[name] = p
	}
	return p
}

// Began counts a request that was sent to the named instance.
func (b *Balancer) Began(name string) { b.peer(name).inFlight++ }

// Ended counts the end of a request.
func (b *Balancer) Ended(name string) { b.peer(name).inFlight-- }

// Reported takes the load of an upstream.
func (b *Balancer) Reported(now clock.Millis, name string, load Load) {
	p := b.peer(name)
	p.load, p.loadAt, p.known, p.atReport = load, now, true, p.inFlight
	p.pause, p.until = 0, 0
}

// Loads returns the loads that were reported lately, by instance.
func (b *Balancer) Loads(now clock.Millis) map[string]Load {
	loads := make(map[string]Load)
	for name, p := range b.peers {
		if p.known && now-p.loadAt < reportLife && now >= p.until {
			loads[name] = p.load
		}
	}
	return loads
}

// Answered takes the size of a large answer in bytes.
func (b *Balancer) Answered(bytes int) { b.large = mean(b.large, bytes) }

// Unreachable pauses requests to an instance whose daemon does not answer.
func (b *Balancer) Unreachable(now clock.Millis, name string) {
	p := b.peer(name)
	if now < p.until {
		return
	}
	p.pause = min(max(2*p.pause, firstPause), maxPause)
	p.until = now + p.pause
}

// Silent takes that a request sent at since got no answer of the daemon until now.
// A daemon that has answered nothing else in that time counts as unreachable: it
// may be frozen.
func (b *Balancer) Silent(now clock.Millis, name string, since clock.Millis) {
	if p := b.peer(name); !p.known || p.loadAt < since {
		b.Unreachable(now, name)
	}
}

// Reachable tells whether requests to the instance are not paused.
func (b *Balancer) Reachable(now clock.Millis, name string) bool {
	p, ok := b.peers[name]
	return !ok || now >= p.until
}

// Served takes whether an upstream served a request or failed it.
func (b *Balancer) Served(now clock.Millis, name string, ok bool) {
	p := b.peer(name)
	p.failures = p.decayed(now) * (1 - failureWeight)
	if !ok {
		p.failures += failureWeight
	}
	p.failedAt = now
}

func (p *peerState) decayed(now clock.Millis) float64 {
	return p.failures * math.Exp2(-float64(now-p.failedAt)/failureHalfLife)
}

// Pick returns the position of the candidate with the least expected time, -1 if
// none is left. Random gives numbers in [0, 1).
func (b *Balancer) Pick(now clock.Millis, candidates []Candidate, large bool, excluded map[string]bool, random func() float64) int {
	best, lowest := -1, math.Inf(1)
	for i, c := range candidates {
		if excluded[c.Name] || !b.Reachable(now, c.Name) {
			continue
		}
		cost := b.cost(now, c, large) * (1 + jitterShare*random())
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// cost is the expected time of a request in milliseconds: its trip, its wait for
// a slot, its run and its way over the link.
func (b *Balancer) cost(now clock.Millis, c Candidate, large bool) float64 {
	cost := b.trip(c.Location, large)
	p, ok := b.peers[c.Name]
	if !ok {
		return cost + queueing(firstService, 0, c.Slots)
	}
	cost += failureCost * p.decayed(now)
	if !p.known {
		return cost + queueing(firstService, p.inFlight, c.Slots)
	}
	service := max(float64(p.load.Service), 1)
	if now-p.loadAt >= reportLife {
		return cost + queueing(service, p.inFlight, p.load.Slots)
	}
	load := max(p.load.Running+p.load.Waiting+p.inFlight-p.atReport, p.inFlight)
	size := float64(smallAnswer)
	if large {
		// Answers that were asked for since the report share the link.
		size = orFirst(b.large) * float64(1+max(p.inFlight-p.atReport, 0))
	}
	return cost + queueing(service, load, p.load.Slots) + transfer(p.load, size)
}

// queueing returns the expected time in milliseconds for a slot and the run.
func queueing(service float64, load, slots int) float64 {
	slots = max(slots, 1)
	waiting := float64(max(load+1-slots, 0)) / float64(slots) * service
	// Some upstreams slow down when they are nearly full.
	crowding := math.Pow(min(float64(load)/float64(slots), 1), 2) * service / 2
	return service + waiting + crowding
}

func (b *Balancer) trip(to identity.Location, large bool) float64 {
	switch {
	case to == b.own:
		return sameDomainTrip
	case to.Region() == b.own.Region():
		return sameRegionTrip
	case large:
		return otherRegionTrip + regionPremium
	default:
		return otherRegionTrip
	}
}
