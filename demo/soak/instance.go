package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"briarwell.dev/demo/harness"
	"briarwell.dev/platform/platformtest"
)

const (
	// heartbeatInterval is the pause of an upstream between two heartbeats.
	heartbeatInterval = 870 * time.Millisecond
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
	ip             string
	storeProxy     *Proxy
	heartbeatProxy *Proxy
	upstreamProxy  *Proxy

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
	// disturbances counts the faults that delay what the sidecar does, disturbedAt is the end
	// of the last one.
	disturbances int
	disturbedAt  time.Time
}

// settingsFormat is the format of the settings file of a sidecar.
const settingsFormat = `{"instance":%q,"region":"r%d","failureDomain":"r%dd%d","ip":%q,"service":%q,"upstreamAddress":"%[5]s:9010",
"callerAddress":"%[5]s:9001","requestAddress":"%[5]s:9002","readyAddress":"%[5]s:9003","reportAddress":"%[5]s:9004","peerPort":9005,
"metricsPort":9006,"storeAddress":"%[5]s:9011","holdMax":"10000ms","drain":"2500ms","grace":"6s","retryShare":0.2,"retrySlack":56,
"retryWindow":"10s","linkMbps":0}`

// newInstance starts the proxies, the upstream and the sidecar of an instance.
func (r *Runner) newInstance(index int, service, storeAddress string) (*instance, error) {
	in := &instance{runner: r, index: index, service: service, name: fmt.Sprintf("i%02d", index), ip: fmt.Sprintf("127.%d.0.%d", r.networkNumber(), index+1)}
	text := fmt.Sprintf(settingsFormat, in.name, index%3, index%3, index%2, in.ip, service)
	if err := os.WriteFile(r.processes.FilePath(in.name+".json"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	for _, p := range []struct {
		proxy  **Proxy
		port   int
		target string
	}{{&in.upstreamProxy, 9010, in.ip + ":9000"}, {&in.storeProxy, 9011, storeAddress}, {&in.heartbeatProxy, 9012, in.ip + ":9004"}} {
		if *p.proxy, err = NewProxy(fmt.Sprintf("%s:%d", in.ip, p.port), p.target); err != nil {
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
	in.sidecar, in.disturbedAt = sidecar, time.Now()
	return err
}

// recordDisturbance records that a fault delays what the sidecar does, until the returned
// function is called.
func (in *instance) recordDisturbance() func() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.disturbances++
	return func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.disturbances--
		in.disturbedAt = time.Now()
	}
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
	if in.departed != u || in.disturbances > 0 || time.Since(in.disturbedAt) < contactTime {
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
	defer in.recordDisturbance()()
	err := in.signalSidecar(syscall.SIGSTOP)
	time.Sleep(length)
	return errors.Join(err, in.signalSidecar(syscall.SIGCONT))
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
		ID: fmt.Sprintf("%s-life%d", in.name, in.upstreamStarts), Service: in.service, Address: in.ip + ":9010", Slots: upstreamSlots,
		ServiceTime: upstreamServiceTime, Keyed: in.service == keyedService, Client: &http.Client{Timeout: heartbeatTimeout},
	}
	u.OnStart = func(id, key string) { in.runner.checkRequestStart(in, u, id, key) }
	l, err := net.Listen("tcp", in.ip+":9000")
	if err != nil {
		return err
	}
	in.upstream, in.upstreamServer = u, &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	server := in.upstreamServer
	go func() { _ = server.Serve(l) }() // Returns when stopUpstream closes the server.
	return nil
}

// stopUpstream ends the upstream and closes its connections.
func (in *instance) stopUpstream() {
	in.mu.Lock()
	defer in.mu.Unlock()
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
		if u := in.currentUpstream(); u != nil {
			_ = u.SendHeartbeat(in.ip + ":9012") // Fails while the sidecar or its link is down.
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// close stops the upstream and the proxies. The process set stops the sidecar.
func (in *instance) close() error {
	in.stopUpstream()
	return errors.Join(in.upstreamProxy.Close(), in.storeProxy.Close(), in.heartbeatProxy.Close())
}
