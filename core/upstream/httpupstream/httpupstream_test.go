package httpupstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/httpupstream"
)

// server accepts connections and gives each request's head to answer, which
// returns false to close the connection.
type server struct {
	address  string
	requests atomic.Int32
}

func serve(t *testing.T, answer func(conn net.Conn, request *http.Request) bool) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					s.requests.Add(1)
					if !answer(conn, request) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// reply writes text and keeps the connection if keep is set.
func reply(keep bool, text string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, text)
		return keep
	}
}

// hang answers nothing until the client closes the connection.
func hang(conn net.Conn, _ *http.Request) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

const okReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func client(t *testing.T, address string, options ...httpupstream.Option) *httpupstream.Upstream {
	u, err := httpupstream.New(address, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

func order(method string) upstream.Order {
	return upstream.Order{Service: identity.NewService("attire", "bookings"), Method: method, Path: "/k/deposit", Attempt: 1}
}

// expect checks the outcome of a failed order.
func expect(t *testing.T, err error, name string, reason outcome.Reason) {
	t.Helper()
	var failed *upstream.SendError
	if !errors.As(err, &failed) {
		t.Fatalf("no SendError: %v", err)
	}
	if found := failed.Outcome(); found.String() != name || outcome.ReasonOf(found) != reason {
		t.Fatalf("found %s %s, want %s %s: %v", found, outcome.ReasonOf(found), name, reason, err)
	}
}

// Guards against an order that may have run and is called not run, and against
// one that fasthttp sends again.
func TestClassificationAfterSend(t *testing.T) {
	cases := map[string]struct {
		answer func(net.Conn, *http.Request) bool
		name   string
		reason outcome.Reason
	}{
		"closed without answer": {reply(false, ""), "unknown", outcome.ReasonConnectionLost},
		"broken head":           {reply(false, "HTTP/1.1 200 OK\r\nContent-Le"), "unknown", outcome.ReasonConnectionLost},
		"no HTTP":               {reply(false, "SSH-2.0\r\n\r\n"), "unknown", outcome.ReasonConnectionLost},
		"silent":                {hang, "unknown", outcome.ReasonTimeout},
		"refused": {
			reply(true, "HTTP/1.1 503 x\r\nBriarwell-Refused: epoch\r\nContent-Length: 2\r\n\r\nno"),
			"not-run", outcome.ReasonUpstreamRefused,
		},
	}
	for name, c := range cases {
		for _, method := range []string{"GET", "PUT", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				t.Parallel()
				s := serve(t, c.answer)
				_, err := client(t, s.address, httpupstream.Inactivity(time.Second)).Do(context.Background(), order(method))
				expect(t, err, c.name, c.reason)
				is.New(t).Equal(s.requests.Load(), int32(1))
			})
		}
	}
}

// Guards against an order that surely did not run and is called unknown, which
// would keep it from being repeated.
func TestClassificationBeforeSend(t *testing.T) {
	_, err := client(t, "127.0.0.1:1").Do(context.Background(), order("POST"))
	expect(t, err, "not-run", outcome.ReasonUnreachable)

	s := serve(t, hang)
	u := client(t, s.address, httpupstream.Connections(1))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := u.Do(ctx, order("POST"))
		done <- err
	}()
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = u.Do(context.Background(), order("POST"))
	expect(t, err, "not-run", outcome.ReasonOverloaded)
	cancel()
	expect(t, <-done, "unknown", outcome.ReasonTimeout)
	_, err = u.Do(ctx, order("POST"))
	expect(t, err, "not-run", outcome.ReasonDeadlineExceeded)
}

// Guards against an order on a kept connection that the upstream has closed: it
// must go over a new connection, or be unknown if the close came too late, and
// never be sent twice.
func TestIdleConnectionClosedByUpstream(t *testing.T) {
	is := is.New(t)
	var closed atomic.Int32
	s := serve(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, okReply)
		_ = conn.Close()
		closed.Add(1)
		return false
	})
	u := client(t, s.address)
	answered, afterClose := 0, true
	for i := range 200 {
		answer, err := u.Do(context.Background(), order("POST"))
		if err != nil {
			is.True(!afterClose) // the close was there to be seen
			expect(t, err, "unknown", outcome.ReasonConnectionLost)
			afterClose = true
			continue
		}
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		answered++
		afterClose = i%2 == 0
		for afterClose && closed.Load() < s.requests.Load() {
			time.Sleep(time.Millisecond)
		}
	}
	is.Equal(int(s.requests.Load()), answered)
}

