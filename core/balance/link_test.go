package balance_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
)

const (
	slowMbps    = 11.0
	largeBytes  = 90_000
	makingTime  = clock.Millis(250)
	largeWanted = clock.Millis(1000)
)

// carried replays more large answers than a slow link can carry, and returns the
// share of the link that those used which came in time.
func carried(refuses func(l *balance.Link, now clock.Millis) bool) (share float64, late int) {
	const span = clock.Millis(20_000)
	l := balance.NewLink(slowMbps)
	making := map[clock.Millis][]clock.Millis{}
	sent := 0
	for now := clock.Millis(1); now < span; now++ {
		for _, began := range making[now] {
			l.End(largeBytes)
			if done := now + l.Sent(now, largeBytes).Due(now, largeBytes); done-began <= largeWanted {
				sent += largeBytes
			} else {
				late++
			}
		}
		if now%40 == 0 && !refuses(&l, now) { // 25 a second, 18 Mbit/s
			l.Begin()
			making[now+makingTime] = append(making[now+makingTime], now)
		}
	}
	return float64(sent) * 8 / 1000 / float64(span) / slowMbps, late
}

// TestBusyLink replays large answers at 1.6 times what the link carries. The naive
// rule counts those that are being made as if they waited for the link already,
// and leaves a third of it unused.
func TestBusyLink(t *testing.T) {
	is := is.New(t)
	naive, _ := carried(func(l *balance.Link, now clock.Millis) bool { return l.Wait(now) > 160 })
	own, late := carried(func(l *balance.Link, now clock.Millis) bool { return l.PutOff(now, makingTime, largeWanted) > 0 })
	t.Logf("share of the link: naive %.2f, own %.2f, %d late", naive, own, late)
	is.True(naive < 0.7)
	is.True(own > 0.85)
	is.Equal(late, 0)
}

// TestPieces guards against a small answer that waits behind whole large ones, and
// against pieces that overtake the link.
func TestPieces(t *testing.T) {
	is := is.New(t)
	l := balance.NewLink(slowMbps)
	first, second := l.Sent(100, largeBytes), l.Sent(100, largeBytes)
	is.Equal(first.Due(100, 0), clock.Millis(0))
	is.True(second.Due(100, 0) >= first.Due(100, largeBytes)-1)
	is.True(float64(first.Piece())*8/1000/slowMbps < 15) // milliseconds on the link
	is.True(second.Due(100, largeBytes) > 140)
	is.Equal(balance.Schedule{}.Due(100, largeBytes), clock.Millis(0))
	wide := balance.NewLink(1000)
	is.Equal(wide.Sent(100, largeBytes).Due(100, largeBytes), clock.Millis(0))
}

// TestLargeStays replays a region whose instances have all refused a large answer.
// The naive rule asks another region, for more than the answer is worth.
func TestLargeStays(t *testing.T) {
	is := is.New(t)
	b := balance.New(here)
	tried := map[string]bool{"here": true, "near": true}
	is.Equal(b.Pick(0, candidates(), balance.Ask{Large: true}, tried, half), -1)
	is.Equal(candidates()[b.Pick(0, candidates(), balance.Ask{}, tried, half)].Name, "distant")
}
