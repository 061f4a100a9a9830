package template

import (
	"fmt"
	"strings"

	"briarwell.dev/core/upstream"
)

// Warning reports a valid rule whose effect the operator may not intend.
type Warning struct {
	path    string
	message string
}

// Path returns the path of the route, as in "services[bookings].routes[POST]".
func (w Warning) Path() string { return w.path }

// Message returns the description of the effect.
func (w Warning) Message() string { return w.message }

// String returns "path: message".
func (w Warning) String() string { return w.path + ": " + w.message }

// Warnings returns the warnings about rendered services.
func Warnings(services []ServiceRules) []Warning {
	var warnings []Warning
	for _, service := range services {
		for i, route := range service.routes {
			path := fmt.Sprintf("services[%s].routes[%s]", service.name, routeName(route.method, route.pathSuffix))
			for _, message := range service.routeWarnings(i, route) {
				warnings = append(warnings, Warning{path: path, message: message})
			}
		}
	}
	return warnings
}

// routeWarnings returns the messages about the route at a position in matching order.
func (s ServiceRules) routeWarnings(position int, route RouteRules) []string {
	var messages []string
	if !route.idempotent && !s.keyed {
		messages = append(messages, "a non-idempotent request to a service without keys has no owner: a retry by the caller is not recognised as a duplicate and may run twice")
	}
	if !route.idempotent && s.keyed && s.fencing == upstream.FencingNone {
		messages = append(messages, fmt.Sprintf("with fencing none, an upstream that freezes for longer than settleMillis (%d ms) may run a request after its key has a new owner", s.settleTime))
	}
	if route.idempotent && route.method == "POST" {
		messages = append(messages, "POST is declared idempotent: a request whose response is lost is retried")
	}
	for _, earlier := range s.routes[:position] {
		if earlier.covers(route) {
			messages = append(messages, "never used: the earlier route "+routeName(earlier.method, earlier.pathSuffix)+" matches all its requests")
			break
		}
	}
	return messages
}

// covers reports whether r matches every request that other matches.
func (r RouteRules) covers(other RouteRules) bool {
	if r.method != "" && r.method != other.method {
		return false
	}
	return strings.HasSuffix(other.pathSuffix, r.pathSuffix)
}
