package router

import (
	"strconv"
	"strings"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/upstream"
)

// AppendResponseHeaders appends the headers that carry the fields of a response other than
// its status, headers and body. It does not append HeaderOwnerPeer.
func AppendResponseHeaders(headers []upstream.Header, response *Response) []upstream.Header {
	headers = append(headers, upstream.NewHeader(outcome.HeaderOutcome, response.Outcome.String()))
	headers = appendNonEmpty(headers, outcome.HeaderReason, string(outcome.ReasonOf(response.Outcome)))
	headers = appendNonEmpty(headers, outcome.HeaderServedBy, response.ServedBy)
	headers = appendNonEmpty(headers, outcome.HeaderOwner, response.OwnerHTTP)
	headers = appendNonEmpty(headers, outcome.HeaderStamp, response.Stamp)
	headers = appendNonEmpty(headers, HeaderReplay, response.Replay)
	if response.Keyed {
		headers = appendNumber(headers, outcome.HeaderShard, uint64(response.Shard))
		headers = appendNumber(headers, outcome.HeaderEpoch, uint64(response.Epoch))
	}
	if response.Attempts > 0 {
		headers = appendNumber(headers, outcome.HeaderAttempts, uint64(response.Attempts))
	}
	return headers
}

// ParseResponseHeader sets the field of response that a header of AppendResponseHeaders, or
// HeaderOwnerPeer, carries. It returns false for a header that isn't one of briarwell.
func ParseResponseHeader(response *Response, name, value string) bool {
	if !isReserved(name) {
		return false
	}
	switch {
	case strings.EqualFold(name, outcome.HeaderServedBy):
		response.ServedBy = value
	case strings.EqualFold(name, outcome.HeaderOwner):
		response.OwnerHTTP = value
	case strings.EqualFold(name, HeaderOwnerPeer):
		response.OwnerPeer = value
	case strings.EqualFold(name, outcome.HeaderStamp):
		response.Stamp = value
	case strings.EqualFold(name, HeaderReplay):
		response.Replay = value
	case strings.EqualFold(name, outcome.HeaderShard):
		number, err := strconv.ParseUint(value, 10, 32)
		response.Shard, response.Keyed = shard.ID(number), err == nil
	case strings.EqualFold(name, outcome.HeaderEpoch):
		number, _ := strconv.ParseUint(value, 10, 64)
		response.Epoch = identity.Epoch(number)
	case strings.EqualFold(name, outcome.HeaderAttempts):
		response.Attempts, _ = strconv.Atoi(value)
	}
	return true
}

// appendNonEmpty appends a header unless its value is "".
func appendNonEmpty(headers []upstream.Header, name, value string) []upstream.Header {
	if value == "" {
		return headers
	}
	return append(headers, upstream.NewHeader(name, value))
}

func appendNumber(headers []upstream.Header, name string, value uint64) []upstream.Header {
	return append(headers, upstream.NewHeader(name, strconv.FormatUint(value, 10)))
}
