package capacity_test

import (
	"math"
	"math/rand/v2"
	"strconv"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/template"
)

type class struct {
	name   string
	millis float64
	share  float64
}

// scenario is a load on the upstreams of one service in virtual time.
type scenario struct {
	// slowness holds the relative service times of the upstreams.
	slowness []float64
	slots    int
	// knee is the share of the slots above which the service time grows with the power
	// steepness of the running requests; 0 for none.
	knee, steepness float64
	// kneeUntil is the time at which the knee vanishes, 0 if it stays.
	kneeUntil clock.Millis
	// factor returns a further factor of an upstream's service times.
	factor  func(upstream int, now clock.Millis) float64
	reports bool
	classes []class
	// load returns the offered load as a share of the greatest throughput at factor 1.
	load        func(now clock.Millis) float64
	seconds     int
	dispatchers int
	seed        uint64
	// observe is called each 100 ms with the state of the first upstream.
	observe func(now clock.Millis, state *admission.State)
}

type policy int

const (
	// naive uses the announced slots, and selects upstreams at random by them.
	naive policy = iota
	// announced uses the announced slots, and selects upstreams by balance.Balancer.
	announced
	learned
	// oracle knows the knee, and all loads and speeds at each moment.
	oracle
)

const (
	tailShare, tailFactor = 0.02, 5.0
	stepMillis            = 1
)

func (s *scenario) shape(running int) float64 {
	if knee := s.knee * float64(s.slots); knee > 0 && float64(running) > knee {
		return math.Pow(float64(running)/knee, s.steepness)
	}
	return 1
}

// bestLimit returns the number of running requests with the greatest throughput.
func (s *scenario) bestLimit() int {
	best := 1
	for n := range s.slots + 1 {
		if float64(n)/s.shape(n) > float64(best)/s.shape(best)+1e-9 {
			best = n
		}
	}
	return best
}

func (s *scenario) meanMillis() float64 {
	mean := 0.0
	for _, c := range s.classes {
		mean += c.share * c.millis
	}
	return mean * (1 + tailShare*(tailFactor-1))
}

// perSecond returns the greatest throughput of an upstream at factor 1.
func (s *scenario) perSecond(upstream int) float64 {
	n := s.bestLimit()
	return float64(n) / s.shape(n) * 1000 / s.meanMillis() / s.slowness[upstream]
}

type job struct {
	class        class
	arrived      clock.Millis
	work         float64
	dispatcher   int
	budget       clock.Millis
	requestState *admission.Request
}

type simulation struct {
	scenario
	policy    policy
	rng       *rand.Rand
	states    []*admission.State
	running   [][]*job
	jobs      map[*admission.Request]*job
	balancers []*balance.Balancer
	total     int
	inTime    int
}

func name(i int) string { return strconv.Itoa(i) }

// simulate returns the share of the requests that are served in time.
func simulate(s scenario, p policy) float64 {
	sim := &simulation{scenario: s, policy: p, rng: rand.New(rand.NewPCG(7, s.seed)), jobs: map[*admission.Request]*job{}}
	settings := admission.Settings{Slots: s.slots, FixedLimit: p != learned}
	if p == oracle {
		settings.Slots = s.bestLimit()
	}
	total := 0.0
	for i := range s.slowness {
		sim.states = append(sim.states, admission.NewState(0, settings))
		total += s.perSecond(i)
	}
	sim.running = make([][]*job, len(s.slowness))
	for range max(s.dispatchers, 1) {
		sim.balancers = append(sim.balancers, balance.New(identity.NewLocation("r", "z")))
	}
	arrivals := rand.New(rand.NewPCG(9, s.seed))
	next := 0.0
	for now := clock.Millis(0); now < clock.Millis(s.seconds*1000); now += stepMillis {
		for ; next <= float64(now); next += arrivals.ExpFloat64() * 1000 / (total * s.load(now)) {
			sim.arrive(now, arrivals)
		}
		for u := range sim.running {
			sim.run(now, u)
		}
		if s.observe != nil && now%100 == 0 {
			s.observe(now, sim.states[0])
		}
	}
	return float64(sim.inTime) / float64(sim.total)
}

