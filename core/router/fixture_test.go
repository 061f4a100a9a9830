package router_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/manual"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/peer/grpcpeer"
	"briarwell.dev/core/router"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

const (
	shardCount = 8
	// farFuture is later than any time that a test reaches.
	farFuture clock.Millis = 1 << 40
)

var (
	keyedService   = identity.NewService("attire", "bookings")
	unkeyedService = identity.NewService("attire", "catalogue")
)

func newCatalog(fencing upstream.Fencing) template.Catalog {
	routes := []template.RouteRules{
		template.NewRouteRules("POST", "", false, template.PriorityHigh, 5000),
		template.NewRouteRules("", "", true, template.PriorityNormal, 5000),
	}
	return template.NewCatalog(1, map[string]template.ServiceRules{
		keyedService.String():   template.NewServiceRules(keyedService.Name(), routes, template.WithShards(shardCount), template.WithFencing(fencing, 0)),
		unkeyedService.String(): template.NewServiceRules(unkeyedService.Name(), routes),
	})
}

// sharedState is the cluster state that all daemons of a test share, unless a daemon has a
// copy of its own.
type sharedState struct {
	mu      sync.Mutex
	owners  map[shard.ID]router.Ownership
	members []router.Member
	catalog template.Catalog
}

// daemon is a daemon without a network. It implements the View, the Forwarder and the
// LocalUpstreams of its own handlers.
type daemon struct {
	*sharedState
	self     router.Member
	clock    *manual.Clock
	leaseEnd atomic.Int64
	upstream *upstreamStub
	gate     *admission.Gate
	owner    *router.OwnerHandler
	entry    *router.EntryHandler
	peers    map[string]*daemon
	// pool, if set, replaces the direct calls between daemons.
	pool *grpcpeer.Pool
	// pause is the time in milliseconds for which the process is paused after a read of
	// the wall clock.
	pause clock.Millis
	// forwardLoss, if not "", makes a forwarded request fail "before" or "after" it was
	// served.
	forwardLoss atomic.Value
}

func (d *daemon) View() router.View                        { return d }
func (d *daemon) Self() router.Member                      { return d.self }
func (d *daemon) LeaseEnd() clock.Millis                   { return clock.Millis(d.leaseEnd.Load()) }
func (d *daemon) Catalog() template.Catalog                { return d.catalog }
func (d *daemon) setLease(end clock.Millis)                { d.leaseEnd.Store(int64(end)) }
func (d *daemon) Members(identity.Service) []router.Member { return d.members }

func (d *daemon) unixMillis() int64 {
	now := int64(d.clock.Now()) + 1_000_000
	d.clock.Advance(d.pause)
	return now
}

func (d *daemon) Owner(_ identity.Service, id shard.ID, _ string) (router.Ownership, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ownership, ok := d.owners[id]
	return ownership, ok
}

func (d *daemon) LocalUpstream(identity.Service) (router.LocalUpstream, bool) {
	return router.LocalUpstream{Client: d.upstream, Gate: d.gate}, true
}

func (d *daemon) Forward(ctx context.Context, address string, request *router.Request) (*router.Response, error) {
	if d.pool != nil {
		return d.pool.Forward(ctx, address, request)
	}
	loss, _ := d.forwardLoss.Load().(string)
	if loss == "before" {
		return nil, router.NewForwardError(outcome.NewNotRun(outcome.ReasonUnreachable), io.ErrClosedPipe)
	}
	forwarded := *request
	response := d.peers[address].owner.Serve(ctx, &forwarded)
	if loss == "after" {
		if response.Body != nil {
			response.Body.Close()
		}
		return nil, router.NewForwardError(outcome.NewUnknown(outcome.ReasonConnectionLost), io.ErrUnexpectedEOF)
	}
	return response, nil
}

