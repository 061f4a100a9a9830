package dispatch_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/routes"
)

// reportingCluster has one instance, in a given region, that reports its load unless the policy
// says that it is known.
type reportingCluster struct {
	regionCluster

	reports int
}

func (c *reportingCluster) Send(_ context.Context, _ dispatch.Target, _ string, _ *dispatch.Request, policy dispatch.RequestPolicy) dispatch.Reply {
	reply := doneReply()
	if !policy.LoadKnown {
		c.reports++
		reply.Load, reply.HasLoad = balance.Load{Slots: 2}, true
	}
	return reply
}

// TestLoadReportsBetweenRegions guards against a load report with each reply from another region,
// and against loads in the own region that are older than they need be.
func TestLoadReportsBetweenRegions(t *testing.T) {
	is := is.New(t)
	m := routes.NewManifest(1, []routes.Route{{Host: "h", Prefix: "/", TrafficSplit: []routes.WeightedService{{Service: "s", Weight: 1}}, Timeout: 900}}, []routes.Service{{Name: "s"}}, routes.Limits{})
	for region, reports := range map[string]int{"lagos": 5, "kano": 1} {
		cluster := &reportingCluster{regionCluster: regionCluster{regions: map[string]string{"a": region}}}
		c := system.Clock{}
		d := dispatch.NewDispatcher(c, cluster, cluster, balance.New(identity.NewLocation("lagos", "d")), dispatch.RetryLimits{})
		for range 5 {
			now := c.Now()
			is.Equal(d.Handle(context.Background(), m, &dispatch.Request{Host: "h", RequestURI: "/", ReceivedAt: now, Deadline: now + 900}).Outcome.String(), "done")
		}
		is.Equal(cluster.reports, reports)
	}
}

// TestRefusalReportsLoad guards against a refusal without the load that is its cause, and against a
// report with a served request that asks for none.
func TestRefusalReportsLoad(t *testing.T) {
	is := is.New(t)
	for _, up := range []bool{true, false} {
		u := &fakeUpstream{state: dispatch.UpstreamState{Service: "s", Up: up}}
		reply := newExecutor(u, 1).Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{LoadKnown: true})
		is.Equal(reply.HasLoad, !up)
	}
}
