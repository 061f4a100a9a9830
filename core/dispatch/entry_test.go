package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/routes"
)

// fakeCluster is a fleet whose instances reply as told.
type fakeCluster struct {
	mu        sync.Mutex
	replies   map[string][]dispatch.Reply
	sent      []string
	owner     string
	sendDelay time.Duration
}

func (s *fakeCluster) target(name string) dispatch.Target {
	return dispatch.Target{Candidate: balance.Candidate{Name: name, Location: identity.NewLocation("r", "d"), Slots: 2}, Address: name}
}

func (s *fakeCluster) Owner(string, *dispatch.Request) (dispatch.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target(s.owner), s.owner != ""
}

func (s *fakeCluster) Instances(string) []dispatch.Target {
	return []dispatch.Target{s.target("a"), s.target("b"), s.target("c")}
}

func (s *fakeCluster) DispatcherCount() int { return 3 }

func (s *fakeCluster) Send(_ context.Context, to dispatch.Target, _ string, _ *dispatch.Request, _ dispatch.RequestPolicy) dispatch.Reply {
	time.Sleep(s.sendDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, to.Name)
	n := min(len(s.sent), len(s.replies["any"]))
	return s.replies["any"][n-1]
}

func manifest(idempotent, keyed bool, attempts int) *routes.Manifest {
	return routes.NewManifest(1, []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", TrafficSplit: []routes.WeightedService{{Service: "s", Weight: 1}},
		Idempotent: idempotent, Timeout: 1000, TargetLatency: 400, MaxAttempts: attempts,
	}}, []routes.Service{{Name: "s", Keyed: keyed}}, routes.Limits{})
}

func handle(s *fakeCluster, m *routes.Manifest) dispatch.Result {
	c := system.Clock{}
	e := dispatch.NewDispatcher(c, s, s, balance.New(identity.NewLocation("r", "d")), dispatch.RetryLimits{Ratio: 1, MinPerSecond: 100})
	now := c.Now()
	return e.Handle(context.Background(), m, &dispatch.Request{ID: "1", Method: "GET", RequestURI: "/x", Host: "h", Keyed: true, ReceivedAt: now, Deadline: now + 900})
}

func unreachableReply() dispatch.Reply { return dispatch.NotRun(outcome.ReasonUnreachable) }

func refusedByUpstream() dispatch.Reply {
	r := dispatch.NotRun(outcome.ReasonUpstreamRefused)
	r.ReachedUpstream = true
	return r
}

func doneReply() dispatch.Reply { return dispatch.Done(dispatch.Response{Status: 200}) }

// TestRetries guards against a request that may be run once and is sent again
// after an unknown outcome, and against one that could be served and is not.
func TestRetries(t *testing.T) {
	for name, c := range map[string]struct {
		idempotent bool
		attempts   int
		replies    []dispatch.Reply
		sends      int
		outcome    string
	}{
		"unknown, once only":    {false, 3, []dispatch.Reply{dispatch.Unknown(outcome.ReasonConnectionLost), doneReply()}, 1, "unknown"},
		"unknown, then refused": {true, 3, []dispatch.Reply{dispatch.Unknown(outcome.ReasonConnectionLost), dispatch.NotRun(outcome.ReasonOverloaded)}, 3, "unknown"},
		"unknown, idempotent":   {true, 3, []dispatch.Reply{dispatch.Unknown(outcome.ReasonConnectionLost), doneReply()}, 2, "done"},
		"refused by upstream":   {false, 2, []dispatch.Reply{refusedByUpstream(), doneReply()}, 2, "done"},
		"refused too often":     {false, 2, []dispatch.Reply{refusedByUpstream(), refusedByUpstream(), doneReply()}, 2, "not-run"},
		"one attempt":           {true, 1, []dispatch.Reply{refusedByUpstream(), doneReply()}, 1, "not-run"},
		"unreachable costs nil": {false, 1, []dispatch.Reply{unreachableReply(), unreachableReply(), doneReply()}, 3, "done"},
		"all unreachable":       {false, 1, []dispatch.Reply{unreachableReply()}, 3, "not-run"},
	} {
		s := &fakeCluster{replies: map[string][]dispatch.Reply{"any": c.replies}}
		result := handle(s, manifest(c.idempotent, false, c.attempts))
		if len(s.sent) != c.sends || result.Outcome.String() != c.outcome {
			t.Errorf("%s: sent %v, outcome %s", name, s.sent, result.Outcome)
		}
	}
}

// TestOwnerChanges guards against a request that is refused while its key passes
// to another owner.
func TestOwnerChanges(t *testing.T) {
	is := is.New(t)
	s := &fakeCluster{replies: map[string][]dispatch.Reply{"any": {dispatch.NotRun(outcome.ReasonMoved), doneReply()}}, owner: "a"}
	time.AfterFunc(40*time.Millisecond, func() {
		s.mu.Lock()
		s.owner = "b"
		s.mu.Unlock()
	})
	s.sendDelay = 20 * time.Millisecond
	result := handle(s, manifest(true, true, 2))
	is.Equal(result.Outcome.String(), "done")
}

// TestNoOwner guards against a request that waits to its deadline for an owner
// that does not come.
func TestNoOwner(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	result := handle(&fakeCluster{}, manifest(true, true, 2))
	is.Equal(outcome.ReasonOf(result.Outcome), outcome.ReasonNoOwner)
	is.True(result.RetryAfter > 0)
	is.True(time.Since(began) < 200*time.Millisecond) // a quarter of the objective
}

// TestNoRoute guards against a route that is made up.
func TestNoRoute(t *testing.T) {
	is := is.New(t)
	c := system.Clock{}
	s := &fakeCluster{}
	e := dispatch.NewDispatcher(c, s, s, balance.New(identity.Location{}), dispatch.RetryLimits{})
	result := e.Handle(context.Background(), manifest(true, false, 1), &dispatch.Request{Host: "other", RequestURI: "/", Deadline: c.Now() + clock.Millis(100)})
	is.True(!result.RouteFound)
	is.Equal(result.ManifestVersion, uint64(1))
}

// TestOverloadedService replays a service that is overloaded everywhere. The naive
// rule asks each instance in turn, six messages for one refusal.
func TestOverloadedService(t *testing.T) {
	is := is.New(t)
	overloaded := dispatch.NotRun(outcome.ReasonOverloaded).WithRetryAfter(200)
	s := &fakeCluster{replies: map[string][]dispatch.Reply{"any": {overloaded}}}
	result := handle(s, manifest(true, false, 3))
	is.Equal(len(s.sent), 2)
	is.Equal(result.RetryAfter, clock.Millis(200))
}
