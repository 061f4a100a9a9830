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

// script is a fleet whose instances reply as told.
type script struct {
	mu      sync.Mutex
	replies map[string][]dispatch.Reply
	sent    []string
	owner   string
	wait    time.Duration
}

func (s *script) target(name string) dispatch.Target {
	return dispatch.Target{Candidate: balance.Candidate{Name: name, Location: identity.NewLocation("r", "d"), Slots: 2}, Address: name}
}

func (s *script) Owner(string, *dispatch.Request) (dispatch.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target(s.owner), s.owner != ""
}

func (s *script) Instances(string) []dispatch.Target {
	return []dispatch.Target{s.target("a"), s.target("b"), s.target("c")}
}

func (s *script) Entries() int { return 3 }

func (s *script) Send(_ context.Context, to dispatch.Target, _ string, _ *dispatch.Request, _ dispatch.Rules) dispatch.Reply {
	time.Sleep(s.wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, to.Name)
	n := min(len(s.sent), len(s.replies["any"]))
	return s.replies["any"][n-1]
}

func manifest(idempotent, keyed bool, attempts int) *routes.Manifest {
	return routes.New(1, []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", Parts: []routes.Part{{Service: "s", Weight: 1}},
		Idempotent: idempotent, Timeout: 1000, Objective: 400, Attempts: attempts,
	}}, []routes.Service{{Name: "s", Keyed: keyed}}, routes.Limits{})
}

func run(s *script, m *routes.Manifest) dispatch.Result {
	c := system.Clock{}
	e := dispatch.NewEntry(c, s, s, balance.New(identity.NewLocation("r", "d")), dispatch.Repeats{Share: 1, Floor: 100})
	now := c.Now()
	return e.Handle(context.Background(), m, &dispatch.Request{ID: "1", Method: "GET", Target: "/x", Host: "h", Keyed: true, Arrived: now, Deadline: now + 900})
}

func unreachable() dispatch.Reply { return dispatch.NotRun(outcome.ReasonUnreachable) }

func shed() dispatch.Reply {
	r := dispatch.NotRun(outcome.ReasonUpstreamRefused)
	r.Arrived = true
	return r
}

func done() dispatch.Reply { return dispatch.Served(dispatch.Response{Status: 200}) }

// TestRepeats guards against a request that may be run once and is sent again
// after an unknown outcome, and against one that could be served and is not.
func TestRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		idempotent bool
		attempts   int
		replies    []dispatch.Reply
		sends      int
		outcome    string
	}{
		"unknown, once only":    {false, 3, []dispatch.Reply{dispatch.Unknown(outcome.ReasonConnectionLost), done()}, 1, "unknown"},
		"unknown, then refused": {true, 3, []dispatch.Reply{dispatch.Unknown(outcome.ReasonConnectionLost), dispatch.NotRun(outcome.ReasonOverloaded)}, 3, "unknown"},
		"unknown, idempotent":   {true, 3, []dispatch.Reply{dispatch.Unknown(outcome.ReasonConnectionLost), done()}, 2, "done"},
		"refused by upstream":   {false, 2, []dispatch.Reply{shed(), done()}, 2, "done"},
		"refused too often":     {false, 2, []dispatch.Reply{shed(), shed(), done()}, 2, "not-run"},
		"one attempt":           {true, 1, []dispatch.Reply{shed(), done()}, 1, "not-run"},
		"unreachable costs nil": {false, 1, []dispatch.Reply{unreachable(), unreachable(), done()}, 3, "done"},
		"all unreachable":       {false, 1, []dispatch.Reply{unreachable()}, 3, "not-run"},
	} {
		s := &script{replies: map[string][]dispatch.Reply{"any": c.replies}}
		result := run(s, manifest(c.idempotent, false, c.attempts))
		if len(s.sent) != c.sends || result.Outcome.String() != c.outcome {
			t.Errorf("%s: sent %v, outcome %s", name, s.sent, result.Outcome)
		}
	}
}

// TestOwnerChanges guards against a request that is refused while its key passes
// to another owner.
func TestOwnerChanges(t *testing.T) {
	is := is.New(t)
	s := &script{replies: map[string][]dispatch.Reply{"any": {dispatch.NotRun(outcome.ReasonMoved), done()}}, owner: "a"}
	time.AfterFunc(40*time.Millisecond, func() {
		s.mu.Lock()
		s.owner = "b"
		s.mu.Unlock()
	})
	s.wait = 20 * time.Millisecond
	result := run(s, manifest(true, true, 2))
	is.Equal(result.Outcome.String(), "done")
}

// TestNoOwner guards against a request that waits to its deadline for an owner
// that does not come.
func TestNoOwner(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	result := run(&script{}, manifest(true, true, 2))
	is.Equal(outcome.ReasonOf(result.Outcome), outcome.ReasonNoOwner)
	is.True(result.RetryAfter > 0)
	is.True(time.Since(began) < 200*time.Millisecond) // a quarter of the objective
}

// TestNoRoute guards against a route that is made up.
func TestNoRoute(t *testing.T) {
	is := is.New(t)
	c := system.Clock{}
	s := &script{}
	e := dispatch.NewEntry(c, s, s, balance.New(identity.Location{}), dispatch.Repeats{})
	result := e.Handle(context.Background(), manifest(true, false, 1), &dispatch.Request{Host: "other", Target: "/", Deadline: c.Now() + clock.Millis(100)})
	is.True(!result.Found)
	is.Equal(result.Version, uint64(1))
}

// TestOverloadedService replays a service that is overloaded everywhere. The naive
// rule asks each instance in turn, six messages for one refusal.
func TestOverloadedService(t *testing.T) {
	is := is.New(t)
	overloaded := dispatch.NotRun(outcome.ReasonOverloaded).After(200)
	s := &script{replies: map[string][]dispatch.Reply{"any": {overloaded}}}
	result := run(s, manifest(true, false, 3))
	is.Equal(len(s.sent), 2)
	is.Equal(result.RetryAfter, clock.Millis(200))
}
