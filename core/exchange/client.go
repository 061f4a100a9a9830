package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"briarwell.dev/core/internal/idle"
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
	// watchfulIdle, watchfulInterval and watchfulCount are those of connections
	// on which an answer may be awaited for long.
	watchfulIdle     = 500 * time.Millisecond
	watchfulInterval = 300 * time.Millisecond
	watchfulCount    = 2
	// defaultIdle is for how long an unused connection is kept if the receiver
	// does not say.
	defaultIdle = 8 * time.Second
	// idleMargin is how much earlier than the receiver's limit a connection is
	// given up, so that no request crosses the receiver's close.
	idleMargin = 700 * time.Millisecond
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

	reader    *bufio.Reader
	sent      int
	idleSince time.Time
	idleLimit time.Duration
}

type countingWriter struct{ c *connection }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Write(p)
	w.c.sent += n
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
		Control: control,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	if localIP != nil {
		c.dialer.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	return c
}

// Watchful makes the client find a connection that went silent within 1.1 s also
// while it only waits. It returns c, which must not be in use yet.
func (c *Client) Watchful() *Client {
	c.dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable: true, Idle: watchfulIdle, Interval: watchfulInterval, Count: watchfulCount,
	}
	return c
}

// control bounds the time in which sent bytes must be acknowledged.
func control(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// take returns an idle connection that is still good, or a new one.
func (c *Client) take(ctx context.Context) (*connection, error) {
	for {
		conn := c.pop()
		if conn == nil {
			break
		}
		if time.Since(conn.idleSince) < conn.idleLimit && conn.reader.Buffered() == 0 && clean(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReader(raw), idleLimit: defaultIdle}, nil
}

func clean(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	return ok && idle.Clean(tcp)
}

// Left tells whether the sender of a request that was read from conn has closed it:
// nobody waits for the answer any more.
func Left(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	return ok && idle.Closed(tcp)
}

func (c *Client) pop() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return last
}

// give puts a connection back, or closes it.
func (c *Client) give(conn *connection, keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !keep || c.closed || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	conn.idleSince = time.Now()
	c.idle = append(c.idle, conn)
}

// drop closes a connection whose request failed. The other idle ones may be as
// dead as it is: they are closed too.
func (c *Client) drop(conn *connection) {
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

// Refuses tells whether no process listens at the address.
func (c *Client) Refuses(ctx context.Context) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return isRefused(err)
	}
	_ = conn.Close()
	return false
}
