// Package coldstart bounds the requests to an upstream that is cold: one that has just started,
// or that states in its liveness reports that it is slow for a while. Load pattern: many
// upstreams of a service restart at once, and those that are up get the requests for all. A
// cold upstream crashes at a rate well above the one that it tolerates, so that without a bound
// the upstreams bring one another down again and again.
package coldstart

import (
	"fmt"
	"math"

	"briarwell.dev/core/clock"
)

const (
	// burstShare is the share of the slack that a cold upstream gets at once after a pause.
	burstShare = 0.5
	// reservedShare is the share of the burst that is reserved for nested requests and for
	// ranks more urgent than the least urgent one.
	reservedShare = 0.25
	// lateReportAfter is the time in milliseconds without a report after which a cold
	// upstream stays cold until the next one. Reports come every 870 ms, so that one may be
	// lost.
	lateReportAfter clock.Millis = 1900
	// currentReportLag is the delay in milliseconds up to which a report counts as current: 2
	// requests at 60 a second. reportLagDecay is subtracted from the estimated delay with each
	// report, as the interval of the reports is only about 870 ms.
	currentReportLag clock.Millis = 40
	reportLagDecay   clock.Millis = 5
	// clockDriftPercent bounds, in percent, how much slower than the daemon's clock an
	// upstream's clock may run.
	clockDriftPercent = 2
	// returnReportDelay is the time in milliseconds after the return of an upstream to use
	// for which its reports may have been sent before.
	returnReportDelay clock.Millis = 50
	// endedReportDelay is the time in milliseconds after the end of a process for which its
	// reports may still arrive: they may be seconds late.
	endedReportDelay clock.Millis = 3000
	// unknownColdStart is the time in milliseconds for which an upstream counts as cold without
	// a report while no manifest is known: the usual cold start of the users' upstreams.
	unknownColdStart clock.Millis = 3000
	// rankPeriod is the time in milliseconds for which a rank counts as seen, at least.
	rankPeriod clock.Millis = 10_000
	// minRetryAfter is the least time in milliseconds after which a refused caller is told to
	// retry: a round trip between regions takes 40 ms.
	minRetryAfter clock.Millis = 60
	// warmSpeedup is the number of retries per token interval once the upstream is warm. It
	// then runs several times as many requests.
	warmSpeedup = 4
	// closedInterval is the time in milliseconds between two retries to an upstream that gets
	// no requests while it is cold.
	closedInterval = 20.0
	// reportInterval is the time in milliseconds between two reports.
	reportInterval clock.Millis = 870

	secondsMillis = 1000
	percent       = 100
)

// Settings are the bounds on the requests to a cold upstream of a service. The zero value has
// no bound.
type Settings struct {
	// PerSecond is the rate of requests per second that a cold upstream tolerates.
	PerSecond float64
	// Closed is true if that rate is unknown. A cold upstream then gets no requests.
	Closed bool
	// In any second a cold upstream gets at most PerSecond x Overshoot + Slack requests. An
	// Overshoot below 1 counts as 1.
	Overshoot float64
	Slack     float64
	// ColdStart is the time in milliseconds for which an upstream is cold after its start.
	ColdStart clock.Millis
	// Probes is true if the upstream can be asked whether it is cold.
	Probes bool
}

// Enabled reports whether there is a bound.
func (s Settings) Enabled() bool { return s.Closed || s.PerSecond > 0 }

// bound returns the number of requests that a cold upstream may get in a second.
func (s Settings) bound() int {
	if s.Closed {
		return 0
	}
	return int(s.PerSecond*max(s.Overshoot, 1) + s.Slack)
}

// burst returns the number of requests that a cold upstream gets at once after a pause.
func (s Settings) burst() float64 { return max(s.Slack*burstShare, 1) }

// reserve returns the tokens that only urgent requests may take. The others still get one at
// the full burst.
func (s Settings) reserve() float64 { return min(s.burst()*reservedShare, s.burst()-1) }

// tokenInterval returns the time in milliseconds between two requests at the sustained rate.
func (s Settings) tokenInterval() float64 {
	if s.Closed || s.PerSecond <= 0 {
		return closedInterval
	}
	return secondsMillis / s.PerSecond
}

// Request is a request to the upstream.
type Request struct {
	// Rank is the rank of the route; 0 is the most urgent.
	Rank   int
	Nested bool
	// MaxRetryAfter is the longest time in milliseconds after which the caller would retry, 0
	// if it does not.
	MaxRetryAfter clock.Millis
}

// RefusedError reports that a request must not be sent to the cold upstream.
type RefusedError struct{ retryAfter clock.Millis }

// RetryAfter returns the time in milliseconds after which a token is expected for a retry, 0 if
// the tokens until Request.MaxRetryAfter are expected for others. It differs from one refusal to
// the next, so that the retries come as the tokens do.
func (e *RefusedError) RetryAfter() clock.Millis { return e.retryAfter }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream is cold, retry after %d ms", e.retryAfter)
}

