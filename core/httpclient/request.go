// Package httpclient sends HTTP/1.1 requests with bodies in memory over pooled
// connections. For each failed request it reports whether any byte of it was sent, and it
// returns only complete responses.
package httpclient

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"briarwell.dev/core/httpresponse"
	"briarwell.dev/core/memory"
)

const (
	// maxResponseBytes bounds the body of a response by default.
	maxResponseBytes int64 = 64 << 20
	// maxHeadBytes bounds the heads of the responses to one request, with those of
	// interim responses and of responses to other requests.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the body of a response to another request, which is skipped.
	maxSkippedBytes = 1 << 20
)

// maxUnmatchedResponses is the number of interim responses and of responses to other
// requests after which the connection is closed.
const maxUnmatchedResponses = 4

// Request is a request to send.
type Request struct {
	Method string
	// RequestURI is the path and query, sent unmodified.
	RequestURI string
	Host       string
	// Header holds the fields to send, without Host and those of framing.
	Header http.Header
	Body   []byte
	// AwaitContinue makes the client send the body only after the server has asked for it,
	// so that the server can refuse the request first.
	AwaitContinue bool
	// ResponseIDHeader, if set, is the header field in which the server repeats
	// ResponseID. A response with another ID is a late response to an earlier request. One
	// without an ID is accepted only on a connection that had no earlier request.
	ResponseIDHeader string
	ResponseID       string
	// ResponseIDRequired makes a response without an ID an error on every connection, for a server
	// that repeats the ID in each response: one without it is another program's, or none.
	ResponseIDRequired bool
	// ResponseIDEnd, if set, is the text that ends the ID in that field; other values follow.
	ResponseIDEnd string
	// Memory is charged for the body of the response; nil for no limit.
	Memory *memory.Account
	// MaxResponseBytes bounds the body of the response, 0 for the default of 64 MB.
	MaxResponseBytes int64
	// BeginTimeout bounds the time until the first byte of the response, StallTimeout the time
	// between two parts of it; 0 for no bound. Other than a deadline of the context, they don't
	// bound the size of a response that a slow link can carry.
	BeginTimeout time.Duration
	StallTimeout time.Duration
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error reports a request without a complete response.
type Error struct {
	sent              bool
	complete          bool
	connectionRefused bool
	cause             error
}

// Sent reports whether any byte of the request may have reached the server.
func (e *Error) Sent() bool { return e.sent }

// Complete reports whether the whole request may have reached the server. A server that
// reads the whole request before it acts on it has not acted on an incomplete one.
func (e *Error) Complete() bool { return e.complete }

// ConnectionRefused reports whether no process listens at the address.
func (e *Error) ConnectionRefused() bool { return e.connectionRefused }

// ResponseDropped reports whether the client gave up reading the response, as it was too large
// or there was no memory for it. That says nothing about the server's reachability.
func (e *Error) ResponseDropped() bool {
	return e.sent && isDropped(e.cause)
}

// isDropped reports whether a response was given up for its size or for lack of memory.
func isDropped(err error) bool {
	var tooLarge *memory.TooLargeError
	var exhausted *memory.ExhaustedError
	return errors.As(err, &tooLarge) || errors.As(err, &exhausted)
}

func (e *Error) Error() string {
	if !e.sent {
		return "HTTP request not sent: " + e.cause.Error()
	}
	return "HTTP request got no complete response: " + e.cause.Error()
}

func (e *Error) Unwrap() error { return e.cause }

var (
	errUnmatchedResponses = errors.New("server sent only interim responses or responses to other requests")
	errInvalidHead        = errors.New("method, URI or a header name of the request is empty, or the request head has an invalid character")
)

// MissingIDError reports a response in which the ID of a request is not repeated.
type MissingIDError struct{ status int }

// Status returns the status of the response.
func (e *MissingIDError) Status() int { return e.status }

func (e *MissingIDError) Error() string {
	return fmt.Sprintf("response with status %d has no request ID", e.status)
}

// Do sends the request and returns the response. When ctx ends, it closes the connection,
// which signals the server to stop. The error is an *Error, which wraps an *httpresponse.Error if
// a response came that is not valid or not complete.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if !validHead(r) {
		return Response{}, &Error{cause: errInvalidHead}
	}
	conn, err := c.acquire(ctx, r.ResponseID)
	if err != nil {
		return Response{}, &Error{cause: err, connectionRefused: isConnectionRefused(err)}
	}
	defer c.recordUnused()
	stop := context.AfterFunc(ctx, conn.interrupt)
	response, reusable, err := conn.roundTrip(r)
	notInterrupted := stop()
	if err != nil {
		failure := &Error{sent: conn.bytesSent > 0, complete: conn.requestComplete, cause: err}
		c.discard(conn, failure.ResponseDropped() || errors.Is(ctx.Err(), context.Canceled))
		if ctx.Err() != nil {
			failure.cause = ctx.Err()
		}
		return Response{}, failure
	}
	c.release(conn, reusable && notInterrupted)
	return response, nil
}

