package grpcpeer

import (
	"context"
	"slices"
	"sync"

	"google.golang.org/grpc/connectivity"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/peer/peerpb"
)

// peer holds the connections to one address.
type peer struct {
	pool          *Pool
	address       string
	controlSender *controlSender

	mu sync.Mutex
	// requestConnections are those for requests.
	requestConnections []*connection
	// controlConnection is nil until the first control message.
	controlConnection *connection
	closed            bool
}

func newPeer(pool *Pool, address string) *peer {
	target := &peer{pool: pool, address: address}
	target.controlSender = newControlSender(target, pool.settings.ControlQueueLength)
	return target
}

// acquire returns the connection with the least work. If that one is crowded,
// another is opened, which gets work when it is set up.
func (p *peer) acquire() (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	best := p.leastLoaded()
	full := len(p.requestConnections) >= p.pool.settings.MaxConnectionsPerPeer
	if best == nil || (best.inFlight.Load() >= newConnectionThreshold && !full) {
		opened, err := dial(p.address, p.pool.settings)
		if err != nil {
			return nil, err
		}
		p.requestConnections = append(p.requestConnections, opened)
		best = p.leastLoaded()
	}
	best.startCall()
	return best, nil
}

// leastLoaded returns the connection with the least work among those that are set up,
// or else among all; nil if there is none.
func (p *peer) leastLoaded() *connection {
	var best *connection
	bestReady := false
	for _, c := range p.requestConnections {
		ready := c.grpcConn.GetState() == connectivity.Ready
		if best == nil || (ready && !bestReady) ||
			(ready == bestReady && c.inFlight.Load() < best.inFlight.Load()) {
			best, bestReady = c, ready
		}
	}
	return best
}

// acquireControl returns the connection for control messages.
func (p *peer) acquireControl() (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	if p.controlConnection == nil {
		opened, err := dial(p.address, p.pool.settings)
		if err != nil {
			return nil, err
		}
		p.controlConnection = opened
	}
	return p.controlConnection, nil
}

// checkConnections returns the connections that must be probed, and closes idle ones.
func (p *peer) checkConnections(now clock.Millis) []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var silent []*connection
	p.requestConnections = slices.DeleteFunc(p.requestConnections, func(c *connection) bool {
		if c.tryStartProbe(now) {
			silent = append(silent, c)
		}
		if !c.isIdle(now) {
			return false
		}
		c.close()
		return true
	})
	if c := p.controlConnection; c != nil && c.tryStartProbe(now) {
		silent = append(silent, c)
	}
	return silent
}

// probe closes the connection unless it answers in time.
func (p *peer) probe(c *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	_, err := c.client.Probe(ctx, &peerpb.ProbeRequest{})
	if err == nil {
		c.endProbe()
		return
	}
	p.remove(c)
	c.close()
	if p.pool.settings.OnSilentConnectionClosed != nil {
		p.pool.settings.OnSilentConnectionClosed(p.address)
	}
}

func (p *peer) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.controlConnection == c {
		p.controlConnection = nil
		return
	}
	p.requestConnections = slices.DeleteFunc(p.requestConnections, func(other *connection) bool { return other == c })
}

func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	connections := p.requestConnections
	if p.controlConnection != nil {
		connections = append(connections, p.controlConnection)
	}
	p.requestConnections, p.controlConnection = nil, nil
	p.mu.Unlock()
	p.controlSender.close()
	for _, c := range connections {
		c.close()
	}
}
