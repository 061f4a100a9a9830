package httpserver

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/connlimit"
	"briarwell.dev/core/internal/idleconn"
	"briarwell.dev/core/memory"
)

const (
	// lingerTime is how long a refused connection stays half-open, so that the client can read
	// the refusal before its own bytes reset the connection.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds what is read of such a client.
	lingerBytes = 256 << 10
	// maxLingering bounds the number of such connections, which hold a descriptor each.
	maxLingering = 32
	// refusalWriteTimeout bounds the writing of a refusal to a client that does not read.
	refusalWriteTimeout = 100 * time.Millisecond
	// writePartBytes is the size of the parts in which responses are written.
	writePartBytes = 64 << 10
	// maxSweepGap is the time in milliseconds between two sweeps from which this process did not
	// run in between.
	maxSweepGap clock.Millis = 3000
	// ConnectionHeapBytes is the memory of the process for a connection: its goroutine and the
	// buffers of net/http.
	ConnectionHeapBytes = 32 << 10
)

// EvictedError reports that a connection was closed for a limit. The request that was read on it is
// not complete.
type EvictedError struct{ reason connlimit.Reason }

// Reason returns the limit.
func (e *EvictedError) Reason() connlimit.Reason { return e.reason }

func (e *EvictedError) Error() string { return "connection is closed for a limit: " + string(e.reason) }

// GuardSettings configures a Guard. The zero value limits nothing.
type GuardSettings struct {
	// MaxConnections is the largest number of connections, 0 for no limit.
	MaxConnections int
	// KernelBufferBytes is what the kernel holds at most of what the client has sent and this process has
	// not read, and as much in the other direction; 0 for what the operating system chooses.
	KernelBufferBytes int
	// Clock is that of the operating system if nil.
	Clock clock.Clock
	// Heads is the memory for the heads of requests, nil for no limit. Guards can share it.
	Heads *memory.Budget
	// Refusal, if set, returns the whole response to a request that is refused before its head was
	// read, or to a connection.
	Refusal func(reason connlimit.Reason) []byte
	// HandlerRefuses is set if the handler refuses the requests for whose heads there is no memory,
	// which HeadRefused reports. Their senders are trusted to keep to the limits for a single one.
	HandlerRefuses bool
	// OnClosing, if set, is called for each connection that is closed for a limit, with the number
	// of connections. It must not block.
	OnClosing func(remote net.Addr, reason connlimit.Reason, connections int)
}

// Guard applies a connlimit.Limiter to the connections of a Listener. Create it with NewGuard.
type Guard struct {
	settings  GuardSettings
	lingering atomic.Int64

	mu      sync.Mutex
	sweptAt clock.Millis
	limiter *connlimit.Limiter
	conns   map[*connlimit.Client]*Conn
}

// NewGuard returns a guard.
func NewGuard(settings GuardSettings) *Guard {
	if settings.Clock == nil {
		settings.Clock = system.Clock{}
	}
	return &Guard{
		settings: settings, sweptAt: settings.Clock.Now(), limiter: connlimit.New(settings.MaxConnections, settings.Heads), conns: make(map[*connlimit.Client]*Conn),
	}
}

// Connections returns the number of connections that count towards the limit.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Connections()
}

// Sweep closes the connections that are overdue. It must be called each second or more often.
// headTimeout is the longest time in milliseconds for the head of a request, 0 for no limit.
func (g *Guard) Sweep(headTimeout clock.Millis, pressure connlimit.Pressure) {
	g.mu.Lock()
	now := g.settings.Clock.Now()
	if now-g.sweptAt >= maxSweepGap {
		g.limiter.Restart(now)
	}
	g.sweptAt = now
	g.limiter.SetHeadTimeout(headTimeout)
	overdue := g.limiter.Overdue(now, pressure, g.hasUnread)
	evicted := make([]evictedConn, 0, len(overdue))
	for _, closing := range overdue {
		g.limiter.Evict(closing.Client())
		evicted = append(evicted, g.evict(closing))
	}
	g.mu.Unlock()
	for _, e := range evicted {
		g.end(e)
	}
}

// hasUnread reports whether a client has sent bytes that were not read. The caller holds g.mu.
func (g *Guard) hasUnread(c *connlimit.Client) bool { return idleconn.HasUnread(g.conns[c].TCPConn) }

// evictedConn is a connection that must be ended without g.mu.
type evictedConn struct {
	conn   *Conn
	phase  connlimit.Phase
	reason connlimit.Reason
}

// evict marks a connection whose client was evicted. The caller holds g.mu.
func (g *Guard) evict(closing connlimit.Closing) evictedConn {
	conn := g.conns[closing.Client()]
	conn.evicted.Store(&EvictedError{reason: closing.Reason()})
	return evictedConn{conn: conn, phase: closing.Phase(), reason: closing.Reason()}
}

// end ends an evicted connection. A read that it interrupts answers the request that is not complete.
func (g *Guard) end(e evictedConn) {
	if e.phase == connlimit.Head || e.phase == connlimit.Body {
		_ = e.conn.SetReadDeadline(time.Now()) // Fails if the connection is closed.
	} else {
		_ = e.conn.TCPConn.Close() // Also interrupts a write.
	}
	g.report(e.conn, e.reason)
}

func (g *Guard) report(conn *Conn, reason connlimit.Reason) {
	if g.settings.OnClosing != nil {
		g.settings.OnClosing(conn.RemoteAddr(), reason, g.Connections())
	}
}

