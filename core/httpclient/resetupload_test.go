package httpclient_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/internal/brokenresponse"
)

// uploadRequest returns a request with a body that is still being written when the response arrives.
func uploadRequest(awaitContinue bool) httpclient.Request {
	post := getRequest("1")
	post.Method, post.Body, post.AwaitContinue = http.MethodPost, []byte(strings.Repeat("x", 16<<20)), awaitContinue
	return post
}

// startUploadServer starts a server that responds to the head of an upload without a length, and
// then passes the connection to end.
func startUploadServer(t *testing.T, end func(conn *net.TCPConn)) string {
	t.Helper()
	return startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if r.Header.Get("Expect") != "" {
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart of it")
		if tcp, ok := conn.(*net.TCPConn); ok {
			end(tcp)
		}
	})
}

// TestResetDuringUpload guards against a response without a length that counts as complete although
// its connection was reset: while the request is being written, the reset may be reported to the
// writer only, and the reader sees the end of the stream.
func TestResetDuringUpload(t *testing.T) {
	for name, end := range brokenresponse.Resets() {
		for _, awaitContinue := range []bool{false, true} {
			address := startUploadServer(t, end)
			for range 20 {
				response, err := httpclient.New(address, nil).Do(t.Context(), uploadRequest(awaitContinue))
				var failed *httpclient.Error
				if !errors.As(err, &failed) || !failed.Sent() {
					t.Errorf("%s, awaiting continue %v: got %d %q, error %v", name, awaitContinue, response.Status, response.Body, err)
					break
				}
			}
		}
	}
}

// TestEndOfResponseDuringUpload guards against refusing a response without a length that the server
// ends regularly before it has read the request.
func TestEndOfResponseDuringUpload(t *testing.T) {
	for name, end := range brokenresponse.RegularEnds() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, awaitContinue := range []bool{false, true} {
				response, err := httpclient.New(startUploadServer(t, end), nil).Do(t.Context(), uploadRequest(awaitContinue))
				is.NoErr(err)
				is.Equal(string(response.Body), "part of it")
			}
		})
	}
}
