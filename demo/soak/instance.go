package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"briarwell.dev/demo/harness"
	"briarwell.dev/platform/platformtest"
)

const (
	// heartbeatInterval is the pause of an upstream between two heartbeats.
	heartbeatInterval = 870 * time.Millisecond
	// releaseInterval is that pause while it releases keys.
	releaseInterval = 80 * time.Millisecond
	// heartbeatTimeout is how long an upstream waits for the response to a heartbeat.
	heartbeatTimeout = time.Second
	// upstreamServiceTime is how long an upstream processes a request.
	upstreamServiceTime = 15 * time.Millisecond
	// upstreamSlots is the concurrency that an upstream reports.
	upstreamSlots = 12
	// stopTimeout is the time from SIGTERM to SIGKILL when a sidecar is stopped
	// gracefully.
	stopTimeout = 6 * time.Second
)

// instance is a machine that runs a sidecar process and an upstream. Proxies forward
// the connections between the two, and from the sidecar to the store.
type instance struct {
	runner         *Runner
	index          int
	name           string
	service        string
	region         string
	domain         string
	ip             string
	storeProxy     *Proxy
	heartbeatProxy *Proxy
	upstreamProxy  *Proxy
	peerProxy      *Proxy
	link           *Link
	reports        reportRelay

	// mu protects the fields below.
	mu             sync.Mutex
	sidecar        *harness.Process
	sidecarStarts  int
	upstream       *platformtest.Upstream
	upstreamServer *http.Server
	upstreamStarts int
	// departed is the upstream whose shutdown was acknowledged at departedAt.
	departed   *platformtest.Upstream
	departedAt time.Time
	// slowed has the faults that delay what the sidecar does, cutOff those that keep it from
	// the store, and lateArrivals those that delay the arrival of requests at the upstream.
	slowed, cutOff, lateArrivals disturbance
	// halted has the faults in which the sidecar did not run, squeezed those that limit its link
	// below the nominal rate, and feedLost those in which the store has no feed.
	halted, squeezed, feedLost disturbance
	// informedOf is the acknowledgement time of the latest evacuation that the sidecar knows.
	informedOf time.Time
	// arrivals has the times of the requests in the last second while the upstream is cold.
	arrivals []time.Time
	// requestedAt is the time of the last request that an upstream ran.
	requestedAt time.Time
}

// disturbance counts the current faults of a kind, and has the end of the last one.
type disturbance struct {
	count   int
	endedAt time.Time
}

// since returns the time since the end of the last fault, 0 during one.
func (d disturbance) since() time.Duration {
	if d.count > 0 {
		return 0
	}
	return time.Since(d.endedAt)
}

// settingsFormat is the format of the settings file of a sidecar.
const settingsFormat = `{"instance":%q,"region":%q,"failureDomain":%q,"ip":%q,"service":%q,"upstreamAddress":"%[4]s:9010",
"callerAddress":"%[4]s:9001","requestAddress":"%[4]s:9002","readyAddress":"%[4]s:9003","reportAddress":"%[4]s:9004","peerPort":9005,"peerListenAddress":"%[4]s:9007",
"metricsPort":9006,"storeAddress":"%[4]s:9011","outOfUseWithin":"5s","manifestWithin":"2500ms","coldOvershoot":1.5,"coldSlack":8,"holdMax":"10000ms","drain":"2500ms","grace":"6s","retryShare":0.2,"retrySlack":56,
"retryWindow":"10s","linkMbps":0}`

