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

// simulateUploads sends request bodies of 60 kB to a link of 14 Mbit/s at twice its
// bandwidth. It returns the bodies received within the time, those received late, and the
// longest time for which a small message waited.
func simulateUploads(refuses func(link *balance.Link, now clock.Millis) bool) (inTime, late int, smallWait clock.Millis) {
	const (
		bodyBytes = 60_000
		within    = clock.Millis(800)
		service   = clock.Millis(160)
	)
	link := balance.NewLink(14)
	for now := clock.Millis(1); now < 20_000; now++ {
		if now%17 != 0 || refuses(&link, now) { // 59 a second, 28 Mbit/s
			continue
		}
		schedule := link.Reserve(now, bodyBytes)
		arrival := schedule.Delay(now, bodyBytes) + service
		if arrival <= within {
			inTime++
		} else {
			late++
		}
		// A small message waits for the chunk that is being received.
		smallWait = max(smallWait, schedule.Delay(now, schedule.ChunkBytes())-schedule.Delay(now, 0))
	}
	return inTime, late, smallWait
}

// TestUploadsOnThinLink guards against request bodies that are all received at once: they
// share the link, so that all are late and small messages wait behind them.
func TestUploadsOnThinLink(t *testing.T) {
	is := is.New(t)
	naiveInTime, naiveLate, _ := simulateUploads(func(*balance.Link, clock.Millis) bool { return false })
	inTime, late, smallWait := simulateUploads(func(link *balance.Link, now clock.Millis) bool {
		return link.BodyDelay(now, 160, 800, 60_000) > 0
	})
	t.Logf("naive: %d in time, %d late; with admission: %d in time, %d late, small messages wait %d ms", naiveInTime, naiveLate, inTime, late, smallWait)
	is.True(naiveInTime < 60)
	is.True(inTime > 450) // of 525 that the link can carry
	is.Equal(late, 0)
	is.True(smallWait <= 12)
}

// TestLargeBodyStaysInRegion guards against a large request body that leaves the region
// although an instance there is reachable.
func TestLargeBodyStaysInRegion(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	refused := map[string]bool{"here": true, "near": true}
	is.Equal(b.Pick(0, newCandidates(), balance.Request{BodyBytes: 60_000}, refused, alwaysHalf), -1)
	for range 10 {
		b.RecordUnreachable(0, "here")
		b.RecordUnreachable(0, "near")
	}
	is.Equal(newCandidates()[b.Pick(0, newCandidates(), balance.Request{BodyBytes: 60_000}, nil, alwaysHalf)].Name, "distant")
}

// TestLargeBodyAvoidsBusyLink guards against a choice of the upstream that ignores the
// bodies which its link has still to receive.
func TestLargeBodyAvoidsBusyLink(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	b.RecordLoad(0, "here", "upload", balance.Load{Slots: 9, ServiceTime: 160, LinkMbps: 14, InboundBacklog: 400})
	b.RecordLoad(0, "near", "upload", balance.Load{Slots: 9, ServiceTime: 160, LinkMbps: 14})
	is.Equal(newCandidates()[b.Pick(0, newCandidates(), balance.Request{Class: "upload", BodyBytes: 60_000}, nil, alwaysHalf)].Name, "near")
	is.Equal(newCandidates()[b.Pick(0, newCandidates(), balance.Request{Class: "upload"}, nil, alwaysHalf)].Name, "here")
}
