// Package balance selects the upstream for a request that any upstream of its
// service may run. Load pattern: upstreams of different capacity in the same and in
// other regions, some of them slow, full, failing or unreachable.
package balance

import (
	"cmp"
	"math"
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
)

const (
	// sameDomainRTT, sameRegionRTT and otherRegionRTT are the round-trip times in
	// milliseconds to an upstream's daemon in the same failure domain, in another
	// one of the region, and in another region.
	sameDomainRTT  = 0.4
	sameRegionRTT  = 3.0
	otherRegionRTT = 41.0
	// otherDomainBodyCost is the cost in milliseconds of a large request body that leaves
	// the failure domain, which is paid by volume.
	otherDomainBodyCost = 20.0
	// loadReportTTL is the age in milliseconds from which a load report is out of date:
	// of its values, Pick still uses the service time and the slots.
	loadReportTTL clock.Millis = 2000
	// defaultServiceMillis is the assumed service time in milliseconds of an
	// upstream without a load report. It is shorter than any real one, so that new
	// upstreams get requests.
	defaultServiceMillis = 20.0
	// serviceTimeWeight is the weight of the newest sample in mean service times.
	serviceTimeWeight = 0.1
	// maxRequestClasses bounds the request classes whose service times are kept.
	maxRequestClasses = 64
	// loadReportInterval is the age in milliseconds from which a new load report of an
	// upstream in another region is needed: bytes between regions are billed by volume, and
	// a report is a quarter of what daemons add to a request and its reply.
	loadReportInterval clock.Millis = 250
	// loadDecayMillis is the time constant in milliseconds with which a reported load
	// decays: after it, about a third is left. It is a few service times long.
	loadDecayMillis = 400.0
	// sampledCandidates is the number of candidates compared for a request.
	sampledCandidates = 2
	// failureRateWeight is the weight of the newest request in the failure rate.
	failureRateWeight = 0.15
	// failureCostMillis is the cost in milliseconds of a failure rate of 1.
	failureCostMillis = 1500.0
	// failureHalfLifeMillis is the time in milliseconds in which the failure rate
	// halves without requests, so that a failing upstream is tried again.
	failureHalfLifeMillis = 2500.0
	// restrictedCost is the cost in milliseconds of taking the last free slot of an upstream
	// in another region that restricted routes need. From 200 ms on, more than 2% of the
	// slots of that region stay unused while others refuse requests.
	restrictedCost = 150.0
	// initialBackoff and maxBackoff bound the time in milliseconds for which a daemon
	// that did not answer gets no requests. It doubles with each failure.
	initialBackoff clock.Millis = 400
	maxBackoff     clock.Millis = 3000
	// minColdRate is the rate in requests per second that stands for that of a cold upstream
	// that gets no requests.
	minColdRate = 0.1
	// jitterShare is the largest relative increase of a cost by jitter, which keeps
	// many daemons from choosing the same upstream among equal ones.
	jitterShare = 0.15
)

// Load is the load of an upstream as reported by its daemon.
type Load struct {
	// Running and Waiting are numbers of requests, Slots is the number of requests
	// that can run at once.
	Running int
	Waiting int
	Slots   int
	// ServiceTime is the mean time in milliseconds for which a request holds a slot,
	// over all classes. ClassServiceTime is that of the class of the request that the
	// report came with, 0 if unknown.
	ServiceTime      clock.Millis
	ClassServiceTime clock.Millis
	// DemandPercent is the share of the slots in percent that all requests for the
	// upstream's keys would take, including those that it refused.
	DemandPercent int
	// FailurePercent is the share of its latest requests in percent that the upstream failed.
	FailurePercent int
	// LinkMbps is the bandwidth of the instance's link in Mbit/s, 0 if unlimited.
	// LinkBacklog is the time in milliseconds that the link needs for the responses
	// queued for it and for the large ones in progress.
	// InboundBacklog is the time that it needs for the large request bodies that it has
	// accepted.
	LinkMbps       int
	LinkBacklog    clock.Millis
	InboundBacklog clock.Millis
	// Capacity is the number of requests per second that the upstream serves without
	// queueing, averaged over some seconds; 0 if unknown.
	Capacity int
	// ColdRate is the number of requests per second that the upstream accepts while it is
	// cold, 0 if it is not cold or gets none then. ColdFor is the time in milliseconds until it
	// is warm, 0 if it is.
	ColdRate int
	ColdFor  clock.Millis
}

