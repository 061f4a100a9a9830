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

// driver records the events for the node and holds the catalog.
type driver struct {
	events  []string
	catalog template.Catalog
}

func (d *driver) Post(event node.Event) { d.events = append(d.events, fmt.Sprintf("%T", event)) }

func (d *driver) Catalog() template.Catalog { return d.catalog }

func newUpstream(t *testing.T, d *driver) *localupstream.Upstream {
	t.Helper()
	logger, closer := logs.New(io.Discard, "error")
	t.Cleanup(func() { _ = closer.Close() })
	return localupstream.New(&manual.Clock{}, net.IPv4(127, 0, 0, 1), d, d, logger)
}

func announcement(address string) []byte {
	return fmt.Appendf(nil, `{"service":"bookings","organisation":"lagos","address":%q,"slots":4,"connections":8,"fencing":"deadline","coldStartMillis":0}`, address)
}

// TestWeakFencing guards against an upstream that goes on serving although it
// checks less than its template requires, when it was accepted before the
// configuration was known.
func TestWeakFencing(t *testing.T) {
	is := is.New(t)
	d := &driver{}
	u := newUpstream(t, d)
	is.NoErr(u.Announce(announcement("127.0.0.1:9")))
	is.Equal(d.events, []string{"node.UpstreamAnnounced", "node.UpstreamUp"})
	rules := template.NewServiceRules("bookings", nil, template.WithShards(4), template.WithFencing(upstream.FencingEpoch, 0))
	d.catalog = template.NewCatalog(1, map[string]template.ServiceRules{"lagos/bookings": rules})
	var weak *localupstream.FencingError
	is.True(errors.As(u.Announce(announcement("127.0.0.1:9")), &weak))
	is.Equal(d.events[2:], []string{"node.UpstreamDown"})
	found, ok := u.LocalUpstream(identity.NewService("lagos", "bookings"))
	is.True(ok)
	is.True(found.Lost.Err() != nil) // orders in flight are given up
}

// taken counts what the upstream took.
type taken struct{ calls atomic.Int64 }

func (t *taken) GrantAccepted([]control.GrantedUnit) { t.calls.Add(1) }

// TestNoGrantsWhileSilent guards against grants that prolong the life of orders
// in an upstream that has stopped answering.
func TestNoGrantsWhileSilent(t *testing.T) {
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
	u := newUpstream(t, &driver{})
	is.NoErr(u.Announce(announcement(listener.Addr().String())))
	grants := localupstream.NewGrantSender(u, &manual.Clock{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { grants.Run(ctx, &taken{}); close(ended) }()
	grants.Update(make([]control.GrantedUnit, 1), 1_000_000)
	<-arrived
	grants.Update(make([]control.GrantedUnit, 1), 1_000_000)
	// Longer than the timeout of the first message and several pauses: a slow
	// machine can only make the check weaker, never fail.
	time.Sleep(600 * time.Millisecond)
	cancel()
	<-ended
	is.Equal(received.Load(), int64(1))
	close(release)
	is.NoErr(server.Shutdown())
	is.NoErr(<-served)
}
