// Package template parses the templates of organisations and their parameters, and
// renders the service rules that daemons apply.
package template

import (
	"slices"
	"strconv"
	"strings"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/upstream"
)

// Priority is the admission priority of a request; a higher value is served first.
type Priority int

// Priorities in ascending order.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
	// PriorityCritical is meant for sign-offs.
	PriorityCritical
)

// String returns "low", "normal", "high" or "critical".
func (p Priority) String() string {
	names := priorityNames()
	if p < 0 || int(p) >= len(names) {
		return strconv.Itoa(int(p))
	}
	return names[p]
}

// ParsePriority returns the priority for which String returns name, or false.
func ParsePriority(name string) (Priority, bool) {
	i := slices.Index(priorityNames(), name)
	return Priority(max(i, 0)), i >= 0
}

func priorityNames() []string {
	return []string{"low", "normal", "high", "critical"}
}

// RouteRules holds the rules of the requests with a method and path suffix.
type RouteRules struct {
	method     string
	pathSuffix string
	idempotent bool
	priority   Priority
	timeout    clock.Millis
}

// NewRouteRules returns the rules of requests whose method is method ("" for any)
// and whose path ends with pathSuffix ("" for any).
func NewRouteRules(method, pathSuffix string, idempotent bool, priority Priority, timeout clock.Millis) RouteRules {
	return RouteRules{method: method, pathSuffix: pathSuffix, idempotent: idempotent, priority: priority, timeout: timeout}
}

// Method returns the HTTP method, "" for any.
func (r RouteRules) Method() string { return r.method }

// PathSuffix returns the suffix of the path, "" for any.
func (r RouteRules) PathSuffix() string { return r.pathSuffix }

// Idempotent reports whether a request may be executed more than once.
func (r RouteRules) Idempotent() bool { return r.idempotent }

// Priority returns the admission priority.
func (r RouteRules) Priority() Priority { return r.priority }

// Timeout returns the maximum duration of a request in milliseconds.
func (r RouteRules) Timeout() clock.Millis { return r.timeout }

func (r RouteRules) matches(method, path string) bool {
	if r.method != "" && r.method != method {
		return false
	}
	return strings.HasSuffix(path, r.pathSuffix)
}

// ServiceRules holds the rules of one service of one organisation.
type ServiceRules struct {
	name       string
	keyed      bool
	shards     uint32
	fencing    upstream.Fencing
	settleTime clock.Millis
	queueLimit int
	routes     []RouteRules
}

// ServiceOption sets an optional field of ServiceRules.
type ServiceOption func(*ServiceRules)

// WithShards makes the service keyed: its keys are divided into shards.
func WithShards(shards uint32) ServiceOption {
	return func(s *ServiceRules) { s.keyed, s.shards = true, shards }
}

// WithFencing sets what the upstreams check before they execute a request, and how
// many milliseconds a request may stay in the buffers of an upstream that checks
// nothing.
func WithFencing(fencing upstream.Fencing, settleTime clock.Millis) ServiceOption {
	return func(s *ServiceRules) { s.fencing, s.settleTime = fencing, settleTime }
}

// WithQueueLimit limits the number of requests that wait for a slot of one upstream.
func WithQueueLimit(limit int) ServiceOption {
	return func(s *ServiceRules) { s.queueLimit = limit }
}

// NewServiceRules returns the rules of a service. The first matching route applies.
func NewServiceRules(name string, routes []RouteRules, options ...ServiceOption) ServiceRules {
	rules := ServiceRules{name: name, routes: routes, fencing: upstream.FencingNone}
	for _, option := range options {
		option(&rules)
	}
	return rules
}

// Name returns the service's name.
func (s ServiceRules) Name() string { return s.name }

// IsKeyed reports whether the keys of the service are divided into shards.
func (s ServiceRules) IsKeyed() bool { return s.keyed }

// Shards returns the number of shards, 0 for a service without keys.
func (s ServiceRules) Shards() uint32 { return s.shards }

// Fencing returns what the service's upstreams check before they execute a request.
func (s ServiceRules) Fencing() upstream.Fencing { return s.fencing }

// SettleTime returns how many milliseconds a new owner waits beyond the end of the
// previous owner's lease if the upstreams check nothing.
func (s ServiceRules) SettleTime() clock.Millis { return s.settleTime }

// QueueLimit returns the maximum number of requests that wait for a slot of one
// upstream.
func (s ServiceRules) QueueLimit() int { return s.queueLimit }

// Routes returns the routes in matching order; callers must not modify them.
func (s ServiceRules) Routes() []RouteRules { return s.routes }

// MatchRoute returns the first route that matches the request, or false.
func (s ServiceRules) MatchRoute(method, path string) (RouteRules, bool) {
	for _, route := range s.routes {
		if route.matches(method, path) {
			return route, true
		}
	}
	return RouteRules{}, false
}

// Catalog holds the rendered rules of all organisations at one version.
type Catalog struct {
	version  uint64
	services map[string]ServiceRules
}

// NewCatalog returns a catalog of services by "organisation/service".
func NewCatalog(version uint64, services map[string]ServiceRules) Catalog {
	return Catalog{version: version, services: services}
}

// Version returns the configuration version.
func (c Catalog) Version() uint64 { return c.version }

// Service returns the rules of "organisation/service", or false.
func (c Catalog) Service(name string) (ServiceRules, bool) {
	rules, ok := c.services[name]
	return rules, ok
}

// Services returns all rules by "organisation/service"; callers must not modify
// the map.
func (c Catalog) Services() map[string]ServiceRules { return c.services }