// RequestRate returns the requests per second that the upstream can run at present, 0 if that is
// unknown: the lower of its capacity and the rate while it is cold.
func (l Load) RequestRate() float64 {
	rate := float64(l.Capacity)
	if rate == 0 && l.ServiceTime > 0 {
		rate = float64(max(l.Slots, 1)) * millisPerSecond / float64(l.ServiceTime)
	}
	if l.ColdFor > 0 && (rate == 0 || l.coldRate() < rate) {
		return l.coldRate()
	}
	return rate
}

// coldRate returns the requests per second of a cold upstream, above 0.
func (l Load) coldRate() float64 { return max(float64(l.ColdRate), minColdRate) }

// Candidate is an upstream that may run a request.
type Candidate struct {
	// Name is the name of the upstream's instance.
	Name     string
	Location identity.Location
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Needed is true if requests that may not run in every region need the upstream, and
	// the request to be balanced is none of them.
	Needed bool
}

type upstreamState struct {
	inFlight int
	// load is valid if hasLoad; reportedAt is when it was reported and
	// inFlightAtReport the value of inFlight at that time.
	load             Load
	reportedAt       clock.Millis
	inFlightAtReport int
	hasLoad          bool
	// respondedAt is when the daemon responded last, with or without a load report.
	respondedAt clock.Millis
	// slowdown is the mean ratio of the upstream's service times to those of all
	// upstreams, class by class; 0 if unknown.
	slowdown float64
	// failureRate is the failure rate at failureRateAt.
	failureRate   float64
	failureRateAt clock.Millis
	// backoff is the length of the newest backoff, backoffUntil its end.
	backoff      clock.Millis
	backoffUntil clock.Millis
}

// Balancer tracks the load, failures and reachability of upstreams and selects among
// them. The zero value has no data. It is not safe for concurrent use.
type Balancer struct {
	location  identity.Location
	upstreams map[string]*upstreamState
	// meanLargeBytes is the mean size of large responses in bytes, 0 if there was none.
	meanLargeBytes float64
	// classServiceTimes are the mean service times in milliseconds over all upstreams,
	// by request class.
	classServiceTimes map[string]float64
}

// Request describes a request to be balanced.
type Request struct {
	// Class groups requests of similar service time.
	Class string
	// LargeResponse is true if a large response is expected.
	LargeResponse bool
	// BodyBytes is the size in bytes of a large request body, 0 if the body is small.
	BodyBytes int
}

// isLarge reports whether the request or its response takes much of a link.
func (r Request) isLarge() bool { return r.LargeResponse || r.BodyBytes > 0 }

// New returns a balancer for a daemon at the location.
func New(location identity.Location) *Balancer { return &Balancer{location: location} }

func (b *Balancer) upstream(name string) *upstreamState {
	if b.upstreams == nil {
		b.upstreams = make(map[string]*upstreamState)
	}
	u, ok := b.upstreams[name]
	if !ok {
		u = &upstreamState{}
		b.upstreams[name] = u
	}
	return u
}

// RequestStarted counts a request sent to the named instance as in flight.
func (b *Balancer) RequestStarted(name string) { b.upstream(name).inFlight++ }

// RequestEnded removes a request from those in flight at the named instance.
func (b *Balancer) RequestEnded(name string) { b.upstream(name).inFlight-- }

