package coldstart

import "briarwell.dev/core/clock"

const (
	// probeShare is the share of the bound that may be sent to a warm upstream without a
	// current report before it is asked whether it is cold. The rest is for the requests that
	// are sent before it answers: at 60 a second and a bound of 30, those of 100 ms. A probe
	// costs as much as a refused request, so there are none where the reports suffice.
	probeShare = 0.8
	// probeRetry is the time in milliseconds after which a probe without an answer is repeated.
	probeRetry clock.Millis = 500
)

// probes decides when a warm upstream is asked whether it is cold.
type probes struct {
	// sent counts the requests to the upstream, warmAt those before the latest time at which
	// it was known to be warm, and askedAt those before the latest probe.
	sent, warmAt, askedAt int64
	// unconfirmed is set by the first report that the daemon gets. It may be a late one, and
	// how many requests an earlier daemon has sent is unknown, so the upstream is asked at the
	// first request.
	unconfirmed bool
	// nextAt is the earliest time of the next probe.
	nextAt clock.Millis
	// useless is set after an answer that does not state whether the upstream is cold.
	useless bool
}

func (p *probes) reset() { p.useless, p.nextAt = false, 0 }

func (p *probes) knownWarm(sent int64) {
	p.warmAt = max(p.warmAt, sent)
	p.unconfirmed = false
}

// giveBack uncounts the request with the given number, unless the upstream was asked since.
func (p *probes) giveBack(number int64) {
	if number > max(p.warmAt, p.askedAt) {
		p.sent--
	}
}

// Probe is a question to the upstream whether it is cold.
type Probe struct{ sent int64 }

// ProbeAnswer is the answer to a Probe.
type ProbeAnswer struct {
	// Answered is false if the upstream did not answer. Stated is true if the answer states
	// whether the upstream is cold.
	Answered bool
	Stated   bool
	// Remaining is the time in milliseconds for which the upstream is cold, 0 if it is warm.
	Remaining clock.Millis
}

// BeginProbe returns the probe that is due at now, or false. One is due once the requests sent
// since the upstream was last known to be warm come close to the bound: if it has become cold
// meanwhile, they count.
func (l *Limiter) BeginProbe(now clock.Millis) (Probe, bool) {
	p := &l.probes
	if !l.settings.Probes || l.cold || p.useless || l.settings.bound() < 1 || now < p.nextAt {
		return Probe{}, false
	}
	if !p.unconfirmed && float64(p.sent-p.warmAt) < float64(l.settings.bound())*probeShare {
		return Probe{}, false
	}
	p.nextAt, p.askedAt = now+probeRetry, p.sent
	return Probe{sent: p.sent}, true
}

// EndProbe records the answer to a probe at now.
func (l *Limiter) EndProbe(now clock.Millis, probe Probe, answer ProbeAnswer) {
	now = l.update(now)
	switch {
	case !answer.Answered:
	case !answer.Stated:
		l.probes.useless = true
	case answer.Remaining > 0:
		l.probes.nextAt = 0
		l.aheadOfReports = l.aheadOfReports || !l.cold
		l.becomeCold(now, max(l.coldUntil, now+withDrift(answer.Remaining)))
	default:
		l.probes.nextAt = 0
		l.probes.knownWarm(probe.sent)
	}
}
