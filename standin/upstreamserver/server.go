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
	settings Settings
	started  time.Time
	grants   grants
	log      acceptanceLog
	gate     gate
	inFlight atomic.Int64
	draining atomic.Bool
	lagging  laggingLoad

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
		server.Respond(ctx, fasthttp.StatusOK, s.reportedLoad(time.Now()))
	default:
		s.handleOrder(ctx, path)
	}
}

func (s *Server) handleGrants(ctx *fasthttp.RequestCtx) {
	var message wire.Grant
	if !ctx.IsPost() {
		server.Fail(ctx, fasthttp.StatusMethodNotAllowed, "grants are posted")
		return
	}
	if !server.Decode(ctx, &message) {
		return
	}
	service := s.settings.Service
	if message.Organisation != service.Organisation() || message.Service != service.Name() {
		server.Fail(ctx, fasthttp.StatusConflict, "this upstream serves "+service.String())
		return
	}
	s.grants.replace(message)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// Freeze is the body of POST /admin/freeze: the upstream stops answering for a
// time, and then goes on as if nothing had happened. Zero ends a freeze.
type Freeze struct {
	Millis int64 `json:"millis"`
}

func (s *Server) handleAdmin(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == "/admin/freeze" && ctx.IsPost():
		var request Freeze
		if server.Decode(ctx, &request) {
			s.gate.freeze(time.Duration(request.Millis) * time.Millisecond)
			server.Respond(ctx, fasthttp.StatusOK, request)
		}
	case path == "/admin/drain" && ctx.IsPost():
		if err := s.AnnounceDrain(); err != nil {
			server.Fail(ctx, fasthttp.StatusBadGateway, err.Error())
			return
		}
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case path == "/admin/load" && ctx.IsGet():
		server.Respond(ctx, fasthttp.StatusOK, s.load())
	default:
		server.Fail(ctx, fasthttp.StatusNotFound, "unknown path")
	}
}

func (s *Server) load() wire.Load {
	return wire.Load{InFlight: int(s.inFlight.Load()), Slots: s.settings.Slots, Draining: s.draining.Load()}
}

// reportedLoad is what the load endpoint says, which may lag or mislead.
func (s *Server) reportedLoad(now time.Time) wire.Load {
	switch s.settings.LoadReport {
	case LoadLag:
		return s.lagging.at(now.Add(-s.settings.LoadLag))
	case LoadMislead:
		return wire.Load{Slots: s.settings.Slots}
	default:
		return s.load()
	}
}

// recordLoad adds the present load to what LoadLag reports later.
func (s *Server) recordLoad(now time.Time) {
	if s.settings.LoadReport == LoadLag {
		s.lagging.record(now, s.load(), s.settings.LoadLag)
	}
}

// laggingLoad holds the recent loads. The zero value reports an idle upstream.
type laggingLoad struct {
	mutex   sync.Mutex
	samples []loadSample
}

type loadSample struct {
	time time.Time
	load wire.Load
}

func (l *laggingLoad) record(now time.Time, load wire.Load, keep time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.samples) > 1 && l.samples[1].time.Before(now.Add(-keep)) {
		l.samples = l.samples[1:]
	}
	l.samples = append(l.samples, loadSample{time: now, load: load})
}

// at returns the last load recorded up to the moment.
func (l *laggingLoad) at(moment time.Time) wire.Load {
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

// gatePoll is how often waiting orders look whether a freeze has ended.
const gatePoll = 2 * time.Millisecond

// gate holds back all orders during a freeze. The zero value is open.
type gate struct {
	untilUnixNanos atomic.Int64
}

func (g *gate) freeze(length time.Duration) {
	g.untilUnixNanos.Store(time.Now().Add(length).UnixNano())
}

func (g *gate) wait() {
	for time.Now().UnixNano() < g.untilUnixNanos.Load() {
		time.Sleep(gatePoll)
	}
}
