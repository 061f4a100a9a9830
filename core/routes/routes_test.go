package routes_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/routes"
)

// TestMatch guards against a shorter prefix that hides a longer one, and against a match
// with the routes of another host.
func TestMatch(t *testing.T) {
	is := is.New(t)
	m := routes.NewManifest(3, []routes.Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "H", Prefix: "/a/b/"}, {Name: "other", Host: "i", Prefix: "/"},
	}, nil, routes.Limits{})
	r, ok := m.Match("h:80", "/a/b/c")
	is.True(ok)
	is.Equal(r.Name, "long")
	r, _ = m.Match("h", "/a/x")
	is.Equal(r.Name, "short")
	_, ok = m.Match("h", "/ab/")
	is.True(!ok)
	_, ok = (&routes.Manifest{}).Match("h", "/")
	is.True(!ok)
}

// TestMatchAmbiguous guards against sidecars that match different routes since their maps are in
// different order, and against a route with an unreadable prefix that gets all requests of a host.
func TestMatchAmbiguous(t *testing.T) {
	is := is.New(t)
	for _, names := range [][]string{{"x", "y"}, {"y", "x"}} {
		m := routes.NewManifest(1, []routes.Route{
			{Name: names[0], Host: "h", Prefix: "/a/"}, {Name: names[1], Host: "H", Prefix: "/a/"}, {Name: "unknown", Host: "h"},
		}, []routes.Service{{Name: names[0]}, {Name: names[1]}}, routes.Limits{})
		r, _ := m.Match("h", "/a/")
		is.Equal(r.Name, "x")
		_, ok := m.Match("h", "/b/")
		is.True(!ok)
		is.Equal(m.Routes()[1].Name, "x")
		is.Equal(m.Services()[0].Name, "x")
	}
}

// TestMayMatch guards against a request that is denied although a route that was not understood may
// mean it.
func TestMayMatch(t *testing.T) {
	is := is.New(t)
	m := routes.NewManifest(1, []routes.Route{
		{Name: "known", Host: "h", Prefix: "/a/"}, {Name: "noPrefix", Host: "i"}, {Name: "noHost", Prefix: "/b/"},
	}, nil, routes.Limits{})
	is.True(!m.MayMatch("h", "/c/"))
	is.True(m.MayMatch("I:80", "/c/"))
	is.True(m.MayMatch("h", "/b/x"))
	is.True(!(&routes.Manifest{}).MayMatch("h", "/"))
	all := routes.NewManifest(1, []routes.Route{{Name: "unreadable"}}, nil, routes.Limits{})
	is.True(all.MayMatch("h", "/"))
}

// TestTrafficSplit guards against services that get another share than their weight.
func TestTrafficSplit(t *testing.T) {
	is := is.New(t)
	r := routes.Route{TrafficSplit: []routes.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for range 10_000 {
		counts[r.PickService()]++
	}
	is.True(math.Abs(float64(counts["b"])-1000) < 200)
	is.Equal(counts["c"], 0)
	is.Equal(routes.Route{}.PickService(), "")
}

// TestOwnerRegions guards against keys that are owned where a restricted route may not run its
// requests, also one that a split gives no requests yet, and against keys that nobody may own
// since two routes exclude each other's regions.
func TestOwnerRegions(t *testing.T) {
	is := is.New(t)
	to := func(names ...string) []routes.WeightedService {
		split := make([]routes.WeightedService, 0, len(names))
		for _, name := range names {
			split = append(split, routes.WeightedService{Service: name})
		}
		return split
	}
	m := routes.NewManifest(1, []routes.Route{
		{TrafficSplit: to("free", "one", "both", "apart", "absent")},
		{TrafficSplit: to("one", "both", "apart"), AllowedRegions: []string{"lagos", "kano", "lagos"}},
		{TrafficSplit: to("both", "both"), AllowedRegions: []string{"jos", "kano"}},
		{TrafficSplit: to("apart"), AllowedRegions: []string{"jos"}},
		{TrafficSplit: to("absent"), AllowedRegions: []string{"nowhere"}},
	}, nil, routes.Limits{})
	is.Equal(m.OwnerRegions("free"), nil)
	is.Equal(m.OwnerRegions("one"), []string{"kano", "lagos"})
	is.Equal(m.OwnerRegions("both"), []string{"kano"})
	is.Equal(m.OwnerRegions("apart"), nil)
	is.Equal(m.OwnerRegions("absent"), []string{"nowhere"})
	is.Equal((&routes.Manifest{}).OwnerRegions("one"), nil)
	is.Equal(m.RestrictedRegions("free"), nil)
	is.Equal(m.RestrictedRegions("both"), []string{"lagos", "kano", "jos"}) // all that any route needs
}
