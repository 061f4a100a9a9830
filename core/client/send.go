package client

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
	"briarwell.dev/core/upstream"
)

const (
	// dialTimeout bounds the setup of a connection.
	dialTimeout = 500 * time.Millisecond
	// maxConnectionsPerDaemon bounds the connections to one daemon.
	maxConnectionsPerDaemon = 4096
)

// dialError marks an error before any byte was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connection failed: " + e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

// newHTTPClient returns an HTTP client that never sends a request twice by itself.
func newHTTPClient(settings Settings) *fasthttp.Client {
	return &fasthttp.Client{
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
		StreamResponseBody:        true,
		MaxConnsPerHost:           maxConnectionsPerDaemon,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(address string) (net.Conn, error) { return dial(settings, address) },
	}
}

func dial(settings Settings, address string) (net.Conn, error) {
	var connection net.Conn
	var err error
	if settings.Dial != nil {
		connection, err = settings.Dial(address)
	} else {
		connection, err = net.DialTimeout("tcp", address, dialTimeout)
	}
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return connection, nil
}

// send makes one attempt.
func (c *Client) send(address string, k *call, remaining clock.Millis) *Response {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(k.request.Method)
	request.URI().DisablePathNormalizing = true
	request.SetRequestURI("http://" + address + k.requestURI)
	for _, header := range k.request.Headers {
		request.Header.Add(header.Name(), header.Value())
	}
	request.Header.Set(outcome.HeaderRequestID, k.request.ID)
	request.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(int64(remaining), 10))
	if k.stamp != "" {
		request.Header.Set(outcome.HeaderStamp, k.stamp)
	}
	if k.request.BodyStream != nil {
		request.SetBodyStream(&k.bodyStream, -1)
	} else if len(k.request.Body) > 0 {
		request.SetBodyRaw(k.request.Body)
	}
	request.SetTimeout(remaining.Duration())
	if err := c.httpClient.Do(request, response); err != nil {
		fasthttp.ReleaseResponse(response)
		return localResponse(sendOutcome(err))
	}
	return newResponse(response)
}

// sendOutcome returns the outcome of an attempt without an answer head.
func sendOutcome(err error) outcome.Outcome {
	var dial *dialError
	switch {
	case errors.As(err, &dial), errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, fasthttp.ErrDialTimeout):
		return outcome.NewNotRun(outcome.ReasonUnreachable)
	case errors.Is(err, fasthttp.ErrTimeout):
		return outcome.NewUnknown(outcome.ReasonTimeout)
	default:
		return outcome.NewUnknown(outcome.ReasonConnectionLost)
	}
}

func newResponse(response *fasthttp.Response) *Response {
	answer := &Response{Status: response.StatusCode()}
	var name, reason string
	for key, value := range response.Header.All() {
		header := upstream.NewHeader(string(key), string(value))
		answer.Headers = append(answer.Headers, header)
		switch header.Name() {
		case outcome.HeaderOutcome:
			name = header.Value()
		case outcome.HeaderReason:
			reason = header.Value()
		case outcome.HeaderServedBy:
			answer.ServedBy = header.Value()
		}
	}
	found, ok := router.ParseOutcome(name, reason)
	if !ok {
		// Something other than a daemon answered.
		found = outcome.NewUnknown(outcome.ReasonConnectionLost)
	}
	answer.Outcome = found
	answer.Body = &responseBody{response: response, remainingBytes: int64(response.Header.ContentLength())}
	return answer
}

// errBodyTooShort says that a body ended before its announced length.
var errBodyTooShort = errors.New("body is shorter than its announced length")

// responseBody is the body of an answer.
type responseBody struct {
	response *fasthttp.Response
	// remainingBytes is the number of bytes to come, negative if unknown.
	remainingBytes int64
	err            error
}

// Read reads the body. A body that breaks off returns a *router.TruncatedError.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	source := b.response.BodyStream()
	if source == nil {
		b.err = io.EOF
		return 0, b.err
	}
	n, err := source.Read(p)
	if b.remainingBytes >= 0 {
		b.remainingBytes -= int64(n)
	}
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		b.err = router.NewTruncatedError(err)
	case b.remainingBytes > 0:
		b.err = router.NewTruncatedError(errBodyTooShort)
	default:
		b.err = io.EOF
	}
	return n, b.err
}

// Close gives the connection back, or closes it if the body wasn't read.
func (b *responseBody) Close() error {
	if b.response == nil {
		return nil
	}
	err := b.response.CloseBodyStream()
	if b.err == nil || errors.Is(b.err, io.EOF) {
		b.err = router.NewTruncatedError(net.ErrClosed)
	}
	fasthttp.ReleaseResponse(b.response)
	b.response = nil
	return err
}

// emptyBody is the body of an answer that no daemon gave.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }

// trackedReader notes whether a stream was read.
type trackedReader struct {
	reader   io.Reader
	consumed atomic.Bool
}

// Read reads the stream.
func (t *trackedReader) Read(p []byte) (int, error) {
	t.consumed.Store(true)
	return t.reader.Read(p)
}
