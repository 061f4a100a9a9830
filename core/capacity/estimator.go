// Package capacity learns how many requests an upstream runs at once without losing
// throughput, and how fast it runs them. Load pattern: upstreams of one service that differ
// in speed, slow down for moments or seconds, or lose throughput before all their slots are
// used.
package capacity

import (
	"math"
	"math/bits"
	"slices"

	"briarwell.dev/core/clock"
)

const (
	// speedWindowMillis is the time constant in milliseconds of the speed: after a change,
	// 2% of the old speed are left after 1.6 s, and at 100 samples per second the noise
	// of single requests is below a tenth.
	speedWindowMillis = 400.0
	// steadyWindowMillis is the time constant in milliseconds of the speed while it does not
	// change. The speed changes when the mean of the shorter window deviates by
	// changeDeviations standard deviations.
	steadyWindowMillis = 4000.0
	changeDeviations   = 3.0
	// restartSamples is the number of samples for which the speed counts after a change: the
	// shorter window still contains earlier ones.
	restartSamples = 3
	// settleTime is the time in milliseconds after a change in which samples don't count
	// for the usual times: their speed isn't known well enough.
	settleTime clock.Millis = 1500
	// settledSamples is the number of samples from which a class needs no others.
	settledSamples = 30
	// maxSpeedWeight bounds the weight of one sample in the speed, since one request in
	// fifty takes several times as long as usual.
	maxSpeedWeight = 0.2
	// streakSpeedWeight is this bound after streakLength samples in a row that deviate by
	// more than streakDeviation (a factor of 1.65) to the same side. It lets a few
	// samples show a new speed.
	streakSpeedWeight = 0.4
	streakLength      = 3
	streakDeviation   = 0.5
	// minClassSamples is the number of samples of a class from which they count for the
	// speed.
	minClassSamples = 8
	// classWeight is the least weight of a sample in the usual times of its class. The
	// usual times change with the upstream's program, not with its load.
	classWeight = 0.005
	// mixWeight is the weight of a request in the mean over the classes.
	mixWeight = 0.005
	// maxClasses bounds the classes whose usual times are kept.
	maxClasses = 64
	// usualWeight is the weight of a sample in the usual speed, to which the slowness is
	// relative.
	usualWeight = 0.0005

	// reportTTL is the age in milliseconds up to which a reported slowness is used; its
	// mean is used then, since the figure changes several times per second.
	reportTTL clock.Millis = 500
	// reportMeanWeight is the weight of a report in the mean of the reports.
	reportMeanWeight = 0.05
	// maxReport bounds a reported slowness in percent. A larger one is an error.
	maxReport = 10_000
	// errorWeight is the weight of a sample in the mean squared errors of prediction.
	errorWeight = 0.01
	// initialError is the mean squared error before the first sample: the variance of the
	// logarithm of service times with the users' spread.
	initialError = 0.2
	// minErrorRatio and maxErrorRatio bound the ratio of the variance of samples to
	// initialError.
	minErrorRatio = 0.25
	maxErrorRatio = 2.0
	// maxReportError is the ratio of the errors with and without the reports above which
	// the reports are ignored.
	maxReportError = 1.1

	// trackedRuns bounds the running requests whose age is observed.
	trackedRuns = 64
	// overdueInterval is the least time in milliseconds between two checks of their age.
	overdueInterval clock.Millis = 50
	// overdueMargin is the logarithm of the ratio to the expected time (1.65) from which
	// the ages of running requests show a lower speed.
	overdueMargin = 0.5
	// minOverdueRuns is the number of running requests from which their ages count. At most
	// one in overdueQuantile of them may be younger: with half of three, chance showed a
	// lower speed several times per minute.
	minOverdueRuns  = 4
	overdueQuantile = 4

	millisPerSecond = 1000.0
	percent         = 100.0
)

// classTimes holds the usual times of a class of requests.
type classTimes struct {
	// logMean is the mean logarithm and mean the mean of the times in milliseconds at
	// speed 1.
	logMean float64
	mean    float64
	samples int
}

