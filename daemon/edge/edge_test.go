package edge_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/logs"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
	"briarwell.dev/daemon/edge"
)

// emptyView is a view without members and owners.
type emptyView struct{}

func (emptyView) View() router.View                        { return emptyView{} }
func (emptyView) Self() router.Member                      { return router.Member{Instance: "a"} }
func (emptyView) LeaseEnd() clock.Millis                   { return 1 << 40 }
func (emptyView) Members(identity.Service) []router.Member { return nil }
func (emptyView) Catalog() template.Catalog {
	route := template.NewRouteRules("", "", true, template.PriorityNormal, 1000)
	rules := template.NewServiceRules("bookings", []template.RouteRules{route}, template.WithShards(4))
	return template.NewCatalog(7, map[string]template.ServiceRules{"lagos/bookings": rules})
}

func (emptyView) Owner(identity.Service, shard.ID, string) (router.Ownership, bool) {
	return router.Ownership{}, false
}

// handlerFunc is a function that implements Handler.
type handlerFunc func(caller router.CallerRequest) *router.Response

func (f handlerFunc) Serve(_ context.Context, caller router.CallerRequest) *router.Response {
	return f(caller)
}

// startServer serves a handler on the loopback interface and returns the address.
func startServer(t *testing.T, handler edge.Handler) string {
	t.Helper()
	return startMeasuredServer(t, handler, tally.NoopScope)
}

func startMeasuredServer(t *testing.T, handler edge.Handler, scope tally.Scope) string {
	t.Helper()
	return startLoggedServer(t, handler, scope, io.Discard)
}

func startLoggedServer(t *testing.T, handler edge.Handler, scope tally.Scope, out io.Writer) string {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	logger, closer := logs.New(out, "warn")
	app := edge.New(edge.Settings{Handler: handler, Views: emptyView{}, Log: logger, Scope: scope, MaxHeaderBytes: 4096})
	done := make(chan error, 1)
	go func() { done <- app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() {
		is.NoErr(app.Shutdown())
		is.NoErr(<-done)
		is.NoErr(closer.Close())
	})
	return listener.Addr().String()
}

// TestFloodOfMalformedRequests guards against a log that grows with the number of requests.
func TestFloodOfMalformedRequests(t *testing.T) {
	is := is.New(t)
	lines := make(countingWriter, 1000)
	address := startLoggedServer(t, newOwnerlessHandler(), tally.NoopScope, lines)
	for range 300 {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = io.WriteString(conn, "no request\r\n\r\n")
		is.NoErr(err)
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
	}
	is.True(len(lines) > 0)
	is.True(len(lines) < 150)
}

// countingWriter receives an element for each line.
type countingWriter chan struct{}

func (w countingWriter) Write(p []byte) (int, error) {
	w <- struct{}{}
	return len(p), nil
}

// newOwnerlessHandler returns a handler for which no key has an owner.
func newOwnerlessHandler() edge.Handler {
	return router.NewEntryHandler(router.EntrySettings{Views: emptyView{}, Clock: fixedClock{}, Random: router.NewRandom(1)})
}

type fixedClock struct{}

func (fixedClock) Now() clock.Millis { return 1000 }

// Guards against responses to unroutable requests that lack the outcome not-run, the
// reason or the matching status, or that no metric counts.
func TestUnroutableRequests(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	address := startMeasuredServer(t, newOwnerlessHandler(), scope)
	for _, test := range []struct {
		name, request, reason string
		status                int
	}{
		{"unknown organisation", "GET /kano/bookings/k HTTP/1.1\r\nHost: a\r\n\r\n", "unknown-service", 404},
		{"unknown service", "GET /lagos/carts/k HTTP/1.1\r\nHost: a\r\n\r\n", "unknown-service", 404},
		{"no key", "GET /lagos/bookings HTTP/1.1\r\nHost: a\r\n\r\n", "malformed", 400},
		{"bad escape", "GET /lagos/bookings/%zz HTTP/1.1\r\nHost: a\r\n\r\n", "malformed", 400},
		{"no request line", "nonsense\r\n\r\n", "malformed", 400},
		{"oversized headers", "GET /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8192) + "\r\n\r\n", "malformed", 431},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			connection, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer connection.Close()
			_, err = io.WriteString(connection, test.request)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(response.Header.Get(outcome.HeaderOutcome), "not-run")
			is.Equal(response.Header.Get(outcome.HeaderReason), test.reason)
		})
	}
	counts := map[string]int64{}
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "own_statuses" {
			counts[counter.Tags()["status"]+" "+counter.Tags()["reason"]] = counter.Value()
		}
	}
	is.New(t).Equal(counts, map[string]int64{"404 unknown-service": 2, "400 malformed": 2, "400 http-protocol": 1, "431 http-protocol": 1})
}

