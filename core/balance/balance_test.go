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

func alwaysHalf() float64 { return 0.5 }

// TestPickPrefersOwnRegion guards against a trip to another region while the own one has room,
// and against staying while it has none.
func TestPickPrefersOwnRegion(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	list := candidates()
	is.Equal(list[b.Pick(0, list, balance.Request{}, nil, alwaysHalf)].Name, "here")
	b.RecordLoad(0, "here", "", balance.Load{Running: 12, Waiting: 6, Slots: 12, ServiceTime: 100})
	is.Equal(list[b.Pick(0, list, balance.Request{}, nil, alwaysHalf)].Name, "near")
	b.RecordLoad(0, "near", "", balance.Load{Running: 12, Waiting: 12, Slots: 12, ServiceTime: 100})
	is.Equal(list[b.Pick(0, list, balance.Request{}, nil, alwaysHalf)].Name, "distant")
	is.Equal(list[b.Pick(0, list, balance.Request{LargeResponse: true}, nil, alwaysHalf)].Name, "here") // a large answer stays
	b.RecordUnreachable(0, "here")
	b.RecordUnreachable(0, "near")
	is.Equal(list[b.Pick(0, list, balance.Request{LargeResponse: true}, nil, alwaysHalf)].Name, "distant") // unless nobody is there
}

// TestNewUpstreamIsTried replays an upstream that joins beside a fast one with room. The
// naive rule, the least known time, never asks it.
func TestNewUpstreamIsTried(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	list := candidates()[:2]
	b.RecordLoad(0, "here", "", balance.Load{Running: 1, Slots: 12, ServiceTime: 40})
	is.Equal(list[b.Pick(0, list, balance.Request{}, nil, alwaysHalf)].Name, "near")
	b.RecordLoad(0, "near", "", balance.Load{Slots: 12, ServiceTime: 90})
	is.Equal(list[b.Pick(0, list, balance.Request{}, nil, alwaysHalf)].Name, "here")
}

// TestPartiallyFailingUpstream replays an upstream that refuses half of its requests with a
// good probe. The naive rule, the fewest in flight, sends it the most.
func TestPartiallyFailingUpstream(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	list := candidates()[:2]
	rng := rand.New(rand.NewPCG(1, 1))
	grey := 0
	for now := clock.Millis(0); now < 8000; now += 20 {
		i := b.Pick(now, list, balance.Request{}, nil, rng.Float64)
		failed := list[i].Name == "here" && rng.IntN(2) == 0
		if list[i].Name == "here" {
			grey++
		}
		b.RecordResult(now, list[i].Name, !failed)
	}
	is.True(grey < 400/5)
	is.True(grey > 0) // it is tried again
}

// TestUnreachableDaemonBacksOff guards against requests to a daemon that does not answer.
func TestUnreachableDaemonBacksOff(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	list := candidates()
	b.RecordUnreachable(0, "here")
	is.Equal(list[b.Pick(100, list, balance.Request{}, nil, alwaysHalf)].Name, "near")
	is.True(b.Reachable(5000, "here"))
	b.RecordLoad(5000, "here", "", balance.Load{Slots: 12, ServiceTime: 100})
	is.True(b.Reachable(5000, "here"))
	is.Equal(b.Pick(0, list, balance.Request{}, map[string]bool{"here": true, "near": true, "distant": true}, alwaysHalf), -1)
}

// TestSlowLinkGetsFewerLargeResponses replays large answers from upstreams on links of 15 and 100
// Mbit/s. The naive rule, by slots alone, gives both the same and fills the slow
// link.
func TestSlowLinkGetsFewerLargeResponses(t *testing.T) {
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
		name := list[b.Pick(now, list, balance.Request{LargeResponse: true}, nil, rng.Float64)].Name
		counts[name]++
		link := links[name]
		link.Reserve(now, 90_000)
		longest = max(longest, link.Backlog(now))
		b.RecordLoad(now, name, "", balance.Load{Slots: 6, ServiceTime: 80, LinkMbps: int(link.Mbps()), LinkBacklog: link.Backlog(now)})
	}
	is.True(longest < 400)
	is.True(counts["fast"] > 3*counts["slow"])
}

// TestUnresponsiveDaemon replays a daemon that accepts requests and answers none. The
// naive rule goes on sending: only refused connections count.
func TestUnresponsiveDaemon(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	b.RecordLoad(100, "here", "", balance.Load{Slots: 12, ServiceTime: 50})
	b.RecordNoResponse(900, "here", 50) // it has answered another since
	is.True(b.Reachable(900, "here"))
	b.RecordNoResponse(1300, "here", 400)
	is.True(!b.Reachable(1300, "here"))
	is.True(b.Reachable(4000, "here"))
}
