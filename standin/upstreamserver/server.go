package upstreamserver

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/upstream/wire"
	"briarwell.dev/standin/server"
)

// Server is an upstream server. Use New.
type Server struct {
	settings      Settings
	startedAt     time.Time
	grants        grantStore
	acceptanceLog acceptanceLog
	gate          freezeGate
	inFlight      atomic.Int64
	draining      atomic.Bool
	loadHistory   loadHistory

	randomMutex sync.Mutex
	random      *rand.Rand

	requestIDsMutex sync.Mutex
	// requestIDs holds for each key the IDs of the requests that took effect on it.
	requestIDs map[string][]string
}

// New returns an upstream with the settings and opens its acceptance log.
func New(settings Settings) (*Server, error) {
	s := &Server{
		settings:   settings,
		startedAt:  time.Now(),
		random:     rand.New(rand.NewPCG(settings.Seed, 0)),
		requestIDs: make(map[string][]string),
	}
	if err := s.acceptanceLog.open(settings.AcceptanceLog); err != nil {
		return nil, err
	}
	return s, nil
}

// Close closes the acceptance log.
func (s *Server) Close() error { return s.acceptanceLog.close() }

// Handle serves requests, grants, load reports and the /admin/ paths. A freeze blocks all
// but the /admin/ paths.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/admin/") {
		s.handleAdmin(ctx, path)
		return
	}
	s.gate.wait()
	switch path {
	case wire.PathGrants:
		s.handleGrants(ctx)
	case wire.PathLoad:
		server.RespondJSON(ctx, fasthttp.StatusOK, s.reportedLoad(time.Now()))
	default:
		s.handleRequest(ctx, path)
	}
}

func (s *Server) handleGrants(ctx *fasthttp.RequestCtx) {
	var grant wire.Grant
	if !ctx.IsPost() {
		server.RespondError(ctx, fasthttp.StatusMethodNotAllowed, "grants are posted")
		return
	}
	if !server.DecodeBody(ctx, &grant) {
		return
	}
	service := s.settings.Service
	if grant.Organisation != service.Organisation() || grant.Service != service.Name() {
		server.RespondError(ctx, fasthttp.StatusConflict, "this upstream serves "+service.String())
		return
	}
	s.grants.replace(grant)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// FreezeRequest is the body of POST /admin/freeze. The upstream stops responding for
// Millis and then continues where it stopped. Zero ends a freeze.
type FreezeRequest struct {
	Millis int64 `json:"millis"`
}

func (s *Server) handleAdmin(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == "/admin/freeze" && ctx.IsPost():
		var request FreezeRequest
		if server.DecodeBody(ctx, &request) {
			s.gate.freeze(time.Duration(request.Millis) * time.Millisecond)
			server.RespondJSON(ctx, fasthttp.StatusOK, request)
		}
	case path == "/admin/drain" && ctx.IsPost():
		if err := s.AnnounceDrain(); err != nil {
			server.RespondError(ctx, fasthttp.StatusBadGateway, err.Error())
			return
		}
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case path == "/admin/load" && ctx.IsGet():
		server.RespondJSON(ctx, fasthttp.StatusOK, s.currentLoad())
	default:
		server.RespondError(ctx, fasthttp.StatusNotFound, "unknown path")
	}
}

func (s *Server) currentLoad() wire.Load {
	return wire.Load{InFlight: int(s.inFlight.Load()), Slots: s.settings.Slots, Draining: s.draining.Load()}
}

// reportedLoad returns the load that the load endpoint reports, which may be out of date
// or false.
func (s *Server) reportedLoad(now time.Time) wire.Load {
	switch s.settings.LoadReport {
	case LoadReportLag:
		return s.loadHistory.at(now.Add(-s.settings.LoadLag))
	case LoadReportMislead:
		return wire.Load{Slots: s.settings.Slots}
	default:
		return s.currentLoad()
	}
}

// recordLoad records the current load if the load endpoint is to report it later.
func (s *Server) recordLoad(now time.Time) {
	if s.settings.LoadReport == LoadReportLag {
		s.loadHistory.record(now, s.currentLoad(), s.settings.LoadLag)
	}
}

// loadHistory holds the loads of a recent period. The zero value reports an idle
// upstream.
type loadHistory struct {
	mutex   sync.Mutex
	samples []loadSample
}

type loadSample struct {
	time time.Time
	load wire.Load
}

// record adds load, and drops the samples that a lookup of the load at now minus retention
// no longer needs.
func (l *loadHistory) record(now time.Time, load wire.Load, retention time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.samples) > 1 && l.samples[1].time.Before(now.Add(-retention)) {
		l.samples = l.samples[1:]
	}
	l.samples = append(l.samples, loadSample{time: now, load: load})
}

// at returns the last load recorded at or before t.
func (l *loadHistory) at(t time.Time) wire.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var load wire.Load
	for _, sample := range l.samples {
		if sample.time.After(t) {
			break
		}
		load = sample.load
	}
	return load
}

// pollInterval is the time between two checks of whether a freeze or a drain has ended.
const pollInterval = 2 * time.Millisecond

// freezeGate blocks requests, pattern bodies that are not chunked, and announcements
// during a freeze. The zero value is open.
type freezeGate struct {
	untilUnixNanos atomic.Int64
}

// freeze closes the gate for duration from now, in place of an earlier freeze.
func (g *freezeGate) freeze(duration time.Duration) {
	g.untilUnixNanos.Store(time.Now().Add(duration).UnixNano())
}

// wait blocks until the gate is open.
func (g *freezeGate) wait() {
	for time.Now().UnixNano() < g.untilUnixNanos.Load() {
		time.Sleep(pollInterval)
	}
}
