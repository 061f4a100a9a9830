// Package objectserver is an in-memory stand-in for the platform's object store.
// Tests inject faults at run time.
package objectserver

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/object"
	"briarwell.dev/core/object/httpobject"
	"briarwell.dev/core/object/memory"
	"briarwell.dev/standin/server"
)

// Faults is the body of POST /admin/faults, which replaces all settings.
type Faults struct {
	// Outage fails every call with status 503 and without effect.
	Outage bool `json:"outage"`
	// DelayMillis is the delay before each call is processed.
	DelayMillis int `json:"delayMillis"`
	// Corrupt flips one bit in each object that is read.
	Corrupt bool `json:"corrupt"`
}

// Server serves the object protocol from memory. The zero value has no objects and no
// faults, and is ready to use.
type Server struct {
	objects memory.Store
	mutex   sync.Mutex
	faults  Faults
}

// Handle serves the object protocol and /admin/faults.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	name, isObject := strings.CutPrefix(path, httpobject.PathPrefix)
	switch {
	case path == "/admin/faults":
		s.handleFaults(ctx)
	case isObject:
		s.handleObject(ctx, name)
	default:
		server.RespondError(ctx, fasthttp.StatusNotFound, "unknown path; the object store serves objects and /admin/faults")
	}
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var settings Faults
		if !server.DecodeBody(ctx, &settings) {
			return
		}
		if settings.DelayMillis < 0 {
			server.RespondError(ctx, fasthttp.StatusBadRequest, "delayMillis: found a negative value, allowed 0 or more")
			return
		}
		s.mutex.Lock()
		s.faults = settings
		s.mutex.Unlock()
	}
	server.RespondJSON(ctx, fasthttp.StatusOK, s.currentFaults())
}

func (s *Server) currentFaults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

func (s *Server) handleObject(ctx *fasthttp.RequestCtx, name string) {
	digest, err := object.ParseDigest(name)
	if err != nil {
		server.RespondError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	time.Sleep(time.Duration(s.currentFaults().DelayMillis) * time.Millisecond)
	if s.currentFaults().Outage {
		server.RespondError(ctx, fasthttp.StatusServiceUnavailable, "object store unavailable: injected outage")
		return
	}
	switch {
	case ctx.IsPut():
		s.handlePut(ctx, digest)
	case ctx.IsGet():
		s.handleGet(ctx, digest)
	default:
		server.RespondError(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed on an object; allowed are PUT and GET")
	}
}

func (s *Server) handlePut(ctx *fasthttp.RequestCtx, digest object.Digest) {
	if err := object.CheckDigest(ctx.PostBody(), digest); err != nil {
		server.RespondError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if _, err := s.objects.Put(context.Background(), ctx.PostBody()); err != nil {
		server.RespondError(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) handleGet(ctx *fasthttp.RequestCtx, digest object.Digest) {
	body, err := s.objects.Get(context.Background(), digest)
	var notFound *object.NotFoundError
	switch {
	case errors.As(err, &notFound):
		server.RespondError(ctx, fasthttp.StatusNotFound, err.Error())
		return
	case err != nil:
		server.RespondError(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(body) // SetBody copies, so that corruption spares the stored object.
	if s.currentFaults().Corrupt && len(body) > 0 {
		ctx.Response.Body()[0] ^= 1
	}
}
