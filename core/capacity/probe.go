package capacity

import (
	"math"

	"briarwell.dev/core/clock"
)

// Reason is the reason of a change of the limit.
type Reason string

// Reasons of the present limit.
const (
	// ReasonAnnounced is the reason of a limit that the upstream announced.
	ReasonAnnounced Reason = "announced"
	// ReasonLowered means that fewer concurrent requests give the same throughput.
	ReasonLowered Reason = "throughput not higher above"
	// ReasonRaised means that more concurrent requests give more throughput.
	ReasonRaised Reason = "throughput higher above"
)

const (
	// saturationWindowMillis is the time constant in milliseconds of the share of time in
	// which no slot is free, saturated below unsaturatedShare for no longer. A probe
	// ends below abandonedShare.
	saturationWindowMillis = 500.0
	unsaturatedShare       = 0.4
	abandonedShare         = 0.15
	// suspectMargin is the logarithm of the ratio (1.16) of the service times at many
	// running requests to those at few from which a probe is made soon: after
	// suspectDelay milliseconds in which no slot was free for suspectShare of the time.
	suspectMargin              = 0.15
	suspectShare               = 0.5
	suspectDelay  clock.Millis = 500
	// unknownDelay is this delay if the times at few running requests are unknown, and
	// plainDelay if they are not shorter: an upstream that keeps its speed loses
	// throughput by probes. Both need plainShare of the time.
	unknownDelay clock.Millis = 5000
	plainDelay   clock.Millis = 30_000
	plainShare                = 0.7
	// calmShare is the share of the limit up to which few requests run, busyShare the one
	// from which many do. levelWeight is the weight of a sample in the mean times of both,
	// and minLevelSamples the least number of samples: with 50, the noise of their
	// difference is a third of suspectMargin.
	calmShare       = 0.6
	busyShare       = 0.85
	levelWeight     = 0.02
	minLevelSamples = 20
	// minProbeInterval and maxProbeInterval bound the time in milliseconds between two
	// probes with a clear result. It doubles with each that changes nothing.
	minProbeInterval clock.Millis = 30_000
	maxProbeInterval clock.Millis = 240_000
	// loweredProbeInterval is this time while the limit is below the announced slots, as a
	// limit that is too low costs more than a probe.
	loweredProbeInterval clock.Millis = 10_000
	// changedProbeInterval and unclearProbeInterval are this time after a change of the
	// limit and after an unclear result.
	changedProbeInterval clock.Millis = 500
	unclearProbeInterval clock.Millis = 2000
	// windowServiceTimes is the length of a window in mean service times. After about a
	// third of one, the running requests have come down to the lower number.
	windowServiceTimes = 2.5
	// minWindow and maxWindow bound the length of a window in milliseconds.
	minWindow clock.Millis = 60
	maxWindow clock.Millis = 1000
	// lowerShare is the lower number of a downward probe as a share of the limit, and
	// upperShare the higher number of an upward one.
	lowerShare = 0.7
	upperShare = 1.3
	// minLowerShare is the least share: with one of two slots, a probe would cost half of the
	// throughput.
	minLowerShare = 0.6
	// maxProbePairs is the number of pairs of windows after which a probe pauses.
	maxProbePairs = 8
	// minChangePairs is the least number of pairs for a change of the limit, so that
	// a short change of speed that coincides with a window does not cause one.
	minChangePairs = 4
	// minKeepPairs is the least number of pairs for the result that no change is due.
	minKeepPairs = 2
	// lowerDeviations and raiseDeviations are the number of standard errors by which the
	// slope has to differ from kneeSlope for a lower and a higher limit. The first is
	// higher: a limit that is too low by one slot of six costs a sixth.
	// keepDeviations is this number for the result that the limit stays. It is small, since
	// each further pair costs an upstream that keeps its speed throughput.
	lowerDeviations = 2.0
	raiseDeviations = 1.5
	keepDeviations  = 1.0
	// kneeSlope is the slope of the logarithm of the service time over the logarithm of
	// the number of running requests from which more of them are useless: at 1 the
	// throughput is constant, and at 0.85 a limit of 0.7 costs 5% of it.
	kneeSlope = 0.85
	// maxSlope and minSlope bound the slope of a pair, so that a short change of speed
	// has a bounded effect.
	maxSlope = 4.0
	minSlope = -2.0
	// minPairSamples is the least number of samples in a pair.
	minPairSamples = 6
	// minPairVariance is the least variance of the logarithm of the number of running
	// requests in a pair.
	minPairVariance = 0.0005
	// maxIdleShare is the share of a request's time with free slots above which it is no
	// sample: the number of running requests then depends on the speed.
	maxIdleShare = 0.2
	// evidenceDecay multiplies the weight of earlier pairs at the start of a probe.
	evidenceDecay = 0.6
)

