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

	mu                 sync.Mutex
	requestConnections []*connection
	// controlConnection is nil until the first control message.
	controlConnection *connection
	closed            bool
}

func newPeer(pool *Pool, address string) *peer {
	p := &peer{pool: pool, address: address}
	p.controlSender = newControlSender(p, pool.settings.ControlQueueLength)
	return p
}

// acquire returns the least loaded request connection and counts one more call
// on it. If that connection has newConnectionThreshold calls in flight, acquire
// opens a further one, up to MaxConnectionsPerPeer, which gets calls once it is
// set up.
func (p *peer) acquire() (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	least := p.leastLoaded()
	full := len(p.requestConnections) >= p.pool.settings.MaxConnectionsPerPeer
	if least == nil || (least.inFlight.Load() >= newConnectionThreshold && !full) {
		opened, err := dial(p.address, p.pool.settings)
		if err != nil {
			return nil, err
		}
		p.requestConnections = append(p.requestConnections, opened)
		least = p.leastLoaded()
	}
	least.startCall()
	return least, nil
}

// leastLoaded returns the request connection with the fewest calls in flight,
// among those that are set up if there are any; nil if there is no connection.
func (p *peer) leastLoaded() *connection {
	var least *connection
	leastReady := false
	for _, c := range p.requestConnections {
		ready := c.grpcConn.GetState() == connectivity.Ready
		if least == nil || (ready && !leastReady) ||
			(ready == leastReady && c.inFlight.Load() < least.inFlight.Load()) {
			least, leastReady = c, ready
		}
	}
	return least
}

// acquireControl returns the connection for control messages and opens it if
// necessary.
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

// checkConnections closes idle request connections and returns the connections
// that must be probed.
func (p *peer) checkConnections(now clock.Millis) []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var toProbe []*connection
	p.requestConnections = slices.DeleteFunc(p.requestConnections, func(c *connection) bool {
		if c.tryStartProbe(now) {
			toProbe = append(toProbe, c)
		}
		if !c.isIdle(now) {
			return false
		}
		c.close()
		return true
	})
	if c := p.controlConnection; c != nil && c.tryStartProbe(now) {
		toProbe = append(toProbe, c)
	}
	return toProbe
}

// probe sends a probe on the connection and closes the connection unless the
// peer answers within probeTimeout.
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
	if p.pool.settings.OnUnresponsiveConnectionClosed != nil {
		p.pool.settings.OnUnresponsiveConnectionClosed(p.address)
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
