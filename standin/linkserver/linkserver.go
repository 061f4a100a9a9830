package linkserver

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"briarwell.dev/standin/server"
)

// Server relays connections between regions and injects the faults of its rules. Use New.
type Server struct {
	network *network
	logger  *log.Logger

	mutex       sync.Mutex
	connections map[*relayedConn]struct{}
	// startListener starts to relay the connections to an address. Run sets it before the
	// /admin/ paths are served. It returns a *server.ListenError if it can't listen.
	startListener func(PortForward) error
}

// New returns a relay with the rules. Run starts it.
func New(rules Rules, logger *log.Logger) *Server {
	return &Server{network: newNetwork(rules), logger: logger, connections: make(map[*relayedConn]struct{})}
}

// Run listens on all addresses and relays connections until ctx ends. It returns a
// *server.ListenError if it can't listen on one of them.
func (s *Server) Run(ctx context.Context, settings Settings) error {
	admin, err := server.Listen(settings.AdminAddress)
	if err != nil {
		return err
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.startListener = func(forward PortForward) error {
		listener, err := server.Listen(forward.Address)
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		tasks.Go(func() { s.acceptConnections(ctx, listener, forward.Target, &tasks) })
		s.logger.Info().Str("program", "link").Str("address", forward.Address).Str("target", forward.Target).Msg("listening")
		return nil
	}
	for _, forward := range settings.PortForwards {
		if err := s.startListener(forward); err != nil {
			_ = admin.Close()
			return err
		}
	}
	s.logger.Info().Str("program", "link").Str("adminAddress", settings.AdminAddress).Msg("listening")
	return server.Serve(ctx, admin, server.New(s.handle))
}

// acceptConnections relays the connections that listener accepts, each in a task of tasks,
// until listener is closed. The region of the target is resolved once.
func (s *Server) acceptConnections(ctx context.Context, listener net.Listener, target string, tasks *sync.WaitGroup) {
	address, err := net.ResolveTCPAddr("tcp", target)
	if err != nil {
		s.logger.Error().Str("target", target).Err(err).Msg("can't resolve the target address")
		return
	}
	targetRegion := regionOf(address)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r := &relayedConn{
			network: s.network,
			client:  conn.(*net.TCPConn), //nolint:forcetypeassert // The network "tcp" gives a *net.TCPConn.
			pair:    RegionPair{From: regionOf(conn.RemoteAddr()), To: targetRegion},
			done:    make(chan struct{}),
		}
		s.mutex.Lock()
		s.connections[r] = struct{}{}
		s.mutex.Unlock()
		tasks.Go(func() {
			r.serve(ctx, target)
			s.mutex.Lock()
			delete(s.connections, r)
			s.mutex.Unlock()
		})
	}
}

// AffectedConnections is the body of the responses to POST /admin/silence and
// /admin/close.
type AffectedConnections struct {
	Connections int `json:"connections"`
}

// forEachConnection applies change to the open connections from region pair.From to
// region pair.To, and returns their number.
func (s *Server) forEachConnection(pair RegionPair, change func(*relayedConn)) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for r := range s.connections {
		if r.pair == pair {
			change(r)
			count++
		}
	}
	return count
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/admin/rules" && ctx.IsGet():
		server.RespondJSON(ctx, fasthttp.StatusOK, s.network.currentRules())
	case path == "/admin/rules" && ctx.IsPost():
		s.handleRules(ctx)
	case path == "/admin/silence" && ctx.IsPost():
		s.handleConnectionChange(ctx, func(r *relayedConn) { r.silenced.Store(true) })
	case path == "/admin/close" && ctx.IsPost():
		s.handleConnectionChange(ctx, func(r *relayedConn) { go r.reset() })
	case path == "/admin/listen" && ctx.IsPost():
		s.handleListen(ctx)
	case path == "/admin/counters" && ctx.IsGet():
		server.RespondJSON(ctx, fasthttp.StatusOK, s.network.counters())
	default:
		server.RespondError(ctx, fasthttp.StatusNotFound, "unknown administration path or method")
	}
}

func (s *Server) handleRules(ctx *fasthttp.RequestCtx) {
	var rules Rules
	if !server.DecodeBody(ctx, &rules) {
		return
	}
	if problems := rules.validate(""); len(problems) > 0 {
		server.RespondError(ctx, fasthttp.StatusBadRequest, (&SettingsError{problems: problems}).Error())
		return
	}
	s.network.replaceRules(rules)
	server.RespondJSON(ctx, fasthttp.StatusOK, rules)
}

func (s *Server) handleConnectionChange(ctx *fasthttp.RequestCtx, change func(*relayedConn)) {
	var pair RegionPair
	if !server.DecodeBody(ctx, &pair) {
		return
	}
	if problems := validatePair("body", pair); len(problems) > 0 {
		server.RespondError(ctx, fasthttp.StatusBadRequest, (&SettingsError{problems: problems}).Error())
		return
	}
	server.RespondJSON(ctx, fasthttp.StatusOK, AffectedConnections{Connections: s.forEachConnection(pair, change)})
}

func (s *Server) handleListen(ctx *fasthttp.RequestCtx) {
	var forward PortForward
	if !server.DecodeBody(ctx, &forward) {
		return
	}
	if problems := forward.validate(""); len(problems) > 0 {
		server.RespondError(ctx, fasthttp.StatusBadRequest, (&SettingsError{problems: problems}).Error())
		return
	}
	err := s.startListener(forward)
	var listenError *server.ListenError
	if errors.As(err, &listenError) {
		server.RespondError(ctx, fasthttp.StatusConflict, err.Error())
		return
	}
	server.RespondJSON(ctx, fasthttp.StatusOK, forward)
}
