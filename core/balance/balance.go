// Package balance chooses the upstream of a request that any upstream of its
// service may run. Load pattern: uneven upstreams far and near, some of them
// slow, full, failing or out of reach.
package balance

import (
	"cmp"
	"math"
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
)

const (
	// sameDomainTrip, sameRegionTrip and otherRegionTrip are the round trips in
	// milliseconds to an upstream's daemon, measured on the users' links.
	sameDomainTrip  = 0.4
	sameRegionTrip  = 3.0
	otherRegionTrip = 41.0
	// reportLife is the age in milliseconds at which a load report counts
	// nothing.
	reportLife clock.Millis = 2000
	// firstService is the service time in milliseconds of an upstream that has
	// not been measured. It is shorter than any, so that a new one is tried.
	firstService = 20.0
	// serviceWeight is the weight of the newest sample in service times.
	serviceWeight = 0.1
	// maxClasses bounds the classes whose service times are kept.
	maxClasses = 64
	// loadLife is the age in milliseconds at which a third of a reported load is
	// expected to be left: a few service times.
	loadLife = 400.0
	// choices is the number of upstreams that are compared for a request.
	choices = 2
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
	// jitterShare spreads equal choices of many daemons.
	jitterShare = 0.15
)

// Load is what a daemon says of its upstream.
type Load struct {
	// Running and Waiting are requests, Slots how many can run at once.
	Running int
	Waiting int
	Slots   int
	// Service is the time in milliseconds for which a request of any class holds a
	// slot, ClassService that of a request of the class that was answered, 0 if not known.
	Service      clock.Millis
	ClassService clock.Millis
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
	// slowness is how long the upstream takes in comparison with all, 0 if it is not
	// known.
	slowness float64
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
	// usual are the mean service times of classes at all upstreams in milliseconds.
	usual map[string]float64
}