// newCluster returns n daemons; daemon 0 owns all shards under epoch 1.
func newCluster(n int, fencing upstream.Fencing) []*daemon {
	state := &sharedState{owners: map[shard.ID]router.Ownership{}, catalog: newCatalog(fencing)}
	peers, daemons := map[string]*daemon{}, make([]*daemon, n)
	for i := range n {
		name := string(rune('a' + i))
		d := &daemon{sharedState: state, clock: &manual.Clock{}, peers: peers, upstream: &upstreamStub{runs: map[string]int{}}}
		d.self = router.Member{
			Incarnation: identity.Incarnation(i + 1), Instance: name, PeerAddress: name, HTTPAddress: "http-" + name,
			Slots: 4, Location: identity.NewLocation("lagos", "lagos-1"),
		}
		d.setLease(farFuture)
		d.gate = admission.NewGate(d.clock, admission.Settings{Slots: 4})
		d.owner = router.NewOwnerHandler(router.OwnerSettings{Views: d, Upstreams: d, Clock: d.clock, UnixMillis: d.unixMillis, Forwarder: d})
		d.entry = router.NewEntryHandler(router.EntrySettings{Views: d, Forwarder: d, Owner: d.owner, Clock: d.clock, Random: router.NewRandom(1)})
		state.members = append(state.members, d.self)
		peers[name], daemons[i] = d, d
	}
	for id := range shard.ID(shardCount) {
		daemons[0].setOwner(id, 1)
	}
	return daemons
}

// setOwner makes d the owner of a shard under an epoch.
func (d *daemon) setOwner(id shard.ID, epoch identity.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owners[id] = router.Ownership{Owner: d.self, Epoch: epoch, HeldSince: d.clock.Now(), IsFirstOwner: epoch == 1}
}

// connectOverGRPC makes the daemons forward requests over gRPC on loopback addresses.
func connectOverGRPC(t testing.TB, daemons []*daemon) {
	for _, d := range daemons {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := grpcpeer.NewServer(grpcpeer.ServerSettings{Clock: d.clock, Handler: d.owner})
		var group conc.WaitGroup
		group.Go(func() { _ = server.Serve(listener) })
		d.self.PeerAddress = listener.Addr().String()
		d.pool = grpcpeer.NewPool(grpcpeer.PoolSettings{Clock: d.clock})
		t.Cleanup(func() { d.pool.Close(); server.Stop(context.Background()); group.Wait() })
	}
	for id := range shard.ID(shardCount) {
		daemons[0].setOwner(id, 1)
	}
}

// upstreamStub counts the runs of each request ID and responds with a text.
type upstreamStub struct {
	mu   sync.Mutex
	runs map[string]int
	// lastRequest is the request that was received last.
	lastRequest upstream.Request
	// respond, if set, replaces the response.
	respond func(ctx context.Context, request upstream.Request) (upstream.Response, error)
}

func (u *upstreamStub) Do(ctx context.Context, request upstream.Request) (upstream.Response, error) {
	u.mu.Lock()
	u.runs[request.RequestID]++
	u.lastRequest = request
	respond := u.respond
	u.mu.Unlock()
	if respond != nil {
		return respond(ctx, request)
	}
	return textResponse("done " + request.RequestID), nil
}

func (*upstreamStub) Grant(context.Context, upstream.Grant) error { return nil }
func (*upstreamStub) Load(context.Context) (upstream.Load, error) { return upstream.Load{}, nil }

func (u *upstreamStub) count(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func textResponse(text string) upstream.Response {
	return upstream.Response{
		Status: 200, ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
		Headers: []upstream.Header{upstream.NewHeader("X-Own", "1"), upstream.NewHeader("Briarwell-Epoch", "99")},
	}
}

func postRequest(id, stamp string) router.CallerRequest {
	return router.CallerRequest{
		Method: "POST", Target: "/attire/bookings/k1",
		Headers: []upstream.Header{upstream.NewHeader(outcome.HeaderRequestID, id), upstream.NewHeader(outcome.HeaderStamp, stamp)},
	}
}

func getRequest(target string) router.CallerRequest {
	return router.CallerRequest{Method: "GET", Target: target}
}

func readBody(response *router.Response) (string, error) {
	if response.Body == nil {
		return "", nil
	}
	defer response.Body.Close()
	var buffer bytes.Buffer
	_, err := io.Copy(&buffer, response.Body)
	return buffer.String(), err
}

func headerValue(response *router.Response, name string) string {
	for _, header := range response.Headers {
		if strings.EqualFold(header.Name(), name) {
			return header.Value()
		}
	}
	return ""
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func asTruncated(err error, target **router.TruncatedError) bool { return errors.As(err, target) }
