package app_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsWithoutEnd guards against a request without end, of a caller or of another sidecar,
// that gets no answer and holds a connection for good.
func TestRequestsWithoutEnd(t *testing.T) {
	const (
		timeout = 500 * time.Millisecond
		margin  = 3 * time.Second
	)
	c := newCluster(t, 132, "ledger")
	in := c.instances[0]
	c.eventually("serving of bookings", func() bool {
		status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1)
		return status == http.StatusOK
	})
	filler := strings.Repeat("x", 16<<10)
	withID := fmt.Sprintf("X-Request-Id: without-end\r\nX-Deadline-Ms: %d\r\n", timeout.Milliseconds())
	for name, request := range map[string]struct {
		port            string
		first, repeated string
		pause           time.Duration
		// status is that of the answer, 0 if there may be none.
		status int
	}{
		"head":                                   {"9001", "POST /book/x HTTP/1.1\r\nHost: h\r\n" + withID + "X-Filler: ", filler, 0, 0},
		"head of a peer":                         {"9002", "POST /book/x HTTP/1.1\r\nHost: h\r\nX-Filler: ", filler, 0, 0},
		"chunks":                                 {"9001", "POST /book/x HTTP/1.1\r\nHost: h\r\n" + withID + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n", 0, 0},
		"extension":                              {"9001", "POST /book/x HTTP/1.1\r\nHost: h\r\n" + withID + "Transfer-Encoding: chunked\r\n\r\n1;", filler, 0, 0},
		"slow body":                              {"9001", "POST /book/x HTTP/1.1\r\nHost: h\r\n" + withID + "Content-Length: 200\r\n\r\n", "x", 50 * time.Millisecond, http.StatusRequestTimeout},
		"slow chunks":                            {"9001", "POST /book/x HTTP/1.1\r\nHost: h\r\n" + withID + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 50 * time.Millisecond, http.StatusRequestTimeout},
		"no ID, slow body":                       {"9001", "POST /book/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n", "x", 50 * time.Millisecond, http.StatusBadRequest},
		"no ID, slow chunks":                     {"9001", "POST /book/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 50 * time.Millisecond, http.StatusBadRequest},
		"peer, slow body":                        {"9002", "POST /book/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n", "x", 50 * time.Millisecond, http.StatusOK},
		"too large, slow body":                   {"9001", "POST /book/x HTTP/1.1\r\nHost: h\r\n" + withID + "Content-Length: 1000001\r\n\r\n", "x", 50 * time.Millisecond, http.StatusRequestEntityTooLarge},
		"too large for this instance, slow body": {"9001", "POST /book/x HTTP/1.1\r\nHost: h\r\n" + withID + "Content-Length: 200000\r\n\r\n", "x", 50 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", net.JoinHostPort(in.ip, request.port))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			answered := make(chan time.Duration, 1)
			began := time.Now()
			go func() {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					t.Logf("status %d after %v", response.StatusCode, time.Since(began).Round(time.Millisecond))
					if request.status != 0 && response.StatusCode != request.status {
						t.Errorf("status %d, want %d", response.StatusCode, request.status)
					}
					_ = response.Body.Close()
				} else if request.status != 0 {
					t.Errorf("no answer: %v", err)
				}
				answered <- time.Since(began)
			}()
			_, err = conn.Write([]byte(request.first))
			is.NoErr(err)
			closed := writeWithoutEnd(conn, request.repeated, request.pause, timeout+margin)
			t.Logf("closed %t after %v", closed, time.Since(began).Round(time.Millisecond))
			is.True(closed)
			_ = conn.Close()
			is.True(<-answered < timeout+margin)
			is.Equal(in.upstream.RunCount("without-end"), 0)
		})
	}
}
