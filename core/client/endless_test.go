package client_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/client"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
)

// startEndlessDaemon returns the address of a server that sends a text and then another one again
// and again, until the client closes the connection. It reports each close to closed.
func startEndlessDaemon(t *testing.T, first, repeated string, pause time.Duration, closed chan<- struct{}) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	part := []byte(repeated)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() {
					_ = conn.Close()
					closed <- struct{}{}
				}()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				for _, err := io.WriteString(conn, first); err == nil; _, err = conn.Write(part) {
					time.Sleep(pause)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestResponsesWithoutEnd guards against a response without end that takes memory, that goes on
// after the deadline of its request, or that looks complete.
func TestResponsesWithoutEnd(t *testing.T) {
	const timeout = 500 * time.Millisecond
	const maxBytes = 16 << 20
	filler := strings.Repeat("x", 64<<10)
	done := "HTTP/1.1 200 OK\r\n" + outcome.HeaderOutcome + ": done\r\n"
	for name, raw := range map[string]struct {
		first, repeated string
		pause           time.Duration
	}{
		"head":        {done + "X-Filler: ", filler, 0},
		"slow head":   {done + "X-Filler: ", "x", 10 * time.Millisecond},
		"interim":     {"", "HTTP/1.1 102 Processing\r\n\r\n", 0},
		"length":      {done + "Content-Length: 9000000000000000000\r\n\r\n", filler, 0},
		"until close": {done + "\r\n", filler, 0},
		"chunks":      {done + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n", 0},
		"trickle":     {done + "\r\n", "x", 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{}, 100)
			c := client.New(client.Settings{DaemonAddresses: []string{startEndlessDaemon(t, raw.first, raw.repeated, raw.pause, closed)}})
			defer c.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			response, err := c.Do(t.Context(), client.Request{Service: bookings, Key: "k", Method: "POST", Timeout: 500})
			is.NoErr(err)
			var received int64
			if response.Outcome == (outcome.Done{}) {
				received, err = io.Copy(io.Discard, io.LimitReader(response.Body, 20<<30))
				var truncated *router.TruncatedError
				is.True(errors.As(err, &truncated))
			}
			is.NoErr(response.Body.Close())
			runtime.ReadMemStats(&after)
			t.Logf("%v after %v, %d kB received, %d kB allocated", response.Outcome, time.Since(began).Round(time.Millisecond), received>>10, (after.TotalAlloc-before.TotalAlloc)>>10)
			is.True(time.Since(began) < 3*timeout)
			is.True(after.TotalAlloc-before.TotalAlloc < maxBytes)
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}
