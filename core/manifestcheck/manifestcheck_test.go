package manifestcheck_test

import (
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/manifestcheck"
	"briarwell.dev/core/routes"
)

// to returns a traffic split with the services and weights.
func to(service string, weight int, more ...routes.WeightedService) []routes.WeightedService {
	return append([]routes.WeightedService{{Service: service, Weight: weight}}, more...)
}

// validRoute returns a route without findings.
func validRoute(name string) routes.Route {
	return routes.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: true, Timeout: 1000, TargetLatency: 400,
		MaxAttempts: 2, TrafficSplit: to("s", 1),
	}
}

// newManifest returns a manifest with the routes and the services s and keyed, which is used.
func newManifest(list ...routes.Route) *routes.Manifest {
	used := validRoute("zz-keyed")
	used.TrafficSplit = to("keyed", 1, routes.WeightedService{Service: "s", Weight: 1})
	services := []routes.Service{{Name: "s"}, {Name: "keyed", Keyed: true}}
	return routes.NewManifest(4, append(list, used), services, routes.Limits{MaxHeaderBytes: 100, MaxBodyBytes: 100, HeaderTimeout: 50, IdleTimeout: 60})
}

func lines(findings []manifestcheck.Finding) []string {
	texts := make([]string, 0, len(findings))
	for _, f := range findings {
		texts = append(texts, f.Severity().String()+" "+f.Place()+" "+f.Text())
	}
	return texts
}

// TestCheckRoute guards against a fault of a route that is not found, is found at another place or
// with another severity, and against findings about a valid route.
func TestCheckRoute(t *testing.T) {
	options := manifestcheck.Options{
		Regions: []string{"lagos", "kano"}, MaxAttempts: 6, Before: routes.NewManifest(3, nil, nil, routes.Limits{}),
		Supported: routes.Limits{MaxHeaderBytes: 100, MaxBodyBytes: 100, HeaderTimeout: 50, IdleTimeout: 60},
	}
	for want, change := range map[string]func(r *routes.Route){
		"":                                                                        func(*routes.Route) {},
		"error routes.r.host is empty":                                            func(r *routes.Route) { r.Host = "" },
		"error routes.r.host contains a port":                                     func(r *routes.Route) { r.Host = "h:80" },
		"error routes.r.host contains a slash":                                    func(r *routes.Route) { r.Host = "http//h" },
		"error routes.r.prefix is empty":                                          func(r *routes.Route) { r.Prefix = "" },
		"error routes.r.prefix does not begin":                                    func(r *routes.Route) { r.Prefix = "r/" },
		"error routes.r.prefix contains a question mark":                          func(r *routes.Route) { r.Prefix = "/r?x/" },
		"warning routes.r.prefix does not end":                                    func(r *routes.Route) { r.Prefix = "/r" },
		"error routes.r never matches: route a has":                               func(r *routes.Route) { r.Host, r.Prefix = "H", "/a/" },
		"error routes.r.service leads to service none":                            func(r *routes.Route) { r.TrafficSplit = to("none", 1) },
		"warning routes.r.service has only weights of 0; the first service, s,":   func(r *routes.Route) { r.TrafficSplit = to("s", 0) },
		"warning routes.r.traffic_split has weight 0 for service keyed":           func(r *routes.Route) { r.TrafficSplit = to("s", 1, routes.WeightedService{Service: "keyed"}) },
		"error routes.r.traffic_split has weights whose sum":                      func(r *routes.Route) { r.TrafficSplit = to("s", math.MaxInt, to("s", 1)...) },
		"warning routes.r.timeout is 0":                                           func(r *routes.Route) { r.Timeout = 0 },
		"warning routes.r.target_latency of 1001 ms is above the timeout of 1000": func(r *routes.Route) { r.TargetLatency = 1001 },
		"warning routes.r.max_attempts is 0":                                      func(r *routes.Route) { r.MaxAttempts = 0 },
		"warning routes.r.max_attempts of 7 is above 6":                           func(r *routes.Route) { r.MaxAttempts = 7 },
		"note routes.r.max_attempts is 2 for a route that is not idempotent":      func(r *routes.Route) { r.Idempotent = false },
		"error routes.r.allowed_regions names no region that exists (jos)":        func(r *routes.Route) { r.AllowedRegions = []string{"jos", "jos"} },
		"warning routes.r.allowed_regions names Kano, which does not exist":       func(r *routes.Route) { r.AllowedRegions = []string{"kano", "Kano"} },
		"error services.keyed has no region in which all requests of its restricted": func(r *routes.Route) {
			r.TrafficSplit, r.AllowedRegions = to("keyed", 1, to("keyed", 1)...), []string{"lagos"}
		},
	} {
		t.Run(want, func(t *testing.T) {
			other, r := validRoute("a"), validRoute("r")
			if strings.Contains(want, "services.keyed") {
				other.TrafficSplit, other.AllowedRegions = to("keyed", 1), []string{"kano"}
			}
			change(&r)
			found := lines(manifestcheck.Check(newManifest(other, r), options))
			if want == "" && len(found) > 0 || want != "" && (len(found) != 1 || !strings.HasPrefix(found[0], want)) {
				t.Errorf("found %q", found)
			}
		})
	}
}