// probe compares the service times at two numbers of running requests, in windows of
// alternating limits while requests wait. The times at numbers that the load brings about
// can't be compared: a slow upstream has more requests running because it is slow.
type probe struct {
	active   bool
	low      bool
	up       bool
	lo, hi   int
	pairs    int
	windowAt clock.Millis
	nextAt   clock.Millis
	interval clock.Millis
	// saturation is the share of time in which no slot is free, saturatedAt the start of
	// the present saturation.
	saturation  float64
	saturatedAt clock.Millis
	// calm and busy are the mean logarithms of the relative times of the requests that
	// ran beside few and beside many others.
	calm level
	busy level
	pair regression
	// down and upward hold the results of downward and upward probes at the present limit.
	down   evidence
	upward evidence
}

// level is a moving average of logarithms of relative times.
type level struct {
	mean    float64
	samples int
}

func (l *level) add(sample float64) {
	l.samples++
	l.mean += max(levelWeight, 1/float64(l.samples)) * (sample - l.mean)
}

// regression holds the sums of a linear regression of y on z.
type regression struct{ n, z, y, zz, zy, yy float64 }

func (r *regression) add(z, y float64) {
	r.n++
	r.z += z
	r.y += y
	r.zz += z * z
	r.zy += z * y
	r.yy += y * y
}

// evidence is the weighted mean of the slopes of pairs of windows.
type evidence struct {
	pairs     int
	weight    float64
	slopes    float64
	squares   float64
	residuals float64
	freedom   float64
}

// add adds the slope of a pair with enough samples.
func (v *evidence) add(r regression) {
	if r.n < minPairSamples {
		return
	}
	szz, szy, syy := r.zz-r.z*r.z/r.n, r.zy-r.z*r.y/r.n, r.yy-r.y*r.y/r.n
	if szz < r.n*minPairVariance {
		return
	}
	slope := min(max(szy/szz, minSlope), maxSlope)
	v.pairs++
	v.weight += szz
	v.slopes += szz * slope
	v.squares += szz * slope * slope
	v.residuals += max(syy-szy*szy/szz, 0)
	v.freedom += r.n - 2
}

func (v *evidence) decay() {
	for _, sum := range []*float64{&v.weight, &v.slopes, &v.squares, &v.residuals, &v.freedom} {
		*sum *= evidenceDecay
	}
}

// slope returns the mean slope and its standard error: the greater one of that from the
// scatter of single requests and that from the scatter of pairs.
func (v *evidence) slope() (mean, deviation float64) {
	if v.pairs < minKeepPairs || v.weight == 0 {
		return 0, math.Inf(1)
	}
	mean = v.slopes / v.weight
	ofRequests := v.residuals / max(v.freedom, 1) / v.weight
	ofPairs := max(v.squares/v.weight-mean*mean, 0) / float64(v.pairs-1)
	return mean, math.Sqrt(max(ofRequests, ofPairs))
}

func (p *probe) level() int {
	if p.low {
		return p.lo
	}
	return p.hi
}

// record adds the relative time of a request to the present pair of windows.
func (p *probe) record(e *Estimator, run Run, held, relative float64) {
	running := max((e.area-run.area)/held, 1)
	switch {
	case running <= calmShare*float64(e.slots):
		p.calm.add(relative)
	case running >= busyShare*float64(e.slots):
		p.busy.add(relative)
	}
	if p.active && e.idle-run.idle <= maxIdleShare*held {
		p.pair.add(math.Log(running), relative)
	}
}

