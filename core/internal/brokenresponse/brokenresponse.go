// Package brokenresponse holds responses for tests that no client may take for the response that was
// sent.
package brokenresponse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// forged is a body that is a response itself, for a client that reads the body as the next response.
const forged = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nforged"

// Heads returns responses with a head that is not valid, by name. Each has the field Id: 1 and ends
// with the connection.
func Heads() map[string]string {
	const ok, length, body = "HTTP/1.1 200 OK\r\nId: 1\r\n", "Content-Length: 4\r\n", "\r\nbodyrest"
	heads := map[string]string{
		"blank before the colon":       ok + "Content-Length : 4\r\n" + body,
		"blank in a name":              ok + "X Name: v\r\n" + length + body,
		"blank before a name":          ok + " X-Name: v\r\n" + length + body,
		"blank before the length":      ok + " " + length + body,
		"tab before a name":            ok + "\tX-Name: v\r\n" + length + body,
		"tab in a name":                ok + "X\tName: v\r\n" + length + body,
		"tab before the colon":         ok + "Content-Length\t: 4\r\n" + body,
		"zero byte in a name":          ok + "X\x00Name: v\r\n" + length + body,
		"delete byte in a name":        ok + "X\x7fName: v\r\n" + length + body,
		"line feed before a name":      ok + length + "\nX-Name: v\r\n" + body,
		"line feed in a name":          ok + length + "X-\nName: v\r\n" + body,
		"return before a name":         ok + length + "\rX-Name: v\r\n" + body,
		"return in a name":             ok + length + "X-\rName: v\r\n" + body,
		"no name":                      ok + ": v\r\n" + length + body,
		"no colon":                     ok + "X-Name\r\n" + length + body,
		"blank before the encoding":    ok + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"line feed in a value":         ok + "X-Name: v\nX-Other: v\r\n" + length + body,
		"zero byte in a value":         ok + "X-Name: v\x00\r\n" + length + body,
		"line feed after the status":   "HTTP/1.1 200 OK\nId: 1\r\n" + length + body,
		"line feed at the end":         ok + length + "\nbodyrest",
		"lengths that differ":          ok + length + "Content-Length: 5\r\n" + body,
		"length with a sign":           ok + "Content-Length: +4\r\n" + body,
		"length and chunks":            ok + length + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":           "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"unknown encoding":             ok + "Transfer-Encoding: x\r\n" + body,
		"length of a status without":   "HTTP/1.1 204 No Content\r\nId: 1\r\n" + length + body,
		"empty line before the status": "\r\n" + ok + length + body,
		"other version":                "HTTP/2.0 200 OK\r\nId: 1\r\n" + length + body,
		"no version":                   "HTTP/ 200 OK\r\nId: 1\r\n" + length + body,
		"two blanks before the status": "HTTP/1.1  200 OK\r\nId: 1\r\n" + length + body,
		"control byte in the reason":   "HTTP/1.1 200 O\x01K\r\nId: 1\r\n" + length + body,
		"interim with a blank":         "HTTP/1.1 103 Early Hints\r\nX Link: v\r\n\r\n" + ok + length + body,
		"interim with a length":        "HTTP/1.1 103 Early Hints\r\nContent-Length: " + strconv.Itoa(len(forged)) + "\r\n\r\n" + forged,
	}
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20", "-01", "2", "2000", "2x0"} {
		heads["status "+status] = "HTTP/1.1 " + status + " Trouble\r\nId: 1\r\nContent-Length: " + strconv.Itoa(len(forged)) + "\r\n\r\n" + forged
	}
	return heads
}

// Bodies returns responses with a valid head and a body that is not valid, by name.
func Bodies() map[string]string {
	const chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	return map[string]string{
		"blank in a trailer name":           chunked + "4\r\nbody\r\n0\r\nX Name: v\r\n\r\n",
		"blank before a trailer name":       chunked + "4\r\nbody\r\n0\r\n X-Name: v\r\n\r\n",
		"control byte in a trailer name":    chunked + "4\r\nbody\r\n0\r\nX\x01Name: v\r\n\r\n",
		"line feed before a trailer name":   chunked + "4\r\nbody\r\n0\r\n\nX-Name: v\r\n\r\n",
		"line feed at the end of a trailer": chunked + "4\r\nbody\r\n0\r\nX-Name: v\n\r\n",
		"trailers cut":                      chunked + "4\r\nbody\r\n0\r\nX-Name: v\r\n",
		"trailer without a colon":           chunked + "4\r\nbody\r\n0\r\nX-Name\r\n\r\n",
		"no last line":                      chunked + "4\r\nbody\r\n0\r\n",
		"no last chunk":                     chunked + "4\r\nbody\r\n",
		"line feed after a chunk":           chunked + "4\r\nbody\n0\r\n\r\n",
		"line feed after a chunk size":      chunked + "4\nbody\r\n0\r\n\r\n",
		"blank before a chunk size":         chunked + " 4\r\nbody\r\n0\r\n\r\n",
		"sign before a chunk size":          chunked + "+4\r\nbody\r\n0\r\n\r\n",
		"chunk longer than its size":        chunked + "3\r\nbody\r\n0\r\n\r\n",
		"shorter than its length":           "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nbody",
	}
}

// All returns the responses of Heads and Bodies.
func All() map[string]string {
	all := Heads()
	for name, text := range Bodies() {
		all[name] = text
	}
	return all
}

// lingerTime bounds the wait until the client closes a connection.
const lingerTime = 5 * time.Second

// StartServer starts a server that sends the text in place of its response to each request, and
// closes the connection. It returns its address.
func StartServer(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, text) // The client may have given up.
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				// A close with unread bytes would reset the connection.
				_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// Resets returns ways in which a server resets a connection on which it has responded to a part of a
// request, by name.
func Resets() map[string]func(*net.TCPConn) {
	return map[string]func(*net.TCPConn){
		"reset": func(conn *net.TCPConn) {
			time.Sleep(writeTime)
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
		"closed": func(conn *net.TCPConn) {
			time.Sleep(writeTime)
			_ = conn.Close()
		},
		"closed halfway": func(conn *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, conn, 1<<20)
			_ = conn.Close()
		},
		"ended, then reset": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
	}
}

// RegularEnds returns ways in which a server ends its direction of such a connection, by name.
func RegularEnds() map[string]func(*net.TCPConn) {
	return map[string]func(*net.TCPConn){
		"reads on": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"reads no more": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(time.Second)
		},
	}
}

// writeTime is the time for which the client writes before a reset.
const writeTime = 5 * time.Millisecond