// TestCheckRest guards against faults of services, limits and versions that are not found, an
// unstable order, and findings that only repeat that a part can't be decoded.
func TestCheckRest(t *testing.T) {
	is := is.New(t)
	m := routes.NewManifest(3, []routes.Route{validRoute("r")}, []routes.Service{
		{Name: "s", ColdPerSecond: 2}, {Name: "idle", ColdStart: 5}, {Name: "empty", Unusable: true}, {Name: "wrong", ColdStart: 5, ColdInvalid: true, Unusable: true},
	}, routes.Limits{MaxHeaderBytes: 900, MaxBodyBytes: 200, HeaderTimeout: 70, IdleTimeout: 60})
	findings := manifestcheck.Check(m, manifestcheck.Options{
		Before: m, Supported: routes.Limits{MaxBodyBytes: 100},
		Unreadable: []manifestcheck.Finding{manifestcheck.NewFinding(manifestcheck.SeverityError, "services.wrong", "unreadable")},
	})
	var found []string
	for _, f := range findings {
		found = append(found, f.Severity().String()+" "+f.Place())
	}
	is.Equal(found, []string{
		"error services.empty", "error services.wrong", "error version", "warning limits.header_timeout", "warning limits.max_body_bytes",
		"warning services.empty", "warning services.idle", "warning services.idle.cold_per_s", "warning services.s.cold_start",
	})
	found = lines(manifestcheck.Check(routes.NewManifest(3, nil, nil, routes.Limits{}), manifestcheck.Options{Supported: routes.Limits{MaxBodyBytes: 64}}))
	is.Equal(len(found), 4) // each limit is absent
	is.True(slices.Contains(found, "warning limits.max_body_bytes is 0 or absent; the sidecar's own bound of 64 bytes applies"))
}

