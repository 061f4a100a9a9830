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

// Server is one upstream. Use New.
type Server struct {
	settings    Settings
	started     time.Time
	grants      grantStore
	log         acceptanceLog
	gate        freezeGate
	inFlight    atomic.Int64
	draining    atomic.Bool
	loadHistory loadHistory

	randomMutex sync.Mutex
	random      *rand.Rand

	stateMutex sync.Mutex
	state      map[string][]string
}

// New returns an upstream with the settings. Its acceptance log is open.
func New(settings Settings) (*Server, error) {
	s := &Server{
		settings: settings,
		started:  time.Now(),
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		state:    make(map[string][]string),
	}
	if err := s.log.open(settings.AcceptanceLog); err != nil {
		return nil, err
	}
	return s, nil
}

// Close closes the acceptance log.
func (s *Server) Close() error { return s.log.close() }

// Handle answers one request.
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
	var message wire.Grant
	if !ctx.IsPost() {
		server.RespondError(ctx, fasthttp.StatusMethodNotAllowed, "grants are posted")
		return
	}
	if !server.DecodeBody(ctx, &message) {
		return
	}
	service := s.settings.Service
	if message.Organisation != service.Organisation() || message.Service != service.Name() {
		server.RespondError(ctx, fasthttp.StatusConflict, "this upstream serves "+service.String())
		return
	}
	s.grants.replace(message)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// FreezeRequest is the body of POST /admin/freeze: the upstream stops answering for a
// time, and then goes on as if nothing had happened. Zero ends a freeze.
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

// reportedLoad is what the load endpoint says, which may lag or mislead.
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

// recordLoad adds the present load to what LoadLag reports later.
func (s *Server) recordLoad(now time.Time) {
	if s.settings.LoadReport == LoadReportLag {
		s.loadHistory.record(now, s.currentLoad(), s.settings.LoadLag)
	}
}

// loadHistory holds the recent loads. The zero value reports an idle upstream.
type loadHistory struct {
	mutex   sync.Mutex
	samples []loadSample
}

type loadSample struct {
	time time.Time
	load wire.Load
}

func (l *loadHistory) record(now time.Time, load wire.Load, keep time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.samples) > 1 && l.samples[1].time.Before(now.Add(-keep)) {
		l.samples = l.samples[1:]
	}
	l.samples = append(l.samples, loadSample{time: now, load: load})
}

// at returns the last load recorded up to the moment.
func (l *loadHistory) at(moment time.Time) wire.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found wire.Load
	for _, sample := range l.samples {
		if sample.time.After(moment) {
			break
		}
		found = sample.load
	}
	return found
}

// pollInterval is how often waiting orders look whether a freeze has ended.
const pollInterval = 2 * time.Millisecond

// freezeGate holds back all orders during a freeze. The zero value is open.
type freezeGate struct {
	untilUnixNanos atomic.Int64
}

func (g *freezeGate) freeze(length time.Duration) {
	g.untilUnixNanos.Store(time.Now().Add(length).UnixNano())
}

func (g *freezeGate) wait() {
	for time.Now().UnixNano() < g.untilUnixNanos.Load() {
		time.Sleep(pollInterval)
	}
}
