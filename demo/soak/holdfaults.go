package soak

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// The kinds of the series of faults that press on exclusive holds. A change of their order changes the
// series of each seed.
const (
	// LateReports delays the reports of an upstream by up to maxReportDelay.
	LateReports FaultKind = StoreDrill + 1 + iota
	// CopiedReports delivers the reports of an upstream twice, the copies up to maxReportDelay late.
	CopiedReports
	// ReportsOfDead ends an upstream, and delivers its last report again after a new one has started.
	ReportsOfDead
	// ForeignReports sends reports of an upstream without the lists of keys.
	ForeignReports
	// ClosedListener closes the port of an upstream that goes on to run.
	ClosedListener
	// KillSeries kills a sidecar again and again.
	KillSeries
	// KillAfterWrite kills a sidecar once its next write is performed, before the answer.
	KillAfterWrite
	// StopInAnswer suspends a sidecar while it answers a report.
	StopInAnswer
	// LateWrites performs the writes of a sidecar seconds late, without an answer.
	LateWrites
	// RestartInMove restarts a sidecar once another one's next write is performed.
	RestartInMove
	// LongKill kills a sidecar and starts it again after its lease has lapsed, or just before.
	LongKill
	// PeerLink disturbs the connections of other sidecars to one.
	PeerLink
	// CutOff holds back all bytes between a sidecar and the others and the store: those that it sends,
	// those that it gets, or both.
	CutOff
	// SlowStore makes each call to the store take longer, before it is performed and after.
	SlowStore
	holdFaultEnd
	// StaleReports replaces an upstream, takes its domain out of use once the new one holds keys, and
	// restarts the sidecar, which then gets the first reports of that upstream again.
	StaleReports
)

const (
	// meanHoldFaultInterval is meanFaultInterval for this series.
	meanHoldFaultInterval = 900 * time.Millisecond
	// maxReportDelay is how late reports may arrive.
	maxReportDelay = 3 * time.Second
	// deadReports is the number of reports of an upstream that arrive after its end.
	deadReports = 3
	// foreignInterval is the time between two reports of another writer.
	foreignInterval = 300 * time.Millisecond
	// maxListenerPause, maxKillSeries and maxKillPause bound the faults that they name.
	maxListenerPause = 2 * time.Second
	maxKillSeries    = 2 * time.Second
	maxKillPause     = 300 * time.Millisecond
	// maxAnswerTime is the time from a report within which a sidecar is suspended.
	maxAnswerTime = 4 * time.Millisecond
	// Writes are performed minWriteDelay to maxWriteDelay late.
	minWriteDelay = 300 * time.Millisecond
	maxWriteDelay = 6 * time.Second
	// A sidecar stays down for minLongKill up to minLongKill and maxFaultDuration. A lease lasts 4 s.
	minLongKill = 2500 * time.Millisecond
	// maxStoreDelay is by how much a slow store delays a call, and then its answer.
	maxStoreDelay = 700 * time.Millisecond
	// One in longWorkShare requests of the keyed service takes up to maxLongWork longer.
	longWorkShare = 25
	maxLongWork   = 800 * time.Millisecond
	// meanStaleInterval is meanFaultInterval for StaleReports.
	meanStaleInterval = 5 * time.Second
	// holdsWithin is the time in which a new upstream mostly gets keys, staleInterval that between two of
	// its reports that arrive again, and keptReports the number of them.
	holdsWithin   = 6 * time.Second
	staleInterval = 100 * time.Millisecond
	keptReports   = 3
	// maxClockSlowness is by how much the clock of an upstream is slow at most, as the platform allows.
	maxClockSlowness = 0.02
)

// newHoldFaults returns the faults of a seed that press on exclusive holds.
func newHoldFaults(seed uint64, instances int, faultPhase time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 14)) //nolint:gosec // Equal seeds must give equal faults.
	var series []Fault
	for start := time.Duration(0); ; {
		start += time.Duration(rng.ExpFloat64() * float64(meanHoldFaultInterval))
		f := Fault{
			Start: start, Kind: LateReports + FaultKind(rng.IntN(int(holdFaultEnd-LateReports))), Instance: rng.IntN(instances), Mode: Mode(1 + rng.IntN(int(modeCount)-1)),
			Duration: min(minFaultDuration+time.Duration(rng.ExpFloat64()*float64(meanExtraFaultDuration)), maxFaultDuration),
		}
		if start >= faultPhase {
			return append(series, newStaleFaults(seed, instances, faultPhase)...)
		}
		series = append(series, f)
	}
}

