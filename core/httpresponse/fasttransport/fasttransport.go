// Package fasttransport makes clients of fasthttp read responses with package httpresponse.
package fasttransport

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/httpresponse"
	"briarwell.dev/core/memory"
)

// maxHeadBytes bounds the heads of the responses to one request, with those of interim responses.
const maxHeadBytes = 64 << 10

// Transport is a fasthttp.RoundTripper. It sends a request once, writes all of it before it reads the
// response, and returns an *httpresponse.Error for a response that is not valid.
type Transport struct{}

// exchange is a request and its response on one connection.
type exchange struct {
	client  *fasthttp.HostClient
	conn    net.Conn
	release func() // returns conn to the pool
	discard func() // closes conn
	reader  *bufio.Reader
	head    *httpresponse.Head
}

// RoundTrip implements fasthttp.RoundTripper.
func (Transport) RoundTrip(client *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response) (retry bool, err error) {
	timeout := request.GetTimeOut()
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	pooled, err := client.AcquireConn(timeout, request.ConnectionClose())
	if err != nil {
		return false, err
	}
	e := &exchange{
		client: client, conn: pooled.Conn(),
		release: func() { client.ReleaseConn(pooled) },
		discard: func() { client.CloseConn(pooled) },
	}
	streams, skipsBody := response.StreamBody, response.SkipBody || request.Header.IsHead()
	if err := e.roundTrip(request, deadline); err != nil {
		e.finish(false)
		return false, timeoutError(err)
	}
	e.copyHead(response)
	source := httpresponse.NewBody(e.reader, e.head.Framing())
	if skipsBody {
		e.finish(e.head.Framing() == httpresponse.NoBody{})
		return false, nil
	}
	if streams {
		response.SetBodyStream(&body{exchange: e, source: source}, int(e.head.ContentLength()))
		return false, nil
	}
	// An account that is nil has no limit of its own.
	content, err := (*memory.Account)(nil).ReadAll(source, e.head.ContentLength(), maxBodyBytes(client))
	e.finish(err == nil)
	if err != nil {
		return false, timeoutError(err)
	}
	response.SetBodyRaw(content)
	return false, nil
}

// roundTrip writes the request and reads the head of the response.
func (e *exchange) roundTrip(request *fasthttp.Request, deadline time.Time) error {
	if err := e.conn.SetDeadline(deadline); err != nil {
		return err
	}
	writer := e.client.AcquireWriter(e.conn)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	e.client.ReleaseWriter(writer)
	if err != nil {
		return err
	}
	e.reader = e.client.AcquireReader(e.conn)
	for bytesLeft := maxHeadBytes; ; bytesLeft -= e.head.Size() {
		e.head, err = httpresponse.ReadHead(e.reader, string(request.Header.Method()), bytesLeft)
		if err != nil || !e.head.IsInterim() {
			return err
		}
	}
}

// copyHead sets the status and the fields of the response.
func (e *exchange) copyHead(response *fasthttp.Response) {
	response.SetStatusCode(e.head.Status())
	for name, values := range e.head.Header() {
		for _, value := range values {
			response.Header.Add(name, value)
		}
	}
}

// finish returns the connection to the pool if it can be reused, and else closes it.
func (e *exchange) finish(responseRead bool) {
	reusable := responseRead && !e.head.Closes() && e.reader.Buffered() == 0
	if e.reader != nil {
		e.client.ReleaseReader(e.reader)
	}
	if reusable {
		e.release()
		return
	}
	e.discard()
}

// timeoutError returns fasthttp.ErrTimeout in place of a timeout of the network.
func timeoutError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fasthttp.ErrTimeout
	}
	return err
}

// maxBodyBytes returns the largest body that the client reads into memory.
func maxBodyBytes(client *fasthttp.HostClient) int64 {
	if client.MaxResponseBodySize <= 0 {
		return math.MaxInt64 - 1
	}
	return int64(client.MaxResponseBodySize)
}

// body is the streamed body of a response.
type body struct {
	exchange *exchange
	source   io.Reader
	complete bool
	closed   bool
}

// Read reads the next bytes of the body.
func (b *body) Read(p []byte) (int, error) {
	if b.closed {
		return 0, net.ErrClosed
	}
	n, err := b.source.Read(p)
	b.complete = b.complete || errors.Is(err, io.EOF)
	return n, err
}

// Close returns the connection to the pool, or closes it if the body was not read to its end.
func (b *body) Close() error {
	if !b.closed {
		b.closed = true
		b.exchange.finish(b.complete)
	}
	return nil
}
