package httpserver

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"briarwell.dev/core/connlimit"
	"briarwell.dev/core/internal/idleconn"
)

// statusEnd is the length of "HTTP/1.1 400", with which a response of net/http begins.
const (
	statusBegin = len("HTTP/1.1 ")
	statusEnd   = statusBegin + len("400")
)

// Conn is a connection of a server. It finds the responses that net/http gives without calling the
// handler, for example to a request that it can't parse, and applies the limits of a Guard.
type Conn struct {
	*net.TCPConn

	// awaiting is set from the end of a response until the next request reaches the handler.
	awaiting atomic.Bool
	onStatus func(conn *Conn, status int)

	// guard and client are nil without a guard.
	guard  *Guard
	client *connlimit.Client
	// head finds the end of the head that is read.
	head headScanner
	// evicted is set once the connection is closed for a limit, refused once a refusal was written
	// in place of net/http.
	evicted atomic.Pointer[EvictedError]
	refused atomic.Bool
	// headRefused is set if there is no memory for the head of the request, which the handler refuses.
	headRefused atomic.Bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.guard == nil {
		return c.TCPConn.Read(p)
	}
	return c.guard.read(c, p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.guard != nil {
		c.guard.closed(c)
	}
	return c.TCPConn.Close()
}

// beginServing is called when a request has reached the handler. It reports whether the request may be
// served: its connection may have been evicted while the end of the head was read.
func (c *Conn) beginServing() bool {
	c.awaiting.Store(false)
	if c.guard == nil {
		return true
	}
	c.guard.enter(c, connlimit.Serving)
	return c.evicted.Load() == nil
}

// endHandler is called when the handler of a request has returned. The server reads the rest of a body
// before the next request.
func (c *Conn) endHandler(r *http.Request) {
	if c.guard != nil && r.ContentLength != 0 {
		c.guard.enter(c, connlimit.Body)
	}
}

// endServing is called when the response to a request was written.
func (c *Conn) endServing() {
	c.awaiting.Store(true)
	if c.guard != nil {
		c.head = headScanner{}
		c.headRefused.Store(false)
		c.guard.enter(c, connlimit.Idle)
	}
}

// readBody reads a part of a request's body.
func (c *Conn) readBody(body io.Reader, p []byte) (int, error) {
	if c.guard == nil {
		return body.Read(p)
	}
	c.guard.enter(c, connlimit.Body)
	n, err := body.Read(p)
	c.guard.enter(c, connlimit.Serving)
	if evicted := c.evicted.Load(); evicted != nil {
		return n, evicted
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.awaiting.Load() && len(p) >= statusEnd {
		c.awaiting.Store(false) // Such a response is the last one on its connection.
		// A sender that leaves within a head has asked for no response.
		if status, err := strconv.Atoi(string(p[statusBegin:statusEnd])); err == nil && c.onStatus != nil && !idleconn.IsClosedByPeer(c.TCPConn) {
			c.onStatus(c, status)
		}
	}
	if c.guard == nil {
		return c.TCPConn.Write(p)
	}
	return c.guard.write(c, p)
}

// Listener accepts TCP connections for a server that Watch prepares.
type Listener struct {
	net.Listener

	onStatus func(conn *Conn, status int)
	guard    *Guard
}

// WithGuard makes the listener apply the limits of a guard. It returns l, which must not be in use yet.
func (l *Listener) WithGuard(guard *Guard) *Listener {
	l.guard = guard
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		tcp, ok := conn.(*net.TCPConn)
		if err != nil || !ok {
			return conn, err
		}
		watched := &Conn{TCPConn: tcp, onStatus: l.onStatus}
		watched.awaiting.Store(true)
		if l.guard == nil || l.guard.admit(watched) {
			return watched, nil
		}
	}
}

// Watch returns the listener for a server that is not serving yet. onStatus is called for each
// response that net/http gives without the handler, unless it is nil; it must not block.
func Watch(server *http.Server, listener net.Listener, onStatus func(conn *Conn, status int)) *Listener {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(contextKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !conn.beginServing() {
			conn.guard.refuse(conn, conn.evicted.Load().reason)
			panic(http.ErrAbortHandler) // Closes the connection.
		}
		next.ServeHTTP(w, r)
		conn.endHandler(r)
	})
	server.ConnContext = ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if watched, ok := conn.(*Conn); ok && state == http.StateIdle {
			watched.endServing()
		}
	}
	return &Listener{Listener: listener, onStatus: onStatus}
}
