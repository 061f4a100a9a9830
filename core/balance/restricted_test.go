package balance_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
)

// restrictedLoad is the load of a service with equal upstreams in lagos and kano, relative to the
// capacity of each region. Requests from kano may run there only, those from lagos anywhere.
type restrictedLoad struct{ unrestricted, restricted float64 }

// simulateRestricted returns the shares of the unrestricted and of the restricted requests that
// are served. An upstream refuses a request that would wait for longer than 150 ms, and a
// dispatcher tries two upstreams.
func simulateRestricted(load restrictedLoad, needed, allReports bool) (unrestrictedServed, restrictedServed float64) {
	const (
		perRegion   = 4
		perDispatch = 8
		serviceTime = 100.0
		maxWait     = 150.0
	)
	rng := rand.New(rand.NewPCG(5, 5))
	locations := []identity.Location{here, distant}
	candidates := make([]balance.Candidate, 0, 2*perRegion)
	balancers := make([]*balance.Balancer, 0, 2*perDispatch)
	for i := range 2 * perRegion {
		candidates = append(candidates, balance.Candidate{Name: strconv.Itoa(i), Location: locations[i/perRegion], Slots: slots})
	}
	for i := range 2 * perDispatch {
		balancers = append(balancers, balance.New(locations[i/perDispatch]))
	}
	freeAt, running := make([][slots]float64, len(candidates)), make([]int, len(candidates))
	report := func(now clock.Millis, dispatcher, upstream int, served bool) {
		balancers[dispatcher].RequestEnded(candidates[upstream].Name)
		if served && !allReports && !balancers[dispatcher].NeedsLoad(now, candidates[upstream]) {
			balancers[dispatcher].RecordResponse(now, candidates[upstream].Name)
			return
		}
		balancers[dispatcher].RecordLoad(now, candidates[upstream].Name, "", balance.Load{
			Running: min(running[upstream], slots), Waiting: max(running[upstream]-slots, 0), Slots: slots, ServiceTime: serviceTime, ClassServiceTime: serviceTime,
		})
	}
	var pending completions
	var sent, served [2]float64
	perMilli := (load.unrestricted + load.restricted) * perRegion * slots / serviceTime
	for arrival := 0.0; arrival < 30_000; arrival += rng.ExpFloat64() / perMilli {
		now := clock.Millis(arrival)
		for len(pending) > 0 && pending[0].at <= now {
			done := heap.Pop(&pending).(completion)
			running[done.upstream]--
			report(done.at, done.dispatcher, done.upstream, true)
		}
		kind := 0
		if rng.Float64() < load.restricted/(load.unrestricted+load.restricted) {
			kind = 1
		}
		sent[kind]++
		dispatcher := kind*perDispatch + rng.IntN(perDispatch)
		offset := kind * perRegion // The dispatcher removes what a restricted request may not use.
		allowed := slices.Clone(candidates[offset:])
		for i := range allowed {
			allowed[i].Needed = needed && kind == 0 && allowed[i].Location == distant
		}
		excluded := map[string]bool{}
		for range 2 {
			picked := balancers[dispatcher].Pick(now, allowed, balance.Request{}, excluded, rng.Float64)
			if picked < 0 {
				break
			}
			upstream := picked + offset
			balancers[dispatcher].RequestStarted(candidates[upstream].Name)
			slot := 0
			for i, at := range freeAt[upstream] {
				if at < freeAt[upstream][slot] {
					slot = i
				}
			}
			start := max(arrival, freeAt[upstream][slot])
			if start-arrival > maxWait {
				report(now, dispatcher, upstream, false)
				excluded[candidates[upstream].Name] = true
				continue
			}
			running[upstream]++
			freeAt[upstream][slot] = start + serviceTime*(0.5+rng.Float64())
			heap.Push(&pending, completion{at: clock.Millis(freeAt[upstream][slot]), dispatcher: dispatcher, upstream: upstream})
			served[kind]++
			break
		}
	}
	return served[0] / sent[0], served[1] / sent[1]
}

// TestNeededUpstreams guards against requests that leave their overloaded region for the one region
// in which others may run, which are then refused, and against a region that stays unused
// although those others leave room in it.
func TestNeededUpstreams(t *testing.T) {
	is := is.New(t)
	for _, load := range []restrictedLoad{{0.9, 0.9}, {1.2, 0.8}, {1.2, 0.95}, {1.5, 0.9}, {1.5, 0.5}, {2, 0.9}, {2, 0.5}} {
		naiveUnrestricted, naiveRestricted := simulateRestricted(load, false, true)
		unrestricted, restricted := simulateRestricted(load, true, true)
		naiveTotal := naiveUnrestricted*load.unrestricted + naiveRestricted*load.restricted
		total := unrestricted*load.unrestricted + restricted*load.restricted
		t.Logf("load %v: served unrestricted %.3f, restricted %.3f, in all %.3f; without the rule %.3f, %.3f, %.3f",
			load, unrestricted, restricted, total, naiveUnrestricted, naiveRestricted, naiveTotal)
		is.True(restricted >= naiveRestricted)
		if load.unrestricted >= 1.5 {
			is.True(1-restricted <= (1-naiveRestricted)/2) // half of what the overflow takes from them
		}
		is.True(total >= naiveTotal*0.98) // docs/design/placement-and-load.md, 5: at most 2% of the slots idle
	}
}

// TestSparseLoadReports guards against an upstream in another region that is chosen worse because
// its load is reported a few times per second only, in place of with each response.
func TestSparseLoadReports(t *testing.T) {
	is := is.New(t)
	for _, load := range []restrictedLoad{{0.9, 0.9}, {1.2, 0.5}, {1.2, 0.8}, {1.5, 0.5}, {2, 0.5}, {1.5, 0.9}} {
		for _, needed := range []bool{false, true} {
			allUnrestricted, allRestricted := simulateRestricted(load, needed, true)
			unrestricted, restricted := simulateRestricted(load, needed, false)
			t.Logf("load %v, rule %t: served unrestricted %.3f, restricted %.3f; with each response %.3f, %.3f", load, needed, unrestricted, restricted, allUnrestricted, allRestricted)
			is.True(unrestricted*load.unrestricted+restricted*load.restricted >= 0.98*(allUnrestricted*load.unrestricted+allRestricted*load.restricted))
		}
	}
}
