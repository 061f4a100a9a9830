package crowds_test

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of the messages of the crowds. The manifest of the tests allows heads of maxHeaderBytes and
// bodies of maxBodyBytes.
const (
	maxHeaderBytes = 16384
	maxBodyBytes   = 4_000_000
	longFields     = 14
	longFieldBytes = 1000
	shortFields    = 5000
	bodyBytes      = 512 << 10
	minBodyBytes   = 4 << 10
	smallBodyBytes = 16 << 10
	pieceBytes     = 1000
)

// crowd is a group of connections that misbehave in the same way.
type crowd struct {
	name        string
	connections int
	// opening returns what a connection sends first.
	opening func(r request) string
	// repeated, if set, returns what it sends then, again and again with a pause, for as long as it
	// is open. n counts from 0.
	repeated func(r request, n int) string
	pause    time.Duration
	// readPause is the time between two bytes that it reads, of which there are at most maxRead, 0 if
	// it reads nothing.
	readPause time.Duration
	maxRead   int
	// complete is set if the crowd sends complete requests.
	complete bool
}

// request identifies the requests of one connection of a crowd.
type request struct {
	target target
	member int
}

// target is where a crowd sends its requests.
type target struct {
	name    string
	address string
	path    string
}

// head returns the head of request n without its end.
func (r request) head(method string, n int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd-%d-%d\r\nX-Deadline-Ms: 600000\r\n", method, r.target.path, r.member, n)
}

// shortFieldLines returns count header fields with names of three letters, from number first on.
func shortFieldLines(first, count int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var lines strings.Builder
	for i := first; i < first+count; i++ {
		lines.Write([]byte{letters[i/676%26], letters[i/26%26], letters[i%26], ':', '\r', '\n'})
	}
	return lines.String()
}

func withLength(length int) func(r request) string {
	return func(r request) string {
		return r.head("POST", 0) + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	}
}

func chunked(r request) string { return r.head("POST", 0) + "Transfer-Encoding: chunked\r\n\r\n" }

func nothing(request) string { return "" }

func constant(text string) func(request, int) string {
	return func(request, int) string { return text }
}

// bodyLength returns the length of the body of a request: bodyBytes or a half, a quarter and so on down
// to minBodyBytes, so that the bodies fill whatever they are held in.
func (r request) bodyLength() int { return max(bodyBytes>>(r.member%8), minBodyBytes) }

// withBody returns the head of a request and its body without the last byte.
func withBody(r request) string {
	return withLength(r.bodyLength())(r) + strings.Repeat("b", r.bodyLength()-1)
}

// withSmallBody is withBody with a body of smallBodyBytes.
func withSmallBody(r request) string {
	return withLength(smallBodyBytes)(r) + strings.Repeat("b", smallBodyBytes-1)
}

// withChunks returns the head of a request and its body in chunks without the last one.
func withChunks(r request) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", minBodyBytes, strings.Repeat("c", minBodyBytes))
	return chunked(r) + strings.Repeat(chunk, r.bodyLength()/minBodyBytes)
}

func pipelined(r request, n int) string { return r.head("GET", n) + "\r\n" }

