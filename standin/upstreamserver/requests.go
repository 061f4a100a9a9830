package upstreamserver

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
	"briarwell.dev/standin/server"
)

// coldStartExtraFactor is the extra service time right after the start, as a multiple of
// the normal service time.
const coldStartExtraFactor = 2

// KeyState is the body of the response to GET /{key}. Requests holds the IDs of the
// requests that took effect on the key, in the order in which they did.
type KeyState struct {
	Key      string   `json:"key"`
	Requests []string `json:"requests"`
}

// acceptedRequest is a request that passed the checks and holds a slot.
type acceptedRequest struct {
	token      fencingToken
	acceptance Acceptance
}

// handleRequest checks a request, takes a slot and processes the request.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx, path string) {
	token, ok := parseFencingToken(&ctx.Request.Header)
	if !ok {
		respondRefused(ctx, refusedMalformed)
		return
	}
	if reason := s.checkFencing(token); reason != "" {
		respondRefused(ctx, reason)
		return
	}
	if s.inFlight.Add(1) > int64(s.settings.Slots) {
		s.inFlight.Add(-1)
		respondRefused(ctx, refusedOverloaded)
		return
	}
	s.recordLoad(time.Now())
	accepted := &acceptedRequest{token: token, acceptance: s.newAcceptance(ctx, path, token)}
	if !s.runRequest(ctx, path, accepted) {
		s.finishRequest(accepted, false)
	}
}

// runRequest processes an accepted request and responds to it. It returns false if the
// request had no effect; the caller then finishes the request.
func (s *Server) runRequest(ctx *fasthttp.RequestCtx, path string, accepted *acceptedRequest) bool {
	// The whole body is read before the watch on the connection begins, as the watch takes
	// any further byte for the next request.
	upload, ok := receiveBody(ctx)
	if !ok || !s.simulateProcessing(ctx, accepted) {
		return false
	}
	key := accepted.acceptance.Key
	switch {
	case ctx.IsGet() && strings.HasSuffix(path, "/pattern"):
		return s.streamPattern(ctx, accepted)
	case ctx.IsGet() || ctx.IsHead():
		server.RespondJSON(ctx, fasthttp.StatusOK, s.keyState(key))
	case ctx.IsPut():
		s.appendRequestID(key, accepted.acceptance.RequestID)
		server.RespondJSON(ctx, fasthttp.StatusOK, upload)
	default:
		s.appendRequestID(key, accepted.acceptance.RequestID)
		server.RespondJSON(ctx, fasthttp.StatusOK, s.keyState(key))
	}
	s.finishRequest(accepted, true)
	return true
}

// simulateProcessing waits for the service time and checks the fencing token again. If
// the request was cancelled or must no longer take effect, it responds with an error and
// returns false.
func (s *Server) simulateProcessing(ctx *fasthttp.RequestCtx, accepted *acceptedRequest) bool {
	if duration := s.processingTime(accepted.token, time.Now()); duration > 0 {
		connCtx, stopWatch := watchPeerClose(ctx.Conn())
		cancelled := !sleep(connCtx, duration)
		stopWatch()
		if cancelled {
			respondConnectionClosed(ctx)
			return false
		}
	}
	s.gate.wait()
	if reason := s.checkFencing(accepted.token); reason != "" {
		respondRefused(ctx, reason)
		return false
	}
	return true
}

// processingTime returns the service time of a request, bounded by the deadline of the
// request if the upstream checks deadlines.
func (s *Server) processingTime(token fencingToken, now time.Time) time.Duration {
	duration := s.drawServiceTime(now)
	if s.settings.Fencing == upstream.FencingNone {
		return duration
	}
	return min(duration, time.UnixMilli(token.deadlineUnixMillis).Sub(now))
}

// sleep waits for duration. It returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// drawServiceTime draws the service time of one request, longer during a cold start.
func (s *Server) drawServiceTime(now time.Time) time.Duration {
	nanos := float64(s.settings.ServiceTime)
	if s.settings.Distribution == DistributionExponential {
		s.randomMutex.Lock()
		nanos *= s.random.ExpFloat64()
		s.randomMutex.Unlock()
	}
	if age := now.Sub(s.startedAt); age < s.settings.ColdStart {
		remaining := 1 - float64(age)/float64(s.settings.ColdStart)
		nanos *= 1 + coldStartExtraFactor*remaining
	}
	return time.Duration(nanos)
}

// newAcceptance returns the log line of a request whose processing starts now. The key is
// the first segment of path.
func (s *Server) newAcceptance(ctx *fasthttp.RequestCtx, path string, token fencingToken) Acceptance {
	key, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	header := &ctx.Request.Header
	return Acceptance{
		Upstream:        s.settings.Name,
		Organisation:    s.settings.Service.Organisation(),
		Service:         s.settings.Service.Name(),
		Key:             key,
		Shard:           uint64(token.shard),
		Epoch:           uint64(token.epoch),
		RequestID:       string(header.Peek(outcome.HeaderRequestID)),
		Method:          string(ctx.Method()),
		Path:            path,
		Attempt:         string(header.Peek(outcome.HeaderAttempts)),
		StartUnixMicros: time.Now().UnixMicro(),
	}
}

// finishRequest writes the log line and releases the slot. It panics if the line can't be
// written. Except for a pattern, it is called before the response is sent.
func (s *Server) finishRequest(accepted *acceptedRequest, tookEffect bool) {
	accepted.acceptance.EndUnixMicros = time.Now().UnixMicro()
	accepted.acceptance.TookEffect = tookEffect
	// The audit of a log with a missing line could miss a fault, so the upstream crashes
	// instead.
	if err := s.acceptanceLog.append(accepted.acceptance); err != nil {
		panic("can't append to the acceptance log: " + err.Error())
	}
	s.inFlight.Add(-1)
	s.recordLoad(time.Now())
}

func (s *Server) appendRequestID(key, requestID string) {
	s.requestIDsMutex.Lock()
	defer s.requestIDsMutex.Unlock()
	s.requestIDs[key] = append(s.requestIDs[key], requestID)
}

func (s *Server) keyState(key string) KeyState {
	s.requestIDsMutex.Lock()
	defer s.requestIDsMutex.Unlock()
	return KeyState{Key: key, Requests: append([]string{}, s.requestIDs[key]...)}
}

// respondConnectionClosed responds to a request whose connection was closed by the
// daemon, and closes the connection on this side.
func respondConnectionClosed(ctx *fasthttp.RequestCtx) {
	server.RespondError(ctx, fasthttp.StatusBadRequest, "the connection ended before the order")
	ctx.SetConnectionClose()
}

// respondRefused responds that no part of the request was run, with the reason in the
// Briarwell-Refused header.
func respondRefused(ctx *fasthttp.RequestCtx, reason refusalReason) {
	server.RespondError(ctx, fasthttp.StatusServiceUnavailable, "refused: "+string(reason))
	ctx.Response.Header.Set(outcome.HeaderRefused, string(reason))
}