// newInstance starts the proxies, the upstream and the sidecar of an instance.
func (r *Runner) newInstance(index int, service, storeAddress string) (*instance, error) {
	in := &instance{runner: r, index: index, service: service, name: fmt.Sprintf("i%02d", index), ip: fmt.Sprintf("127.%d.0.%d", r.networkNumber(), index+1), link: &Link{}}
	in.link.SetRate(r.nominalRate())
	r.links.Store(in.ip, in.link)
	in.region, in.domain = fmt.Sprintf("r%d", index%3), fmt.Sprintf("r%dd%d", index%3, index/6%2)
	text := fmt.Sprintf(settingsFormat, in.name, in.region, in.domain, in.ip, service)
	if err := os.WriteFile(r.processes.FilePath(in.name+".json"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	for _, p := range []struct {
		proxy  **Proxy
		port   int
		target string
		links  ProxyLinks
	}{
		{&in.upstreamProxy, 9010, in.ip + ":9000", ProxyLinks{}},
		{&in.storeProxy, 9011, storeAddress, ProxyLinks{LocalIP: in.ip, OfClient: r.linkOf}},
		{&in.heartbeatProxy, 9012, in.ip + ":9004", ProxyLinks{}},
		{&in.peerProxy, 9005, in.ip + ":9007", ProxyLinks{OfClient: r.linkOf, OfTarget: in.link}},
	} {
		if *p.proxy, err = NewLinkedProxy(fmt.Sprintf("%s:%d", in.ip, p.port), p.target, p.links); err != nil {
			return nil, err
		}
	}
	if err := in.startUpstream(); err != nil {
		return nil, err
	}
	return in, in.startSidecar()
}

// startSidecar starts the sidecar if it is not running.
func (in *instance) startSidecar() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.sidecar != nil && in.sidecar.Running() {
		return nil
	}
	in.sidecarStarts++
	sidecar, err := in.runner.processes.Start(fmt.Sprintf("%s-%d", in.name, in.sidecarStarts), in.runner.options.Program, "--settings", in.runner.processes.FilePath(in.name+".json"))
	in.sidecar, in.slowed.endedAt, in.cutOff.endedAt, in.halted.endedAt = sidecar, time.Now(), time.Now(), time.Now()
	return err
}

// recordDisturbance records a fault of the given kinds, until the returned function is called.
func (in *instance) recordDisturbance(kinds ...*disturbance) func() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.recordInformed()
	for _, d := range kinds {
		d.count++
	}
	return func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		for _, d := range kinds {
			d.count--
			d.endedAt = time.Now()
		}
	}
}

// recordInformed reports whether the failure domain is out of use and the sidecar must know it:
// since the acknowledgement it has run with its link to the store for outOfUseWithin once. What
// it knows outlasts later faults. The caller holds in.mu.
func (in *instance) recordInformed() bool {
	acknowledged, ok := in.runner.evacuatedAt(in.domain)
	if ok && min(in.cutOff.since(), time.Since(acknowledged)) > outOfUseWithin {
		in.informedOf = acknowledged
	}
	return ok && in.informedOf.Equal(acknowledged)
}

// checkArrival checks a request that starts to run against the bounds for upstreams that are
// out of use or cold.
func (in *instance) checkArrival(u *platformtest.Upstream, id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.requestedAt = time.Now()
	if in.lateArrivals.since() < lateArrivalTime {
		in.arrivals = nil
		return // Requests that a fault held back may arrive at any time.
	}
	if in.recordInformed() {
		in.runner.checker.addFinding("request %s started at %s in the evacuated domain %s", id, u.ID, in.domain)
	}
	if in.upstream != u || u.ColdRemaining() == 0 {
		in.arrivals = nil
		return
	}
	in.arrivals = append(in.arrivals, in.requestedAt)
	for in.requestedAt.Sub(in.arrivals[0]) >= time.Second {
		in.arrivals = in.arrivals[1:]
	}
	in.runner.checker.checkColdCount(len(in.arrivals), u.ID)
}

// requestedSince reports whether an upstream of the instance has run a request since a time.
func (in *instance) requestedSince(t time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.requestedAt.After(t)
}

// recordDeparture records that the shutdown of an upstream was acknowledged.
func (in *instance) recordDeparture(u *platformtest.Upstream) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.departed, in.departedAt = u, time.Now()
}

// sinceDrain returns the time since the end of the drain time of an upstream. It returns false
// if the upstream has not left, or the sidecar was disturbed in the last contactTime.
func (in *instance) sinceDrain(u *platformtest.Upstream) (time.Duration, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.departed != u || in.slowed.since() < contactTime {
		return 0, false
	}
	return time.Since(in.departedAt) - drainTime, true
}

