package grpcpeer_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/peer/grpcpeer"
	"briarwell.dev/core/router"
)

// BenchmarkForward measures a request with a response of 1 KiB over a loopback
// connection between two daemons in one process.
func BenchmarkForward(b *testing.B) {
	text := strings.Repeat("x", 1024)
	address := startServer(b, func(context.Context, *router.Request) *router.Response { return doneResponse(strings.NewReader(text)) }, nil)
	pool := newTestPool(b, grpcpeer.PoolSettings{})
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request := newRequest(nil)
			request.Deadline = system.Clock{}.Now() + 5000
			response, err := pool.Forward(context.Background(), address, request)
			if err != nil {
				b.Error(err)
				return
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				b.Error(err)
			}
			response.Body.Close()
		}
	})
}
