package app_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// metric returns the line of a metric of a sidecar, "" if there is none.
func (c *cluster) metric(in *instance, name string) string {
	response, err := http.Get("http://" + in.ip + ":9006/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "briarwell_"+name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// TestReportedSlowness guards against a slowness in X-Server-Load that does not reach the
// learned capacity, and against a change that the operator does not see.
func TestReportedSlowness(t *testing.T) {
	c := newCluster(t, 61, "wardrobe", "wardrobe", "ledger")
	in := c.instances[0]
	in.upstream.Slowness.Store(100)
	key := 0
	served := func() bool {
		key = (key + 577) % 65536 // spread over both owners
		status, _ := c.sendRequest(in, http.MethodGet, "/browse/x", key)
		return status == http.StatusOK
	}
	c.eventually("assignment of all keys", c.allKeysHeld)
	c.eventually("serving of requests", served)
	for range 40 {
		served()
	}
	c.eventually("usual slowness", func() bool { return c.metric(in, "upstream_slowness") != "" && c.metric(in, "learned_slots") == "4" })
	in.upstream.Slowness.Store(300)
	c.eventually("log line of the change", func() bool {
		served()
		c.logs.mu.Lock()
		defer c.logs.mu.Unlock()
		return strings.Contains(c.logs.buf.String(), "event=upstreamCapacity reason=slower")
	})
	if value := c.metric(in, "capacity_per_second"); value == "" || value == "0" {
		t.Errorf("capacity_per_second is %q", value)
	}
}
