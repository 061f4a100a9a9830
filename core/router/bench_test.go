package router_test

import (
	"context"
	"io"
	"testing"

	"briarwell.dev/core/router"
	"briarwell.dev/core/upstream"
)

// BenchmarkServe measures the request path of one daemon without network and
// upstream.
func BenchmarkServe(b *testing.B) {
	requests := map[string]router.CallerRequest{"get": get("/attire/bookings/k1?x=1"), "unkeyed": get("/attire/catalogue/page")}
	for name, request := range requests {
		b.Run(name, func(b *testing.B) {
			d := cluster(3, upstream.FencingEpoch)[0]
			d.members = d.members[:1]
			d.up.act = func(context.Context, upstream.Order) (upstream.Answer, error) { return answer("x"), nil }
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

// BenchmarkParse measures the parsing of a request line.
func BenchmarkParse(b *testing.B) {
	rules := catalog(upstream.FencingEpoch)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := router.Parse(rules, "/attire/bookings/k1/rest?x=1"); err != nil {
			b.Fatal(err)
		}
	}
}
