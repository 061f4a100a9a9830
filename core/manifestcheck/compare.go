package manifestcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/routes"
)

// Kinds of changes.
const (
	KindAdded   = "added"
	KindRemoved = "removed"
	KindChanged = "changed"
)

// Change is a difference between two versions of a manifest.
type Change struct {
	kind    string
	place   string
	before  string
	after   string
	meaning string
}

// Kind returns KindAdded, KindRemoved or KindChanged.
func (c Change) Kind() string { return c.kind }

// Place returns the path of the route, service or field.
func (c Change) Place() string { return c.place }

// Before returns the value before the change, "" for a route or service.
func (c Change) Before() string { return c.before }

// After returns the value after the change, "" for a route or service.
func (c Change) After() string { return c.after }

// Meaning returns a sentence on what the change means for callers, "" if it is plain.
func (c Change) Meaning() string { return c.meaning }

// Compare returns the differences between two versions, sorted by place.
func Compare(before, after *routes.Manifest) []Change {
	c := comparison{before: before, after: after}
	if before.Version() != after.Version() {
		c.change("version", versionText(before), versionText(after), "")
	}
	c.compareLimits(before.Limits(), after.Limits())
	compareNamed(before.Routes(), after.Routes(), func(r routes.Route) string { return r.Name }, c.removeRoute, c.addRoute, c.compareRoutes)
	compareNamed(before.Services(), after.Services(), func(s routes.Service) string { return s.Name }, c.removeService, c.addService, c.compareServices)
	slices.SortStableFunc(c.changes, func(a, b Change) int { return strings.Compare(a.place, b.place) })
	return c.changes
}

// compareNamed calls removed, added or both for each name that occurs in the lists.
func compareNamed[T any](before, after []T, name func(T) string, removed, added func(T), both func(before, after T)) {
	remaining := make(map[string]T, len(after))
	for _, item := range after {
		remaining[name(item)] = item
	}
	for _, item := range before {
		if other, ok := remaining[name(item)]; ok {
			both(item, other)
			delete(remaining, name(item))
		} else {
			removed(item)
		}
	}
	for _, item := range remaining {
		added(item)
	}
}

type comparison struct {
	before, after *routes.Manifest
	changes       []Change
}

// change adds the change of a field if its values differ.
func (c *comparison) change(place, before, after, meaning string) {
	if before != after {
		c.changes = append(c.changes, Change{kind: KindChanged, place: place, before: before, after: after, meaning: meaning})
	}
}

func versionText(m *routes.Manifest) string { return fmt.Sprintf("%08x", m.Version()) }

// handling names the route that matches the requests below a prefix.
func handling(m *routes.Manifest, host, prefix string) string {
	r, ok := m.Match(host, prefix)
	if !ok {
		return "no route (404)"
	}
	return "route " + r.Name
}

// handlingMeaning says which routes match the requests below a prefix before and after.
func (c *comparison) handlingMeaning(host, prefix string) string {
	before, after := handling(c.before, host, prefix), handling(c.after, host, prefix)
	if before == after {
		return fmt.Sprintf("requests for %s%s match %s, as before", host, prefix, after)
	}
	return fmt.Sprintf("requests for %s%s match %s instead of %s", host, prefix, after, before)
}

func (c *comparison) removeRoute(r routes.Route) {
	c.changes = append(c.changes, Change{kind: KindRemoved, place: "routes." + r.Name, meaning: c.handlingMeaning(r.Host, r.Prefix)})
}

func (c *comparison) addRoute(r routes.Route) {
	meaning := c.handlingMeaning(r.Host, r.Prefix)
	if matched, ok := c.after.Match(r.Host, r.Prefix); ok && matched.Name == r.Name {
		meaning += ", and go to " + servicesText(r)
	}
	c.changes = append(c.changes, Change{kind: KindAdded, place: "routes." + r.Name, meaning: meaning})
}

func (c *comparison) removeService(s routes.Service) {
	meaning := "no route of the new version leads to it"
	if slices.ContainsFunc(c.after.Routes(), func(r routes.Route) bool { return leadsTo(r, s.Name) }) {
		meaning = "routes of the new version still lead to it, and its requests are handled as without keys"
	}
	c.changes = append(c.changes, Change{kind: KindRemoved, place: "services." + s.Name, meaning: meaning})
}

func (c *comparison) addService(s routes.Service) {
	meaning := "requests go to any of its upstreams"
	if s.Keyed {
		meaning = "requests with a key go to the owner of the key"
	}
	c.changes = append(c.changes, Change{kind: KindAdded, place: "services." + s.Name, meaning: meaning})
}

