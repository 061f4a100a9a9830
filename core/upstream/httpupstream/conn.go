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

	tcp        *net.TCPConn
	inactivity time.Duration
	sent       atomic.Int64
	orders     int
}

// begin prepares the connection for an order.
func (c *trackedConn) begin(inactivity time.Duration) {
	c.inactivity = inactivity
	c.sent.Store(0)
	c.orders++
	c.progress()
}

// reused tells whether the connection carried an order before.
func (c *trackedConn) reused() bool { return c.orders > 0 }

// progress moves the end of the inactivity timeout, for both directions: while
// a request body is still going out, its answer is not late.
func (c *trackedConn) progress() {
	if c.inactivity > 0 {
		_ = c.SetDeadline(time.Now().Add(c.inactivity))
	}
}

// suspend ends the inactivity timeout until the next progress: what is awaited
// does not come from the upstream.
func (c *trackedConn) suspend() {
	if c.inactivity > 0 {
		_ = c.SetDeadline(time.Time{})
	}
}

// Read reads and notes progress.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if n > 0 {
		c.progress()
	}
	return n, err
}

// Write writes and counts what the kernel took.
func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.tcp.Write(p)
	if n > 0 {
		c.sent.Add(int64(n))
		c.progress()
	}
	return n, err
}

// usable tells whether an idle connection is still open and has no unexpected
// byte waiting.
func (c *trackedConn) usable() bool { return idleconn.IsReusable(c.tcp) }

// callerBody is the body of an order. A caller who is slow to send it is not
// taken for an inactive upstream.
type callerBody struct {
	inner io.Reader
	conn  *trackedConn
}

// Read reads the next part from the caller.
func (b *callerBody) Read(p []byte) (int, error) {
	b.conn.suspend()
	defer b.conn.progress()
	return b.inner.Read(p)
}
