package balance_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
)

const (
	slowMbps         = 11.0
	largeBytes       = 90_000
	serviceTime      = clock.Millis(250)
	latencyObjective = clock.Millis(1000)
)

// simulateSlowLink replays more large answers than a slow link can carry, and returns the
// share of the link that those used which came in time.
func simulateSlowLink(refuses func(l *balance.Link, now clock.Millis) bool) (share float64, late int) {
	const span = clock.Millis(20_000)
	l := balance.NewLink(slowMbps)
	making := map[clock.Millis][]clock.Millis{}
	sent := 0
	for now := clock.Millis(1); now < span; now++ {
		for _, began := range making[now] {
			l.EndLargeResponse(largeBytes)
			if done := now + l.Reserve(now, largeBytes).Delay(now, largeBytes); done-began <= latencyObjective {
				sent += largeBytes
			} else {
				late++
			}
		}
		if now%40 == 0 && !refuses(&l, now) { // 25 a second, 18 Mbit/s
			l.BeginLargeResponse()
			making[now+serviceTime] = append(making[now+serviceTime], now)
		}
	}
	return float64(sent) * 8 / 1000 / float64(span) / slowMbps, late
}

// TestOverloadedLink replays large answers at 1.6 times what the link carries. The naive
// rule counts those that are being made as if they waited for the link already,
// and leaves a third of it unused.
func TestOverloadedLink(t *testing.T) {
	is := is.New(t)
	naive, _ := simulateSlowLink(func(l *balance.Link, now clock.Millis) bool { return l.Backlog(now) > 160 })
	own, late := simulateSlowLink(func(l *balance.Link, now clock.Millis) bool {
		return l.LargeResponseDelay(now, serviceTime, latencyObjective) > 0
	})
	t.Logf("share of the link: naive %.2f, own %.2f, %d late", naive, own, late)
	is.True(naive < 0.7)
	is.True(own > 0.85)
	is.Equal(late, 0)
}

// TestChunkSchedule guards against a small answer that waits behind whole large ones, and
// against pieces that overtake the link.
func TestChunkSchedule(t *testing.T) {
	is := is.New(t)
	l := balance.NewLink(slowMbps)
	first, second := l.Reserve(100, largeBytes), l.Reserve(100, largeBytes)
	is.Equal(first.Delay(100, 0), clock.Millis(0))
	is.True(second.Delay(100, 0) >= first.Delay(100, largeBytes)-1)
	is.True(float64(first.ChunkBytes())*8/1000/slowMbps < 15) // milliseconds on the link
	is.True(second.Delay(100, largeBytes) > 140)
	is.Equal(balance.Schedule{}.Delay(100, largeBytes), clock.Millis(0))
	wide := balance.NewLink(1000)
	is.Equal(wide.Reserve(100, largeBytes).Delay(100, largeBytes), clock.Millis(0))
}

// TestLargeResponseStaysInRegion replays a region whose instances have all refused a large answer.
// The naive rule asks another region, for more than the answer is worth.
func TestLargeResponseStaysInRegion(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	tried := map[string]bool{"here": true, "near": true}
	is.Equal(b.Pick(0, candidates(), balance.Request{LargeResponse: true}, tried, alwaysHalf), -1)
	is.Equal(candidates()[b.Pick(0, candidates(), balance.Request{}, tried, alwaysHalf)].Name, "distant")
}
