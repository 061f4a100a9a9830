package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"briarwell.dev/platform/platformtest"
)

// Ports of each machine; every machine has a loopback address of its own.
const (
	portInbound  = 8624
	portReady    = 8625
	portApp      = 8628
	portOutbound = 8629
	portControl  = 8620
	portPeer     = 7600
	portMetrics  = 9464
)

const (
	slotsPerBackend = 12
	healthPath      = "/healthz"
)

// record collects what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	lines []string
}

func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var text []byte
	for _, line := range r.lines {
		text = append(append(text, line...), '\n')
	}
	return os.WriteFile(path, text, 0o644)
}

// zone is a zone of the users' small deployment.
type zone struct{ name, region string }

var zones = []zone{{"ikeja", "lagos"}, {"yaba", "lagos"}, {"nassarawa", "kano"}, {"fagge", "kano"}, {"ogui", "enugu"}, {"uwani", "enugu"}}

// fleet is a small deployment: the store, and machines with a sidecar and a backend each.
type fleet struct {
	record   *record
	dir      string
	subnet   int
	store    *platformtest.Store
	storeURL string
	keyed    map[string]bool
	machines []*machine
	version  int
	// routeTo names the services of routes that have another name than their service.
	routeTo map[string]string
}

type machine struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	region  string
	service string
	work    time.Duration

	mu      sync.Mutex
	sidecar *exec.Cmd
	ended   chan struct{}
	log     *os.File
	backend *backend
	lives   int
	// gone is set while the machine has no power.
	gone   bool
	silent []int
	// misses counts the readiness probes without a 200 since the last one.
	misses int
}

func newFleet(dir string, r *record, keyed map[string]bool) (*fleet, error) {
	f := &fleet{record: r, dir: dir, store: &platformtest.Store{}, keyed: keyed, version: 3}
	for f.subnet = 60 + os.Getpid()%60; f.subnet < 200; f.subnet++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:0", f.subnet))
		if err != nil {
			continue
		}
		if probe, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", f.subnet, portPeer)); err == nil {
			_ = probe.Close()
			f.storeURL = listener.Addr().String()
			server := &http.Server{Handler: f.store, ReadHeaderTimeout: 10 * time.Second}
			go func() { _ = server.Serve(listener) }()
			return f, nil
		}
		_ = listener.Close()
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func (f *fleet) add(service string, z zone, work time.Duration) *machine {
	i := len(f.machines)
	m := &machine{
		fleet: f, name: fmt.Sprintf("sidecar-%s-%d", z.name, i), ip: fmt.Sprintf("127.%d.%d.%d", f.subnet, i/200, i%200+1),
		zone: z.name, region: z.region, service: service, work: work,
	}
	f.machines = append(f.machines, m)
	return m
}

func (m *machine) address(port int) string { return m.ip + ":" + strconv.Itoa(port) }

// settings returns the settings file that deploy/settings.json.tmpl gives for a small deployment.
func (m *machine) settings() []byte {
	text, err := json.MarshalIndent(map[string]any{
		"instance": m.name, "region": m.region, "failureDomain": m.zone, "ip": m.ip, "service": m.service,
		"upstreamAddress": m.address(portApp), "callerAddress": m.address(portOutbound), "requestAddress": m.address(portInbound),
		"readyAddress": m.address(portReady), "reportAddress": m.address(portControl), "peerPort": portPeer, "metricsPort": portMetrics,
		"storeAddress": m.fleet.storeURL, "holdMax": "10000ms", "drain": "2500ms", "grace": "6s", "retryShare": 0.2, "retrySlack": 56,
		"retryWindow": "10s", "manifestWithin": "2500ms", "linkMbps": 1000.0, "cpuShare": 0.32, "memoryMB": 284, "logLevel": "info",
	}, "", "  ")
	if err != nil {
		panic(err)
	}
	return text
}