// newStaleFaults returns the faults of a seed whose kind is StaleReports.
func newStaleFaults(seed uint64, instances int, faultPhase time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 16)) //nolint:gosec // Equal seeds must give equal faults.
	var series []Fault
	for start := time.Duration(0); ; {
		start += time.Duration(rng.ExpFloat64() * float64(meanStaleInterval))
		if start >= faultPhase {
			return series
		}
		series = append(series, Fault{Start: start, Kind: StaleReports, Instance: rng.IntN(instances), Duration: minFaultDuration + time.Duration(rng.Int64N(int64(time.Second)))})
	}
}

// clockSlowness returns by how much the clock of an upstream is slow. Each second one is as slow as the
// platform allows.
func clockSlowness(seed uint64, instance, life int) float64 {
	rng := rand.New(rand.NewPCG(seed, 15+uint64(instance)<<32+uint64(life)<<8)) //nolint:gosec // Equal seeds must give equal clocks.
	return min(rng.Float64()*2, 1) * maxClockSlowness
}

// longWork returns by how much work on a request is longer than usual.
func longWork(string) time.Duration {
	if rand.IntN(longWorkShare) > 0 { //nolint:gosec // Delays need no secure randomness.
		return 0
	}
	return randomDelay(maxLongWork)
}

func randomDelay(limit time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(limit))) } //nolint:gosec // Delays need no secure randomness.

// applyHoldFault applies a fault of the series that presses on exclusive holds.
func (r *Runner) applyHoldFault(f Fault) error {
	in := r.instances[f.Instance]
	switch f.Kind {
	case LateReports, CopiedReports:
		defer in.recordDisturbance(&in.slowed)()
		in.reports.during(f, func() { time.Sleep(f.Duration) })
	case ReportsOfDead:
		defer in.recordDisturbance(&in.slowed)()
		return in.replaceUpstream(min(f.Duration, time.Second) - minFaultDuration)
	case StaleReports:
		return r.repeatFirstReports(in, f)
	case ForeignReports:
		defer in.recordDisturbance(&in.slowed)()
		for end := time.Now().Add(f.Duration); time.Now().Before(end); time.Sleep(foreignInterval) {
			in.reports.sendForeign()
		}
	case ClosedListener:
		defer in.recordDisturbance(&in.slowed, &in.lateArrivals)()
		return in.upstreamProxy.Unbind(min(f.Duration, maxListenerPause), f.Mode == Reset)
	case KillSeries:
		for end := time.Now().Add(min(f.Duration, maxKillSeries)); time.Now().Before(end); time.Sleep(randomDelay(maxKillSeries / 2)) {
			if err := in.restartSidecar(false, randomDelay(maxKillPause)); err != nil {
				return err
			}
		}
	case StopInAnswer:
		return in.reports.sent.await("", f.Duration, func() error {
			time.Sleep(randomDelay(maxAnswerTime))
			return in.pauseSidecar(f.Duration)
		})
	case KillAfterWrite:
		return r.writes.performed.await(in.ip, f.Duration, func() error { return in.restartSidecar(false, randomDelay(maxKillPause)) })
	case RestartInMove:
		return r.writes.performed.await("", f.Duration, func() error { return in.restartSidecar(f.Mode == Reset, randomDelay(maxKillPause)) })
	case LateWrites:
		r.delayWrites(in, f.Duration)
	case LongKill:
		return in.restartAfter(minLongKill + f.Duration)
	case PeerLink:
		in.disturbLink(f)
	case CutOff:
		defer in.recordDisturbance(&in.slowed, &in.cutOff, &in.squeezed)()
		defer in.link.cut(f.Mode != OneWay, f.Mode != Silence)()
		time.Sleep(f.Duration)
	case SlowStore:
		defer r.recordCutOff()()
		r.writes.countSlow(1)
		time.Sleep(f.Duration)
		r.writes.countSlow(-1)
	default:
		return fmt.Errorf("unknown fault kind %d", f.Kind)
	}
	return nil
}

// delayWrites performs the writes of an instance late for a time, and waits for the last of them.
func (r *Runner) delayWrites(in *instance, length time.Duration) {
	defer in.recordDisturbance(&in.slowed, &in.cutOff)()
	r.writes.delay(in.ip, 1)
	time.Sleep(length)
	r.writes.delay(in.ip, -1)
	time.Sleep(maxWriteDelay)
}

// replaceUpstream ends the upstream and starts a new one after a pause, which gets the last report of
// its predecessor again and again.
func (in *instance) replaceUpstream(pause time.Duration) error {
	if in.currentUpstream() == nil {
		return nil
	}
	in.stopUpstream()
	for range deadReports {
		in.reports.repeat(in.reports.newest(), pause+randomDelay(maxReportDelay))
	}
	time.Sleep(pause)
	return in.startUpstream()
}

