package httpclient

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"briarwell.dev/core/internal/idleconn"
)

const (
	// dialTimeout bounds the opening of a connection, which takes 40 ms between regions. A
	// lost SYN packet is retransmitted only after a second, so a second attempt is better
	// than waiting.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is the time without an acknowledgement of sent bytes after which a
	// connection is closed. Nothing else detects a dead connection with unacknowledged bytes.
	unackedTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection that only
	// waits for a response: its requests end within 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// fastKeepAliveIdle, fastKeepAliveInterval and fastKeepAliveCount apply to connections
	// on which a response may take long.
	fastKeepAliveIdle     = 500 * time.Millisecond
	fastKeepAliveInterval = 300 * time.Millisecond
	fastKeepAliveCount    = 2
	// defaultIdleTimeout is the time after which an idle connection is closed if the server
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is the time by which a connection is closed before the server's idle
	// timeout, so that no request is sent while the server closes the connection.
	idleTimeoutMargin = 700 * time.Millisecond
)

// Client sends requests to one address. Create it with New. It is safe for concurrent use.
type Client struct {
	address string
	dialer  net.Dialer
	// idleTimeout is the time after which an idle connection is closed if the server
	// sends no Keep-Alive timeout.
	idleTimeout time.Duration
	// distinctSends is set if requests with the same response ID use different connections.
	distinctSends bool

	mu     sync.Mutex
	idle   []*connection
	closed bool
	// inUse is the number of connections that carry a request.
	inUse int
	// connectedAt is when the newest connection was opened, the zero time if none was.
	connectedAt time.Time
}

// connection is a connection to the server with the state that the pool needs.
type connection struct {
	net.Conn

	reader *bufio.Reader
	bounds *boundedReader
	// headBytesLeft is the number of bytes that the further heads of responses to the current
	// request may have.
	headBytesLeft int
	// bytesSent counts the bytes sent for the current request, requestComplete is true once
	// all of them are sent.
	bytesSent       int
	requestComplete bool
	// endedByClose is true if the body of the response has no length and ended with the connection.
	endedByClose bool
	// reused is true if the connection has carried a request before.
	reused bool
	// sentIDs are hashes of the response IDs of all requests that the connection has carried, if
	// the client has distinctSends set.
	sentIDs []uint64
	// idleSince is valid while the connection is idle. It is not reused after idleTimeout.
	idleSince   time.Time
	idleTimeout time.Duration
}

// countingWriter counts the bytes written to the connection in bytesSent.
type countingWriter struct{ conn *connection }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.conn.bytesSent += n
	return n, err
}

// boundedReader reads from a connection within the times for one response.
type boundedReader struct {
	conn net.Conn
	// timeout bounds the next read, stallTimeout those after it; 0 for no bound.
	timeout      time.Duration
	stallTimeout time.Duration
}

// begin sets the bounds for the reads of one response.
func (b *boundedReader) begin(timeout, stallTimeout time.Duration) {
	b.timeout, b.stallTimeout = timeout, stallTimeout
}

// end removes the bounds.
func (b *boundedReader) end() {
	if b.timeout > 0 || b.stallTimeout > 0 {
		b.timeout, b.stallTimeout = 0, 0
		_ = b.conn.SetReadDeadline(time.Time{}) // Fails if the connection is closed.
	}
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.timeout > 0 {
		if err := b.conn.SetReadDeadline(time.Now().Add(b.timeout)); err != nil {
			return 0, err
		}
	}
	n, err := b.conn.Read(p)
	if n > 0 && b.timeout != b.stallTimeout {
		b.timeout = b.stallTimeout
		if b.timeout == 0 {
			err = errors.Join(err, b.conn.SetReadDeadline(time.Time{}))
		}
	}
	return n, err
}

// interrupt ends all reads and writes by closing the connection.
func (c *connection) interrupt() { _ = c.Close() }

// New returns a client for the address, an IP and port. If localIP is not nil, connections
// are opened from it.
func New(address string, localIP net.IP) *Client {
	c := &Client{address: address, idleTimeout: defaultIdleTimeout}
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

// WithFastKeepAlive makes the client detect a dead connection within 1.1 s even while it
// only waits for a response. It returns c, which must not be in use yet.
func (c *Client) WithFastKeepAlive() *Client {
	c.dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable: true, Idle: fastKeepAliveIdle, Interval: fastKeepAliveInterval, Count: fastKeepAliveCount,
	}
	return c
}

