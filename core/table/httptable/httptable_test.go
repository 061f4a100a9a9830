package httptable_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/table"
	"briarwell.dev/core/table/httptable"
	"briarwell.dev/core/table/memory"
	"briarwell.dev/core/table/wire"
)

// startServer starts an HTTP server and returns its URL.
func startServer(t *testing.T, handler fasthttp.RequestHandler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: handler, CloseOnShutdown: true}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return "http://" + listener.Addr().String()
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	encoded, _ := json.Marshal(body)
	ctx.SetStatusCode(status)
	ctx.SetBody(encoded)
}

// tableHandler serves the table protocol from a table in memory.
func tableHandler(rows *memory.Table) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		background := context.Background()
		switch string(ctx.Path()) {
		case wire.PathRead:
			var request wire.ReadRequest
			_ = json.Unmarshal(ctx.PostBody(), &request)
			found, _ := rows.Read(background, request.Keys)
			writeJSON(ctx, 200, wire.ReadResponse{Rows: wire.FromRows(found)})
		case wire.PathScan:
			var request wire.ScanRequest
			_ = json.Unmarshal(ctx.PostBody(), &request)
			found, revision, _ := rows.Scan(background, request.Prefix, request.Since)
			writeJSON(ctx, 200, wire.ScanResponse{Rows: wire.FromRows(found), Revision: revision})
		case wire.PathCommit:
			var request wire.CommitRequest
			_ = json.Unmarshal(ctx.PostBody(), &request)
			revision, err := rows.Commit(background, wire.ToTransaction(request))
			var conflict *table.ConflictError
			if errors.As(err, &conflict) {
				writeJSON(ctx, 409, wire.Conflict{Key: conflict.Key(), Expected: conflict.Expected(), Actual: conflict.Actual()})
				return
			}
			writeJSON(ctx, 200, wire.CommitResponse{Revision: revision})
		}
	}
}

func putTransaction(key string, version table.Revision) table.Transaction {
	return table.NewTransaction([]table.Condition{table.NewCondition(key, version)},
		[]table.Mutation{table.NewDelete(key), table.NewPut(key, []byte{0, 255})})
}

// TestRowsAndConflictsOverHTTP guards against rows, versions and conflicts that
// are changed by the encoding.
func TestRowsAndConflictsOverHTTP(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	client, err := httptable.New(startServer(t, tableHandler(memory.New())))
	is.NoErr(err)
	revision, err := client.Commit(ctx, putTransaction("a/1", 0))
	is.NoErr(err)
	rows, err := client.Read(ctx, []string{"none", "a/1"})
	is.NoErr(err)
	is.Equal(rows[0].Version(), table.Revision(0))
	is.Equal(rows[1], table.NewRow("a/1", revision, []byte{0, 255}))
	rows, current, err := client.Scan(ctx, "a/", 0)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(current, revision)
	_, err = client.Commit(ctx, putTransaction("a/1", 9))
	var conflict *table.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, *table.NewConflictError("a/1", 9, 1))
	_, err = httptable.New("ftp://x")
	var invalidURL *httptable.BaseURLError
	is.True(errors.As(err, &invalidURL))
}

// TestFailuresAreOutages guards against a failure of the service that is taken
// for a valid response, and against a commit that is sent twice.
func TestFailuresAreOutages(t *testing.T) {
	var calls atomic.Int32
	failures := map[string]func(*fasthttp.RequestCtx){
		"status":   func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(503) },
		"body":     func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{") },
		"conflict": func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, 409, wire.Failure{Error: "not the protocol"}) },
		"slow":     func(*fasthttp.RequestCtx) { time.Sleep(300 * time.Millisecond) },
		"closed": func(ctx *fasthttp.RequestCtx) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		},
	}
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			calls.Store(0)
			client, err := httptable.New(startServer(t, func(ctx *fasthttp.RequestCtx) {
				calls.Add(1)
				failure(ctx)
			}))
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			start := time.Now()
			_, err = client.Commit(ctx, putTransaction("a", 0))
			var outage *table.OutageError
			is.True(errors.As(err, &outage))
			is.Equal(calls.Load(), int32(1))
			is.True(time.Since(start) < 250*time.Millisecond) // the deadline of the context bounds the call
		})
	}
	is := is.New(t)
	client, err := httptable.New("http://127.0.0.1:1")
	is.NoErr(err)
	_, err = client.Read(context.Background(), []string{"a"})
	var outage *table.OutageError
	is.True(errors.As(err, &outage)) // the connection was refused
}
