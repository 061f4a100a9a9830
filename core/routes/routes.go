// Package routes holds the manifest: the routes that assign requests to services, and
// the policy of each route.
package routes

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"

	"briarwell.dev/core/clock"
)

// WeightedService is a service that gets a share of a route's requests by its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is the policy for the requests of a host below a path prefix.
type Route struct {
	Name string
	Host string
	// Prefix is a path that begins and ends with a slash.
	Prefix       string
	TrafficSplit []WeightedService
	// Idempotent reports whether a request may be run more than once.
	Idempotent bool
	// LargeResponses reports whether responses are large, as downloads are.
	LargeResponses bool
	// Timeout is the longest time that a caller waits, and TargetLatency the time
	// within which a response counts fully, both in milliseconds.
	Timeout       clock.Millis
	TargetLatency clock.Millis
	// Rank orders routes in admission; 0 goes first.
	Rank int
	// MaxAttempts is the largest number of upstreams that a request is sent to.
	MaxAttempts int
	// AllowedRegions lists the regions in which the requests may run; all if it is empty.
	AllowedRegions []string
	// Unusable is true if it is unknown to which services the requests may go, or where
	// they may run.
	Unusable bool
}

// AllowsRegion reports whether requests of the route may run in the region.
func (r Route) AllowsRegion(region string) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)
}

