package httpserver_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/httpserver"
)

// TestSenderDisconnected guards against running a request that was delayed until its sender gave
// up, so that the request and the end of its connection arrive together.
func TestSenderDisconnected(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	ctx := httpserver.ConnContext(context.Background(), conn)
	is.True(!httpserver.SenderDisconnected(ctx)) // no request yet
	_, err = client.Write([]byte("x"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	is.True(!httpserver.SenderDisconnected(ctx)) // a request to read
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!httpserver.SenderDisconnected(ctx))
	is.NoErr(client.Close())
	time.Sleep(20 * time.Millisecond)
	is.True(httpserver.SenderDisconnected(ctx))
}

// bodyResult is what a handler found.
type bodyResult struct {
	bytes     int
	err       error
	cancelled bool
}

// receive returns what a server finds that waits before it reads a body of size bytes, of which the
// sender sends sent, and that works for a while before it responds.
func receive(t *testing.T, size, sent int, timeout clock.Millis, wait time.Duration) bodyResult {
	t.Helper()
	results := make(chan bodyResult, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := httpserver.NewBody(w, r, timeout)
		time.Sleep(wait)
		data, err := io.ReadAll(body)
		time.Sleep(100 * time.Millisecond)
		results <- bodyResult{bytes: len(data), err: err, cancelled: r.Context().Err() != nil}
	}))
	server.Config.ConnContext = httpserver.ConnContext
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", sent)); err != nil {
		t.Fatal(err)
	}
	return <-results
}

// TestBodyReadTooLate guards against a sender that is told to have stalled although it had sent its
// body before this process read it.
func TestBodyReadTooLate(t *testing.T) {
	is := is.New(t)
	var late *httpserver.LateError
	is.True(errors.As(receive(t, 50_000, 50_000, 20, 60*time.Millisecond).err, &late))
	stalled := receive(t, 50_000, 25_000, 50, 0)
	is.True(errors.Is(stalled.err, os.ErrDeadlineExceeded))
	is.Equal(stalled.bytes, 25_000)
}

// TestDeadlineCancelsRequest guards against a deadline for the body that ends the work on a request
// whose body is complete.
func TestDeadlineCancelsRequest(t *testing.T) {
	is := is.New(t)
	is.Equal(receive(t, 0, 0, 10, 20*time.Millisecond), bodyResult{})
	is.Equal(receive(t, 50_000, 50_000, 50, 0), bodyResult{bytes: 50_000})
}

// TestBodyWithoutDeadline guards against a whole body that is rejected since its connection takes no
// read deadline.
func TestBodyWithoutDeadline(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, 100)))
	data, err := io.ReadAll(httpserver.NewBody(httptest.NewRecorder(), r, 1000))
	is.NoErr(err)
	is.Equal(len(data), 100)
}
