package dispatch_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
)

// nestingUpstream makes a nested request for each request, which is refused, and fails.
type nestingUpstream struct {
	fakeUpstream

	executor *dispatch.Executor
	reason   outcome.Reason
	parents  []dispatch.Parent
}

func (u *nestingUpstream) Call(_ context.Context, _ keyspace.Process, r *dispatch.Request, _ clock.Millis) dispatch.Reply {
	u.calls.Add(1)
	parent, _ := u.executor.Parent(r.ID)
	u.parents = append(u.parents, parent)
	u.executor.RecordNested(r.ID, outcome.NewNotRun(u.reason))
	return dispatch.Done(dispatch.Response{Status: 502})
}

// TestNestedRefused guards against starting requests whose nested requests are refused,
// against refusing all of them, against refusing those of other classes, and against nested
// requests that lose the rank of their parent.
func TestNestedRefused(t *testing.T) {
	is := is.New(t)
	for reason, notStarted := range map[outcome.Reason]bool{outcome.ReasonOverloaded: true, outcome.ReasonNoOwner: false} {
		u := &nestingUpstream{reason: reason}
		u.state = dispatch.UpstreamState{Service: "s", Up: true}
		u.executor = newExecutorOf(u, 8)
		serve := func(class string) dispatch.Reply {
			return u.executor.Serve(context.Background(), "s", keyedRequest(), dispatch.RequestPolicy{Class: class, Rank: 3})
		}
		refused := 0
		for range 300 {
			if reply := serve("r"); reply.NestedRefused {
				is.True(reply.RetryAfter > 0)
				refused++
			}
		}
		is.Equal(refused > 150, notStarted)
		is.Equal(u.executor.FairnessCounts().NotStarted, uint64(refused))
		is.Equal(int(u.calls.Load()), 300-refused)
		is.Equal(u.parents[0], dispatch.Parent{Rank: 3, Demand: 1})
		is.Equal(u.parents[len(u.parents)-1].Demand > 1.5, notStarted) // one stands for those not started
		is.True(!serve("other").NestedRefused)
	}
}

// TestNestedRank guards against a nested request that is sent with the rank of its own route.
func TestNestedRank(t *testing.T) {
	is := is.New(t)
	var sent dispatch.RequestPolicy
	d := dispatch.NewDispatcher(system.Clock{}, &fakeCluster{}, senderFunc(func(policy dispatch.RequestPolicy) { sent = policy }), balance.New(identity.NewLocation("r", "d")), dispatch.RetryLimits{})
	now := system.Clock{}.Now()
	r := &dispatch.Request{ID: "1.1", RequestURI: "/x", Host: "h", Nested: true, Parent: dispatch.Parent{Rank: 4, Demand: 2}, ReceivedAt: now, Deadline: now + 900}
	d.Handle(context.Background(), manifest(true, false, 1), r)
	is.Equal(sent.Rank, 4)
	is.Equal(sent.Demand, 2.0)
}

// senderFunc serves each request and passes its policy to the function.
type senderFunc func(policy dispatch.RequestPolicy)

func (f senderFunc) Send(_ context.Context, _ dispatch.Target, _ string, _ *dispatch.Request, policy dispatch.RequestPolicy) dispatch.Reply {
	f(policy)
	return doneReply()
}