// Service holds the settings of a service.
type Service struct {
	Name string
	// Keyed reports whether each key has a single owner.
	Keyed bool
	// MaxConnections is the number of connections that an upstream accepts.
	MaxConnections int
	// ColdStart is the time in milliseconds for which an upstream is cold after its start.
	ColdStart clock.Millis
	// ColdPerSecond is the rate of requests per second that a cold upstream tolerates, 0 if
	// it is not limited.
	ColdPerSecond float64
	// HealthPath is the path at which an upstream states how long it is cold, "" if there is
	// none.
	HealthPath string
	// ColdInvalid is true if that rate is unknown. A cold upstream then gets no requests.
	ColdInvalid bool
	// Unusable is true if it is unknown how its requests are divided.
	Unusable bool
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout and IdleTimeout are in milliseconds.
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Manifest is a version of all routes and services. It is immutable. The zero
// value has version 0 and no routes.
type Manifest struct {
	version      uint64
	routesByHost map[string][]Route
	services     map[string]Service
	limits       Limits
	// ownerRegions holds the owner regions of the services that restricted routes lead to.
	ownerRegions map[string][]string
	// restrictedRegions holds, by service, the regions that any restricted route allows.
	restrictedRegions map[string][]string
}

// NewManifest returns a manifest. It does not copy the slices.
func NewManifest(version uint64, routes []Route, services []Service, limits Limits) *Manifest {
	m := &Manifest{version: version, routesByHost: make(map[string][]Route), services: make(map[string]Service), limits: limits}
	for _, r := range routes {
		host := canonicalHost(r.Host)
		m.routesByHost[host] = append(m.routesByHost[host], r)
	}
	for _, hostRoutes := range m.routesByHost {
		slices.SortFunc(hostRoutes, func(a, b Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	for _, s := range services {
		m.services[s.Name] = s
	}
	m.ownerRegions, m.restrictedRegions = intersectRegions(routes), joinRegions(routes)
	return m
}

// intersectRegions returns, by service, the regions that all restricted routes to it allow. A
// service without a restricted route is absent.
func intersectRegions(routes []Route) map[string][]string {
	regions := make(map[string][]string)
	for _, r := range routes {
		if len(r.AllowedRegions) == 0 {
			continue
		}
		for _, w := range r.TrafficSplit {
			common, ok := regions[w.Service]
			if !ok {
				common = slices.Compact(slices.Sorted(slices.Values(r.AllowedRegions)))
			}
			regions[w.Service] = slices.DeleteFunc(common, func(region string) bool { return !r.AllowsRegion(region) })
		}
	}
	return regions
}

// joinRegions returns, by service, the regions that any restricted route to it allows.
func joinRegions(routes []Route) map[string][]string {
	regions := make(map[string][]string)
	for _, r := range routes {
		for _, w := range r.TrafficSplit {
			for _, region := range r.AllowedRegions {
				if !slices.Contains(regions[w.Service], region) {
					regions[w.Service] = append(regions[w.Service], region)
				}
			}
		}
	}
	return regions
}

// Version returns the version, 0 if no manifest is known yet.
func (m *Manifest) Version() uint64 { return m.version }

// Limits returns the limits for callers.
func (m *Manifest) Limits() Limits { return m.limits }

// Service returns the settings of a service, or false if the manifest lacks it.
func (m *Manifest) Service(name string) (Service, bool) {
	s, ok := m.services[name]
	return s, ok
}

// Routes returns all routes, sorted by name.
func (m *Manifest) Routes() []Route {
	var all []Route
	for _, hostRoutes := range m.routesByHost {
		all = append(all, hostRoutes...)
	}
	slices.SortFunc(all, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Services returns the settings of all services, sorted by name.
func (m *Manifest) Services() []Service {
	return slices.SortedFunc(maps.Values(m.services), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}

// OwnerRegions returns the names of the regions, sorted, in which the keys of a keyed service
// are to be owned: those that all restricted routes to it allow, also routes that send it no
// requests at the moment. It returns nil if the keys may be owned in any region: if there is no
// restricted route, or no region in which all requests may run.
//
// The caller must not change the slice.
func (m *Manifest) OwnerRegions(service string) []string {
	if regions := m.ownerRegions[service]; len(regions) > 0 {
		return regions
	}
	return nil
}

// RestrictedRegions returns the names of the regions that requests of restricted routes to a
// service need, as they may not run everywhere; nil if there is no such route. The caller must
// not change the slice.
func (m *Manifest) RestrictedRegions(service string) []string { return m.restrictedRegions[service] }

// Match returns the route of the host whose prefix is the longest that matches the
// path, or false if none matches. Of routes with the same host and prefix, the first by name
// matches. A route without a prefix matches nothing: it is unknown which requests it means. The
// host may include a port, and the dot at the end of an absolute domain name.
func (m *Manifest) Match(host, path string) (Route, bool) {
	for _, r := range m.routesByHost[hostName(host)] {
		if r.Prefix != "" && strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// hostName returns the canonical name in a Host field.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return canonicalHost(host)
}

func canonicalHost(name string) string { return strings.ToLower(strings.TrimSuffix(name, ".")) }

// MayMatch reports whether a route that Match ignores may mean requests of the host for the path:
// one whose host or prefix is unknown. A request without a match then can't be denied.
func (m *Manifest) MayMatch(host, path string) bool {
	unknownPrefix := func(r Route) bool { return r.Prefix == "" }
	unknownHost := func(r Route) bool { return r.Prefix == "" || strings.HasPrefix(path, r.Prefix) }
	return slices.ContainsFunc(m.routesByHost[hostName(host)], unknownPrefix) || slices.ContainsFunc(m.routesByHost[""], unknownHost)
}

// PickService returns the service for one request, at random by weight; "" if the route
// has none. If all weights are zero, the first service gets all requests.
func (r Route) PickService() string {
	total := 0
	for _, w := range r.TrafficSplit {
		total += max(w.Weight, 0)
	}
	if total == 0 {
		if len(r.TrafficSplit) == 0 {
			return ""
		}
		return r.TrafficSplit[0].Service
	}
	n := rand.IntN(total) //nolint:gosec // Traffic splitting needs no cryptographic randomness.
	for _, w := range r.TrafficSplit {
		if n -= max(w.Weight, 0); n < 0 {
			return w.Service
		}
	}
	return r.TrafficSplit[0].Service
}
