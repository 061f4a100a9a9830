// Package retryafter decides after which time the caller of a refused request is told to
// retry. Load pattern: callers with one retry each that are refused at the same time, for
// example after a restart of all processes.
package retryafter

import (
	"hash/fnv"
	"slices"

	"briarwell.dev/core/clock"
)

const (
	// minDelay is the shortest retry time in milliseconds: a place that is free earlier is
	// better used by a request that waits for it.
	minDelay clock.Millis = 60
	// honouredDivisor divides the time that a caller has left; the result is the longest
	// retry time that it honours.
	honouredDivisor = 3
	// transitTime is the time in milliseconds that a refusal and the retry take on their
	// way: a round trip between regions takes 41 ms.
	transitTime clock.Millis = 40
	// deadlineTolerance is the difference in milliseconds up to which the deadlines of two
	// attempts of a request differ by the time that each was on its way. It is below
	// minDelay, so that a first attempt with the same timeout is not taken for a retry.
	deadlineTolerance clock.Millis = 40
	// earlyTolerance and lateTolerance bound the difference in milliseconds between the
	// promised time and the arrival of a retry. A place that is not claimed by then expires.
	earlyTolerance clock.Millis = 20
	lateTolerance  clock.Millis = 150
	// minShare is the smallest share of the capacity that is promised to retries that can
	// meet their target latency. Those that can't get spare capacity only, as a first attempt
	// that is refused in their favour would be late too.
	minShare = 0.25
	// maxPlaces bounds the promised places. It is above what 1,000 requests per second
	// need in 300 ms, a third of the usual timeout of a second.
	maxPlaces = 512
	// arrivalInterval is the time in milliseconds over which first attempts are counted.
	arrivalInterval clock.Millis = 250
	// defaultServiceTime is the assumed service time in milliseconds of an upstream without
	// samples, for requests without a target latency. Of those with one, half of the target
	// is assumed.
	defaultServiceTime clock.Millis = 100
	// hashMultiplier spreads the bits of a hash (Fibonacci hashing, 2^32 divided by the
	// golden ratio): the FNV-1a hashes of IDs that differ at their end only are close.
	hashMultiplier = 0x9E3779B1
)

// Capacity is what an upstream can run.
type Capacity struct {
	// Slots is the number of requests that it runs at once, Waiting the number that wait.
	Slots   int
	Waiting int
	// ServiceTime is the mean time in milliseconds for which a request holds a slot,
	// 0 before the first sample. ClassServiceTime is that of the refused request's class.
	ServiceTime      clock.Millis
	ClassServiceTime clock.Millis
}

// Request is a refused request, or one that may be the retry of one.
type Request struct {
	// ID is the ID of the attempt.
	ID string
	// Class and Key are the same for all attempts of a request.
	Class string
	Key   uint32
	// Rank is the rank of the route; 0 is the most urgent.
	Rank int
	// Deadline is the end of the time that the caller allows for all attempts.
	Deadline clock.Millis
	// LatencyBudget is the time in milliseconds from now within which the response meets
	// the target latency, 0 if there is none.
	LatencyBudget clock.Millis
	// Final is true if the caller has no further retry.
	Final bool
}

// place is a time at which a retry will be served.
type place struct {
	at       float64
	deadline clock.Millis
	class    string
	key      uint32
	rank     int
}

// Counts are the numbers of refused requests and of retries since the start.
type Counts struct {
	// Promised and Unpromised are the refused requests with and without a place, without
	// those whose callers have no further retry.
	Promised   uint64
	Unpromised uint64
	// Claimed are the retries that found their place, Expired the places that no retry
	// claimed.
	Claimed uint64
	Expired uint64
}

// Schedule holds the places that are promised to the callers of refused requests. The zero
// value is empty. It is not safe for concurrent use.
//
// A place is not a slot that is kept free: it gives the retry precedence over first attempts
// of its rank. So an unclaimed place leaves no slot idle.
type Schedule struct {
	// places is sorted by time.
	places []place
	counts Counts
	// arrivals counts the first attempts of the interval that began at countedFrom,
	// arrivalRate is their number per millisecond in the one before.
	arrivals    int
	countedFrom clock.Millis
	arrivalRate float64
}

// Counts returns the counts at now.
func (s *Schedule) Counts(now clock.Millis) Counts {
	s.expire(now)
	return s.counts
}

// Refuse returns the time in milliseconds after which the caller of a refused request is
// told to retry: the next free time in the schedule, or, if there is none that the caller
// would honour, a time that spreads the retries: over the time in which a retry can still meet
// its target, if there is any.
func (s *Schedule) Refuse(now clock.Millis, capacity Capacity, r Request) clock.Millis {
	s.expire(now)
	remaining := r.Deadline - now
	if r.Final {
		return Spread(remaining, r.ID)
	}
	latest := longestDelay(remaining)
	serviceTime, classTime := capacity.serviceTimes(r)
	slots := float64(max(capacity.Slots, 1))
	delay := max(minDelay, clock.Millis(float64(capacity.Waiting+1)*float64(serviceTime)/slots))
	if delay <= latest && delay+transitTime+classTime <= remaining && len(s.places) < maxPlaces {
		at, ok := s.nextFree(now, now+delay, now+latest, slots/float64(serviceTime), classTime, r)
		if ok {
			s.insert(place{at: at, deadline: r.Deadline, class: r.Class, key: r.Key, rank: r.Rank})
			s.counts.Promised++
			return clock.Millis(at+0.5) - now
		}
	}
	s.counts.Unpromised++
	if inTime := min(r.LatencyBudget-classTime-transitTime, latest); inTime > minDelay {
		// A retry that can meet its target is worth more than a later one, although it
		// competes with first attempts.
		return spreadBetween(minDelay, inTime, r.ID)
	}
	return Spread(remaining, r.ID)
}

