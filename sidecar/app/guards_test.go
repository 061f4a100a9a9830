package app_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

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

// refusal returns the status and the text of a response with a time to retry, 0 for any other.
func refusal(conn net.Conn) (int, string) {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || response.Header.Get("Retry-After") == "" {
		return 0, "incomplete"
	}
	return response.StatusCode, string(text)
}

// TestRefusalsAreTold guards against a request that is refused for a limit without being told that it
// was not run, that runs all the same, or that no metric counts.
func TestRefusalsAreTold(t *testing.T) {
	is := is.New(t)
	c, in := startLimited(t, 143)
	const head = "POST /photos/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: refused\r\nX-Deadline-Ms: 600000\r\n"
	const body = head + "Content-Length: 40000\r\n\r\n"
	held := make([]net.Conn, 0, 8) // 8 bodies take more than half of the 512 kB for bodies.
	for range cap(held) {
		held = append(held, c.sendPart(in, body+strings.Repeat("b", 39_999)))
	}
	for _, conn := range held {
		status, text := refusal(conn)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(strings.Contains(text, "slow-body"))
	}
	status, text := refusal(c.sendPart(in, head+"X-Cut: "))
	is.Equal(status, http.StatusRequestTimeout)
	is.Equal(text, "not run: head-timeout\n")
	status, text = refusal(c.sendPart(in, head+strings.Repeat("a:\r\n", 30_000)))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(text, "not run: head-memory\n")
	is.Equal(in.upstream.RunCount("refused"), 0)
	for series, count := range map[string]string{
		`connections_closed_total{listener="callers",reason="slow-body"}`:    strconv.Itoa(len(held)),
		`connections_closed_total{listener="callers",reason="head-timeout"}`: "1",
		`connections_closed_total{listener="callers",reason="head-memory"}`:  "1",
		`own_statuses_total{reason="slow-body",status="503"}`:                strconv.Itoa(len(held)),
		`own_statuses_total{reason="head-timeout",status="408"}`:             "1",
		`own_statuses_total{reason="head-memory",status="503"}`:              "1",
	} {
		c.eventually(series, func() bool { return c.metric(in, series) == count })
	}
	status, _ = c.sendRequest(in, http.MethodPost, "/book/after", 1)
	is.Equal(status, http.StatusOK)
}

// TestBodyBeyondRouteTimeout guards against a body that is awaited for longer than its request may take.
func TestBodyBeyondRouteTimeout(t *testing.T) {
	is := is.New(t)
	c, in := startLimited(t, 144)
	conn := c.sendPart(in, "POST /photos/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: late\r\nX-Deadline-Ms: 600000\r\nContent-Length: 10\r\n\r\n123456789")
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // The timeout of the route is 2 s.
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
	is.Equal(in.upstream.RunCount("late"), 0)
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
