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
	reportInterval = 870
	coldStart      = 3000
	startedAt      = 100_000 // the time at which a simulation begins
)

func settings() coldstart.Settings {
	return coldstart.Settings{PerSecond: 15, Overshoot: 1.5, Slack: 8, ColdStart: coldStart, Probes: true}
}

const bound = 30 // of settings, in a second

// process is one upstream process with the reports that are on their way to its daemon.
type process struct {
	number    int
	coldUntil clock.Millis
	sequence  int64
	reportAt  clock.Millis
}

// world is one upstream with its daemon, and random faults in virtual time.
type world struct {
	rng     *rand.Rand
	now     clock.Millis
	events  map[clock.Millis][]func()
	limiter *coldstart.Limiter
	process process
	// down is the time until which there is no process, lateUntil that until which reports are
	// late by delay.
	down, lateUntil, delay clock.Millis
	// known is the newest report that the daemon accepted, as heartbeat.Tracker does.
	known struct {
		number   int
		sequence int64
	}
	ended bool
	// arrivals are the times at which requests reached the cold upstream, phases the number of
	// the cold phase in which each did.
	arrivals []clock.Millis
	phases   []int
	phase    int
	served   int
}

func (w *world) after(d clock.Millis, f func()) { w.events[w.now+d] = append(w.events[w.now+d], f) }

func (w *world) report() {
	p, remaining := &w.process, max(w.process.coldUntil-w.now, 0)
	p.sequence++
	p.reportAt = w.now + reportInterval
	number, sequence := p.number, p.sequence
	delay := clock.Millis(1 + w.rng.IntN(4))
	if w.now < w.lateUntil {
		delay += w.delay
	}
	w.after(delay, func() {
		started := number > w.known.number
		if !started && (number < w.known.number || sequence <= w.known.sequence) {
			return
		}
		w.known.number, w.known.sequence, w.ended = number, sequence, false
		w.limiter.HandleReport(w.now, sequence, remaining, started)
	})
}

// request sends a request if the daemon knows a running process and the limiter admits it.
func (w *world) request() {
	if w.known.number == 0 || w.ended {
		return
	}
	permit, err := w.limiter.Admit(w.now, coldstart.Request{Rank: w.rng.IntN(3), Nested: w.rng.IntN(5) == 0})
	if err != nil {
		return
	}
	if w.now < w.down || w.rng.IntN(20) == 0 { // not received, or answered with 421
		w.after(1, func() { w.limiter.GiveBack(w.now, permit) })
		if w.now < w.down {
			w.ended = true
			w.limiter.HandleProcessEnd(w.now)
		}
		return
	}
	w.served++
	w.after(clock.Millis(1+w.rng.IntN(50)), func() {
		if w.now < w.process.coldUntil {
			w.arrivals, w.phases = append(w.arrivals, w.now), append(w.phases, w.phase)
		}
	})
}

func (w *world) probe() {
	probe, due := w.limiter.BeginProbe(w.now)
	if !due {
		return
	}
	w.after(clock.Millis(1+w.rng.IntN(4)), func() {
		answer := coldstart.ProbeAnswer{Answered: w.now >= w.down, Stated: true, Remaining: max(w.process.coldUntil-w.now, 0)}
		w.after(clock.Millis(1+w.rng.IntN(4)), func() { w.limiter.EndProbe(w.now, probe, answer) })
	})
}

func (w *world) fault() {
	switch w.rng.IntN(5) {
	case 0: // the process is restarted under its ID
		w.down = w.now + clock.Millis(300+w.rng.IntN(2000))
		w.process = process{number: w.process.number + 1, coldUntil: w.down + coldStart, reportAt: w.down}
	case 1: // turns cold without notice
		w.process.coldUntil = max(w.process.coldUntil, w.now+clock.Millis(500+w.rng.IntN(3000)))
	case 2: // the daemon is restarted
		w.limiter = coldstart.NewLimiter(w.now)
		w.limiter.UpdateSettings(w.now, settings())
		w.known.number, w.known.sequence, w.ended = 0, 0, false
	case 3:
		w.lateUntil, w.delay = w.now+clock.Millis(w.rng.IntN(4000)), clock.Millis(w.rng.IntN(3000))
	case 4: // out of use before, cold on return as far as the daemon knows
		w.limiter.HandleReturn(w.now)
	}
}

func (w *world) run(length clock.Millis, rate float64) {
	for end := w.now + length; w.now < end; w.now++ {
		if w.now >= w.process.coldUntil && w.now >= w.down {
			w.phase++
		}
		for _, f := range w.events[w.now] {
			f()
		}
		delete(w.events, w.now)
		if w.now >= w.down && w.now >= w.process.reportAt {
			w.report()
		}
		if w.rng.Float64() < rate/1000 {
			w.request()
		}
		w.probe()
		if w.rng.IntN(4000) == 0 {
			w.fault()
		}
	}
}

// TestBoundInEverySecond guards against a cold upstream that gets more than its bound in any
// second: after its start, after a restart of it or of the daemon, when it turns cold without
// notice, and while reports are late.
func TestBoundInEverySecond(t *testing.T) {
	for seed := range uint64(300) {
		w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: startedAt, events: make(map[clock.Millis][]func()), limiter: coldstart.NewLimiter(startedAt)}
		w.process = process{number: 1, coldUntil: startedAt + coldStart, reportAt: startedAt}
		w.limiter.UpdateSettings(w.now, settings())
		w.run(60_000, 60)
		first := 0
		for i, at := range w.arrivals {
			for w.arrivals[first] <= at-1000 || w.phases[first] != w.phases[i] {
				first++
			}
			if i-first+1 > bound {
				t.Errorf("seed %d: %d requests in the second to %d", seed, i-first+1, at)
			}
		}
		if w.served < 600 {
			t.Errorf("seed %d: only %d requests sent in 60 s", seed, w.served)
		}
	}
}