func (c *comparison) compareRoutes(before, after routes.Route) {
	moved := c.handlingMeaning(before.Host, before.Prefix) + "; " + c.handlingMeaning(after.Host, after.Prefix)
	c.change(routePlace(after, "host"), strings.ToLower(before.Host), strings.ToLower(after.Host), moved)
	c.change(routePlace(after, "prefix"), before.Prefix, after.Prefix, moved)
	c.change(routePlace(after, "kind"), kindText(before), kindText(after), kindMeaning(before, after))
	c.change(routePlace(after, "timeout"), millisText(before.Timeout), millisText(after.Timeout), timeoutMeaning(before.Timeout, after.Timeout))
	c.change(routePlace(after, "target_latency"), millisText(before.TargetLatency), millisText(after.TargetLatency), "")
	c.change(routePlace(after, "priority"), strconv.Itoa(before.Rank), strconv.Itoa(after.Rank), rankMeaning(before.Rank, after.Rank))
	c.change(routePlace(after, "max_attempts"), strconv.Itoa(before.MaxAttempts), strconv.Itoa(after.MaxAttempts), attemptsMeaning(before, after))
	c.change(routePlace(after, servicesField(after)), servicesText(before), servicesText(after), c.servicesMeaning(before, after))
	c.change(routePlace(after, "allowed_regions"), regionsText(before), regionsText(after), c.regionsMeaning(before, after))
}

func kindText(r routes.Route) string {
	switch {
	case r.LargeResponses:
		return "download"
	case r.Idempotent:
		return "idempotent"
	default:
		return "not idempotent"
	}
}

func kindMeaning(before, after routes.Route) string {
	switch {
	case after.Idempotent && !before.Idempotent:
		return "a request whose outcome is unknown may be sent to another upstream, so that it may run twice"
	case before.Idempotent && !after.Idempotent:
		return "a request whose outcome is unknown is no longer sent to another upstream; its caller gets the unknown outcome"
	case after.LargeResponses:
		return "the upstream is selected for large responses"
	default:
		return "the upstream is no longer selected for large responses"
	}
}

func timeoutMeaning(before, after clock.Millis) string {
	switch {
	case after == 0:
		return "only the time that the caller states bounds a request"
	case before == 0 || after < before:
		return "a request that takes longer than " + millisText(after) + " now ends without a response"
	default:
		return "a caller that states that much time may wait longer"
	}
}

func rankMeaning(before, after int) string {
	if after < before {
		return "the requests become more urgent: at a full upstream they go before others that they waited for"
	}
	return "the requests become less urgent: at a full upstream they wait for others or are refused for them"
}

func attemptsMeaning(before, after routes.Route) string {
	switch {
	case max(before.MaxAttempts, 1) == max(after.MaxAttempts, 1):
		return "0 and 1 mean the same"
	case after.MaxAttempts <= 1:
		return "a request that reached an upstream is not passed to another one"
	case !after.Idempotent:
		return "counts only attempts that the upstream has refused and not run"
	default:
		return ""
	}
}

// servicesText returns the services of a route with their weights.
func servicesText(r routes.Route) string {
	if len(r.TrafficSplit) == 0 {
		return "unknown services"
	}
	if len(r.TrafficSplit) == 1 {
		return r.TrafficSplit[0].Service
	}
	parts := make([]string, 0, len(r.TrafficSplit))
	for _, w := range r.TrafficSplit {
		parts = append(parts, fmt.Sprintf("%s (weight %d)", w.Service, w.Weight))
	}
	return strings.Join(parts, " + ")
}

func (c *comparison) servicesMeaning(before, after routes.Route) string {
	if len(after.TrafficSplit) == 0 {
		return "requests are refused, not run"
	}
	shares := sharesText(after)
	if sharesText(before) == shares {
		return "the services get the same shares of the requests as before"
	}
	meaning := "of new requests, " + shares
	wasKeyed := slices.ContainsFunc(before.TrafficSplit, func(w routes.WeightedService) bool { return isKeyed(c.before, w.Service) })
	for _, w := range after.TrafficSplit {
		switch keyed := isKeyed(c.after, w.Service); {
		case keyed && !wasKeyed:
			meaning += fmt.Sprintf("; at %s, requests with a key go to the owner of the key", w.Service)
		case !keyed && wasKeyed:
			meaning += fmt.Sprintf("; at %s, requests with a key go to any upstream", w.Service)
		}
	}
	return meaning
}

func isKeyed(m *routes.Manifest, service string) bool {
	s, _ := m.Service(service)
	return s.Keyed
}

