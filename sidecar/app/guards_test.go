package app_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/sidecar/app"
)

// startLimited starts an instance whose manifest allows 500 ms for a head.
func startLimited(t *testing.T, subnet int) (*cluster, *instance) {
	t.Helper()
	c := newCluster(t, subnet, "ledger")
	c.store.WriteLimitsManifest(5, `{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout":"500ms"}`)
	in := c.instances[0]
	c.eventually("use of the limits", func() bool {
		status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1)
		return status == http.StatusOK && c.metric(in, "manifest_version") == "5"
	})
	return c, in
}

// sendPart sends a part of a request to the callers' address and returns the connection.
func (c *cluster) sendPart(in *instance, text string) net.Conn {
	c.t.Helper()
	conn, err := net.Dial("tcp", in.ip+":9001")
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		c.t.Fatal(err)
	}
	return conn
}

// TestFloodOfConnections guards against a log that grows with the number of connections, and against
// connections that keep others from being served.
func TestFloodOfConnections(t *testing.T) {
	is := is.New(t)
	c, in := startLimited(t, 145)
	const flood = 600
	for i := range flood {
		c.sendPart(in, fmt.Sprintf("GET /book/%d HTTP/1.1\r\n", i))
	}
	c.eventually("a request beside the connections", func() bool {
		status, _ := c.sendRequest(in, http.MethodPost, "/book/beside", 1)
		return status == http.StatusOK
	})
	c.eventually("end of slow heads", func() bool { return c.metric(in, "caller_connections") < "3" })
	c.logs.mu.Lock()
	defer c.logs.mu.Unlock()
	lines := strings.Count(c.logs.buf.String(), "event=connectionClosed")
	is.True(lines > 0 && lines < flood/2)
}

// TestSupportedLimits guards against a limit that is below what the users' manifests allow callers.
func TestSupportedLimits(t *testing.T) {
	is := is.New(t)
	limits := app.SupportedLimits()
	is.True(limits.MaxHeaderBytes >= 16384)
	is.True(limits.MaxBodyBytes >= 64<<20)
}