// RecordLoad records the load that an upstream reported with the response to a
// request of the class, and ends its backoff. Service times are compared class by
// class, as the mean service time of an upstream depends on the requests it gets.
func (b *Balancer) RecordLoad(now clock.Millis, name, class string, load Load) {
	u := b.upstream(name)
	u.load, u.reportedAt, u.hasLoad, u.inFlightAtReport = load, now, true, u.inFlight
	u.recordResponse(now)
	if load.ClassServiceTime <= 0 {
		return
	}
	if b.classServiceTimes == nil {
		b.classServiceTimes = make(map[string]float64)
	}
	serviceTime := float64(load.ClassServiceTime)
	if _, ok := b.classServiceTimes[class]; !ok && len(b.classServiceTimes) >= maxRequestClasses {
		return
	}
	b.classServiceTimes[class] = smoothedServiceTime(b.classServiceTimes[class], serviceTime)
	u.slowdown = smoothedServiceTime(u.slowdown, serviceTime/b.classServiceTimes[class])
}

// RecordResponse records a response of the named instance without a load report, and ends its
// backoff.
func (b *Balancer) RecordResponse(now clock.Millis, name string) {
	b.upstream(name).recordResponse(now)
}

func (u *upstreamState) recordResponse(now clock.Millis) {
	u.respondedAt = now
	u.backoff, u.backoffUntil = 0, 0
}

// NeedsLoad reports whether a response to a request that is sent to the candidate now should
// come with a load report. That of a cold upstream always should: how many requests it still
// accepts is estimated from those in flight since its report.
func (b *Balancer) NeedsLoad(now clock.Millis, c Candidate) bool {
	u, ok := b.upstreams[c.Name]
	return !ok || !u.hasLoad || u.isCold(now) || c.Location.Region() == b.location.Region() || now-u.reportedAt >= loadReportInterval
}

// smoothedServiceTime returns the exponentially weighted mean with a new sample, or
// the sample if there was none before.
func smoothedServiceTime(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + serviceTimeWeight*(sample-mean)
}

// Loads returns the loads by instance, without those that are too old or of instances
// in backoff.
func (b *Balancer) Loads(now clock.Millis) map[string]Load {
	loads := make(map[string]Load)
	for name, u := range b.upstreams {
		if u.hasLoad && now-u.reportedAt < loadReportTTL && now >= u.backoffUntil {
			loads[name] = u.load
		}
	}
	return loads
}

// RecordLargeResponse records the size of a large response in bytes.
func (b *Balancer) RecordLargeResponse(bytes int) {
	b.meanLargeBytes = smoothedSize(b.meanLargeBytes, bytes)
}

// RecordUnreachable starts a backoff for an instance whose daemon does not answer,
// unless one is running.
func (b *Balancer) RecordUnreachable(now clock.Millis, name string) {
	u := b.upstream(name)
	if now < u.backoffUntil {
		return
	}
	u.backoff = min(max(2*u.backoff, initialBackoff), maxBackoff)
	u.backoffUntil = now + u.backoff
}

// RecordNoResponse records that the daemon has not answered a request sent at
// sentAt. A daemon that has sent no other response since then counts as unreachable,
// as it may be frozen.
func (b *Balancer) RecordNoResponse(now clock.Millis, name string, sentAt clock.Millis) {
	if u := b.upstream(name); !u.hasLoad || u.respondedAt < sentAt {
		b.RecordUnreachable(now, name)
	}
}

// Reachable reports whether the instance is not in backoff.
func (b *Balancer) Reachable(now clock.Millis, name string) bool {
	u, ok := b.upstreams[name]
	return !ok || now >= u.backoffUntil
}

// RecordResult updates the failure rate of an upstream with the result of a request.
func (b *Balancer) RecordResult(now clock.Millis, name string, succeeded bool) {
	u := b.upstream(name)
	u.failureRate = u.decayedFailureRate(now) * (1 - failureRateWeight)
	if !succeeded {
		u.failureRate += failureRateWeight
	}
	u.failureRateAt = now
}