// sharesText says which share of its requests a route sends to each service.
func sharesText(r routes.Route) string {
	total := 0.0
	shares := make(map[string]float64)
	var names []string
	for i, w := range r.TrafficSplit {
		if !slices.Contains(names, w.Service) {
			names = append(names, w.Service)
		}
		shares[w.Service] += float64(w.Weight)
		total += float64(w.Weight)
		if i == len(r.TrafficSplit)-1 && total == 0 {
			total, shares[r.TrafficSplit[0].Service] = 1, 1
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		switch {
		case shares[name] == total:
			return "all go to " + name
		case shares[name] > 0:
			parts = append(parts, fmt.Sprintf("%.4g%% go to %s", 100*shares[name]/total, name)) //nolint:mnd // Percent.
		}
	}
	return joinNames(parts)
}

// allRegions is the value of a route that is not restricted.
const allRegions = "all regions"

func regionsText(r routes.Route) string {
	switch {
	case len(r.AllowedRegions) == 0 && r.Unusable:
		return "unknown"
	case len(r.AllowedRegions) == 0:
		return allRegions
	}
	return joinNames(slices.Compact(slices.Sorted(slices.Values(r.AllowedRegions))))
}

func (c *comparison) regionsMeaning(before, after routes.Route) string {
	var meaning string
	switch {
	case after.Unusable:
		return "requests are refused, not run"
	case len(after.AllowedRegions) == 0:
		meaning = "requests and their bodies may now be sent to upstreams in every region"
	case len(before.AllowedRegions) == 0:
		meaning = "requests run only in the regions listed, and are refused, not run, if no upstream there can be used"
	default:
		meaning = "requests run only in the regions now listed"
	}
	for _, w := range after.TrafficSplit {
		regions := regionsOf(c.after, w.Service)
		if !isKeyed(c.after, w.Service) || regionsOf(c.before, w.Service) == regions {
			continue
		}
		meaning += fmt.Sprintf("; keys of %s are to be owned in %s", w.Service, regions)
		if regions != allRegions {
			meaning += ", and requests for keys that have not moved there yet may be refused"
		}
	}
	return meaning
}

// regionsOf returns where the keys of a service are to be owned.
func regionsOf(m *routes.Manifest, service string) string {
	if regions := m.OwnerRegions(service); len(regions) > 0 {
		return joinNames(regions)
	}
	return allRegions
}

func (c *comparison) compareServices(before, after routes.Service) {
	c.change(servicePlace(after, "sharded"), keyedText(before), keyedText(after), keyedMeaning(after))
	c.change(servicePlace(after, "max_connections"), strconv.Itoa(before.MaxConnections), strconv.Itoa(after.MaxConnections), "")
	c.change(servicePlace(after, "cold_start"), millisText(before.ColdStart), millisText(after.ColdStart), "how long an upstream counts as cold after its return to use")
	c.change(servicePlace(after, "cold_per_s"), coldText(before), coldText(after), coldMeaning(after))
	c.change(servicePlace(after, "health_path"), pathText(before.HealthPath), pathText(after.HealthPath), "where upstreams are asked whether they have become cold")
}

func keyedText(s routes.Service) string {
	if s.Unusable {
		return "unknown"
	}
	return strconv.FormatBool(s.Keyed)
}

func keyedMeaning(after routes.Service) string {
	switch {
	case after.Unusable:
		return "requests are refused, not run"
	case after.Keyed:
		return "requests with a key go only to the owner of the key, and are refused while it has none"
	default:
		return "requests with a key go to any upstream; a key has no single owner any more"
	}
}

func coldText(s routes.Service) string {
	switch {
	case s.ColdInvalid:
		return "unknown"
	case s.ColdPerSecond == 0:
		return "none"
	default:
		return strconv.FormatFloat(s.ColdPerSecond, 'g', -1, 64)
	}
}

func coldMeaning(after routes.Service) string {
	switch {
	case after.ColdInvalid:
		return "cold upstreams get no requests"
	case after.ColdPerSecond == 0:
		return "cold upstreams get requests without a bound"
	default:
		return "requests per second to a cold upstream; those beyond are sent elsewhere or refused, not run, reason cold"
	}
}

func pathText(path string) string {
	if path == "" {
		return "none"
	}
	return path
}

func (c *comparison) compareLimits(before, after routes.Limits) {
	c.change("limits.max_header_bytes", sizeText(int64(before.MaxHeaderBytes)), sizeText(int64(after.MaxHeaderBytes)), "")
	meaning := "requests with a larger body are answered 413, not run"
	if after.MaxBodyBytes == 0 {
		meaning = "the sidecar's own bound applies"
	}
	c.change("limits.max_body_bytes", sizeText(before.MaxBodyBytes), sizeText(after.MaxBodyBytes), meaning)
	c.change("limits.header_timeout", millisText(before.HeaderTimeout), millisText(after.HeaderTimeout), "")
	c.change("limits.idle_timeout", millisText(before.IdleTimeout), millisText(after.IdleTimeout), "")
}

func sizeText(bytes int64) string {
	if bytes == 0 {
		return "none"
	}
	return strconv.FormatInt(bytes, 10)
}
