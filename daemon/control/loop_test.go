package control_test

import (
	"context"
	"io"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/logs"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/node"
	objects "briarwell.dev/core/object/memory"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/placement/rendezvous"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/shard"
	tables "briarwell.dev/core/table/memory"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
	"briarwell.dev/daemon/control"
)

const (
	shardCount = 256
	// settleTime is enough for the registration, the choice of the witnesses and the
	// first assignment.
	settleTime = 10 * time.Second
	// recoveryTime is the time within which all keys must be served again after the
	// loss of a member.
	recoveryTime = 3 * time.Second
)

// bubbleClock reads the fake clock of the synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() clock.Millis { return clock.FromDuration(time.Since(c.start)) + 1 }

// fakeNetwork passes control messages between the loops of a test.
type fakeNetwork struct {
	mutex sync.Mutex
	loops map[string]*control.Loop
}

func (n *fakeNetwork) SendControl(address string, envelope *peerpb.Envelope) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if loop, ok := n.loops[address]; ok {
		loop.Receive(envelope)
	}
}

func (n *fakeNetwork) remove(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.loops, address)
}

// idleRequests is a RequestController that never has requests in flight.
type idleRequests struct{}

func (idleRequests) StopShard(_ identity.Service, _ shard.ID, drained func())         { drained() }
func (idleRequests) ResumeShard(identity.Service, shard.ID)                           {}
func (idleRequests) StopKey(_ identity.Service, _ shard.ID, _ string, drained func()) { drained() }
func (idleRequests) ResumeKey(identity.Service, shard.ID, string)                     {}

// fakeGrants is a GrantUpdater whose upstream accepts all grants, or none if
// rejectsGrants is set.
type fakeGrants struct {
	loop          *control.Loop
	rejectsGrants bool
}

func (g *fakeGrants) Update(units []control.GrantedUnit, _ clock.Millis) {
	if !g.rejectsGrants {
		g.loop.GrantAccepted(units)
	}
}

type member struct {
	loop   *control.Loop
	cancel context.CancelFunc
}

// startCluster starts a loop for each character of names, each in a failure domain of
// its own. The upstream of the loop named rejecting accepts no grants.
func startCluster(t *testing.T, tasks *conc.WaitGroup, names, rejecting string) (*fakeNetwork, map[string]member) {
	t.Helper()
	is := is.New(t)
	table := &tables.Table{}
	documents := make([]template.Document, 0, 2)
	for _, name := range []string{"lending-service", "lagos"} {
		text, err := os.ReadFile("../../examples/" + name + ".json")
		is.NoErr(err)
		document, err := template.Parse(text)
		is.NoErr(err)
		documents = append(documents, document)
	}
	_, err := rollout.NewEditor(table, &objects.Store{}).Apply(t.Context(), rollout.NewEdit("e1", "test", 0, 1, documents...))
	is.NoErr(err)
	n := &fakeNetwork{loops: map[string]*control.Loop{}}
	members := map[string]member{}
	c := bubbleClock{start: time.Now()}
	logger, closer := logs.New(io.Discard, "error")
	tasks.Go(func() {
		<-t.Context().Done()
		_ = closer.Close()
	})
	for index, r := range names {
		name := string(r)
		instance := membership.NewInstance(name, name+":1", name+":2", identity.NewLocation("lagos", "domain-"+name))
		loop := control.New(instance, rendezvous.Policy{}, c.Now(), uint64(index+1))
		ctx, cancel := context.WithCancel(t.Context())
		n.loops[name+":2"] = loop
		members[name] = member{loop: loop, cancel: cancel}
		g := &fakeGrants{loop: loop, rejectsGrants: name == rejecting}
		tasks.Go(func() {
			loop.Run(ctx, control.Settings{
				Clock: c, Table: table, Peers: n, Requests: idleRequests{}, Grants: g, Log: logger, Scope: tally.NoopScope,
			})
		})
		service := identity.NewService("lagos", "bookings")
		loop.Post(node.NewUpstreamAnnounced(membership.NewAnnouncement(service, 12, 110, upstream.FencingEpoch, 0)))
		loop.Post(node.UpstreamUp{})
	}
	return n, members
}

// countServedShards returns the number of shards for which a loop may send requests to
// the upstream at now.
func countServedShards(loop *control.Loop, now clock.Millis) int {
	view, count := loop.View(), 0
	for id := range shard.ID(shardCount) {
		found, ok := view.Owner(identity.NewService("lagos", "bookings"), id, "")
		local := ok && found.Owner.Incarnation == view.Self().Incarnation
		if local && found.ServeFrom <= now && now < view.LeaseEnd() {
			count++
		}
	}
	return count
}

// Guards against a loop that loses events or snapshots of the node: shards would stay
// unserved after the loss of a member, or be served by two members.
func TestShardsServedAfterMemberLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var tasks conc.WaitGroup
		n, members := startCluster(t, &tasks, "abc", "")
		clock := bubbleClock{start: time.Now()}
		time.Sleep(settleTime)
		sum := 0
		for _, m := range members {
			sum += countServedShards(m.loop, clock.Now())
			is.Equal(m.loop.Catalog().Version(), uint64(1))
		}
		is.Equal(sum, shardCount)
		n.remove("a:2")
		members["a"].cancel()
		time.Sleep(recoveryTime)
		is.Equal(countServedShards(members["b"].loop, clock.Now())+countServedShards(members["c"].loop, clock.Now()), shardCount)
		for _, m := range members {
			m.cancel()
		}
	})
}

// Guards against requests that reach an upstream before it holds the grant of their
// epoch: it would refuse them.
func TestNoServiceWithoutGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var tasks conc.WaitGroup
		_, members := startCluster(t, &tasks, "abc", "b")
		clock := bubbleClock{start: time.Now()}
		time.Sleep(settleTime)
		owned := members["b"].loop.OwnedShards(identity.NewService("lagos", "bookings"))
		is.True(len(owned) > 0)
		is.Equal(countServedShards(members["b"].loop, clock.Now()), 0)
		for _, m := range members {
			m.cancel()
		}
	})
}
