package manifestcheck

import (
	"math"
	"net"
	"slices"
	"strings"

	"briarwell.dev/core/routes"
)

// checkMatch finds routes that can never match, or that match other paths than their prefix
// says.
func (c *checker) checkMatch(r routes.Route) {
	place := routePlace(r, "host")
	if _, _, err := net.SplitHostPort(r.Host); err == nil {
		c.add(SeverityError, place, "contains a port; ports are removed from the hosts of requests, so that the route never matches")
	}
	switch {
	case r.Host == "":
		c.add(SeverityError, place, "is empty; no request that names a host matches the route")
	case strings.ContainsAny(r.Host, "/ \t\r\n"):
		c.add(SeverityError, place, "contains a slash or a space, which the host of a request can't; the route never matches")
	}
	place = routePlace(r, "prefix")
	switch {
	case r.Prefix == "":
		c.add(SeverityError, place, "is empty; the route never matches")
	case !strings.HasPrefix(r.Prefix, "/"):
		c.add(SeverityError, place, "does not begin with a slash; the route never matches")
	case strings.ContainsAny(r.Prefix, "? \t\r\n"):
		c.add(SeverityError, place, "contains a question mark or a space, which the path of a request can't; the route never matches")
	case !strings.HasSuffix(r.Prefix, "/"):
		c.add(SeverityWarning, place, "does not end with a slash; the route also matches paths that continue the last segment, such as %sx", r.Prefix)
	}
	if r.Host == "" || r.Prefix == "" {
		return
	}
	key := matchKey{host: strings.ToLower(r.Host), prefix: r.Prefix}
	if first, ok := c.matched[key]; ok {
		c.add(SeverityError, "routes."+r.Name, "never matches: route %s has the same host and prefix, and the first by name gets the requests", first)
		return
	}
	c.matched[key] = r.Name
}

// checkServices finds services that the manifest lacks, and weights that are 0.
func (c *checker) checkServices(r routes.Route) {
	place := routePlace(r, servicesField(r))
	total := 0
	var unweighted []string
	for _, w := range r.TrafficSplit {
		if _, ok := c.manifest.Service(w.Service); !ok {
			c.add(SeverityError, place, "leads to service %s, which the manifest does not have; requests are refused unless upstreams of that name exist, and are then sent to any of them, also with a key", w.Service)
		}
		if w.Weight > math.MaxInt-total {
			c.add(SeverityError, place, "has weights whose sum is too large to select a service by; requests fail")
			return
		}
		total += w.Weight
		if w.Weight == 0 {
			unweighted = append(unweighted, w.Service)
		}
	}
	if len(r.TrafficSplit) == 0 {
		return
	}
	if total == 0 {
		c.add(SeverityWarning, place, "has only weights of 0; the first service, %s, gets all requests", r.TrafficSplit[0].Service)
		return
	}
	for _, name := range unweighted {
		c.add(SeverityWarning, place, "has weight 0 for service %s, which gets no requests from this entry", name)
	}
}

// checkTimes finds a target latency that the timeout makes unreachable, and a missing timeout.
func (c *checker) checkTimes(r routes.Route) {
	if r.Timeout == 0 {
		c.add(SeverityWarning, routePlace(r, "timeout"), "is 0 or absent; only the time that the caller states bounds a request")
		return
	}
	if r.TargetLatency > r.Timeout {
		c.add(SeverityWarning, routePlace(r, "target_latency"), "of %d ms is above the timeout of %d ms; requests end before the target, and those that end so do not count as failures of their upstream", r.TargetLatency, r.Timeout)
	}
}

func (c *checker) checkAttempts(r routes.Route) {
	place := routePlace(r, "max_attempts")
	switch {
	case r.MaxAttempts == 0:
		c.add(SeverityWarning, place, "is 0 or absent; a request is passed to one upstream, as with 1")
	case r.MaxAttempts > 1 && !r.Idempotent:
		c.add(SeverityNote, place, "is %d for a route that is not idempotent; a request is passed to another upstream only if the one before refused it and has not run it, never after an unknown outcome", r.MaxAttempts)
	}
	if bound := c.options.MaxAttempts; bound > 0 && r.MaxAttempts > bound {
		c.add(SeverityWarning, place, "of %d is above %d, the most times that a request is sent", r.MaxAttempts, bound)
	}
}

// checkRegions finds restrictions to regions that do not exist.
func (c *checker) checkRegions(r routes.Route) {
	if c.options.Regions == nil || len(r.AllowedRegions) == 0 {
		return
	}
	var unknown []string
	for _, region := range r.AllowedRegions {
		if !slices.Contains(c.options.Regions, region) && !slices.Contains(unknown, region) {
			unknown = append(unknown, region)
		}
	}
	place := routePlace(r, "allowed_regions")
	known := slices.ContainsFunc(r.AllowedRegions, func(region string) bool { return slices.Contains(c.options.Regions, region) })
	switch {
	case !known:
		c.add(SeverityError, place, "names no region that exists (%s); all requests are refused, not run, reason region-not-allowed", joinNames(unknown))
	case len(unknown) > 0:
		c.add(SeverityWarning, place, "names %s, which does not exist; requests run only in the other regions listed", joinNames(unknown))
	}
}

// checkUnused finds services that no route leads to. Nothing is known if the services of a route
// are not.
func (c *checker) checkUnused() {
	used := make(map[string]bool)
	for _, r := range c.routes {
		if len(r.TrafficSplit) == 0 {
			return
		}
		for _, w := range r.TrafficSplit {
			used[w.Service] = true
		}
	}
	for _, s := range c.manifest.Services() {
		if !used[s.Name] {
			c.add(SeverityWarning, "services."+s.Name, "is not used: no route leads to it")
		}
	}
}