// roundTrip writes the request while it reads the response, as a server may respond before
// it has read a long body. It also reports whether the connection can be reused.
func (c *connection) roundTrip(r Request) (Response, bool, error) {
	c.bytesSent, c.requestComplete, c.endedByClose = 0, false, false
	defer func() { c.reused = true }()
	c.headBytesLeft = maxHeadBytes
	c.bounds.begin(r.BeginTimeout, r.StallTimeout)
	defer c.bounds.end()
	if r.AwaitContinue && len(r.Body) > 0 {
		if err := c.writeRequest(r, false); err != nil {
			return Response{}, false, err
		}
		if response, final, err := c.awaitContinue(r); final || err != nil {
			// The server would read the next request as the body of this one.
			return response, false, err
		}
	}
	written := make(chan error, 1)
	if len(r.Body) <= maxInlineBodyBytes {
		if err := c.writeRest(r); err != nil {
			return Response{}, false, err
		}
		written <- nil
	} else {
		go func() { written <- c.writeRest(r) }()
	}
	response, reusable, readErr := c.readResponse(r)
	select {
	case err := <-written:
		return c.finishRoundTrip(response, reusable, err, readErr)
	default:
	}
	if readErr == nil && c.endedByClose {
		select {
		case err := <-written:
			return c.finishRoundTrip(response, reusable, err, readErr)
		case <-time.After(resetWait):
		}
	}
	// The server would read the rest of the body as the next request.
	c.interrupt()
	return c.finishRoundTrip(response, false, <-written, readErr)
}

// resetWait is the time for which the rest of a request is written after its response has ended with
// the connection. A server that has closed the connection resets it within a round trip; one that
// has only ended its own direction does not.
const resetWait = 100 * time.Millisecond

// finishRoundTrip returns the result of a round trip whose request was written and whose response was
// read with the given errors. A reset is reported once only, to the writer or to the reader, which
// otherwise sees the regular end of the stream.
func (c *connection) finishRoundTrip(response Response, reusable bool, writeErr, readErr error) (Response, bool, error) {
	if readErr == nil && c.endedByClose && writeErr != nil && !errors.Is(writeErr, net.ErrClosed) {
		return Response{}, false, httpresponse.NewIncompleteError(response.Status, writeErr)
	}
	return response, reusable && writeErr == nil, readErr
}

// writeRest writes the body if the head was written before, otherwise the whole request.
func (c *connection) writeRest(r Request) error {
	if !r.AwaitContinue || len(r.Body) == 0 {
		return c.writeRequest(r, true)
	}
	_, err := countingWriter{c}.Write(r.Body)
	c.requestComplete = err == nil
	return err
}

// maxInlineBodyBytes is the size of the largest body that is written before the response is
// read. The kernel buffers such a body even if the server doesn't read it.
const maxInlineBodyBytes = 16 << 10

