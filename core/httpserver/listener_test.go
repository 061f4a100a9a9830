package httpserver_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/httpserver"
)

// TestResponsesWithoutHandler guards against a response of net/http's own that nobody counts, and
// against one of the handler that counts as such.
func TestResponsesWithoutHandler(t *testing.T) {
	is := is.New(t)
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	statuses := make(chan int, 10)
	server := &http.Server{MaxHeaderBytes: 8 << 10, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.True(!httpserver.SenderDisconnected(r.Context()))
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusTeapot)
	})}
	listener := httpserver.Watch(server, bound, func(_ *httpserver.Conn, status int) { statuses <- status })
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	const proper = "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx"
	for request, expected := range map[string]int{
		proper + proper:                                  0,
		"GET / HTTP/1.1\r\nHost":                         0, // The sender leaves.
		proper + "GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n":  400,
		"GET / HTTP/1.1\r\n\r\n":                         400,
		"GET / HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n": 417,
		"GET / HTTP/1.1\r\nHost: h\r\nCookie: " + strings.Repeat("c", 16<<10) + "\r\n": 431,
		"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n":                 501,
		"GET / HTTP/3.0\r\nHost: h\r\n\r\n":                                            505,
	} {
		conn, err := net.Dial("tcp", bound.Addr().String())
		is.NoErr(err)
		is.NoErr(conn.SetDeadline(time.Now().Add(200 * time.Millisecond)))
		_, err = io.WriteString(conn, request)
		is.NoErr(err)
		_, _ = io.ReadAll(conn) // An open connection ends with the deadline.
		_ = conn.Close()
		time.Sleep(20 * time.Millisecond)
		got := 0
		select {
		case got = <-statuses:
		default:
		}
		is.Equal(got, expected)
	}
	is.Equal(len(statuses), 0)
}
