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
	// sameDomainRTT, sameRegionTrip and otherRegionTrip are the round trips in
	// milliseconds to an upstream's daemon, measured on the users' links.
	sameDomainRTT  = 0.4
	sameRegionRTT  = 3.0
	otherRegionRTT = 41.0
	// loadReportTTL is the age in milliseconds at which a load report counts
	// nothing.
	loadReportTTL clock.Millis = 2000
	// defaultServiceMillis is the service time in milliseconds of an upstream that has
	// not been measured. It is shorter than any, so that a new one is tried.
	defaultServiceMillis = 20.0
	// serviceTimeWeight is the weight of the newest sample in service times.
	serviceTimeWeight = 0.1
	// maxRequestClasses bounds the classes whose service times are kept.
	maxRequestClasses = 64
	// loadDecayMillis is the age in milliseconds at which a third of a reported load is
	// expected to be left: a few service times.
	loadDecayMillis = 400.0
	// sampledCandidates is the number of upstreams that are compared for a request.
	sampledCandidates = 2
	// failureRateWeight is the weight of the newest request in the share of failures.
	failureRateWeight = 0.15
	// failureCostMillis is what a share of failures of 1 counts in milliseconds.
	failureCostMillis = 1500.0
	// failureHalfLifeMillis is the time in milliseconds in which the share of failures
	// halves without requests, so that an upstream is tried again.
	failureHalfLifeMillis = 2500.0
	// initialBackoff and maxPause bound the time in milliseconds for which a daemon
	// that did not answer gets no requests; it doubles with each failure.
	initialBackoff clock.Millis = 400
	maxBackoff     clock.Millis = 3000
	// jitterShare spreads equal choices of many daemons.
	jitterShare = 0.15
)

// Load is what a daemon says of its upstream.
type Load struct {
	// Running and Waiting are requests, Slots how many can run at once.
	Running int
	Waiting int
	Slots   int
	// ServiceTime is the time in milliseconds for which a request of any class holds a
	// slot, ClassService that of a request of the class that was answered, 0 if not known.
	ServiceTime      clock.Millis
	ClassServiceTime clock.Millis
	// DemandPercent is the share of its slots in percent that all requests for its keys
	// would take, also those that it refused.
	DemandPercent int
	// LinkMbps is the bandwidth of the instance's link in Mbit/s, 0 if it has no
	// limit, and LinkWait the time in milliseconds that it needs for the answers
	// that wait for it.
	LinkMbps    int
	LinkBacklog clock.Millis
}

// Candidate is an upstream that may run a request.
type Candidate struct {
	Name     string
	Location identity.Location
	Slots    int
}

type upstreamState struct {
	inFlight   int
	load       Load
	reportedAt clock.Millis
	// inFlightAtReport is inFlight when the load was reported.
	inFlightAtReport int
	hasLoad          bool
	// slowdown is how long the upstream takes in comparison with all, 0 if it is not
	// known.
	slowdown      float64
	failureRate   float64
	failureRateAt clock.Millis
	backoff       clock.Millis
	backoffUntil  clock.Millis
}

// Balancer remembers what is known of each upstream. The zero value knows
// nothing. It is not safe for concurrent use.
type Balancer struct {
	location  identity.Location
	upstreams map[string]*upstreamState
	// meanLargeBytes is the mean size of large answers in bytes.
	meanLargeBytes float64
	// classServiceTimes are the mean service times of classes at all upstreams in milliseconds.
	classServiceTimes map[string]float64
}

// Request is what a request says of itself.
type Request struct {
	// Class names requests of about the same service time.
	Class string
	// LargeResponse tells that the answer is large.
	LargeResponse bool
}

// New returns a balancer of a daemon at a location.
func New(own identity.Location) *Balancer { return &Balancer{location: own} }

func (b *Balancer) upstream(name string) *upstreamState {
	if b.upstreams == nil {
		b.upstreams = make(map[string]*upstreamState)
	}
	p, ok := b.upstreams[name]
	if !ok {
		p = &upstreamState{}
		b.upstreams[name] = p
	}
	return p
}

// RequestStarted counts a request that was sent to the named instance.
func (b *Balancer) RequestStarted(name string) { b.upstream(name).inFlight++ }

