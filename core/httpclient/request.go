// Package httpclient sends HTTP/1.1 requests with bodies in memory over pooled
// connections. For each failed request it reports whether any byte of it was sent, and it
// returns only complete responses.
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

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

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
	// MatchesResponse, if set, reports whether a response with the given header belongs to
	// the request. A late response to an earlier request may arrive on the connection.
	MatchesResponse func(http.Header) bool
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
	connectionRefused bool
	cause             error
}

// Sent reports whether any byte of the request may have reached the server.
func (e *Error) Sent() bool { return e.sent }

// ConnectionRefused reports whether no process listens at the address.
func (e *Error) ConnectionRefused() bool { return e.connectionRefused }

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

// Do sends the request and returns the response. When ctx ends, it closes the connection,
// which signals the server to stop. The error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if !validHead(r) {
		return Response{}, &Error{cause: errInvalidHead}
	}
	conn, err := c.acquire(ctx)
	if err != nil {
		return Response{}, &Error{cause: err, connectionRefused: isConnectionRefused(err)}
	}
	stop := context.AfterFunc(ctx, conn.interrupt)
	response, reusable, err := conn.roundTrip(r)
	notInterrupted := stop()
	if err != nil {
		c.discard(conn)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return Response{}, &Error{sent: conn.bytesSent > 0, cause: err}
	}
	c.release(conn, reusable && notInterrupted)
	return response, nil
}

// roundTrip writes the request while it reads the response, as a server may respond before
// it has read a long body. It also reports whether the connection can be reused.
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
	response, reusable, err := c.readResponse(r)
	var writeErr error
	select {
	case writeErr = <-written:
	default:
		// The server would read the rest of the body as the next request.
		reusable = false
		c.interrupt()
		writeErr = <-written
	}
	return response, reusable && writeErr == nil, err
}

// maxInlineBodyBytes is the size of the largest body that is written before the response is
// read. The kernel buffers such a body even if the server doesn't read it.
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

// readResponse reads responses up to the one that matches the request, and reports whether
// the server keeps the connection open.
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
			return Response{}, false, fmt.Errorf("read response body: %w", err)
		}
		if len(body) > maxResponseBytes {
			return Response{}, false, fmt.Errorf("response body exceeds %d bytes", maxResponseBytes)
		}
		if r.MatchesResponse != nil && !r.MatchesResponse(response.Header) {
			continue
		}
		c.setIdleTimeout(response.Header.Get("Keep-Alive"))
		return Response{Status: response.StatusCode, Header: response.Header, Body: body}, !response.Close, nil
	}
	return Response{}, false, errUnmatchedResponses
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
