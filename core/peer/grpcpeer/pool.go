// Package grpcpeer carries the messages between daemons over gRPC. The
// retries, service configuration, name resolution and load balancing of
// grpc-go stay off: an address is dialled as it is, and what may be sent again
// is decided by package router.
package grpcpeer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/router"
)

const (
	// defaultConnections is the largest number of request connections to a peer.
	defaultConnections = 2
	// crowded is the number of requests in flight on each connection to a peer
	// at which another one is opened.
	crowded = 32
	// defaultControlQueue bounds the waiting control messages for each peer.
	defaultControlQueue = 64
	// probeAfter is the silence on a connection with work in flight after which
	// a probe is sent, in milliseconds.
	probeAfter clock.Millis = 500
	// probeTimeout is the time in milliseconds in which a probe is answered on a
	// connection that works.
	probeTimeout clock.Millis = 500
	// watchInterval is the time in milliseconds between two looks at all
	// connections.
	watchInterval clock.Millis = 50
	// idleLife is the time in milliseconds after which an unused connection is
	// closed; it keeps the memory of rarely used peers low.
	idleLife clock.Millis = 60_000
)

// ErrClosed says that the pool was closed.
var ErrClosed = errors.New("pool of peer connections is closed")

// PoolSettings are those of a Pool. Clock is required.
type PoolSettings struct {
	// LocalIP is the address that outgoing connections bind to; "" means any.
	LocalIP string
	// Clock converts deadlines to remaining times.
	Clock clock.Clock
	// ConnectionsPerPeer is the largest number of connections for requests to
	// each peer; zero means 2. Control messages have one of their own, so that
	// they don't wait behind bodies.
	ConnectionsPerPeer int
	// ControlQueue bounds the waiting control messages for each peer; zero
	// means 64.
	ControlQueue int
	// ControlFailed, if set, is told of each control message that was dropped
	// or not sent. It must not block.
	ControlFailed func(peerAddress string, envelope *peerpb.Envelope, cause error)
	// ConnectionClosed, if set, is told of each connection that was closed
	// because it was silent. It must not block.
	ConnectionClosed func(peerAddress string)
}

// Pool holds the outgoing connections of a daemon. It implements
// router.Forwarder. It is safe for concurrent use. Its locks are taken in the
// order Pool, peer; no lock is held during a call to grpc-go that waits.
type Pool struct {
	settings PoolSettings
	stop     chan struct{}
	group    conc.WaitGroup

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

var _ router.Forwarder = (*Pool)(nil)

// NewPool returns a Pool. It must be closed.
func NewPool(settings PoolSettings) *Pool {
	if settings.ConnectionsPerPeer <= 0 {
		settings.ConnectionsPerPeer = defaultConnections
	}
	if settings.ControlQueue <= 0 {
		settings.ControlQueue = defaultControlQueue
	}
	pool := &Pool{settings: settings, stop: make(chan struct{}), peers: make(map[string]*peer)}
	pool.group.Go(pool.watch)
	return pool
}

// Status reads the state of the daemon at the peer address.
func (p *Pool) Status(ctx context.Context, peerAddress string) (*peerpb.StatusResponse, error) {
	c, err := p.acquire(peerAddress)
	if err != nil {
		return nil, err
	}
	defer c.end()
	return c.client.Status(ctx, &peerpb.StatusRequest{})
}

// Send queues a one-way control message to the daemon at the peer address. It
// never blocks. If the queue is full, the oldest message is dropped.
func (p *Pool) Send(peerAddress string, envelope *peerpb.Envelope) {
	target, err := p.peer(peerAddress)
	if err != nil {
		p.controlFailed(peerAddress, envelope, err)
		return
	}
	target.control.push(envelope)
}

// Drop closes the connections to a peer that has left.
func (p *Pool) Drop(peerAddress string) {
	p.mu.Lock()
	target, ok := p.peers[peerAddress]
	delete(p.peers, peerAddress)
	p.mu.Unlock()
	if ok {
		target.close()
	}
}

// Close closes all connections and waits for the goroutines of the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	peers := p.peers
	p.peers = nil
	p.mu.Unlock()
	close(p.stop)
	for _, target := range peers {
		target.close()
	}
	p.group.Wait()
}

func (p *Pool) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if known, ok := p.peers[address]; ok {
		return known, nil
	}
	target := newPeer(p, address)
	p.peers[address] = target
	p.group.Go(target.control.run)
	return target, nil
}

// acquire returns a connection that counts one more piece of work in flight.
// The caller must call end.
func (p *Pool) acquire(address string) (*connection, error) {
	target, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	return target.acquire()
}

func (p *Pool) controlFailed(address string, envelope *peerpb.Envelope, cause error) {
	if p.settings.ControlFailed != nil {
		p.settings.ControlFailed(address, envelope, cause)
	}
}

// watch probes silent connections until the pool is closed.
func (p *Pool) watch() {
	ticker := time.NewTicker(watchInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			p.inspect()
		}
	}
}

func (p *Pool) inspect() {
	p.mu.Lock()
	peers := make([]*peer, 0, len(p.peers))
	for _, target := range p.peers {
		peers = append(peers, target)
	}
	p.mu.Unlock()
	now := p.settings.Clock.Now()
	for _, target := range peers {
		for _, silent := range target.inspect(now) {
			p.group.Go(func() { target.probe(silent) })
		}
	}
}