// RequestEnded counts the end of a request.
func (b *Balancer) RequestEnded(name string) { b.upstream(name).inFlight-- }

// RecordLoad takes the load of an upstream that came with the answer to a request of a
// class. Upstreams are compared class by class: the mean service time of one depends
// on what it was sent.
func (b *Balancer) RecordLoad(now clock.Millis, name, class string, load Load) {
	p := b.upstream(name)
	p.load, p.reportedAt, p.hasLoad, p.inFlightAtReport = load, now, true, p.inFlight
	p.backoff, p.backoffUntil = 0, 0
	if load.ClassServiceTime <= 0 {
		return
	}
	if b.classServiceTimes == nil {
		b.classServiceTimes = make(map[string]float64)
	}
	own := float64(load.ClassServiceTime)
	if _, ok := b.classServiceTimes[class]; !ok && len(b.classServiceTimes) >= maxRequestClasses {
		return
	}
	b.classServiceTimes[class] = smoothedServiceTime(b.classServiceTimes[class], own)
	p.slowdown = smoothedServiceTime(p.slowdown, own/b.classServiceTimes[class])
}

// smoothedServiceTime returns the mean with a new sample, the first one if there was none.
func smoothedServiceTime(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + serviceTimeWeight*(sample-mean)
}

// Loads returns the loads that were reported lately, by instance.
func (b *Balancer) Loads(now clock.Millis) map[string]Load {
	loads := make(map[string]Load)
	for name, p := range b.upstreams {
		if p.hasLoad && now-p.reportedAt < loadReportTTL && now >= p.backoffUntil {
			loads[name] = p.load
		}
	}
	return loads
}

// RecordLargeResponse takes the size of a large answer in bytes.
func (b *Balancer) RecordLargeResponse(bytes int) {
	b.meanLargeBytes = smoothedSize(b.meanLargeBytes, bytes)
}

// RecordUnreachable pauses requests to an instance whose daemon does not answer.
func (b *Balancer) RecordUnreachable(now clock.Millis, name string) {
	p := b.upstream(name)
	if now < p.backoffUntil {
		return
	}
	p.backoff = min(max(2*p.backoff, initialBackoff), maxBackoff)
	p.backoffUntil = now + p.backoff
}

// RecordNoResponse takes that a request sent at since got no answer of the daemon until now.
// A daemon that has answered nothing else in that time counts as unreachable: it
// may be frozen.
func (b *Balancer) RecordNoResponse(now clock.Millis, name string, since clock.Millis) {
	if p := b.upstream(name); !p.hasLoad || p.reportedAt < since {
		b.RecordUnreachable(now, name)
	}
}

// Reachable tells whether requests to the instance are not paused.
func (b *Balancer) Reachable(now clock.Millis, name string) bool {
	p, ok := b.upstreams[name]
	return !ok || now >= p.backoffUntil
}

// RecordResult takes whether an upstream served a request or failed it.
func (b *Balancer) RecordResult(now clock.Millis, name string, ok bool) {
	p := b.upstream(name)
	p.failureRate = p.decayedFailureRate(now) * (1 - failureRateWeight)
	if !ok {
		p.failureRate += failureRateWeight
	}
	p.failureRateAt = now
}

func (p *upstreamState) decayedFailureRate(now clock.Millis) float64 {
	return p.failureRate * math.Exp2(-float64(now-p.failureRateAt)/failureHalfLifeMillis)
}

// Pick returns the position of the candidate for a request, -1 if none is left. It
// compares two candidates of the own region, drawn by their capacity: the loads that
// a daemon knows are old where many share an upstream, and all would ask the one that
// seemed the best. Other regions are asked where both would let the request wait for
// longer than the trip. A large answer stays in the region while anyone there can be
// reached: traffic between regions is paid by volume, and one such answer costs the
// users more than it is worth to them. Random gives numbers in [0, 1).
func (b *Balancer) Pick(now clock.Millis, candidates []Candidate, ask Request, excluded map[string]bool, random func() float64) int {
	var near, far []int
	stays := ask.LargeResponse && b.regionReachable(now, candidates)
	for i, c := range candidates {
		switch {
		case excluded[c.Name] || !b.Reachable(now, c.Name):
		case c.Location.Region() == b.location.Region():
			near = append(near, i)
		case !stays:
			far = append(far, i)
		}
	}
	best, cost, wait := b.pickCheaper(now, candidates, near, ask, random)
	if best >= 0 && wait <= otherRegionRTT {
		return best
	}
	if other, farCost, _ := b.pickCheaper(now, candidates, far, ask, random); other >= 0 && (best < 0 || farCost < cost) {
		return other
	}
	return best
}

