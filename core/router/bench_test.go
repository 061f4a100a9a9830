package router_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/router"
	"briarwell.dev/core/upstream"
)

// BenchmarkServe measures the request path of one daemon without a network and an upstream.
func BenchmarkServe(b *testing.B) {
	requests := map[string]router.CallerRequest{"get": getRequest("/attire/bookings/k1?x=1"), "post": postRequest("", ""), "unkeyed": getRequest("/attire/catalogue/page")}
	for name, request := range requests {
		b.Run(name, func(b *testing.B) {
			d := newCluster(3, upstream.FencingEpoch)[0]
			d.members = d.members[:1]
			d.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) { return textResponse("x"), nil }
			request.Headers = []upstream.Header{upstream.NewHeader("Accept", "*/*"), upstream.NewHeader("Connection", "keep-alive")}
			buffer := make([]byte, 64)
			b.ReportAllocs()
			for b.Loop() {
				response := d.entry.Serve(context.Background(), request)
				for {
					if _, err := response.Body.Read(buffer); err == io.EOF {
						break
					}
				}
				response.Body.Close()
			}
		})
	}
}

// BenchmarkOpenLoop sends requests at the target rate of 3,500/s to a daemon that forwards all
// of them over gRPC on loopback to their owner in the same process. Latency is measured from
// the intended start of each request.
func BenchmarkOpenLoop(b *testing.B) {
	const interval = time.Second / 3500
	daemons := newCluster(2, upstream.FencingEpoch)
	connectOverGRPC(b, daemons)
	body := strings.Repeat("x", 1024)
	daemons[0].gate.UpdateSettings(admission.Settings{Slots: 1000})
	daemons[0].upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) { return textResponse(body), nil }
	_, _ = readBody(daemons[1].entry.Serve(context.Background(), getRequest("/attire/bookings/k1"))) // opens the connection
	latencies, lags, failed := make([]time.Duration, b.N), make([]time.Duration, b.N), atomic.Int64{}
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	b.ResetTimer()
	start := time.Now()
	var group conc.WaitGroup
	for i := range b.N {
		intended := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(intended))
		lags[i] = time.Since(intended)
		group.Go(func() {
			response := daemons[1].entry.Serve(context.Background(), getRequest("/attire/bookings/k1"))
			if text, err := readBody(response); err != nil || text != body {
				failed.Add(1)
			}
			latencies[i] = time.Since(intended)
		})
	}
	group.Wait()
	elapsed := time.Since(start)
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	slices.Sort(latencies)
	slices.Sort(lags)
	cpuTime := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "requests/s")
	b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-µs")
	// The delay of the sender alone shows how busy the machine is.
	b.ReportMetric(float64(lags[b.N*99/100].Microseconds()), "lag-p99-µs")
	b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(cpuTime.Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// BenchmarkParse measures the parsing of a request line.
func BenchmarkParse(b *testing.B) {
	rules := newCatalog(upstream.FencingEpoch)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := router.Parse(rules, "/attire/bookings/k1/rest?x=1"); err != nil {
			b.Fatal(err)
		}
	}
}
