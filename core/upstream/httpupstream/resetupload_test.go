package httpupstream_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/internal/brokenresponse"
	"briarwell.dev/core/upstream/httpupstream"
)

// respondToUpload returns a handler that responds to the head of an upload without a length, and then
// passes the connection to end.
func respondToUpload(end func(conn *net.TCPConn)) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of it")
		if tcp, ok := conn.(*net.TCPConn); ok {
			end(tcp)
		}
		return false
	}
}

// readUpload sends an upload to the address and returns the body of the response.
func readUpload(t *testing.T, address string, length int64) (string, error) {
	t.Helper()
	put := newRequest("PUT")
	put.Body, put.ContentLength = io.LimitReader(&zeroBody{}, 16<<20), length
	response, err := newUpstream(t, address).Do(t.Context(), put)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(body), err
}

// TestResetDuringUpload guards against a response without a length that counts as complete although
// its connection was reset: while the request is being written, the reset may be reported to the
// writer only, and the reader sees the end of the stream.
func TestResetDuringUpload(t *testing.T) {
	for name, end := range brokenresponse.Resets() {
		for _, length := range []int64{16 << 20, -1} {
			s := startServer(t, respondToUpload(end))
			for range 20 {
				body, err := readUpload(t, s.address, length)
				if err == nil {
					t.Errorf("%s, length %d: got the complete body %q", name, length, body)
					break
				}
			}
		}
	}
}

// TestEndOfResponseDuringUpload guards against refusing a response without a length that the upstream
// ends regularly before it has read the request.
func TestEndOfResponseDuringUpload(t *testing.T) {
	is := is.New(t)
	for _, end := range brokenresponse.RegularEnds() {
		for _, length := range []int64{16 << 20, -1} {
			body, err := readUpload(t, startServer(t, respondToUpload(end)).address, length)
			is.NoErr(err)
			is.Equal(body, "part of it")
		}
	}
}

// TestResetBesideSlowCaller guards against the same while the request waits for its caller.
func TestResetBesideSlowCaller(t *testing.T) {
	is := is.New(t)
	blocked := make(blockedBody)
	defer close(blocked)
	s := startServer(t, respondToUpload(brokenresponse.Resets()["reset"]))
	put := newRequest("PUT")
	put.Body, put.ContentLength = io.MultiReader(io.LimitReader(&zeroBody{}, 100_000), blocked), -1
	response, err := newUpstream(t, s.address).Do(t.Context(), put)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	var truncated *httpupstream.TruncatedError
	is.True(errors.As(err, &truncated))
}
