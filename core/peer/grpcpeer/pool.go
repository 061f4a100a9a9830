// Package grpcpeer carries the messages between daemons over gRPC. The
// retries, service configuration, name resolution and load balancing of
// grpc-go are disabled: addresses are dialled as given, and package router
// decides which requests may be sent again.
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
	// defaultMaxConnections bounds the request connections to each peer.
	defaultMaxConnections = 2
	// newConnectionThreshold is the number of requests in flight on every
	// connection to a peer at which a further one is opened.
	newConnectionThreshold = 32
	// defaultControlQueueLength bounds the queued control messages for each peer.
	defaultControlQueueLength = 64
	// inactivityBeforeProbe is the time in milliseconds without incoming bytes on a
	// connection with work in flight after which a probe is sent.
	inactivityBeforeProbe clock.Millis = 500
	// probeTimeout is the time in milliseconds in which a probe must be answered;
	// otherwise the connection is closed.
	probeTimeout clock.Millis = 500
	// connectionCheckInterval is the time in milliseconds between two checks of
	// all connections, which probe inactive ones and close idle ones.
	connectionCheckInterval clock.Millis = 50
	// idleTimeout is the time in milliseconds after which an unused connection is
	// closed, so that rarely used peers take little memory.
	idleTimeout clock.Millis = 60_000
)

// ErrPoolClosed reports the use of a closed Pool or of a removed peer.
var ErrPoolClosed = errors.New("pool of peer connections is closed")

// PoolSettings holds the settings of a Pool. Clock is required.
type PoolSettings struct {
	// LocalIP is the address that outgoing connections bind to; "" means any.
	LocalIP string
	// Clock converts deadlines to remaining times and measures the inactivity of
	// connections.
	Clock clock.Clock
	// MaxConnectionsPerPeer bounds the connections for requests to each peer;
	// zero means 2. Control messages have a connection of their own, so that
	// they don't wait behind bodies.
	MaxConnectionsPerPeer int
	// ControlQueueLength bounds the queued control messages for each peer; zero
	// means 64.
	ControlQueueLength int
	// OnControlFailed, if set, is called for each control message that was
	// dropped or could not be sent. It must not block.
	OnControlFailed func(peerAddress string, envelope *peerpb.Envelope, cause error)
	// OnUnresponsiveConnectionClosed, if set, is called for each connection that
	// was closed because a probe on it failed. It must not block.
	OnUnresponsiveConnectionClosed func(peerAddress string)
}

// Pool holds the outgoing connections of a daemon. It implements
// router.Forwarder and is safe for concurrent use. Lock order: Pool, then peer.
// No lock is held during a call to grpc-go that may block.
type Pool struct {
	settings   PoolSettings
	stop       chan struct{}
	goroutines conc.WaitGroup

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

var _ router.Forwarder = (*Pool)(nil)

// NewPool returns a Pool. The caller must call Close.
func NewPool(settings PoolSettings) *Pool {
	if settings.MaxConnectionsPerPeer <= 0 {
		settings.MaxConnectionsPerPeer = defaultMaxConnections
	}
	if settings.ControlQueueLength <= 0 {
		settings.ControlQueueLength = defaultControlQueueLength
	}
	pool := &Pool{settings: settings, stop: make(chan struct{}), peers: make(map[string]*peer)}
	pool.goroutines.Go(pool.runConnectionChecks)
	return pool
}

// Status returns the state of the daemon at the peer address.
func (p *Pool) Status(ctx context.Context, peerAddress string) (*peerpb.StatusResponse, error) {
	c, err := p.acquire(peerAddress)
	if err != nil {
		return nil, err
	}
	defer c.endCall()
	return c.client.Status(ctx, &peerpb.StatusRequest{})
}

// SendControl queues a one-way control message for the daemon at the peer
// address. It never blocks. If the queue is full, it drops the oldest message.
func (p *Pool) SendControl(peerAddress string, envelope *peerpb.Envelope) {
	target, err := p.getOrAddPeer(peerAddress)
	if err != nil {
		p.reportControlFailure(peerAddress, envelope, err)
		return
	}
	target.controlSender.enqueue(envelope)
}

// RemovePeer closes the connections to a peer that has left.
func (p *Pool) RemovePeer(peerAddress string) {
	p.mu.Lock()
	target, ok := p.peers[peerAddress]
	delete(p.peers, peerAddress)
	p.mu.Unlock()
	if ok {
		target.close()
	}
}

// Close closes all connections and waits until the goroutines of the pool have
// ended.
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
	p.goroutines.Wait()
}

func (p *Pool) getOrAddPeer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	if known, ok := p.peers[address]; ok {
		return known, nil
	}
	added := newPeer(p, address)
	p.peers[address] = added
	p.goroutines.Go(added.controlSender.run)
	return added, nil
}

// acquire returns a request connection and counts one more call on it. The
// caller must call endCall.
func (p *Pool) acquire(address string) (*connection, error) {
	target, err := p.getOrAddPeer(address)
	if err != nil {
		return nil, err
	}
	return target.acquire()
}

func (p *Pool) reportControlFailure(address string, envelope *peerpb.Envelope, cause error) {
	if p.settings.OnControlFailed != nil {
		p.settings.OnControlFailed(address, envelope, cause)
	}
}

// runConnectionChecks checks all connections at connectionCheckInterval until
// the pool is closed.
func (p *Pool) runConnectionChecks() {
	ticker := time.NewTicker(connectionCheckInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			p.checkConnections()
		}
	}
}

func (p *Pool) checkConnections() {
	p.mu.Lock()
	peers := make([]*peer, 0, len(p.peers))
	for _, target := range p.peers {
		peers = append(peers, target)
	}
	p.mu.Unlock()
	now := p.settings.Clock.Now()
	for _, target := range peers {
		for _, c := range target.checkConnections(now) {
			p.goroutines.Go(func() { target.probe(c) })
		}
	}
}
