package httpclient_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"

	"briarwell.dev/core/httpclient"
)

// TestResponseCutAtEachByte guards against a response that breaks off in its head, or in a body
// whose end is known, and is returned as complete with an empty or short body.
func TestResponseCutAtEachByte(t *testing.T) {
	for name, raw := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunks":    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"interim":   "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"no length": "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n", // only the head
	} {
		for cut := range len(raw) + 1 {
			address := startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
				_, _ = http.ReadRequest(requests)
				_, _ = conn.Write([]byte(raw[:cut]))
			})
			response, err := httpclient.New(address, nil).Do(context.Background(), getRequest("1"))
			if (err == nil) != (cut == len(raw)) {
				t.Errorf("%s cut after %d of %d bytes: error %v, status %d, body %q", name, cut, len(raw), err, response.Status, response.Body)
			}
		}
	}
}
