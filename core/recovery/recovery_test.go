package recovery_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/recovery"
)

// TestHandler guards against a panic in one request that closes its connection without a
// response, makes half a response look complete, or ends other requests.
func TestHandler(t *testing.T) {
	is := is.New(t)
	panics := make(chan *recovery.PanicError, 2)
	mux := http.NewServeMux()
	mux.HandleFunc("/early", func(http.ResponseWriter, *http.Request) { panic("early fault") })
	mux.HandleFunc("/late", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", 10_000)))
		w.(http.Flusher).Flush()
		panic("late fault")
	})
	mux.HandleFunc("/fine", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("fine")) })
	server := httptest.NewServer(recovery.Handler(mux, func(w http.ResponseWriter, _ *http.Request, err *recovery.PanicError) {
		panics <- err
		if w != nil {
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	defer server.Close()
	get := func(path string) (int, string, error) {
		response, err := http.Get(server.URL + path)
		if err != nil {
			return 0, "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return response.StatusCode, string(body), err
	}
	status, _, err := get("/early")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.Equal((<-panics).Value(), "early fault")
	_, _, err = get("/late")
	is.True(err != nil) // the response is not complete
	late := <-panics
	is.True(strings.Contains(late.Stack(), "recovery_test"))
	status, body, err := get("/fine")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "fine")
}

// TestCall guards against a panic in a background task that ends the process without a
// reason, or is lost.
func TestCall(t *testing.T) {
	is := is.New(t)
	err := recovery.Call(func() {
		indices := []int{}
		t.Log(indices[len(panicTexts(1))])
	})
	var panicked *recovery.PanicError
	is.True(errors.As(err, &panicked))
	is.True(strings.Contains(err.Error(), "index out of range"))
	is.NoErr(recovery.Call(func() {}))
}

func panicTexts(n int) []string { return make([]string, n) }