// repeatFirstReports applies StaleReports.
func (r *Runner) repeatFirstReports(in *instance, f Fault) error {
	if in.service != keyedService {
		return nil
	}
	in.reports.keepFirst()
	if err := in.replaceUpstream(0); err != nil {
		return err
	}
	u := in.currentUpstream()
	for end := time.Now().Add(holdsWithin); u != nil && u.HeldKeyCount() == 0 && time.Now().Before(end); {
		time.Sleep(staleInterval)
	}
	evacuated := make(chan error, 2) // of the evacuation and the restart
	go func() { evacuated <- r.evacuate(in.domain, outOfUseWithin) }()
	time.Sleep(f.Duration)
	in.reports.during(Fault{Kind: LateReports}, func() {
		err := in.restartSidecar(false, 0)
		for range int(time.Second / staleInterval) {
			for _, kept := range in.reports.first() {
				in.reports.repeat(kept, 0)
			}
			time.Sleep(staleInterval)
		}
		evacuated <- err
	})
	return errors.Join(<-evacuated, <-evacuated)
}

// writeFaults has the faults of writes to the store. The zero value has none. It is safe for concurrent
// use.
type writeFaults struct {
	// performed is triggered by the IP address of a sidecar whose write was performed, before the answer.
	performed trigger
	mu        sync.Mutex
	delayed   map[string]int
	slow      int
}

func (w *writeFaults) countSlow(change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow += change
}

// serve serves a call of an IP address to a store.
func (w *writeFaults) serve(ip string, store http.Handler, out http.ResponseWriter, request *http.Request) {
	w.mu.Lock()
	slow := w.slow > 0 && request.URL.Path != "/v1/rows-feed"
	w.mu.Unlock()
	if slow {
		time.Sleep(randomDelay(maxStoreDelay))
		defer time.Sleep(randomDelay(maxStoreDelay)) // The answer leaves as the call returns.
	}
	if !w.serveWrite(ip, store, out, request) {
		store.ServeHTTP(out, request)
	}
}

func (w *writeFaults) delay(ip string, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delayed == nil {
		w.delayed = make(map[string]int)
	}
	w.delayed[ip] += change
}

// serveWrite serves a write of an IP address to a store. It returns false if it has no fault for it.
func (w *writeFaults) serveWrite(ip string, store http.Handler, out http.ResponseWriter, request *http.Request) bool {
	w.mu.Lock()
	delayed := w.delayed[ip] > 0
	w.mu.Unlock()
	if request.URL.Path != "/v1/rows-tx" || !delayed && !w.performed.awaited() {
		return false
	}
	repeated := httptest.NewRequest(request.Method, request.URL.String(), strings.NewReader(readBody(request)))
	if delayed {
		time.AfterFunc(minWriteDelay+randomDelay(maxWriteDelay-minWriteDelay), func() { store.ServeHTTP(httptest.NewRecorder(), repeated) })
		resetResponse(out)
		return true
	}
	recorder := httptest.NewRecorder()
	store.ServeHTTP(recorder, repeated.WithContext(request.Context()))
	if recorder.Code == http.StatusOK {
		w.performed.fire(ip)
	}
	maps.Copy(out.Header(), recorder.Header())
	out.WriteHeader(recorder.Code)
	_, _ = out.Write(recorder.Body.Bytes()) // Fails if the sidecar was killed.
	return true
}

// resetResponse closes the connection of a call without a response.
func resetResponse(out http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(out).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// trigger runs actions at the next event. The zero value has none. It is safe for concurrent use.
type trigger struct {
	mu      sync.Mutex
	waiting []*waiter
}

// waiter waits for the next event of a source, "" for any.
type waiter struct {
	source string
	action func() error
	done   chan error
}

// await runs an action at the next event of a source, "" for any. It returns its error, nil if there was
// no event within a time.
func (t *trigger) await(source string, within time.Duration, action func() error) error {
	w := &waiter{source: source, action: action, done: make(chan error, 1)}
	t.mu.Lock()
	t.waiting = append(t.waiting, w)
	t.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-time.After(within):
	}
	if len(t.take(func(other *waiter) bool { return other == w })) > 0 {
		return nil
	}
	return <-w.done
}

// awaited reports whether an action waits.
func (t *trigger) awaited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) > 0
}

// fire runs the actions that wait for an event of a source.
func (t *trigger) fire(source string) {
	for _, w := range t.take(func(w *waiter) bool { return w.source == "" || w.source == source }) {
		w.done <- w.action()
	}
}

// take removes and returns the waiters that are chosen.
func (t *trigger) take(chosen func(w *waiter) bool) []*waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	var taken, left []*waiter
	for _, w := range t.waiting {
		if chosen(w) {
			taken = append(taken, w)
		} else {
			left = append(left, w)
		}
	}
	t.waiting = left
	return taken
}
