package router

import (
	"errors"
	"strconv"
	"strings"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
)

const (
	// HeaderOwnerPeer carries the peer address of the owner's daemon between daemons. It
	// is not sent to callers.
	HeaderOwnerPeer = "Briarwell-Owner-Peer"
	// HeaderReplay marks the response to a repeat of a request: "whole" with the headers
	// and body of the first response, or "status-only" if they were not recorded.
	HeaderReplay = "Briarwell-Replay"
	// ReplayWhole is the value of HeaderReplay for a response that was recorded.
	ReplayWhole = "whole"
	// ReplayStatusOnly is the value of HeaderReplay for a response of which only the
	// status was recorded.
	ReplayStatusOnly = "status-only"
	// reservedPrefix is the prefix of the names of all headers that briarwell defines.
	reservedPrefix = "briarwell-"
	// maxOutcomeHeaders is the maximum number of headers added to a response.
	maxOutcomeHeaders = 9
)

// IsHopByHop reports whether a header applies to one connection only and must not be
// forwarded. Content-Length is included, because the length is sent separately.
func IsHopByHop(name string) bool {
	switch len(name) {
	case 2:
		return strings.EqualFold(name, "Te")
	case 7:
		return strings.EqualFold(name, "Trailer") || strings.EqualFold(name, "Upgrade")
	case 10:
		return strings.EqualFold(name, "Connection") || strings.EqualFold(name, "Keep-Alive")
	case 14:
		return strings.EqualFold(name, "Content-Length")
	case 16:
		return strings.EqualFold(name, "Proxy-Connection")
	case 17:
		return strings.EqualFold(name, "Transfer-Encoding")
	case 18:
		return strings.EqualFold(name, "Proxy-Authenticate")
	case 19:
		return strings.EqualFold(name, "Proxy-Authorization")
	default:
		return false
	}
}

// EndToEndHeaders appends to target the headers that are forwarded. It omits hop-by-hop
// headers, headers that Connection names, and headers of briarwell, which neither a caller
// nor an upstream may set.
func EndToEndHeaders(target, headers []upstream.Header) []upstream.Header {
	names := connectionHeaderNames(headers)
	for _, header := range headers {
		if IsHopByHop(header.Name()) || isReserved(header.Name()) || containsFold(names, header.Name()) {
			continue
		}
		target = append(target, header)
	}
	return target
}

func isReserved(name string) bool {
	return len(name) > len(reservedPrefix) && strings.EqualFold(name[:len(reservedPrefix)], reservedPrefix)
}

func connectionHeaderNames(headers []upstream.Header) []string {
	var names []string
	for _, header := range headers {
		if !strings.EqualFold(header.Name(), "Connection") {
			continue
		}
		for token := range strings.SplitSeq(header.Value(), ",") {
			names = append(names, strings.TrimSpace(token))
		}
	}
	return names
}

// containsFold reports whether names contains name, ignoring case.
func containsFold(names []string, name string) bool {
	for _, candidate := range names {
		if strings.EqualFold(candidate, name) {
			return true
		}
	}
	return false
}

// callerHeaders holds the parsed headers of briarwell in a caller's request.
type callerHeaders struct {
	requestID string
	stamp     string
	// timeout is valid if timed. It is 0 or less if no time is left.
	timeout clock.Millis
	timed   bool
}

func parseCallerHeaders(headers []upstream.Header) (callerHeaders, error) {
	var parsed callerHeaders
	for _, header := range headers {
		if !isReserved(header.Name()) {
			continue
		}
		switch {
		case strings.EqualFold(header.Name(), outcome.HeaderRequestID):
			parsed.requestID = header.Value()
		case strings.EqualFold(header.Name(), outcome.HeaderStamp):
			parsed.stamp = header.Value()
		case strings.EqualFold(header.Name(), outcome.HeaderTimeout):
			millis, err := strconv.ParseInt(header.Value(), 10, 32)
			if err != nil && !errors.Is(err, strconv.ErrRange) {
				return parsed, &MalformedError{field: outcome.HeaderTimeout, found: header.Value()}
			}
			parsed.timeout, parsed.timed = clock.Millis(millis), true
		}
	}
	if len(parsed.requestID) > maxRequestIDBytes {
		return parsed, &MalformedError{field: outcome.HeaderRequestID, found: parsed.requestID}
	}
	return parsed, nil
}
