package httpserver

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"briarwell.dev/core/internal/idleconn"
)

// statusEnd is the length of "HTTP/1.1 400", with which a response of net/http begins.
const (
	statusBegin = len("HTTP/1.1 ")
	statusEnd   = statusBegin + len("400")
)

// Conn is a connection of a server. It finds the responses that net/http gives without calling the
// handler, for example to a request that it can't parse.
type Conn struct {
	*net.TCPConn

	// awaiting is set from the end of a response until the next request reaches the handler.
	awaiting atomic.Bool
	onStatus func(conn *Conn, status int)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.awaiting.Load() && len(p) >= statusEnd {
		c.awaiting.Store(false) // Such a response is the last one on its connection.
		// A sender that leaves within a head has asked for no response.
		if status, err := strconv.Atoi(string(p[statusBegin:statusEnd])); err == nil && !idleconn.IsClosedByPeer(c.TCPConn) {
			c.onStatus(c, status)
		}
	}
	return c.TCPConn.Write(p)
}

// Listener accepts TCP connections for a server that Watch prepares.
type Listener struct {
	net.Listener

	onStatus func(conn *Conn, status int)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	tcp, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		return conn, err
	}
	watched := &Conn{TCPConn: tcp, onStatus: l.onStatus}
	watched.awaiting.Store(true)
	return watched, nil
}

// Watch returns the listener for a server that is not serving yet. onStatus is called for each
// response that net/http gives without the handler; it must not block.
func Watch(server *http.Server, listener net.Listener, onStatus func(conn *Conn, status int)) *Listener {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(contextKey{}).(*Conn); ok {
			conn.awaiting.Store(false)
		}
		next.ServeHTTP(w, r)
	})
	server.ConnContext = ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if watched, ok := conn.(*Conn); ok && state == http.StateIdle {
			watched.awaiting.Store(true)
		}
	}
	return &Listener{Listener: listener, onStatus: onStatus}
}
