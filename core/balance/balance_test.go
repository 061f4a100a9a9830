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

func newCandidates() []balance.Candidate {
	return []balance.Candidate{
		{Name: "here", Location: here, Slots: 12}, {Name: "near", Location: near, Slots: 12}, {Name: "distant", Location: distant, Slots: 12},
	}
}

func alwaysHalf() float64 { return 0.5 }

// TestPickPrefersOwnRegion guards against sending a request to another region while its own
// region has free slots, and against keeping it there while all of them are taken.
func TestPickPrefersOwnRegion(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	candidates := newCandidates()
	is.Equal(candidates[b.Pick(0, candidates, balance.Request{}, nil, alwaysHalf)].Name, "here")
	b.RecordLoad(0, "here", "", balance.Load{Running: 12, Waiting: 6, Slots: 12, ServiceTime: 100})
	is.Equal(candidates[b.Pick(0, candidates, balance.Request{}, nil, alwaysHalf)].Name, "near")
	b.RecordLoad(0, "near", "", balance.Load{Running: 12, Waiting: 12, Slots: 12, ServiceTime: 100})
	is.Equal(candidates[b.Pick(0, candidates, balance.Request{}, nil, alwaysHalf)].Name, "distant")
	is.Equal(candidates[b.Pick(0, candidates, balance.Request{LargeResponse: true}, nil, alwaysHalf)].Name, "here") // a large response stays in the region
	b.RecordUnreachable(0, "here")
	b.RecordUnreachable(0, "near")
	is.Equal(candidates[b.Pick(0, candidates, balance.Request{LargeResponse: true}, nil, alwaysHalf)].Name, "distant") // unless no instance there is reachable
}

// TestNewUpstreamIsTried guards against a new upstream that gets no requests because a fast
// one has free slots. Choosing the lowest known service time never selects it.
func TestNewUpstreamIsTried(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	candidates := newCandidates()[:2]
	b.RecordLoad(0, "here", "", balance.Load{Running: 1, Slots: 12, ServiceTime: 40})
	is.Equal(candidates[b.Pick(0, candidates, balance.Request{}, nil, alwaysHalf)].Name, "near")
	b.RecordLoad(0, "near", "", balance.Load{Slots: 12, ServiceTime: 90})
	is.Equal(candidates[b.Pick(0, candidates, balance.Request{}, nil, alwaysHalf)].Name, "here")
}

// TestColdUpstream guards against a cold upstream that gets as many requests as warm ones, one
// that gets none while the others are full, and one that stays cold after the time it stated.
func TestColdUpstream(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	candidates := newCandidates()[:2]
	b.RecordLoad(0, "here", "", balance.Load{Slots: 12, ServiceTime: 100, ColdRate: 15, ColdFor: 3000})
	b.RecordLoad(0, "near", "", balance.Load{Running: 6, Slots: 12, ServiceTime: 100})
	pick := func(now clock.Millis) string {
		return candidates[b.Pick(now, candidates, balance.Request{}, nil, alwaysHalf)].Name
	}
	is.Equal(pick(0), "near")
	b.RecordLoad(0, "near", "", balance.Load{Running: 12, Waiting: 30, Slots: 12, ServiceTime: 100})
	is.Equal(pick(0), "here")
	b.RecordLoad(2500, "near", "", balance.Load{Running: 6, Slots: 12, ServiceTime: 100})
	is.Equal(pick(2500), "near") // the report is too old for its load, not for its cold time
	is.Equal(pick(3500), "here")

	warm := balance.Load{Slots: 12, ServiceTime: 100}
	is.Equal(warm.RequestRate(), 120.0)
	warm.Capacity = 70
	is.Equal(warm.RequestRate(), 70.0)
	warm.ColdRate, warm.ColdFor = 15, 1
	is.Equal(warm.RequestRate(), 15.0)
	is.Equal(balance.Load{Slots: 12, ColdRate: 200, ColdFor: 1}.RequestRate(), 200.0)
}

// TestPartiallyFailingUpstream guards against preferring an upstream that passes probes but
// refuses half of its requests. Choosing the fewest requests in flight sends it the most.
func TestPartiallyFailingUpstream(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	candidates := newCandidates()[:2]
	rng := rand.New(rand.NewPCG(1, 1))
	picked := 0
	for now := clock.Millis(0); now < 8000; now += 20 {
		i := b.Pick(now, candidates, balance.Request{}, nil, rng.Float64)
		failed := candidates[i].Name == "here" && rng.IntN(2) == 0
		if candidates[i].Name == "here" {
			picked++
		}
		b.RecordResult(now, candidates[i].Name, !failed)
	}
	is.True(picked < 400/5)
	is.True(picked > 0) // it is still tried
}

