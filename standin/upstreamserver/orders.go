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

// coldStartExtraFactor is how much longer an order takes right after the start,
// beyond the usual time.
const coldStartExtraFactor = 2

// KeyState is the body of GET /{key}: the IDs of the orders that took effect on
// the key, in order.
type KeyState struct {
	Key      string   `json:"key"`
	Requests []string `json:"requests"`
}

// acceptedRequest is an accepted order.
type acceptedRequest struct {
	token      fencingToken
	acceptance Acceptance
}

// handleRequest checks an order, takes a slot and runs it.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx, path string) {
	claimed, ok := parseFencingToken(&ctx.Request.Header)
	if !ok {
		respondRefused(ctx, refusedMalformed)
		return
	}
	if why := s.checkFencing(claimed); why != "" {
		respondRefused(ctx, why)
		return
	}
	if s.inFlight.Add(1) > int64(s.settings.Slots) {
		s.inFlight.Add(-1)
		respondRefused(ctx, refusedOverloaded)
		return
	}
	s.recordLoad(time.Now())
	accepted := &acceptedRequest{token: claimed, acceptance: s.newAcceptance(ctx, path, claimed)}
	if !s.runRequest(ctx, path, accepted) {
		s.finishRequest(accepted, false)
	}
}

// runRequest runs an accepted order. It returns false if the order had no effect.
func (s *Server) runRequest(ctx *fasthttp.RequestCtx, path string, accepted *acceptedRequest) bool {
	// The body is read whole before the watch on the connection begins, which
	// takes any further byte for the next request.
	received, ok := receiveBody(ctx)
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
		server.RespondJSON(ctx, fasthttp.StatusOK, received)
	default:
		s.appendRequestID(key, accepted.acceptance.RequestID)
		server.RespondJSON(ctx, fasthttp.StatusOK, s.keyState(key))
	}
	s.finishRequest(accepted, true)
	return true
}

// simulateProcessing takes the service time and checks the fence again. It returns false if
// the order was cancelled or may not have its effect any more.
func (s *Server) simulateProcessing(ctx *fasthttp.RequestCtx, accepted *acceptedRequest) bool {
	if length := s.processingTime(accepted.token, time.Now()); length > 0 {
		watched, stop := watchPeerClose(ctx.Conn())
		cancelled := !sleep(watched, length)
		stop()
		if cancelled {
			respondConnectionClosed(ctx)
			return false
		}
	}
	s.gate.wait()
	if why := s.checkFencing(accepted.token); why != "" {
		respondRefused(ctx, why)
		return false
	}
	return true
}

// processingTime draws the service time of an order. An upstream that checks
// deadlines stops at the order's.
func (s *Server) processingTime(claimed fencingToken, now time.Time) time.Duration {
	length := s.drawServiceTime(now)
	if s.settings.Fencing == upstream.FencingNone {
		return length
	}
	return min(length, time.UnixMilli(claimed.deadlineUnixMillis).Sub(now))
}

func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// drawServiceTime draws the service time of one order.
func (s *Server) drawServiceTime(now time.Time) time.Duration {
	length := float64(s.settings.ServiceTime)
	if s.settings.Distribution == DistributionExponential {
		s.randomMutex.Lock()
		length *= s.random.ExpFloat64()
		s.randomMutex.Unlock()
	}
	if age := now.Sub(s.started); age < s.settings.ColdStart {
		left := 1 - float64(age)/float64(s.settings.ColdStart)
		length *= 1 + coldStartExtraFactor*left
	}
	return time.Duration(length)
}

// newAcceptance returns the log line of an order that starts now.
func (s *Server) newAcceptance(ctx *fasthttp.RequestCtx, path string, claimed fencingToken) Acceptance {
	key, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	header := &ctx.Request.Header
	return Acceptance{
		Upstream:        s.settings.Name,
		Organisation:    s.settings.Service.Organisation(),
		Service:         s.settings.Service.Name(),
		Key:             key,
		Shard:           uint64(claimed.shard),
		Epoch:           uint64(claimed.epoch),
		RequestID:       string(header.Peek(outcome.HeaderRequestID)),
		Method:          string(ctx.Method()),
		Path:            path,
		Attempt:         string(header.Peek(outcome.HeaderAttempts)),
		StartUnixMicros: time.Now().UnixMicro(),
	}
}

// finishRequest writes the log line and gives the slot back.
func (s *Server) finishRequest(accepted *acceptedRequest, effect bool) {
	accepted.acceptance.EndUnixMicros = time.Now().UnixMicro()
	accepted.acceptance.Effect = effect
	// An audit over a log with a missing line would miss a fault, so that the
	// upstream stops instead.
	if err := s.log.append(accepted.acceptance); err != nil {
		panic("acceptance log: " + err.Error())
	}
	s.inFlight.Add(-1)
	s.recordLoad(time.Now())
}

func (s *Server) appendRequestID(key, requestID string) {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	s.state[key] = append(s.state[key], requestID)
}

func (s *Server) keyState(key string) KeyState {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	return KeyState{Key: key, Requests: append([]string{}, s.state[key]...)}
}

// respondConnectionClosed answers an order whose connection was closed by the daemon.
func respondConnectionClosed(ctx *fasthttp.RequestCtx) {
	server.RespondError(ctx, fasthttp.StatusBadRequest, "the connection ended before the order")
	ctx.SetConnectionClose()
}

// respondRefused answers that no part of the order was run.
func respondRefused(ctx *fasthttp.RequestCtx, why refusalReason) {
	server.RespondError(ctx, fasthttp.StatusServiceUnavailable, "refused: "+string(why))
	ctx.Response.Header.Set(outcome.HeaderRefused, string(why))
}
