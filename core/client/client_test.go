package client_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/client"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
)

var bookings = identity.NewService("attire", "bookings")

// testDaemon is an HTTP server that records the requests and passes them to handle with
// their number, from 1.
type testDaemon struct {
	address  string
	mu       sync.Mutex
	requests []string
	handle   func(ctx *fasthttp.RequestCtx, number int)
}

func startDaemon(t *testing.T, handle func(ctx *fasthttp.RequestCtx, number int)) *testDaemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &testDaemon{address: listener.Addr().String(), handle: handle}
	server := &fasthttp.Server{Handler: d.serve, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: discardLogger{}}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() { listener.Close(); group.Wait() })
	return d
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (d *testDaemon) serve(ctx *fasthttp.RequestCtx) {
	d.mu.Lock()
	id, stamp := string(ctx.Request.Header.Peek(outcome.HeaderRequestID)), string(ctx.Request.Header.Peek(outcome.HeaderStamp))
	d.requests = append(d.requests, id+"|"+stamp+"|"+string(ctx.Request.Header.RequestURI()))
	number := len(d.requests)
	d.mu.Unlock()
	d.handle(ctx, number)
}

func writeResponse(ctx *fasthttp.RequestCtx, status int, outcomeName, reason, owner, stamp string) {
	ctx.SetStatusCode(status)
	for header, value := range map[string]string{
		outcome.HeaderOutcome: outcomeName, outcome.HeaderReason: reason, outcome.HeaderOwner: owner,
		outcome.HeaderStamp: stamp, outcome.HeaderShard: "5", outcome.HeaderEpoch: "2",
	} {
		if value != "" {
			ctx.Response.Header.Set(header, value)
		}
	}
	ctx.Response.SetBodyString(outcomeName)
}

func doRequest(t *testing.T, c *client.Client, request client.Request) (*client.Response, string, error) {
	t.Helper()
	if request.Service == (identity.Service{}) {
		request.Service = bookings
	}
	response, err := c.Do(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// TestCachesOwnerAndStamp guards against an extra hop although the owner is known, and
// against a request that is sent without the stamp that its repeat needs.
func TestCachesOwnerAndStamp(t *testing.T) {
	is := is.New(t)
	owner := startDaemon(t, func(ctx *fasthttp.RequestCtx, _ int) { writeResponse(ctx, 200, "done", "", "", "2.9") })
	otherDaemon := startDaemon(t, func(ctx *fasthttp.RequestCtx, _ int) { writeResponse(ctx, 200, "done", "", owner.address, "2.7") })
	c := client.New(client.Settings{DaemonAddresses: []string{"127.0.0.1:1", otherDaemon.address}})
	defer c.Close()
	for range 3 {
		response, text, err := doRequest(t, c, client.Request{Key: "a b/c", Method: "POST", Subpath: "/pay?x=1"})
		is.NoErr(err)
		is.Equal(text, "done")
		is.Equal(response.Outcome, outcome.Outcome(outcome.Done{}))
	}
	is.Equal(len(otherDaemon.requests), 1)
	is.Equal(len(owner.requests), 2)
	is.True(strings.HasSuffix(owner.requests[0], "|2.7|/attire/bookings/a%20b%2Fc/pay?x=1"))
	is.True(strings.Contains(owner.requests[1], "|2.9|"))
}

// TestHotKeyStamps guards against a hot key's stamp on requests for other keys of its
// shard, which the shard's owner would not run.
func TestHotKeyStamps(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, func(ctx *fasthttp.RequestCtx, _ int) {
		stamp := "2.7"
		if strings.HasSuffix(string(ctx.Request.Header.RequestURI()), "/hot") {
			stamp = "2.9.k"
		}
		writeResponse(ctx, 200, "done", "", "", stamp)
	})
	c := client.New(client.Settings{DaemonAddresses: []string{d.address}})
	defer c.Close()
	for _, key := range []string{"cold", "hot", "cold", "hot"} {
		_, _, err := doRequest(t, c, client.Request{Key: key, Method: "POST"})
		is.NoErr(err)
	}
	is.True(strings.HasSuffix(d.requests[2], "|2.7|/attire/bookings/cold"))
	is.True(strings.HasSuffix(d.requests[3], "|2.9.k|/attire/bookings/hot"))
}

// TestRetriesKeepIDAndStamp guards against a retry with another ID or a newer stamp,
// which the owner would run again.
func TestRetriesKeepIDAndStamp(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, func(ctx *fasthttp.RequestCtx, number int) {
		switch number {
		case 1:
			writeResponse(ctx, 428, "not-run", "stamp-required", "", "2.7")
		case 2:
			writeResponse(ctx, 504, "unknown", "timeout", "", "2.8")
		default:
			writeResponse(ctx, 200, "done", "", "", "2.9")
		}
	})
	c := client.New(client.Settings{DaemonAddresses: []string{d.address}})
	defer c.Close()
	response, _, err := doRequest(t, c, client.Request{Key: "k", Method: "POST", ID: "id", Body: []byte("x")})
	is.NoErr(err)
	is.Equal(response.Attempts, 3)
	is.Equal(response.Stamp, "2.7")
	is.Equal(d.requests, []string{"id||/attire/bookings/k", "id|2.7|/attire/bookings/k", "id|2.7|/attire/bookings/k"})
}

