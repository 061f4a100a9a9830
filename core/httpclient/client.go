package httpclient

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"briarwell.dev/core/internal/idleconn"
)

const (
	// dialTimeout bounds the opening of a connection. Between regions it takes
	// 40 ms; a lost packet is sent again after a second, so that a second attempt
	// is better than waiting.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose bytes are not acknowledged: a
	// connection that went silent is found only so.
	unackedTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a silent
	// connection that only waits: its requests end within 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// fastKeepAliveIdle, watchfulInterval and watchfulCount are those of connections
	// on which an answer may be awaited for long.
	fastKeepAliveIdle     = 500 * time.Millisecond
	fastKeepAliveInterval = 300 * time.Millisecond
	fastKeepAliveCount    = 2
	// defaultIdleTimeout is for how long an unused connection is kept if the receiver
	// does not say.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is how much earlier than the receiver's limit a connection is
	// given up, so that no request crosses the receiver's close.
	idleTimeoutMargin = 700 * time.Millisecond
)

// Client sends requests to one address. Create it with New. It is safe for
// concurrent use.
type Client struct {
	address string
	dialer  net.Dialer
	mu      sync.Mutex
	idle    []*connection
	closed  bool
}

type connection struct {
	net.Conn

	reader      *bufio.Reader
	bytesSent   int
	idleSince   time.Time
	idleTimeout time.Duration
}

type countingWriter struct{ conn *connection }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.conn.bytesSent += n
	return n, err
}

// interrupt ends all reads and writes.
func (c *connection) interrupt() { _ = c.Close() }

// New returns a client of the address, an IP and port. A localIP other than nil
// is that of its connections.
func New(address string, localIP net.IP) *Client {
	c := &Client{address: address}
	c.dialer = net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	if localIP != nil {
		c.dialer.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	return c
}

// WithFastKeepAlive makes the client find a connection that went silent within 1.1 s also
// while it only waits. It returns c, which must not be in use yet.
func (c *Client) WithFastKeepAlive() *Client {
	c.dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable: true, Idle: fastKeepAliveIdle, Interval: fastKeepAliveInterval, Count: fastKeepAliveCount,
	}
	return c
}

// setUserTimeout bounds the time in which sent bytes must be acknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// acquire returns an idle connection that is still good, or a new one.
func (c *Client) acquire(ctx context.Context) (*connection, error) {
	for {
		conn := c.popIdle()
		if conn == nil {
			break
		}
		if time.Since(conn.idleSince) < conn.idleTimeout && conn.reader.Buffered() == 0 && isReusable(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReader(raw), idleTimeout: defaultIdleTimeout}, nil
}

func isReusable(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	return ok && idleconn.IsReusable(tcp)
}

// ClosedByPeer tells whether the sender of a request that was read from conn has closed it:
// nobody waits for the answer any more.
func ClosedByPeer(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	return ok && idleconn.IsClosedByPeer(tcp)
}

func (c *Client) popIdle() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return last
}

// release puts a connection back, or closes it.
func (c *Client) release(conn *connection, keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !keep || c.closed || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	conn.idleSince = time.Now()
	c.idle = append(c.idle, conn)
}

// discard closes a connection whose request failed. The other idle ones may be as
// dead as it is: they are closed too.
func (c *Client) discard(conn *connection) {
	_ = conn.Close()
	c.CloseIdle()
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	unused := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, conn := range unused {
		_ = conn.Close()
	}
}

// Close closes the idle connections and keeps no others.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseIdle()
}

// RefusesConnections tells whether no process listens at the address.
func (c *Client) RefusesConnections(ctx context.Context) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return isConnectionRefused(err)
	}
	_ = conn.Close()
	return false
}
