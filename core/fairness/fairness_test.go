package fairness_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/fairness"
	"briarwell.dev/core/internal/virtualtime"
	"briarwell.dev/core/template"
)

const (
	slots         = 12
	serviceTime   = 100.0 // the capacity is 120 requests per second
	timeout       = clock.Millis(900)
	targetLatency = clock.Millis(400)
	duration      = clock.Millis(60_000)
	capacity      = slots * 1000 / serviceTime
)

// kind is a kind of callers' requests. One with a parent service runs there first, and makes
// a nested request to the contended service meanwhile.
type kind struct {
	rank   int
	nested bool
	load   float64 // in relation to the capacity

	all, served, wasted int
}

func (k *kind) share() float64 { return float64(k.served) / float64(max(k.all, 1)) }

// service is an upstream with the decisions of the sidecar beside it.
type service struct {
	state   *admission.State
	shares  fairness.Shares
	parents fairness.Parents
	decided map[*admission.Request]func(now clock.Millis, admitted bool)
}

// rule is how requests are ordered and started.
type rule int

const (
	nestedFirst rule = iota // nested requests before all others; the naive rule
	ranksOnly               // by rank; shares are guaranteed, all parents are started
	ownRule
)

type simulation struct {
	loop              virtualtime.Loop
	rng               *rand.Rand
	rule              rule
	contended, parent *service
}

// submit asks for a slot. decided gets the result and the function that frees the slot.
func (s *simulation) submit(now clock.Millis, u *service, k *kind, nested bool, demand float64, deadline clock.Millis, decided func(now clock.Millis, release func(clock.Millis))) {
	priority := 100 - k.rank
	if nested {
		priority += 1000
	}
	if s.rule != nestedFirst {
		priority = 2 * (100 - k.rank)
		if nested {
			priority++
		}
		if u.shares.Arrive(now, k.rank, demand) {
			priority = 1000
		}
	}
	request := admission.NewRequest(template.Priority(priority), deadline)
	if !nested {
		request.WithSoftDeadline(deadline-timeout+targetLatency, "r")
	}
	u.decided[request] = func(now clock.Millis, admitted bool) {
		if !admitted {
			decided(now, nil)
			return
		}
		u.shares.Admitted(now, k.rank)
		decided(now, func(now clock.Millis) { u.apply(now, u.state.Release(now, request, nil)) })
	}
	u.apply(now, u.state.Submit(now, request, nil))
}

func (u *service) apply(now clock.Millis, actions []admission.Action) {
	for _, action := range actions {
		request := action.Request()
		decided := u.decided[request]
		delete(u.decided, request)
		_, admitted := action.(admission.Admit)
		decided(now, admitted)
	}
}

func (s *simulation) after(now clock.Millis, mean float64, run func(now clock.Millis)) {
	s.loop.At(now+clock.Millis(mean*math.Exp(0.4*s.rng.NormFloat64()-0.08)), run)
}

// request runs one attempt; a refused request is repeated once.
func (s *simulation) request(now clock.Millis, k *kind, isRetry bool, deadline clock.Millis) {
	refused := func(now clock.Millis) {
		if !isRetry {
			s.loop.At(now+100+clock.Millis(s.rng.IntN(100)), func(now clock.Millis) { s.request(now, k, true, deadline) })
		}
	}
	end := func(now clock.Millis) {
		if now <= deadline {
			k.served++
		}
	}
	if !k.nested {
		s.submit(now, s.contended, k, false, 1, deadline, func(now clock.Millis, release func(clock.Millis)) {
			if release == nil {
				refused(now)
				return
			}
			s.after(now, serviceTime, func(now clock.Millis) { end(now); release(now) })
		})
		return
	}
	demand := 1.0
	if s.rule == ownRule {
		share := s.parent.parents.RefusalShare(now, "r")
		if s.rng.Float64() < share {
			s.parent.parents.Refused(now, "r")
			refused(now)
			return
		}
		demand = 1 / (1 - share)
	}
	s.submit(now, s.parent, k, false, 1, deadline, func(now clock.Millis, release func(clock.Millis)) {
		if release == nil {
			refused(now)
			return
		}
		s.after(now, serviceTime/2, func(now clock.Millis) {
			s.submit(now, s.contended, k, true, demand, deadline, func(now clock.Millis, releaseNested func(clock.Millis)) {
				s.parent.parents.Ended(now, "r", releaseNested == nil)
				if releaseNested == nil {
					k.wasted++ // the caller gets an error, which it may not repeat
					release(now)
					return
				}
				s.after(now, serviceTime, func(now clock.Millis) { end(now); releaseNested(now); release(now) })
			})
		})
	})
}