// Guards against an answer that ended early and is taken for a whole one.
func TestTruncatedAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		whole bool
	}{
		"length":           {okReply, true},
		"length short":     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		"length empty":     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false},
		"chunked":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"no last chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		"half last chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", false},
		"broken chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", false},
		"chunks not begun": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := client(t, serve(t, reply(false, c.text)).address)
			answer, err := u.Do(context.Background(), order("GET"))
			is.NoErr(err)
			body, err := io.ReadAll(answer.Body)
			var truncated *httpupstream.TruncatedError
			is.Equal(errors.As(err, &truncated), !c.whole)
			is.True(!c.whole || string(body) == "ok")
			_, again := answer.Body.Read(make([]byte, 1))
			is.Equal(errors.Is(again, io.EOF) && !errors.As(again, &truncated), c.whole) // the verdict stays
			is.NoErr(answer.Body.Close())
		})
	}
}

// Guards against an answer that stalls halfway and holds its caller for ever.
func TestStalledAnswer(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		return hang(conn, r)
	})
	answer, err := client(t, s.address, httpupstream.Inactivity(50*time.Millisecond)).Do(context.Background(), order("GET"))
	is.NoErr(err)
	start := time.Now()
	_, err = io.ReadAll(answer.Body)
	var truncated *httpupstream.TruncatedError
	is.True(errors.As(err, &truncated))
	is.True(time.Since(start) < time.Second)
}

// Guards against a cancelled order that goes on at the upstream, and a
// connection that is lost to the pool.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 2)
	s := serve(t, func(conn net.Conn, r *http.Request) bool {
		if r.Method == "GET" {
			return reply(true, okReply)(conn, r)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		hang(conn, r)
		closed <- struct{}{}
		return false
	})
	u := client(t, s.address, httpupstream.Connections(1))
	for _, end := range []func(cancel func(), answer upstream.Answer){
		func(cancel func(), answer upstream.Answer) {
			start := time.Now()
			cancel()
			_, err := io.ReadAll(answer.Body)
			is.True(errors.Is(err, context.Canceled))
			is.True(time.Since(start) < 2*time.Second) // not the inactivity timeout
		},
		func(_ func(), answer upstream.Answer) { is.NoErr(answer.Body.Close()) },
	} {
		ctx, cancel := context.WithCancel(context.Background())
		answer, err := u.Do(ctx, order("POST"))
		is.NoErr(err)
		end(cancel, answer)
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Fatal("the upstream's connection stayed open")
		}
		cancel()
		answer, err = u.Do(context.Background(), order("GET"))
		is.NoErr(err)
		_, err = io.ReadAll(answer.Body)
		is.NoErr(err)
	}
}

// zeros is an endless body that counts what was read of it.
type zeros struct{ read atomic.Int64 }

func (z *zeros) Read(p []byte) (int, error) {
	clear(p)
	z.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a refusal that is lost because the upstream sent it before it
// had read the request body.
func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nBriarwell-Refused: overloaded\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
		return false
	})
	u := client(t, s.address, httpupstream.Connections(1))
	body := &zeros{}
	put := order("PUT")
	put.Body, put.ContentLength = body, 1<<40
	for range 3 {
		_, err := u.Do(context.Background(), put)
		expect(t, err, "not-run", outcome.ReasonUpstreamRefused)
	}
	is.True(body.read.Load() < 1<<30) // the rest of the body wasn't sent
}

// Guards against a failed caller whose half body is taken for a whole one.
func TestBrokenRequestBody(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		is := is.New(t)
		whole := make(chan bool, 1)
		s := serve(t, func(_ net.Conn, r *http.Request) bool {
			_, err := io.ReadAll(r.Body)
			whole <- err == nil
			return false
		})
		put := order("PUT")
		put.ContentLength = length
		start := time.Now()
		put.Body = io.MultiReader(strings.NewReader(strings.Repeat("x", 10)), errorReader{})
		_, err := client(t, s.address).Do(context.Background(), put)
		var failed *upstream.SendError
		is.True(errors.As(err, &failed))
		is.True(time.Since(start) < 2*time.Second) // not the inactivity timeout
		select {
		case found := <-whole:
			is.True(!found)
			is.Equal(failed.Outcome().String(), "unknown")
		case <-time.After(50 * time.Millisecond):
			is.Equal(failed.Outcome().String(), "not-run") // nothing was flushed
		}
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errors.New("caller is gone") }

// heapProbe measures the live heap after each quarter of a body. The total of
// allocations would not do: under the race detector sync.Pool drops buffers.
type heapProbe struct {
	inner      io.Reader
	left, next int64
	largest    *uint64
}

