package retryafter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/internal/virtualtime"
	"briarwell.dev/core/retryafter"
	"briarwell.dev/core/template"
)

const (
	callers       = 4000
	upstreamCount = 20
	slotCount     = 12
	meanService   = 100.0
	timeout       = clock.Millis(900)
	targetLatency = clock.Millis(400)
	oneWay        = clock.Millis(3)
	powerLoss     = clock.Millis(10_000) // all processes end; the sidecars are back at once
	upstreamsBack = powerLoss + 2000
	allKeysBack   = upstreamsBack + 2000
	failurePause  = clock.Millis(500) // the same for all callers, which keeps them in step
	ownerWait     = targetLatency / 4 // how long a dispatcher waits for an owner
)

// attempt is one attempt of a request.
type attempt struct {
	key       int
	first     clock.Millis
	isRetry   bool
	process   int
	admission *admission.Request
}

type replayUpstream struct {
	state    *admission.State
	schedule retryafter.Schedule
	running  map[*admission.Request]*attempt
}

// second counts the requests that callers began in one second.
type second struct{ all, served, inTime, refusedTwice int }

func (s second) share() float64 { return float64(s.served) / float64(max(s.all, 1)) }

type replay struct {
	rng       *rand.Rand
	scheduled bool // false: the drain time of the queue, and 300 ms without an owner
	load      float64
	loop      virtualtime.Loop
	upstreams []*replayUpstream
	process   int
	seconds   [40]second
}

func (r *replay) exp(mean float64) clock.Millis { return clock.Millis(r.rng.ExpFloat64() * mean) }

func (r *replay) begin(now clock.Millis) {
	r.arrive(now+oneWay, &attempt{key: r.rng.IntN(65_536), first: now})
}

// end counts a request; its caller makes the next one after a pause.
func (r *replay) end(now clock.Millis, a *attempt, served bool) {
	s := &r.seconds[a.first/1000]
	s.all++
	pause := failurePause
	if served {
		s.served++
		// The pause makes the given load of the capacity while all requests are served.
		pause = r.exp(callers/(r.load*upstreamCount*slotCount/meanService) - meanService)
		if now-a.first <= targetLatency {
			s.inTime++
		}
	}
	r.loop.At(now+pause, r.begin)
}

func (r *replay) refuse(now clock.Millis, a *attempt, after clock.Millis) {
	if a.isRetry {
		r.seconds[a.first/1000].refusedTwice++
		r.end(now+oneWay, a, false)
		return
	}
	after = min(after, (a.first+timeout-now-oneWay)/3)
	r.arrive(now+2*oneWay+after, &attempt{key: a.key, first: a.first, isRetry: true})
}

func (r *replay) arrive(at clock.Millis, a *attempt) {
	availableAt := upstreamsBack + clock.Millis(a.key)*(allKeysBack-upstreamsBack)/65_536
	r.loop.At(at, func(now clock.Millis) {
		if now < powerLoss || now >= availableAt {
			r.submit(now, a)
			return
		}
		r.loop.At(now+ownerWait, func(now clock.Millis) {
			if now >= availableAt {
				r.submit(now, a)
				return
			}
			after := clock.Millis(300)
			if r.scheduled {
				after = retryafter.Spread(a.first+timeout-now, fmt.Sprint(a.key, a.first))
			}
			r.refuse(now, a, after)
		})
	})
}

func (r *replay) submit(now clock.Millis, a *attempt) {
	u := r.upstreams[a.key%upstreamCount]
	a.process = r.process
	a.admission = admission.NewRequest(template.PriorityNormal, a.first+timeout).WithSoftDeadline(a.first+targetLatency, "r")
	if u.schedule.Arrive(now, u.request(now, a)) && r.scheduled {
		a.admission.WithPromise()
	}
	u.running[a.admission] = a
	r.apply(now, u, u.state.Submit(now, a.admission, nil))
}

func (u *replayUpstream) request(now clock.Millis, a *attempt) retryafter.Request {
	return retryafter.Request{
		ID: fmt.Sprint(a.key, a.first), Class: "r", Key: uint32(a.key), Deadline: a.first + timeout,
		LatencyBudget: max(a.first+targetLatency-now, 1), Final: a.isRetry,
	}
}