func simulate(rule rule, kinds []kind) []kind {
	newService := func() *service {
		return &service{state: admission.NewState(0, admission.Settings{Slots: slots}), decided: map[*admission.Request]func(clock.Millis, bool){}}
	}
	s := &simulation{rng: rand.New(rand.NewPCG(1, 5)), rule: rule, contended: newService(), parent: newService()}
	result := append([]kind{}, kinds...)
	for i := range result {
		k := &result[i]
		for at := 0.0; at < float64(duration); at += s.rng.ExpFloat64() * 1000 / (k.load * capacity) {
			s.loop.At(clock.Millis(at), func(now clock.Millis) {
				k.all++
				s.request(now, k, false, now+timeout)
			})
		}
	}
	s.loop.RunUntil(duration + 2*timeout)
	return result
}

// TestFairShares guards against a less urgent kind that is served better than a more urgent
// one, by its nested requests or otherwise, against a kind that is starved, and against work
// whose nested request is refused. The naive rule admits nested requests before all others.
func TestFairShares(t *testing.T) {
	for name, kinds := range map[string][]kind{
		"light load":                  {{rank: 0, load: 0.2}, {rank: 1, load: 0.2}, {rank: 2, nested: true, load: 0.2}},
		"nested requests less urgent": {{rank: 0, load: 0.5}, {rank: 1, load: 0.5}, {rank: 2, nested: true, load: 0.5}},
		"many nested requests":        {{rank: 0, load: 0.5}, {rank: 1, load: 0.5}, {rank: 2, nested: true, load: 1}},
		"nested requests more urgent": {{rank: 2, load: 0.5}, {rank: 1, load: 0.5}, {rank: 0, nested: true, load: 0.5}},
		"urgent kind over capacity":   {{rank: 0, load: 1.5}, {rank: 1, load: 0.5}, {rank: 2, nested: true, load: 0.5}},
		"all ranks at 4 times":        {{rank: 0, load: 1}, {rank: 1, load: 2}, {rank: 2, nested: true, load: 1}},
		"same rank":                   {{rank: 1, load: 0.7}, {rank: 1, load: 0.7}, {rank: 1, nested: true, load: 0.7}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			naive, allStarted, own := simulate(nestedFirst, kinds), simulate(ranksOnly, kinds), simulate(ownRule, kinds)
			t.Logf("naive       %s", describe(naive))
			t.Logf("all started %s", describe(allStarted))
			t.Logf("own         %s", describe(own))
			all, served := 0, 0
			for i, k := range own {
				is.True(k.wasted <= allStarted[i].wasted)
				all, served = all+k.all, served+k.served
				for _, other := range own {
					is.True(k.rank <= other.rank || k.share() <= other.share()+0.05)
				}
			}
			for _, k := range own {
				is.True(k.share() >= float64(served)/float64(all)/4)
			}
			if name == "light load" {
				is.Equal(served, all)
			}
		})
	}
}

func describe(kinds []kind) string {
	text := ""
	for _, k := range kinds {
		text += fmt.Sprintf("rank %d nested %t: %.3f of %d, wasted %d; ", k.rank, k.nested, k.share(), k.all, k.wasted)
	}
	return text
}
