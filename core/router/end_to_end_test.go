package router_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/client"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
	"briarwell.dev/core/upstream"
)

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// startHTTPServer serves the callers of a daemon over HTTP and returns its address.
func startHTTPServer(t *testing.T, d *daemon) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: d.serveHTTP, StreamRequestBody: true, Logger: discardLogger{}}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() { listener.Close(); group.Wait() })
	return listener.Addr().String()
}

func (d *daemon) serveHTTP(ctx *fasthttp.RequestCtx) {
	request := router.CallerRequest{
		Method: string(ctx.Method()), Target: string(ctx.Request.Header.RequestURI()),
		ContentLength: int64(ctx.Request.Header.ContentLength()),
	}
	for name, value := range ctx.Request.Header.All() {
		request.Headers = append(request.Headers, upstream.NewHeader(string(name), string(value)))
	}
	if request.ContentLength != 0 && request.Method != "GET" {
		request.Body = ctx.RequestBodyStream()
	}
	response := d.entry.Serve(context.Background(), request)
	ctx.SetStatusCode(response.Status)
	for _, header := range response.Headers {
		ctx.Response.Header.Add(header.Name(), header.Value())
	}
	if response.Body != nil {
		ctx.Response.SetBodyStream(response.Body, int(response.ContentLength))
	}
}

// TestBodiesEndToEnd guards against a body that is truncated between the caller, two daemons
// and the upstream without an error at the caller.
func TestBodiesEndToEnd(t *testing.T) {
	is := is.New(t)
	daemons := newCluster(2, upstream.FencingEpoch)
	daemons[0].self.HTTPAddress = startHTTPServer(t, daemons[0])
	connectOverGRPC(t, daemons)
	c := client.New(client.Settings{DaemonAddresses: []string{startHTTPServer(t, daemons[1])}})
	defer c.Close()
	do := func(method string, body []byte) (*client.Response, []byte, error) {
		response, err := c.Do(t.Context(), client.Request{Service: keyedService, Key: "k1", Method: method, Body: body})
		is.NoErr(err)
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		return response, text, err
	}
	payload := bytes.Repeat([]byte("pattern "), 50_000)
	daemons[0].upstream.respond = func(_ context.Context, request upstream.Request) (upstream.Response, error) {
		return upstream.Response{Status: 201, Body: io.NopCloser(request.Body), ContentLength: -1}, nil
	}
	response, text, err := do("POST", payload)
	is.NoErr(err)
	is.Equal(response.Status, 201)
	is.Equal(response.ServedBy, "a")
	is.True(bytes.Equal(text, payload))
	for _, length := range []int64{-1, 400_000} {
		daemons[0].upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
			truncatedBody := io.MultiReader(strings.NewReader(strings.Repeat("x", 200_000)), brokenReader{})
			return upstream.Response{Status: 200, Body: io.NopCloser(truncatedBody), ContentLength: length}, nil
		}
		response, text, err := do("GET", nil)
		var truncated *router.TruncatedError
		is.Equal(response.Outcome, outcome.Outcome(outcome.Done{}))
		is.True(errors.As(err, &truncated))
		is.True(len(text) <= 200_000)
	}
	is.Equal(daemons[0].gate.InFlight(), 0)
}
