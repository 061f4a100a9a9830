package router_test

import (
	"errors"
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/upstream"
)

// TestParseAnyTarget guards against keys that an upstream would read
// otherwise, or that could break out of a header.
func TestParseAnyTarget(t *testing.T) {
	rules := catalog(upstream.FencingEpoch)
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		target, err := router.Parse(rules, "/attire/bookings/"+url.PathEscape(key)+"/rest?q=/../")
		valid := key != "" && key != "." && key != ".." && len(key) <= 512 && !strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r == 0x7f })
		if (err == nil) != valid {
			t.Fatalf("key %q: %v", key, err)
		}
		if valid && (target.Key() != key || target.Shard() != shard.Of(key, shards) || target.Rest() != "/rest") {
			t.Fatalf("key %q parsed as %+v", key, target)
		}
		_, _ = router.Parse(rules, rapid.String().Draw(t, "target"))
	})
}

// TestParseErrors guards against errors that a caller can't tell apart.
func TestParseErrors(t *testing.T) {
	is := is.New(t)
	rules := catalog(upstream.FencingEpoch)
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
	d := cluster(1, upstream.FencingEpoch)[0]
	for target, status := range map[string]int{"/": 400, "/attire/nothing/k": 404, "/attire/bookings/": 400} {
		is.Equal(d.entry.Serve(t.Context(), get(target)).Status, status)
	}
}

// TestUnkeyedPrefersNearAndFree guards against requests that cross regions, or
// queue at a full upstream, while a near one is free.
func TestUnkeyedPrefersNearAndFree(t *testing.T) {
	is := is.New(t)
	d := cluster(5, upstream.FencingEpoch)[0]
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
		switch decision := router.Decide(0, d, router.Route{Service: unkeyed, Avoid: avoid}, random).(type) {
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
	refused := router.Decide(0, d, router.Route{Service: unkeyed}, random).(router.Refuse)
	is.Equal(refused.Outcome(), outcome.Outcome(outcome.NewNotRun(outcome.ReasonNoLease)))
}