// Ask is what a request says of itself.
type Ask struct {
	// Class names requests of about the same service time.
	Class string
	// Large tells that the answer is large.
	Large bool
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

// Reported takes the load of an upstream that came with the answer to a request of a
// class. Upstreams are compared class by class: the mean service time of one depends
// on what it was sent.
func (b *Balancer) Reported(now clock.Millis, name, class string, load Load) {
	p := b.peer(name)
	p.load, p.loadAt, p.known, p.atReport = load, now, true, p.inFlight
	p.pause, p.until = 0, 0
	if load.ClassService <= 0 {
		return
	}
	if b.usual == nil {
		b.usual = make(map[string]float64)
	}
	own := float64(load.ClassService)
	if _, ok := b.usual[class]; !ok && len(b.usual) >= maxClasses {
		return
	}
	b.usual[class] = smooth(b.usual[class], own)
	p.slowness = smooth(p.slowness, own/b.usual[class])
}

// smooth returns the mean with a new sample, the first one if there was none.
func smooth(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + serviceWeight*(sample-mean)
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

// Pick returns the position of the candidate for a request, -1 if none is left. It
// compares two candidates of the own region, drawn by their capacity: the loads that
// a daemon knows are old where many share an upstream, and all would ask the one that
// seemed the best. Other regions are asked where both would let the request wait for
// longer than the trip. A large answer stays in the region while anyone there can be
// reached: traffic between regions is paid by volume, and one such answer costs the
// users more than it is worth to them. Random gives numbers in [0, 1).
func (b *Balancer) Pick(now clock.Millis, candidates []Candidate, ask Ask, excluded map[string]bool, random func() float64) int {
	var near, far []int
	stays := ask.Large && b.regional(now, candidates)
	for i, c := range candidates {
		switch {
		case excluded[c.Name] || !b.Reachable(now, c.Name):
		case c.Location.Region() == b.own.Region():
			near = append(near, i)
		case !stays:
			far = append(far, i)
		}
	}
	best, cost, wait := b.better(now, candidates, near, ask, random)
	if best >= 0 && wait <= otherRegionTrip {
		return best
	}
	if other, farCost, _ := b.better(now, candidates, far, ask, random); other >= 0 && (best < 0 || farCost < cost) {
		return other
	}
	return best
}

// better draws two of the candidates at the given positions and returns the one with
// the lower cost, that cost and the expected wait in it; -1 if there is none.
func (b *Balancer) better(now clock.Millis, candidates []Candidate, positions []int, ask Ask, random func() float64) (int, float64, float64) {
	best, lowest, shortest := -1, math.Inf(1), 0.0
	for range choices {
		i := b.draw(now, candidates, positions, best, random)
		if i < 0 {
			break
		}
		cost, wait := b.cost(now, candidates[i], ask)
		if cost *= 1 + jitterShare*random(); cost < lowest {
			best, lowest, shortest = i, cost, wait
		}
	}
	return best, lowest, shortest
}

// draw returns one of the positions other than taken, by the candidates' capacities.
func (b *Balancer) draw(now clock.Millis, candidates []Candidate, positions []int, taken int, random func() float64) int {
	total := 0.0
	for _, i := range positions {
		if i != taken {
			total += b.capacity(now, candidates[i])
		}
	}
	drawn := -1
	at := random() * total
	for _, i := range positions {
		if i == taken {
			continue
		}
		drawn = i
		if at -= b.capacity(now, candidates[i]); at < 0 {
			break
		}
	}
	return drawn
}

// capacity returns how much a candidate can be expected to serve in comparison with
// others. One that is not known counts as a usual one.
func (b *Balancer) capacity(now clock.Millis, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	p, ok := b.peers[c.Name]
	if !ok {
		return slots
	}
	served := 1 - p.decayed(now)
	return slots * served * served / cmp.Or(p.slowness, 1)
}

// regional tells whether any candidate of the own region can be reached.
func (b *Balancer) regional(now clock.Millis, candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool {
		return c.Location.Region() == b.own.Region() && b.Reachable(now, c.Name)
	})
}

// cost returns the expected time of a request in milliseconds, with its trip, its
// run and its way over the link, and the part of it that is a wait for a slot.
func (b *Balancer) cost(now clock.Millis, c Candidate, ask Ask) (float64, float64) {
	cost := b.trip(c.Location)
	p, ok := b.peers[c.Name]
	if !ok {
		return cost + firstService, 0
	}
	cost += failureCost * p.decayed(now)
	// What waits is of all classes; the request itself is of one.
	service, slots, run := firstService, c.Slots, firstService
	if p.known {
		service, slots = max(float64(p.load.Service), 1), p.load.Slots
		run = service
	}
	if usual, ok := b.usual[ask.Class]; ok && p.slowness > 0 {
		run = usual * p.slowness
	}
	age := float64(now - p.loadAt)
	if !p.known || age >= float64(reportLife) {
		wait := queueing(service, float64(p.inFlight), slots)
		return cost + run + wait, wait
	}
	// What was running at the report has ended by and by.
	known := float64(p.load.Running+p.load.Waiting) * math.Exp(-age/loadLife)
	load := max(known+float64(max(p.inFlight-p.atReport, 0)), float64(p.inFlight))
	wait := queueing(service, load, slots)
	if ask.Large {
		// Answers that were asked for since the report share the link. Small ones go
		// between the pieces of large ones.
		wait += transfer(p.load, orFirst(b.large)*float64(1+max(p.inFlight-p.atReport, 0)))
	}
	return cost + run + wait, wait
}

// queueing returns the time in milliseconds by which a load delays a request.
func queueing(service, load float64, slots int) float64 {
	free := float64(max(slots, 1))
	waiting := max(load+1-free, 0) / free * service
	// Some upstreams slow down when they are nearly full.
	crowding := math.Pow(min(load/free, 1), 2) * service / 2
	return waiting + crowding
}

func (b *Balancer) trip(to identity.Location) float64 {
	switch {
	case to == b.own:
		return sameDomainTrip
	case to.Region() == b.own.Region():
		return sameRegionTrip
	default:
		return otherRegionTrip
	}
}
