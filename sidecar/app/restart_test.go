package app_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRestartBesideLeftUpstream guards against a sidecar that is restarted beside an
// upstream that has left, and sends requests to it again: the upstream goes on with its
// reports until it exits, and does not say there that it leaves.
func TestRestartBesideLeftUpstream(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 48, "ledger", "ledger")
	left := c.instances[0]
	for _, in := range c.instances {
		in.upstream.ServiceTime = 40 * time.Millisecond // An unknown upstream is expected to be faster.
		c.eventually("use of both upstreams", func() bool {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/before", 1)
			return status == http.StatusOK && in.upstream.TotalRuns() > 0
		})
	}
	is.NoErr(left.upstream.Deregister(left.ip + ":9004"))
	c.eventually("a member row that names the left process", func() bool {
		return strings.Contains(string(c.store.Row("briarwell", "member/"+left.name).Value), `"leftLifeId":"u0"`)
	})
	left.stop()
	<-left.done
	c.startInstance(left)
	before := left.upstream.TotalRuns()
	c.eventually("serving by the restarted sidecar", func() bool {
		status, _ := c.sendRequest(left, http.MethodPost, "/book/ready", 1)
		return status == http.StatusOK
	})
	time.Sleep(time.Second) // time for reports and rows
	is.Equal(left.upstream.TotalRuns(), before)
	for range 30 {
		for _, in := range c.instances {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/after", 1)
			is.Equal(status, http.StatusOK)
		}
	}
	is.Equal(left.upstream.TotalRuns(), before)
}