// TestCompare guards against a changed field that is not named, or whose meaning for callers is
// wrong.
func TestCompare(t *testing.T) {
	for want, change := range map[string]func(r *routes.Route){
		"host: h -> i; requests for h/r/ match no route (404) instead of route r; requests for i/r/ match route r instead of no route (404)": func(r *routes.Route) { r.Host = "i" },
		"prefix: /r/ -> /a/x/; requests for h/r/ match no route (404) instead of route r; requests for h/a/x/ match route r instead of route a": func(r *routes.Route) {
			r.Prefix = "/a/x/"
		},
		"kind: idempotent -> not idempotent; a request whose outcome is unknown is no longer sent": func(r *routes.Route) { r.Idempotent = false },
		"kind: idempotent -> download; the upstream is selected for large responses":               func(r *routes.Route) { r.LargeResponses = true },
		"timeout: 1s -> 900ms; a request that takes longer than 900ms":                             func(r *routes.Route) { r.Timeout = 900 },
		"timeout: 1s -> none; only the time that the caller states":                                func(r *routes.Route) { r.Timeout = 0 },
		"timeout: 1s -> 2s; a caller that states that much time may wait longer":                   func(r *routes.Route) { r.Timeout = 2000 },
		"target_latency: 400ms -> 300ms":                                                           func(r *routes.Route) { r.TargetLatency = 300 },
		"priority: 0 -> 2; the requests become less urgent":                                        func(r *routes.Route) { r.Rank = 2 },
		"max_attempts: 2 -> 0; a request that reached an upstream is not passed":                   func(r *routes.Route) { r.MaxAttempts = 0 },
		"service: s -> keyed; of new requests, all go to keyed; at keyed, requests with a key go to the owner": func(r *routes.Route) {
			r.TrafficSplit = to("keyed", 1)
		},
		"traffic_split: s -> s (weight 1) + keyed (weight 3); of new requests, 75% go to keyed, 25% go to s": func(r *routes.Route) {
			r.TrafficSplit = to("s", 1, to("keyed", 3)...)
		},
		"service: s -> unknown services; requests are refused":                                 func(r *routes.Route) { r.TrafficSplit = nil },
		"allowed_regions: all regions -> kano, lagos; requests run only in the regions listed": func(r *routes.Route) { r.AllowedRegions = []string{"lagos", "kano"} },
		"allowed_regions: all regions -> unknown; requests are refused, not run":               func(r *routes.Route) { r.Unusable = true },
	} {
		t.Run(want, func(t *testing.T) {
			r := validRoute("r")
			change(&r)
			changes := manifestcheck.Compare(newManifest(validRoute("a"), validRoute("r")), newManifest(validRoute("a"), r))
			if len(changes) != 1 || !strings.HasPrefix(text(changes[0]), "changed routes.r."+want) {
				t.Errorf("changes %+v", changes)
			}
		})
	}
}

func text(c manifestcheck.Change) string {
	return strings.TrimSuffix(c.Kind()+" "+c.Place()+": "+c.Before()+" -> "+c.After()+"; "+c.Meaning(), "; ")
}

// TestCompareRestriction guards against a lifted restriction, moved keys, and changes of services
// and limits that an operator does not see.
func TestCompareRestriction(t *testing.T) {
	is := is.New(t)
	restricted, free := validRoute("r"), validRoute("r")
	restricted.TrafficSplit, free.TrafficSplit = to("keyed", 1), to("keyed", 1)
	restricted.AllowedRegions = []string{"lagos"}
	changes := manifestcheck.Compare(newManifest(restricted), newManifest(free))
	is.Equal(len(changes), 1)
	is.Equal(text(changes[0]), "changed routes.r.allowed_regions: lagos -> all regions; requests and their bodies may now be sent to upstreams in every region; "+
		"keys of keyed are to be owned in all regions")
	changes = manifestcheck.Compare(newManifest(free), newManifest(restricted))
	is.True(strings.HasSuffix(changes[0].Meaning(), "; keys of keyed are to be owned in lagos, and requests for keys that have not moved there yet may be refused"))
	before := routes.NewManifest(1, []routes.Route{validRoute("gone")}, []routes.Service{{Name: "s", Keyed: true, ColdPerSecond: 3}, {Name: "old"}}, routes.Limits{MaxBodyBytes: 5})
	after := routes.NewManifest(2, []routes.Route{validRoute("new")}, []routes.Service{{Name: "s", ColdInvalid: true}}, routes.Limits{})
	changes = manifestcheck.Compare(before, after)
	found := make([]string, 0, len(changes))
	for _, c := range changes {
		found = append(found, text(c))
	}
	is.Equal(found, []string{
		"changed limits.max_body_bytes: 5 -> none; the sidecar's own bound applies",
		"removed routes.gone:  -> ; requests for h/gone/ match no route (404) instead of route gone",
		"added routes.new:  -> ; requests for h/new/ match route new instead of no route (404), and go to s",
		"removed services.old:  -> ; no route of the new version leads to it",
		"changed services.s.cold_per_s: 3 -> unknown; cold upstreams get no requests",
		"changed services.s.sharded: true -> false; requests with a key go to any upstream; a key has no single owner any more",
		"changed version: 00000001 -> 00000002",
	})
}