func (in *instance) signalSidecar(signal syscall.Signal) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.sidecar.Signal(signal)
}

// pauseSidecar suspends the sidecar for a time.
func (in *instance) pauseSidecar(length time.Duration) error {
	defer in.recordDisturbance(&in.slowed, &in.cutOff, &in.halted)()
	err := in.signalSidecar(syscall.SIGSTOP)
	time.Sleep(length)
	return errors.Join(err, in.signalSidecar(syscall.SIGCONT))
}

// disturbLink applies a fault of a link.
func (in *instance) disturbLink(f Fault) {
	proxy, kinds := in.heartbeatProxy, []*disturbance{&in.slowed}
	switch f.Kind { //nolint:exhaustive // The others are no faults of links.
	case PeerLink:
		proxy, kinds = in.peerProxy, append(kinds, &in.squeezed)
	case StoreLink:
		proxy, kinds = in.storeProxy, append(kinds, &in.cutOff)
	case UpstreamLink:
		proxy, kinds = in.upstreamProxy, append(kinds, &in.lateArrivals)
	}
	defer in.recordDisturbance(kinds...)()
	proxy.SetMode(f.Mode)
	time.Sleep(f.Duration)
	proxy.SetMode(Pass)
}

// restartSidecar stops the sidecar, gracefully or with SIGKILL, and starts it after a time of at most
// a second.
func (in *instance) restartSidecar(graceful bool, pause time.Duration) error {
	defer in.recordDisturbance(&in.cutOff, &in.halted)()
	// A paused sidecar handles SIGTERM only after it is resumed.
	err := in.stopSidecar(graceful)
	time.Sleep(min(pause, time.Second))
	return errors.Join(err, in.startSidecar())
}

// restartAfter kills the sidecar and starts it after a time, unless another fault does so before.
func (in *instance) restartAfter(pause time.Duration) error {
	defer in.recordDisturbance(&in.cutOff, &in.halted)()
	err := in.stopSidecar(false)
	time.Sleep(pause)
	return errors.Join(err, in.startSidecar())
}

// inTouchSince reports whether the sidecar has been in touch since contactTime before a time: with
// the store, or with a sidecar of its region that was.
func (in *instance) inTouchSince(t time.Time) bool {
	running, reading := in.contactSince(t)
	if !running || reading {
		return running
	}
	return slices.ContainsFunc(in.runner.instances, func(other *instance) bool {
		if other == in || other.region != in.region {
			return false
		}
		_, reading := other.contactSince(t)
		return reading
	})
}

// contactSince reports whether the sidecar has run undisturbed since contactTime before a time, and
// whether it has also reached the store.
func (in *instance) contactSince(t time.Time) (running, reading bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	required := time.Since(t) + contactTime
	running = in.sidecar.Running() && min(in.halted.since(), in.squeezed.since()) > required
	return running, running && min(in.cutOff.since(), in.feedLost.since()) > required
}

