package httpupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
)

// pooledConn is a connection of fasthttp's pool.
type pooledConn interface {
	Conn() net.Conn
}

// exchange is one order on one connection.
type exchange struct {
	conn     *trackedConn
	release  func()
	discard  func()
	client   *fasthttp.HostClient
	request  *fasthttp.Request
	response *fasthttp.Response
	reader   *bufio.Reader
	// stopContextWatch ends the watch on the order's context. It returns false if the
	// connection was or is being interrupted.
	stopContextWatch func() bool
	// writeDone is closed when the request was sent whole or failed.
	writeDone chan struct{}
	writeErr  error
	finished  atomic.Bool
}

// acquire takes a connection from the pool. Errors mean that nothing was sent.
func (u *Upstream) acquire(ctx context.Context) (*exchange, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		pooled, err := u.requestPool.AcquireConn(remaining(ctx), false)
		if err != nil {
			return nil, err
		}
		conn := pooledConn(pooled).Conn().(*trackedConn) //nolint:forcetypeassert // The pool dials trackedConns only.
		if conn.hasServedRequest() && !conn.isReusable() {
			u.requestPool.CloseConn(pooled)
			continue
		}
		conn.startRequest(u.inactivityTimeout)
		return &exchange{
			conn:      conn,
			client:    u.requestPool,
			release:   func() { u.requestPool.ReleaseConn(pooled) },
			discard:   func() { u.requestPool.CloseConn(pooled) },
			writeDone: make(chan struct{}),
		}, nil
	}
}

// remaining returns the time until the deadline of ctx, 0 if it has none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Nanosecond)
}

// roundTrip writes the request and reads the head of the answer. The two run at the
// same time if there is a body, as an upstream may answer before the body's end.
func (e *exchange) roundTrip(ctx context.Context, request *fasthttp.Request) error {
	e.request = request
	e.response = fasthttp.AcquireResponse()
	e.response.StreamBody = true
	e.response.Header.SetNoDefaultContentType(true)
	e.response.SkipBody = request.Header.IsHead()
	e.stopContextWatch = context.AfterFunc(ctx, e.closeConnection)
	if request.IsBodyStream() {
		go e.writeRequest()
	} else {
		e.writeRequest()
		if e.writeErr != nil {
			return e.writeErr
		}
	}
	e.reader = e.client.AcquireReader(e.conn)
	if err := e.response.ReadLimitBody(e.reader, 0); err != nil {
		return e.preferWriteError(err)
	}
	return nil
}

func (e *exchange) writeRequest() {
	defer close(e.writeDone)
	writer := e.client.AcquireWriter(e.conn)
	defer e.client.ReleaseWriter(writer)
	err := e.request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err != nil {
		e.writeErr = err
		// Nothing more comes after a failed body. The answer that the upstream
		// may have sent before is still read.
		_ = e.conn.tcp.CloseWrite()
	}
}

// preferWriteError prefers the failure of the request to the missing answer that
// follows from it.
func (e *exchange) preferWriteError(err error) error {
	select {
	case <-e.writeDone:
		if e.writeErr != nil {
			return e.writeErr
		}
	default:
	}
	return err
}

// closeConnection ends all reads and writes of the order.
func (e *exchange) closeConnection() { _ = e.conn.Close() }

// finish gives the connection back if the order left it clean, or closes it. It
// waits for the last read of the order's body.
func (e *exchange) finish(clean bool) {
	if !e.finished.CompareAndSwap(false, true) {
		return
	}
	undisturbed := e.stopContextWatch == nil || e.stopContextWatch()
	sent := false
	select {
	case <-e.writeDone:
		sent = e.writeErr == nil
	default:
	}
	reusable := clean && undisturbed && sent
	if !reusable {
		e.closeConnection()
	}
	if e.request != nil {
		<-e.writeDone
		fasthttp.ReleaseRequest(e.request)
	}
	if e.response != nil {
		reusable = reusable && !e.response.ConnectionClose()
		_ = e.response.CloseBodyStream()
		fasthttp.ReleaseResponse(e.response)
	}
	if e.reader != nil {
		reusable = reusable && e.reader.Buffered() == 0
		e.client.ReleaseReader(e.reader)
	}
	if reusable {
		e.release()
		return
	}
	e.discard()
}

// finishAfterResponse ends the order if the request is over too. If the upstream
// answered without reading it whole, the connection is closed, and Close waits
// for the last read of the order's body.
func (e *exchange) finishAfterResponse(clean bool) {
	select {
	case <-e.writeDone:
		e.finish(clean)
	default:
		e.closeConnection()
	}
}

// sendError classifies the error of an order that got no answer.
func (e *exchange) sendError(ctx context.Context, err error) *upstream.SendError {
	if e.conn.bytesSent.Load() == 0 {
		return upstream.NewSendError(outcome.NewNotRun(notRunReason(ctx, outcome.ReasonUnreachable)), err)
	}
	switch {
	case ctx.Err() != nil:
		return upstream.NewSendError(outcome.NewUnknown(outcome.ReasonTimeout), ctx.Err())
	case isTimeout(err):
		return upstream.NewSendError(outcome.NewUnknown(outcome.ReasonTimeout), errInactivityTimeout)
	case errors.Is(err, io.EOF):
		err = fmt.Errorf("connection closed before an answer: %w", err)
	}
	return upstream.NewSendError(outcome.NewUnknown(outcome.ReasonConnectionLost), err)
}

// isTimeout tells whether the inactivity timeout passed. fasthttp wraps the
// network's error in some places and replaces it in others.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

func notRunReason(ctx context.Context, reason outcome.Reason) outcome.Reason {
	if ctx.Err() != nil {
		return outcome.ReasonDeadlineExceeded
	}
	return reason
}

// acquireError classifies an error of open.
func acquireError(ctx context.Context, err error) *upstream.SendError {
	reason := outcome.ReasonUnreachable
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		reason = outcome.ReasonOverloaded
	}
	return upstream.NewSendError(outcome.NewNotRun(notRunReason(ctx, reason)), err)
}

// responseBody is the streamed body of an answer.
type responseBody struct {
	exchange *exchange
	ctx      context.Context //nolint:containedctx // It ends the reads of this body.
	complete bool
	err      error
}

// Read reads the next part. An answer that ends early gives an error other than
// io.EOF.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.complete {
		return 0, io.EOF
	}
	// The time in which the caller didn't read is not the upstream's.
	b.exchange.conn.extendDeadline()
	n, err := b.exchange.response.BodyStream().Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.complete = true
		b.exchange.finishAfterResponse(true)
		return n, io.EOF
	case b.ctx.Err() != nil:
		err = b.ctx.Err()
	case isTimeout(err):
		err = errInactivityTimeout
	}
	b.err = &TruncatedError{cause: err}
	b.exchange.finishAfterResponse(false)
	return n, b.err
}

// Close ends the order. A body that was not read whole closes the connection.
func (b *responseBody) Close() error {
	if !b.complete && b.err == nil {
		b.err = errBodyClosed
	}
	b.exchange.finish(b.complete)
	return nil
}

var errBodyClosed = errors.New("answer body is closed")

// TruncatedError reports that the body of an answer ended early.
type TruncatedError struct {
	cause error
}

func (e *TruncatedError) Error() string {
	return "answer of the upstream ended early: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.cause }
