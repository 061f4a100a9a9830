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
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// TestParseArbitraryTarget guards against keys that an upstream could interpret differently,
// and against keys that are invalid in a header.
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

// TestParseErrors guards against errors that a caller can't distinguish.
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

// TestUnkeyedPrefersNearbyFreeMember guards against requests that are sent to another region,
// or queue at a full upstream, while a nearby upstream has a free slot.
func TestUnkeyedPrefersNearbyFreeMember(t *testing.T) {
	is := is.New(t)
	d := newCluster(5, upstream.FencingEpoch)[0]
	locations := []identity.Location{
		identity.NewLocation("lagos", "lagos-2"), identity.NewLocation("lagos", "lagos-1"), identity.NewLocation("lagos", "lagos-1"),
		identity.NewLocation("kano", "kano-1"), identity.NewLocation("kano", "kano-1"),
	}
	for i := range d.members {
		d.members[i].Location = locations[i]
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
	is.Equal(pick(), identity.Incarnation(3)) // the less loaded member of the same failure domain
	is.Equal(pick(3), identity.Incarnation(2))
	d.members[1].InFlight, d.members[2].InFlight = 4, 8
	is.Equal(pick(), identity.Incarnation(1)) // both are full: a member of the same region
	is.True(pick(1, 2, 3) >= 4)
	is.True(pick(1, 2, 3, 4, 5) != 0)
	d.setLease(0)
	refused := router.Decide(0, d, router.RouteQuery{Service: unkeyedService}, random).(router.Refuse)
	is.Equal(refused.Outcome(), outcome.Outcome(outcome.NewNotRun(outcome.ReasonNoLease)))
}

// TestUnkeyedRetryAvoidsFailedMember guards against a retry at the member at which the request
// just failed, and against a retry of a non-idempotent request that may have run.
func TestUnkeyedRetryAvoidsFailedMember(t *testing.T) {
	is := is.New(t)
	daemons := newCluster(4, upstream.FencingEpoch)
	failWith := func(o outcome.Outcome) {
		for _, other := range daemons[1:] {
			other.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
				return upstream.Response{}, upstream.NewSendError(o, io.ErrUnexpectedEOF)
			}
		}
	}
	daemons[0].members = daemons[0].members[1:]
	var attempts []router.AttemptReport
	settings := router.EntrySettings{Views: daemons[0], Forwarder: daemons[0], Owner: daemons[0].owner, Clock: daemons[0].clock, Random: router.NewRandom(2)}
	settings.OnAttempt = func(r router.AttemptReport) { attempts = append(attempts, r) }
	settings.Budget = retry.NewBudget(1, 100)
	entry := router.NewEntryHandler(settings)
	serve := func(method string) *router.Response {
		attempts = nil
		request := getRequest("/attire/catalogue/page")
		request.Method = method
		return entry.Serve(t.Context(), request)
	}
	failWith(outcome.NewNotRun(outcome.ReasonUpstreamRefused))
	is.Equal(serve("POST").Status, 429)
	is.Equal(len(attempts), 4)
	members := map[string]bool{}
	for _, r := range attempts[:3] {
		members[r.Decision.(router.Forward).PeerAddress()] = true
	}
	is.Equal(len(members), 3)
	failWith(outcome.NewUnknown(outcome.ReasonConnectionLost))
	is.Equal(serve("POST").Status, 504)
	is.Equal(len(attempts), 1)
	is.Equal(serve("GET").Status, 504)
	is.Equal(len(attempts), 4)
}

// TestHopByHopAndReservedHeadersRemoved guards against forwarding hop-by-hop headers of a
// caller, and headers of briarwell that a caller set, to an upstream.
func TestHopByHopAndReservedHeadersRemoved(t *testing.T) {
	is := is.New(t)
	headers := make([]upstream.Header, 0, 10)
	for _, name := range []string{"Te", "Upgrade", "Keep-Alive", "Content-Length", "Proxy-Connection", "Transfer-Encoding", "X-Listed", "briarwell-epoch", "X-Kept"} {
		headers = append(headers, upstream.NewHeader(name, "1"))
	}
	headers = append(headers, upstream.NewHeader("connection", "close, x-listed"))
	is.Equal(router.EndToEndHeaders(nil, headers), []upstream.Header{upstream.NewHeader("X-Kept", "1")})
	d := newCluster(1, upstream.FencingEpoch)[0]
	is.Equal(d.entry.Serve(t.Context(), timedRequest("x")).Status, 400)
}

func timedRequest(timeout string) router.CallerRequest {
	request := getRequest("/attire/bookings/k1")
	request.Headers = []upstream.Header{upstream.NewHeader(outcome.HeaderTimeout, timeout)}
	return request
}

// TestProperRequestDenied guards against a 4xx for a request whose time is spent, that allows more
// time than any request takes, or that arrives before this daemon has a configuration.
func TestProperRequestDenied(t *testing.T) {
	is := is.New(t)
	d := newCluster(1, upstream.FencingEpoch)[0]
	for _, value := range []string{"0", "-1", "-99999999999"} {
		response := d.entry.Serve(t.Context(), timedRequest(value))
		is.Equal(response.Status, 503)
		is.Equal(response.Outcome, outcome.NewNotRun(outcome.ReasonDeadlineExceeded))
	}
	is.Equal(d.entry.Serve(t.Context(), timedRequest("99999999999")).Status, 200)
	d.catalog = template.Catalog{}
	response := d.entry.Serve(t.Context(), getRequest("/attire/bookings/k1"))
	is.Equal(response.Status, 503)
	is.Equal(response.Outcome, outcome.NewNotRun(outcome.ReasonConfigurationLags))
}

// TestHotKeyDrainsApartFromShard guards against a handover of a hot key that stops its shard,
// and against one that doesn't wait for the requests of the key.
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
		d.upstream.respond = func(_ context.Context, request upstream.Request) (upstream.Response, error) {
			if request.Key == "k1" {
				<-release
			}
			return textResponse("x"), nil
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