// hangUpSidecar sends SIGHUP to the sidecar again and again for a time.
func (in *instance) hangUpSidecar(length time.Duration) error {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(hangupInterval) {
		if err := in.signalSidecar(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

// restartAfterHangup starts the sidecar again if a SIGHUP ended it, which a process can't catch
// before its first instructions.
func (in *instance) restartAfterHangup() error {
	in.mu.Lock()
	ended := !in.sidecar.Running() && endedBy(in.sidecar.ExitError(), syscall.SIGHUP)
	in.mu.Unlock()
	if !ended {
		return nil
	}
	return in.startSidecar()
}

// stopSidecar stops the sidecar, gracefully or with SIGKILL, and waits until it has
// ended.
func (in *instance) stopSidecar(graceful bool) error {
	in.mu.Lock()
	sidecar := in.sidecar
	in.mu.Unlock()
	if !graceful {
		return sidecar.Kill()
	}
	running := sidecar.Running()
	took, err := sidecar.Stop(stopTimeout)
	if exitErr := sidecar.ExitError(); running && err == nil && took < stopTimeout && exitErr != nil && !endedBy(exitErr, syscall.SIGKILL) {
		in.runner.checker.addFinding("%s ended during its graceful stop: %v", sidecar.Name(), exitErr)
	}
	return err
}

// endedBy reports whether a process was ended by a signal, without a core dump.
func endedBy(exitErr error, signal syscall.Signal) bool {
	var exit *exec.ExitError
	return errors.As(exitErr, &exit) && exit.Sys() == syscall.WaitStatus(signal)
}

// startUpstream starts a new upstream, with a new ID, at the address of the instance. It does
// nothing if one is running: two faults may replace the upstream at the same time.
func (in *instance) startUpstream() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.upstream != nil {
		return nil
	}
	in.upstreamStarts++
	u := &platformtest.Upstream{
		ID: fmt.Sprintf("%s-life%d", in.name, in.upstreamIDNumber()), Service: in.service, Address: in.ip + ":9010", Slots: upstreamSlots,
		ServiceTime: upstreamServiceTime, Keyed: in.service == keyedService, Client: &http.Client{Timeout: heartbeatTimeout, Transport: &in.reports},
	}
	if !in.runner.options.Without.HoldFaults {
		u.ClockSlowness = clockSlowness(in.runner.options.Seed, in.index, in.upstreamStarts)
		u.ExtraTime = longWork
	}
	u.BecomeCold(coldStart)
	u.OnArrival = func(id string) {
		if regions := allowedRegions(routeOf(id)); regions != nil {
			in.runner.checker.checkRegion(id, in.region, regions)
		}
		if routeOf(id) == unknownRoute {
			in.runner.checker.addFinding("request %s arrived at %s although no manifest has its route", id, u.ID)
		}
	}
	life := in.lifeName()
	u.OnGrant = func(ranges [][3]uint64) { in.runner.checker.checkEpochs(life, ranges) }
	r := in.runner
	u.OnHold = func(until time.Time, ranges [][3]uint64) { r.holds.recordGrant(life, until, ranges) }
	u.OnWork = func(work string, key int, begins bool) { r.holds.recordWork(life, work, key, begins) }
	u.OnStart = func(id, key string) { in.runner.checkRequestStart(in, u, id, key) }
	l, err := net.Listen("tcp", in.ip+":9000")
	if err != nil {
		return err
	}
	in.arrivals = nil
	in.upstream, in.upstreamServer = u, &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	server := in.upstreamServer
	go func() { _ = server.Serve(l) }() // Returns when stopUpstream closes the server.
	return nil
}

// lifeName returns the name of the newest upstream process. The caller holds in.mu.
func (in *instance) lifeName() string { return fmt.Sprintf("%s#%d", in.name, in.upstreamStarts) }

// upstreamIDNumber returns the number in the ID of the newest upstream. With faults of holds, each second
// one starts under the ID of the former. The caller holds in.mu.
func (in *instance) upstreamIDNumber() int {
	if in.runner.options.Without.HoldFaults {
		return in.upstreamStarts
	}
	return (in.upstreamStarts + 1) / 2 //nolint:mnd // Each second one.
}

// stopUpstream ends the upstream and closes its connections.
func (in *instance) stopUpstream() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.upstream != nil {
		in.runner.holds.recordEnd(in.lifeName())
	}
	in.upstream = nil
	_ = in.upstreamServer.Close()
}

// currentUpstream returns the running upstream, nil if there is none.
func (in *instance) currentUpstream() *platformtest.Upstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.upstream
}

// sendHeartbeats makes the upstream send heartbeats to the sidecar until ctx ends.
func (in *instance) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeatInterval
		if u := in.currentUpstream(); u != nil {
			_ = u.SendHeartbeat(in.ip + ":9012") // Fails while the sidecar or its link is down.
			if u.ReleasesUnreported() {
				pause = releaseInterval
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// close stops the upstream and the proxies. The process set stops the sidecar.
func (in *instance) close() error {
	in.stopUpstream()
	return errors.Join(in.upstreamProxy.Close(), in.storeProxy.Close(), in.heartbeatProxy.Close(), in.peerProxy.Close())
}
