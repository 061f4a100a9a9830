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
