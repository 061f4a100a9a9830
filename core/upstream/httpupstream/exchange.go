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

	"briarwell.dev/core/httpresponse"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
)

// pooledConn is a connection of fasthttp's connection pool.
type pooledConn interface {
	Conn() net.Conn
}

// exchange is one request and its response on one connection.
type exchange struct {
	conn    *trackedConn
	release func() // returns conn to the pool
	discard func() // closes conn
	client  *fasthttp.HostClient
	request *fasthttp.Request
	reader  *bufio.Reader
	// head and body are those of the response, nil until its head is read.
	head *httpresponse.Head
	body io.Reader
	// stopContextWatch stops the function that closes the connection when the
	// request's context ends. It returns false if that function has already started.
	stopContextWatch func() bool
	// writeDone is closed when the request was sent completely or sending it failed.
	writeDone chan struct{}
	// writeErr may be read only after writeDone is closed.
	writeErr error
	finished atomic.Bool
}

// acquire takes a connection from the pool, and closes connections that can't be
// reused. If it returns an error, nothing was sent.
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

// remaining returns the time until the deadline of ctx, or 0 if it has none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Nanosecond)
}

// roundTrip writes the request and reads the head of the response. If the request has a
// body, both run concurrently, as an upstream may respond before it has read the body.
func (e *exchange) roundTrip(ctx context.Context, request *fasthttp.Request) error {
	e.request = request
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
	head, err := e.readHead(string(request.Header.Method()))
	if err != nil {
		return e.preferWriteError(err)
	}
	e.head, e.body = head, httpresponse.NewBody(e.reader, head.Framing())
	return nil
}

// readHead reads the head of the response after those of interim ones.
func (e *exchange) readHead(method string) (*httpresponse.Head, error) {
	for bytesLeft := maxHeadBytes; ; {
		head, err := httpresponse.ReadHead(e.reader, method, bytesLeft)
		if err != nil || !head.IsInterim() {
			return head, err
		}
		bytesLeft -= head.Size()
	}
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
		// The upstream gets nothing after a failed body. A response that it has
		// already sent can still be read.
		_ = e.conn.tcp.CloseWrite()
	}
}

// preferWriteError returns the write error if sending the request failed, and else err,
// the error of reading the response head: the missing response follows from the failed
// request.
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

// closeConnection makes all reads and writes of the exchange fail.
func (e *exchange) closeConnection() { _ = e.conn.Close() }

// finish returns the connection to the pool if it can be reused, and else closes it. It
// waits for the last read of the request body. responseRead says whether the response
// was read completely.
func (e *exchange) finish(responseRead bool) {
	if !e.finished.CompareAndSwap(false, true) {
		return
	}
	notCancelled := e.stopContextWatch == nil || e.stopContextWatch()
	requestSent := false
	select {
	case <-e.writeDone:
		requestSent = e.writeErr == nil
	default:
	}
	reusable := responseRead && notCancelled && requestSent
	if !reusable {
		e.closeConnection()
	}
	if e.request != nil {
		<-e.writeDone
		fasthttp.ReleaseRequest(e.request)
	}
	reusable = reusable && e.head != nil && !e.head.Closes()
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

// finishAfterResponse finishes the exchange if the request has been sent or has failed.
// Else the upstream responded before it had read the whole request: the connection is
// closed, and responseBody.Close waits for the last read of the request body.
func (e *exchange) finishAfterResponse(responseRead bool) {
	select {
	case <-e.writeDone:
		e.finish(responseRead)
	default:
		e.closeConnection()
	}
}

// resetWait is the time for which the rest of a request is written after its response has ended with
// the connection. An upstream that has closed the connection resets it within a round trip; one that
// has only ended its own direction does not.
const resetWait = 100 * time.Millisecond

// resetCause returns why a body that has ended is incomplete all the same, nil if it is complete. If
// its end is that of the connection, a reset may have been reported to the writer of the request only.
func (e *exchange) resetCause(ctx context.Context) error {
	if _, ok := e.head.Framing().(httpresponse.UntilClose); !ok {
		return nil
	}
	select {
	case <-e.writeDone:
	case <-ctx.Done():
		e.closeConnection()
	case <-time.After(resetWait):
		e.closeConnection()
	}
	return e.conn.writeFailure()
}

// sendError returns the error of a request that got no response head. The outcome is
// NotRun only if no byte of the request was written.
func (e *exchange) sendError(ctx context.Context, err error) *upstream.SendError {
	if e.conn.bytesSent.Load() == 0 {
		return upstream.NewSendError(outcome.NewNotRun(notRunReason(ctx, outcome.ReasonUnreachable)), err)
	}
	var invalid *httpresponse.Error
	switch {
	case errors.As(err, &invalid):
		return upstream.NewSendError(outcome.NewUnknown(outcome.ReasonInvalidResponse), err)
	case ctx.Err() != nil:
		return upstream.NewSendError(outcome.NewUnknown(outcome.ReasonTimeout), ctx.Err())
	case isTimeout(err):
		return upstream.NewSendError(outcome.NewUnknown(outcome.ReasonTimeout), errInactivityTimeout)
	case errors.Is(err, io.EOF):
		err = fmt.Errorf("upstream closed the connection before it sent a response head: %w", err)
	}
	return upstream.NewSendError(outcome.NewUnknown(outcome.ReasonConnectionLost), err)
}

// isTimeout reports whether err is due to the inactivity timeout. It asks any wrapped
// error for Timeout, as fasthttp wraps the network error in some places and replaces it
// in others.
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

// acquireError returns the SendError for an error of acquire.
func acquireError(ctx context.Context, err error) *upstream.SendError {
	reason := outcome.ReasonUnreachable
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		reason = outcome.ReasonOverloaded
	}
	return upstream.NewSendError(outcome.NewNotRun(notRunReason(ctx, reason)), err)
}

// responseBody is the streamed body of a response.
type responseBody struct {
	exchange *exchange
	ctx      context.Context //nolint:containedctx // Its end makes reads of this body fail.
	complete bool
	err      error
}

// Read reads the next bytes of the body. It returns a *TruncatedError if the body ends
// early.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.complete {
		return 0, io.EOF
	}
	// The time since the last read was spent by the caller and does not count as
	// inactivity of the upstream.
	b.exchange.conn.extendDeadline()
	n, err := b.exchange.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		cause := b.exchange.resetCause(b.ctx)
		if cause == nil {
			b.complete = true
			b.exchange.finishAfterResponse(true)
			return n, io.EOF
		}
		err = cause
	case b.ctx.Err() != nil:
		err = b.ctx.Err()
	case isTimeout(err):
		err = errInactivityTimeout
	}
	b.err = &TruncatedError{cause: err}
	b.exchange.finishAfterResponse(false)
	return n, b.err
}

// Close finishes the exchange. It closes the connection if the body was not read
// completely.
func (b *responseBody) Close() error {
	if !b.complete && b.err == nil {
		b.err = errBodyClosed
	}
	b.exchange.finish(b.complete)
	return nil
}

var errBodyClosed = errors.New("read of a closed response body")

// TruncatedError reports that the body of a response ended early.
type TruncatedError struct {
	cause error
}

func (e *TruncatedError) Error() string {
	return "answer of the upstream ended early: " + e.cause.Error()
}

func (e *TruncatedError) Unwrap() error { return e.cause }