func (r *replay) apply(now clock.Millis, u *replayUpstream, actions []admission.Action) {
	for _, action := range actions {
		a := u.running[action.Request()]
		if _, ok := action.(admission.Admit); ok {
			took := clock.Millis(meanService * math.Exp(0.4*r.rng.NormFloat64()-0.08))
			r.loop.At(now+took, func(now clock.Millis) { r.finish(now, u, a) })
			continue
		}
		delete(u.running, action.Request())
		serviceTime := u.state.ServiceMillis()
		capacity := retryafter.Capacity{Slots: u.state.Limit(now), Waiting: u.state.Queued(), ServiceTime: serviceTime, ClassServiceTime: serviceTime}
		after := min(max(clock.Millis(capacity.Waiting+1)*serviceTime/clock.Millis(capacity.Slots), 60), 800)
		if r.scheduled {
			after = u.schedule.Refuse(now, capacity, u.request(now, a))
		}
		r.refuse(now, a, after)
	}
}

func (r *replay) finish(now clock.Millis, u *replayUpstream, a *attempt) {
	if a.process != r.process {
		return // The power loss ended it.
	}
	delete(u.running, a.admission)
	r.end(now+oneWay, a, now+oneWay-a.first <= timeout)
	r.apply(now, u, u.state.Release(now, a.admission, nil))
}

// restart replaces all upstreams. The callers of lost requests begin another one.
func (r *replay) restart(now clock.Millis) {
	r.process++
	old := r.upstreams
	r.upstreams = nil
	for range upstreamCount {
		settings := admission.Settings{Slots: slotCount, ColdStart: 1000}
		r.upstreams = append(r.upstreams, &replayUpstream{state: admission.NewState(max(now, upstreamsBack*min(now, 1)), settings), running: map[*admission.Request]*attempt{}})
	}
	for _, u := range old {
		for range u.running {
			r.loop.At(now+r.exp(100), r.begin)
		}
	}
}

func runReplay(scheduled bool, load float64, seed uint64) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(seed, 1)), scheduled: scheduled, load: load}
	r.restart(0)
	for range callers {
		r.loop.At(clock.Millis(r.rng.IntN(2000)), r.begin)
	}
	r.loop.At(powerLoss, r.restart)
	r.loop.RunUntil(22_000)
	return r
}

// sum adds up the seconds from first to before end.
func (r *replay) sum(first, end int) second {
	var sum second
	for _, s := range r.seconds[first:end] {
		sum.all += s.all
		sum.served += s.served
		sum.inTime += s.inTime
		sum.refusedTwice += s.refusedTwice
	}
	return sum
}

// TestRestartOfAllProcesses replays a power loss: 4,000 callers with one retry each, and
// upstreams that are back after 2 s and get their keys within 2 s more. It guards against
// callers who return at the same time and are refused again, so that the load is not served
// 5 s after the sidecars are back.
func TestRestartOfAllProcesses(t *testing.T) {
	is := is.New(t)
	const back = int(powerLoss / 1000)
	for _, load := range []float64{0.6, 0.8, 0.9} {
		for seed := range uint64(3) {
			naive, own := runReplay(false, load, seed), runReplay(true, load, seed)
			for second := back; second < back+8; second++ {
				t.Logf("load %.1f seed %d second %d: naive %+v, own %+v", load, seed, second-back, naive.seconds[second], own.seconds[second])
			}
			before, after := own.sum(5, back), own.sum(back+5, back+6)
			t.Logf("load %.1f seed %d: before %+v; 5 s after the restart: own %.3f, naive %.3f; 2nd to 8th second: own %+v, naive %+v",
				load, seed, before, after.share(), naive.sum(back+5, back+6).share(), own.sum(back+2, back+8), naive.sum(back+2, back+8))
			is.True(after.share() >= 0.9*before.share())
		}
	}
}

// TestSimultaneousReturn replays 4,000 callers that send one request each within 50 ms, when
// the service times are not known yet. It guards against retries that all come before the
// first requests have ended.
func TestSimultaneousReturn(t *testing.T) {
	is := is.New(t)
	run := func(scheduled bool, seed uint64) second {
		r := &replay{rng: rand.New(rand.NewPCG(seed, 2)), scheduled: scheduled, load: 0.1}
		r.restart(upstreamsBack)
		for range callers {
			r.loop.At(allKeysBack+1000+clock.Millis(r.rng.IntN(50)), r.begin)
		}
		r.loop.RunUntil(allKeysBack + 1900)
		return r.sum(int(allKeysBack+1000)/1000, int(allKeysBack+1000)/1000+1)
	}
	for seed := range uint64(3) {
		naive, own := run(false, seed), run(true, seed)
		t.Logf("seed %d: naive %+v, own %+v", seed, naive, own)
		is.True(own.served > naive.served)
	}
}
