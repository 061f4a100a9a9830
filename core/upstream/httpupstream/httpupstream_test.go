package httpupstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/httpupstream"
)

// server accepts connections and counts the requests that it reads. It passes each
// request to respond, which returns false to close the connection.
type server struct {
	address  string
	requests atomic.Int32
}

func startServer(t testing.TB, respond func(conn net.Conn, request *http.Request) bool) *server {
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
					if !respond(conn, request) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// replyWith returns a handler that writes text, and closes the connection unless keepOpen
// is set.
func replyWith(keepOpen bool, text string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, text)
		return keepOpen
	}
}

// waitForClose sends no response and waits until the client closes the connection.
func waitForClose(conn net.Conn, _ *http.Request) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newUpstream(t testing.TB, address string, options ...httpupstream.Option) *httpupstream.Upstream {
	u, err := httpupstream.New(address, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

func newRequest(method string) upstream.Request {
	return upstream.Request{Service: identity.NewService("attire", "bookings"), Method: method, Path: "/k/deposit", Attempt: 1}
}

// checkSendError fails the test unless err is a SendError with the given outcome.
func checkSendError(t *testing.T, err error, outcomeName string, reason outcome.Reason) {
	t.Helper()
	var failed *upstream.SendError
	if !errors.As(err, &failed) {
		t.Fatalf("found error %v, want a SendError", err)
	}
	if found := failed.Outcome(); found.String() != outcomeName || outcome.ReasonOf(found) != reason {
		t.Fatalf("found %s %s, want %s %s: %v", found, outcome.ReasonOf(found), outcomeName, reason, err)
	}
}

// Guards against the outcome not-run for a request that may have run, and against
// fasthttp sending a request again.
func TestClassificationAfterSend(t *testing.T) {
	cases := map[string]struct {
		respond     func(net.Conn, *http.Request) bool
		outcomeName string
		reason      outcome.Reason
	}{
		"closed without response": {replyWith(false, ""), "unknown", outcome.ReasonConnectionLost},
		"truncated head":          {replyWith(false, "HTTP/1.1 200 OK\r\nContent-Le"), "unknown", outcome.ReasonConnectionLost},
		"not HTTP":                {replyWith(false, "SSH-2.0\r\n\r\n"), "unknown", outcome.ReasonInvalidResponse},
		"no response":             {waitForClose, "unknown", outcome.ReasonTimeout},
		"refused": {
			replyWith(true, "HTTP/1.1 503 x\r\nBriarwell-Refused: epoch\r\nContent-Length: 2\r\n\r\nno"),
			"not-run", outcome.ReasonUpstreamRefused,
		},
	}
	for name, c := range cases {
		for _, method := range []string{"GET", "PUT", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				t.Parallel()
				s := startServer(t, c.respond)
				_, err := newUpstream(t, s.address, httpupstream.InactivityTimeout(time.Second)).Do(context.Background(), newRequest(method))
				checkSendError(t, err, c.outcomeName, c.reason)
				is.New(t).Equal(s.requests.Load(), int32(1))
			})
		}
	}
}

// Guards against the outcome unknown for a request that can't have run, which would
// prevent its retry.
func TestClassificationBeforeSend(t *testing.T) {
	_, err := newUpstream(t, "127.0.0.1:1").Do(context.Background(), newRequest("POST"))
	checkSendError(t, err, "not-run", outcome.ReasonUnreachable)

	s := startServer(t, waitForClose)
	u := newUpstream(t, s.address, httpupstream.MaxConnections(1))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := u.Do(ctx, newRequest("POST"))
		done <- err
	}()
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = u.Do(context.Background(), newRequest("POST"))
	checkSendError(t, err, "not-run", outcome.ReasonOverloaded)
	cancel()
	checkSendError(t, <-done, "unknown", outcome.ReasonTimeout)
	_, err = u.Do(ctx, newRequest("POST"))
	checkSendError(t, err, "not-run", outcome.ReasonDeadlineExceeded)
}

// Guards against a request on an idle connection that the upstream has closed. It must
// use a new connection, or get the outcome unknown if the close came too late to be
// detected, and must never be sent twice.
func TestIdleConnectionClosedByUpstream(t *testing.T) {
	is := is.New(t)
	var closed atomic.Int32
	s := startServer(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, okResponse)
		_ = conn.Close()
		closed.Add(1)
		return false
	})
	u := newUpstream(t, s.address)
	responses, afterClose := 0, true
	for i := range 200 {
		response, err := u.Do(context.Background(), newRequest("POST"))
		if err != nil {
			is.True(!afterClose) // the close could have been detected
			checkSendError(t, err, "unknown", outcome.ReasonConnectionLost)
			afterClose = true
			continue
		}
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		responses++
		afterClose = i%2 == 0
		for afterClose && closed.Load() < s.requests.Load() {
			time.Sleep(time.Millisecond)
		}
	}
	is.Equal(int(s.requests.Load()), responses)
}

