package balance_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
)

const (
	slowMbps      = 11.0
	largeBytes    = 90_000
	serviceTime   = clock.Millis(250)
	targetLatency = clock.Millis(1000)
)

// simulateSlowLink requests more large responses than a slow link can carry. It returns
// the share of the link's bandwidth used by responses that arrive in time, and the number
// of late ones.
func simulateSlowLink(refuses func(link *balance.Link, now clock.Millis) bool) (share float64, late int) {
	const duration = clock.Millis(20_000)
	link := balance.NewLink(slowMbps)
	inProgress := map[clock.Millis][]clock.Millis{} // start times by end time
	bytesInTime := 0
	for now := clock.Millis(1); now < duration; now++ {
		for _, startedAt := range inProgress[now] {
			link.EndLargeResponse(largeBytes)
			if arrivedAt := now + link.Reserve(now, largeBytes).Delay(now, largeBytes); arrivedAt-startedAt <= targetLatency {
				bytesInTime += largeBytes
			} else {
				late++
			}
		}
		if now%40 == 0 && !refuses(&link, now) { // 25 a second, 18 Mbit/s
			link.BeginLargeResponse()
			inProgress[now+serviceTime] = append(inProgress[now+serviceTime], now)
		}
	}
	return float64(bytesInTime) * 8 / 1000 / float64(duration) / slowMbps, late
}

// TestOverloadedLink guards against an underused link under large responses at 1.6 times
// its bandwidth. Counting the responses in progress as if they waited for the link already
// leaves a third of it unused.
func TestOverloadedLink(t *testing.T) {
	is := is.New(t)
	byBacklog, _ := simulateSlowLink(func(link *balance.Link, now clock.Millis) bool { return link.Backlog(now) > 160 })
	byDelay, late := simulateSlowLink(func(link *balance.Link, now clock.Millis) bool {
		return link.LargeResponseDelay(now, serviceTime, targetLatency) > 0
	})
	t.Logf("share of the link used: refusing by backlog %.2f, by delay %.2f with %d late responses", byBacklog, byDelay, late)
	is.True(byBacklog < 0.7)
	is.True(byDelay > 0.85)
	is.Equal(late, 0)
}

// TestChunkSchedule guards against a small response that waits behind whole large ones, and
// against chunks that are sent faster than the link carries them.
func TestChunkSchedule(t *testing.T) {
	is := is.New(t)
	link := balance.NewLink(slowMbps)
	first, second := link.Reserve(100, largeBytes), link.Reserve(100, largeBytes)
	is.Equal(first.Delay(100, 0), clock.Millis(0))
	is.True(second.Delay(100, 0) >= first.Delay(100, largeBytes)-1)
	is.True(float64(first.ChunkBytes())*8/1000/slowMbps < 15) // milliseconds on the link
	is.True(second.Delay(100, largeBytes) > 140)
	is.Equal(balance.Schedule{}.Delay(100, largeBytes), clock.Millis(0))
	fastLink := balance.NewLink(1000)
	is.Equal(fastLink.Reserve(100, largeBytes).Delay(100, largeBytes), clock.Millis(0))
}

// TestLargeResponseStaysInRegion guards against fetching a large response from another region
// after all instances of the daemon's region have refused it: that costs more than the
// response is worth.
func TestLargeResponseStaysInRegion(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	refused := map[string]bool{"here": true, "near": true}
	is.Equal(b.Pick(0, newCandidates(), balance.Request{LargeResponse: true}, refused, alwaysHalf), -1)
	is.Equal(newCandidates()[b.Pick(0, newCandidates(), balance.Request{}, refused, alwaysHalf)].Name, "distant")
}
