package httpupstream

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"briarwell.dev/core/internal/idleconn"
)

// trackedConn counts the bytes that were given to the kernel for an order, and
// ends reads and writes after a time without progress. The counters are reset
// by begin, before each order.
type trackedConn struct {
	// Conn hides the ReadFrom and WriteTo of the TCP connection, whose bytes
	// would not be counted.
	net.Conn

	tcp               *net.TCPConn
	inactivityTimeout time.Duration
	bytesSent         atomic.Int64
	requestCount      int
}

// startRequest prepares the connection for an order.
func (c *trackedConn) startRequest(inactivity time.Duration) {
	c.inactivityTimeout = inactivity
	c.bytesSent.Store(0)
	c.requestCount++
	c.extendDeadline()
}

// hasServedRequest tells whether the connection carried an order before.
func (c *trackedConn) hasServedRequest() bool { return c.requestCount > 0 }

// extendDeadline moves the end of the inactivity timeout, for both directions: while
// a request body is still going out, its answer is not late.
func (c *trackedConn) extendDeadline() {
	if c.inactivityTimeout > 0 {
		_ = c.SetDeadline(time.Now().Add(c.inactivityTimeout))
	}
}

// clearDeadline ends the inactivity timeout until the next progress: what is awaited
// does not come from the upstream.
func (c *trackedConn) clearDeadline() {
	if c.inactivityTimeout > 0 {
		_ = c.SetDeadline(time.Time{})
	}
}

// Read reads and notes progress.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if n > 0 {
		c.extendDeadline()
	}
	return n, err
}

// Write writes and counts what the kernel took.
func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.tcp.Write(p)
	if n > 0 {
		c.bytesSent.Add(int64(n))
		c.extendDeadline()
	}
	return n, err
}

// isReusable tells whether an idle connection is still open and has no unexpected
// byte waiting.
func (c *trackedConn) isReusable() bool { return idleconn.IsReusable(c.tcp) }

// requestBody is the body of an order. A caller who is slow to send it is not
// taken for an inactive upstream.
type requestBody struct {
	source io.Reader
	conn   *trackedConn
}

// Read reads the next part from the caller.
func (b *requestBody) Read(p []byte) (int, error) {
	b.conn.clearDeadline()
	defer b.conn.extendDeadline()
	return b.source.Read(p)
}
