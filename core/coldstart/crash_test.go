package coldstart_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/coldstart"
)

const (
	crashUpstreams = 10
	crashSeconds   = 20
	restartMillis  = 1000
	// warmPerSecond is what a warm upstream runs: together they run the whole load, 4 times
	// what all cold ones tolerate.
	warmPerSecond = 60
	loadPerSecond = 4 * 15 * crashUpstreams
	// crashAt is the number of requests in a second above which a cold upstream crashes.
	crashAt = 2*15 + 8
	// lostMillis is the time before a crash whose requests are lost with it.
	lostMillis = 200
	// retryAfterLimit is the longest retry time that a caller waits for.
	retryAfterLimit clock.Millis = 300
)

// crashUpstream is an upstream that crashes under load while it is cold.
type crashUpstream struct {
	limiter  *coldstart.Limiter
	upAt     clock.Millis
	reported int64
	received []clock.Millis
}

// receive runs a request and returns the number of requests served by it: negative if it makes
// the upstream crash, as those in progress are lost.
func (u *crashUpstream) receive(now clock.Millis) (served int, crashed bool) {
	for len(u.received) > 0 && u.received[0] <= now-1000 {
		u.received = u.received[1:]
	}
	cold := now < u.upAt+coldStart
	if !cold && len(u.received) >= warmPerSecond {
		return 0, false
	}
	u.received = append(u.received, now)
	if !cold || len(u.received) <= crashAt {
		return 1, false
	}
	for _, at := range u.received[:len(u.received)-1] {
		if at > now-lostMillis {
			served--
		}
	}
	u.received, u.upAt, u.reported = nil, now+restartMillis, 0
	return served, true
}

// simulateCrashes starts all upstreams cold and returns the crashes and the requests served.
func simulateCrashes(limited bool) (crashes, served int) {
	rng := rand.New(rand.NewPCG(7, 7))
	upstreams := make([]*crashUpstream, crashUpstreams)
	for i := range upstreams {
		upstreams[i] = &crashUpstream{limiter: coldstart.NewLimiter(startedAt), upAt: startedAt}
		upstreams[i].limiter.UpdateSettings(startedAt, settings())
	}
	retries := make(map[clock.Millis]int)
	// send tries two upstreams that are up, as a dispatcher does.
	send := func(now clock.Millis, mayRetry bool) {
		var retryAfter clock.Millis
		tried := -1
		for range 2 {
			i := rng.IntN(crashUpstreams)
			u := upstreams[i]
			if i == tried || now < u.upAt {
				continue
			}
			tried = i
			if limited {
				_, err := u.limiter.Admit(now, coldstart.Request{MaxRetryAfter: retryAfterLimit})
				var refused *coldstart.RefusedError
				if errors.As(err, &refused) {
					retryAfter = refused.RetryAfter()
					continue
				}
			}
			n, crashed := u.receive(now)
			served += n
			if crashed {
				crashes++
				u.limiter.HandleProcessEnd(now)
			}
			return
		}
		if retryAfter == 0 { // no token expected: spread
			retryAfter = clock.Millis(60 + rng.IntN(int(retryAfterLimit)-60))
		}
		if mayRetry {
			retries[now+retryAfter]++
		}
	}
	for now := clock.Millis(startedAt); now < startedAt+crashSeconds*1000; now++ {
		for _, u := range upstreams {
			if now >= u.upAt && (now-u.upAt)%reportInterval == 0 {
				u.reported++
				u.limiter.HandleReport(now, u.reported, max(u.upAt+coldStart-now, 0), u.reported == 1)
			}
		}
		for range retries[now] {
			send(now, false)
		}
		delete(retries, now)
		if rng.Float64() < loadPerSecond/1000.0 {
			send(now, true)
		}
	}
	return crashes, served
}

// TestAllColdAtOnce guards against upstreams that bring one another down: all are cold at once
// under four times the load that they tolerate together, and crash at twice.
func TestAllColdAtOnce(t *testing.T) {
	is := is.New(t)
	naiveCrashes, naiveServed := simulateCrashes(false)
	crashes, served := simulateCrashes(true)
	t.Logf("naive: %d crashes, %d served; limited: %d crashes, %d served", naiveCrashes, naiveServed, crashes, served)
	is.Equal(crashes, 0)
	is.True(naiveCrashes > 10*crashUpstreams/2)
	is.True(served > 2*naiveServed)
}