// Run is a request that runs on the upstream. The zero value is a request that the
// estimator does not know.
type Run struct {
	startedAt clock.Millis
	class     *classTimes
	// area and idle are the values of the estimator's integrals at the start.
	area float64
	idle float64
	// report is the logarithm of the slowness reported at the start.
	report float64
	// position is the index in Estimator.runs plus 1, 0 if the run is not tracked.
	position   int
	generation uint64
}

// average is a moving average over a time window, with its number of samples.
type average struct{ level, samples float64 }

// add adds a sample after the given share of the window, with at most the given weight.
func (a *average) add(sample, elapsed, maxWeight float64) {
	a.samples = a.samples*math.Exp(-elapsed) + 1
	a.level += min(maxWeight, 1/a.samples) * (sample - a.level)
}

// tracker follows the logarithm of the relative service time. It averages over a long window,
// and restarts from a short one when that shows a change.
type tracker struct {
	steady  average
	latest  average
	updated clock.Millis
	// changedAt is the time of the latest change.
	changedAt clock.Millis
	// streak counts the latest samples that deviate to the same side, with its sign.
	streak int
	// meanError is the mean squared error of the predictions, relative to initialError.
	meanError float64
}

func (t *tracker) level() float64 { return t.steady.level }

// record adds a sample.
func (t *tracker) record(now clock.Millis, sample float64) {
	deviation := sample - t.steady.level
	t.meanError += errorWeight * (min(deviation*deviation/initialError, percent) - 1 - t.meanError)
	switch deviation = sample - t.latest.level; {
	case deviation > streakDeviation:
		t.streak = max(t.streak, 0) + 1
	case deviation < -streakDeviation:
		t.streak = min(t.streak, 0) - 1
	default:
		t.streak = 0
	}
	weight := maxSpeedWeight
	if t.streak >= streakLength || t.streak <= -streakLength {
		weight = streakSpeedWeight
	}
	elapsed := float64(now - t.updated)
	t.updated = now
	t.latest.add(sample, elapsed/speedWindowMillis, weight)
	t.steady.add(sample, elapsed/steadyWindowMillis, weight)
	// A moving average of n samples has half the variance of a mean of n.
	deviation = t.latest.level - t.steady.level
	if samples := max(t.latest.samples, 1/weight); deviation*deviation > changeDeviations*changeDeviations*t.variance()/2/samples {
		t.restart(now, t.latest.level)
	}
}

// restart begins a new steady average at a level that is still changing.
func (t *tracker) restart(now clock.Millis, level float64) {
	t.steady, t.changedAt = average{level: level, samples: restartSamples}, now
}

// variance returns the variance of a sample. It is bounded, since the errors of prediction
// include those after changes.
func (t *tracker) variance() float64 {
	return initialError * min(max(t.errorRatio(), minErrorRatio), maxErrorRatio)
}

// raise sets the level to at least the given one.
func (t *tracker) raise(now clock.Millis, level float64) {
	t.latest.level = max(t.latest.level, level)
	if level > t.steady.level {
		t.restart(now, level)
	}
}

// errorRatio returns the mean squared error of the predictions relative to initialError.
func (t *tracker) errorRatio() float64 { return 1 + t.meanError }

// Estimate is what an estimator knows of its upstream.
type Estimate struct {
	// Limit is the number of requests that the upstream should run at once, at least 1.
	// Learned is the same without the limits that others than the estimator set.
	Limit   int
	Learned int
	// PerSecond is the number of requests per second that it completes at the limit, 0 if
	// unknown.
	PerSecond float64
	// Slowness is the ratio of the present service times to the usual ones.
	Slowness float64
	// Reported is true if the slowness includes the upstream's reports.
	Reported bool
	// Reason is the reason of the latest change of the limit.
	Reason Reason
}

