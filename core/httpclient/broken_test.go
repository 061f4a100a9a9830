package httpclient_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/internal/brokenresponse"
)

// TestBrokenResponses guards against a response whose head or body is not valid, and that is returned,
// with a line that is no field, with the wrong body, or skipped like an interim one.
func TestBrokenResponses(t *testing.T) {
	is := is.New(t)
	for name, text := range brokenresponse.All() {
		for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			request := getRequest("1")
			if interim != "" {
				request.Method, request.Body, request.AwaitContinue = http.MethodPost, []byte(strings.Repeat("x", 20<<10)), true
			}
			response, err := httpclient.New(brokenresponse.StartServer(t, interim+text), nil).Do(t.Context(), request)
			var failed *httpclient.Error
			if !errors.As(err, &failed) || !failed.Sent() {
				t.Errorf("%s after %q: got status %d, header %v, body %q, error %v", name, interim, response.Status, response.Header, response.Body, err)
			}
		}
	}
	address := brokenresponse.StartServer(t, "HTTP/1.1 103 Early Hints\r\nLink: v\r\n\r\nHTTP/1.1 200\r\nId: 1\r\nTransfer-Encoding: Chunked\r\n\r\n"+
		"4;x=y\r\nbody\r\n0\r\nX-Name:v \r\nX-Empty:\r\n\r\n")
	response, err := httpclient.New(address, nil).Do(t.Context(), getRequest("1"))
	is.NoErr(err)
	is.Equal(string(response.Body), "body")
}
