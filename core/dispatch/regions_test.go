package dispatch_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/routes"
)

// regionCluster is a resolver and sender with instances in two regions. Requests originate in
// lagos.
type regionCluster struct {
	fakeCluster

	regions map[string]string
}

func (c *regionCluster) target(name string) dispatch.Target {
	return dispatch.Target{Candidate: balance.Candidate{Name: name, Location: identity.NewLocation(c.regions[name], "d"), Slots: 2}}
}

func (c *regionCluster) Owner(service string, r *dispatch.Request) (dispatch.Target, bool) {
	owner, ok := c.fakeCluster.Owner(service, r)
	return c.target(owner.Name), ok
}

func (c *regionCluster) Instances(string) []dispatch.Target {
	targets := make([]dispatch.Target, 0, len(c.regions))
	for name := range c.regions {
		targets = append(targets, c.target(name))
	}
	return targets
}

// handleIn handles a request of a route that may run in the given regions only, and is split
// between two services.
func handleIn(cluster *regionCluster, keyed, nested bool, regions ...string) dispatch.Result {
	m := routes.NewManifest(1, []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", TrafficSplit: []routes.WeightedService{{Service: "s", Weight: 1}, {Service: "canary", Weight: 1}},
		Idempotent: true, Timeout: 1000, TargetLatency: 400, MaxAttempts: 3, AllowedRegions: regions,
	}}, []routes.Service{{Name: "s", Keyed: keyed}, {Name: "canary", Keyed: keyed}}, routes.Limits{})
	c := system.Clock{}
	d := dispatch.NewDispatcher(c, cluster, cluster, balance.New(identity.NewLocation("lagos", "d")), dispatch.RetryLimits{Ratio: 1, MinPerSecond: 100})
	now := c.Now()
	return d.Handle(context.Background(), m, &dispatch.Request{ID: "1", Method: "GET", RequestURI: "/x", Host: "h", Keyed: true, Nested: nested, ReceivedAt: now, Deadline: now + 900})
}

// TestRestrictedRoute guards against an attempt of a restricted request that is sent to an
// instance in another region, in particular once the allowed ones have failed, and against
// an inaccurate reason of the refusal.
func TestRestrictedRoute(t *testing.T) {
	unknown, overloaded := dispatch.Unknown(outcome.ReasonConnectionLost), dispatch.NotRun(outcome.ReasonOverloaded).WithRetryAfter(200)
	moved, draining, outOfUse := dispatch.NotRun(outcome.ReasonMoved), dispatch.NotRun(outcome.ReasonDraining), dispatch.NotRun(outcome.ReasonOutOfUse)
	for name, test := range map[string]struct {
		allowed []string
		replies []dispatch.Reply
		sends   int
		outcome string
		reason  outcome.Reason
	}{
		"served":                    {[]string{"kano"}, []dispatch.Reply{doneReply()}, 1, "done", ""},
		"unrestricted":              {[]string{}, []dispatch.Reply{unreachableReply(), unreachableReply(), unreachableReply(), doneReply()}, 4, "done", ""},
		"first attempt unreachable": {[]string{"kano"}, []dispatch.Reply{unreachableReply(), doneReply()}, 2, "done", ""},
		"all unreachable":           {[]string{"kano"}, []dispatch.Reply{unreachableReply()}, 2, "not-run", outcome.ReasonRegionNotAllowed},
		"all draining":              {[]string{"kano"}, []dispatch.Reply{draining}, 2, "not-run", outcome.ReasonRegionNotAllowed},
		"all of another service":    {[]string{"kano"}, []dispatch.Reply{moved}, 2, "not-run", outcome.ReasonRegionNotAllowed},
		"all out of use":            {[]string{"kano"}, []dispatch.Reply{outOfUse}, 2, "not-run", outcome.ReasonRegionNotAllowed},
		"all overloaded":            {[]string{"kano"}, []dispatch.Reply{overloaded}, 2, "not-run", outcome.ReasonOverloaded},
		"refused by upstreams":      {[]string{"kano"}, []dispatch.Reply{refusedByUpstream()}, 2, "not-run", outcome.ReasonUpstreamRefused},
		"possibly run":              {[]string{"kano"}, []dispatch.Reply{unknown, unreachableReply()}, 2, "unknown", outcome.ReasonConnectionLost},
		"no such region":            {[]string{"jos"}, []dispatch.Reply{doneReply()}, 0, "not-run", outcome.ReasonRegionNotAllowed},
	} {
		for _, nested := range []bool{false, true} {
			cluster := &regionCluster{regions: map[string]string{"a": "lagos", "b": "lagos", "c": "kano", "d": "kano"}}
			cluster.replies = map[string][]dispatch.Reply{"any": test.replies}
			result := handleIn(cluster, false, nested, test.allowed...)
			if len(cluster.sentTo) != test.sends || result.Outcome.String() != test.outcome || outcome.ReasonOf(result.Outcome) != test.reason {
				t.Errorf("%s: sent to %v, outcome %s %s", name, cluster.sentTo, result.Outcome, outcome.ReasonOf(result.Outcome))
			}
			if len(test.allowed) > 0 && slices.ContainsFunc(cluster.sentTo, func(to string) bool { return cluster.regions[to] != "kano" }) {
				t.Errorf("%s: sent outside the allowed region: %v", name, cluster.sentTo)
			}
		}
	}
}

