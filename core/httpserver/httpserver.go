// Package httpserver supplements net/http servers for requests that are forwarded: it tells a sender
// that stalls from a process that reads too late, and finds out whether the sender has disconnected.
// Load pattern: senders that stall or leave while they send large bodies, on a machine that stands
// still for seconds.
package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/internal/idleconn"
)

// contextKey is the context key of the connection of a request.
type contextKey struct{}

// ConnContext is the ConnContext of a server whose requests are passed to SenderDisconnected and
// NewBody.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// connOf returns the connection of a request, nil if it is not known.
func connOf(ctx context.Context) syscall.Conn {
	conn, _ := ctx.Value(contextKey{}).(syscall.Conn)
	return conn
}

// SenderDisconnected reports whether the sender of a request has closed the connection
// or cancelled the request. A request that was delayed on its way may arrive together
// with the end of its connection, which net/http detects too late to keep the request
// from the upstream.
func SenderDisconnected(ctx context.Context) bool {
	conn := connOf(ctx)
	return ctx.Err() != nil || conn != nil && idleconn.IsClosedByPeer(conn)
}

// HeadRefused reports whether there is no memory for the head of a request, which the handler must refuse
// at once. Only a Guard whose handler refuses reports it.
func HeadRefused(ctx context.Context) bool {
	conn, ok := ctx.Value(contextKey{}).(*Conn)
	return ok && conn.headRefused.Load()
}

// SetWriteBuffer sets the size in bytes of the kernel's buffer for what is sent on the connection of a
// request. It does nothing if the connection is not known or has no such buffer.
func SetWriteBuffer(ctx context.Context, bytes int) {
	if conn, ok := ctx.Value(contextKey{}).(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = conn.SetWriteBuffer(bytes) // Fails if the connection is closed.
	}
}

// LateError reports that the time for reading a body had passed before this process read what the
// sender had sent.
type LateError struct{}

func (e *LateError) Error() string { return "body was not read in time" }

// Body is the body of a request that must arrive by a deadline.
type Body struct {
	body       io.ReadCloser
	conn       syscall.Conn
	controller *http.ResponseController
	deadline   time.Time
	begun      bool
	ctx        context.Context //nolint:containedctx // That of the request, which the body belongs to.
	// stop ends the watch of ctx.
	stop func() bool
}

// NewBody returns the body of a request, which must be read within timeout from now and before the
// context of the request ends. A read after that returns an os.ErrDeadlineExceeded if the sender has stalled, a *LateError if there were bytes
// to read, an *EvictedError if a Guard has closed the connection, and otherwise that of the body.
func NewBody(w http.ResponseWriter, r *http.Request, timeout clock.Millis) *Body {
	return &Body{body: r.Body, conn: connOf(r.Context()), controller: http.NewResponseController(w), deadline: time.Now().Add(timeout.Duration()), ctx: r.Context()}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.body == http.NoBody {
		// net/http already waits for the next request, of which a deadline would cancel the context.
		return b.body.Read(p)
	}
	if !b.begun {
		// A connection that takes no deadline is closed, which the read reports.
		b.begun = true
		_ = b.controller.SetReadDeadline(b.deadline)
		b.stop = context.AfterFunc(b.ctx, func() { _ = b.controller.SetReadDeadline(time.Now()) })
	}
	n, err := b.read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && b.conn != nil && idleconn.HasUnread(b.conn):
		err = &LateError{}
	}
	b.Release()
	// The server goes on reading, to notice that the sender disconnects.
	_ = b.controller.SetReadDeadline(time.Time{})
	return n, err
}

func (b *Body) read(p []byte) (int, error) {
	if conn, ok := b.conn.(*Conn); ok {
		return conn.readBody(b.body, p)
	}
	return b.body.Read(p)
}

// Release ends the watch of the request's context, which ends with the handler: later it would break
// off the next request on the connection.
func (b *Body) Release() {
	if b.stop != nil {
		b.stop()
	}
}

// Close implements io.Closer.
func (b *Body) Close() error { return b.body.Close() }