func (h *heapProbe) Read(p []byte) (int, error) {
	n, err := h.inner.Read(p)
	if h.left -= int64(n); h.left <= h.next {
		h.next -= bodySize / 4
		*h.largest = max(*h.largest, liveHeap())
	}
	return n, err
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

const bodySize = 256 << 20

// Guards against bodies that are held whole: 256 MB go each way with less than
// 4 MB more on the heap.
func TestBodiesStreamInBoundedMemory(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 268435456\r\n\r\n")
		_, _ = io.CopyN(conn, &zeros{}, bodySize)
		return true
	})
	u := client(t, s.address)
	for _, length := range []int64{bodySize, -1} {
		var largest uint64
		before := liveHeap()
		probe := func(r io.Reader) io.Reader {
			return &heapProbe{inner: r, left: bodySize, next: bodySize * 3 / 4, largest: &largest}
		}
		put := order("PUT")
		put.Body, put.ContentLength = probe(io.LimitReader(&zeros{}, bodySize)), length
		answer, err := u.Do(context.Background(), put)
		is.NoErr(err)
		received, err := io.Copy(io.Discard, probe(answer.Body))
		is.NoErr(err)
		is.Equal(received, int64(bodySize))
		t.Logf("content length %d: heap %d bytes before, at most %d within", length, before, largest)
		is.True(largest < before+4<<20)
	}
}

// Guards against fields that the upstream needs for its checks and doesn't get,
// and against a caller who sets them.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	requests := make(chan *http.Request, 1)
	s := serve(t, func(conn net.Conn, r *http.Request) bool {
		requests <- r
		_, _ = io.WriteString(conn, "HTTP/1.1 201 x\r\nX-A: 1\r\nX-A: 2\r\nKeep-Alive: 5\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	sent := order("POST")
	sent.Path, sent.Key, sent.Shard, sent.Epoch = "/k%2f1/a//b?q=%20", "k/1", 7, 9
	sent.RequestID, sent.Attempt, sent.DeadlineUnixMillis = "r1", 2, time.Now().Add(time.Minute).UnixMilli()
	sent.Headers = []upstream.Header{
		upstream.NewHeader("X-B", "1"), upstream.NewHeader("x-b", "2"), upstream.NewHeader("briarwell-epoch", "99"),
		upstream.NewHeader("Connection", "close"), upstream.NewHeader("Transfer-Encoding", "chunked"),
	}
	answer, err := client(t, s.address).Do(context.Background(), sent)
	is.NoErr(err)
	is.NoErr(answer.Body.Close())
	is.Equal(answer.Status, 201)
	var values []string
	for _, field := range answer.Headers {
		is.True(field.Name() != "Keep-Alive" && field.Name() != "Content-Length" && field.Name() != "Content-Type")
		if field.Name() == "X-A" {
			values = append(values, field.Value())
		}
	}
	is.Equal(values, []string{"1", "2"})
	r := <-requests
	is.Equal(r.RequestURI, sent.Path)
	is.Equal(r.Header[outcome.HeaderEpoch], []string{"9"})
	is.Equal(r.Header["X-B"], []string{"1", "2"})
	is.Equal(len(r.TransferEncoding), 0)
	for name, want := range map[string]string{
		outcome.HeaderShard: "7", outcome.HeaderKey: "k/1", outcome.HeaderRequestID: "r1", outcome.HeaderAttempts: "2",
	} {
		is.Equal(r.Header.Get(name), want)
	}
	is.True(r.Header.Get(outcome.HeaderDeadline) != "" && r.Header.Get(outcome.HeaderTimeout) != "")
}

// Guards against grants and load reports that change on the way.
func TestGrantAndLoad(t *testing.T) {
	is := is.New(t)
	var body []byte
	s := serve(t, func(conn net.Conn, r *http.Request) bool {
		if r.URL.Path == "/briarwell/grants" {
			body, _ = io.ReadAll(r.Body)
			return reply(true, "HTTP/1.1 204 x\r\n\r\n")(conn, r)
		}
		text := `{"inFlight":3,"slots":12,"draining":true}`
		return reply(true, "HTTP/1.1 200 x\r\nContent-Length: 41\r\n\r\n"+text)(conn, r)
	})
	u := client(t, s.address)
	is.NoErr(u.Grant(context.Background(), upstream.Grant{
		Service: identity.NewService("attire", "bookings"), ExpiresUnixMillis: 5,
		Shards: []upstream.GrantedShard{{Shard: 1, Epoch: 2}},
	}))
	is.Equal(string(body), `{"organisation":"attire","service":"bookings","shards":[{"shard":1,"epoch":2}],"expiresUnixMillis":5}`)
	load, err := u.Load(context.Background())
	is.NoErr(err)
	is.Equal(load, upstream.Load{InFlight: 3, Slots: 12, Draining: true})
	var failed *httpupstream.ControlError
	is.True(errors.As(client(t, "127.0.0.1:1").Grant(context.Background(), upstream.Grant{}), &failed))
}
