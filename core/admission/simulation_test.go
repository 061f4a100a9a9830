package admission_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/template"
)

// loadPattern is a load on one upstream of 12 slots. A refused request is retried
// once.
type loadPattern struct {
	// rate returns the new requests per second at a time in seconds.
	rate            func(second float64) float64
	durationSeconds int
}

const (
	simulationSlots    = 12
	meanServiceMillis  = 240.0
	softDeadlineMillis = 400
	deadlineMillis     = 900
)

// result counts the requests of all callers by how they ended, and the refusals after a
// wait of more than a quarter of the soft deadline.
type result struct {
	total, inTime, late, failed, refusedAfterWait int
}

// utility returns the mean value of a request: 1 for a response in time, 0.3 for a
// late one and 0 for a failure.
func (r result) utility() float64 {
	return (float64(r.inTime) + 0.3*float64(r.late)) / float64(r.total)
}

type simulation struct {
	rng   *rand.Rand
	state *admission.State
	// softDeadlines reports whether requests have soft deadlines.
	softDeadlines bool
	events        []event
	arrivals      map[*admission.Request]arrival
	result        result
}

type event struct {
	at  clock.Millis
	run func(clock.Millis)
}

type arrival struct {
	first, at clock.Millis
	isRetry   bool
}

func (s *simulation) schedule(at clock.Millis, run func(clock.Millis)) {
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at clock.Millis) int { return int(e.at - at) })
	for i < len(s.events) && s.events[i].at == at {
		i++
	}
	s.events = slices.Insert(s.events, i, event{at: at, run: run})
}

func (s *simulation) submit(now clock.Millis, a arrival) {
	deadline := a.first + deadlineMillis
	request := admission.NewRequest(template.PriorityNormal, deadline)
	if s.softDeadlines {
		request.WithSoftDeadline(a.first+softDeadlineMillis, "browse")
	}
	s.arrivals[request] = a
	s.apply(now, s.state.Submit(now, request, nil))
}

func (s *simulation) apply(now clock.Millis, actions []admission.Action) {
	for _, action := range actions {
		request := action.Request()
		a := s.arrivals[request]
		switch action.(type) {
		case admission.Admit:
			// Service times are log-normal, with the spread of the users' upstreams.
			serviceTime := clock.Millis(meanServiceMillis * math.Exp(0.4*s.rng.NormFloat64()-0.08))
			end := min(now+serviceTime, a.first+deadlineMillis)
			s.schedule(end, func(now clock.Millis) { s.finish(now, request, serviceTime) })
		case admission.Refuse:
			if now-a.at > softDeadlineMillis/4 {
				s.result.refusedAfterWait++
			}
			if !a.isRetry {
				retry := arrival{first: a.first, at: now + 120, isRetry: true}
				s.schedule(retry.at, func(now clock.Millis) { s.submit(now, retry) })
				continue
			}
			s.result.failed++
		}
	}
}

func (s *simulation) finish(now clock.Millis, request *admission.Request, serviceTime clock.Millis) {
	a := s.arrivals[request]
	switch latency := now - a.first; {
	case latency >= deadlineMillis:
		s.result.failed++
	case latency <= softDeadlineMillis:
		s.result.inTime++
	default:
		s.result.late++
	}
	_ = serviceTime
	s.apply(now, s.state.Release(now, request, nil))
}

func simulate(load loadPattern, softDeadlines bool) result {
	s := &simulation{
		rng: rand.New(rand.NewPCG(5, 5)), state: admission.NewState(0, admission.Settings{Slots: simulationSlots}),
		softDeadlines: softDeadlines, arrivals: make(map[*admission.Request]arrival),
	}
	for at := 0.0; at < float64(load.durationSeconds); {
		at += s.rng.ExpFloat64() / load.rate(at)
		a := arrival{first: clock.Millis(at * 1000), at: clock.Millis(at * 1000)}
		s.result.total++
		s.schedule(a.first, func(now clock.Millis) { s.submit(now, a) })
	}
	for len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		next.run(next.at)
	}
	return s.result
}

// requestsPerSecond is the capacity of the upstream.
const requestsPerSecond = simulationSlots * 1000 / meanServiceMillis

// TestSoftDeadlineSimulation compares the queue order by soft deadline with the order
// by deadline alone, under several load patterns. It guards against a queue so long
// that all responses are late, and against requests that are refused after a long
// wait.
func TestSoftDeadlineSimulation(t *testing.T) {
	is := is.New(t)
	for name, c := range map[string]struct {
		load loadPattern
		// gain is the minimum difference between the utilities of the two orders.
		gain float64
	}{
		"light load":         {loadPattern{func(float64) float64 { return 0.6 * requestsPerSecond }, 60}, -0.01},
		"sustained overload": {loadPattern{func(float64) float64 { return 1.4 * requestsPerSecond }, 60}, 0.15},
		"burst": {loadPattern{func(s float64) float64 {
			if s > 10 && s < 14 {
				return 2 * requestsPerSecond
			}
			return 0.7 * requestsPerSecond
		}, 30}, 0.02},
		"sine wave": {loadPattern{func(s float64) float64 { return requestsPerSecond * (0.95 + 0.4*math.Sin(s*2*math.Pi/11)) }, 66}, 0.05},
	} {
		byDeadline, bySoftDeadline := simulate(c.load, false), simulate(c.load, true)
		t.Logf("%s: utility %.3f, by deadline alone %.3f; %+v, by deadline alone %+v", name, bySoftDeadline.utility(), byDeadline.utility(), bySoftDeadline, byDeadline)
		is.True(bySoftDeadline.utility() >= byDeadline.utility()+c.gain)
		is.True(bySoftDeadline.refusedAfterWait <= bySoftDeadline.total/50)
	}
}
