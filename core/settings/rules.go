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

// TextRule says which texts a field allows. The zero value allows every text.
type TextRule struct {
	allowed string
	accepts func(string) bool
}

// Allowed describes the allowed texts.
func (r TextRule) Allowed() string {
	if r.allowed == "" {
		return "a text"
	}
	return r.allowed
}

// Accepts tells whether text is allowed.
func (r TextRule) Accepts(text string) bool {
	return r.accepts == nil || r.accepts(text)
}

// NonEmpty allows every text but "".
func NonEmpty() TextRule {
	return TextRule{allowed: "a text that is not empty", accepts: func(text string) bool { return text != "" }}
}

// OneOf allows the given texts.
func OneOf(texts ...string) TextRule {
	return TextRule{
		allowed: "one of " + strings.Join(texts, ", "),
		accepts: func(text string) bool { return slices.Contains(texts, text) },
	}
}

// Pattern allows the texts that match expression, described by allowed.
func Pattern(expression *regexp.Regexp, allowed string) TextRule {
	return TextRule{allowed: allowed, accepts: expression.MatchString}
}

// HostPort allows "host:port" with a host and a port from 1 to 65535.
func HostPort() TextRule {
	return TextRule{allowed: "host:port with a port from 1 to 65535", accepts: isHostPort}
}

// IPPort allows "ip:port" with a port from 1 to 65535.
func IPPort() TextRule {
	return TextRule{allowed: "ip:port with a port from 1 to 65535", accepts: func(text string) bool {
		address, err := netip.ParseAddrPort(text)
		return err == nil && address.Port() > 0
	}}
}

// URL allows absolute http and https URLs without user, query and fragment.
func URL() TextRule {
	return TextRule{allowed: "an http or https URL without user, query and fragment", accepts: isURL}
}

func isHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsAny(host, " /") {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number >= 1 && number <= maxPort
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

// IntRange says which integers a field allows, in which unit.
type IntRange struct {
	minimum int64
	maximum int64
	unit    string
}

// NewIntRange allows the integers from minimum to maximum, in unit, such as "ms".
func NewIntRange(minimum, maximum int64, unit string) IntRange {
	return IntRange{minimum: minimum, maximum: maximum, unit: unit}
}

// Allowed describes the allowed integers.
func (r IntRange) Allowed() string {
	text := fmt.Sprintf("an integer from %d to %d", r.minimum, r.maximum)
	switch {
	case r.minimum == math.MinInt64 && r.maximum == math.MaxInt64:
		return "an integer"
	case r.minimum == math.MinInt64:
		text = fmt.Sprintf("an integer up to %d", r.maximum)
	case r.maximum == math.MaxInt64:
		text = fmt.Sprintf("an integer of at least %d", r.minimum)
	}
	return strings.TrimSuffix(text+" "+r.unit, " ")
}

// Accepts tells whether value is allowed.
func (r IntRange) Accepts(value int64) bool {
	return value >= r.minimum && value <= r.maximum
}