// pickCheaper draws two of the candidates at the given positions and returns the one with
// the lower cost, that cost and the expected wait in it; -1 if there is none.
func (b *Balancer) pickCheaper(now clock.Millis, candidates []Candidate, positions []int, ask Request, random func() float64) (int, float64, float64) {
	best, lowest, shortest := -1, math.Inf(1), 0.0
	for range sampledCandidates {
		i := b.drawByCapacity(now, candidates, positions, best, random)
		if i < 0 {
			break
		}
		cost, wait := b.expectedCost(now, candidates[i], ask)
		if cost *= 1 + jitterShare*random(); cost < lowest {
			best, lowest, shortest = i, cost, wait
		}
	}
	return best, lowest, shortest
}

// drawByCapacity returns one of the positions other than taken, by the candidates' capacities.
func (b *Balancer) drawByCapacity(now clock.Millis, candidates []Candidate, positions []int, taken int, random func() float64) int {
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
	p, ok := b.upstreams[c.Name]
	if !ok {
		return slots
	}
	served := 1 - p.decayedFailureRate(now)
	return slots * served * served / cmp.Or(p.slowdown, 1)
}

// regionReachable tells whether any candidate of the own region can be reached.
func (b *Balancer) regionReachable(now clock.Millis, candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool {
		return c.Location.Region() == b.location.Region() && b.Reachable(now, c.Name)
	})
}

// expectedCost returns the expected time of a request in milliseconds, with its trip, its
// run and its way over the link, and the part of it that is a wait for a slot.
func (b *Balancer) expectedCost(now clock.Millis, c Candidate, ask Request) (float64, float64) {
	cost := b.roundTripTime(c.Location)
	p, ok := b.upstreams[c.Name]
	if !ok {
		return cost + defaultServiceMillis, 0
	}
	cost += failureCostMillis * p.decayedFailureRate(now)
	// What waits is of all classes; the request itself is of one.
	service, slots, run := defaultServiceMillis, c.Slots, defaultServiceMillis
	if p.hasLoad {
		service, slots = max(float64(p.load.ServiceTime), 1), p.load.Slots
		run = service
	}
	if usual, ok := b.classServiceTimes[ask.Class]; ok && p.slowdown > 0 {
		run = usual * p.slowdown
	}
	age := float64(now - p.reportedAt)
	if !p.hasLoad || age >= float64(loadReportTTL) {
		wait := queueingDelay(service, float64(p.inFlight), slots)
		return cost + run + wait, wait
	}
	// What was running at the report has ended by and by.
	known := float64(p.load.Running+p.load.Waiting) * math.Exp(-age/loadDecayMillis)
	load := max(known+float64(max(p.inFlight-p.inFlightAtReport, 0)), float64(p.inFlight))
	wait := queueingDelay(service, load, slots)
	if ask.LargeResponse {
		// Answers that were asked for since the report share the link. Small ones go
		// between the pieces of large ones.
		wait += transferTime(p.load, orDefaultSize(b.meanLargeBytes)*float64(1+max(p.inFlight-p.inFlightAtReport, 0)))
	}
	return cost + run + wait, wait
}

// queueingDelay returns the time in milliseconds by which a load delays a request.
func queueingDelay(service, load float64, slots int) float64 {
	free := float64(max(slots, 1))
	waiting := max(load+1-free, 0) / free * service
	// Some upstreams slow down when they are nearly full.
	crowding := math.Pow(min(load/free, 1), 2) * service / 2
	return waiting + crowding
}

func (b *Balancer) roundTripTime(to identity.Location) float64 {
	switch {
	case to == b.location:
		return sameDomainRTT
	case to.Region() == b.location.Region():
		return sameRegionRTT
	default:
		return otherRegionRTT
	}
}
