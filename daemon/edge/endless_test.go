package edge_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsWithoutEnd guards against a request without end, fast or in trickles, that holds a
// connection for good.
func TestRequestsWithoutEnd(t *testing.T) {
	const limit = 14 * time.Second // The longest timeout for reads is 10 s.
	filler := strings.Repeat("x", 16<<10)
	address := startServer(t, newOwnerlessHandler())
	for name, request := range map[string]struct {
		first, repeated string
		pause           time.Duration
	}{
		"head":        {"POST /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nX-Filler: ", filler, 0},
		"slow head":   {"POST /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nX-Filler: ", "x", 200 * time.Millisecond},
		"body":        {"POST /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000000\r\n\r\n", filler, 0},
		"slow body":   {"POST /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n", "x", 200 * time.Millisecond},
		"chunks":      {"POST /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n", 0},
		"slow chunks": {"POST /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 200 * time.Millisecond},
		"extension":   {"POST /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, request.first)
			is.NoErr(err)
			began := time.Now()
			for err == nil && time.Since(began) < limit {
				time.Sleep(request.pause)
				_, err = io.WriteString(conn, request.repeated)
			}
			t.Logf("%v after %v", err, time.Since(began).Round(time.Millisecond))
			is.True(err != nil)
		})
	}
}
