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

// fakeCluster is a resolver and sender with three instances and scripted replies.
type fakeCluster struct {
	mu        sync.Mutex
	replies   map[string][]dispatch.Reply
	sentTo    []string
	owner     string
	sendDelay time.Duration
}

func (c *fakeCluster) target(name string) dispatch.Target {
	return dispatch.Target{Candidate: balance.Candidate{Name: name, Location: identity.NewLocation("r", "d"), Slots: 2}, Address: name}
}

func (c *fakeCluster) Owner(string, *dispatch.Request) (dispatch.Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target(c.owner), c.owner != ""
}

func (c *fakeCluster) Instances(string) []dispatch.Target {
	return []dispatch.Target{c.target("a"), c.target("b"), c.target("c")}
}

func (c *fakeCluster) DispatcherCount() int { return 3 }

func (c *fakeCluster) Send(_ context.Context, to dispatch.Target, _ string, _ *dispatch.Request, _ dispatch.RequestPolicy) dispatch.Reply {
	time.Sleep(c.sendDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentTo = append(c.sentTo, to.Name)
	n := min(len(c.sentTo), len(c.replies["any"]))
	return c.replies["any"][n-1]
}

func manifest(idempotent, keyed bool, attempts int) *routes.Manifest {
	return routes.NewManifest(1, []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", TrafficSplit: []routes.WeightedService{{Service: "s", Weight: 1}},
		Idempotent: idempotent, Timeout: 1000, TargetLatency: 400, MaxAttempts: attempts,
	}}, []routes.Service{{Name: "s", Keyed: keyed}}, routes.Limits{})
}

func handle(cluster *fakeCluster, m *routes.Manifest) dispatch.Result {
	c := system.Clock{}
	d := dispatch.NewDispatcher(c, cluster, cluster, balance.New(identity.NewLocation("r", "d")), dispatch.RetryLimits{Ratio: 1, MinPerSecond: 100})
	now := c.Now()
	return d.Handle(context.Background(), m, &dispatch.Request{ID: "1", Method: "GET", RequestURI: "/x", Host: "h", Keyed: true, ReceivedAt: now, Deadline: now + 900})
}

func unreachableReply() dispatch.Reply { return dispatch.NotRun(outcome.ReasonUnreachable) }

func refusedByUpstream() dispatch.Reply {
	r := dispatch.NotRun(outcome.ReasonUpstreamRefused)
	r.ReachedUpstream = true
	return r
}

func doneReply() dispatch.Reply { return dispatch.Done(dispatch.Response{Status: 200}) }

// TestRetries guards against a retry after an unknown outcome of a request that must not
// run twice, and against a failed request that a retry could have served.
func TestRetries(t *testing.T) {
	for name, test := range map[string]struct {
		idempotent bool
		attempts   int
		replies    []dispatch.Reply
		sends      int
		outcome    string
	}{
		"unknown, once only":           {false, 3, []dispatch.Reply{dispatch.Unknown(outcome.ReasonConnectionLost), doneReply()}, 1, "unknown"},
		"unknown, then refused":        {true, 3, []dispatch.Reply{dispatch.Unknown(outcome.ReasonConnectionLost), dispatch.NotRun(outcome.ReasonOverloaded)}, 3, "unknown"},
		"unknown, idempotent":          {true, 3, []dispatch.Reply{dispatch.Unknown(outcome.ReasonConnectionLost), doneReply()}, 2, "done"},
		"refused by upstream":          {false, 2, []dispatch.Reply{refusedByUpstream(), doneReply()}, 2, "done"},
		"refused too often":            {false, 2, []dispatch.Reply{refusedByUpstream(), refusedByUpstream(), doneReply()}, 2, "not-run"},
		"one attempt":                  {true, 1, []dispatch.Reply{refusedByUpstream(), doneReply()}, 1, "not-run"},
		"unreachable costs no attempt": {false, 1, []dispatch.Reply{unreachableReply(), unreachableReply(), doneReply()}, 3, "done"},
		"all unreachable":              {false, 1, []dispatch.Reply{unreachableReply()}, 3, "not-run"},
	} {
		cluster := &fakeCluster{replies: map[string][]dispatch.Reply{"any": test.replies}}
		result := handle(cluster, manifest(test.idempotent, false, test.attempts))
		if len(cluster.sentTo) != test.sends || result.Outcome.String() != test.outcome {
			t.Errorf("%s: sent to %v, outcome %s", name, cluster.sentTo, result.Outcome)
		}
	}
}

