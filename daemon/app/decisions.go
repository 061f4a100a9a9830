package app

import (
	"context"

	"github.com/phuslu/log"

	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
)

// decisionLogger logs routing decisions, one line each.
type decisionLogger struct {
	log *log.Logger
}

// logAttempt logs an attempt that the daemon made for a request of a caller.
func (d decisionLogger) logAttempt(attempt router.AttemptReport) {
	entry := d.log.Info().Str("service", attempt.Service.String()).Str("key", attempt.Key).
		Uint32("shard", uint32(attempt.Shard)).Str("method", attempt.Method).Int("attempt", attempt.Attempt)
	if attempt.RequestID != "" {
		entry = entry.Str("requestId", attempt.RequestID)
	}
	switch decision := attempt.Decision.(type) {
	case router.Local:
		entry = entry.Str("decision", "local").Uint64("epoch", uint64(decision.Epoch()))
	case router.Forward:
		entry = entry.Str("decision", "forward").Uint64("epoch", uint64(decision.Epoch())).
			Str("target", decision.Target().Instance)
	case router.Refuse:
		entry = entry.Str("decision", "refuse")
	}
	entry.Str("outcome", attempt.Outcome.String()).Str("reason", string(outcome.ReasonOf(attempt.Outcome))).
		Int("status", attempt.Status).Int64("elapsedMillis", int64(attempt.Elapsed)).Msg("route")
}

// loggingHandler logs the requests that other daemons forward, one line each.
type loggingHandler struct {
	handler *router.OwnerHandler
	log     *log.Logger
}

// Serve serves a forwarded request and logs its outcome.
func (h loggingHandler) Serve(ctx context.Context, request *router.Request) *router.Response {
	response := h.handler.Serve(ctx, request)
	h.log.Info().Str("service", request.Service.String()).Str("key", request.Key).
		Uint32("shard", uint32(request.Shard)).Uint64("epoch", uint64(request.Epoch)).Int("attempt", request.Attempt).
		Str("outcome", response.Outcome.String()).Str("reason", string(outcome.ReasonOf(response.Outcome))).
		Msg("serveForwarded")
	return response
}
