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

// Server relays connections. Use New.
type Server struct {
	network *network
	logger  *log.Logger

	mutex sync.Mutex
	open  map[*relayed]struct{}
	// listen starts a relay address while the server runs.
	listen func(Listen) error
}

// New returns a relay with the rules.
func New(rules Rules, logger *log.Logger) *Server {
	return &Server{network: newNetwork(rules), logger: logger, open: make(map[*relayed]struct{})}
}

// Run listens on all addresses and relays until ctx ends.
func (s *Server) Run(ctx context.Context, settings Settings) error {
	admin, err := server.Listen(settings.AdminAddress)
	if err != nil {
		return err
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.listen = func(address Listen) error {
		listener, err := server.Listen(address.Address)
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		tasks.Go(func() { s.accept(ctx, listener, address.Target, &tasks) })
		s.logger.Info().Str("program", "link").Str("address", address.Address).Str("target", address.Target).Msg("listening")
		return nil
	}
	for _, address := range settings.Listens {
		if err := s.listen(address); err != nil {
			_ = admin.Close()
			return err
		}
	}
	s.logger.Info().Str("program", "link").Str("adminAddress", settings.AdminAddress).Msg("listening")
	return server.Serve(ctx, admin, server.New(s.handle))
}

func (s *Server) accept(ctx context.Context, listener net.Listener, target string, tasks *sync.WaitGroup) {
	address, err := net.ResolveTCPAddr("tcp", target)
	if err != nil {
		s.logger.Error().Str("target", target).Err(err).Msg("target is not an address")
		return
	}
	to := regionOf(address)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r := &relayed{
			network: s.network,
			client:  conn.(*net.TCPConn), //nolint:forcetypeassert // The network "tcp" gives a *net.TCPConn.
			pair:    Pair{From: regionOf(conn.RemoteAddr()), To: to},
			done:    make(chan struct{}),
		}
		s.mutex.Lock()
		s.open[r] = struct{}{}
		s.mutex.Unlock()
		tasks.Go(func() {
			r.serve(ctx, target)
			s.mutex.Lock()
			delete(s.open, r)
			s.mutex.Unlock()
		})
	}
}

// Affected is the body of the answers to silence and close requests.
type Affected struct {
	Connections int `json:"connections"`
}

// each applies change to the connections opened by from to the region to.
func (s *Server) each(pair Pair, change func(*relayed)) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for r := range s.open {
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
		server.Respond(ctx, fasthttp.StatusOK, s.network.current())
	case path == "/admin/rules" && ctx.IsPost():
		s.handleRules(ctx)
	case path == "/admin/silence" && ctx.IsPost():
		s.handlePair(ctx, func(r *relayed) { r.silent.Store(true) })
	case path == "/admin/close" && ctx.IsPost():
		s.handlePair(ctx, func(r *relayed) { go r.abort() })
	case path == "/admin/listen" && ctx.IsPost():
		s.handleListen(ctx)
	case path == "/admin/counters" && ctx.IsGet():
		server.Respond(ctx, fasthttp.StatusOK, s.network.counters())
	default:
		server.Fail(ctx, fasthttp.StatusNotFound, "unknown path")
	}
}

func (s *Server) handleRules(ctx *fasthttp.RequestCtx) {
	var rules Rules
	if !server.Decode(ctx, &rules) {
		return
	}
	if problems := rules.problems(""); len(problems) > 0 {
		server.Fail(ctx, fasthttp.StatusBadRequest, (&SettingsError{problems: problems}).Error())
		return
	}
	s.network.replace(rules)
	server.Respond(ctx, fasthttp.StatusOK, rules)
}

func (s *Server) handlePair(ctx *fasthttp.RequestCtx, change func(*relayed)) {
	var pair Pair
	if !server.Decode(ctx, &pair) {
		return
	}
	if problems := pairProblems("body", pair); len(problems) > 0 {
		server.Fail(ctx, fasthttp.StatusBadRequest, (&SettingsError{problems: problems}).Error())
		return
	}
	server.Respond(ctx, fasthttp.StatusOK, Affected{Connections: s.each(pair, change)})
}

func (s *Server) handleListen(ctx *fasthttp.RequestCtx) {
	var address Listen
	if !server.Decode(ctx, &address) {
		return
	}
	if problems := address.problems(""); len(problems) > 0 {
		server.Fail(ctx, fasthttp.StatusBadRequest, (&SettingsError{problems: problems}).Error())
		return
	}
	err := s.listen(address)
	var failed *server.ListenError
	if errors.As(err, &failed) {
		server.Fail(ctx, fasthttp.StatusConflict, err.Error())
		return
	}
	server.Respond(ctx, fasthttp.StatusOK, address)
}