// Estimator learns the capacity of one upstream process from the requests that it runs.
// The zero value has one slot and no samples. It is not safe for concurrent use.
type Estimator struct {
	slots      int
	limit      int
	reason     Reason
	generation uint64

	// running is the number of requests that run. area is its integral over time, and
	// idle the time in which slots were free for lack of requests.
	running int
	waiting int
	area    float64
	idle    float64
	now     clock.Millis

	classes map[string]*classTimes
	// mixMean is the mean of the usual times in milliseconds over the latest requests.
	mixMean float64
	samples int
	// measured follows the service times, relative the service times divided by the
	// reported slowness.
	measured tracker
	relative tracker
	// usual is the logarithm of the usual speed, with the reports if they are used.
	usual float64

	hasReports bool
	report     float64
	reportMean float64
	reportedAt clock.Millis

	runs         [trackedRuns]Run
	tracked      uint64
	overdueCheck clock.Millis

	probe probe
}

// Reset discards what was learned, for a new process of the upstream with the given
// announced number of slots.
func (e *Estimator) Reset(now clock.Millis, slots int) {
	*e = Estimator{
		slots: max(slots, 1), limit: max(slots, 1), generation: e.generation + 1, reason: ReasonAnnounced, now: now, running: e.running, waiting: e.waiting,
		probe: probe{saturatedAt: now},
	}
}

// Limit returns the number of requests that the upstream should run at once, at least 1.
func (e *Estimator) Limit() int { return max(e.limit, 1) }

// AdmissionLimit returns the number of requests that may run now: the limit, or another
// number while the estimator compares the two.
func (e *Estimator) AdmissionLimit() int {
	if e.probe.active {
		return e.probe.level()
	}
	return e.Limit()
}

// WaitLimit returns the number of running requests by which waits are to be estimated: the
// lowest one until the end of a probe, so that requests are refused at once and not after a
// wait.
func (e *Estimator) WaitLimit() int {
	if e.probe.active {
		return e.probe.lo
	}
	return e.Limit()
}

// Start records that a request of the class starts to run at now. waiting is the number of
// requests that wait for a slot.
func (e *Estimator) Start(now clock.Millis, class string, waiting int) Run {
	e.Advance(now, waiting)
	e.running++
	run := Run{startedAt: now, class: e.class(class), area: e.area, idle: e.idle, report: e.reportAt(now), generation: e.generation}
	if free := bits.TrailingZeros64(^e.tracked); free < trackedRuns && run.class != nil {
		e.tracked |= 1 << free
		run.position = free + 1
		e.runs[free] = run
	}
	return run
}

// class returns the usual times of a class, nil if there are too many classes.
func (e *Estimator) class(name string) *classTimes {
	c, ok := e.classes[name]
	if !ok && len(e.classes) < maxClasses {
		if e.classes == nil {
			e.classes = make(map[string]*classTimes)
		}
		c = &classTimes{}
		e.classes[name] = c
	}
	return c
}

// End records that a request has ended at now. Its time is a sample if valid is true.
func (e *Estimator) End(now clock.Millis, run Run, waiting int, valid bool) {
	e.Advance(now, waiting)
	e.running = max(e.running-1, 0)
	if run.generation != e.generation {
		return
	}
	if run.position > 0 {
		e.tracked &^= 1 << (run.position - 1)
	}
	if valid && run.class != nil {
		e.record(now, run)
	}
}

// record adds the service time of a request that has ended.
func (e *Estimator) record(now clock.Millis, run Run) {
	c := run.class
	held := max(float64(now-run.startedAt), 1)
	logHeld, report := math.Log(held), (run.report+e.reportAt(now))/2
	if c.samples >= minClassSamples {
		relative := logHeld - c.logMean
		e.measured.record(now, relative)
		e.relative.record(now, relative-report)
		if e.usesReports() {
			e.probe.record(e, run, held, relative-report)
		} else {
			e.probe.record(e, run, held, relative)
		}
	}
	e.samples++
	c.samples++
	speed, changedAt := e.measured.level(), e.measured.changedAt
	if e.usesReports() {
		speed, changedAt = e.relative.level()+report, e.relative.changedAt
	}
	if c.samples > settledSamples && changedAt > 0 && now-changedAt < settleTime {
		return
	}
	weight := max(classWeight, 1/float64(c.samples))
	c.logMean += weight * (logHeld - speed - c.logMean)
	c.mean += weight * (held*math.Exp(-speed) - c.mean)
	if e.mixMean == 0 {
		e.mixMean = c.mean
	}
	e.mixMean += max(mixWeight, 1/float64(e.samples)) * (c.mean - e.mixMean)
	e.usual += max(usualWeight, 1/float64(e.samples)) * (speed - e.usual)
}

