package app_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/platform/platformtest"
)

// TestOwnStatusesAreExplained guards against a status of the sidecar's own that no metric counts
// and no log line explains, and against a flood of wrong requests that floods the log.
func TestOwnStatusesAreExplained(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 118, "ledger")
	in := c.instances[0]
	c.eventually("serving", func() bool {
		status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1)
		return status == http.StatusOK
	})
	send := func(path, timeout string) int {
		r, err := platformtest.CallerRequest{ID: "id", Method: http.MethodGet, Address: in.ip + ":9001", Host: "h", Path: path}.HTTPRequest(t.Context())
		is.NoErr(err)
		r.Header.Set("X-Deadline-Ms", timeout)
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	is.Equal(send("/nowhere/a?secret=1", "2000"), http.StatusNotFound)
	const floods = 200
	for range floods {
		is.Equal(send("/book/x", "soon"), http.StatusBadRequest)
	}
	c.eventually("metrics of own statuses", func() bool {
		return c.metric(in, `own_statuses_total{reason="no-route",status="404"}`) == "1" &&
			c.metric(in, `own_statuses_total{reason="invalid-timeout",status="400"}`) == strconv.Itoa(floods)
	})
	c.logs.mu.Lock()
	defer c.logs.mu.Unlock()
	text := c.logs.buf.String()
	is.True(strings.Contains(text, "host=h path=/nowhere/a ") && strings.Contains(text, "reason=no-route status=404"))
	is.True(strings.Contains(text, "manifest=4 manifestAgeMillis="))
	is.True(!strings.Contains(text, "secret"))
	is.True(strings.Count(text, "event=requestRejected") < floods)
}
