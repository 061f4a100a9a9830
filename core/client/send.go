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
	// maxConnections bounds the connections to one daemon.
	maxConnections = 4096
)

// dialError marks an error before any byte was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connection failed: " + e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

// newHTTP returns an HTTP client that never sends a request twice by itself.
func newHTTP(settings Settings) *fasthttp.Client {
	return &fasthttp.Client{
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
		StreamResponseBody:        true,
		MaxConnsPerHost:           maxConnections,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(address string) (net.Conn, error) { return open(settings, address) },
	}
}

func open(settings Settings, address string) (net.Conn, error) {
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
func (c *Client) send(address string, k *call, remaining clock.Millis) *Answer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(k.request.Method)
	request.URI().DisablePathNormalizing = true
	request.SetRequestURI("http://" + address + k.target)
	for _, header := range k.request.Headers {
		request.Header.Add(header.Name(), header.Value())
	}
	request.Header.Set(outcome.HeaderRequestID, k.request.ID)
	request.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(int64(remaining), 10))
	if k.stamp != "" {
		request.Header.Set(outcome.HeaderStamp, k.stamp)
	}
	if k.request.Stream != nil {
		request.SetBodyStream(&k.stream, -1)
	} else if len(k.request.Body) > 0 {
		request.SetBodyRaw(k.request.Body)
	}
	request.SetTimeout(remaining.Duration())
	if err := c.http.Do(request, response); err != nil {
		fasthttp.ReleaseResponse(response)
		return refused(failure(err))
	}
	return received(response)
}

// failure returns the outcome of an attempt without an answer head.
func failure(err error) outcome.Outcome {
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

func received(response *fasthttp.Response) *Answer {
	answer := &Answer{Status: response.StatusCode()}
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
	answer.Body = &body{response: response, remaining: int64(response.Header.ContentLength())}
	return answer
}

// errShort says that a body ended before its announced length.
var errShort = errors.New("body is shorter than its announced length")

// body is the body of an answer.
type body struct {
	response *fasthttp.Response
	// remaining is the number of bytes to come, negative if unknown.
	remaining int64
	err       error
}

// Read reads the body. A body that breaks off returns a *router.TruncatedError.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	source := b.response.BodyStream()
	if source == nil {
		b.err = io.EOF
		return 0, b.err
	}
	n, err := source.Read(p)
	if b.remaining >= 0 {
		b.remaining -= int64(n)
	}
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		b.err = router.NewTruncatedError(err)
	case b.remaining > 0:
		b.err = router.NewTruncatedError(errShort)
	default:
		b.err = io.EOF
	}
	return n, b.err
}

// Close gives the connection back, or closes it if the body wasn't read.
func (b *body) Close() error {
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