// TestOwnerChanges guards against a request that fails because its key moves to another
// owner meanwhile.
func TestOwnerChanges(t *testing.T) {
	is := is.New(t)
	cluster := &fakeCluster{replies: map[string][]dispatch.Reply{"any": {dispatch.NotRun(outcome.ReasonMoved), doneReply()}}, owner: "a"}
	time.AfterFunc(40*time.Millisecond, func() {
		cluster.mu.Lock()
		cluster.owner = "b"
		cluster.mu.Unlock()
	})
	cluster.sendDelay = 20 * time.Millisecond
	result := handle(cluster, manifest(true, true, 2))
	is.Equal(result.Outcome.String(), "done")
}

// TestOutOfUseIsRetried guards against a request that fails since the daemon of its target has
// learned first that the target's failure domain is out of use.
func TestOutOfUseIsRetried(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		is := is.New(t)
		cluster := &fakeCluster{replies: map[string][]dispatch.Reply{"any": {dispatch.NotRun(outcome.ReasonOutOfUse), doneReply()}}, owner: "a"}
		result := handle(cluster, manifest(false, keyed, 1))
		is.Equal(result.Outcome.String(), "done")
		is.Equal(len(cluster.sentTo), 2)
	}
}

// TestNoOwner guards against a request that waits until its deadline for an owner of its
// key although there is none.
func TestNoOwner(t *testing.T) {
	is := is.New(t)
	startedAt := time.Now()
	result := handle(&fakeCluster{}, manifest(true, true, 2))
	is.Equal(outcome.ReasonOf(result.Outcome), outcome.ReasonNoOwner)
	is.True(result.RetryAfter > 0)
	is.True(time.Since(startedAt) < 200*time.Millisecond) // it waits for a quarter of the target latency, 100 ms
}

// TestNoRoute guards against a result with a route for a request that matches none.
func TestNoRoute(t *testing.T) {
	is := is.New(t)
	c := system.Clock{}
	cluster := &fakeCluster{}
	d := dispatch.NewDispatcher(c, cluster, cluster, balance.New(identity.Location{}), dispatch.RetryLimits{})
	result := d.Handle(context.Background(), manifest(true, false, 1), &dispatch.Request{Host: "other", RequestURI: "/", Deadline: c.Now() + clock.Millis(100)})
	is.True(!result.RouteFound)
	is.Equal(result.ManifestVersion, uint64(1))
}

// TestOverloadedService guards against trying each instance in turn when all instances of a
// service are overloaded: that takes six messages for one refusal.
func TestOverloadedService(t *testing.T) {
	is := is.New(t)
	overloaded := dispatch.NotRun(outcome.ReasonOverloaded).WithRetryAfter(200)
	cluster := &fakeCluster{replies: map[string][]dispatch.Reply{"any": {overloaded}}}
	result := handle(cluster, manifest(true, false, 3))
	is.Equal(len(cluster.sentTo), 2)
	is.Equal(result.RetryAfter, clock.Millis(200))
}

// TestUnusableRoute guards against a request of a route that the manifest leaves unclear and
// that is sent to some service, or answered as if the route did not exist.
func TestUnusableRoute(t *testing.T) {
	is := is.New(t)
	for _, unusableRoute := range []bool{true, false} {
		cluster := &fakeCluster{replies: map[string][]dispatch.Reply{"any": {doneReply()}}}
		m := routes.NewManifest(1, []routes.Route{{
			Name: "r", Host: "h", Prefix: "/", TrafficSplit: []routes.WeightedService{{Service: "s", Weight: 1}}, Unusable: unusableRoute,
		}}, []routes.Service{{Name: "s", Unusable: !unusableRoute}}, routes.Limits{})
		result := handle(cluster, m)
		is.True(result.RouteFound)
		is.Equal(outcome.ReasonOf(result.Outcome), outcome.ReasonUnsupportedRoute)
		is.Equal(len(cluster.sentTo), 0)
	}
}