// TestUnknownOutcomeIsKept guards against the outcome not-run for a request of which an
// earlier attempt may have run, and against retries that could run a request twice.
func TestUnknownOutcomeIsKept(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, func(ctx *fasthttp.RequestCtx, number int) {
		if number%2 == 1 {
			writeResponse(ctx, 504, "unknown", "timeout", "", "")
			return
		}
		writeResponse(ctx, 428, "not-run", "stamp-required", "", "3.0")
	})
	c := client.New(client.Settings{DaemonAddresses: []string{d.address}})
	defer c.Close()
	response, _, _ := doRequest(t, c, client.Request{Key: "k", Method: "POST"})
	is.Equal(response.Outcome, outcome.Outcome(outcome.NewUnknown(outcome.ReasonTimeout)))
	is.Equal(response.Attempts, 2)
	response, _, _ = doRequest(t, c, client.Request{Method: "POST"})
	is.Equal(response.Attempts, 1)
	response, _, _ = doRequest(t, c, client.Request{Key: "k", Method: "POST", ID: "old", IsRepeat: true})
	_, unknown := response.Outcome.(outcome.Unknown)
	is.True(unknown)
}

// TestTruncatedBodies guards against a truncated response that looks complete, for
// chunked bodies and for bodies of known length.
func TestTruncatedBodies(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{-1, 200_000} {
		d := startDaemon(t, func(ctx *fasthttp.RequestCtx, _ int) {
			writeResponse(ctx, 200, "done", "", "", "")
			ctx.Response.ResetBody()
			ctx.Response.SetBodyStream(io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), failingReader{}), size)
		})
		c := client.New(client.Settings{DaemonAddresses: []string{d.address}})
		_, text, err := doRequest(t, c, client.Request{Key: "k", Method: "GET", Idempotent: true})
		var truncated *router.TruncatedError
		t.Logf("length %d: %d bytes, %v", size, len(text), err)
		is.True(errors.As(err, &truncated))
		is.True(len(text) <= 100_000)
		c.Close()
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestLateResponsesAreDiscarded guards against a response that arrives after its caller
// timed out and is read by the next caller of the connection.
func TestLateResponsesAreDiscarded(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, func(ctx *fasthttp.RequestCtx, number int) {
		time.Sleep(time.Duration((number*37)%60) * time.Millisecond)
		writeResponse(ctx, 200, "done", "", "", "")
		ctx.Response.SetBody(ctx.Request.Header.Peek(outcome.HeaderRequestID))
	})
	c := client.New(client.Settings{DaemonAddresses: []string{d.address}})
	defer c.Close()
	var group conc.WaitGroup
	for i := range 200 {
		group.Go(func() {
			request := client.Request{Key: "k", Method: "POST", ID: fmt.Sprint("id-", i)}
			if i%3 == 0 {
				request.Timeout = 15
			}
			response, text, err := doRequest(t, c, request)
			if response.Outcome == (outcome.Done{}) && err == nil {
				is.Equal(text, request.ID)
			} else {
				is.Equal(i%3, 0)
			}
		})
	}
	group.Wait()
}
