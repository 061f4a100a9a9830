// Package manifestcheck decides what is wrong or probably unintended in a manifest before it
// is submitted, and what a new version changes for callers. It works on decoded manifests.
package manifestcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"briarwell.dev/core/routes"
)

// Severity orders findings; the most severe is first.
type Severity int

const (
	// SeverityError means that the manifest is not taken, or that requests are refused, get no
	// route or are run under a policy that could not be read.
	SeverityError Severity = iota
	// SeverityWarning means that the sidecars behave in a defined way that is probably unintended.
	SeverityWarning
	// SeverityNote marks a valid field whose meaning is often misunderstood.
	SeverityNote
)

// String returns the word for the severity in output.
func (s Severity) String() string {
	switch s {
	case SeverityError:
		return "error"
	case SeverityWarning:
		return "warning"
	default:
		return "note"
	}
}

// Finding is one result of a check.
type Finding struct {
	severity Severity
	place    string
	text     string
}

// NewFinding returns a finding. The place is the path of a field, as in "routes.book.timeout".
func NewFinding(severity Severity, place, text string) Finding {
	return Finding{severity: severity, place: place, text: text}
}

// Severity returns the severity.
func (f Finding) Severity() Severity { return f.severity }

// Place returns the path of the field.
func (f Finding) Place() string { return f.place }

// Text returns what was found and what it means.
func (f Finding) Text() string { return f.text }

// Options state what a manifest is checked against. The zero value checks the manifest alone.
type Options struct {
	// Unreadable holds the findings of the decoder. What the check would find at these places
	// follows from the value that the decoder put there, and is left out.
	Unreadable []Finding
	// Regions holds the names of the regions that exist; nil if they are not known.
	Regions []string
	// Supported holds the largest limits that the program applies; 0 for one without a bound.
	Supported routes.Limits
	// MaxAttempts is the largest number of attempts that the program makes; 0 for no bound.
	MaxAttempts int
	// Before is the version in force; nil if it is not known.
	Before *routes.Manifest
}

// Check returns the findings about a manifest, the most severe first, then by place.
func Check(m *routes.Manifest, o Options) []Finding {
	c := checker{manifest: m, options: o, routes: m.Routes(), matched: make(map[matchKey]string)}
	if o.Before != nil && m.Version() <= o.Before.Version() {
		c.add(SeverityError, "version", "%s is not above %s, the version to compare with; a sidecar that has that version ignores this manifest", versionText(m), versionText(o.Before))
	}
	for _, r := range c.routes {
		c.checkMatch(r)
		c.checkServices(r)
		c.checkTimes(r)
		c.checkAttempts(r)
		c.checkRegions(r)
	}
	c.checkUnused()
	for _, s := range m.Services() {
		c.checkService(s)
	}
	c.checkLimits(m.Limits())
	return Sort(slices.Concat(o.Unreadable, slices.DeleteFunc(c.findings, c.isConsequence)))
}

// Sort sorts findings: the most severe first, then by place and text. It removes equal ones.
func Sort(findings []Finding) []Finding {
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.severity, b.severity), strings.Compare(a.place, b.place), strings.Compare(a.text, b.text))
	})
	return slices.Compact(findings)
}

type checker struct {
	manifest *routes.Manifest
	options  Options
	routes   []routes.Route
	// matched holds the name of the route that matches, by host and prefix.
	matched  map[matchKey]string
	findings []Finding
}

// matchKey holds what routes.Manifest.Match compares.
type matchKey struct{ host, prefix string }

func (c *checker) add(severity Severity, place, format string, args ...any) {
	c.findings = append(c.findings, NewFinding(severity, place, fmt.Sprintf(format, args...)))
}

// isConsequence reports whether a finding is about a field that could not be decoded.
func (c *checker) isConsequence(f Finding) bool {
	return slices.ContainsFunc(c.options.Unreadable, func(u Finding) bool {
		return f.place == u.place || strings.HasPrefix(f.place, u.place+".")
	})
}

// isUnreadable reports whether a field of the route or service at a place could not be decoded.
func (c *checker) isUnreadable(place string) bool {
	return slices.ContainsFunc(c.options.Unreadable, func(u Finding) bool { return strings.HasPrefix(u.place, place+".") })
}

func routePlace(r routes.Route, field string) string { return "routes." + r.Name + "." + field }

func servicePlace(s routes.Service, field string) string { return "services." + s.Name + "." + field }

// servicesField returns the field in which a route with several services lists them; a route
// with one may use either.
func servicesField(r routes.Route) string {
	if len(r.TrafficSplit) > 1 {
		return "traffic_split"
	}
	return "service"
}

// joinNames returns the names as a list in the given order.
func joinNames(names []string) string { return strings.Join(names, ", ") }