// Guards against a request whose texts start a second request at the upstream.
func TestRequestInjection(t *testing.T) {
	s := startServer(t, replyWith(true, okResponse))
	u := newUpstream(t, s.address)
	for _, change := range []func(*upstream.Request){
		func(o *upstream.Request) { o.Path = "/k HTTP/1.1\r\n\r\nPOST /other" },
		func(o *upstream.Request) { o.Method = "GET /x" },
		func(o *upstream.Request) { o.Key = "k\r\nBriarwell-Epoch: 99" },
		func(o *upstream.Request) { o.RequestID = "r\n" },
		func(o *upstream.Request) { o.Headers = []upstream.Header{upstream.NewHeader("A", "b\r\nC: d")} },
		func(o *upstream.Request) { o.Headers = []upstream.Header{upstream.NewHeader("A: b", "c")} },
	} {
		sent := newRequest("POST")
		change(&sent)
		_, err := u.Do(context.Background(), sent)
		checkSendError(t, err, "not-run", outcome.ReasonMalformed)
	}
	is.New(t).Equal(s.requests.Load(), int32(0))
}

// BenchmarkRequest measures one request with an empty body and a response of two bytes.
func BenchmarkRequest(b *testing.B) {
	s := startServer(b, replyWith(true, okResponse))
	u := newUpstream(b, s.address)
	b.ReportAllocs()
	for b.Loop() {
		response, err := u.Do(context.Background(), newRequest("POST"))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// Guards against a cancelled request that continues at the upstream, and against a
// connection that is never returned to the pool.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 2)
	s := startServer(t, func(conn net.Conn, r *http.Request) bool {
		if r.Method == "GET" {
			return replyWith(true, okResponse)(conn, r)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		waitForClose(conn, r)
		closed <- struct{}{}
		return false
	})
	u := newUpstream(t, s.address, httpupstream.MaxConnections(1))
	for _, end := range []func(cancel func(), response upstream.Response){
		func(cancel func(), response upstream.Response) {
			start := time.Now()
			cancel()
			_, err := io.ReadAll(response.Body)
			is.True(errors.Is(err, context.Canceled))
			is.True(time.Since(start) < 2*time.Second) // not the inactivity timeout
		},
		func(_ func(), response upstream.Response) { is.NoErr(response.Body.Close()) },
	} {
		ctx, cancel := context.WithCancel(context.Background())
		response, err := u.Do(ctx, newRequest("POST"))
		is.NoErr(err)
		end(cancel, response)
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Fatal("connection to the upstream still open 1 s after the request ended")
		}
		cancel()
		response, err = u.Do(context.Background(), newRequest("GET"))
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
	}
}

// Guards against missing fields that the upstream needs for its checks, and against a
// caller that sets them.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	requests := make(chan *http.Request, 1)
	s := startServer(t, func(conn net.Conn, r *http.Request) bool {
		requests <- r
		_, _ = io.WriteString(conn, "HTTP/1.1 201 x\r\nX-A: 1\r\nX-A: 2\r\nKeep-Alive: 5\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	sent := newRequest("POST")
	sent.Path, sent.Key, sent.Shard, sent.Epoch = "/k%2f1/a//b?q=%20", "k/1", 7, 9
	sent.RequestID, sent.Attempt, sent.DeadlineUnixMillis = "r1", 2, time.Now().Add(time.Minute).UnixMilli()
	sent.Headers = []upstream.Header{
		upstream.NewHeader("X-B", "1"), upstream.NewHeader("x-b", "2"), upstream.NewHeader("briarwell-epoch", "99"),
		upstream.NewHeader("Connection", "close"), upstream.NewHeader("Transfer-Encoding", "chunked"),
	}
	response, err := newUpstream(t, s.address).Do(context.Background(), sent)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.Status, 201)
	var values []string
	for _, field := range response.Headers {
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

// Guards against grants and load reports that are not sent unchanged.
func TestGrantAndLoad(t *testing.T) {
	is := is.New(t)
	var body []byte
	s := startServer(t, func(conn net.Conn, r *http.Request) bool {
		if r.URL.Path == "/briarwell/grants" {
			body, _ = io.ReadAll(r.Body)
			return replyWith(true, "HTTP/1.1 204 x\r\n\r\n")(conn, r)
		}
		text := `{"inFlight":3,"slots":12,"draining":true}`
		return replyWith(true, "HTTP/1.1 200 x\r\nContent-Length: 41\r\n\r\n"+text)(conn, r)
	})
	u := newUpstream(t, s.address)
	is.NoErr(u.Grant(context.Background(), upstream.Grant{
		Service: identity.NewService("attire", "bookings"), ExpiresUnixMillis: 5,
		Shards: []upstream.GrantedShard{{Shard: 1, Epoch: 2}, {Shard: 1, HotKey: "k", Epoch: 3}},
	}))
	is.Equal(string(body), `{"organisation":"attire","service":"bookings","shards":[{"shard":1,"epoch":2},{"shard":1,"hotKey":"k","epoch":3}],"expiresUnixMillis":5}`)
	load, err := u.Load(context.Background())
	is.NoErr(err)
	is.Equal(load, upstream.Load{InFlight: 3, Slots: 12, Draining: true})
	var failed *httpupstream.ControlError
	is.True(errors.As(newUpstream(t, "127.0.0.1:1").Grant(context.Background(), upstream.Grant{}), &failed))
}