// serviceTimes returns the service times of all requests and of the class of r, with an
// assumption for those that are unknown.
func (c Capacity) serviceTimes(r Request) (clock.Millis, clock.Millis) {
	serviceTime := c.ServiceTime
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
		if r.LatencyBudget > 1 {
			serviceTime = max(r.LatencyBudget/2, 1)
		}
	}
	if c.ClassServiceTime <= 0 {
		return serviceTime, serviceTime
	}
	return serviceTime, c.ClassServiceTime
}

// nextFree returns the first free time between from and latest for an upstream that runs
// rate requests per millisecond. Places of less urgent ranks count as free.
func (s *Schedule) nextFree(now, from, latest clock.Millis, rate float64, classTime clock.Millis, r Request) (float64, bool) {
	spare := 1 - s.firstAttemptRate(now)/rate
	if r.LatencyBudget > 0 {
		inTime := now + r.LatencyBudget - classTime - transitTime
		if at := s.firstGap(from, 1/(rate*max(spare, minShare)), r.Rank); at <= float64(min(latest, inTime)) {
			return at, true
		}
	}
	if spare <= 0 {
		return 0, false
	}
	at := s.firstGap(from, 1/(rate*spare), r.Rank)
	return at, at <= float64(latest)
}

// firstGap returns the first time from which on no place of the rank or a more urgent one
// is closer than interval.
func (s *Schedule) firstGap(from clock.Millis, interval float64, rank int) float64 {
	at := float64(from)
	for _, p := range s.places {
		switch {
		case p.rank > rank || p.at+interval <= at:
		case p.at-interval >= at:
			return at
		default:
			at = p.at + interval
		}
	}
	return at
}

func (s *Schedule) insert(p place) {
	i, _ := slices.BinarySearchFunc(s.places, p.at, func(other place, at float64) int {
		if other.at <= at {
			return -1
		}
		return 1
	})
	s.places = slices.Insert(s.places, i, p)
}

func (s *Schedule) expire(now clock.Millis) {
	n := 0
	for n < len(s.places) && s.places[n].at+float64(lateTolerance) < float64(now) {
		n++
	}
	s.places = slices.Delete(s.places, 0, n)
	s.counts.Expired += uint64(n)
}

// Arrive reports whether a request that arrives at now is a retry with a place, and frees
// the place. The attempts of a request have different IDs, but the same class, key and
// deadline. Other requests count as first attempts.
func (s *Schedule) Arrive(now clock.Millis, r Request) bool {
	s.expire(now)
	i := s.find(now, r)
	if i < 0 {
		s.firstAttemptRate(now)
		s.arrivals++
		return false
	}
	s.places = slices.Delete(s.places, i, i+1)
	s.counts.Claimed++
	return true
}

// HasPlace reports whether Arrive would find a place for the request. It changes nothing.
func (s *Schedule) HasPlace(now clock.Millis, r Request) bool { return s.find(now, r) >= 0 }

func (s *Schedule) find(now clock.Millis, r Request) int {
	for i, p := range s.places {
		if p.at > float64(now+earlyTolerance) {
			break
		}
		difference := max(p.deadline-r.Deadline, r.Deadline-p.deadline)
		if p.key == r.Key && p.class == r.Class && difference <= deadlineTolerance && p.at+float64(lateTolerance) >= float64(now) {
			return i
		}
	}
	return -1
}

// firstAttemptRate returns the first attempts per millisecond in the last full interval.
func (s *Schedule) firstAttemptRate(now clock.Millis) float64 {
	if elapsed := now - s.countedFrom; elapsed >= arrivalInterval {
		s.arrivalRate = float64(s.arrivals) / float64(elapsed)
		s.arrivals, s.countedFrom = 0, now
	}
	return s.arrivalRate
}

// longestDelay returns the longest retry time that a caller honours.
func longestDelay(remaining clock.Millis) clock.Millis { return max(remaining/honouredDivisor, 1) }

// Spread returns the retry time for a request that is refused by an instance which does not
// know when it can be served, for example because its key has no owner. The times of
// different requests are spread evenly over the second half of what a caller honours: a
// later retry finds more keys and upstreams, and a constant would make all return at once.
func Spread(remaining clock.Millis, id string) clock.Millis {
	return SpreadFrom(longestDelay(remaining)/2, remaining, 0, id)
}

// SpreadFrom returns a retry time like Spread, but spreads the times from earliest on, the
// next free time of an upstream as known from another refusal. inTime is the time in milliseconds
// up to which a retry is expected to meet its target; later times are given only if it is over
// by then.
func SpreadFrom(earliest, remaining, inTime clock.Millis, id string) clock.Millis {
	latest := longestDelay(remaining)
	earliest = min(max(earliest, minDelay), latest)
	if inTime > earliest {
		latest = min(latest, inTime)
	}
	return spreadBetween(earliest, latest, id)
}

// spreadBetween returns a time in milliseconds from earliest to latest that depends on the ID.
func spreadBetween(earliest, latest clock.Millis, id string) clock.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // It returns no error.
	fraction := float64(h.Sum32()*hashMultiplier) / (1 << 32)
	return earliest + clock.Millis(fraction*float64(latest-earliest+1))
}

// LongestDelay returns the longest retry time in milliseconds that a caller honours which has the
// given time left.
func LongestDelay(remaining clock.Millis) clock.Millis { return longestDelay(remaining) }
