package httpclient_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/httpclient"
)

// TestStalledResponse guards against a response that stops arriving and is waited for, and against
// one that is given up although it arrives slowly.
func TestStalledResponse(t *testing.T) {
	is := is.New(t)
	const timeout = 300 * time.Millisecond
	address := startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			if r.URL.Path == "/silent" {
				continue
			}
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n")
			for i := range 6 {
				if i == 3 && r.URL.Path == "/stalled" {
					break
				}
				time.Sleep(timeout / 3)
				_, _ = conn.Write([]byte("x"))
			}
		}
	})
	client := httpclient.New(address, nil)
	get := func(path string) (httpclient.Response, error) {
		return client.Do(t.Context(), httpclient.Request{Method: http.MethodGet, RequestURI: path, Host: "h", BeginTimeout: timeout, StallTimeout: timeout})
	}
	response, err := get("/slow") // twice the timeout
	is.NoErr(err)
	is.Equal(string(response.Body), "xxxxxx")
	time.Sleep(2 * timeout) // The bounds of a request must not end its connection later.
	_, err = get("/slow")
	is.NoErr(err)
	for _, path := range []string{"/stalled", "/silent"} {
		began := time.Now()
		_, err = get(path)
		is.True(err != nil)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.True(time.Since(began) < 10*timeout)
	}
}