func (u *upstreamState) decayedFailureRate(now clock.Millis) float64 {
	return u.failureRate * math.Exp2(-float64(now-u.failureRateAt)/failureHalfLifeMillis)
}

// Pick returns the index of the candidate for a request, -1 if none is left.
//
// It compares two candidates of the daemon's region, sampled by capacity. Where many
// daemons share an upstream, the load reports that each has received are out of date, and
// all would choose the one that seems best. Other regions are considered if the request
// would wait at the chosen candidate for longer than the round trip there.
//
// A large request body or response stays in the region while any candidate there is
// reachable: traffic between regions is paid by volume, and one such message costs the
// users more than it is worth to them.
//
// A candidate of another region that restricted routes need costs more the fuller it is, so
// that requests that may run anywhere wait longer in their own region before they go there.
//
// random returns numbers in [0, 1).
func (b *Balancer) Pick(now clock.Millis, candidates []Candidate, request Request, excluded map[string]bool, random func() float64) int {
	var sameRegion, otherRegions []int
	regionOnly := request.isLarge() && b.regionReachable(now, candidates)
	for i, c := range candidates {
		switch {
		case excluded[c.Name] || !b.Reachable(now, c.Name):
		case c.Location.Region() == b.location.Region():
			sameRegion = append(sameRegion, i)
		case !regionOnly:
			otherRegions = append(otherRegions, i)
		}
	}
	best, cost, wait := b.pickCheaper(now, candidates, sameRegion, request, random)
	if best >= 0 && wait <= otherRegionRTT {
		return best
	}
	if other, otherCost, _ := b.pickCheaper(now, candidates, otherRegions, request, random); other >= 0 && (best < 0 || otherCost < cost) {
		return other
	}
	return best
}

// pickCheaper samples two of the candidates at the given indices and returns the index
// of the one with the lower cost, that cost, and the expected wait included in it. The
// index is -1 if there are no candidates.
func (b *Balancer) pickCheaper(now clock.Millis, candidates []Candidate, indices []int, request Request, random func() float64) (int, float64, float64) {
	best, lowestCost, bestWait := -1, math.Inf(1), 0.0
	for range sampledCandidates {
		i := b.drawByCapacity(now, candidates, indices, best, random)
		if i < 0 {
			break
		}
		cost, wait := b.expectedCost(now, candidates[i], request)
		if cost *= 1 + jitterShare*random(); cost < lowestCost {
			best, lowestCost, bestWait = i, cost, wait
		}
	}
	return best, lowestCost, bestWait
}

// drawByCapacity returns a random one of the indices other than skipped, weighted by
// the capacities of the candidates; -1 if there is none.
func (b *Balancer) drawByCapacity(now clock.Millis, candidates []Candidate, indices []int, skipped int, random func() float64) int {
	total := 0.0
	for _, i := range indices {
		if i != skipped {
			total += b.capacity(now, candidates[i])
		}
	}
	drawn := -1
	remaining := random() * total
	for _, i := range indices {
		if i == skipped {
			continue
		}
		drawn = i
		if remaining -= b.capacity(now, candidates[i]); remaining < 0 {
			break
		}
	}
	return drawn
}

// capacity returns the relative capacity of a candidate: its slots, its learned limit, or those
// that the rate of a cold upstream takes, reduced by its failure rate and its slowdown. Requests
// per second don't count here, as they depend on the classes that the upstream was sent. An
// unknown upstream counts as an average one.
func (b *Balancer) capacity(now clock.Millis, c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	u, ok := b.upstreams[c.Name]
	if !ok {
		return slots
	}
	if u.hasLoad && u.load.Capacity > 0 {
		slots = float64(max(u.load.Slots, 1))
	}
	if u.isCold(now) {
		serviceTime := cmp.Or(float64(u.load.ServiceTime), defaultServiceMillis)
		slots = min(slots, u.load.coldRate()*serviceTime/millisPerSecond)
	}
	successRate := 1 - u.decayedFailureRate(now)
	return slots * successRate * successRate / cmp.Or(u.slowdown, 1)
}