// writeRequest writes the head, and also the body if withBody is true.
func (c *connection) writeRequest(r Request, withBody bool) error {
	w, _ := writers.Get().(*bufio.Writer)
	w.Reset(countingWriter{c})
	defer func() {
		w.Reset(nil) // Drops the connection and a write error.
		writers.Put(w)
	}()
	_, _ = w.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			_, _ = w.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if !withBody {
		_, _ = w.WriteString("Expect: 100-continue\r\n\r\n")
		return w.Flush()
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	err := w.Flush()
	c.requestComplete = err == nil
	return err
}

const writeBufferBytes = 4 << 10

// writers holds the buffers for request heads. One for each request would be a fifth of all
// memory that a sidecar allocates, and one for each connection would lie idle.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }} //nolint:gochecknoglobals // Shared by all clients.

// awaitContinue reads responses until the server asks for the body or refuses the request.
// It reports whether the server responded finally.
func (c *connection) awaitContinue(r Request) (Response, bool, error) {
	for range maxUnmatchedResponses {
		head, err := c.readHead(r)
		if err != nil {
			return Response{}, false, err
		}
		if head.Status() == http.StatusContinue {
			return Response{}, false, nil
		}
		response, _, matched, err := c.finishResponse(r, head)
		if matched || err != nil {
			return response, true, err
		}
	}
	return Response{}, false, errUnmatchedResponses
}

// readResponse reads responses up to the one that matches the request, and reports whether
// the server keeps the connection open.
func (c *connection) readResponse(r Request) (Response, bool, error) {
	for range maxUnmatchedResponses {
		head, err := c.readHead(r)
		if err != nil {
			return Response{}, false, err
		}
		response, reusable, matched, err := c.finishResponse(r, head)
		if matched || err != nil {
			return response, reusable, err
		}
	}
	return Response{}, false, errUnmatchedResponses
}

// readHead reads the head of a response within the limit for the heads of a request.
func (c *connection) readHead(r Request) (*httpresponse.Head, error) {
	head, err := httpresponse.ReadHead(c.reader, r.Method, c.headBytesLeft)
	if err == nil {
		c.headBytesLeft -= head.Size()
	}
	return head, err
}

// finishResponse reads the body that follows a head. It reports whether the server keeps
// the connection open, and whether the response belongs to the request; if not, its body
// was skipped.
func (c *connection) finishResponse(r Request, head *httpresponse.Head) (Response, bool, bool, error) {
	if head.IsInterim() {
		return Response{}, false, false, nil
	}
	source := httpresponse.NewBody(c.reader, head.Framing())
	if matched, err := c.matches(r, head); !matched || err != nil {
		if err == nil {
			err = skipBody(source)
		}
		return Response{}, false, false, err
	}
	size := head.ContentLength()
	switch head.Framing().(type) {
	case httpresponse.NoBody:
		size = 0 // A response to HEAD has the length of a body that it does not have.
	case httpresponse.UntilClose:
		c.endedByClose = true
	}
	body, err := r.Memory.ReadAll(source, size, cmp.Or(r.MaxResponseBytes, maxResponseBytes))
	switch {
	case err == nil:
	case isDropped(err):
		return Response{}, false, false, fmt.Errorf("read response body: %w", err)
	default:
		return Response{}, false, false, httpresponse.NewIncompleteError(head.Status(), err)
	}
	c.setIdleTimeout(head.Header().Get("Keep-Alive"))
	return Response{Status: head.Status(), Header: head.Header(), Body: body}, !head.Closes(), true, nil
}

// matches reports whether a response with the head belongs to the request.
func (c *connection) matches(r Request, head *httpresponse.Head) (bool, error) {
	if r.ResponseIDHeader == "" {
		return true, nil
	}
	id := head.Header().Get(r.ResponseIDHeader)
	if r.ResponseIDEnd != "" {
		id, _, _ = strings.Cut(id, r.ResponseIDEnd)
	}
	switch {
	case id == r.ResponseID:
		return true, nil
	case id != "":
		return false, nil
	case c.reused || r.ResponseIDRequired:
		return false, &MissingIDError{status: head.Status()}
	default:
		return true, nil
	}
}

// skipBody reads the body of a response to another request.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		err = &memory.TooLargeError{}
	}
	return err
}

// setIdleTimeout sets the idle timeout by the server's Keep-Alive header field, which has
// it in whole seconds.
func (c *connection) setIdleTimeout(keepAlive string) {
	_, value, found := strings.Cut(keepAlive, "timeout=")
	if !found {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds <= 0 {
		return
	}
	c.idleTimeout = time.Duration(seconds)*time.Second - idleTimeoutMargin
}

// validHead reports whether the request head is well-formed, so that no text in it ends its
// line or adds a field.
func validHead(r Request) bool {
	if r.Method == "" || r.RequestURI == "" || !validText(r.Method, " ") || !validText(r.RequestURI, " ") || !validText(r.Host, " ") {
		return false
	}
	for name, values := range r.Header {
		if name == "" || !validText(name, " :") {
			return false
		}
		for _, value := range values {
			if !validText(value, "") {
				return false
			}
		}
	}
	return true
}

// validText reports whether the text has no control characters but tabs. If excluded is not
// empty, the text must also have no tabs and none of the excluded characters.
func validText(text, excluded string) bool {
	for i := range len(text) {
		if c := text[i]; (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return excluded == "" || !strings.ContainsAny(text, excluded+"\t")
}
