package router_test

import (
	"context"
	"errors"
	"io"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/retry"
	"briarwell.dev/core/router"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/upstream"
)

// TestParseArbitraryTarget guards against keys that an upstream would read
// otherwise, or that could break out of a header.
func TestParseArbitraryTarget(t *testing.T) {
	rules := newCatalog(upstream.FencingEpoch)
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		target, err := router.Parse(rules, "/attire/bookings/"+url.PathEscape(key)+"/rest?q=/../")
		valid := key != "" && key != "." && key != ".." && len(key) <= 512 && !strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r == 0x7f })
		if (err == nil) != valid {
			t.Fatalf("key %q: %v", key, err)
		}
		if valid && (target.Key() != key || target.Shard() != shard.ForKey(key, shardCount) || target.Subpath() != "/rest") {
			t.Fatalf("key %q parsed as %+v", key, target)
		}
		_, _ = router.Parse(rules, rapid.String().Draw(t, "target"))
	})
}

// TestParseErrors guards against errors that a caller can't tell apart.
func TestParseErrors(t *testing.T) {
	is := is.New(t)
	rules := newCatalog(upstream.FencingEpoch)
	var malformed *router.MalformedError
	var unknown *router.UnknownServiceError
	var missing *router.MissingKeyError
	for _, target := range []string{"", "attire/bookings/k", "/attire", "/attire//k", "/attire/bookings/a b", "/attire/bookings/k/../j", "/attire/bookings/%2e%2e/j", "/attire/bookings/%0d", "/attire/bookings/%zz"} {
		_, err := router.Parse(rules, target)
		is.True(errors.As(err, &malformed))
	}
	for _, target := range []string{"/attire/bookings", "/attire/bookings/", "/attire/bookings?k"} {
		_, err := router.Parse(rules, target)
		is.True(errors.As(err, &missing))
	}
	_, err := router.Parse(rules, "/attire/nothing/k")
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Service(), identity.NewService("attire", "nothing"))
	d := newCluster(1, upstream.FencingEpoch)[0]
	for target, status := range map[string]int{"/": 400, "/attire/nothing/k": 404, "/attire/bookings/": 400} {
		is.Equal(d.entry.Serve(t.Context(), getRequest(target)).Status, status)
	}
}

// TestUnkeyedPrefersNearbyFreeMember guards against requests that cross regions, or
// queue at a full upstream, while a near one is free.
func TestUnkeyedPrefersNearbyFreeMember(t *testing.T) {
	is := is.New(t)
	d := newCluster(5, upstream.FencingEpoch)[0]
	places := []identity.Location{
		identity.NewLocation("lagos", "lagos-2"), identity.NewLocation("lagos", "lagos-1"), identity.NewLocation("lagos", "lagos-1"),
		identity.NewLocation("kano", "kano-1"), identity.NewLocation("kano", "kano-1"),
	}
	for i := range d.members {
		d.members[i].Location = places[i]
	}
	d.self = d.members[1]
	random := router.NewRandom(3)
	pick := func(avoid ...identity.Incarnation) identity.Incarnation {
		switch decision := router.Decide(0, d, router.RouteQuery{Service: unkeyedService, Avoid: avoid}, random).(type) {
		case router.Local:
			return d.self.Incarnation
		case router.Forward:
			return decision.Target().Incarnation
		default:
			return 0
		}
	}
	d.members[1].InFlight = 2
	is.Equal(pick(), identity.Incarnation(3)) // The less loaded of the two in the same failure domain.
	is.Equal(pick(3), identity.Incarnation(2))
	d.members[1].InFlight, d.members[2].InFlight = 4, 8
	is.Equal(pick(), identity.Incarnation(1)) // Both are full: the same region is next.
	is.True(pick(1, 2, 3) >= 4)
	is.True(pick(1, 2, 3, 4, 5) != 0)
	d.setLease(0)
	refused := router.Decide(0, d, router.RouteQuery{Service: unkeyedService}, random).(router.Refuse)
	is.Equal(refused.Outcome(), outcome.Outcome(outcome.NewNotRun(outcome.ReasonNoLease)))
}

