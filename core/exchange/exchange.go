// Package exchange sends HTTP/1.1 requests whose bodies are in memory over
// pooled connections, and tells what became of each: whether any byte of it was
// sent, and whether its answer came whole.
package exchange

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

// maxAnswerBytes bounds an answer's body in memory.
const maxAnswerBytes = 64 << 20

// maxStrays bounds the answers of other requests that are read over before the
// connection is given up.
const maxStrays = 4

// Request is a request to send.
type Request struct {
	Method string
	// Target is the path and query as they came.
	Target string
	Host   string
	// Header has the fields to send, without those of framing.
	Header http.Header
	Body   []byte
	// Own, if set, tells whether an answer with the given header belongs to the
	// request. An answer to an earlier request may come late on a connection.
	Own func(http.Header) bool
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error reports a request without a whole answer.
type Error struct {
	sent    bool
	refused bool
	cause   error
}

// Sent tells whether any byte of the request may have reached the receiver.
func (e *Error) Sent() bool { return e.sent }

// Refused tells whether no process listens at the address.
func (e *Error) Refused() bool { return e.refused }

func (e *Error) Error() string {
	if !e.sent {
		return "request was not sent: " + e.cause.Error()
	}
	return "request got no whole answer: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

var (
	errStrays  = errors.New("answers of other requests came in place of its own")
	errInvalid = errors.New("request has a control character in its head")
)

// Do sends the request and returns its answer. When ctx ends, the connection is
// closed, which tells the receiver to stop. The error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	if !valid(r) {
		return Answer{}, &Error{cause: errInvalid}
	}
	conn, err := c.take(ctx)
	if err != nil {
		return Answer{}, &Error{cause: err, refused: isRefused(err)}
	}
	stop := context.AfterFunc(ctx, conn.interrupt)
	answer, keep, err := conn.exchange(r)
	undisturbed := stop()
	if err != nil {
		c.drop(conn)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return Answer{}, &Error{sent: conn.sent > 0, cause: err}
	}
	c.give(conn, keep && undisturbed)
	return answer, nil
}

// exchange writes the request while it reads the answer: a receiver may answer
// before it has read a long body.
func (c *connection) exchange(r Request) (Answer, bool, error) {
	c.sent = 0
	written := make(chan error, 1)
	if len(r.Body) <= inlineBody {
		if err := c.write(r); err != nil {
			return Answer{}, false, err
		}
		written <- nil
	} else {
		go func() { written <- c.write(r) }()
	}
	answer, keep, err := c.read(r)
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

// inlineBody is the size of a body in bytes that the kernel surely buffers.
const inlineBody = 16 << 10

func (c *connection) write(r Request) error {
	w := bufio.NewWriterSize(countingWriter{c}, writeBuffer)
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
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

const writeBuffer = 4 << 10

func (c *connection) read(r Request) (Answer, bool, error) {
	for range maxStrays {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return Answer{}, false, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
		if err != nil {
			return Answer{}, false, fmt.Errorf("body: %w", err)
		}
		if len(body) > maxAnswerBytes {
			return Answer{}, false, fmt.Errorf("body exceeds %d bytes", maxAnswerBytes)
		}
		if r.Own != nil && !r.Own(response.Header) {
			continue
		}
		c.noteIdleLimit(response.Header.Get("Keep-Alive"))
		return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, !response.Close, nil
	}
	return Answer{}, false, errStrays
}

// noteIdleLimit reads the receiver's idle timeout, in whole seconds.
func (c *connection) noteIdleLimit(field string) {
	_, value, found := strings.Cut(field, "timeout=")
	if !found {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds <= 0 {
		return
	}
	c.idleLimit = time.Duration(seconds)*time.Second - idleMargin
}

// valid tells whether no text of the head would end its line.
func valid(r Request) bool {
	if r.Method == "" || r.Target == "" || !plain(r.Method, " ") || !plain(r.Target, " ") || !plain(r.Host, " ") {
		return false
	}
	for name, values := range r.Header {
		if name == "" || !plain(name, " :") {
			return false
		}
		for _, value := range values {
			if !plain(value, "") {
				return false
			}
		}
	}
	return true
}

func plain(text, excluded string) bool {
	for i := range len(text) {
		if c := text[i]; (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return excluded == "" || !strings.ContainsAny(text, excluded+"\t")
}
