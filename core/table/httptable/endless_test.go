package httptable_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/table"
	"briarwell.dev/core/table/httptable"
)

// TestResponseWithoutEnd guards against a response of the table service that goes on without end
// or declares a huge length, and that takes all memory of a daemon.
func TestResponseWithoutEnd(t *testing.T) {
	const maxBytes = 144 << 20 // 184 MB without 40 MB for the daemon
	filler := strings.Repeat(" ", 64<<10)
	for name, raw := range map[string]struct{ first, repeated string }{
		"length":      {"HTTP/1.1 200 OK\r\nContent-Length: 200000000\r\n\r\n", filler},
		"huge length": {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", filler},
		"until close": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", filler},
		"chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n"},
		"head":        {"HTTP/1.1 200 OK\r\nX-Filler: ", filler},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				part := []byte(raw.repeated)
				for _, err = io.WriteString(conn, raw.first); err == nil; _, err = conn.Write(part) {
				}
			}()
			rows, err := httptable.New("http://" + listener.Addr().String())
			is.NoErr(err)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			_, _, err = rows.Scan(t.Context(), "", 0)
			runtime.ReadMemStats(&after)
			var outage *table.OutageError
			is.True(errors.As(err, &outage))
			grown := max(int64(after.HeapSys)-int64(before.HeapSys), 0)
			t.Logf("%d kB allocated, heap grown by %d kB", (after.TotalAlloc-before.TotalAlloc)>>10, grown>>10)
			is.True(grown < maxBytes)
		})
	}
}
