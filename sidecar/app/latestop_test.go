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
	k.send("first-"+id, 2*time.Second, 0)
	if status, _ := k.receive(); status != http.StatusOK {
		t.Fatalf("first request %s: status %d", id, status)
	}
	return k
}

// send sends a booking, without the last missing bytes of its body.
func (k *keptConn) send(id string, timeout time.Duration, missing int) {
	const body = "body"
	_, _ = fmt.Fprintf(k.conn, "POST /book/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, timeout.Milliseconds(), len(body), body[:len(body)-missing])
}

// receive returns the status and the header of the next response. Status 0 means that the
// connection ended without a whole response.
func (k *keptConn) receive() (int, http.Header) {
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
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
		inFlight.send("in-flight", 5*time.Second, 0)
		if status, _ := inFlight.receive(); status != http.StatusOK {
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
			conn.send(fmt.Sprintf("late-%d", i), timeout, 0)
			statuses[i], _ = conn.receive()
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

// TestRequestsAtEndOfGrace guards against connections that are closed without a response when the
// grace period ends, and against nested requests that are refused while their parent runs.
func TestRequestsAtEndOfGrace(t *testing.T) {
	is := is.New(t)
	c := newSlowCluster(t, 136, "ledger", "ledger")
	stopped := c.instances[0]
	conns := make(map[string]*keptConn)
	for i := range 4 {
		conns[fmt.Sprintf("long-%d", i)] = newKeptConn(t, stopped, fmt.Sprint(i))
	}
	unfinished, nested := newKeptConn(t, stopped, "unfinished"), newKeptConn(t, stopped, "nested")
	for _, in := range c.instances {
		in.upstream.Slowness.Store(160_000) // 8 s
	}
	for id, conn := range conns {
		conn.send(id, 10*time.Second, 0)
	}
	unfinished.send("unfinished", 10*time.Second, 1)
	c.eventually("start of the requests", func() bool {
		runs := 0
		for id := range conns {
			runs += c.runCount(id)
		}
		return runs == len(conns)
	})
	parent := ""
	for id := range conns {
		if stopped.upstream.RunCount(id) > 0 {
			parent = id
		}
	}
	is.True(parent != "") // one of them runs beside the sidecar
	for _, in := range c.instances {
		in.upstream.Slowness.Store(0)
	}
	stopped.stop()
	began := time.Now()
	var callers sync.WaitGroup
	for id, conn := range conns {
		callers.Go(func() {
			status, _ := conn.receive()
			if after := time.Since(began); status != http.StatusBadGateway || after < 5*time.Second || after > 6*time.Second {
				t.Errorf("request %s: status %d after %s", id, status, after)
			}
		})
	}
	callers.Go(func() {
		status, header := unfinished.receive()
		if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || c.runCount("unfinished") != 0 {
			t.Errorf("unfinished request: status %d with header %v", status, header)
		}
	})
	time.Sleep(4 * time.Second)
	nested.send(parent+".child", 10*time.Second, 0)
	if status, _ := nested.receive(); status != http.StatusOK {
		t.Errorf("nested request: status %d", status)
	}
	callers.Wait()
	<-stopped.done
	is.True(time.Since(began) < 6*time.Second)
}
