package httptable

import (
	"net"
	"sync"
	"time"
)

// stallConn is a connection on which a read also fails if nothing arrives for the stall time.
type stallConn struct {
	net.Conn

	stall time.Duration
	mu    sync.Mutex
	// deadline is the one that was set, zero for none.
	deadline time.Time
}

func dialStalling(dialer *net.Dialer, address string, stall time.Duration) (net.Conn, error) {
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &stallConn{Conn: conn, stall: stall}, nil
}

// SetReadDeadline sets the deadline of all reads together.
func (c *stallConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.deadline = deadline
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the deadline of all reads and writes together.
func (c *stallConn) SetDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.deadline = deadline
	c.mu.Unlock()
	return c.Conn.SetDeadline(deadline)
}

func (c *stallConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if stalled := time.Now().Add(c.stall); deadline.IsZero() || stalled.Before(deadline) {
		deadline = stalled
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
