package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// callerReadTimeout is the longest time for a caller's request header, and between two
	// reads that return data of the request body. A caller that stalls would otherwise occupy
	// a slot of the upstream.
	callerReadTimeout = 10 * time.Second
	// idleTimeout is the time after which a connection without a request is closed.
	idleTimeout = 2 * time.Minute
)

// requestBody reads the request body from the caller's connection.
type requestBody struct {
	stream     io.Reader
	connection net.Conn
}

// Read fails if the caller sends nothing for callerReadTimeout.
func (b *requestBody) Read(buffer []byte) (int, error) {
	if err := b.connection.SetReadDeadline(time.Now().Add(callerReadTimeout)); err != nil {
		return 0, err
	}
	// The deadline stays set: it also bounds the time for which the server reads a rest of the
	// body that the handler leaves, and is set again for the next request.
	return b.stream.Read(buffer)
}

// responseBody cancels the context of the request when the response has been
// written or abandoned, and reports a body that ends early.
type responseBody struct {
	io.ReadCloser
	cancel   context.CancelFunc
	report   func(cause error)
	reported bool
}

// Read reads the next bytes of the body.
func (b *responseBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) && !b.reported {
		b.reported = true
		b.report(err)
	}
	return n, err
}

// Close closes the response body and cancels the context of the request.
func (b *responseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
