package localupstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/clock/manual"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/logs"
	"briarwell.dev/core/node"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
	"briarwell.dev/daemon/control"
	"briarwell.dev/daemon/localupstream"
)

// fakeNode records the types of the events for the node and provides the catalog.
type fakeNode struct {
	events  []string
	catalog template.Catalog
}

func (n *fakeNode) Post(event node.Event) { n.events = append(n.events, fmt.Sprintf("%T", event)) }

func (n *fakeNode) Catalog() template.Catalog { return n.catalog }

func newUpstream(t *testing.T, fake *fakeNode) *localupstream.Upstream {
	t.Helper()
	logger, closer := logs.New(io.Discard, "error")
	t.Cleanup(func() { _ = closer.Close() })
	return localupstream.New(&manual.Clock{}, net.IPv4(127, 0, 0, 1), fake, fake, logger)
}

func announcement(address string) []byte {
	return fmt.Appendf(nil, `{"service":"bookings","organisation":"lagos","address":%q,"slots":4,"connections":8,"fencing":"deadline","coldStartMillis":0}`, address)
}

// Guards against an upstream that continues to serve although its fencing is weaker than
// its template requires. It was accepted before the configuration was known, and then
// repeats its announcement.
func TestWeakFencing(t *testing.T) {
	is := is.New(t)
	fake := &fakeNode{}
	u := newUpstream(t, fake)
	is.NoErr(u.Announce(announcement("127.0.0.1:9")))
	is.Equal(fake.events, []string{"node.UpstreamAnnounced", "node.UpstreamUp"})
	rules := template.NewServiceRules("bookings", nil, template.WithShards(4), template.WithFencing(upstream.FencingEpoch, 0))
	fake.catalog = template.NewCatalog(1, map[string]template.ServiceRules{"lagos/bookings": rules})
	var weak *localupstream.FencingError
	is.True(errors.As(u.Announce(announcement("127.0.0.1:9")), &weak))
	is.Equal(fake.events[2:], []string{"node.UpstreamDown"})
	found, ok := u.LocalUpstream(identity.NewService("lagos", "bookings"))
	is.True(ok)
	is.True(found.Lost.Err() != nil) // requests in flight are cancelled
}

// grantCounter counts the accepted grant messages.
type grantCounter struct{ accepted atomic.Int64 }

func (c *grantCounter) GrantAccepted([]control.GrantedUnit) { c.accepted.Add(1) }

// Guards against grants to an upstream that has stopped responding: they would prolong
// the time for which it may run its requests.
func TestNoGrantsToUnresponsiveUpstream(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	arrived, release := make(chan struct{}), make(chan struct{})
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {
		if received.Add(1) == 1 {
			close(arrived)
		}
		<-release
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	u := newUpstream(t, &fakeNode{})
	is.NoErr(u.Announce(announcement(listener.Addr().String())))
	grants := localupstream.NewGrantSender(u, &manual.Clock{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { grants.Run(ctx, &grantCounter{}); close(ended) }()
	grants.Update(make([]control.GrantedUnit, 1), 1_000_000)
	<-arrived
	grants.Update(make([]control.GrantedUnit, 1), 1_000_000)
	// This is longer than the timeout of the first message plus several retry delays.
	// On a slow machine the check can only become weaker, it can't fail falsely.
	time.Sleep(600 * time.Millisecond)
	cancel()
	<-ended
	is.Equal(received.Load(), int64(1))
	close(release)
	is.NoErr(server.Shutdown())
	is.NoErr(<-served)
}
