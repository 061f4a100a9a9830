package runner_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/audit/record"
	"briarwell.dev/load/runner"
	"briarwell.dev/load/workload"
)

// runOne sends requests of one route to a server with the given handler.
func runOne(is *is.I, route string, requests int, handler fasthttp.RequestHandler) (*runner.Results, []record.Call) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	file, err := workload.Parse([]byte(fmt.Sprintf(`{"rate": 1000, "durationSeconds": %g, "timeoutMillis": 5000,
		"regions": [{"name": "r", "weight": 1}],
		"services": [{"name": "o/s", "weight": 1, "keys": 1, "shards": 1, "routes": [%s]}]}`, float64(requests)/1000, route)))
	is.NoErr(err)
	var written bytes.Buffer
	load, err := runner.New(file, runner.Targets{"r": {listener.Addr().String()}}, "t", &written)
	is.NoErr(err)
	results := load.Run(context.Background())
	is.NoErr(results.Err())
	calls, err := record.Read[record.Call](&written)
	is.NoErr(err)
	return results, calls
}

// TestRepeats guards against a repeat of a request that may have run with
// another ID or a newer stamp than its first attempt.
func TestRepeats(t *testing.T) {
	is := is.New(t)
	var seen []string
	route := `{"name": "deposit", "weight": 1, "method": "POST", "path": "/d", "bodyBytes": 9, "repeats": 3}`
	results, calls := runOne(is, route, 1, func(c *fasthttp.RequestCtx) {
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

// TestTruncated guards against counting a response that ends early as good.
func TestTruncated(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		t.Run(stream, func(t *testing.T) {
			is := is.New(t)
			route := `{"name": "pattern", "weight": 1, "method": "GET", "path": "/p", "idempotent": true, "stream": ` + stream + `}`
			results, calls := runOne(is, route, 1, func(c *fasthttp.RequestCtx) {
				c.HijackSetNoResponse(true)
				c.Hijack(func(conn net.Conn) {
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nBriarwell-Outcome: done\r\nContent-Length: 100000\r\n\r\nshort"))
				})
			})
			is.Equal(len(calls), 1)
			is.True(!calls[0].Complete)
			is.Equal(results.Routes()[0].Good(), int64(0))
		})
	}
}
