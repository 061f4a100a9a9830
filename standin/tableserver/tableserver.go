// Package tableserver is an in-memory stand-in for the platform's table service.
// Tests inject faults at run time.
package tableserver

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/table"
	"briarwell.dev/core/table/memory"
	"briarwell.dev/core/table/wire"
	"briarwell.dev/standin/server"
)

const pathFaults = "/admin/faults"

// Server serves the table protocol from memory. The zero value has no rows and no
// faults, and is ready to use.
type Server struct {
	rows          memory.Table
	faults        faultInjector
	readLimiter   rateLimiter
	commitLimiter rateLimiter

	readCount            atomic.Uint64
	commitCount          atomic.Uint64
	droppedResponseCount atomic.Uint64
	refusedCount         atomic.Uint64
}

// Counters is the body of the response to GET /admin/counters. It counts calls since
// the server started.
type Counters struct {
	// Reads counts reads and scans.
	Reads   uint64 `json:"reads"`
	Commits uint64 `json:"commits"`
	// DroppedResponses counts commits that were processed but got no response.
	DroppedResponses uint64 `json:"lostAnswers"`
	// Refused counts calls that were rejected by a rate limit.
	Refused uint64 `json:"refused"`
}

// Handle serves the table protocol and the /admin/ paths.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/admin/") {
		s.handleAdmin(ctx, path)
		return
	}
	if !ctx.IsPost() {
		server.RespondError(ctx, fasthttp.StatusMethodNotAllowed, "the table protocol uses POST")
		return
	}
	switch path {
	case wire.PathRead:
		s.handleRead(ctx)
	case wire.PathScan:
		s.handleScan(ctx)
	case wire.PathCommit:
		s.handleCommit(ctx)
	default:
		server.RespondError(ctx, fasthttp.StatusNotFound, "unknown path")
	}
}

func (s *Server) handleAdmin(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == "/admin/counters" && ctx.IsGet():
		server.RespondJSON(ctx, fasthttp.StatusOK, Counters{
			Reads: s.readCount.Load(), Commits: s.commitCount.Load(),
			DroppedResponses: s.droppedResponseCount.Load(), Refused: s.refusedCount.Load(),
		})
	case path == pathFaults && ctx.IsGet():
		server.RespondJSON(ctx, fasthttp.StatusOK, s.faults.get())
	case path == pathFaults && ctx.IsPost():
		var settings Faults
		if !server.DecodeBody(ctx, &settings) {
			return
		}
		if problems := settings.validate(); len(problems) > 0 {
			server.RespondError(ctx, fasthttp.StatusBadRequest, strings.Join(problems, "; "))
			return
		}
		s.faults.set(settings)
		server.RespondJSON(ctx, fasthttp.StatusOK, settings)
	default:
		server.RespondError(ctx, fasthttp.StatusNotFound, "unknown path")
	}
}

// admit applies the outage, rate limit and delay settings. If the call must not take
// effect, it responds with an error and returns false.
func (s *Server) admit(ctx *fasthttp.RequestCtx, limiter *rateLimiter, callsPerSecond func(Faults) int) bool {
	settings := s.faults.get()
	if settings.Outage {
		server.RespondError(ctx, fasthttp.StatusServiceUnavailable, "outage")
		return false
	}
	wait, ok := limiter.reserve(time.Now(), callsPerSecond(settings))
	if !ok {
		s.refusedCount.Add(1)
		server.RespondError(ctx, fasthttp.StatusTooManyRequests, "rate limit")
		return false
	}
	wait += time.Duration(settings.DelayMillis) * time.Millisecond
	if wait > 0 {
		time.Sleep(wait)
	}
	if s.faults.get().Outage {
		server.RespondError(ctx, fasthttp.StatusServiceUnavailable, "outage")
		return false
	}
	return true
}

func readsPerSecond(f Faults) int   { return limitOrDefault(f.ReadLimit, DefaultReadLimit) }
func commitsPerSecond(f Faults) int { return limitOrDefault(f.WriteLimit, DefaultWriteLimit) }

func (s *Server) handleRead(ctx *fasthttp.RequestCtx) {
	var request wire.ReadRequest
	if !server.DecodeBody(ctx, &request) || !s.admit(ctx, &s.readLimiter, readsPerSecond) {
		return
	}
	s.readCount.Add(1)
	rows, err := s.rows.Read(context.Background(), request.Keys)
	if err != nil {
		server.RespondError(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	server.RespondJSON(ctx, fasthttp.StatusOK, wire.ReadResponse{Rows: wire.FromRows(rows)})
}

func (s *Server) handleScan(ctx *fasthttp.RequestCtx) {
	var request wire.ScanRequest
	if !server.DecodeBody(ctx, &request) || !s.admit(ctx, &s.readLimiter, readsPerSecond) {
		return
	}
	s.readCount.Add(1)
	rows, revision, err := s.rows.Scan(context.Background(), request.Prefix, request.Since)
	if err != nil {
		server.RespondError(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	server.RespondJSON(ctx, fasthttp.StatusOK, wire.ScanResponse{Rows: wire.FromRows(rows), Revision: revision})
}

func (s *Server) handleCommit(ctx *fasthttp.RequestCtx) {
	var request wire.CommitRequest
	if !server.DecodeBody(ctx, &request) || !s.admit(ctx, &s.commitLimiter, commitsPerSecond) {
		return
	}
	s.commitCount.Add(1)
	revision, err := s.rows.Commit(context.Background(), wire.ToTransaction(request))
	if s.faults.shouldDropResponse() {
		s.droppedResponseCount.Add(1)
		dropResponse(ctx)
		return
	}
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		server.RespondJSON(ctx, fasthttp.StatusConflict, wire.Conflict{
			Key: conflict.Key(), Expected: conflict.Expected(), Actual: conflict.Actual(),
		})
	case err != nil:
		server.RespondError(ctx, fasthttp.StatusInternalServerError, err.Error())
	default:
		server.RespondJSON(ctx, fasthttp.StatusOK, wire.CommitResponse{Revision: revision})
	}
}

// dropResponse closes the connection without a response.
func dropResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
