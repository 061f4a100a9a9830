package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

// callerReadTimeout bounds the time between two parts of a caller's body. A
// caller that stalls would otherwise hold a slot of the upstream.
const callerReadTimeout = 10 * time.Second

// requestBody reads the body of a request from the caller's connection.
type requestBody struct {
	stream     io.Reader
	connection net.Conn
}

// Read reads the next part. It fails if the caller sends nothing for
// callerInactivity.
func (b *requestBody) Read(buffer []byte) (int, error) {
	if err := b.connection.SetReadDeadline(time.Now().Add(callerReadTimeout)); err != nil {
		return 0, err
	}
	n, err := b.stream.Read(buffer)
	// The deadline stays after a failed read: the connection is given up.
	if err == nil || errors.Is(err, io.EOF) {
		_ = b.connection.SetReadDeadline(time.Time{})
	}
	return n, err
}

// responseBody ends the request's context when the answer is written or given
// up.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the answer and ends the request.
func (b *responseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
