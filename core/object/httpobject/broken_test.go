package httpobject_test

import (
	"errors"
	"testing"

	"briarwell.dev/core/internal/brokenresponse"
	"briarwell.dev/core/object"
	"briarwell.dev/core/object/httpobject"
)

// TestBrokenResponses guards against a response whose head or body is not valid, and that counts as
// the acknowledgement of an object.
func TestBrokenResponses(t *testing.T) {
	for name, text := range brokenresponse.All() {
		store, err := httpobject.New("http://" + brokenresponse.StartServer(t, text))
		if err != nil {
			t.Fatal(err)
		}
		_, err = store.Put(t.Context(), []byte("x"))
		var outage *object.OutageError
		var status *httpobject.StatusError
		if !errors.As(err, &outage) || errors.As(err, &status) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}
