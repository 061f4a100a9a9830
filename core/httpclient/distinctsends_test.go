package httpclient_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/httpclient"
)

// TestSecondSendOfRequest guards against a late second copy of a rejection that is taken as the
// response to the next send of the same request, which the server runs.
func TestSecondSendOfRequest(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	sends := make(map[string]int)
	address := startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		extra := ""
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			if extra != "" {
				writeResponse(conn, extra, "rejected")
			}
			id := r.Header.Get("Id")
			mu.Lock()
			sends[id]++
			first := sends[id] == 1
			mu.Unlock()
			if first {
				extra = id
				writeResponse(conn, id, "rejected")
				continue
			}
			extra = ""
			writeResponse(conn, id, "run")
		}
	})
	c := httpclient.New(address, nil).WithDistinctSends()
	send := func(id string) string {
		response, err := c.Do(context.Background(), getRequest(id))
		is.NoErr(err)
		return string(response.Body)
	}
	is.Equal(send("1"), "rejected")
	is.Equal(send("1"), "run")
	is.Equal(send("2"), "rejected") // connections that carried other requests are reused
	is.Equal(send("3"), "rejected")
	is.Equal(send("2"), "run")
	is.Equal(send("3"), "run")
}

// TestRequestsPerConnection guards against a connection that remembers its requests without a
// bound.
func TestRequestsPerConnection(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	address := startServer(t, func(n int, conn net.Conn, requests *bufio.Reader) {
		connections.Store(int64(n))
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			writeResponse(conn, r.Header.Get("Id"), "")
		}
	})
	c := httpclient.New(address, nil).WithDistinctSends()
	for i := range 600 {
		_, err := c.Do(context.Background(), getRequest(fmt.Sprint(i)))
		is.NoErr(err)
	}
	is.Equal(connections.Load(), int64(2))
}
