// Package routes holds the manifest: which requests belong to which service, and
// under which rules they are sent on.
package routes

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"

	"briarwell.dev/core/clock"
)

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says what is done with the requests below a prefix of a host.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix       string
	TrafficSplit []WeightedService
	// Idempotent tells that a request may be run more than once.
	Idempotent bool
	// LargeResponses tells that answers are large.
	LargeResponses bool
	// Timeout is the longest time a caller is kept waiting, Objective that in
	// which an answer is wanted, both in milliseconds.
	Timeout       clock.Millis
	TargetLatency clock.Millis
	// Rank orders routes in admission; 0 goes first.
	Rank int
	// MaxAttempts is the number of upstreams to which a request may be sent.
	MaxAttempts int
}

// Service is what the manifest says of a service.
type Service struct {
	Name string
	// Keyed tells that each key has one owner.
	Keyed bool
	// MaxConnections is how many connections an upstream accepts.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Manifest is a version of all routes and services. It is immutable. The zero
// value has version 0 and no routes.
type Manifest struct {
	version      uint64
	routesByHost map[string][]Route
	services     map[string]Service
	limits       Limits
}

// NewManifest returns a manifest. The slices are not copied.
func NewManifest(version uint64, all []Route, services []Service, limits Limits) *Manifest {
	m := &Manifest{version: version, routesByHost: make(map[string][]Route), services: make(map[string]Service), limits: limits}
	for _, r := range all {
		host := strings.ToLower(r.Host)
		m.routesByHost[host] = append(m.routesByHost[host], r)
	}
	for _, list := range m.routesByHost {
		slices.SortFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		m.services[s.Name] = s
	}
	return m
}

// Version returns the manifest's version, 0 if none is known.
func (m *Manifest) Version() uint64 { return m.version }

// Limits returns the limits of callers.
func (m *Manifest) Limits() Limits { return m.limits }

// Service returns a service.
func (m *Manifest) Service(name string) (Service, bool) {
	s, ok := m.services[name]
	return s, ok
}

// Match returns the route with the longest prefix of the path among those of the
// host, which may have a port.
func (m *Manifest) Match(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range m.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// PickService returns the service of one request: each part gets its share by weight.
func (r Route) PickService() string {
	total := 0
	for _, p := range r.TrafficSplit {
		total += max(p.Weight, 0)
	}
	if total == 0 {
		if len(r.TrafficSplit) == 0 {
			return ""
		}
		return r.TrafficSplit[0].Service
	}
	n := rand.IntN(total) //nolint:gosec // A share needs no secrecy.
	for _, p := range r.TrafficSplit {
		if n -= max(p.Weight, 0); n < 0 {
			return p.Service
		}
	}
	return r.TrafficSplit[0].Service
}