// TestRouteThatIsNotUnderstood guards against a request that is denied although a route whose host
// or prefix can't be decoded may mean it.
func TestRouteThatIsNotUnderstood(t *testing.T) {
	is := is.New(t)
	for _, unclear := range []routes.Route{{Name: "r", Host: "h"}, {Name: "r", Prefix: "/"}} {
		m := routes.NewManifest(1, []routes.Route{unclear}, nil, routes.Limits{})
		result := handle(&fakeCluster{}, m)
		is.True(result.RouteFound)
		is.Equal(outcome.ReasonOf(result.Outcome), outcome.ReasonUnsupportedRoute)
	}
}

// TestInvalidKeyOfUnkeyedServiceDenied guards against a request that is denied for its key although
// its service is not divided by key, and against one that is sent to the owner of another key.
func TestInvalidKeyOfUnkeyedServiceDenied(t *testing.T) {
	is := is.New(t)
	c := system.Clock{}
	for _, keyed := range []bool{false, true} {
		cluster := &fakeCluster{owner: "a", replies: map[string][]dispatch.Reply{"any": {doneReply()}}}
		d := dispatch.NewDispatcher(c, cluster, cluster, balance.New(identity.Location{}), dispatch.RetryLimits{})
		result := d.Handle(context.Background(), manifest(true, keyed, 1), &dispatch.Request{Host: "h", RequestURI: "/", KeyInvalid: true, ReceivedAt: c.Now(), Deadline: c.Now() + 900})
		is.Equal(len(cluster.sentTo) == 0, keyed)
		is.Equal(outcome.ReasonOf(result.Outcome) == outcome.ReasonInvalidKey, keyed)
	}
}

// hangingCluster is a cluster in which one instance never responds. Its daemon answers with
// an unknown outcome once the deadline has passed.
type hangingCluster struct {
	fakeCluster

	hanging string
	counts  map[string]int
}

func (c *hangingCluster) Send(ctx context.Context, to dispatch.Target, _ string, r *dispatch.Request, _ dispatch.RequestPolicy) dispatch.Reply {
	c.mu.Lock()
	c.counts[to.Name]++
	c.mu.Unlock()
	if to.Name != c.hanging {
		reply := doneReply()
		reply.Load, reply.HasLoad = balance.Load{Slots: 2, ServiceTime: 100}, true
		return reply
	}
	<-ctx.Done()
	reply := dispatch.Unknown(outcome.ReasonTimeout)
	reply.Load, reply.HasLoad = balance.Load{Slots: 2, ServiceTime: 100}, true
	return reply
}

// TestHangingUpstreamGetsFewerRequests guards against an upstream that keeps its share of the
// requests although none of them gets a response, as its daemon reports an idle upstream:
// for example one that sends bytes without end until the deadline.
func TestHangingUpstreamGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	cluster := &hangingCluster{hanging: "b", counts: make(map[string]int)}
	var clk system.Clock
	d := dispatch.NewDispatcher(clk, cluster, cluster, balance.New(identity.NewLocation("r", "d")), dispatch.RetryLimits{})
	m := routes.NewManifest(1, []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", TrafficSplit: []routes.WeightedService{{Service: "s", Weight: 1}},
		Idempotent: true, Timeout: 60, TargetLatency: 40, MaxAttempts: 1,
	}}, []routes.Service{{Name: "s"}}, routes.Limits{})
	for range 150 {
		now := clk.Now()
		d.Handle(context.Background(), m, &dispatch.Request{ID: "i", Method: "GET", Host: "h", RequestURI: "/x", ReceivedAt: now, Deadline: now + 60})
	}
	t.Logf("requests by instance: %v", cluster.counts)
	is.True(cluster.counts["b"] < 15) // a tenth; its share is 50
}
