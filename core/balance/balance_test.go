package balance_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
)

var (
	here    = identity.NewLocation("lagos", "ikeja")
	near    = identity.NewLocation("lagos", "yaba")
	distant = identity.NewLocation("kano", "fagge")
)

func candidates() []balance.Candidate {
	return []balance.Candidate{
		{Name: "here", Location: here, Slots: 12}, {Name: "near", Location: near, Slots: 12}, {Name: "distant", Location: distant, Slots: 12},
	}
}

func half() float64 { return 0.5 }

// TestPlace guards against a trip to another region while the own one has room,
// and against staying while it has none.
func TestPlace(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	list := candidates()
	is.Equal(list[b.Pick(0, list, balance.Ask{}, nil, half)].Name, "here")
	b.Reported(0, "here", "", balance.Load{Running: 12, Waiting: 6, Slots: 12, Service: 100})
	is.Equal(list[b.Pick(0, list, balance.Ask{}, nil, half)].Name, "near")
	b.Reported(0, "near", "", balance.Load{Running: 12, Waiting: 12, Slots: 12, Service: 100})
	is.Equal(list[b.Pick(0, list, balance.Ask{}, nil, half)].Name, "distant")
	is.Equal(list[b.Pick(0, list, balance.Ask{Large: true}, nil, half)].Name, "here") // a large answer stays
	b.Unreachable(0, "here")
	b.Unreachable(0, "near")
	is.Equal(list[b.Pick(0, list, balance.Ask{Large: true}, nil, half)].Name, "distant") // unless nobody is there
}

// TestNewUpstream replays an upstream that joins beside a fast one with room. The
// naive rule, the least known time, never asks it.
func TestNewUpstream(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	list := candidates()[:2]
	b.Reported(0, "here", "", balance.Load{Running: 1, Slots: 12, Service: 40})
	is.Equal(list[b.Pick(0, list, balance.Ask{}, nil, half)].Name, "near")
	b.Reported(0, "near", "", balance.Load{Slots: 12, Service: 90})
	is.Equal(list[b.Pick(0, list, balance.Ask{}, nil, half)].Name, "here")
}

// TestGreyUpstream replays an upstream that refuses half of its requests with a
// good probe. The naive rule, the fewest in flight, sends it the most.
func TestGreyUpstream(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	list := candidates()[:2]
	rng := rand.New(rand.NewPCG(1, 1))
	grey := 0
	for now := clock.Millis(0); now < 8000; now += 20 {
		i := b.Pick(now, list, balance.Ask{}, nil, rng.Float64)
		failed := list[i].Name == "here" && rng.IntN(2) == 0
		if list[i].Name == "here" {
			grey++
		}
		b.Served(now, list[i].Name, !failed)
	}
	is.True(grey < 400/5)
	is.True(grey > 0) // it is tried again
}

// TestSilentDaemon guards against requests to a daemon that does not answer.
func TestSilentDaemon(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	list := candidates()
	b.Unreachable(0, "here")
	is.Equal(list[b.Pick(100, list, balance.Ask{}, nil, half)].Name, "near")
	is.True(b.Reachable(5000, "here"))
	b.Reported(5000, "here", "", balance.Load{Slots: 12, Service: 100})
	is.True(b.Reachable(5000, "here"))
	is.Equal(b.Pick(0, list, balance.Ask{}, map[string]bool{"here": true, "near": true, "distant": true}, half), -1)
}

// TestSlowLinks replays large answers from upstreams on links of 15 and 100
// Mbit/s. The naive rule, by slots alone, gives both the same and fills the slow
// link.
func TestSlowLinks(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	list := []balance.Candidate{{Name: "slow", Location: here, Slots: 6}, {Name: "fast", Location: here, Slots: 6}}
	links := map[string]*balance.Link{}
	for name, mbps := range map[string]float64{"slow": 15, "fast": 100} {
		link := balance.NewLink(mbps)
		links[name] = &link
	}
	rng := rand.New(rand.NewPCG(2, 2))
	counts := map[string]int{}
	longest := clock.Millis(0)
	for now := clock.Millis(0); now < 10_000; now += 20 { // 50 answers of 90 KB a second: 36 Mbit/s
		name := list[b.Pick(now, list, balance.Ask{Large: true}, nil, rng.Float64)].Name
		counts[name]++
		link := links[name]
		link.Sent(now, 90_000)
		longest = max(longest, link.Wait(now))
		b.Reported(now, name, "", balance.Load{Slots: 6, Service: 80, LinkMbps: int(link.Mbps()), LinkWait: link.Wait(now)})
	}
	is.True(longest < 400)
	is.True(counts["fast"] > 3*counts["slow"])
}

// TestFrozenDaemon replays a daemon that accepts requests and answers none. The
// naive rule goes on sending: only refused connections count.
func TestFrozenDaemon(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	b.Reported(100, "here", "", balance.Load{Slots: 12, Service: 50})
	b.Silent(900, "here", 50) // it has answered another since
	is.True(b.Reachable(900, "here"))
	b.Silent(1300, "here", 400)
	is.True(!b.Reachable(1300, "here"))
	is.True(b.Reachable(4000, "here"))
}