// crowds returns the kinds of clients that operators of similar systems have met.
func crowds() []crowd {
	longField := "X-Long-%d: " + strings.Repeat("v", longFieldBytes) + "\r\n"
	longHead := func(r request) string {
		head := r.head("GET", 0)
		for i := range longFields {
			head += fmt.Sprintf(longField, i)
		}
		return head
	}
	shortHead := func(r request) string { return r.head("POST", 0) + shortFieldLines(0, shortFields) }
	return []crowd{
		{name: "silent", connections: 1500, opening: nothing},
		{name: "heads cut short", connections: 1000, opening: longHead},
		{name: "heads of short fields cut short", connections: 500, opening: shortHead},
		{name: "heads of short fields", connections: 500, opening: func(r request) string { return shortHead(r) + "Content-Length: 10\r\n\r\nbbbbbbbbb" }},
		{
			name: "heads in small pieces", connections: 1000, pause: 50 * time.Millisecond, opening: func(r request) string { return r.head("GET", 0) },
			repeated: func(_ request, n int) string { return shortFieldLines(n%shortFields, 1) },
		},
		{
			name: "heads without end", connections: 100, opening: func(r request) string { return r.head("GET", 0) },
			repeated: func(_ request, n int) string { return shortFieldLines(n*100, 100) },
		},
		{name: "bodies cut short", connections: 400, opening: withBody},
		{name: "small bodies cut short", connections: 1000, opening: withSmallBody},
		{
			name: "bodies in small pieces", connections: 500, pause: 20 * time.Millisecond,
			opening: func(r request) string { return withLength(r.bodyLength())(r) },
			repeated: func(r request, n int) string {
				return strings.Repeat("b", max(min(pieceBytes, r.bodyLength()-1-n*pieceBytes), 0))
			},
		},
		{name: "bodies in chunks cut short", connections: 200, opening: withChunks},
		{name: "chunks of one byte", connections: 1000, pause: 20 * time.Millisecond, opening: chunked, repeated: constant("1\r\nc\r\n")},
		{name: "bodies over the limit", connections: 100, opening: withLength(1 << 40), repeated: constant(strings.Repeat("b", 64<<10))},
		{
			name: "chunks over the limit", connections: 100, opening: chunked,
			repeated: constant(fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("c", 64<<10))),
		},
		{name: "pipelined requests", connections: 800, opening: nothing, repeated: pipelined, complete: true},
		{name: "answers unread", connections: 300, opening: nothing, repeated: pipelined, pause: 10 * time.Millisecond, complete: true},
		{
			name: "answers read slowly", connections: 300, opening: nothing, repeated: pipelined, pause: 10 * time.Millisecond,
			readPause: 50 * time.Millisecond, maxRead: math.MaxInt, complete: true,
		},
		{
			name: "answers read half-way", connections: 300, opening: nothing, repeated: pipelined, pause: 10 * time.Millisecond,
			readPause: time.Microsecond, maxRead: 1000, complete: true,
		},
	}
}

// exchange sends the request of one member and returns the status and the body of the answer, 0 if there
// is none.
func (c crowd) exchange(r request) (int, string) {
	conn, err := net.DialTimeout("tcp", r.target.address, dialTimeout)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = conn.Close() }()
	go c.send(conn, r)
	_ = conn.SetReadDeadline(time.Now().Add(hangTime))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// send sends what a connection of the crowd sends, until the connection ends.
func (c crowd) send(conn net.Conn, r request) {
	_, err := io.WriteString(conn, c.opening(r))
	for n := 0; err == nil && c.repeated != nil; n++ {
		_, err = io.WriteString(conn, c.repeated(r, n))
		time.Sleep(c.pause)
	}
}

// press opens the connections of a crowd to a target. It returns once each of them was opened and
// pressTime has passed, and a function that closes them.
func (c crowd) press(t target) func() {
	var members, opened sync.WaitGroup
	done := make(chan struct{})
	for i := range c.connections {
		opened.Add(1)
		members.Go(func() { c.misbehave(request{target: t, member: i}, opened.Done, done) })
	}
	opened.Wait()
	time.Sleep(pressTime)
	return func() {
		close(done)
		members.Wait()
	}
}

// misbehave runs one connection of the crowd until done is closed. Its errors are not reported: the
// process may close the connection.
func (c crowd) misbehave(r request, opened func(), done <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", r.target.address, dialTimeout)
	opened()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.send(conn, r)
	}()
	if c.readPause > 0 {
		go func() {
			for n := 0; n < c.maxRead && err == nil; n++ {
				time.Sleep(c.readPause)
				_, err = conn.Read(make([]byte, 1))
			}
		}()
	}
	<-done
	_ = conn.Close()
	<-written
}