// Guards against running a request that the HTTP library could not parse, which is then answered
// as not run.
func TestMalformedRequestRuns(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	address := startServer(t, handlerFunc(func(router.CallerRequest) *router.Response {
		runs.Add(1)
		return &router.Response{Outcome: outcome.Done{}, Status: 201}
	}))
	for request, status := range map[string]int{
		"POST /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nBad Header\r\n\r\n":                                 400,
		"POST /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n":                          400,
		"POST /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8192) + "\r\n\r\n":       431,
		"PATCH /lagos/bookings/k HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nBad Header\r\n\r\n0": 400,
		"GET /lagos/bookings/k HTTP/1.1\r\nHost: a\r\n\r\n":                                                201,
	} {
		connection, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = io.WriteString(connection, request)
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, status)
		is.NoErr(connection.Close())
	}
	is.Equal(runs.Load(), int64(1)) // the last one
}

// truncatedBody is a response body that ends early.
type truncatedBody struct{ text io.Reader }

func (b truncatedBody) Read(buffer []byte) (int, error) {
	n, err := b.text.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = router.NewTruncatedError(io.ErrUnexpectedEOF)
	}
	return n, err
}

func (truncatedBody) Close() error { return nil }

// Guards against a response body that ended early but reaches the caller as complete,
// with and without a known length.
func TestTruncatedBody(t *testing.T) {
	for name, length := range map[string]int64{"chunked": -1, "known length": 100} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, handlerFunc(func(router.CallerRequest) *router.Response {
				return &router.Response{
					Outcome: outcome.Done{}, Status: 200, ContentLength: length,
					Body: truncatedBody{text: strings.NewReader("part")},
				}
			}))
			response, err := http.Get("http://" + address + "/lagos/bookings/k")
			if err != nil {
				return // The connection may be closed before the head has been sent.
			}
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			is.True(err != nil)
		})
	}
}

// Guards against a response body that ended early and is neither logged nor counted.
func TestTruncatedBodyIsReported(t *testing.T) {
	is := is.New(t)
	lines, scope := make(lineWriter, 10), tally.NewTestScope("", nil)
	address := startLoggedServer(t, handlerFunc(func(router.CallerRequest) *router.Response {
		return &router.Response{
			Outcome: outcome.Done{}, Status: 200, ContentLength: -1, Body: truncatedBody{text: strings.NewReader("part")},
		}
	}), scope, lines)
	for range 2 {
		response, err := http.Get("http://" + address + "/lagos/bookings/k")
		if err != nil {
			continue // The connection may be closed before the head has been sent.
		}
		_, err = io.ReadAll(response.Body)
		is.True(err != nil)
		is.NoErr(response.Body.Close())
	}
	count := func() int64 {
		for _, c := range scope.Snapshot().Counters() {
			if c.Name() == "responses_not_passed_on" && c.Tags()["reason"] == "incomplete" {
				return c.Value()
			}
		}
		return 0
	}
	for deadline := time.Now().Add(5 * time.Second); count() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(count(), int64(2))
	is.True(strings.Contains(<-lines, "event=responseNotPassedOn"))
}

// lineWriter receives the lines of a log.
type lineWriter chan string

func (w lineWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

// Guards against request bodies that are changed or lost on the way to the handler, and
// against dropped headers.
func TestStreamedUpload(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20
	address := startServer(t, handlerFunc(func(caller router.CallerRequest) *router.Response {
		n, err := io.Copy(io.Discard, caller.Body)
		if err != nil || n != size || caller.ContentLength != size || !hasHeader(caller.Headers, "X-Pattern", "agbada") {
			return &router.Response{Outcome: outcome.NewUnknown(outcome.ReasonConnectionLost), Status: 504}
		}
		return &router.Response{Outcome: outcome.Done{}, Status: 201}
	}))
	request, err := http.NewRequest(http.MethodPut, "http://"+address+"/lagos/patterns/p", strings.NewReader(strings.Repeat("y", size)))
	is.NoErr(err)
	request.Header.Set("X-Pattern", "agbada")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, 201)
	is.Equal(response.Header.Get(edge.HeaderConfigVersion), "7")
}

// Guards against an empty stream in requests without a body: it would be forwarded as a
// body of unknown length.
func TestRequestWithoutBody(t *testing.T) {
	is := is.New(t)
	address := startServer(t, handlerFunc(func(caller router.CallerRequest) *router.Response {
		if caller.Body != nil || caller.ContentLength != 0 {
			return &router.Response{Outcome: outcome.NewUnknown(outcome.ReasonConnectionLost), Status: 504}
		}
		return &router.Response{Outcome: outcome.Done{}, Status: 200}
	}))
	response, err := http.Get("http://" + address + "/lagos/bookings/k")
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, 200)
}

func hasHeader(headers []upstream.Header, name, value string) bool {
	for _, header := range headers {
		if header.Name() == name && header.Value() == value {
			return true
		}
	}
	return false
}
