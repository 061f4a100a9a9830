package template

import (
	"fmt"
	"strings"

	"briarwell.dev/core/upstream"
)

// Warning reports an allowed rule that may have effects which the operator
// doesn't intend.
type Warning struct {
	path    string
	message string
}

// Path returns the path of the service or route.
func (w Warning) Path() string { return w.path }

// Message returns the effect.
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

func (s ServiceRules) routeWarnings(position int, route RouteRules) []string {
	var messages []string
	if !route.idempotent && !s.keyed {
		messages = append(messages, "a non-idempotent request to a service without keys has no owner: a caller's repeat is not recognised and may run twice")
	}
	if !route.idempotent && s.keyed && s.fencing == upstream.FencingNone {
		messages = append(messages, fmt.Sprintf("with fencing none, an upstream that freezes for longer than settleMillis (%d ms) may run a request after its key has a new owner", s.settleTime))
	}
	if route.idempotent && route.method == "POST" {
		messages = append(messages, "POST is declared idempotent: a request whose answer is lost is sent again")
	}
	for _, earlier := range s.routes[:position] {
		if earlier.covers(route) {
			messages = append(messages, "never used: "+routeName(earlier.method, earlier.pathSuffix)+" comes first and matches the same requests")
			break
		}
	}
	return messages
}

// covers tells whether every request that other matches is matched by r.
func (r RouteRules) covers(other RouteRules) bool {
	if r.method != "" && r.method != other.method {
		return false
	}
	return strings.HasSuffix(other.pathSuffix, r.pathSuffix)
}
