package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// manifestWithin is the time after the acknowledgement of a manifest from which requests are
	// handled as it says, as in the settings.
	manifestWithin = 2500 * time.Millisecond
	// maxRoutes bounds the routes of a manifest. The oldest are removed when it grows further.
	maxRoutes = 6000
	// growthSteps is the number of manifests of GrowInSteps.
	growthSteps = 4
	// probedGroups is the number of the newest groups whose routes are requested.
	probedGroups = 3
	// groupSeparator ends the name of the group in the name of a route.
	groupSeparator = "_"
	// unknownRoute is the name of a route that no manifest has.
	unknownRoute = "nowhere"
	// nominalRate is the rate in bytes per second of the links of every other seed.
	nominalRate = 1_250_000
)

// slowRates returns the rates in bytes per second of slow links.
func slowRates() []int { return []int{600_000, 300_000, 100_000} }

// manifestFormat takes the version and further routes.
const (
	manifestFormat = `{"version":"%08x","routes":{
	"browse":{"host":"h","prefix":"/browse/","kind":"idempotent","timeout":"2s","target_latency":"1s","priority":2,"service":"wardrobe","max_attempts":2},
	"book":{"host":"h","prefix":"/book/","kind":"non_idempotent","timeout":"2s","target_latency":"1s","priority":1,"service":"ledger","max_attempts":2},
	"local":{"host":"h","prefix":"/local/","kind":"non_idempotent","timeout":"2s","target_latency":"1s","priority":1,"service":"ledger","max_attempts":2,"allowed_regions":["r0"]}%s},
	"services":{"wardrobe":{"max_connections":110,"sharded":true,"health_path":"/health","cold_start":"3s","cold_per_s":15},
	"ledger":{"max_connections":110,"health_path":"/health","cold_start":"3s","cold_per_s":15}},"limits":{"max_body_bytes":1000000}}`
	keyedRoute = `,"near":{"host":"h","prefix":"/near/","kind":"idempotent","timeout":"2s","target_latency":"1s","priority":2,"service":"wardrobe","max_attempts":2,"allowed_regions":["r0","r1"]}`
	// groupRoute takes the name twice, and the service.
	groupRoute = `,%q:{"host":"h","prefix":"/%s/","kind":"idempotent","timeout":"2s","target_latency":"1s","priority":2,"service":%q,"max_attempts":2}`
)

// group is a group of routes that are added and removed together.
type group struct {
	name   string
	routes int
	text   string
}

// span is a time in which the manifest has a group. The zero value of removedFrom is that of a group
// that is there.
type span struct {
	addedBy, removedFrom, removedBy time.Time
}

// operator has the manifests that the operator has written. It is safe for concurrent use.
type operator struct {
	mu      sync.Mutex
	version int
	// restricted is whether the manifest has keyedRestrictedRoute.
	restricted bool
	// groups has the groups of the newest manifest, the oldest first, and removed the name and size
	// of the last one that was removed.
	groups     []group
	groupCount int
	removed    group
	// spans has the times of each group.
	spans     map[string][]span
	writtenAt time.Time
	maxCount  int
	// refused counts the faults by which the store refuses the calls of an IP address.
	refused map[string]int
}

// change writes the next manifest after a change of the groups.
func (r *Runner) changeManifest(change func(o *operator)) {
	o := &r.operator
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.present()
	change(o)
	o.version++
	var further strings.Builder
	if o.restricted {
		further.WriteString(keyedRoute)
	}
	count := 0
	for _, g := range o.groups {
		further.WriteString(g.text)
		count += g.routes
	}
	o.maxCount = max(o.maxCount, count)
	from := time.Now()
	r.store.Put("op", "config", fmt.Appendf(nil, manifestFormat, o.version, further.String()))
	o.recordChange(before, from, time.Now())
}

// present returns the names of the groups of the newest manifest. The caller holds o.mu.
func (o *operator) present() []string {
	var names []string
	if o.restricted {
		names = append(names, keyedRestrictedRoute)
	}
	for _, g := range o.groups {
		names = append(names, g.name)
	}
	return names
}

