package backpressure_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/backpressure"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/internal/virtualtime"
	"briarwell.dev/core/template"
)

const (
	dispatchers   = 80
	slots         = 12
	targetLatency = clock.Millis(400)
	timeout       = clock.Millis(900)
)

type upstream struct {
	state     *admission.State
	onAdmit   map[*admission.Request]func(now clock.Millis)
	onRefused map[*admission.Request]func(now clock.Millis)
	// idleMillis and refusingMillis are over the slots, while requests are refused.
	idleMillis, refusingMillis float64
}

// simulation is a service with two ranks of requests; rank 1 has two thirds of them.
type simulation struct {
	loop        virtualtime.Loop
	rng         *rand.Rand
	local       bool
	upstreams   []*upstream
	dispatchers [dispatchers]backpressure.State
	service     float64 // mean service time in milliseconds
	lastRefusal clock.Millis
	// messages counts the requests sent to upstreams.
	messages, served, refused, refusedLocally int
	servedByRank                              [2]int
}

// begin makes requests from the time at on, in milliseconds.
func (s *simulation) begin(at float64, rate func(now clock.Millis) float64) {
	s.loop.At(clock.Millis(at), func(now clock.Millis) {
		s.request(now, s.rng.IntN(dispatchers), min(s.rng.IntN(3), 1))
		s.begin(at+s.rng.ExpFloat64()*1000/rate(now), rate)
	})
}

func (s *simulation) request(now clock.Millis, dispatcher, rank int) {
	target := backpressure.Target{Service: "s"}
	if len(s.upstreams) == 1 {
		target.Instance = "owner"
	}
	if _, refused := s.dispatchers[dispatcher].Refuse(now, target, rank, s.rng.Float64()); refused && s.local {
		s.refusedLocally++
		s.lastRefusal = now
		return
	}
	s.send(now, dispatcher, rank, target, 0, now+timeout)
}

// send tries two upstreams of a service without keys, as a dispatcher does.
func (s *simulation) send(now clock.Millis, dispatcher, rank int, target backpressure.Target, tried int, deadline clock.Millis) {
	oneWay := clock.Millis(1 + s.rng.IntN(20))
	u := s.upstreams[s.rng.IntN(len(s.upstreams))]
	s.messages++
	s.loop.At(now+oneWay, func(now clock.Millis) {
		request := admission.NewRequest(template.Priority(100-rank), deadline).WithSoftDeadline(deadline-timeout+targetLatency, "r")
		u.onAdmit[request] = func(now clock.Millis) {
			took := clock.Millis(s.service * math.Exp(0.4*s.rng.NormFloat64()-0.08))
			s.loop.At(now+took, func(now clock.Millis) {
				s.served++
				s.servedByRank[rank]++
				u.apply(now, u.state.Release(now, request, nil))
				free := u.state.Queued() == 0 && u.state.InFlight() < u.state.Limit(now)
				s.loop.At(now+oneWay, func(now clock.Millis) { s.dispatchers[dispatcher].RecordAccepted(now, target, rank, free) })
			})
		}
		u.onRefused[request] = func(now clock.Millis) {
			s.loop.At(now+oneWay, func(now clock.Millis) {
				if tried == 0 && len(s.upstreams) > 1 {
					s.send(now, dispatcher, rank, target, 1, deadline)
					return
				}
				s.refused++
				s.lastRefusal = now
				s.dispatchers[dispatcher].RecordRefused(now, target, rank, 100)
			})
		}
		u.apply(now, u.state.Submit(now, request, nil))
	})
}

func (u *upstream) apply(now clock.Millis, actions []admission.Action) {
	for _, action := range actions {
		request := action.Request()
		run := u.onAdmit[request]
		if _, ok := action.(admission.Refuse); ok {
			run = u.onRefused[request]
		}
		delete(u.onAdmit, request)
		delete(u.onRefused, request)
		run(now)
	}
}

// sample counts the idle slots while a request was refused in the last 20 ms.
func (s *simulation) sample(now clock.Millis) {
	if now > 1000 && now-s.lastRefusal < 20 {
		for _, u := range s.upstreams {
			u.idleMillis += float64(slots - u.state.InFlight())
			u.refusingMillis += slots
		}
	}
	s.loop.At(now+1, s.sample)
}

func (s *simulation) idleShare() float64 {
	idle, all := 0.0, 0.0
	for _, u := range s.upstreams {
		idle, all = idle+u.idleMillis, all+u.refusingMillis
	}
	return idle / max(all, 1)
}

func simulate(local bool, upstreams int, rate func(now clock.Millis) float64, faster bool) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(3, uint64(upstreams))), local: local, service: 100, lastRefusal: -1000}
	for range upstreams {
		s.upstreams = append(s.upstreams, &upstream{
			state:   admission.NewState(0, admission.Settings{Slots: slots}),
			onAdmit: map[*admission.Request]func(clock.Millis){}, onRefused: map[*admission.Request]func(clock.Millis){},
		})
	}
	s.begin(0, rate)
	s.sample(0)
	if faster {
		s.loop.At(10_000, func(clock.Millis) { s.service = 40 })
	}
	s.loop.RunUntil(20_000)
	return s
}

// TestLocalRefusal guards against refusals that cross the network although the dispatcher
// could know them, and against slots that stay idle because it no longer asks. The naive rule
// sends all requests.
func TestLocalRefusal(t *testing.T) {
	const capacity = 1000 / 100 * slots
	for _, upstreams := range []int{1, 10} {
		for name, c := range map[string]struct {
			rate   func(now clock.Millis) float64
			faster bool
			// fewer is true if the load is so high that fewer messages are expected than with
			// the naive rule.
			fewer bool
		}{
			"light load":       {func(clock.Millis) float64 { return 0.5 }, false, false},
			"twice":            {func(clock.Millis) float64 { return 2 }, false, false},
			"5 times":          {func(clock.Millis) float64 { return 5 }, false, true},
			"28 times":         {func(clock.Millis) float64 { return 28 }, false, true},
			"5 times, faster":  {func(clock.Millis) float64 { return 5 }, true, false},
			"bursts of 500 ms": {func(now clock.Millis) float64 { return []float64{0.5, 5}[now/500%2] }, false, false},
		} {
			t.Run(fmt.Sprint(name, ", upstreams: ", upstreams), func(t *testing.T) {
				is := is.New(t)
				rate := func(now clock.Millis) float64 { return c.rate(now) * capacity * float64(upstreams) }
				naive, own := simulate(false, upstreams, rate, c.faster), simulate(true, upstreams, rate, c.faster)
				t.Logf("messages: naive %d, own %d; served: %d %v, %d %v; refused by the upstream: %d, %d; locally %d; idle while refusing: %.4f, %.4f", naive.messages, own.messages,
					naive.served, naive.servedByRank, own.served, own.servedByRank, naive.refused, own.refused, own.refusedLocally, naive.idleShare(), own.idleShare())
				is.True(own.messages < naive.messages || !c.fewer)
				is.True(own.idleShare() < 0.02)
				if name == "light load" {
					is.Equal(own.refusedLocally, 0)
				}
			})
		}
	}
}
