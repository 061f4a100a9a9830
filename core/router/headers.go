package router

import (
	"strconv"
	"strings"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
)

const (
	// HeaderOwnerPeer carries the peer address of the owner's daemon between
	// daemons; it is not passed on to callers.
	HeaderOwnerPeer = "Briarwell-Owner-Peer"
	// HeaderReplay marks the answer to a repeat: "whole" with the first answer's
	// headers and body, or "status-only" if they were not kept.
	HeaderReplay = "Briarwell-Replay"
	// ReplayWhole is the value of HeaderReplay for a kept answer.
	ReplayWhole = "whole"
	// ReplayStatusOnly is the value of HeaderReplay for an answer that was not
	// kept.
	ReplayStatusOnly = "status-only"
	// reservedPrefix starts the names of all headers of briarwell.
	reservedPrefix = "briarwell-"
	// maxOutcomeHeaders is the number of headers added to an answer.
	maxOutcomeHeaders = 9
)

// IsHopByHop tells whether a header concerns one connection only and must not
// be passed on. Content-Length is one: the length travels apart.
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

// EndToEndHeaders appends to target the headers that are passed on: not those of one
// connection, those that Connection names, and those of briarwell itself,
// which neither a caller nor an upstream may set.
func EndToEndHeaders(target, headers []upstream.Header) []upstream.Header {
	listed := connectionHeaderNames(headers)
	for _, header := range headers {
		if IsHopByHop(header.Name()) || isReserved(header.Name()) || containsFold(listed, header.Name()) {
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
	var listed []string
	for _, header := range headers {
		if !strings.EqualFold(header.Name(), "Connection") {
			continue
		}
		for token := range strings.SplitSeq(header.Value(), ",") {
			listed = append(listed, strings.TrimSpace(token))
		}
	}
	return listed
}

func containsFold(names []string, name string) bool {
	for _, listed := range names {
		if strings.EqualFold(listed, name) {
			return true
		}
	}
	return false
}

// callerHeaders are the headers of a caller that the request path reads.
type callerHeaders struct {
	requestID string
	stamp     string
	timeout   clock.Millis
}

func parseCallerHeaders(headers []upstream.Header) (callerHeaders, error) {
	var fields callerHeaders
	for _, header := range headers {
		if !isReserved(header.Name()) {
			continue
		}
		switch {
		case strings.EqualFold(header.Name(), outcome.HeaderRequestID):
			fields.requestID = header.Value()
		case strings.EqualFold(header.Name(), outcome.HeaderStamp):
			fields.stamp = header.Value()
		case strings.EqualFold(header.Name(), outcome.HeaderTimeout):
			millis, err := strconv.ParseInt(header.Value(), 10, 32)
			if err != nil || millis <= 0 {
				return fields, &MalformedError{field: outcome.HeaderTimeout, found: header.Value()}
			}
			fields.timeout = clock.Millis(millis)
		}
	}
	if len(fields.requestID) > maxRequestIDBytes {
		return fields, &MalformedError{field: outcome.HeaderRequestID, found: fields.requestID}
	}
	return fields, nil
}
