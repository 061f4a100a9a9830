package httpupstream_test

import (
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
