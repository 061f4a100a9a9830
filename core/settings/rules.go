package settings

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// maxPort is the highest TCP port.
const maxPort = 65535

// TextRule restricts the strings that a field accepts. The zero value accepts any
// string.
type TextRule struct {
	allowed string
	accepts func(string) bool
}

// Allowed returns the description of the accepted strings.
func (r TextRule) Allowed() string {
	if r.allowed == "" {
		return "a string"
	}
	return r.allowed
}

// Accepts reports whether the rule accepts text.
func (r TextRule) Accepts(text string) bool {
	return r.accepts == nil || r.accepts(text)
}

// NonEmpty accepts any string but "".
func NonEmpty() TextRule {
	return TextRule{allowed: "a non-empty string", accepts: func(text string) bool { return text != "" }}
}

// OneOf accepts the given strings.
func OneOf(texts ...string) TextRule {
	return TextRule{
		allowed: "one of " + strings.Join(texts, ", "),
		accepts: func(text string) bool { return slices.Contains(texts, text) },
	}
}

// Pattern accepts the strings that match expression; allowed describes them.
func Pattern(expression *regexp.Regexp, allowed string) TextRule {
	return TextRule{allowed: allowed, accepts: expression.MatchString}
}

// HostPort accepts "host:port" with a host and a port from 1 to 65535.
func HostPort() TextRule {
	return TextRule{allowed: "host:port with a port from 1 to 65535", accepts: isHostPort}
}

// IPPort accepts "ip:port" with a port from 1 to 65535.
func IPPort() TextRule {
	return TextRule{allowed: "ip:port with a port from 1 to 65535", accepts: func(text string) bool {
		address, err := netip.ParseAddrPort(text)
		return err == nil && address.Port() > 0
	}}
}

// URL accepts absolute http and https URLs without user, query and fragment.
func URL() TextRule {
	return TextRule{allowed: "an http or https URL without user, query and fragment", accepts: isURL}
}

func isHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsAny(host, " /") {
		return false
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	return err == nil && portNumber >= 1 && portNumber <= maxPort
}

func isURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Hostname() == "" || parsed.User != nil {
		return false
	}
	if parsed.RawQuery != "" || parsed.Fragment != "" {
		return false
	}
	return parsed.Scheme == "http" || parsed.Scheme == "https"
}

// IntRange restricts the integers that a field accepts, which are in a unit.
type IntRange struct {
	minimum int64
	maximum int64
	unit    string
}

// NewIntRange accepts the integers from minimum to maximum. unit is their unit, such
// as "ms", or "".
func NewIntRange(minimum, maximum int64, unit string) IntRange {
	return IntRange{minimum: minimum, maximum: maximum, unit: unit}
}

// Allowed returns the description of the accepted integers.
func (r IntRange) Allowed() string {
	description := fmt.Sprintf("an integer from %d to %d", r.minimum, r.maximum)
	switch {
	case r.minimum == math.MinInt64 && r.maximum == math.MaxInt64:
		return "an integer"
	case r.minimum == math.MinInt64:
		description = fmt.Sprintf("an integer up to %d", r.maximum)
	case r.maximum == math.MaxInt64:
		description = fmt.Sprintf("an integer of at least %d", r.minimum)
	}
	return strings.TrimSuffix(description+" "+r.unit, " ")
}

// Accepts reports whether the range contains value.
func (r IntRange) Accepts(value int64) bool {
	return value >= r.minimum && value <= r.maximum
}
