package httpclient_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/httpclient"
)

// startServer accepts connections and hands each to the script, which reads requests
// from it and writes raw answers.
func startServer(t *testing.T, script func(n int, conn net.Conn, requests *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

func getRequest(id string) httpclient.Request {
	return httpclient.Request{
		Method: http.MethodGet, RequestURI: "/x", Host: "h", Header: http.Header{"Id": {id}},
		MatchesResponse: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func writeResponse(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestLateResponseToEarlierRequest guards against an answer to an earlier request that is
// taken for that of the next one.
func TestLateResponseToEarlierRequest(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			if r.Header.Get("Id") == "2" {
				writeResponse(conn, "1", "extra")
			}
			writeResponse(conn, r.Header.Get("Id"), "own "+r.Header.Get("Id"))
		}
	})
	c := httpclient.New(address, nil)
	for _, id := range []string{"1", "2", "3"} {
		got, err := c.Do(context.Background(), getRequest(id))
		is.NoErr(err)
		is.Equal(string(got.Body), "own "+id)
	}
}

// TestUnexpectedResponseOnIdleConnection guards against bytes that wait on an idle connection.
func TestUnexpectedResponseOnIdleConnection(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(n int, conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		writeResponse(conn, r.Header.Get("Id"), fmt.Sprintf("connection %d", n))
		time.Sleep(20 * time.Millisecond)
		writeResponse(conn, r.Header.Get("Id"), "extra")
		time.Sleep(time.Second)
	})
	c := httpclient.New(address, nil)
	_, err := c.Do(context.Background(), getRequest("1"))
	is.NoErr(err)
	time.Sleep(80 * time.Millisecond)
	got, err := c.Do(context.Background(), getRequest("2"))
	is.NoErr(err)
	is.Equal(string(got.Body), "connection 2")
}

// TestTruncatedResponses guards against answers that end early and look whole, and
// against failures that are said not to have been sent.
func TestTruncatedResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"cut body":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"cut chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"cut head":   "HTTP/1.1 200 OK\r\nId",
		"no answer":  "",
		"garbage":    "\x00\x01garbage\r\n\r\n",
	} {
		address := startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_, _ = conn.Write([]byte(raw))
		})
		_, err := httpclient.New(address, nil).Do(context.Background(), getRequest("1"))
		var failed *httpclient.Error
		if !errors.As(err, &failed) || !failed.Sent() {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}

// TestResponseWithoutLength guards against a reset that looks like the end.
func TestResponseWithoutLength(t *testing.T) {
	is := is.New(t)
	for _, reset := range []bool{false, true} {
		address := startServer(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it"))
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		got, err := httpclient.New(address, nil).Do(context.Background(), getRequest("1"))
		is.Equal(err != nil, reset)
		if !reset {
			is.Equal(string(got.Body), "all of it")
		}
	}
}

// TestResponseBeforeBodyIsSent guards against the rest of a long body that is taken for the
// next request.
func TestResponseBeforeBodyIsSent(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(n int, conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		writeResponse(conn, r.Header.Get("Id"), fmt.Sprintf("connection %d", n))
		time.Sleep(time.Second)
	})
	c := httpclient.New(address, nil)
	long := getRequest("1")
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 32<<20))
	got, err := c.Do(context.Background(), long)
	is.NoErr(err)
	is.Equal(string(got.Body), "connection 1")
	got, err = c.Do(context.Background(), getRequest("2"))
	is.NoErr(err)
	is.Equal(string(got.Body), "connection 2")
}

// TestCancelClosesConnection guards against work that goes on after its caller has left.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan time.Time, 1)
	address := startServer(t, func(_ int, _ net.Conn, requests *bufio.Reader) {
		_, _ = http.ReadRequest(requests)
		_, _ = requests.ReadByte()
		closed <- time.Now()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := httpclient.New(address, nil).Do(ctx, getRequest("1"))
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True((<-closed).Sub(began) < 300*time.Millisecond)
}

// TestConnectionRefused guards against a refused connection that counts as sent.
func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	c := httpclient.New(address, nil)
	_, err = c.Do(context.Background(), getRequest("1"))
	var failed *httpclient.Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent() && failed.ConnectionRefused())
	is.True(c.RefusesConnections(context.Background()))
}

// TestHeaderInjection guards against a header that ends its line.
func TestHeaderInjection(t *testing.T) {
	is := is.New(t)
	r := getRequest("1")
	r.Header.Set("X", "a\r\nGET /other HTTP/1.1")
	_, err := httpclient.New("127.0.0.1:1", nil).Do(context.Background(), r)
	var failed *httpclient.Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent())
}

// TestClosedByPeer replays a request that was delayed until its sender had given up: both the
// request and the end of its connection are there at once.
func TestClosedByPeer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	sender, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	received, err := l.Accept()
	is.NoErr(err)
	defer received.Close()
	is.True(!httpclient.ClosedByPeer(received)) // waits for a request
	_, err = sender.Write([]byte("x"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	is.True(!httpclient.ClosedByPeer(received)) // has one to read
	_, err = received.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!httpclient.ClosedByPeer(received))
	is.NoErr(sender.Close())
	time.Sleep(20 * time.Millisecond)
	is.True(httpclient.ClosedByPeer(received))
}