// Report records the slowness in percent that the upstream reports, 100 at the usual speed.
func (e *Estimator) Report(now clock.Millis, slowness int) {
	if slowness <= 0 || slowness > maxReport {
		return
	}
	e.report, e.reportedAt = math.Log(float64(slowness)/percent), now
	if !e.hasReports {
		e.hasReports, e.reportMean = true, e.report
	}
	e.reportMean += reportMeanWeight * (e.report - e.reportMean)
}

// reportAt returns the logarithm of the slowness that the upstream last reported, 0 if it
// reports none.
func (e *Estimator) reportAt(now clock.Millis) float64 {
	if now-e.reportedAt > reportTTL {
		return e.reportMean
	}
	return e.report
}

// usesReports reports whether the reports predict service times at least as well as the
// latest service times do.
func (e *Estimator) usesReports() bool {
	return e.hasReports && e.relative.errorRatio() <= maxReportError*e.measured.errorRatio()
}

// speed returns the logarithm of the ratio of the present service times to those of speed 1.
func (e *Estimator) speed(now clock.Millis) float64 {
	if e.usesReports() {
		return e.relative.level() + e.reportAt(now)
	}
	return e.measured.level()
}

// Advance moves the estimator to now, with the number of requests that wait for a slot.
func (e *Estimator) Advance(now clock.Millis, waiting int) {
	if elapsed := float64(now - e.now); elapsed > 0 {
		e.area += elapsed * float64(e.running)
		if !e.isFull() {
			e.idle += elapsed
		}
		e.now = now
		e.probe.observe(e, elapsed)
	}
	e.waiting = waiting
	if now-e.overdueCheck >= overdueInterval {
		e.overdueCheck = now
		e.raiseByOverdueRuns(now)
	}
	e.probe.advance(e)
}

// isFull reports whether no slot is free or requests wait.
func (e *Estimator) isFull() bool { return e.waiting > 0 || e.running >= e.AdmissionLimit() }

// raiseByOverdueRuns lowers the speed if most running requests have run for longer than
// expected. Without it, an upstream that becomes five times slower would keep its speed until
// the first slow request ends.
func (e *Estimator) raiseByOverdueRuns(now clock.Millis) {
	var ages [trackedRuns]float64
	count, current := 0, e.reportAt(now)
	used := &e.measured
	if e.usesReports() {
		used = &e.relative
	}
	for rest := e.tracked; rest != 0; rest &= rest - 1 {
		run := &e.runs[bits.TrailingZeros64(rest)]
		if run.class.samples >= minClassSamples && now > run.startedAt {
			ages[count] = math.Log(float64(now-run.startedAt)) - run.class.logMean
			if used == &e.relative {
				ages[count] -= max(run.report, current)
			}
			count++
		}
	}
	if count < minOverdueRuns {
		return
	}
	slices.Sort(ages[:count])
	if least := ages[(count-1)/overdueQuantile]; least > used.level()+overdueMargin {
		used.raise(now, least)
	}
}

// ClassMillis returns the mean time in milliseconds that a request of the class takes at
// now, 0 if unknown.
func (e *Estimator) ClassMillis(now clock.Millis, class string) float64 {
	c, ok := e.classes[class]
	if !ok || c.samples < minClassSamples {
		return 0
	}
	return c.mean * math.Exp(e.speed(now))
}

// Estimate returns what is known at now.
func (e *Estimator) Estimate(now clock.Millis) Estimate {
	estimate := Estimate{Limit: e.Limit(), Learned: e.Limit(), Slowness: 1, Reason: e.reason}
	if e.samples < minClassSamples {
		return estimate
	}
	speed := e.speed(now)
	estimate.Reported = e.usesReports()
	estimate.PerSecond = float64(estimate.Limit) * millisPerSecond / max(e.mixMean*math.Exp(speed), 1)
	estimate.Slowness = math.Exp(speed - e.usual)
	return estimate
}