// warmLimiter returns a limiter of a warm upstream with its reports up to now.
func warmLimiter() (*coldstart.Limiter, clock.Millis) {
	l := coldstart.NewLimiter(startedAt)
	l.UpdateSettings(startedAt, settings())
	now := clock.Millis(startedAt + 5000)
	l.HandleReport(now, 1, 0, true)
	return l, now
}

// TestSustainedRate guards against a cold upstream that gets more than its sustained rate, with
// the requests sent just before it turned cold, and against urgent requests that find no token while less urgent ones do.
func TestSustainedRate(t *testing.T) {
	is := is.New(t)
	l, now := warmLimiter()
	for range 20 { // more than the rate and the burst
		_, err := l.Admit(now, coldstart.Request{})
		is.NoErr(err)
	}
	l.HandleReport(now, 2, 30_000, false)
	_, err := l.Admit(now, coldstart.Request{Nested: true})
	is.True(err != nil)
	l, now = warmLimiter()
	l.HandleReport(now, 2, 30_000, false)
	sent := map[int]int{}
	for end := now + 10_000; now < end; now += 2 {
		rank := int(now/2) % 2
		if _, err := l.Admit(now, coldstart.Request{Rank: rank}); err == nil {
			sent[rank]++
		}
	}
	is.True(sent[0]+sent[1] <= 154 && sent[0]+sent[1] >= 148)
	is.True(sent[0] > 9*sent[1])
}

// TestRetriesSpread guards against refused callers that all return at the same time, and against
// a retry time at which there is no token: each retry here is admitted.
func TestRetriesSpread(t *testing.T) {
	is := is.New(t)
	l, now := warmLimiter()
	l.HandleReport(now, 2, 30_000, false)
	promised, without := []clock.Millis{}, 0
	for range 64 {
		_, err := l.Admit(now, coldstart.Request{MaxRetryAfter: 1000})
		var refused *coldstart.RefusedError
		switch {
		case !errors.As(err, &refused):
		case refused.RetryAfter() == 0:
			without++
		default:
			is.True(refused.RetryAfter() >= 60 && refused.RetryAfter() <= 1000)
			promised = append(promised, refused.RetryAfter())
		}
	}
	is.True(len(promised) >= 13 && len(promised) <= 15)
	is.True(without > 40)
	for _, after := range promised {
		_, err := l.Admit(now+after, coldstart.Request{})
		is.NoErr(err)
	}
}

// TestUnknownRate guards against requests to a cold upstream whose rate can't be read, and
// against a bound for services that have none.
func TestUnknownRate(t *testing.T) {
	is := is.New(t)
	l, now := warmLimiter()
	l.UpdateSettings(now, coldstart.Settings{Closed: true})
	_, err := l.Admit(now, coldstart.Request{Nested: true})
	is.NoErr(err)
	l.HandleReport(now, 2, 1000, false)
	_, err = l.Admit(now+500, coldstart.Request{Nested: true})
	is.True(err != nil)
	var none coldstart.Limiter
	none.HandleReport(now, 1, 1000, true)
	for range 1000 {
		_, err = none.Admit(now, coldstart.Request{})
		is.NoErr(err)
	}
}

// TestOutdatedReports guards against a delayed report that ends the cold time early: after a
// return to use, after the end of the process, and after a probe.
func TestOutdatedReports(t *testing.T) {
	is := is.New(t)
	cold := func(l *coldstart.Limiter, at clock.Millis) bool {
		_, is := l.Cold(at)
		return is
	}
	l, now := warmLimiter()
	l.HandleReturn(now)
	l.HandleReport(now+50, 2, 0, false)
	is.True(cold(l, now+60))
	l.HandleReport(now+51, 3, 0, false)
	is.True(!cold(l, now+60))

	l, now = warmLimiter()
	l.UpdateSettings(now, coldstart.Settings{Closed: true}) // no manifest is known
	l.HandleReturn(now)
	is.True(cold(l, now+1000))
	l.HandleReport(now+1001, 2, 0, false)
	is.True(!cold(l, now+1001))

	l, now = warmLimiter()
	l.HandleProcessEnd(now)
	l.HandleReport(now+1000, 2, 0, false) // of the ended process
	is.True(cold(l, now+1001))
	l.HandleReport(now+1500, 1, 500, true)
	is.True(cold(l, now+1900))
	is.True(!cold(l, now+2100))

	l, now = warmLimiter()
	for range 30 {
		_, err := l.Admit(now, coldstart.Request{})
		is.NoErr(err)
	}
	probe, due := l.BeginProbe(now)
	is.True(due)
	l.EndProbe(now+2, probe, coldstart.ProbeAnswer{Answered: true, Stated: true, Remaining: 2000})
	l.HandleReport(now+100, 2, 0, false) // sent before the probe
	is.True(cold(l, now+101))
	is.True(cold(l, now+1900))
	l.HandleReport(now+2000, 3, 0, false)
	is.True(!cold(l, now+2100))
	l.HandleReport(now+2200, 4, 500, false)
	is.True(cold(l, now+6000)) // no report since
}
