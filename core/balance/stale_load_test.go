package balance_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
)

const (
	dispatchers = 28
	upstreams   = 9
	slots       = 12
	// shortServiceMillis and longServiceMillis are the service times of two request
	// classes on an upstream of speed 1, longShare is the share of long requests.
	shortServiceMillis = 64.0
	longServiceMillis  = 400.0
	longShare          = 0.25
	meanServiceMillis  = longShare*longServiceMillis + (1-longShare)*shortServiceMillis
)

// completion is the end of a request at an upstream.
type completion struct {
	at         clock.Millis
	class      string
	dispatcher int
	upstream   int
}

// completions is a heap of completions by time.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// simulateSharedService simulates a service in one region whose upstreams have speeds of
// 0.5 to 1.5 and run at 70% of their capacity. Many daemons send requests, and each receives
// only the loads reported with the responses to its own requests. It returns the mean wait
// for a slot in milliseconds.
func simulateSharedService(choose func(b *balance.Balancer, knownLoads []balance.Load, now clock.Millis, candidates []balance.Candidate, request balance.Request, rng *rand.Rand) int) float64 {
	rng := rand.New(rand.NewPCG(3, 3))
	speeds := []float64{0.5, 1, 1, 1.5, 0.5, 1, 1, 1.5, 1}
	candidates := make([]balance.Candidate, upstreams)
	totalSpeed := 0.0
	for i := range candidates {
		candidates[i] = balance.Candidate{Name: strconv.Itoa(i), Location: here, Slots: slots}
		totalSpeed += speeds[i]
	}
	balancers, knownLoads := make([]*balance.Balancer, dispatchers), make([][]balance.Load, dispatchers)
	for i := range balancers {
		balancers[i], knownLoads[i] = balance.New(here), make([]balance.Load, upstreams)
	}
	slotFreeAt := make([][]float64, upstreams) // by upstream and slot
	for i := range slotFreeAt {
		slotFreeAt[i] = make([]float64, slots)
	}
	running, serviceTimes := make([]int, upstreams), make([]float64, upstreams)
	classMillis := map[string]float64{"short": shortServiceMillis, "long": longServiceMillis}
	var pending completions
	totalWait, count := 0.0, 0
	requestsPerMilli := 0.7 * totalSpeed * slots / meanServiceMillis
	for arrival := 0.0; arrival < 20_000; arrival += rng.ExpFloat64() / requestsPerMilli {
		now := clock.Millis(arrival)
		for len(pending) > 0 && pending[0].at <= now {
			done := heap.Pop(&pending).(completion)
			running[done.upstream]--
			requestMillis := classMillis[done.class] / speeds[done.upstream]
			serviceTimes[done.upstream] += 0.1 * (requestMillis - serviceTimes[done.upstream])
			load := balance.Load{
				Running: min(running[done.upstream], slots), Waiting: max(running[done.upstream]-slots, 0), Slots: slots,
				ServiceTime: clock.Millis(serviceTimes[done.upstream]), ClassServiceTime: clock.Millis(requestMillis),
			}
			knownLoads[done.dispatcher][done.upstream] = load
			balancers[done.dispatcher].RequestEnded(candidates[done.upstream].Name)
			balancers[done.dispatcher].RecordLoad(done.at, candidates[done.upstream].Name, done.class, load)
		}
		dispatcher := rng.IntN(dispatchers)
		class := "short"
		if rng.Float64() < longShare {
			class = "long"
		}
		upstream := choose(balancers[dispatcher], knownLoads[dispatcher], now, candidates, balance.Request{Class: class}, rng)
		balancers[dispatcher].RequestStarted(candidates[upstream].Name)
		running[upstream]++
		slot := 0
		for i, freeAt := range slotFreeAt[upstream] {
			if freeAt < slotFreeAt[upstream][slot] {
				slot = i
			}
		}
		start := max(arrival, slotFreeAt[upstream][slot])
		slotFreeAt[upstream][slot] = start + classMillis[class]/speeds[upstream]
		heap.Push(&pending, completion{at: clock.Millis(slotFreeAt[upstream][slot]), class: class, dispatcher: dispatcher, upstream: upstream})
		totalWait += start - arrival
		count++
	}
	return totalWait / float64(count)
}

// TestStaleLoadHerding guards against many daemons choosing the same upstream of a service
// with short and long requests. Choosing the lowest expected time by the last known load
// does so, above all if that upstream has just run short requests.
func TestStaleLoadHerding(t *testing.T) {
	is := is.New(t)
	lowestTime := simulateSharedService(func(_ *balance.Balancer, knownLoads []balance.Load, _ clock.Millis, _ []balance.Candidate, _ balance.Request, _ *rand.Rand) int {
		best, lowestCost := 0, math.Inf(1)
		for i, l := range knownLoads {
			if cost := float64(l.ServiceTime) * (1 + max(float64(l.Running+l.Waiting+1-slots), 0)/slots); cost < lowestCost {
				best, lowestCost = i, cost
			}
		}
		return best
	})
	balanced := simulateSharedService(func(b *balance.Balancer, _ []balance.Load, now clock.Millis, candidates []balance.Candidate, request balance.Request, rng *rand.Rand) int {
		return b.Pick(now, candidates, request, nil, rng.Float64)
	})
	t.Logf("mean wait for a slot: lowest expected time %.1f ms, balancer %.1f ms", lowestTime, balanced)
	is.True(balanced < meanServiceMillis/4)
	is.True(balanced < lowestTime/2)
}
