package httptable_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/table/httptable"
	"briarwell.dev/core/table/wire"
)

// TestScanOverSlowLink guards against a scan that never succeeds, as the response takes longer than a
// call may last although it arrives without a pause.
func TestScanOverSlowLink(t *testing.T) {
	is := is.New(t)
	body, err := json.Marshal(wire.ScanResponse{Revision: 1, Rows: []wire.Row{{Key: "k", Version: 1, Value: make([]byte, 3<<20)}}})
	is.NoErr(err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for part := range slices.Chunk(body, 10_000_000/8/20) { // 10 Mbit/s
			if _, err := w.Write(part); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(time.Second / 20)
		}
	}))
	defer server.Close()
	client, err := httptable.New(server.URL)
	is.NoErr(err)
	_, _, err = client.Scan(t.Context(), "", 0)
	is.NoErr(err)
}

// TestScanOfSilentServer guards against a scan that is waited for although nothing of it arrives.
func TestScanOfSilentServer(t *testing.T) {
	is := is.New(t)
	for _, part := range []string{"", "{"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // Otherwise the server does not notice the disconnect.
			if part != "" {
				_, _ = w.Write([]byte(part))
				_ = http.NewResponseController(w).Flush()
			}
			<-r.Context().Done()
		}))
		client, err := httptable.New(server.URL, httptable.CallTimeout(300*time.Millisecond))
		is.NoErr(err)
		began := time.Now()
		_, _, err = client.Scan(t.Context(), "", 0)
		is.True(err != nil)
		is.True(time.Since(began) < 3*time.Second)
		server.Close()
	}
}
