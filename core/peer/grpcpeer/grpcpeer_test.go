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

// startServer starts a Server on a loopback address and returns the address.
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

// TestForwardStreamsBothDirections guards against truncated or swapped bodies of
// concurrent requests, and against hop-by-hop headers that are forwarded.
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

// TestTruncatedResponseIsReported guards against reading a response as complete
// although its body failed half-way.
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

// blockedReader is an empty reader that blocks until unblocked is closed. Without
// it the stream may be cancelled before the request reaches the handler.
type blockedReader struct{ unblocked <-chan struct{} }

func (w blockedReader) Read([]byte) (int, error) { <-w.unblocked; return 0, io.EOF }

// TestResponseBeforeRequestEnd guards against a response that is lost because the
// owner finished before the sender had sent the end of its request.
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

// TestTruncatedRequestBodyIsReported guards against an owner that takes a
// truncated request for a complete one.
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

// TestUnreachablePeerIsNotRun guards against any outcome but a proven "not-run"
// for a request that was never sent because no connection could be opened.
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

// TestLostOwnerGivesUnknownOutcome guards against the outcome "not-run" for a
// request that was sent to a daemon which then died.
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
// lost on a working connection.
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

// TestControlReportsFailures guards against control messages that are lost
// without a call of OnControlFailed when a peer is down or the queue is full.
func TestControlReportsFailures(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	failed := map[uint64]bool{}
	allFailed := make(chan struct{})
	pool := newTestPool(t, grpcpeer.PoolSettings{ControlQueueLength: 4, OnControlFailed: func(_ string, envelope *peerpb.Envelope, _ error) {
		mu.Lock()
		defer mu.Unlock()
		failed[envelope.GetFrom()] = true
		if len(failed) == 10 {
			close(allFailed)
		}
	}})
	for i := range uint64(10) {
		pool.SendControl("127.0.0.1:1", &peerpb.Envelope{From: i})
	}
	select {
	case <-allFailed:
	case <-time.After(5 * time.Second):
		is.Fail()
	}
}

// blockingProxy forwards TCP connections to target. It can block those that
// are open: they stay open, but their bytes are discarded.
type blockingProxy struct {
	mu              sync.Mutex
	target          string
	blockSwitches   []chan struct{}
	connectionCount int
	// maxForwarding, if set, is the number of connections that are forwarded;
	// later ones are blocked from the start.
	maxForwarding int
}

func (p *blockingProxy) start(t *testing.T) string {
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
			out, err := net.Dial("tcp", p.target)
			if err != nil {
				return
			}
			t.Cleanup(func() { in.Close(); out.Close() })
			blocked := make(chan struct{})
			p.mu.Lock()
			p.connectionCount++
			if p.maxForwarding > 0 && p.connectionCount > p.maxForwarding {
				close(blocked)
			} else {
				p.blockSwitches = append(p.blockSwitches, blocked)
			}
			p.mu.Unlock()
			go copyUntilBlocked(in, out, blocked)
			go copyUntilBlocked(out, in, blocked)
		}
	}()
	return listener.Addr().String()
}

func copyUntilBlocked(from, to net.Conn, blocked chan struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-blocked:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *blockingProxy) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionCount
}

func (p *blockingProxy) blockOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, blocked := range p.blockSwitches {
		close(blocked)
	}
	p.blockSwitches = nil
}

// TestUnresponsiveConnectionIsReplaced guards against requests and control messages
// that wait on a connection that is open but carries no bytes.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
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
	proxy := &blockingProxy{target: address}
	pool := newTestPool(t, grpcpeer.PoolSettings{})
	proxyAddress := proxy.start(t)
	pool.SendControl(proxyAddress, &peerpb.Envelope{From: 1})
	is.Equal(<-got, uint64(1))
	first, err := pool.Forward(t.Context(), proxyAddress, newRequest(nil))
	is.NoErr(err)
	first.Body.Close()
	proxy.blockOpen()
	start := time.Now()
	request := newRequest(nil)
	pool.SendControl(proxyAddress, &peerpb.Envelope{From: 2})
	_, err = pool.Forward(t.Context(), proxyAddress, request)
	var failed *router.ForwardError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Outcome(), outcome.Outcome(outcome.NewUnknown(outcome.ReasonConnectionLost)))
	elapsed := time.Since(start)
	t.Logf("unresponsive connection closed after %v", elapsed)
	is.True(elapsed > 900*time.Millisecond && elapsed < 2*time.Second)
	_, err = pool.Forward(t.Context(), proxyAddress, newRequest(nil))
	is.NoErr(err)
	for i := uint64(10); ; i++ {
		pool.SendControl(proxyAddress, &peerpb.Envelope{From: i})
		select {
		case <-got:
			return
		case <-time.After(100 * time.Millisecond):
			is.True(time.Since(start) < 4*time.Second)
		}
	}
}

// TestBusyPeerUsesOpenConnection guards against requests that wait until a
// further connection is set up although an open one could carry them.
func TestBusyPeerUsesOpenConnection(t *testing.T) {
	is := is.New(t)
	started, slow := make(chan struct{}, 100), make(chan struct{})
	proxy := &blockingProxy{maxForwarding: 1, target: startServer(t, func(_ context.Context, request *router.Request) *router.Response {
		if request.Key == "slow" {
			started <- struct{}{}
			<-slow
		}
		return doneResponse(nil)
	}, nil)}
	pool, proxyAddress := newTestPool(t, grpcpeer.PoolSettings{}), proxy.start(t)
	var group conc.WaitGroup
	defer group.Wait()
	defer close(slow)
	for range 32 {
		group.Go(func() {
			request := newRequest(nil)
			request.Key = "slow"
			if response, err := pool.Forward(t.Context(), proxyAddress, request); err == nil {
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
		response, err := pool.Forward(t.Context(), proxyAddress, request)
		is.NoErr(err)
		response.Body.Close()
	}
	for end := time.Now().Add(2 * time.Second); proxy.connections() < 2; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // The further connection must be opened.
	}
}

// TestSlowRequestKeepsItsConnection guards against closing the connection of a
// request that is slow while the peer answers probes.
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

// TestLateResponsesReachTheirCaller guards against a response that reaches
// another caller when responses are late and out of order.
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
				// The deadline of this caller passes before its response arrives.
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
