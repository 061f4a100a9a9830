package httpupstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/upstream/httpupstream"
)

const (
	// endlessTime bounds how long a stand-in sends without end, if its peer keeps reading.
	endlessTime = 5 * time.Second
	// maxEndlessHeap bounds in bytes what one response without end may allocate.
	maxEndlessHeap = 8 << 20
)

// sendWithoutEnd returns a handler that writes a text and then another one until the client
// closes the connection. It sends whether the client closed it to closed.
func sendWithoutEnd(first, repeated string, closed chan<- bool) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, _ *http.Request) bool {
		began, part := time.Now(), []byte(repeated)
		_, err := io.WriteString(conn, first)
		for err == nil && time.Since(began) < endlessTime {
			_, err = conn.Write(part)
		}
		closed <- err != nil
		return false
	}
}

// allocated returns the bytes that the process allocates during f.
func allocated(f func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// TestLoadReportWithoutEnd guards against a load report, or the response to a grant, that goes on
// without end or declares a huge length, and that takes all memory or stops the process.
func TestLoadReportWithoutEnd(t *testing.T) {
	filler := strings.Repeat("x", 64<<10)
	for name, raw := range map[string]struct{ first, repeated string }{
		"length":      {"HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", filler},
		"huge length": {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", filler},
		"until close": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", filler},
		"chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n"},
		"head":        {"HTTP/1.1 200 OK\r\nX-Filler: ", filler},
		"interim":     {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"trailers":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: " + filler[:1000] + "\r\n"},
		"extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan bool, 1)
			u := newUpstream(t, startServer(t, sendWithoutEnd(raw.first, raw.repeated, closed)).address)
			var err error
			bytes := allocated(func() {
				defer func() {
					if cause := recover(); cause != nil {
						t.Errorf("panic: %v", cause)
					}
				}()
				_, err = u.Load(t.Context())
			})
			var failed *httpupstream.ControlError
			is.True(errors.As(err, &failed))
			u.Close()
			is.True(<-closed)
			t.Logf("%d kB allocated", bytes>>10)
			is.True(bytes < maxEndlessHeap)
		})
	}
}

// TestResponseWithoutEnd guards against a response that goes on without end and takes memory, or
// that keeps its connection or its caller after the request has ended.
func TestResponseWithoutEnd(t *testing.T) {
	filler := strings.Repeat("x", 64<<10)
	for name, raw := range map[string]struct {
		first, repeated string
		// hasHead is set if the head of the response ends.
		hasHead bool
	}{
		"head":        {"HTTP/1.1 200 OK\r\nX-Filler: ", filler, false},
		"head lines":  {"HTTP/1.1 200 OK\r\n", "X-Filler: " + filler[:1000] + "\r\n", false},
		"interim":     {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"length":      {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", filler, true},
		"until close": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", filler, true},
		"chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n", true},
		"tiny chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000), true},
		"extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler, true},
		"trailers":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: " + filler[:1000] + "\r\n", true},
		"refusal":     {"HTTP/1.1 503 x\r\nBriarwell-Refused: full\r\n\r\n", filler, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan bool, 1)
			u := newUpstream(t, startServer(t, sendWithoutEnd(raw.first, raw.repeated, closed)).address)
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			var received int64
			bytes := allocated(func() {
				response, err := u.Do(ctx, newRequest("GET"))
				is.Equal(err == nil, raw.hasHead)
				if err != nil {
					return
				}
				received, err = io.Copy(io.Discard, response.Body)
				var truncated *httpupstream.TruncatedError
				is.True(errors.As(err, &truncated))
				_ = response.Body.Close()
			})
			is.True(<-closed)
			t.Logf("%d kB allocated, %d kB of the body received", bytes>>10, received>>10)
			is.True(bytes < maxEndlessHeap)
		})
	}
}

// TestCloseOfResponseWithoutEnd guards against a caller that gives up a response without end and
// waits for the rest of it.
func TestCloseOfResponseWithoutEnd(t *testing.T) {
	is := is.New(t)
	closed := make(chan bool, 1)
	filler := strings.Repeat("x", 64<<10)
	u := newUpstream(t, startServer(t, sendWithoutEnd("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", filler, closed)).address)
	response, err := u.Do(t.Context(), newRequest("GET"))
	is.NoErr(err)
	_, err = io.ReadFull(response.Body, make([]byte, 1<<20))
	is.NoErr(err)
	began := time.Now()
	is.NoErr(response.Body.Close())
	is.True(<-closed)
	is.True(time.Since(began) < time.Second)
}
