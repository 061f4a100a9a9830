package httpupstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"briarwell.dev/core/internal/idleconn"
)

// trackedConn counts the bytes of a request that were written to the kernel, and fails
// reads and writes after a time in which no byte was transferred. startRequest resets
// the count before each request.
type trackedConn struct {
	// Conn hides the ReadFrom and WriteTo methods of the TCP connection: bytes that
	// they transfer would not be counted.
	net.Conn

	tcp               *net.TCPConn
	inactivityTimeout time.Duration
	bytesSent         atomic.Int64
	requestCount      int

	// writing is held during a write to tcp and guards writeErr, the first failure of a write that
	// is not due to a close by this process.
	writing  sync.Mutex
	writeErr error
}

// startRequest resets the byte count and the deadline for the next request.
func (c *trackedConn) startRequest(inactivityTimeout time.Duration) {
	c.inactivityTimeout = inactivityTimeout
	c.bytesSent.Store(0)
	c.requestCount++
	c.extendDeadline()
}

// hasServedRequest reports whether the connection has carried an earlier request.
func (c *trackedConn) hasServedRequest() bool { return c.requestCount > 0 }

// extendDeadline restarts the inactivity timeout for both directions: while a request
// body is still being sent, its response is not late.
func (c *trackedConn) extendDeadline() {
	if c.inactivityTimeout > 0 {
		_ = c.SetDeadline(time.Now().Add(c.inactivityTimeout))
	}
}

// clearDeadline suspends the inactivity timeout until the next call of extendDeadline.
// It is for waits in which the upstream is not the one to act.
func (c *trackedConn) clearDeadline() {
	if c.inactivityTimeout > 0 {
		_ = c.SetDeadline(time.Time{})
	}
}

// Read reads from the connection and extends the deadline if it read any bytes.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if n > 0 {
		c.extendDeadline()
	}
	return n, err
}

// Write writes to the connection, and counts the bytes that the kernel accepted and
// extends the deadline if there were any.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(p)
	if err != nil && c.writeErr == nil && !errors.Is(err, net.ErrClosed) {
		c.writeErr = err
	}
	if n > 0 {
		c.bytesSent.Add(int64(n))
		c.extendDeadline()
	}
	return n, err
}

// writeFailure returns why a write failed, nil if none has. It waits for a write in progress.
func (c *trackedConn) writeFailure() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// isReusable reports whether an idle connection is still open and has no unexpected
// data to read.
func (c *trackedConn) isReusable() bool { return idleconn.IsReusable(c.tcp) }

// requestBody is the body of a request. It suspends the inactivity timeout while it
// waits for the caller, so that a slow caller does not count as an inactive upstream.
type requestBody struct {
	source io.Reader
	conn   *trackedConn
}

// Read reads the next bytes of the body from the caller.
func (b *requestBody) Read(p []byte) (int, error) {
	b.conn.clearDeadline()
	defer b.conn.extendDeadline()
	return b.source.Read(p)
}