// TestUnreachableDaemonBacksOff guards against sending requests to a daemon that does not
// answer.
func TestUnreachableDaemonBacksOff(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	candidates := newCandidates()
	b.RecordUnreachable(0, "here")
	is.Equal(candidates[b.Pick(100, candidates, balance.Request{}, nil, alwaysHalf)].Name, "near")
	is.True(b.Reachable(5000, "here"))
	b.RecordLoad(5000, "here", "", balance.Load{Slots: 12, ServiceTime: 100})
	is.True(b.Reachable(5000, "here"))
	is.Equal(b.Pick(0, candidates, balance.Request{}, map[string]bool{"here": true, "near": true, "distant": true}, alwaysHalf), -1)
}

// TestSlowLinkGetsFewerLargeResponses guards against overloading a slow link, with upstreams
// on links of 15 and 100 Mbit/s. Choosing by slots alone sends both the same number of
// requests, and large responses fill the slow link.
func TestSlowLinkGetsFewerLargeResponses(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	candidates := []balance.Candidate{{Name: "slow", Location: here, Slots: 6}, {Name: "fast", Location: here, Slots: 6}}
	links := map[string]*balance.Link{}
	for name, mbps := range map[string]float64{"slow": 15, "fast": 100} {
		link := balance.NewLink(mbps)
		links[name] = &link
	}
	rng := rand.New(rand.NewPCG(2, 2))
	counts := map[string]int{}
	maxBacklog := clock.Millis(0)
	for now := clock.Millis(0); now < 10_000; now += 20 { // 50 responses of 90 KB a second: 36 Mbit/s
		name := candidates[b.Pick(now, candidates, balance.Request{LargeResponse: true}, nil, rng.Float64)].Name
		counts[name]++
		link := links[name]
		link.Reserve(now, 90_000)
		maxBacklog = max(maxBacklog, link.Backlog(now))
		b.RecordLoad(now, name, "", balance.Load{Slots: 6, ServiceTime: 80, LinkMbps: int(link.Mbps()), LinkBacklog: link.Backlog(now)})
	}
	is.True(maxBacklog < 400)
	is.True(counts["fast"] > 3*counts["slow"])
}

// TestUnresponsiveDaemon guards against sending requests to a frozen daemon, which accepts
// requests and answers none. Counting only refused connections keeps sending to it.
func TestUnresponsiveDaemon(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	b.RecordLoad(100, "here", "", balance.Load{Slots: 12, ServiceTime: 50})
	b.RecordNoResponse(900, "here", 50) // it has answered another request since 50
	is.True(b.Reachable(900, "here"))
	b.RecordNoResponse(1300, "here", 400)
	is.True(!b.Reachable(1300, "here"))
	is.True(b.Reachable(4000, "here"))
}

// TestNeedsLoad guards against a load report with each response from another region, and against
// requests that are sent to a cold upstream there beyond its rate, for lack of a report.
func TestNeedsLoad(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	candidates := newCandidates()
	is.True(b.NeedsLoad(0, candidates[2]))
	for _, c := range candidates {
		b.RecordLoad(1000, c.Name, "", balance.Load{Slots: 12, ServiceTime: 50})
	}
	is.True(b.NeedsLoad(1000, candidates[0]))
	is.True(b.NeedsLoad(1000, candidates[1]))
	is.True(!b.NeedsLoad(1200, candidates[2]))
	is.True(b.NeedsLoad(1300, candidates[2]))
	b.RecordLoad(1300, "distant", "", balance.Load{Slots: 12, ServiceTime: 50, ColdRate: 15, ColdFor: 500})
	is.True(b.NeedsLoad(1400, candidates[2]))
}

// TestResponseWithoutLoadReport guards against a working daemon that counts as frozen since its
// responses come without load reports.
func TestResponseWithoutLoadReport(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	b.RecordLoad(100, "distant", "", balance.Load{Slots: 12, ServiceTime: 50})
	b.RecordResponse(250, "distant")
	b.RecordNoResponse(900, "distant", 200) // it has answered another request since 200
	is.True(b.Reachable(900, "distant"))
	b.RecordNoResponse(1300, "distant", 400)
	is.True(!b.Reachable(1300, "distant"))
	b.RecordResponse(1350, "distant")
	is.True(b.Reachable(1350, "distant"))
}