// Permit allows one request to be sent.
type Permit struct {
	at     clock.Millis
	number int64
	cold   bool
}

// Limiter bounds the requests to one upstream while it is cold. It counts requests also while
// the upstream is warm: those of the last second count when it becomes cold. The zero value has
// no bound and no report. It is not safe for concurrent use.
//
// Reports come in the order of heartbeat.Tracker: late ones and those of ended processes are
// not passed on. A report may still have been delayed, so that it is older than something that
// is known otherwise: the end of the process, the return to use, or the answer to a probe. The
// bound then holds until a report is certainly newer.
type Limiter struct {
	settings Settings
	sent     window
	// sentUnknownUntil is the time until which requests count that were sent before the
	// limiter counted them.
	sentUnknownUntil clock.Millis

	cold      bool
	coldUntil clock.Millis
	// returnedUntil and endedUntil are the times until which reports may be older than the
	// return to use, and than the end of the process.
	returnedUntil clock.Millis
	endedUntil    clock.Millis
	// aheadOfReports is set from a probe that found the upstream cold to the first report that
	// says the same. Reports of a warm upstream are older than the probe until then.
	aheadOfReports bool
	hasReport      bool
	sequence       int64
	reportedAt     clock.Millis
	// reportLag is the estimated delay of the newest report in milliseconds.
	reportLag clock.Millis

	tokens   float64
	tokensAt clock.Millis
	ranks    seenRanks
	// promised is the time, in milliseconds, of the retry of the next refused request.
	promised float64

	probes probes
}

// NewLimiter returns a limiter of a daemon that starts at now. Another process of the daemon may
// have sent requests until then.
func NewLimiter(now clock.Millis) *Limiter {
	return &Limiter{sentUnknownUntil: now + windowMillis}
}

// UpdateSettings replaces the bounds at now.
func (l *Limiter) UpdateSettings(now clock.Millis, s Settings) {
	if s == l.settings {
		return
	}
	if !l.settings.Enabled() {
		// Requests were not counted so far.
		l.sentUnknownUntil = max(l.sentUnknownUntil, now+windowMillis)
	}
	l.settings = s
	l.tokens = min(l.tokens, s.burst())
}

// HandleReport records a report that was received at now. Remaining is the time in milliseconds
// for which it states that the upstream is cold, 0 if it is warm. Started is true for the first
// report of a process.
func (l *Limiter) HandleReport(now clock.Millis, sequence int64, remaining clock.Millis, started bool) {
	now = l.update(now)
	// A delay shows as a longer interval, until a shorter one makes up for it.
	l.reportLag = max(l.reportLag+now-l.reportedAt-clock.Millis(sequence-l.sequence)*reportInterval-reportLagDecay, 0)
	if started || !l.hasReport {
		l.reportLag = 0
	}
	l.probes.unconfirmed = l.probes.unconfirmed || !l.hasReport
	l.hasReport, l.sequence, l.reportedAt = true, sequence, now
	if started {
		l.aheadOfReports, l.endedUntil = false, 0
		l.probes.reset()
	}
	mayBeOutdated := now <= max(l.returnedUntil, l.endedUntil)
	// The time counts from the receipt, so that a delay makes it longer.
	until := now + withDrift(remaining)
	switch {
	case remaining > 0 && mayBeOutdated:
		l.becomeCold(now, max(until, l.coldUntil))
	case remaining > 0:
		l.aheadOfReports = false
		l.becomeCold(now, until)
	case mayBeOutdated || l.aheadOfReports:
		l.update(now)
	default:
		l.cold = false
		if !started && l.reportLag <= currentReportLag {
			l.probes.knownWarm(l.probes.sent)
		}
	}
}

// HandleProcessEnd records that the upstream's process has ended. The next one may use the same
// ID, and a late report of the ended one does not show that it is warm.
func (l *Limiter) HandleProcessEnd(now clock.Millis) {
	l.endedUntil = now + endedReportDelay
	l.assumeCold(now, l.endedUntil)
}

// HandleReturn records that the upstream gets requests again after a time without any. It counts
// as cold for Settings.ColdStart, until a later report says otherwise.
func (l *Limiter) HandleReturn(now clock.Millis) {
	l.returnedUntil = now + returnReportDelay
	l.assumeCold(now, l.returnedUntil)
}

// assumeCold makes the upstream cold for Settings.ColdStart, but at least until the given time.
func (l *Limiter) assumeCold(now, until clock.Millis) {
	now = l.update(now)
	until = max(until, now+l.settings.ColdStart)
	if l.settings.Closed {
		// The cold start may be unknown too.
		until = max(until, now+unknownColdStart)
	}
	if l.cold {
		until = max(until, l.coldUntil)
	}
	l.becomeCold(now, until)
}

func withDrift(d clock.Millis) clock.Millis { return d + d*clockDriftPercent/percent + 1 }

