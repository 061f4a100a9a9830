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

// pattern is a load on one upstream of 12 slots: requests a second over time, of
// which those that are refused come back once.
type pattern struct {
	rate    func(second float64) float64
	seconds int
}

const (
	replaySlots     = 12
	replayService   = 240.0
	replayObjective = 400
	replayDeadline  = 900
)

// result counts what callers got.
type result struct {
	asked, inTime, late, failed, heldRefused int
}

func (r result) worth() float64 { return (float64(r.inTime) + 0.3*float64(r.late)) / float64(r.asked) }

type replay struct {
	rng     *rand.Rand
	machine *admission.State
	wanted  bool
	events  []event
	arrived map[*admission.Request]arrival
	result  result
}

type event struct {
	at  clock.Millis
	run func(clock.Millis)
}

type arrival struct {
	first, at clock.Millis
	again     bool
}

func (r *replay) schedule(at clock.Millis, run func(clock.Millis)) {
	i, _ := slices.BinarySearchFunc(r.events, at, func(e event, at clock.Millis) int { return int(e.at - at) })
	for i < len(r.events) && r.events[i].at == at {
		i++
	}
	r.events = slices.Insert(r.events, i, event{at: at, run: run})
}

func (r *replay) submit(now clock.Millis, a arrival) {
	deadline := a.first + replayDeadline
	ticket := admission.NewRequest(template.PriorityNormal, deadline)
	if r.wanted {
		ticket.WithSoftDeadline(a.first+replayObjective, "browse")
	}
	r.arrived[ticket] = a
	r.take(now, r.machine.Submit(now, ticket, nil))
}

func (r *replay) take(now clock.Millis, actions []admission.Action) {
	for _, action := range actions {
		ticket := action.Request()
		a := r.arrived[ticket]
		switch action.(type) {
		case admission.Admit:
			// Service times are spread like those of the users' upstreams.
			work := clock.Millis(replayService * math.Exp(0.4*r.rng.NormFloat64()-0.08))
			end := min(now+work, a.first+replayDeadline)
			r.schedule(end, func(now clock.Millis) { r.finish(now, ticket, work) })
		case admission.Refuse:
			if now-a.at > replayObjective/4 {
				r.result.heldRefused++
			}
			if !a.again {
				back := arrival{first: a.first, at: now + 120, again: true}
				r.schedule(back.at, func(now clock.Millis) { r.submit(now, back) })
				continue
			}
			r.result.failed++
		}
	}
}

func (r *replay) finish(now clock.Millis, ticket *admission.Request, work clock.Millis) {
	a := r.arrived[ticket]
	switch took := now - a.first; {
	case took >= replayDeadline:
		r.result.failed++
	case took <= replayObjective:
		r.result.inTime++
	default:
		r.result.late++
	}
	_ = work
	r.take(now, r.machine.Release(now, ticket, nil))
}

func play(p pattern, wanted bool) result {
	r := &replay{
		rng: rand.New(rand.NewPCG(5, 5)), machine: admission.NewState(0, admission.Settings{Slots: replaySlots}),
		wanted: wanted, arrived: make(map[*admission.Request]arrival),
	}
	for at := 0.0; at < float64(p.seconds); {
		at += r.rng.ExpFloat64() / p.rate(at)
		a := arrival{first: clock.Millis(at * 1000), at: clock.Millis(at * 1000)}
		r.result.asked++
		r.schedule(a.first, func(now clock.Millis) { r.submit(now, a) })
	}
	for len(r.events) > 0 {
		next := r.events[0]
		r.events = r.events[1:]
		next.run(next.at)
	}
	return r.result
}

// capacity is what 12 slots can run in a second.
const replayCapacity = replaySlots * 1000 / replayService

// TestReplay replays load patterns on the queue of one upstream, and compares the
// order by what can be in time with the naive order by deadline alone. It guards
// against waiting that makes all answers late, and against requests that are held
// and then refused.
func TestReplay(t *testing.T) {
	is := is.New(t)
	for name, c := range map[string]struct {
		pattern pattern
		// gain is by how much the worth must exceed the naive one.
		gain float64
	}{
		"calm":               {pattern{func(float64) float64 { return 0.6 * replayCapacity }, 60}, -0.01},
		"sustained overload": {pattern{func(float64) float64 { return 1.4 * replayCapacity }, 60}, 0.15},
		"burst": {pattern{func(s float64) float64 {
			if s > 10 && s < 14 {
				return 2 * replayCapacity
			}
			return 0.7 * replayCapacity
		}, 30}, 0.02},
		"wave": {pattern{func(s float64) float64 { return replayCapacity * (0.95 + 0.4*math.Sin(s*2*math.Pi/11)) }, 66}, 0.05},
	} {
		naive, own := play(c.pattern, false), play(c.pattern, true)
		t.Logf("%s: worth %.3f, naive %.3f; %+v, naive %+v", name, own.worth(), naive.worth(), own, naive)
		is.True(own.worth() >= naive.worth()+c.gain)
		is.True(own.heldRefused <= own.asked/50)
	}
}
