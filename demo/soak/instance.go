package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"briarwell.dev/demo/harness"
	"briarwell.dev/platform/platformtest"
)

const (
	// reportEvery is the time between two reports of an upstream.
	reportEvery = 870 * time.Millisecond
	// reportTimeout is how long an upstream waits for an answer to a report.
	reportTimeout = time.Second
	// upstreamWork is how long an upstream takes for a request.
	upstreamWork = 15 * time.Millisecond
	// upstreamSlots is how many requests it runs at once.
	upstreamSlots = 12
	// stopTime is the time from the signal to stop to the kill.
	stopTime = 6 * time.Second
)

// instance is a sidecar's process, the upstream beside it and the proxies between
// them and to the store.
type instance struct {
	soak    *Soak
	index   int
	name    string
	service string
	ip      string
	store   *Proxy
	reports *Proxy
	calls   *Proxy

	mu       sync.Mutex
	process  *harness.Process
	starts   int
	upstream *platformtest.Upstream
	web      *http.Server
	lives    int
}

const settingsText = `{"instance":%q,"region":"r%d","failureDomain":"r%dd%d","ip":%q,"service":%q,"upstreamAddress":"%[5]s:9010",
"callerAddress":"%[5]s:9001","requestAddress":"%[5]s:9002","readyAddress":"%[5]s:9003","reportAddress":"%[5]s:9004","peerPort":9005,
"metricsPort":9006,"storeAddress":"%[5]s:9011","holdMax":"10000ms","drain":"2500ms","grace":"6s","retryShare":0.2,"retrySlack":56,
"retryWindow":"10s","linkMbps":0}`

func (s *Soak) newInstance(index int, service, storeAddress string) (*instance, error) {
	in := &instance{soak: s, index: index, service: service, name: fmt.Sprintf("i%02d", index), ip: fmt.Sprintf("127.%d.0.%d", s.network(), index+1)}
	text := fmt.Sprintf(settingsText, in.name, index%3, index%3, index%2, in.ip, service)
	if err := os.WriteFile(s.group.File(in.name+".json"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	for _, p := range []struct {
		proxy  **Proxy
		port   int
		target string
	}{{&in.calls, 9010, in.ip + ":9000"}, {&in.store, 9011, storeAddress}, {&in.reports, 9012, in.ip + ":9004"}} {
		if *p.proxy, err = NewProxy(fmt.Sprintf("%s:%d", in.ip, p.port), p.target); err != nil {
			return nil, err
		}
	}
	if err := in.startUpstream(); err != nil {
		return nil, err
	}
	return in, in.start()
}

// start starts the sidecar's process.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil && in.process.Running() {
		return nil
	}
	in.starts++
	process, err := in.soak.group.Start(fmt.Sprintf("%s-%d", in.name, in.starts), in.soak.options.Program, "--settings", in.soak.group.File(in.name+".json"))
	in.process = process
	return err
}

func (in *instance) signal(signal syscall.Signal) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.process.Signal(signal)
}

// end ends the sidecar's process, gracefully or at once, and waits for its end.
func (in *instance) end(graceful bool) error {
	in.mu.Lock()
	process := in.process
	in.mu.Unlock()
	if !graceful {
		return process.Kill()
	}
	_, err := process.Stop(stopTime)
	return err
}

// startUpstream starts another life of the upstream.
func (in *instance) startUpstream() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lives++
	u := &platformtest.Upstream{
		ID: fmt.Sprintf("%s-life%d", in.name, in.lives), Service: in.service, Address: in.ip + ":9010", Slots: upstreamSlots,
		ServiceTime: upstreamWork, Keyed: in.service == keyedService, Client: &http.Client{Timeout: reportTimeout},
	}
	u.OnStart = func(id, key string) { in.soak.began(in, u, id, key) }
	l, err := net.Listen("tcp", in.ip+":9000")
	if err != nil {
		return err
	}
	in.upstream, in.web = u, &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	web := in.web
	go func() { _ = web.Serve(l) }() // It ends with the life.
	return nil
}

// crash ends the upstream's life.
func (in *instance) crash() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.upstream = nil
	_ = in.web.Close()
}

// life returns the upstream, nil while there is none.
func (in *instance) life() *platformtest.Upstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.upstream
}

// report makes the upstream report until ctx ends.
func (in *instance) report(ctx context.Context) {
	for ctx.Err() == nil {
		if u := in.life(); u != nil {
			_ = u.SendHeartbeat(in.ip + ":9012") // A sidecar that is away takes no report.
		}
		select {
		case <-ctx.Done():
		case <-time.After(reportEvery):
		}
	}
}

func (in *instance) close() error {
	in.crash()
	return errors.Join(in.calls.Close(), in.store.Close(), in.reports.Close())
}
