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
	shards = 256
	// settleTime covers registration, witnesses and the first assignment.
	settleTime = 10 * time.Second
	// lossTarget is the time in which keys are served again after a loss.
	lossTarget = 3 * time.Second
)

// bubbleClock reads the fake clock of the test's bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() clock.Millis { return clock.FromDuration(time.Since(c.start)) + 1 }

// network passes messages between the loops of one test.
type network struct {
	mutex sync.Mutex
	loops map[string]*control.Loop
}

func (n *network) SendControl(address string, envelope *peerpb.Envelope) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if loop, ok := n.loops[address]; ok {
		loop.Receive(envelope)
	}
}

func (n *network) remove(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.loops, address)
}

// orders has nothing in flight.
type orders struct{}

func (orders) StopShard(_ identity.Service, _ shard.ID, drained func())         { drained() }
func (orders) ResumeShard(identity.Service, shard.ID)                           {}
func (orders) StopKey(_ identity.Service, _ shard.ID, _ string, drained func()) { drained() }
func (orders) ResumeKey(identity.Service, shard.ID, string)                     {}

// grants stands for an upstream that takes grants unless it refuses.
type grants struct {
	loop    *control.Loop
	refuses bool
}

func (g *grants) Update(units []control.GrantedUnit, _ clock.Millis) {
	if !g.refuses {
		g.loop.GrantAccepted(units)
	}
}

type member struct {
	loop   *control.Loop
	cancel context.CancelFunc
}

// cluster starts loops named a, b, c and so on in as many failure domains.
// The upstream of refusing takes no grants.
func cluster(t *testing.T, tasks *conc.WaitGroup, names, refusing string) (*network, map[string]member) {
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
	n := &network{loops: map[string]*control.Loop{}}
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
		g := &grants{loop: loop, refuses: name == refusing}
		tasks.Go(func() {
			loop.Run(ctx, control.Settings{
				Clock: c, Table: table, Peers: n, Requests: orders{}, Grants: g, Log: logger, Scope: tally.NoopScope,
			})
		})
		service := identity.NewService("lagos", "bookings")
		loop.Post(node.NewUpstreamAnnounced(membership.NewAnnouncement(service, 12, 110, upstream.FencingEpoch, 0)))
		loop.Post(node.UpstreamUp{})
	}
	return n, members
}

// served counts the shards that a loop may send orders for now.
func served(loop *control.Loop, now clock.Millis) int {
	view, count := loop.View(), 0
	for id := range shard.ID(shards) {
		found, ok := view.Owner(identity.NewService("lagos", "bookings"), id, "")
		local := ok && found.Owner.Incarnation == view.Self().Incarnation
		if local && found.ServeFrom <= now && now < view.LeaseEnd() {
			count++
		}
	}
	return count
}

// TestLoopServesAgainAfterLoss guards against a driver that loses events or
// snapshots of the node: shards stay unserved, or are served twice.
func TestLoopServesAgainAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var tasks conc.WaitGroup
		n, members := cluster(t, &tasks, "abc", "")
		clock := bubbleClock{start: time.Now()}
		time.Sleep(settleTime)
		sum := 0
		for _, m := range members {
			sum += served(m.loop, clock.Now())
			is.Equal(m.loop.Catalog().Version(), uint64(1))
		}
		is.Equal(sum, shards)
		n.remove("a:2")
		members["a"].cancel()
		time.Sleep(lossTarget)
		is.Equal(served(members["b"].loop, clock.Now())+served(members["c"].loop, clock.Now()), shards)
		for _, m := range members {
			m.cancel()
		}
	})
}

// TestNoGrantNoService guards against orders that reach an upstream before it
// holds the grant of their epoch: it would refuse them.
func TestNoGrantNoService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var tasks conc.WaitGroup
		_, members := cluster(t, &tasks, "abc", "b")
		clock := bubbleClock{start: time.Now()}
		time.Sleep(settleTime)
		owned := members["b"].loop.OwnedShards(identity.NewService("lagos", "bookings"))
		is.True(len(owned) > 0)
		is.Equal(served(members["b"].loop, clock.Now()), 0)
		for _, m := range members {
			m.cancel()
		}
	})
}