// becomeCold makes the upstream cold until the given time. If it was warm, the requests of the
// last second have used up the tokens that they would have taken.
func (l *Limiter) becomeCold(now, until clock.Millis) {
	if !l.cold {
		l.cold, l.promised = true, 0
		burst := l.settings.burst()
		l.tokens = min(max(burst+l.settings.PerSecond-float64(l.sent.total), 0), burst)
		l.tokensAt = now
	}
	l.coldUntil = until
}

// update advances the state to now, or to the latest known time if that is later, and returns
// it. A cold upstream becomes warm at the time that it stated, unless its reports are late.
func (l *Limiter) update(now clock.Millis) clock.Millis {
	now = max(now, l.sent.newest)
	l.sent.advance(now)
	if !l.cold {
		return now
	}
	elapsed := float64(max(now-l.tokensAt, 0))
	l.tokens = min(l.tokens+elapsed*l.settings.PerSecond/secondsMillis, l.settings.burst())
	l.tokensAt = now
	if now >= l.coldUntil && now-l.reportedAt <= lateReportAfter {
		l.cold, l.aheadOfReports = false, false
	}
	return now
}

// Cold reports whether the upstream is cold, and for how long in milliseconds, at least 1. While
// a report is late, the time is that to the next one.
func (l *Limiter) Cold(now clock.Millis) (clock.Millis, bool) {
	now = l.update(now)
	if !l.cold {
		return 0, false
	}
	if now >= l.coldUntil {
		return reportInterval, true
	}
	return l.coldUntil - now, true
}

// Rate returns the requests per second that the upstream gets while it is cold.
func (l *Limiter) Rate() float64 { return l.settings.PerSecond }

// Admit takes a token for a request that is sent at now. The error is a *RefusedError.
func (l *Limiter) Admit(now clock.Millis, r Request) (Permit, error) {
	if !l.settings.Enabled() {
		return Permit{}, nil
	}
	if err := l.Check(now, r); err != nil {
		return Permit{}, err
	}
	if l.cold {
		l.tokens--
	}
	l.sent.add()
	l.probes.sent++
	return Permit{at: l.sent.newest, number: l.probes.sent, cold: l.cold}, nil
}

// Check returns the *RefusedError with which Admit would refuse a request at now, or nil. It
// takes no token.
func (l *Limiter) Check(now clock.Millis, r Request) error {
	if !l.settings.Enabled() {
		return nil
	}
	now = l.update(now)
	l.ranks.observe(now, r.Rank)
	wait := l.timeToSend(now, r.Nested || l.ranks.isUrgent(r.Rank))
	if wait <= 0 {
		return nil
	}
	return &RefusedError{retryAfter: l.scheduleRetry(now, max(wait, minRetryAfter), r.MaxRetryAfter)}
}

// GiveBack returns the token of a request that the upstream did not accept.
func (l *Limiter) GiveBack(now clock.Millis, p Permit) {
	if !l.settings.Enabled() || p.at == 0 {
		return
	}
	l.update(now)
	l.sent.remove(p.at)
	l.probes.giveBack(p.number)
	if p.cold && l.cold {
		l.tokens = min(l.tokens+1, l.settings.burst())
	}
}

// timeToSend returns the time in milliseconds until a request may be sent, 0 if it may be sent
// now.
func (l *Limiter) timeToSend(now clock.Millis, urgent bool) clock.Millis {
	bound := l.settings.bound()
	switch {
	case !l.hasReport:
		return reportInterval
	case !l.cold:
		return 0
	case bound < 1:
		return max(l.coldUntil-now, reportInterval)
	}
	needed := 1.0
	if !urgent {
		needed += l.settings.reserve()
	}
	wait := max(l.sentUnknownUntil-now, 0)
	if l.tokens < needed {
		wait = max(wait, clock.Millis(math.Ceil((needed-l.tokens)*l.settings.tokenInterval())))
	}
	if l.sent.total >= bound {
		wait = max(wait, l.sent.timeBelow(bound))
	}
	return wait
}

// scheduleRetry returns the time in milliseconds after which a refused request is to be retried:
// the next time at which a token is expected, from wait on, that was not given to another
// refused request. It returns 0 if that is later than latest.
func (l *Limiter) scheduleRetry(now, wait, latest clock.Millis) clock.Millis {
	at := max(l.promised, float64(now+wait))
	after := clock.Millis(math.Ceil(at)) - now
	if after > latest {
		return 0
	}
	step := l.settings.tokenInterval()
	if at >= float64(l.coldUntil) {
		step /= warmSpeedup
	}
	l.promised = at + step
	return after
}

// seenRanks holds the least urgent rank of the current and of the previous period.
type seenRanks struct {
	current, previous int
	since             clock.Millis
}

func (s *seenRanks) observe(now clock.Millis, rank int) {
	if now-s.since >= rankPeriod {
		s.previous, s.current, s.since = s.current, 0, now
	}
	s.current = max(s.current, rank)
}

// isUrgent reports whether a rank is more urgent than the least urgent one seen.
func (s *seenRanks) isUrgent(rank int) bool { return rank < max(s.current, s.previous) }
