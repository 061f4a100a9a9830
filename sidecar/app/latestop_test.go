package app_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// keptConn is a connection of a caller that has carried a request before.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// newKeptConn opens a connection to the sidecar and sends a first request on it.
func newKeptConn(t *testing.T, in *instance, id string) *keptConn {
	t.Helper()
	conn, err := net.Dial("tcp", in.ip+":9001")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	k := &keptConn{conn: conn, reader: bufio.NewReader(conn)}
	k.send("first-"+id, 2*time.Second)
	if status := k.receive(); status != http.StatusOK {
		t.Fatalf("first request %s: status %d", id, status)
	}
	return k
}

// send sends a booking.
func (k *keptConn) send(id string, timeout time.Duration) {
	const body = "body"
	_, _ = fmt.Fprintf(k.conn, "POST /book/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, timeout.Milliseconds(), len(body), body)
}

// receive returns the status of the next response. Status 0 means that the
// connection ended without a whole response.
func (k *keptConn) receive() int {
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// newSlowCluster starts instances with a grace period of 6 s, whose callers wait for up to 10 s.
func newSlowCluster(t *testing.T, subnet int, services ...string) *cluster {
	t.Helper()
	c := newClusterWithGrace(t, subnet, "6s", services...)
	c.store.WriteManifestWithTimeout(5, 10*time.Second, "/new/")
	for _, in := range c.instances {
		c.eventually("use of the manifest", func() bool {
			status, _ := c.sendRequest(in, http.MethodGet, "/new/", 1)
			return status == http.StatusOK
		})
	}
	return c
}

func (c *cluster) runCount(id string) int {
	runs := 0
	for _, in := range c.instances {
		runs += in.upstream.RunCount(id)
	}
	return runs
}

// TestLateRequestsOfPlannedStop guards against requests that arrive late in the grace period, are
// passed on and are cut at its end, as their upstream needs longer.
func TestLateRequestsOfPlannedStop(t *testing.T) {
	is := is.New(t)
	c := newSlowCluster(t, 135, "ledger", "ledger", "ledger", "ledger")
	stopped := c.instances[0]
	inFlight := newKeptConn(t, stopped, "in-flight")
	conns := make([]*keptConn, 0, 12)
	for i := range cap(conns) {
		conns = append(conns, newKeptConn(t, stopped, fmt.Sprint(i)))
	}
	for _, in := range c.instances {
		in.upstream.ServiceTime = 2600 * time.Millisecond
	}
	stopped.stop()
	began := time.Now()
	statuses := make([]int, len(conns))
	var callers sync.WaitGroup
	callers.Go(func() { // keeps the sidecar from ending earlier
		time.Sleep(2 * time.Second)
		inFlight.send("in-flight", 5*time.Second)
		if status := inFlight.receive(); status != http.StatusOK {
			t.Errorf("request sent after 2 s: status %d", status)
		}
	})
	for i, conn := range conns {
		timeout := 5 * time.Second
		if i%4 == 3 {
			timeout = 1500 * time.Millisecond // ends before the grace period
		}
		callers.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(2700+100*i) * time.Millisecond)))
			conn.send(fmt.Sprintf("late-%d", i), timeout)
			statuses[i] = conn.receive()
		})
	}
	callers.Wait()
	<-stopped.done
	for i, status := range statuses {
		runs := c.runCount(fmt.Sprintf("late-%d", i))
		t.Logf("sent after %d ms: status %d, %d runs", 2700+100*i, status, runs)
		switch status {
		case http.StatusOK:
			is.Equal(runs, 1)
		case http.StatusServiceUnavailable:
			is.Equal(runs, 0)
		case http.StatusGatewayTimeout:
			is.Equal(i%4, 3) // its own time was over
		default:
			t.Errorf("request sent after %d ms: status %d after %d runs", 2700+100*i, status, runs)
		}
	}
	is.Equal(statuses[3], http.StatusGatewayTimeout) // accepted: it would end before the process
}
