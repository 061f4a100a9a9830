package manifestcheck

import (
	"slices"
	"strings"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/routes"
)

// checkService finds settings of a service that do not work together.
func (c *checker) checkService(s routes.Service) {
	if s.Unusable && !c.isUnreadable("services."+s.Name) {
		c.add(SeverityError, "services."+s.Name, "has no settings; it is unknown whether requests have keys, and requests of all routes to it are refused, not run")
	}
	switch {
	case s.ColdInvalid:
	case s.ColdPerSecond > 0 && s.ColdStart == 0:
		c.add(SeverityWarning, servicePlace(s, "cold_start"), "is 0 or absent although cold_per_s is set; the rate applies only while an upstream states that it is cold, not after its return to use")
	case s.ColdPerSecond == 0 && s.ColdStart > 0:
		c.add(SeverityWarning, servicePlace(s, "cold_per_s"), "is 0 or absent although cold_start is set; cold upstreams get requests without a bound")
	}
	if s.Keyed && len(c.manifest.RestrictedRegions(s.Name)) > 0 && c.manifest.OwnerRegions(s.Name) == nil {
		c.add(SeverityError, "services."+s.Name, "has no region in which all requests of its restricted routes may run (%s); keys are owned anywhere, and requests for a key whose owner is in a region that their route excludes are refused",
			strings.Join(c.restrictions(s.Name), "; "))
	}
}

// restrictions lists the restricted routes to a service with their regions.
func (c *checker) restrictions(service string) []string {
	var restrictions []string
	for _, r := range c.routes {
		if len(r.AllowedRegions) > 0 && leadsTo(r, service) {
			restrictions = append(restrictions, "route "+r.Name+": "+joinNames(r.AllowedRegions))
		}
	}
	return restrictions
}

func leadsTo(r routes.Route, service string) bool {
	return slices.ContainsFunc(r.TrafficSplit, func(w routes.WeightedService) bool { return w.Service == service })
}

// checkLimits finds limits that are not applied as they are written. A header limit above the
// body limit is no contradiction: the two are checked apart.
func (c *checker) checkLimits(l routes.Limits) {
	supported := c.options.Supported
	c.checkLimit("limits.max_header_bytes", "bytes", int64(l.MaxHeaderBytes), int64(supported.MaxHeaderBytes))
	c.checkLimit("limits.max_body_bytes", "bytes", l.MaxBodyBytes, supported.MaxBodyBytes)
	c.checkLimit("limits.header_timeout", "ms", int64(l.HeaderTimeout), int64(supported.HeaderTimeout))
	c.checkLimit("limits.idle_timeout", "ms", int64(l.IdleTimeout), int64(supported.IdleTimeout))
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(SeverityWarning, "limits.header_timeout", "of %d ms is above the idle timeout of %d ms", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (c *checker) checkLimit(place, unit string, value, supported int64) {
	switch {
	case value == 0 && supported > 0:
		c.add(SeverityWarning, place, "is 0 or absent; the sidecar's own bound of %d %s applies", supported, unit)
	case value == 0:
		c.add(SeverityWarning, place, "is 0 or absent; no limit applies")
	case supported > 0 && value > supported:
		c.add(SeverityWarning, place, "of %d %s is above the sidecar's own bound of %d %s, which applies", value, unit, supported, unit)
	}
}

// millisText returns a duration as text.
func millisText(d clock.Millis) string {
	if d == 0 {
		return "none"
	}
	return d.Duration().String()
}
