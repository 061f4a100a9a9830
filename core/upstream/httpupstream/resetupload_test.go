package httpupstream_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

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
	for name, end := range map[string]func(*net.TCPConn){
		"reset": func(conn *net.TCPConn) {
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
		"closed":         func(*net.TCPConn) { time.Sleep(5 * time.Millisecond) },
		"closed halfway": func(conn *net.TCPConn) { _, _ = io.CopyN(io.Discard, conn, 1<<20) },
		"ended, then reset": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_ = conn.SetLinger(0)
		},
	} {
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
	for _, end := range []func(*net.TCPConn){
		func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(time.Second)
		},
	} {
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
	s := startServer(t, respondToUpload(func(conn *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0)
	}))
	put := newRequest("PUT")
	put.Body, put.ContentLength = io.MultiReader(io.LimitReader(&zeroBody{}, 100_000), blocked), -1
	response, err := newUpstream(t, s.address).Do(t.Context(), put)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	var truncated *httpupstream.TruncatedError
	is.True(errors.As(err, &truncated))
}
