package httpclient_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/memory"
)

// TestResponseWithoutEnd guards against a server that sends bytes without end, in a head, in
// interim responses, in a body with or without a length, or in a response to another
// request, and that takes the client's memory or keeps the caller waiting.
func TestResponseWithoutEnd(t *testing.T) {
	const budgetBytes = 4 << 20
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, raw := range map[string]struct{ first, repeated string }{
		"head":           {ok, "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"},
		"header line":    {ok + "X-Filler: ", strings.Repeat("x", 1000)},
		"status line":    {"HTTP/1.1 200 ", strings.Repeat("x", 1000)},
		"interim":        {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim, large": {"", "HTTP/1.1 102 Processing\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n"},
		"chunks":         {ok + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
		"until close":    {ok + "\r\n", strings.Repeat("x", 1000)},
		"length":         {ok + "Content-Length: 9000000000\r\n\r\n", strings.Repeat("x", 1000)},
		"other response": {"HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", strings.Repeat("x", 1000)},
		"chunk header":   {ok + "Transfer-Encoding: chunked\r\n\r\n3e8;", strings.Repeat("x", 1000)},
		"extensions":     {ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"tiny chunks":    {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000)},
		"trailers":       {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"},
		"noise":          {"\x00\x01", strings.Repeat("x", 1000)},
		"late copies":    {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nhello"},
		"after the end":  {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan int, 1)
			address := startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
				_, _ = http.ReadRequest(requests)
				n, err := conn.Write([]byte(raw.first))
				total := n
				for err == nil && total < 256<<20 {
					n, err = conn.Write([]byte(raw.repeated))
					total += n
				}
				sent <- total
			})
			budget := memory.NewBudget(budgetBytes)
			account := budget.Open()
			request := getRequest("1")
			request.Memory = account
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := httpclient.New(address, nil).Do(ctx, request)
			var failed *httpclient.Error
			is.True(errors.As(err, &failed))
			is.True(failed.Sent())
			is.NoErr(ctx.Err()) // given up by size, not by time
			is.True(budget.Used() <= budgetBytes)
			account.Close()
			is.Equal(budget.Used(), int64(0))
			is.True(<-sent < 64<<20) // the connection was closed
		})
	}
}

// TestManyResponsesWithoutEnd guards against a hundred connections with endless responses
// that together take more memory than an instance has.
func TestManyResponsesWithoutEnd(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		_, _ = http.ReadRequest(requests)
		_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"))
		chunk := []byte("2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n")
		for err == nil {
			_, err = conn.Write(chunk)
		}
	})
	budget := memory.NewBudget(8 << 20)
	var before, during runtime.MemStats
	runtime.ReadMemStats(&before)
	var wait sync.WaitGroup
	var failures atomic.Int64
	var peak atomic.Int64
	for range 100 {
		wait.Go(func() {
			account := budget.Open()
			defer account.Close()
			request := getRequest("1")
			request.Memory = account
			if _, err := httpclient.New(address, nil).Do(context.Background(), request); err != nil {
				failures.Add(1)
			}
			peak.Store(max(peak.Load(), budget.Used()))
		})
	}
	wait.Wait()
	runtime.ReadMemStats(&during)
	t.Logf("bodies at most %d kB, memory of the process %d to %d kB", peak.Load()>>10, before.Sys>>10, during.Sys>>10)
	is.Equal(failures.Load(), int64(100))
	is.True(peak.Load() <= 8<<20)
	is.True(during.Sys-before.Sys < 64<<20)
	is.Equal(budget.Used(), int64(0))
}

// TestResponseInTrickles guards against a connection that stays open because bytes of a
// response keep arriving: the deadline of the request ends it.
func TestResponseInTrickles(t *testing.T) {
	const limit = 400 * time.Millisecond
	for name, raw := range map[string]struct{ first, repeated string }{
		"head":        {"HTTP/1.1 200 OK\r\nId: 1\r\nX-Filler: ", "x"},
		"interim":     {"HTTP/1.1 102 Processing\r\nX: ", "x"},
		"chunks":      {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"until close": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x"},
		"length":      {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			address := startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
				defer close(closed)
				_, _ = http.ReadRequest(requests)
				_, err := conn.Write([]byte(raw.first))
				for err == nil {
					time.Sleep(5 * time.Millisecond)
					_, err = conn.Write([]byte(raw.repeated))
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			_, err := httpclient.New(address, nil).Do(ctx, getRequest("1"))
			var failed *httpclient.Error
			is.True(errors.As(err, &failed))
			is.True(failed.Sent())
			is.True(errors.Is(err, context.DeadlineExceeded))
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("connection was not closed")
			}
		})
	}
}

// TestResponsesWithoutEndOnSmallInstance guards against a hundred responses without end at once that
// take more memory than an instance of 184 MB has, with the settings of a sidecar, and against
// small responses beside them that have none.
func TestResponsesWithoutEndOnSmallInstance(t *testing.T) {
	const (
		instanceBytes = 184 << 20
		sidecarBytes  = 40 << 20
	)
	percent, limit := debug.SetGCPercent(200), debug.SetMemoryLimit(sidecarBytes)
	t.Cleanup(func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	})
	filler := strings.Repeat("x", 64<<10)
	for name, raw := range map[string]struct{ first, repeated string }{
		"until close": {"\r\n", filler},
		"chunks":      {"Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n"},
		"tiny chunks": {"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 10_000)},
		"length":      {"Content-Length: 8000000\r\n\r\n", "x"},
		"head lines":  {"", strings.Repeat("A: \r\n", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			part := []byte(raw.repeated)
			address := startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
				r, err := http.ReadRequest(requests)
				if err != nil {
					return
				}
				if r.Header.Get("Id") == "small" {
					writeResponse(conn, "small", "small")
					return
				}
				for _, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n"+raw.first); err == nil; _, err = conn.Write(part) {
					time.Sleep(time.Millisecond)
				}
			})
			budget := memory.NewBudget(instanceBytes / 4)
			get := func(ctx context.Context, id string) error {
				account := budget.Open()
				defer account.Close()
				request := getRequest(id)
				request.Memory = account
				_, err := httpclient.New(address, nil).Do(ctx, request)
				return err
			}
			var before runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			var calls sync.WaitGroup
			for range 100 {
				calls.Go(func() {
					for ctx.Err() == nil {
						if get(ctx, "1") == nil {
							t.Error("a response without end was returned")
						}
					}
				})
			}
			var peak uint64
			var slowest time.Duration
			for ctx.Err() == nil {
				began := time.Now()
				is.NoErr(get(t.Context(), "small"))
				slowest = max(slowest, time.Since(began))
				var during runtime.MemStats
				runtime.ReadMemStats(&during)
				peak = max(peak, during.HeapInuse)
				time.Sleep(5 * time.Millisecond)
			}
			calls.Wait()
			t.Logf("heap %d kB before, at most %d kB; slowest small response %v", before.HeapInuse>>10, peak>>10, slowest)
			is.True(peak-before.HeapInuse < instanceBytes-sidecarBytes)
			is.Equal(budget.Used(), int64(0))
		})
	}
}
