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

// coldStartFactor is how much longer an order takes right after the start,
// beyond the usual time.
const coldStartFactor = 2

// State is the body of GET /{key}: the IDs of the orders that took effect on
// the key, in order.
type State struct {
	Key      string   `json:"key"`
	Requests []string `json:"requests"`
}

// order is an accepted order.
type order struct {
	fence fence
	line  Acceptance
}

// handleOrder checks an order, takes a slot and runs it.
func (s *Server) handleOrder(ctx *fasthttp.RequestCtx, path string) {
	claimed, ok := parseFence(&ctx.Request.Header)
	if !ok {
		refuse(ctx, refusedMalformed)
		return
	}
	if why := s.checkFence(claimed); why != "" {
		refuse(ctx, why)
		return
	}
	if s.inFlight.Add(1) > int64(s.settings.Slots) {
		s.inFlight.Add(-1)
		refuse(ctx, refusedLoad)
		return
	}
	s.recordLoad(time.Now())
	accepted := &order{fence: claimed, line: s.acceptance(ctx, path, claimed)}
	if !s.runOrder(ctx, path, accepted) {
		s.finish(accepted, false)
	}
}

// runOrder runs an accepted order. It returns false if the order had no effect.
func (s *Server) runOrder(ctx *fasthttp.RequestCtx, path string, accepted *order) bool {
	// The body is read whole before the watch on the connection begins, which
	// takes any further byte for the next request.
	received, ok := receiveBody(ctx)
	if !ok || !s.work(ctx, accepted) {
		return false
	}
	key := accepted.line.Key
	switch {
	case ctx.IsGet() && strings.HasSuffix(path, "/pattern"):
		return s.sendPattern(ctx, accepted)
	case ctx.IsGet() || ctx.IsHead():
		server.Respond(ctx, fasthttp.StatusOK, s.read(key))
	case ctx.IsPut():
		s.append(key, accepted.line.RequestID)
		server.Respond(ctx, fasthttp.StatusOK, received)
	default:
		s.append(key, accepted.line.RequestID)
		server.Respond(ctx, fasthttp.StatusOK, s.read(key))
	}
	s.finish(accepted, true)
	return true
}

// work takes the service time and checks the fence again. It returns false if
// the order was cancelled or may not have its effect any more.
func (s *Server) work(ctx *fasthttp.RequestCtx, accepted *order) bool {
	if length := s.workTime(accepted.fence, time.Now()); length > 0 {
		watched, stop := watchClose(ctx.Conn())
		cancelled := !sleep(watched, length)
		stop()
		if cancelled {
			abandon(ctx)
			return false
		}
	}
	s.gate.wait()
	if why := s.checkFence(accepted.fence); why != "" {
		refuse(ctx, why)
		return false
	}
	return true
}

// workTime draws the service time of an order. An upstream that checks
// deadlines stops at the order's.
func (s *Server) workTime(claimed fence, now time.Time) time.Duration {
	length := s.serviceTime(now)
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

// serviceTime draws the service time of one order.
func (s *Server) serviceTime(now time.Time) time.Duration {
	length := float64(s.settings.ServiceTime)
	if s.settings.Distribution == DistributionExponential {
		s.randomMutex.Lock()
		length *= s.random.ExpFloat64()
		s.randomMutex.Unlock()
	}
	if age := now.Sub(s.started); age < s.settings.ColdStart {
		left := 1 - float64(age)/float64(s.settings.ColdStart)
		length *= 1 + coldStartFactor*left
	}
	return time.Duration(length)
}

// acceptance returns the log line of an order that starts now.
func (s *Server) acceptance(ctx *fasthttp.RequestCtx, path string, claimed fence) Acceptance {
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

// finish writes the log line and gives the slot back.
func (s *Server) finish(accepted *order, effect bool) {
	accepted.line.EndUnixMicros = time.Now().UnixMicro()
	accepted.line.Effect = effect
	// An audit over a log with a missing line would miss a fault, so that the
	// upstream stops instead.
	if err := s.log.write(accepted.line); err != nil {
		panic("acceptance log: " + err.Error())
	}
	s.inFlight.Add(-1)
	s.recordLoad(time.Now())
}

func (s *Server) append(key, requestID string) {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	s.state[key] = append(s.state[key], requestID)
}

func (s *Server) read(key string) State {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	return State{Key: key, Requests: append([]string{}, s.state[key]...)}
}

// abandon answers an order whose connection was closed by the daemon.
func abandon(ctx *fasthttp.RequestCtx) {
	server.Fail(ctx, fasthttp.StatusBadRequest, "the connection ended before the order")
	ctx.SetConnectionClose()
}

// refuse answers that no part of the order was run.
func refuse(ctx *fasthttp.RequestCtx, why refusal) {
	server.Fail(ctx, fasthttp.StatusServiceUnavailable, "refused: "+string(why))
	ctx.Response.Header.Set(outcome.HeaderRefused, string(why))
}
