package httpclient_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/httpclient"
)

// TestRequiredResponseID guards against a response of another program, which repeats no ID, that is
// taken for the server's since the connection is new.
func TestRequiredResponseID(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(n int, conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if n == 1 {
			_, _ = conn.Write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno"))
			return
		}
		writeResponse(conn, r.Header.Get("Id"), "own")
	})
	c := httpclient.New(address, nil)
	request := getRequest("1")
	request.ResponseIDRequired = true
	_, err := c.Do(context.Background(), request)
	var failed *httpclient.Error
	is.True(errors.As(err, &failed) && failed.Complete())
	var missing *httpclient.MissingIDError
	is.True(errors.As(err, &missing))
	is.Equal(missing.Status(), http.StatusNotFound)
	response, err := c.Do(context.Background(), request)
	is.NoErr(err)
	is.Equal(string(response.Body), "own")
}
