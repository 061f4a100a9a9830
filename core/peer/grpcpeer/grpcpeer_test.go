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

// serve starts a server on a loopback address and returns the address.
func serve(t testing.TB, handler handlerFunc, control func(*peerpb.Envelope)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpcpeer.NewServer(grpcpeer.ServerSettings{
		Clock: system.Clock{}, Handler: handler, Control: control,
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

func newPool(t testing.TB, settings grpcpeer.PoolSettings) *grpcpeer.Pool {
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

func done(body io.Reader) *router.Response {
	response := &router.Response{Outcome: outcome.Done{}, Status: 201, ContentLength: -1, Stamp: "1.2", Keyed: true, Epoch: 3}
	if body != nil {
		response.Body = io.NopCloser(body)
	}
	return response
}

// TestForwardStreamsBothWays guards against bodies that are cut or mixed up,
// and against headers of one connection that reach another.
func TestForwardStreamsBothWays(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ context.Context, request *router.Request) *router.Response {
		if len(request.Headers) != 1 || request.Path != "/k?x=1" {
			return &router.Response{Outcome: outcome.NewNotRun(outcome.ReasonMalformed), Status: 400}
		}
		return done(request.Body)
	}, nil)
	pool := newPool(t, grpcpeer.PoolSettings{LocalIP: "127.0.0.1"})
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

// TestTruncatedAnswers guards against answers without an end that look
// complete.
func TestTruncatedAnswers(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(context.Context, *router.Request) *router.Response {
		return done(io.MultiReader(strings.NewReader("half"), failing{}))
	}, nil)
	pool := newPool(t, grpcpeer.PoolSettings{})
	response, err := pool.Forward(t.Context(), address, newRequest(nil))
	is.NoErr(err)
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	var truncated *router.TruncatedError
	is.True(errors.As(err, &truncated))
	is.Equal(string(got), "half")
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// waiting is an empty reader that ends when its event does: a stream that is
// cancelled earlier may never reach the handler.
type waiting struct{ event <-chan struct{} }

func (w waiting) Read([]byte) (int, error) { <-w.event; return 0, io.EOF }

// TestEarlyAnswers guards against an answer that is lost because the owner
// finished before the sender had sent the end of its request.
func TestEarlyAnswers(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("x", 100_000)
	address := serve(t, func(_ context.Context, request *router.Request) *router.Response {
		if request.Body != nil {
			return done(strings.NewReader(text))
		}
		return done(nil)
	}, nil)
	pool := newPool(t, grpcpeer.PoolSettings{})
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

// TestBrokenRequestBody guards against half a request that the owner takes for
// a whole one.
func TestBrokenRequestBody(t *testing.T) {
	is := is.New(t)
	bodies, started := make(chan error, 1), make(chan struct{})
	address := serve(t, func(_ context.Context, request *router.Request) *router.Response {
		close(started)
		_, err := io.Copy(io.Discard, request.Body)
		bodies <- err
		return done(nil)
	}, nil)
	pool := newPool(t, grpcpeer.PoolSettings{})
	_, err := pool.Forward(t.Context(), address, newRequest(io.MultiReader(strings.NewReader("half"), waiting{started}, failing{})))
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
	pool := newPool(t, grpcpeer.PoolSettings{})
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
	pool := newPool(t, grpcpeer.PoolSettings{LocalIP: "127.0.3.7"})
	pool.Send(listener.Addr().String(), &peerpb.Envelope{})
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer accepted.Close()
	is.Equal(accepted.RemoteAddr().(*net.TCPAddr).IP.String(), "127.0.3.7")
}

// TestLostOwnerIsUnknown guards against a not-run for an order that was sent to
// a daemon which then died.
func TestLostOwnerIsUnknown(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := grpcpeer.NewServer(grpcpeer.ServerSettings{Clock: system.Clock{}, Handler: handlerFunc(func(context.Context, *router.Request) *router.Response {
		close(started)
		<-release
		return done(nil)
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
	_, err = newPool(t, grpcpeer.PoolSettings{}).Forward(t.Context(), listener.Addr().String(), newRequest(nil))
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
	address := serve(t, nil, func(envelope *peerpb.Envelope) { got <- envelope.GetFrom() })
	pool := newPool(t, grpcpeer.PoolSettings{ControlQueue: 100})
	for i := range uint64(100) {
		pool.Send(address, &peerpb.Envelope{From: i})
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
	pool := newPool(t, grpcpeer.PoolSettings{ControlQueue: 4, ControlFailed: func(_ string, envelope *peerpb.Envelope, _ error) {
		mu.Lock()
		defer mu.Unlock()
		failed[envelope.GetFrom()] = true
		if len(failed) == 10 {
			close(all)
		}
	}})
	for i := range uint64(10) {
		pool.Send("127.0.0.1:1", &peerpb.Envelope{From: i})
	}
	select {
	case <-all:
	case <-time.After(5 * time.Second):
		is.Fail()
	}
}

// relay passes TCP connections on and can silence those that are open.
type relay struct {
	mu       sync.Mutex
	target   string
	silenced []chan struct{}
	opened   int
	// limit, if set, is the number of connections that pass anything.
	limit int
}

func (r *relay) run(t *testing.T) string {
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
			r.opened++
			if r.limit > 0 && r.opened > r.limit {
				close(silent)
			} else {
				r.silenced = append(r.silenced, silent)
			}
			r.mu.Unlock()
			go pass(in, out, silent)
			go pass(out, in, silent)
		}
	}()
	return listener.Addr().String()
}

func pass(from, to net.Conn, silent chan struct{}) {
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

func (r *relay) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, silent := range r.silenced {
		close(silent)
	}
	r.silenced = nil
}

// TestSilentConnectionIsReplaced guards against requests and control messages
// that wait on a connection that is open but passes nothing.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	got := make(chan uint64, 1000)
	slow := make(chan struct{})
	address := serve(t, func(_ context.Context, request *router.Request) *router.Response {
		if request.Key == "slow" {
			<-slow
		}
		return done(strings.NewReader(request.Key))
	}, func(envelope *peerpb.Envelope) { got <- envelope.GetFrom() })
	defer close(slow)
	r := &relay{target: address}
	pool := newPool(t, grpcpeer.PoolSettings{})
	through := r.run(t)
	pool.Send(through, &peerpb.Envelope{From: 1})
	is.Equal(<-got, uint64(1))
	first, err := pool.Forward(t.Context(), through, newRequest(nil))
	is.NoErr(err)
	first.Body.Close()
	r.silence()
	start := time.Now()
	request := newRequest(nil)
	pool.Send(through, &peerpb.Envelope{From: 2})
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
		pool.Send(through, &peerpb.Envelope{From: i})
		select {
		case <-got:
			return
		case <-time.After(100 * time.Millisecond):
			is.True(time.Since(start) < 4*time.Second)
		}
	}
}

// TestCrowdedPeer guards against requests that wait for a further connection
// to be set up while an open one could carry them.
func TestCrowdedPeer(t *testing.T) {
	is := is.New(t)
	started, slow := make(chan struct{}, 100), make(chan struct{})
	r := &relay{limit: 1, target: serve(t, func(_ context.Context, request *router.Request) *router.Response {
		if request.Key == "slow" {
			started <- struct{}{}
			<-slow
		}
		return done(nil)
	}, nil)}
	pool, through := newPool(t, grpcpeer.PoolSettings{}), r.run(t)
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
	for end := time.Now().Add(2 * time.Second); r.count() < 2; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // The further connection was never opened.
	}
}

// TestSlowRequestKeepsItsConnection guards against a probe that closes the
// connection of a request that is only slow.
func TestSlowRequestKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(context.Context, *router.Request) *router.Response {
		time.Sleep(1500 * time.Millisecond)
		return done(strings.NewReader("late"))
	}, nil)
	pool := newPool(t, grpcpeer.PoolSettings{})
	response, err := pool.Forward(t.Context(), address, newRequest(nil))
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(text), "late")
}

// TestLateAnswersReachTheirCaller guards against an answer that reaches
// another caller when answers are late and out of order.
func TestLateAnswersReachTheirCaller(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ context.Context, request *router.Request) *router.Response {
		number, _ := strconv.Atoi(request.Key)
		time.Sleep(time.Duration((number*37)%50) * time.Millisecond)
		return done(strings.NewReader(request.Key))
	}, nil)
	pool := newPool(t, grpcpeer.PoolSettings{})
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