// TestUnkeyedRetryAvoidsFailedMember guards against a second attempt at the
// member that has just failed, and against one of an order that may have run.
func TestUnkeyedRetryAvoidsFailedMember(t *testing.T) {
	is := is.New(t)
	d := newCluster(4, upstream.FencingEpoch)
	refuse := func(o outcome.Outcome) {
		for _, other := range d[1:] {
			other.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
				return upstream.Response{}, upstream.NewSendError(o, io.ErrUnexpectedEOF)
			}
		}
	}
	d[0].members = d[0].members[1:]
	var routed []router.AttemptReport
	ports := router.EntrySettings{Views: d[0], Forwarder: d[0], Owner: d[0].owner, Clock: d[0].clock, Random: router.NewRandom(2)}
	ports.OnAttempt = func(r router.AttemptReport) { routed = append(routed, r) }
	ports.Budget = retry.NewBudget(1, 100)
	entry := router.NewEntryHandler(ports)
	serve := func(method string) *router.Response {
		routed = nil
		request := getRequest("/attire/catalogue/page")
		request.Method = method
		return entry.Serve(t.Context(), request)
	}
	refuse(outcome.NewNotRun(outcome.ReasonUpstreamRefused))
	is.Equal(serve("POST").Status, 429)
	is.Equal(len(routed), 4)
	members := map[string]bool{}
	for _, r := range routed[:3] {
		members[r.Decision.(router.Forward).PeerAddress()] = true
	}
	is.Equal(len(members), 3)
	refuse(outcome.NewUnknown(outcome.ReasonConnectionLost))
	is.Equal(serve("POST").Status, 504)
	is.Equal(len(routed), 1)
	is.Equal(serve("GET").Status, 504)
	is.Equal(len(routed), 4)
}

// TestHopByHopAndReservedHeadersRemoved guards against headers that a caller sets for its
// own connection, or in the name of briarwell, and that reach an upstream.
func TestHopByHopAndReservedHeadersRemoved(t *testing.T) {
	is := is.New(t)
	headers := make([]upstream.Header, 0, 10)
	for _, name := range []string{"Te", "Upgrade", "Keep-Alive", "Content-Length", "Proxy-Connection", "Transfer-Encoding", "X-Listed", "briarwell-epoch", "X-Kept"} {
		headers = append(headers, upstream.NewHeader(name, "1"))
	}
	headers = append(headers, upstream.NewHeader("connection", "close, x-listed"))
	is.Equal(router.EndToEndHeaders(nil, headers), []upstream.Header{upstream.NewHeader("X-Kept", "1")})
	d := newCluster(1, upstream.FencingEpoch)[0]
	for _, value := range []string{"0", "-1", "x", "99999999999"} {
		request := getRequest("/attire/bookings/k1")
		request.Headers = []upstream.Header{upstream.NewHeader(outcome.HeaderTimeout, value)}
		is.Equal(d.entry.Serve(t.Context(), request).Status, 400)
	}
}

// TestHotKeyDrainsApartFromShard guards against a hot key's handover that stops its
// shard, and against one that leaves the key's orders running.
func TestHotKeyDrainsApartFromShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newCluster(1, upstream.FencingEpoch)[0]
		id := shard.ForKey("k1", shardCount)
		other := "a"
		for shard.ForKey(other, shardCount) != id {
			other += "a"
		}
		release, drained, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
		d.upstream.respond = func(_ context.Context, order upstream.Request) (upstream.Response, error) {
			if order.Key == "k1" {
				<-release
			}
			return textAnswer("x"), nil
		}
		go func() { _, _ = readBody(d.entry.Serve(t.Context(), postRequest("id", ""))); close(ended) }()
		synctest.Wait()
		d.owner.StopKey(keyedService, id, "k1", func() { close(drained) })
		text, _ := readBody(d.entry.Serve(t.Context(), getRequest("/attire/bookings/"+other)))
		is.Equal(text, "x")
		select {
		case <-drained:
			is.Fail()
		default:
		}
		close(release)
		<-drained
		<-ended
		is.Equal(d.entry.Serve(t.Context(), getRequest("/attire/bookings/k1")).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonMoved)))
		d.owner.ResumeKey(keyedService, id, "k1")
		text, _ = readBody(d.entry.Serve(t.Context(), getRequest("/attire/bookings/k1")))
		is.Equal(text, "x")
	})
}
