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

// startServer accepts connections and returns its address. It runs handle for the nth
// connection, from 1, to read requests from it and write raw responses.
func startServer(t *testing.T, handle func(n int, conn net.Conn, requests *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
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

// TestLateResponseToEarlierRequest guards against returning a late response to an earlier
// request for the next one.
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
		response, err := c.Do(context.Background(), getRequest(id))
		is.NoErr(err)
		is.Equal(string(response.Body), "own "+id)
	}
}

// TestUnexpectedResponseOnIdleConnection guards against reusing an idle connection with
// unexpected bytes to read.
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
	response, err := c.Do(context.Background(), getRequest("2"))
	is.NoErr(err)
	is.Equal(string(response.Body), "connection 2")
}

// TestTruncatedResponses guards against returning truncated responses as complete, and
// against reporting their requests as not sent.
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
			t.Errorf("%s: got error %v, want one of a sent request", name, err)
		}
	}
}

// TestResponseWithoutLength guards against taking a connection reset for the end of a
// response whose length is not given.
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
		response, err := httpclient.New(address, nil).Do(context.Background(), getRequest("1"))
		is.Equal(err != nil, reset)
		if !reset {
			is.Equal(string(response.Body), "all of it")
		}
	}
}

// TestResponseBeforeBodyIsSent guards against reusing a connection on which the rest of a
// long request body would be read as the next request.
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
	post := getRequest("1")
	post.Method, post.Body = http.MethodPost, []byte(strings.Repeat("x", 32<<20))
	response, err := c.Do(context.Background(), post)
	is.NoErr(err)
	is.Equal(string(response.Body), "connection 1")
	response, err = c.Do(context.Background(), getRequest("2"))
	is.NoErr(err)
	is.Equal(string(response.Body), "connection 2")
}

// TestCancelClosesConnection guards against a server that works on after the caller has
// left.
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
	startedAt := time.Now()
	_, err := httpclient.New(address, nil).Do(ctx, getRequest("1"))
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True((<-closed).Sub(startedAt) < 300*time.Millisecond)
}

// TestConnectionRefused guards against reporting a request as sent when the connection was
// refused.
func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	c := httpclient.New(address, nil)
	_, err = c.Do(context.Background(), getRequest("1"))
	var failed *httpclient.Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent() && failed.ConnectionRefused())
	is.True(c.RefusesConnections(context.Background()))
}

// TestHeaderInjection guards against sending a header value that ends its line.
func TestHeaderInjection(t *testing.T) {
	is := is.New(t)
	r := getRequest("1")
	r.Header.Set("X", "a\r\nGET /other HTTP/1.1")
	_, err := httpclient.New("127.0.0.1:1", nil).Do(context.Background(), r)
	var failed *httpclient.Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent())
}

// TestClosedByPeer guards against running a request that was delayed until its client gave
// up, so that the request and the end of its connection arrive together.
func TestClosedByPeer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	is.True(!httpclient.ClosedByPeer(conn)) // no request yet
	_, err = client.Write([]byte("x"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	is.True(!httpclient.ClosedByPeer(conn)) // a request to read
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!httpclient.ClosedByPeer(conn))
	is.NoErr(client.Close())
	time.Sleep(20 * time.Millisecond)
	is.True(httpclient.ClosedByPeer(conn))
}