// recordChange records a manifest that was written at some time from the first time to the second
// one. before has the groups of the previous one. The caller holds o.mu.
func (o *operator) recordChange(before []string, from, acknowledged time.Time) {
	if o.spans == nil {
		o.spans = make(map[string][]span)
	}
	o.writtenAt = acknowledged
	after := o.present()
	for _, name := range after {
		if !slices.Contains(before, name) {
			o.spans[name] = append(o.spans[name], span{addedBy: acknowledged})
		}
	}
	for _, name := range before {
		if !slices.Contains(after, name) {
			last := &o.spans[name][len(o.spans[name])-1]
			last.removedFrom, last.removedBy = from, acknowledged
		}
	}
}

// isBase reports whether all manifests have a route.
func isBase(route string) bool {
	return slices.Contains([]string{"browse", "book", restrictedRoute}, route)
}

// alwaysRouted reports whether all manifests that may be in force between two times have a route.
func (o *operator) alwaysRouted(route string, from, to time.Time) bool {
	if isBase(route) {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	name, _, _ := strings.Cut(route, groupSeparator)
	return slices.ContainsFunc(o.spans[name], func(s span) bool {
		return from.Sub(s.addedBy) > manifestWithin && (s.removedFrom.IsZero() || s.removedFrom.After(to))
	})
}

// neverRouted reports whether no manifest that may be in force from a time on has had a route.
func (o *operator) neverRouted(route string, from time.Time) bool {
	if isBase(route) {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	name, _, _ := strings.Cut(route, groupSeparator)
	return !slices.ContainsFunc(o.spans[name], func(s span) bool {
		return s.removedBy.IsZero() || from.Sub(s.removedBy) <= manifestWithin
	})
}

// unchangedSince reports whether the newest manifest had to be in force at a time.
func (o *operator) unchangedSince(t time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return t.Sub(o.writtenAt) > manifestWithin
}

// randomRoutes returns a route of one of the newest groups and one of the group that was removed
// last, unknownRoute where there is none.
func (o *operator) randomRoutes() (added, removed string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.groups) == 0 {
		return unknownRoute, o.removed.randomRoute()
	}
	// With manifests one after another, the newest must not be in force yet.
	age := rand.IntN(min(len(o.groups), probedGroups)) //nolint:gosec // Routes need no secure randomness.
	return o.groups[len(o.groups)-1-age].randomRoute(), o.removed.randomRoute()
}

func (g group) randomRoute() string {
	if g.routes == 0 {
		return unknownRoute
	}
	return g.name + groupSeparator + fmt.Sprint(rand.IntN(g.routes)) //nolint:gosec // Routes need no secure randomness.
}

// grow adds a group of routes, and removes the oldest groups beyond maxRoutes. The caller holds
// o.mu.
func (o *operator) grow(routes int) {
	o.groupCount++
	g := group{name: fmt.Sprintf("x%d", o.groupCount), routes: routes}
	service := [...]string{keyedService, unkeyedService}[o.groupCount%2]
	var text strings.Builder
	for i := range routes {
		name := g.name + groupSeparator + fmt.Sprint(i)
		fmt.Fprintf(&text, groupRoute, name, name, service)
	}
	g.text = text.String()
	o.groups = append(o.groups, g)
	for o.routeCount() > maxRoutes && len(o.groups) > 1 {
		o.shrink()
	}
}

// shrink removes the oldest group. The caller holds o.mu.
func (o *operator) shrink() {
	if len(o.groups) > 0 {
		o.removed, o.groups = o.groups[0], slices.Clone(o.groups[1:])
	}
}

// routeCount returns the number of routes in groups. The caller holds o.mu.
func (o *operator) routeCount() int {
	count := 0
	for _, g := range o.groups {
		count += g.routes
	}
	return count
}

// growManifest adds routes to the manifest.
func (r *Runner) growManifest(routes int) {
	r.changeManifest(func(o *operator) { o.grow(routes) })
}

// writeManifest writes the next manifest. With alternate, it has keyedRestrictedRoute if the
// previous one had not.
func (r *Runner) writeManifest(alternate bool) {
	r.changeManifest(func(o *operator) { o.restricted = alternate && !o.restricted })
}

// applySeriesFault applies a fault of the series of manifests and slow links.
func (r *Runner) applySeriesFault(f Fault) error {
	switch f.Kind {
	case Grow:
		r.growManifest(f.Routes)
	case GrowInSteps:
		for range growthSteps {
			r.growManifest(f.Routes / growthSteps)
			time.Sleep(f.Duration / growthSteps)
		}
	case Shrink:
		r.changeManifest((*operator).shrink)
	case GrowWhileRefused:
		return r.growDuring(f, func(in *instance) func() {
			r.operator.countRefusal(in.ip, 1)
			return func() { r.operator.countRefusal(in.ip, -1) }
		}, func(in *instance) []*disturbance { return []*disturbance{&in.cutOff} })
	case GrowBeforeRestart:
		r.growManifest(f.Routes)
		return forAll(r.scope(f), func(in *instance) error { return in.restartSidecar(f.Routes%2 == 0, f.Duration) })
	case GrowInPowerLoss:
		return r.killAll(func() { r.growManifest(f.Routes) })
	case GrowOnSlowLinks:
		rate := slowRates()[f.Routes%len(slowRates())]
		return r.growDuring(f, func(in *instance) func() {
			in.link.SetRate(rate)
			return func() { in.link.SetRate(r.nominalRate()) }
		}, func(in *instance) []*disturbance { return []*disturbance{&in.squeezed, &in.cutOff} })
	default:
		return fmt.Errorf("unknown fault kind %d", f.Kind)
	}
	return nil
}

// nominalRate returns the rate in bytes per second of undisturbed links, 0 for no limit.
func (r *Runner) nominalRate() int {
	if r.options.Seed%2 == 1 {
		return nominalRate
	}
	return 0
}

// scope returns the instances that a fault of the series affects: depending on its mode, one half of
// them, a region or all.
func (r *Runner) scope(f Fault) []*instance {
	const scopes = 3
	affected := slices.Clone(r.instances)
	switch int(f.Mode) % scopes {
	case 0:
		affected = slices.DeleteFunc(affected, func(in *instance) bool { return in.index%2 != f.Instance%2 })
	case 1:
		affected = slices.DeleteFunc(affected, func(in *instance) bool { return in.region != r.instances[f.Instance].region })
	}
	return affected
}

// forAll applies an action to instances concurrently.
func forAll(instances []*instance, action func(in *instance) error) error {
	errs := make(chan error, len(instances))
	for _, in := range instances {
		go func() { errs <- action(in) }()
	}
	var err error
	for range instances {
		err = errors.Join(err, <-errs)
	}
	return err
}

// growDuring adds routes while instances are disturbed. disturb begins that for an instance and
// returns the function that ends it.
func (r *Runner) growDuring(f Fault, disturb func(in *instance) func(), kinds func(in *instance) []*disturbance) error {
	for _, in := range r.scope(f) {
		defer in.recordDisturbance(kinds(in)...)()
		defer disturb(in)()
	}
	time.Sleep(growthDelay)
	r.growManifest(f.Routes)
	time.Sleep(manifestWithin + f.Duration)
	return nil
}

// growthDelay is the time from the begin of a disturbance to the new manifest.
const growthDelay = 300 * time.Millisecond

func (o *operator) countRefusal(ip string, change int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refused == nil {
		o.refused = make(map[string]int)
	}
	o.refused[ip] += change
}

// ServeHTTP serves the calls to the store, with the faults of writes, and refuses those of some instances.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	r.operator.mu.Lock()
	refused := err == nil && r.operator.refused[host] > 0
	r.operator.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.writes.serve(host, r.store, w, request)
}
