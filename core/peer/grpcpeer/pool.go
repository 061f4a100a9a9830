// Package grpcpeer carries the messages between daemons over gRPC.
package grpcpeer

import (
	"context"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/router"
)

// PoolSettings are those of a Pool.
type PoolSettings struct {
	// LocalIP is the address that outgoing connections bind to; "" means any.
	LocalIP string
	// Clock converts deadlines to remaining times.
	Clock clock.Clock
	// ConnectionsPerPeer is the number of connections for requests to each
	// peer; zero means 2. Control messages have one more.
	ConnectionsPerPeer int
	// ControlQueue bounds the waiting control messages for each peer; zero
	// means 64.
	ControlQueue int
	// ControlFailed, if set, is told of each control message that was dropped
	// or not sent. It must not block.
	ControlFailed func(peerAddress string, envelope *peerpb.Envelope, cause error)
}

// Pool holds the outgoing connections of a daemon. It implements
// router.Forwarder.
type Pool struct {
	settings PoolSettings
}

// NewPool returns a Pool. It must be closed.
func NewPool(settings PoolSettings) *Pool { return &Pool{settings: settings} }

var _ router.Forwarder = (*Pool)(nil)

// Forward sends a request to the daemon at the peer address.
func (p *Pool) Forward(ctx context.Context, peerAddress string, request *router.Request) (*router.Response, error) {
	_, _, _ = ctx, peerAddress, request
	return nil, nil
}

// Send queues a one-way control message to the daemon at the peer address. It
// never blocks.
func (p *Pool) Send(peerAddress string, envelope *peerpb.Envelope) {
	_, _ = peerAddress, envelope
}

// Status reads the state of the daemon at the peer address.
func (p *Pool) Status(ctx context.Context, peerAddress string) (*peerpb.StatusResponse, error) {
	_, _ = ctx, peerAddress
	return nil, nil
}

// Drop closes the connections to a peer that has left.
func (p *Pool) Drop(peerAddress string) { _ = peerAddress }

// Close closes all connections.
func (p *Pool) Close() {}
