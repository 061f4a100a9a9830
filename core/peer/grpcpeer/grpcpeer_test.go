package grpcpeer_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/peer/grpcpeer"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/router"
	"briarwell.dev/core/upstream"
)

type handlerFunc func(ctx context.Context, request *router.Request) *router.Response

func (f handlerFunc) Serve(ctx context.Context, request *router.Request) *router.Response {
	return f(ctx, request)
}

// startServer starts a server on a loopback address and returns the address.
func startServer(t testing.TB, handler handlerFunc, control func(*peerpb.Envelope)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpcpeer.NewServer(grpcpeer.ServerSettings{
		Clock: system.Clock{}, Handler: handler, HandleControl: control,
		Status: func() *peerpb.StatusResponse { return &peerpb.StatusResponse{Instance: "a"} },
	})
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		server.Stop(ctx)
		group.Wait()
	})
	return listener.Addr().String()
}

func newTestPool(t testing.TB, settings grpcpeer.PoolSettings) *grpcpeer.Pool {
	settings.Clock = system.Clock{}
	pool := grpcpeer.NewPool(settings)
	t.Cleanup(pool.Close)
	return pool
}

func newRequest(body io.Reader) *router.Request {
	request := &router.Request{
		Service: identity.NewService("attire", "bookings"), Key: "k", Method: "POST", Path: "/k?x=1",
		Headers: []upstream.Header{upstream.NewHeader("X-A", "1"), upstream.NewHeader("Connection", "close")},
		Body:    body, ContentLength: -1, Deadline: system.Clock{}.Now() + 5000, Attempt: 1,
	}
	return request
}

func doneResponse(body io.Reader) *router.Response {
	response := &router.Response{Outcome: outcome.Done{}, Status: 201, ContentLength: -1, Stamp: "1.2", Keyed: true, Epoch: 3}
	if body != nil {
		response.Body = io.NopCloser(body)
	}
	return response
}

// TestForwardStreamsBothDirections guards against bodies that are cut or mixed up,
// and against headers of one connection that reach another.
func TestForwardStreamsBothDirections(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ context.Context, request *router.Request) *router.Response {
		if len(request.Headers) != 1 || request.Path != "/k?x=1" {
			return &router.Response{Outcome: outcome.NewNotRun(outcome.ReasonMalformed), Status: 400}
		}
		return doneResponse(request.Body)
	}, nil)
	pool := newTestPool(t, grpcpeer.PoolSettings{LocalIP: "127.0.0.1"})
	var group conc.WaitGroup
	for i := range 40 {
		group.Go(func() {
			sent := make([]byte, 300_000+i)
			rand.NewChaCha8([32]byte{byte(i)}).Read(sent)
			response, err := pool.Forward(t.Context(), address, newRequest(bytes.NewReader(sent)))
			is.NoErr(err)
			got, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(sha256.Sum256(got), sha256.Sum256(sent))
			is.Equal(response.Status, 201)
			is.Equal(response.Stamp, "1.2")
			is.Equal(response.Epoch, identity.Epoch(3))
		})
	}
	group.Wait()
}

// TestTruncatedResponseIsReported guards against answers without an end that look
// complete.
func TestTruncatedResponseIsReported(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(context.Context, *router.Request) *router.Response {
		return doneResponse(io.MultiReader(strings.NewReader("half"), failingReader{}))
	}, nil)
	pool := newTestPool(t, grpcpeer.PoolSettings{})
	response, err := pool.Forward(t.Context(), address, newRequest(nil))
	is.NoErr(err)
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	var truncated *router.TruncatedError
	is.True(errors.As(err, &truncated))
	is.Equal(string(got), "half")
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// blockedReader is an empty reader that ends when its event does: a stream that is
// cancelled earlier may never reach the handler.
type blockedReader struct{ unblocked <-chan struct{} }

func (w blockedReader) Read([]byte) (int, error) { <-w.unblocked; return 0, io.EOF }

// TestResponseBeforeRequestEnd guards against an answer that is lost because the owner
// finished before the sender had sent the end of its request.
func TestResponseBeforeRequestEnd(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("x", 100_000)
	address := startServer(t, func(_ context.Context, request *router.Request) *router.Response {
		if request.Body != nil {
			return doneResponse(strings.NewReader(text))
		}
		return doneResponse(nil)
	}, nil)
	pool := newTestPool(t, grpcpeer.PoolSettings{})
	var group conc.WaitGroup
	for range 64 {
		group.Go(func() {
			for i := range 150 {
				var body io.Reader
				if i%10 == 0 {
					body = bytes.NewReader(make([]byte, 1<<20))
				}
				response, err := pool.Forward(t.Context(), address, newRequest(body))
				is.NoErr(err)
				n, err := io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.Equal(n > 0, body != nil)
				response.Body.Close()
			}
		})
	}
	group.Wait()
}

