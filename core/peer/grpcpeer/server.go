package grpcpeer

import (
	"context"
	"net"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/router"
)

// Handler is what a Server passes messages to.
type Handler interface {
	// Serve runs a forwarded request; router.Owner implements it.
	Serve(ctx context.Context, request *router.Request) *router.Response
}

// ServerSettings are those of a Server.
type ServerSettings struct {
	Clock   clock.Clock
	Handler Handler
	// Control takes each control message. It must not block for long: the
	// stream of its sender waits.
	Control func(envelope *peerpb.Envelope)
	// Status reports the state of the daemon.
	Status func() *peerpb.StatusResponse
}

// Server serves peerpb.Peer to the other daemons.
type Server struct {
	settings ServerSettings
}

// NewServer returns a Server.
func NewServer(settings ServerSettings) *Server { return &Server{settings: settings} }

// Serve accepts connections until Stop. It returns nil after Stop.
func (s *Server) Serve(listener net.Listener) error {
	_ = listener
	return nil
}

// Stop refuses new streams and waits for the running ones until ctx ends, then
// closes all connections.
func (s *Server) Stop(ctx context.Context) { _ = ctx }