// observe adds the time since the last call to the share of time in which no slot is free.
func (p *probe) observe(e *Estimator, elapsed float64) {
	share := 0.0
	if e.isFull() {
		share = 1
	}
	p.saturation += (1 - math.Exp(-elapsed/saturationWindowMillis)) * (share - p.saturation)
	if p.saturation < unsaturatedShare {
		p.saturatedAt = e.now
	}
}

// isDue reports whether a probe may start.
func (p *probe) isDue(e *Estimator) bool {
	if e.now < p.nextAt || e.samples < minClassSamples {
		return false
	}
	share, delay := plainShare, plainDelay
	switch {
	case e.limit < e.slots || p.isSuspect():
		share, delay = suspectShare, suspectDelay
	case p.calm.samples < minLevelSamples:
		delay = unknownDelay
	}
	return p.saturation >= share && e.now-p.saturatedAt >= delay
}

// isSuspect reports whether service times are longer at many running requests than at few.
// That alone is no evidence, as a slow upstream has many running requests.
func (p *probe) isSuspect() bool {
	return p.calm.samples >= minLevelSamples && p.busy.samples >= minLevelSamples && p.busy.mean > p.calm.mean+suspectMargin
}

// advance starts, continues or ends a probe.
func (p *probe) advance(e *Estimator) {
	switch {
	case !p.active:
		if p.isDue(e) {
			p.start(e)
		}
	case p.saturation < abandonedShare:
		p.stop(e, unclearProbeInterval)
	case e.now >= p.windowAt && !p.low:
		p.low, p.windowAt = true, e.now+p.window(e)
	case e.now >= p.windowAt:
		p.endPair(e)
	}
}

// start begins a probe with a window of the higher number, in which the queue adapts to the
// lower one. Upward and downward probes take turns.
func (p *probe) start(e *Estimator) {
	p.up = e.limit < e.slots && (!p.up || e.limit == 1)
	p.lo, p.hi = e.limit, e.limit
	if p.up {
		p.hi = min(max(int(math.Round(float64(e.limit)*upperShare)), e.limit+1), e.slots)
	} else {
		p.lo = max(min(int(math.Round(float64(e.limit)*lowerShare)), e.limit-1), 1)
	}
	if p.lo == p.hi || float64(p.lo) < minLowerShare*float64(p.hi) {
		p.stop(e, minProbeInterval)
		return
	}
	p.down.decay()
	p.upward.decay()
	p.active, p.low, p.pairs, p.pair = true, false, 0, regression{}
	p.windowAt = e.now + p.window(e)
}

func (p *probe) window(e *Estimator) clock.Millis {
	service := e.mixMean * math.Exp(e.speed(e.now))
	return min(max(clock.Millis(windowServiceTimes*service), minWindow), maxWindow)
}

func (p *probe) stop(e *Estimator, pause clock.Millis) {
	p.active, p.nextAt = false, e.now+pause
}

// endPair adds a complete pair of windows, and ends the probe if its result is clear.
func (p *probe) endPair(e *Estimator) {
	p.pairs++
	found := &p.down
	if p.up {
		found = &p.upward
	}
	found.add(p.pair)
	p.pair = regression{}
	slope, deviation := found.slope()
	switch {
	case !p.up && found.pairs >= minChangePairs && slope-lowerDeviations*deviation > kneeSlope:
		p.change(e, p.lo, ReasonLowered)
	case p.up && found.pairs >= minChangePairs && slope+raiseDeviations*deviation < kneeSlope:
		p.change(e, p.hi, ReasonRaised)
	case !p.up && slope+keepDeviations*deviation < kneeSlope, p.up && slope-keepDeviations*deviation > kneeSlope:
		p.interval = min(max(2*p.interval, minProbeInterval), maxProbeInterval)
		if e.limit < e.slots {
			p.interval = loweredProbeInterval
		}
		p.stop(e, p.interval)
	case p.pairs >= maxProbePairs:
		p.stop(e, unclearProbeInterval)
	default:
		p.low, p.windowAt = false, e.now+p.window(e)
	}
}

func (p *probe) change(e *Estimator, limit int, reason Reason) {
	e.limit, e.reason = limit, reason
	p.down, p.upward, p.interval = evidence{}, evidence{}, 0
	p.stop(e, changedProbeInterval)
}
