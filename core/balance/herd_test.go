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
	// shortServiceMillis and longMillis are the work of two classes, longShare the share of
	// the requests that are long.
	shortServiceMillis = 64.0
	longServiceMillis  = 400.0
	longShare          = 0.25
	meanServiceMillis  = longShare*longServiceMillis + (1-longShare)*shortServiceMillis
)

type completion struct {
	at         clock.Millis
	class      string
	dispatcher int
	upstream   int
}

type completions []completion

func (d completions) Len() int           { return len(d) }
func (d completions) Less(i, j int) bool { return d[i].at < d[j].at }
func (d completions) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *completions) Push(x any)        { *d = append(*d, x.(completion)) }
func (d *completions) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// simulateSharedService replays a service of one region whose upstreams run at speeds of 0.5 to 1.5
// at 70 in 100 of their capacity, asked by many daemons which each know only the loads
// that came with their own answers. It returns the mean wait in milliseconds.
func simulateSharedService(choose func(b *balance.Balancer, known []balance.Load, now clock.Millis, list []balance.Candidate, ask balance.Request, rng *rand.Rand) int) float64 {
	rng := rand.New(rand.NewPCG(3, 3))
	speeds := []float64{0.5, 1, 1, 1.5, 0.5, 1, 1, 1.5, 1}
	list := make([]balance.Candidate, upstreams)
	total := 0.0
	for i := range list {
		list[i] = balance.Candidate{Name: strconv.Itoa(i), Location: here, Slots: slots}
		total += speeds[i]
	}
	balancers, known := make([]*balance.Balancer, dispatchers), make([][]balance.Load, dispatchers)
	for i := range balancers {
		balancers[i], known[i] = balance.New(here), make([]balance.Load, upstreams)
	}
	free := make([][]float64, upstreams) // when each slot is free
	for i := range free {
		free[i] = make([]float64, slots)
	}
	running, service := make([]int, upstreams), make([]float64, upstreams)
	works := map[string]float64{"short": shortServiceMillis, "long": longServiceMillis}
	var ends completions
	waited, count := 0.0, 0
	perMilli := 0.7 * total * slots / meanServiceMillis
	for at := 0.0; at < 20_000; at += rng.ExpFloat64() / perMilli {
		now := clock.Millis(at)
		for len(ends) > 0 && ends[0].at <= now {
			d := heap.Pop(&ends).(completion)
			running[d.upstream]--
			own := works[d.class] / speeds[d.upstream]
			service[d.upstream] += 0.1 * (own - service[d.upstream])
			load := balance.Load{
				Running: min(running[d.upstream], slots), Waiting: max(running[d.upstream]-slots, 0), Slots: slots,
				ServiceTime: clock.Millis(service[d.upstream]), ClassServiceTime: clock.Millis(own),
			}
			known[d.dispatcher][d.upstream] = load
			balancers[d.dispatcher].RequestEnded(list[d.upstream].Name)
			balancers[d.dispatcher].RecordLoad(d.at, list[d.upstream].Name, d.class, load)
		}
		entry := rng.IntN(dispatchers)
		class := "short"
		if rng.Float64() < longShare {
			class = "long"
		}
		chosen := choose(balancers[entry], known[entry], now, list, balance.Request{Class: class}, rng)
		balancers[entry].RequestStarted(list[chosen].Name)
		running[chosen]++
		slot := 0
		for i, f := range free[chosen] {
			if f < free[chosen][slot] {
				slot = i
			}
		}
		start := max(at, free[chosen][slot])
		free[chosen][slot] = start + works[class]/speeds[chosen]
		heap.Push(&ends, completion{at: clock.Millis(free[chosen][slot]), class: class, dispatcher: entry, upstream: chosen})
		waited += start - at
		count++
	}
	return waited / float64(count)
}

// TestStaleLoadHerding replays many daemons that share the upstreams of a service with short and long
// requests. The naive rule, the least expected time by the load known last, sends them
// all to the same one, and most of all to one that has just run short requests.
func TestStaleLoadHerding(t *testing.T) {
	is := is.New(t)
	naive := simulateSharedService(func(_ *balance.Balancer, known []balance.Load, _ clock.Millis, _ []balance.Candidate, _ balance.Request, _ *rand.Rand) int {
		best, lowest := 0, math.Inf(1)
		for i, l := range known {
			if cost := float64(l.ServiceTime) * (1 + max(float64(l.Running+l.Waiting+1-slots), 0)/slots); cost < lowest {
				best, lowest = i, cost
			}
		}
		return best
	})
	own := simulateSharedService(func(b *balance.Balancer, _ []balance.Load, now clock.Millis, list []balance.Candidate, ask balance.Request, rng *rand.Rand) int {
		return b.Pick(now, list, ask, nil, rng.Float64)
	})
	t.Logf("mean wait for a slot: naive %.1f ms, own %.1f ms", naive, own)
	is.True(own < meanServiceMillis/4)
	is.True(own < naive/2)
}
