package httpserver_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/connlimit"
	"briarwell.dev/core/httpserver"
	"briarwell.dev/core/memory"
)

// manualClock is a clock that the tests advance.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() clock.Millis { return clock.Millis(c.now.Load()) }

// guarded is a server with a guard.
type guarded struct {
	clock   *manualClock
	t       *testing.T
	address string
	guard   *httpserver.Guard
	closed  chan connlimit.Reason
}

// startGuarded starts a server. Its refusals are "refused REASON".
func startGuarded(t *testing.T, settings httpserver.GuardSettings, handler http.HandlerFunc) *guarded {
	t.Helper()
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &guarded{t: t, address: bound.Addr().String(), closed: make(chan connlimit.Reason, 10)}
	g.clock = &manualClock{}
	settings.Clock = g.clock
	settings.Refusal = func(reason connlimit.Reason) []byte { return []byte("refused " + string(reason)) }
	settings.OnClosing = func(_ net.Addr, reason connlimit.Reason, _ int) { g.closed <- reason }
	g.guard = httpserver.NewGuard(settings)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	listener := httpserver.Watch(server, bound, nil).WithGuard(g.guard)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return g
}

// send opens a connection and sends text on it.
func (g *guarded) send(text string) net.Conn {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		g.t.Fatal(err)
	}
	return conn
}

// readAll returns what the server sends until it closes the connection.
func readAll(conn net.Conn) string {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	text, _ := io.ReadAll(conn)
	return string(text)
}

// await waits until the guard has closed a connection, and returns the reason.
func (g *guarded) await(sweep func()) connlimit.Reason {
	g.t.Helper()
	for range 500 {
		sweep()
		select {
		case reason := <-g.closed:
			return reason
		case <-time.After(10 * time.Millisecond):
		}
	}
	g.t.Fatal("no connection is closed")
	return ""
}

// sweeps returns a function that sweeps, each time 100 ms later on the clock of the guard.
func (g *guarded) sweeps(headTimeout clock.Millis, pressure connlimit.Pressure) func() {
	return func() {
		g.clock.now.Add(100)
		g.guard.Sweep(headTimeout, pressure)
	}
}

// TestHeadsExceedMemory guards against heads that take more memory than there is for them, and against a
// request that reaches its handler although it was refused.
func TestHeadsExceedMemory(t *testing.T) {
	is := is.New(t)
	served := make(chan string, 1)
	budget := memory.NewBudget(100_000)
	g := startGuarded(t, httpserver.GuardSettings{Heads: budget}, func(_ http.ResponseWriter, r *http.Request) { served <- r.URL.Path })
	conn := g.send("GET /many HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1000))
	is.Equal(readAll(conn), "refused head-memory")
	is.Equal(<-g.closed, connlimit.ReasonHeadMemory)
	// A body is no part of the head, also if both arrive at once.
	conn = g.send("POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("\n", 3000))
	is.Equal(<-served, "/one")
	is.True(budget.Used() < 1000)
	_ = conn.Close()
	for range 100 {
		if time.Sleep(10 * time.Millisecond); budget.Used() == 0 {
			break
		}
	}
	is.Equal(budget.Used(), int64(0))
}

// TestHandlerRefusesHead guards against a head beyond the memory that its handler does not learn of.
func TestHandlerRefusesHead(t *testing.T) {
	is := is.New(t)
	refused := make(chan bool, 1)
	g := startGuarded(t, httpserver.GuardSettings{Heads: memory.NewBudget(100_000), HandlerRefuses: true},
		func(_ http.ResponseWriter, r *http.Request) { refused <- httpserver.HeadRefused(r.Context()) })
	conn := g.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n")
	is.True(<-refused)
	time.Sleep(20 * time.Millisecond) // The response ends.
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.True(!<-refused)
}

// TestHeadTimeout guards against a head that is sent too slowly and gets no answer.
func TestHeadTimeout(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, httpserver.GuardSettings{}, func(http.ResponseWriter, *http.Request) { t.Error("served") })
	conn := g.send("GET / HTTP/1.1\r\nHost: h\r\n")
	is.Equal(g.await(g.sweeps(2000, connlimit.Pressure{})), connlimit.ReasonHeadTimeout)
	is.Equal(readAll(conn), "refused head-timeout")
}

// TestTooManyConnections guards against a connection beyond the number that is admitted or not told
// why, while all others are served.
func TestTooManyConnections(t *testing.T) {
	is := is.New(t)
	release, serving := make(chan struct{}), make(chan struct{}, 2)
	g := startGuarded(t, httpserver.GuardSettings{MaxConnections: 2}, func(http.ResponseWriter, *http.Request) {
		serving <- struct{}{}
		<-release
	})
	const request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	first := g.send(request)
	g.send(request)
	<-serving
	<-serving
	is.Equal(readAll(g.send(request)), "refused too-many-connections")
	close(release)
	is.True(strings.HasPrefix(readAll(first), "HTTP/1.1 200"))
}

// TestSlowBodyUnderPressure guards against a handler that learns that a slow body is complete, and
// against the end of a body that is read at a usual speed.
func TestSlowBodyUnderPressure(t *testing.T) {
	is := is.New(t)
	errs := make(chan error, 2)
	g := startGuarded(t, httpserver.GuardSettings{}, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, httpserver.NewBody(w, r, 10_000))
		errs <- err
		w.WriteHeader(http.StatusTeapot)
	})
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n"
	for _, part := range []string{"\r\n123456789", "Expect: 100-continue\r\n\r\n"} {
		conn := g.send(head + part)
		is.Equal(g.await(g.sweeps(0, connlimit.Pressure{Bodies: true})), connlimit.ReasonSlowBody)
		var evicted *httpserver.EvictedError
		is.True(errors.As(<-errs, &evicted))
		is.Equal(evicted.Reason(), connlimit.ReasonSlowBody)
		is.True(strings.Contains(readAll(conn), "HTTP/1.1 418"))
	}
	g.send(head + "\r\n1234567890")
	is.NoErr(<-errs)
}

