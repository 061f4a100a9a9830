package httpupstream_test

import (
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/internal/brokenresponse"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/httpupstream"
)

// TestBrokenResponses guards against a response whose head or body is not valid, and that is returned
// with another status, with a line that is no field, or with the wrong body.
func TestBrokenResponses(t *testing.T) {
	for name, text := range brokenresponse.Heads() {
		response, err := newUpstream(t, brokenresponse.StartServer(t, text)).Do(t.Context(), newRequest("GET"))
		var failed *upstream.SendError
		if !errors.As(err, &failed) {
			body, err := io.ReadAll(response.Body)
			t.Errorf("%s: got status %d, headers %v, body %q, error %v", name, response.Status, response.Headers, body, err)
			continue
		}
		if o := failed.Outcome(); o != outcome.NewUnknown(outcome.ReasonInvalidResponse) {
			t.Errorf("%s: got outcome %v", name, o)
		}
	}
	for name, text := range brokenresponse.Bodies() {
		is := is.New(t)
		response, err := newUpstream(t, brokenresponse.StartServer(t, text)).Do(t.Context(), newRequest("GET"))
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		var truncated *httpupstream.TruncatedError
		if !errors.As(err, &truncated) {
			t.Errorf("%s: got the complete body %q", name, body)
		}
		is.NoErr(response.Body.Close())
	}
}

// TestBrokenControlResponses guards against a response to a grant or a load report whose head is not
// valid, and that counts as a success.
func TestBrokenControlResponses(t *testing.T) {
	for name, text := range brokenresponse.All() {
		u := newUpstream(t, brokenresponse.StartServer(t, text))
		var failed *httpupstream.ControlError
		if err := u.Grant(t.Context(), upstream.Grant{}); !errors.As(err, &failed) || failed.Status() != 0 {
			t.Errorf("%s: the grant counts as answered, error %v", name, err)
		}
	}
}