// start starts the sidecar with the command of the deploy file, and a new backend unless one runs.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives++
	path := filepath.Join(m.fleet.dir, m.name+".json")
	if err := os.WriteFile(path, m.settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/sidecar")
	cmd.Env = []string{"BRIARWELL_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	m.sidecar, m.ended, m.misses, m.gone = cmd, ended, 2, false
	if m.backend == nil {
		m.backend, err = startBackend(m, fmt.Sprintf("i-%s-%d", m.name, m.lives), m.work)
	}
	return err
}

// kill ends the sidecar with SIGKILL, and the backend too if withBackend is set.
func (m *machine) kill(withBackend bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sidecar != nil {
		_ = m.sidecar.Process.Kill()
		<-m.ended
		m.sidecar = nil
	}
	if withBackend && m.backend != nil {
		m.backend.kill()
		m.backend = nil
	}
}

// takeAway removes the machine as planned: its backend drains and exits, its sidecar gets SIGTERM.
func (m *machine) takeAway() {
	m.mu.Lock()
	leaving, sidecar, ended := m.backend, m.sidecar, m.ended
	m.backend = nil
	m.mu.Unlock()
	leaving.leave()
	_ = sidecar.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
	}
	m.losePower()
}

// losePower ends all processes of the machine. Connections to it hang from then on.
func (m *machine) losePower() {
	m.kill(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = true
	for _, port := range []int{portInbound, portPeer, portApp, portControl} {
		fd, err := listenSilently(m.ip, port)
		if err != nil {
			m.fleet.record.add("address %s is not silent: %v", m.address(port), err)
			continue
		}
		m.silent = append(m.silent, fd)
	}
}

// listenSilently makes connections to an address hang: its queue of new connections is full and
// nobody takes any.
func listenSilently(ip string, port int) (int, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	address := &syscall.SockaddrInet4{Port: port}
	copy(address.Addr[:], net.ParseIP(ip).To4())
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		if err = syscall.Bind(fd, address); err == nil {
			err = syscall.Listen(fd, 0)
		}
	}
	if err != nil {
		_ = syscall.Close(fd)
		return 0, err
	}
	for range 3 {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", ip, port), 50*time.Millisecond)
		if err != nil {
			return fd, nil
		}
		_ = conn // It stays open and fills the queue.
	}
	return fd, fmt.Errorf("connections to %s:%d are still taken", ip, port)
}

// startAll starts machines within 0.3 s of each other.
func startAll(machines []*machine) error {
	for i, m := range machines {
		if i > 0 {
			time.Sleep(250 * time.Millisecond / time.Duration(len(machines)))
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) killAll() {
	var wait sync.WaitGroup
	for _, m := range f.machines {
		wait.Go(func() { m.kill(true) })
	}
	wait.Wait()
}

// writeManifest writes a manifest as the operator does, with a route and its service for each name.
func (f *fleet) writeManifest(kinds map[string]string) {
	f.version++
	routes, services := map[string]any{}, map[string]any{}
	for name, kind := range kinds {
		service := cmp.Or(f.routeTo[name], name)
		routes["r-"+name] = map[string]any{
			"host": "fleet.example", "prefix": "/" + name + "/", "kind": kind, "timeout": "1000ms", "target_latency": "400ms",
			"priority": 1, "service": service, "max_attempts": 2,
		}
		services[service] = map[string]any{"sharded": f.keyed[service], "max_connections": 110, "health_path": healthPath}
	}
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", f.version), "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000000, "header_timeout": "5s", "idle_timeout": "30s"},
	})
	if err != nil {
		panic(err)
	}
	f.store.Put("op", "config", text)
	f.record.add("operator: manifest %08x acknowledged", f.version)
}

// probeReadiness asks each sidecar once a second whether it is ready, until ctx ends.
func (f *fleet) probeReadiness(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, m := range f.machines {
			go func() {
				response, err := client.Get("http://" + m.address(portReady) + "/v1/readyz")
				ready := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.misses++; ready {
					m.misses = 0
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// takesRequesters reports whether requesters on the machine get work.
func (m *machine) takesRequesters() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.gone && m.misses < 2
}