// WithDistinctSends makes the client send requests with the same response ID on different
// connections, for a server that may send a response once more, late: the ID does not tell that
// from the response to a later send. It returns c, which must not be in use yet.
func (c *Client) WithDistinctSends() *Client {
	c.distinctSends = true
	return c
}

// WithIdleTimeout sets the time for which an idle connection is kept if the server sends no
// Keep-Alive timeout. It must be shorter than that of the server. It returns c, which must
// not be in use yet.
func (c *Client) WithIdleTimeout(timeout time.Duration) *Client {
	c.idleTimeout = timeout
	return c
}

// setUserTimeout sets the TCP user timeout of a socket to unackedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// acquire returns a reusable idle connection or a new one. With distinctSends, it has not
// carried the response ID before.
func (c *Client) acquire(ctx context.Context, responseID string) (*connection, error) {
	idHash := uint64(0)
	if c.distinctSends && responseID != "" {
		idHash = maphash.String(hashSeed, responseID)
	}
	for {
		conn := c.popIdle(idHash)
		if conn == nil {
			break
		}
		if time.Since(conn.idleSince) < conn.idleTimeout && conn.reader.Buffered() == 0 && isReusable(conn.Conn) {
			conn.recordSend(idHash)
			return conn, nil
		}
		_ = conn.Close()
		c.recordUnused()
	}
	tcp, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	bounds := &boundedReader{conn: tcp}
	conn := &connection{Conn: tcp, reader: bufio.NewReader(bounds), bounds: bounds, idleTimeout: c.idleTimeout}
	conn.recordSend(idHash)
	c.mu.Lock()
	c.inUse++
	c.connectedAt = time.Now()
	c.mu.Unlock()
	return conn, nil
}

// isReusable reports whether an idle connection is open and has no unexpected bytes to read.
func isReusable(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	return ok && idleconn.IsReusable(tcp)
}

// popIdle removes and returns the idle connection that was used last and has not carried the
// response ID with the hash, 0 for none. It returns nil if there is none.
func (c *Client) popIdle(idHash uint64) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idle) - 1; i >= 0; i-- {
		if conn := c.idle[i]; !slices.Contains(conn.sentIDs, idHash) {
			c.idle = slices.Delete(c.idle, i, i+1)
			c.inUse++
			return conn
		}
	}
	return nil
}

// recordUnused records that a connection that was in use is idle or closed.
func (c *Client) recordUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse--
}

// HasOpenConnection reports whether the server has left a connection open, so that its process has
// not ended. One that carries a request counts as open until the request has failed.
func (c *Client) HasOpenConnection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inUse > 0 || slices.ContainsFunc(c.idle, func(conn *connection) bool { return isReusable(conn.Conn) })
}

// ConnectedAt returns when the newest connection was opened, the zero time if none was.
func (c *Client) ConnectedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connectedAt
}

// hashSeed is shared, so that a hash is valid for all connections of a client.
var hashSeed = maphash.MakeSeed() //nolint:gochecknoglobals // Constant after the start.

// recordSend records that the connection carries a request with the hash of a response ID, 0 for
// none.
func (c *connection) recordSend(idHash uint64) {
	if idHash != 0 {
		c.sentIDs = append(c.sentIDs, idHash)
	}
}

// maxSentIDs is the number of requests after which a connection that remembers their IDs is
// closed.
const maxSentIDs = 512

// release returns a connection to the pool, or closes it if it is not reusable.
func (c *Client) release(conn *connection, reusable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !reusable || c.closed || conn.reader.Buffered() > 0 || len(conn.sentIDs) >= maxSentIDs {
		_ = conn.Close()
		return
	}
	conn.idleSince = time.Now()
	c.idle = append(c.idle, conn)
}

// discard closes a connection whose request failed. Unless the client itself ended it, it also
// closes all idle connections, as they may be dead for the same reason.
func (c *Client) discard(conn *connection, endedByClient bool) {
	_ = conn.Close()
	if !endedByClient {
		c.CloseIdle()
	}
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

// Close closes the idle connections. Those in use are closed after their request.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseIdle()
}

// RefusesConnections reports whether no process listens at the address, by opening a
// connection.
func (c *Client) RefusesConnections(ctx context.Context) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return isConnectionRefused(err)
	}
	_ = conn.Close()
	return false
}