// admit adds a new connection, or refuses it and returns false.
func (g *Guard) admit(conn *Conn) bool {
	if bytes := g.settings.KernelBufferBytes; bytes > 0 {
		// They fail if the connection is closed. Linux doubles the sizes, and keeps half of a receive
		// buffer for its own structures.
		_ = conn.SetReadBuffer(bytes)
		_ = conn.SetWriteBuffer(bytes / 2)
	}
	g.mu.Lock()
	client, closing := g.limiter.Open(g.settings.Clock.Now(), g.hasUnread)
	var replaced evictedConn
	if closing != nil {
		replaced = g.evict(*closing)
	}
	if client != nil {
		conn.guard, conn.client = g, client
		g.conns[client] = conn
	}
	g.mu.Unlock()
	if closing != nil {
		g.end(replaced)
	}
	if client != nil {
		return true
	}
	g.report(conn, connlimit.ReasonTooMany)
	if !g.writeRefusal(conn, connlimit.ReasonTooMany) || g.lingering.Load() >= maxLingering {
		_ = conn.TCPConn.Close()
		return false
	}
	go func() {
		g.linger(conn)
		_ = conn.TCPConn.Close()
	}()
	return false
}

// refuse answers in place of net/http on a connection that is closed afterwards.
func (g *Guard) refuse(conn *Conn, reason connlimit.Reason) {
	if g.writeRefusal(conn, reason) {
		g.linger(conn)
	}
}

// writeRefusal writes the refusal, and reports whether the client can read it.
func (g *Guard) writeRefusal(conn *Conn, reason connlimit.Reason) bool {
	if g.settings.Refusal == nil {
		return false
	}
	_ = conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, err := conn.TCPConn.Write(g.settings.Refusal(reason))
	return err == nil
}

// linger waits until the client has closed the connection, for at most lingerTime, unless too many
// connections wait.
func (g *Guard) linger(conn *Conn) {
	if g.lingering.Add(1) <= maxLingering {
		_ = conn.CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, conn.TCPConn, lingerBytes) // Ends with the deadline at the latest.
	}
	g.lingering.Add(-1)
}

// enter sets the phase of a connection, and returns the one before.
func (g *Guard) enter(c *Conn, phase connlimit.Phase) connlimit.Phase {
	now := g.settings.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	before := c.client.Phase()
	g.limiter.Enter(c.client, phase, now)
	return before
}

// closed removes a closed connection.
func (g *Guard) closed(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Close(c.client)
	delete(g.conns, c.client)
}

// read reads from a connection for net/http.
func (g *Guard) read(c *Conn, p []byte) (int, error) {
	if evicted := c.evicted.Load(); evicted != nil {
		return 0, g.endOfReads(c, evicted)
	}
	g.mu.Lock()
	wait := g.limiter.BeginRead(c.client, g.settings.Clock.Now())
	g.mu.Unlock()
	n, err := c.TCPConn.Read(p)
	g.mu.Lock()
	g.limiter.EndWait(c.client, wait, n, g.settings.Clock.Now())
	exhausted := g.takeHead(c, p[:n])
	g.mu.Unlock()
	if exhausted != nil && c.evicted.CompareAndSwap(nil, exhausted) {
		g.report(c, exhausted.reason)
	}
	if evicted := c.evicted.Load(); evicted != nil {
		return 0, g.endOfReads(c, evicted)
	}
	return n, err
}

// takeHead takes the memory for a part of a head. The caller holds g.mu.
func (g *Guard) takeHead(c *Conn, part []byte) *EvictedError {
	if !c.awaiting.Load() || len(part) == 0 {
		return nil
	}
	head := c.head.cut(part)
	var exhausted *memory.ExhaustedError
	if err := g.limiter.TakeHead(c.client, len(head), countLines(head)); !errors.As(err, &exhausted) {
		return nil
	}
	if g.settings.HandlerRefuses {
		c.headRefused.Store(true)
		return nil
	}
	g.limiter.Evict(c.client)
	return &EvictedError{reason: connlimit.ReasonHeadMemory}
}

// endOfReads answers the request whose head is not complete, if there is one, and returns the error
// of all further reads.
func (g *Guard) endOfReads(c *Conn, evicted *EvictedError) error {
	if !c.awaiting.Load() {
		return evicted
	}
	if c.refused.CompareAndSwap(false, true) && evicted.reason != connlimit.ReasonIdle {
		g.refuse(c, evicted.reason)
	}
	// net/http gives no response of its own after such an error.
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: evicted}
}

// write writes p in parts, so that the progress of a slow client is seen.
func (g *Guard) write(c *Conn, p []byte) (int, error) {
	before := g.enter(c, connlimit.Response)
	if before != connlimit.Body { // While a body is read, net/http only asks for it.
		before = connlimit.Serving
	}
	defer g.enter(c, before)
	written := 0
	for written < len(p) {
		part := p[written:min(written+writePartBytes, len(p))]
		g.mu.Lock()
		wait := g.limiter.BeginWrite(c.client, g.settings.Clock.Now())
		g.mu.Unlock()
		n, err := c.TCPConn.Write(part)
		g.mu.Lock()
		g.limiter.EndWait(c.client, wait, n, g.settings.Clock.Now())
		g.mu.Unlock()
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}