// TestRestrictedKey guards against a restricted request that is sent to the owner of its key in
// another region, or that waits until its keys have moved.
func TestRestrictedKey(t *testing.T) {
	is := is.New(t)
	regions := map[string]string{"a": "lagos", "c": "kano"}
	cluster := &regionCluster{regions: regions}
	cluster.replies, cluster.owner = map[string][]dispatch.Reply{"any": {doneReply()}}, "a"
	startedAt := time.Now()
	result := handleIn(cluster, true, false, "kano")
	is.Equal(outcome.ReasonOf(result.Outcome), outcome.ReasonRegionNotAllowed)
	is.True(result.RetryAfter > 0)
	is.Equal(result.Instance, "a") // the owner, for the log
	is.True(time.Since(startedAt) < 50*time.Millisecond)
	is.Equal(len(cluster.sentTo), 0)

	cluster.owner = "c"
	result = handleIn(cluster, true, false, "kano")
	is.Equal(result.Outcome.String(), "done")
	is.Equal(cluster.sentTo, []string{"c"})

	// No upstream that may own the key exists.
	startedAt = time.Now()
	cluster = &regionCluster{regions: map[string]string{"a": "lagos"}}
	is.Equal(outcome.ReasonOf(handleIn(cluster, true, false, "kano").Outcome), outcome.ReasonRegionNotAllowed)
	is.True(time.Since(startedAt) < 50*time.Millisecond)

	// An upstream that may own the key exists, but does not own it yet.
	is.Equal(outcome.ReasonOf(handleIn(&regionCluster{regions: regions}, true, false, "kano").Outcome), outcome.ReasonNoOwner)
}

// TestRestrictedKeyMoves guards against a resend after a move to an owner in another region.
func TestRestrictedKeyMoves(t *testing.T) {
	is := is.New(t)
	cluster := &regionCluster{regions: map[string]string{"a": "lagos", "c": "kano"}}
	cluster.owner, cluster.sendDelay = "c", 20*time.Millisecond
	cluster.replies = map[string][]dispatch.Reply{"any": {dispatch.NotRun(outcome.ReasonMoved), doneReply()}}
	time.AfterFunc(10*time.Millisecond, func() {
		cluster.mu.Lock()
		cluster.owner = "a"
		cluster.mu.Unlock()
	})
	result := handleIn(cluster, true, false, "kano")
	is.Equal(cluster.sentTo, []string{"c"})
	is.Equal(outcome.ReasonOf(result.Outcome), outcome.ReasonRegionNotAllowed)
}

// TestNeededRegion guards against an unrestricted request, also a nested one, that takes the last
// slots of a region to which another route of the service is restricted, while its own region
// serves it as well.
func TestNeededRegion(t *testing.T) {
	is := is.New(t)
	c := system.Clock{}
	for _, restricted := range []bool{false, true} {
		cluster := &regionCluster{regions: map[string]string{"a": "lagos", "c": "kano"}}
		cluster.replies = map[string][]dispatch.Reply{"any": {doneReply()}}
		split := []routes.WeightedService{{Service: "s", Weight: 1}}
		free, bound := routes.Route{Host: "h", Prefix: "/", TrafficSplit: split, Timeout: 1000}, routes.Route{Host: "h", Prefix: "/b/", TrafficSplit: split}
		if restricted {
			bound.AllowedRegions = []string{"kano"}
		}
		m := routes.NewManifest(1, []routes.Route{free, bound}, []routes.Service{{Name: "s"}}, routes.Limits{})
		balancer, now := balance.New(identity.NewLocation("lagos", "d")), c.Now()
		balancer.RecordLoad(now, "a", "", balance.Load{Running: 2, Waiting: 1, Slots: 2, ServiceTime: 100})
		balancer.RecordLoad(now, "c", "", balance.Load{Running: 1, Slots: 2, ServiceTime: 100})
		d := dispatch.NewDispatcher(c, cluster, cluster, balancer, dispatch.RetryLimits{})
		result := d.Handle(context.Background(), m, &dispatch.Request{RequestURI: "/x", Host: "h", Nested: true, ReceivedAt: now, Deadline: now + 900})
		is.Equal(result.Instance, map[bool]string{false: "c", true: "a"}[restricted])
	}
}
