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
	"briarwell.dev/core/httpresponse"
	"briarwell.dev/core/httpresponse/fasttransport"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
	"briarwell.dev/core/upstream"
)

const (
	// dialTimeout bounds the set-up of a TCP connection.
	dialTimeout             = 500 * time.Millisecond
	maxConnectionsPerDaemon = 4096
)

// dialError reports that no connection was established, so that nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connection to daemon failed: " + e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

// newHTTPClient returns an HTTP client that does not retry requests itself.
func newHTTPClient(settings Settings) *fasthttp.Client {
	return &fasthttp.Client{
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
		StreamResponseBody:        true,
		MaxConnsPerHost:           maxConnectionsPerDaemon,
		Transport:                 fasttransport.Transport{},
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

// send makes one attempt at the daemon at address. remaining is the time until the
// deadline of the call.
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

// sendOutcome returns the outcome of an attempt that failed with err and got no response
// head.
func sendOutcome(err error) outcome.Outcome {
	var dialFailure *dialError
	var invalid *httpresponse.Error
	switch {
	case errors.As(err, &dialFailure), errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, fasthttp.ErrDialTimeout):
		return outcome.NewNotRun(outcome.ReasonUnreachable)
	case errors.Is(err, fasthttp.ErrTimeout):
		return outcome.NewUnknown(outcome.ReasonTimeout)
	case errors.As(err, &invalid):
		return outcome.NewUnknown(outcome.ReasonInvalidResponse)
	default:
		return outcome.NewUnknown(outcome.ReasonConnectionLost)
	}
}

func newResponse(httpResponse *fasthttp.Response) *Response {
	response := &Response{Status: httpResponse.StatusCode()}
	var outcomeName, reason string
	for key, value := range httpResponse.Header.All() {
		header := upstream.NewHeader(string(key), string(value))
		response.Headers = append(response.Headers, header)
		switch header.Name() {
		case outcome.HeaderOutcome:
			outcomeName = header.Value()
		case outcome.HeaderReason:
			reason = header.Value()
		case outcome.HeaderServedBy:
			response.ServedBy = header.Value()
		}
	}
	parsed, ok := router.ParseOutcome(outcomeName, reason)
	if !ok {
		// The response was not sent by a daemon.
		parsed = outcome.NewUnknown(outcome.ReasonConnectionLost)
	}
	response.Outcome = parsed
	response.Body = &responseBody{response: httpResponse, remainingBytes: int64(httpResponse.Header.ContentLength())}
	return response
}

// errBodyTooShort reports that a body ended before its Content-Length.
var errBodyTooShort = errors.New("response body is shorter than its Content-Length")

// responseBody is the streamed body of a response.
type responseBody struct {
	response *fasthttp.Response
	// remainingBytes is the number of bytes not yet read, or negative if the length of
	// the body is unknown.
	remainingBytes int64
	err            error
}

// Read reads the next bytes of the body. It returns a *router.TruncatedError if the body
// ends early.
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

// Close returns the connection to the pool, or closes it if the body was not read
// completely. Later reads fail with a *router.TruncatedError.
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

// emptyBody is the body of a response that no daemon sent.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }

// trackedReader records whether its reader was read from.
type trackedReader struct {
	reader   io.Reader
	consumed atomic.Bool
}

// Read reads from the reader and marks it as consumed.
func (t *trackedReader) Read(p []byte) (int, error) {
	t.consumed.Store(true)
	return t.reader.Read(p)
}
