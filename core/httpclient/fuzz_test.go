package httpclient_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/memory"
)

// FuzzResponse guards against bytes of a server that stop the process, take more memory than
// allowed, or become the response to another request. The bytes answer the first of two
// requests on a connection; the second one must get its own response or an error.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nown",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nownHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nown",
		"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nown",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=99999999999999999999\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nshort", "HTTP/1.1 200 OK\r\n\r\nuntil close", "\x00\xff", "",
	} {
		f.Add([]byte(seed))
	}
	const budgetBytes = 64 << 10
	f.Fuzz(func(t *testing.T, data []byte) {
		address := startServer(t, func(n int, conn net.Conn, requests *bufio.Reader) {
			for first := n == 1; ; first = false {
				r, err := http.ReadRequest(requests)
				if err != nil {
					return
				}
				if !first {
					writeResponse(conn, r.Header.Get("Id"), "second")
					continue
				}
				if _, err := conn.Write(data); err != nil || !bytes.Contains(data, []byte("Length")) {
					return
				}
			}
		})
		budget := memory.NewBudget(budgetBytes)
		c := httpclient.New(address, nil)
		defer c.Close()
		for i, id := range []string{"1", "2"} {
			account := budget.Open()
			request := getRequest(id)
			request.Memory = account
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			response, err := c.Do(ctx, request)
			cancel()
			var failed *httpclient.Error
			if err != nil && !errors.As(err, &failed) {
				t.Errorf("error %v is no *httpclient.Error", err)
			}
			if err == nil && response.Header.Get("Id") != "" && response.Header.Get("Id") != id {
				t.Errorf("request %s got the response to %s", id, response.Header.Get("Id"))
			}
			if err == nil && i == 1 && string(response.Body) != "second" && !bytes.Contains(data, []byte("Id: 2")) {
				t.Errorf("request 2 got %q", response.Body)
			}
			if budget.Used() > budgetBytes {
				t.Errorf("%d bytes reserved of %d", budget.Used(), budgetBytes)
			}
			account.Close()
		}
	})
}