// TestTruncatedRequestBodyIsReported guards against half a request that the owner takes for
// a whole one.
func TestTruncatedRequestBodyIsReported(t *testing.T) {
	is := is.New(t)
	bodies, started := make(chan error, 1), make(chan struct{})
	address := startServer(t, func(_ context.Context, request *router.Request) *router.Response {
		close(started)
		_, err := io.Copy(io.Discard, request.Body)
		bodies <- err
		return doneResponse(nil)
	}, nil)
	pool := newTestPool(t, grpcpeer.PoolSettings{})
	_, err := pool.Forward(t.Context(), address, newRequest(io.MultiReader(strings.NewReader("half"), blockedReader{started}, failingReader{})))
	is.True(err != nil)
	is.True(<-bodies != nil)
}

// TestUnreachablePeerIsNotRun guards against a not-run that is not proven, and
// against an unknown where nothing was sent.
func TestUnreachablePeerIsNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	pool := newTestPool(t, grpcpeer.PoolSettings{})
	_, err = pool.Forward(t.Context(), address, newRequest(nil))
	var failed *router.ForwardError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Outcome(), outcome.Outcome(outcome.NewNotRun(outcome.ReasonUnreachable)))
}

// TestConnectionsBindToLocalIP guards against traffic from an address other
// than the daemon's own.
func TestConnectionsBindToLocalIP(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	pool := newTestPool(t, grpcpeer.PoolSettings{LocalIP: "127.0.3.7"})
	pool.SendControl(listener.Addr().String(), &peerpb.Envelope{})
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer accepted.Close()
	is.Equal(accepted.RemoteAddr().(*net.TCPAddr).IP.String(), "127.0.3.7")
}

// TestLostOwnerGivesUnknownOutcome guards against a not-run for an order that was sent to
// a daemon which then died.
func TestLostOwnerGivesUnknownOutcome(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := grpcpeer.NewServer(grpcpeer.ServerSettings{Clock: system.Clock{}, Handler: handlerFunc(func(context.Context, *router.Request) *router.Response {
		close(started)
		<-release
		return doneResponse(nil)
	})})
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(func() {
		<-started
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		group.Go(func() { time.Sleep(100 * time.Millisecond); close(release) })
		server.Stop(ended)
	})
	_, err = newTestPool(t, grpcpeer.PoolSettings{}).Forward(t.Context(), listener.Addr().String(), newRequest(nil))
	var failed *router.ForwardError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Outcome(), outcome.Outcome(outcome.NewUnknown(outcome.ReasonConnectionLost)))
	group.Wait()
}

// TestControlKeepsOrder guards against control messages that are reordered or
// lost on a healthy connection.
func TestControlKeepsOrder(t *testing.T) {
	is := is.New(t)
	got := make(chan uint64, 100)
	address := startServer(t, nil, func(envelope *peerpb.Envelope) { got <- envelope.GetFrom() })
	pool := newTestPool(t, grpcpeer.PoolSettings{ControlQueueLength: 100})
	for i := range uint64(100) {
		pool.SendControl(address, &peerpb.Envelope{From: i})
	}
	for i := range uint64(100) {
		is.Equal(<-got, i)
	}
	status, err := pool.Status(t.Context(), address)
	is.NoErr(err)
	is.Equal(status.GetInstance(), "a")
}

// TestControlReportsFailures guards against control messages that vanish
// without a report when a peer is down.
func TestControlReportsFailures(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	failed := map[uint64]bool{}
	all := make(chan struct{})
	pool := newTestPool(t, grpcpeer.PoolSettings{ControlQueueLength: 4, OnControlFailed: func(_ string, envelope *peerpb.Envelope, _ error) {
		mu.Lock()
		defer mu.Unlock()
		failed[envelope.GetFrom()] = true
		if len(failed) == 10 {
			close(all)
		}
	}})
	for i := range uint64(10) {
		pool.SendControl("127.0.0.1:1", &peerpb.Envelope{From: i})
	}
	select {
	case <-all:
	case <-time.After(5 * time.Second):
		is.Fail()
	}
}

// silencingProxy passes TCP connections on and can silence those that are open.
type silencingProxy struct {
	mu              sync.Mutex
	target          string
	silenceSwitches []chan struct{}
	connectionCount int
	// maxForwarding, if set, is the number of connections that pass anything.
	maxForwarding int
}

func (r *silencingProxy) start(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", r.target)
			if err != nil {
				return
			}
			t.Cleanup(func() { in.Close(); out.Close() })
			silent := make(chan struct{})
			r.mu.Lock()
			r.connectionCount++
			if r.maxForwarding > 0 && r.connectionCount > r.maxForwarding {
				close(silent)
			} else {
				r.silenceSwitches = append(r.silenceSwitches, silent)
			}
			r.mu.Unlock()
			go copyUntilSilenced(in, out, silent)
			go copyUntilSilenced(out, in, silent)
		}
	}()
	return listener.Addr().String()
}

