package runner_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/audit"
	"briarwell.dev/core/audit/record"
	"briarwell.dev/load/runner"
	"briarwell.dev/load/workload"
)

// runRoute runs a workload with the given number of requests of one route, against a
// server with the given handler.
func runRoute(is *is.I, route string, requests int, handler fasthttp.RequestHandler) (*runner.Results, []record.Call) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	file, err := workload.Parse([]byte(fmt.Sprintf(`{"rate": 1000, "durationSeconds": %g, "timeoutMillis": 5000,
		"regions": [{"name": "r", "weight": 1}],
		"services": [{"name": "o/s", "weight": 1, "keys": 1, "shards": 1, "routes": [%s]}]}`, float64(requests)/1000, route)))
	is.NoErr(err)
	var records bytes.Buffer
	loadRunner, err := runner.New(file, runner.Targets{"r": {listener.Addr().String()}}, "t", &records)
	is.NoErr(err)
	results := loadRunner.Run(context.Background())
	is.NoErr(results.Err())
	calls, err := record.Read[record.Call](&records)
	is.NoErr(err)
	return results, calls
}

// TestRetryKeepsIDAndStamp guards against a retry of a request that may have run, with
// another ID or a newer stamp than the attempt before it.
func TestRetryKeepsIDAndStamp(t *testing.T) {
	is := is.New(t)
	var seen []string
	route := `{"name": "deposit", "weight": 1, "method": "POST", "path": "/d", "bodyBytes": 9, "repeats": 3}`
	results, calls := runRoute(is, route, 1, func(c *fasthttp.RequestCtx) {
		seen = append(seen, fmt.Sprintf("%s %s %s", c.Path(), c.Request.Header.Peek("Briarwell-Request-Id"), c.Request.Header.Peek("Briarwell-Stamp")))
		attempt := len(seen)
		c.Response.Header.Set("Briarwell-Stamp", fmt.Sprintf("%d.0", attempt))
		c.Response.Header.Set("Briarwell-Epoch", fmt.Sprint(attempt))
		c.Response.Header.Set("Briarwell-Outcome", []string{"not-run", "unknown", "unknown", "done"}[attempt-1])
	})
	is.Equal(seen, []string{"/o/s/k0000000/d t-1 ", "/o/s/k0000000/d t-1 1.0", "/o/s/k0000000/d t-1 1.0", "/o/s/k0000000/d t-1 1.0"})
	is.Equal(len(calls), 4)
	is.Equal(results.Routes()[0].Outcomes(), map[string]int64{"done": 1})
}

// TestResponseVerification guards against a response that belongs to another request, key
// or body, but is recorded as the expected one.
func TestResponseVerification(t *testing.T) {
	get := `{"name": "g", "weight": 1, "method": "GET", "path": "", "idempotent": true}`
	post := `{"name": "p", "weight": 1, "method": "POST", "path": "/deposit"}`
	put := `{"name": "u", "weight": 1, "method": "PUT", "path": "", "bodyBytes": 3}`
	download := `{"name": "d", "weight": 1, "method": "GET", "path": "/pattern?bytes=3", "stream": true}`
	cases := []struct {
		route, body string
		findings    int
	}{
		{get, `{"key":"k0000000"}`, 0},
		{get, `{"key":"other"}`, 1},
		{post, `{"key":"k0000000","requests":["t-0","t-1"]}`, 0},
		{post, `{"key":"k0000000","requests":["t-0"]}`, 1},
		{post, ``, 0},
		{put, `{"bytes":3,"sha256":"98bb5b6f9bd1a5d1c25ccb21eb9a4ee4c9aef13f6ee14dd8f9dd1c3c1d7d0a2c"}`, 1},
		{download, "\x00\x1f\x3e", 0},
		{download, "\x00\x1f\x3f", 1},
		{download, "\x00\x1f", 1},
	}
	for _, c := range cases {
		t.Run(c.route+c.body, func(t *testing.T) {
			is := is.New(t)
			_, calls := runRoute(is, c.route, 1, func(ctx *fasthttp.RequestCtx) {
				ctx.Response.Header.Set("Briarwell-Outcome", "done")
				ctx.SetBodyString(c.body)
			})
			var history audit.History
			history.AddAcceptances(record.Acceptance{Organisation: "o", Service: "s", RequestID: "t-1", TookEffect: true})
			history.AddCalls(calls...)
			is.Equal(len(history.Check()), c.findings)
		})
	}
}

// TestTruncatedResponse guards against a response that ends early, but is counted as a
// success.
func TestTruncatedResponse(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		t.Run(stream, func(t *testing.T) {
			is := is.New(t)
			route := `{"name": "pattern", "weight": 1, "method": "GET", "path": "/p", "idempotent": true, "stream": ` + stream + `}`
			results, calls := runRoute(is, route, 1, func(c *fasthttp.RequestCtx) {
				c.HijackSetNoResponse(true)
				c.Hijack(func(conn net.Conn) {
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nBriarwell-Outcome: done\r\nContent-Length: 100000\r\n\r\nshort"))
				})
			})
			is.Equal(len(calls), 1)
			is.True(!calls[0].Complete)
			is.Equal(results.Routes()[0].Successes(), int64(0))
		})
	}
}