func (s *simulation) arrive(now clock.Millis, rng *rand.Rand) {
	j := &job{arrived: now, dispatcher: rng.IntN(len(s.balancers))}
	draw := rng.Float64()
	for _, j.class = range s.classes {
		if draw -= j.class.share; draw < 0 {
			break
		}
	}
	j.work = j.class.millis * math.Exp(0.4*rng.NormFloat64()-0.08)
	if rng.Float64() < tailShare {
		j.work *= tailFactor
	}
	j.budget = clock.Millis(200 + 3*j.class.millis)
	s.total++
	s.submit(now, j)
}

func (s *simulation) pick(now clock.Millis, j *job) int {
	switch s.policy {
	case naive:
		return s.rng.IntN(len(s.states))
	case announced, learned:
		candidates := make([]balance.Candidate, len(s.states))
		for u := range candidates {
			candidates[u] = balance.Candidate{Name: name(u), Location: identity.NewLocation("r", "z"), Slots: s.slots}
		}
		return s.balancers[j.dispatcher].Pick(now, candidates, balance.Request{Class: j.class.name}, nil, s.rng.Float64)
	default:
		best, lowest := 0, math.Inf(1)
		for u, state := range s.states {
			if cost := float64(state.InFlight()+state.Queued()+1) / s.perSecond(u) * s.factor(u, now); cost < lowest {
				best, lowest = u, cost
			}
		}
		return best
	}
}

func (s *simulation) submit(now clock.Millis, j *job) {
	u := s.pick(now, j)
	s.balancers[j.dispatcher].RequestStarted(name(u))
	request := admission.NewRequest(template.PriorityNormal, j.arrived+3*j.budget).WithSoftDeadline(j.arrived+j.budget, j.class.name)
	s.jobs[request], j.requestState = j, request
	s.apply(now, u, s.states[u].Submit(now, request, nil))
}

// respond ends a request at its dispatcher, which learns the load of the upstream.
func (s *simulation) respond(now clock.Millis, u int, j *job, done bool) {
	b, state := s.balancers[j.dispatcher], s.states[u]
	estimate := state.Capacity(now)
	load := balance.Load{
		Running: state.InFlight(), Waiting: state.Queued(), Slots: estimate.Limit, ServiceTime: state.ServiceMillis(), Capacity: int(estimate.PerSecond),
	}
	if done {
		load.ClassServiceTime = state.ClassMillis(now, j.class.name)
	}
	b.RequestEnded(name(u))
	b.RecordLoad(now, name(u), j.class.name, load)
	delete(s.jobs, j.requestState)
}

func (s *simulation) apply(now clock.Millis, u int, actions []admission.Action) {
	for _, action := range actions {
		j := s.jobs[action.Request()]
		if _, ok := action.(admission.Admit); ok {
			s.running[u] = append(s.running[u], j)
			continue
		}
		s.respond(now, u, j, false)
	}
}

// run advances the requests at an upstream by one step.
func (s *simulation) run(now clock.Millis, u int) {
	if s.kneeUntil > 0 && now >= s.kneeUntil {
		s.knee = 0
	}
	factor := s.factor(u, now)
	progress := stepMillis / (factor * s.slowness[u] * s.shape(len(s.running[u])))
	kept := make([]*job, 0, s.slots)
	var ended []*job
	for _, j := range s.running[u] {
		if j.work -= progress; j.work > 0 {
			kept = append(kept, j)
			continue
		}
		ended = append(ended, j)
	}
	s.running[u] = kept
	for _, j := range ended {
		if now <= j.arrived+j.budget {
			s.inTime++
		}
		if s.reports {
			s.states[u].ReportSlowness(now, int(100*factor))
		}
		actions := s.states[u].Release(now, j.requestState, nil)
		s.respond(now, u, j, true)
		s.apply(now, u, actions)
	}
}
