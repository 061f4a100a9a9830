// Package exchange sends HTTP/1.1 requests whose bodies are in memory over
// pooled connections, and tells what became of each: whether any byte of it was
// sent, and whether its answer came whole.
package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxResponseBytes bounds an answer's body in memory.
const maxResponseBytes = 64 << 20

// maxUnmatchedResponses bounds the answers of other requests that are read over before the
// connection is given up.
const maxUnmatchedResponses = 4

// Request is a request to send.
type Request struct {
	Method string
	// RequestURI is the path and query as they came.
	RequestURI string
	Host       string
	// Header has the fields to send, without those of framing.
	Header http.Header
	Body   []byte
	// MatchesResponse, if set, tells whether an answer with the given header belongs to the
	// request. An answer to an earlier request may come late on a connection.
	MatchesResponse func(http.Header) bool
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error reports a request without a whole answer.
type Error struct {
	sent              bool
	connectionRefused bool
	cause             error
}

// Sent tells whether any byte of the request may have reached the receiver.
func (e *Error) Sent() bool { return e.sent }

// ConnectionRefused tells whether no process listens at the address.
func (e *Error) ConnectionRefused() bool { return e.connectionRefused }

func (e *Error) Error() string {
	if !e.sent {
		return "request was not sent: " + e.cause.Error()
	}
	return "request got no whole answer: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

var (
	errUnmatchedResponses = errors.New("answers of other requests came in place of its own")
	errInvalidHead        = errors.New("request has a control character in its head")
)

// Do sends the request and returns its answer. When ctx ends, the connection is
// closed, which tells the receiver to stop. The error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if !validHead(r) {
		return Response{}, &Error{cause: errInvalidHead}
	}
	conn, err := c.acquire(ctx)
	if err != nil {
		return Response{}, &Error{cause: err, connectionRefused: isConnectionRefused(err)}
	}
	stop := context.AfterFunc(ctx, conn.interrupt)
	answer, keep, err := conn.roundTrip(r)
	undisturbed := stop()
	if err != nil {
		c.discard(conn)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return Response{}, &Error{sent: conn.bytesSent > 0, cause: err}
	}
	c.release(conn, keep && undisturbed)
	return answer, nil
}

// roundTrip writes the request while it reads the answer: a receiver may answer
// before it has read a long body.
func (c *connection) roundTrip(r Request) (Response, bool, error) {
	c.bytesSent = 0
	written := make(chan error, 1)
	if len(r.Body) <= maxInlineBodyBytes {
		if err := c.writeRequest(r); err != nil {
			return Response{}, false, err
		}
		written <- nil
	} else {
		go func() { written <- c.writeRequest(r) }()
	}
	answer, keep, err := c.readResponse(r)
	var writeErr error
	select {
	case writeErr = <-written:
	default:
		// The rest of the body would be taken for the next request.
		keep = false
		c.interrupt()
		writeErr = <-written
	}
	return answer, keep && writeErr == nil, err
}

// maxInlineBodyBytes is the size of a body in bytes that the kernel surely buffers.
const maxInlineBodyBytes = 16 << 10

func (c *connection) writeRequest(r Request) error {
	w := bufio.NewWriterSize(countingWriter{c}, writeBufferBytes)
	_, _ = w.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			_, _ = w.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return w.Flush()
}

const writeBufferBytes = 4 << 10

func (c *connection) readResponse(r Request) (Response, bool, error) {
	for range maxUnmatchedResponses {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return Response{}, false, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
		if err != nil {
			return Response{}, false, fmt.Errorf("body: %w", err)
		}
		if len(body) > maxResponseBytes {
			return Response{}, false, fmt.Errorf("body exceeds %d bytes", maxResponseBytes)
		}
		if r.MatchesResponse != nil && !r.MatchesResponse(response.Header) {
			continue
		}
		c.setIdleTimeout(response.Header.Get("Keep-Alive"))
		return Response{Status: response.StatusCode, Header: response.Header, Body: body}, !response.Close, nil
	}
	return Response{}, false, errUnmatchedResponses
}

// setIdleTimeout reads the receiver's idle timeout, in whole seconds.
func (c *connection) setIdleTimeout(field string) {
	_, value, found := strings.Cut(field, "timeout=")
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

// validHead tells whether no text of the head would end its line.
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

func validText(text, excluded string) bool {
	for i := range len(text) {
		if c := text[i]; (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return excluded == "" || !strings.ContainsAny(text, excluded+"\t")
}