// TestUnreadResponse guards against a response that is never read and keeps its handler for good, and
// against responses that fill the kernel's buffers.
func TestUnreadResponse(t *testing.T) {
	is := is.New(t)
	ended := make(chan int, 1)
	g := startGuarded(t, httpserver.GuardSettings{}, func(w http.ResponseWriter, _ *http.Request) {
		n, err := w.Write(make([]byte, 16<<20))
		is.True(err != nil)
		ended <- n
	})
	conn := g.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond) // The response is being written.
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // The server reads a byte of the next request.
	is.Equal(g.await(g.sweeps(0, connlimit.Pressure{Bodies: true})), connlimit.ReasonSlowResponse)
	is.True(<-ended < 8<<20) // The receiver's buffer takes up to 6 MB.
}

// TestGapBetweenSweeps guards against the end of a request whose client waited for this process.
func TestGapBetweenSweeps(t *testing.T) {
	is := is.New(t)
	served := make(chan struct{}, 1)
	g := startGuarded(t, httpserver.GuardSettings{}, func(http.ResponseWriter, *http.Request) { served <- struct{}{} })
	conn := g.send("GET / HTTP/1.1\r\nHost: h\r\n")
	time.Sleep(50 * time.Millisecond) // The server reads this part.
	g.clock.now.Add(5000)
	g.guard.Sweep(2000, connlimit.Pressure{Heads: true})
	_, err := io.WriteString(conn, "\r\n")
	is.NoErr(err)
	<-served
	is.Equal(len(g.closed), 0)
}

// TestGuardWithManyRequests guards against requests that are lost, mixed or counted wrongly while
// others on the same server are evicted.
func TestGuardWithManyRequests(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, httpserver.GuardSettings{MaxConnections: 50, Heads: memory.NewBudget(1 << 20)}, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(httpserver.NewBody(w, r, 10_000))
		if err == nil {
			_, _ = w.Write(body)
		}
	})
	sweep := g.sweeps(0, connlimit.Pressure{Bodies: true, Heads: true})
	go func() {
		for range g.closed {
		}
	}()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10}}
	for i := range 300 {
		if i%3 == 0 {
			g.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n1")
			sweep()
		}
		sent := fmt.Sprintf("body %d", i)
		response, err := client.Post("http://"+g.address, "text/plain", strings.NewReader(sent))
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), sent)
		_ = response.Body.Close()
	}
	is.True(g.guard.Connections() <= 50)
}