// isCold reports whether the upstream is cold according to its latest report.
func (u *upstreamState) isCold(now clock.Millis) bool {
	return u.hasLoad && now < u.reportedAt+u.load.ColdFor
}

// coldWait returns the time in milliseconds in which a cold upstream accepts the requests sent
// to it since its report and one more, 0 if it is warm.
func (u *upstreamState) coldWait(now clock.Millis) float64 {
	if !u.isCold(now) {
		return 0
	}
	return float64(1+max(u.inFlight-u.inFlightAtReport, 0)) * millisPerSecond / u.load.coldRate()
}

// regionReachable reports whether any candidate of the daemon's region is reachable.
func (b *Balancer) regionReachable(now clock.Millis, candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool {
		return c.Location.Region() == b.location.Region() && b.Reachable(now, c.Name)
	})
}

// expectedCost returns the cost of sending a request to a candidate in milliseconds:
// the round trip, the wait, the service time, and a penalty for failures. The second
// result is the wait for a slot, and for a large response also for the link.
func (b *Balancer) expectedCost(now clock.Millis, c Candidate, request Request) (float64, float64) {
	cost := b.roundTripTime(c.Location)
	if request.BodyBytes > 0 && c.Location != b.location {
		cost += otherDomainBodyCost
	}
	u, ok := b.upstreams[c.Name]
	if !ok {
		return cost + defaultServiceMillis, 0
	}
	cost += failureCostMillis * u.decayedFailureRate(now)
	// The waiting requests are of all classes, the request itself is of one.
	serviceTime, slots, requestTime := defaultServiceMillis, c.Slots, defaultServiceMillis
	if u.hasLoad {
		serviceTime, slots = max(float64(u.load.ServiceTime), 1), u.load.Slots
		requestTime = serviceTime
	}
	if classTime, ok := b.classServiceTimes[request.Class]; ok && u.slowdown > 0 {
		requestTime = classTime * u.slowdown
	}
	age := float64(now - u.reportedAt)
	if !u.hasLoad || age >= float64(loadReportTTL) {
		wait := queueingDelay(serviceTime, float64(u.inFlight), slots) + u.coldWait(now)
		return cost + requestTime + wait, wait
	}
	// Some of the requests counted in the report have ended since.
	remaining := float64(u.load.Running+u.load.Waiting) * math.Exp(-age/loadDecayMillis)
	load := max(remaining+float64(max(u.inFlight-u.inFlightAtReport, 0)), float64(u.inFlight))
	wait := queueingDelay(serviceTime, load, slots) + u.coldWait(now)
	if c.Needed && c.Location.Region() != b.location.Region() {
		// The fourth power: an upstream that is half free loses nothing by the request.
		used := min((load+1)/float64(max(slots, 1)), 1)
		cost += restrictedCost * used * used * used * used
	}
	if request.LargeResponse {
		// Responses to requests sent since the report share the link. Small responses
		// don't count: they are sent between the chunks of large ones.
		wait += transferTime(u.load, u.load.LinkBacklog, orDefaultSize(b.meanLargeBytes)*float64(1+max(u.inFlight-u.inFlightAtReport, 0)))
	}
	if request.BodyBytes > 0 {
		wait += transferTime(u.load, u.load.InboundBacklog, float64(request.BodyBytes)*float64(1+max(u.inFlight-u.inFlightAtReport, 0)))
	}
	return cost + requestTime + wait, wait
}

// queueingDelay returns the time in milliseconds by which the given number of requests
// delays another one.
func queueingDelay(serviceTime, requests float64, slots int) float64 {
	slotCount := float64(max(slots, 1))
	wait := max(requests+1-slotCount, 0) / slotCount * serviceTime
	// Some upstreams slow down when they are nearly full.
	contention := math.Pow(min(requests/slotCount, 1), 2) * serviceTime / 2
	return wait + contention
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
