package dispatch

import (
	"context"
	"errors"
	"math"
	"net/http"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
)

const (
	// failureWeight is the weight of the newest request in the share of failures.
	failureWeight = 0.03
	// failureHalfLife is the time in milliseconds in which the share halves without
	// requests, so that an upstream that has lost its keys gets some again.
	failureHalfLife = 5000.0
)

// failureShare is a moving average of the requests that an upstream failed. Load pattern: an
// upstream that fails part of its requests while its health check is good. The zero value has
// no failures.
type failureShare struct {
	share     float64
	updatedAt clock.Millis
}

// record adds the result of a request.
func (f *failureShare) record(now clock.Millis, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	share := f.at(now)
	f.share, f.updatedAt = share+failureWeight*(sample-share), now
}

// at returns the share at now, between 0 and 1.
func (f *failureShare) at(now clock.Millis) float64 {
	return f.share * math.Exp2(-float64(now-f.updatedAt)/failureHalfLife)
}

// failedByUpstream reports whether the upstream failed a request, and whether that is known. A
// request that was cancelled, or whose response its sidecar dropped, shows nothing about the
// upstream. One that the upstream refused can be sent again, and counts as not failed.
func failedByUpstream(ctx context.Context, reply Reply) (failed, known bool) {
	switch o := reply.Outcome.(type) {
	case outcome.Done:
		return reply.Response.Status >= http.StatusInternalServerError, true
	case outcome.NotRun:
		return false, o.Reason() == outcome.ReasonUpstreamRefused
	case outcome.Unknown:
		if o.Reason() == outcome.ReasonResponseDropped {
			return false, false
		}
		return true, !errors.Is(ctx.Err(), context.Canceled)
	default:
		return false, false
	}
}
