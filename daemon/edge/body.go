package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

// callerReadTimeout is the longest time between two reads that return data of a
// caller's request body. A caller that stalls would otherwise occupy a slot of the
// upstream.
const callerReadTimeout = 10 * time.Second

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
	n, err := b.stream.Read(buffer)
	// The deadline stays set after a failed read, because the connection is not
	// used again.
	if err == nil || errors.Is(err, io.EOF) {
		_ = b.connection.SetReadDeadline(time.Time{})
	}
	return n, err
}

// responseBody cancels the context of the request when the response has been
// written or abandoned.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the response body and cancels the context of the request.
func (b *responseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