func copyUntilSilenced(from, to net.Conn, silent chan struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *silencingProxy) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connectionCount
}

func (r *silencingProxy) silenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, silent := range r.silenceSwitches {
		close(silent)
	}
	r.silenceSwitches = nil
}

// TestSilentConnectionIsReplaced guards against requests and control messages
// that wait on a connection that is open but passes nothing.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	got := make(chan uint64, 1000)
	slow := make(chan struct{})
	address := startServer(t, func(_ context.Context, request *router.Request) *router.Response {
		if request.Key == "slow" {
			<-slow
		}
		return doneResponse(strings.NewReader(request.Key))
	}, func(envelope *peerpb.Envelope) { got <- envelope.GetFrom() })
	defer close(slow)
	r := &silencingProxy{target: address}
	pool := newTestPool(t, grpcpeer.PoolSettings{})
	through := r.start(t)
	pool.SendControl(through, &peerpb.Envelope{From: 1})
	is.Equal(<-got, uint64(1))
	first, err := pool.Forward(t.Context(), through, newRequest(nil))
	is.NoErr(err)
	first.Body.Close()
	r.silenceOpen()
	start := time.Now()
	request := newRequest(nil)
	pool.SendControl(through, &peerpb.Envelope{From: 2})
	_, err = pool.Forward(t.Context(), through, request)
	var failed *router.ForwardError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Outcome(), outcome.Outcome(outcome.NewUnknown(outcome.ReasonConnectionLost)))
	elapsed := time.Since(start)
	t.Logf("silent connection closed after %v", elapsed)
	is.True(elapsed > 900*time.Millisecond && elapsed < 2*time.Second)
	_, err = pool.Forward(t.Context(), through, newRequest(nil))
	is.NoErr(err)
	for i := uint64(10); ; i++ {
		pool.SendControl(through, &peerpb.Envelope{From: i})
		select {
		case <-got:
			return
		case <-time.After(100 * time.Millisecond):
			is.True(time.Since(start) < 4*time.Second)
		}
	}
}

// TestBusyPeerUsesOpenConnection guards against requests that wait for a further connection
// to be set up while an open one could carry them.
func TestBusyPeerUsesOpenConnection(t *testing.T) {
	is := is.New(t)
	started, slow := make(chan struct{}, 100), make(chan struct{})
	r := &silencingProxy{maxForwarding: 1, target: startServer(t, func(_ context.Context, request *router.Request) *router.Response {
		if request.Key == "slow" {
			started <- struct{}{}
			<-slow
		}
		return doneResponse(nil)
	}, nil)}
	pool, through := newTestPool(t, grpcpeer.PoolSettings{}), r.start(t)
	var group conc.WaitGroup
	defer group.Wait()
	defer close(slow)
	for range 32 {
		group.Go(func() {
			request := newRequest(nil)
			request.Key = "slow"
			if response, err := pool.Forward(t.Context(), through, request); err == nil {
				response.Body.Close()
			}
		})
	}
	for range 32 {
		<-started
	}
	for range 5 {
		request := newRequest(nil)
		request.Deadline = system.Clock{}.Now() + 450
		response, err := pool.Forward(t.Context(), through, request)
		is.NoErr(err)
		response.Body.Close()
	}
	for end := time.Now().Add(2 * time.Second); r.connections() < 2; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // The further connection was never opened.
	}
}

// TestSlowRequestKeepsItsConnection guards against a probe that closes the
// connection of a request that is only slow.
func TestSlowRequestKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(context.Context, *router.Request) *router.Response {
		time.Sleep(1500 * time.Millisecond)
		return doneResponse(strings.NewReader("late"))
	}, nil)
	pool := newTestPool(t, grpcpeer.PoolSettings{})
	response, err := pool.Forward(t.Context(), address, newRequest(nil))
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(text), "late")
}

// TestLateResponsesReachTheirCaller guards against an answer that reaches
// another caller when answers are late and out of order.
func TestLateResponsesReachTheirCaller(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ context.Context, request *router.Request) *router.Response {
		number, _ := strconv.Atoi(request.Key)
		time.Sleep(time.Duration((number*37)%50) * time.Millisecond)
		return doneResponse(strings.NewReader(request.Key))
	}, nil)
	pool := newTestPool(t, grpcpeer.PoolSettings{})
	var group conc.WaitGroup
	for i := range 300 {
		group.Go(func() {
			request := newRequest(nil)
			request.Key = strconv.Itoa(i)
			if i%3 == 0 {
				// This caller gives up before its answer arrives.
				request.Deadline = system.Clock{}.Now() + 10
			}
			response, err := pool.Forward(t.Context(), address, request)
			if err != nil {
				is.Equal(i%3, 0)
				return
			}
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			is.True(string(text) == request.Key || (err != nil && i%3 == 0))
		})
	}
	group.Wait()
}
