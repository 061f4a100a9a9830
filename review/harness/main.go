// Command harness runs one case of the review: it starts sidecars as processes beside
// stand-ins of the platform's store, of backends and of requesters, disturbs them, and
// reports whether the rule of the case held. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"briarwell.dev/platform/platformtest"
)

// Bounds of the small sites (aso-lend.toml, primeiro-dia.toml).
const (
	drain        = 2500 * time.Millisecond
	contact      = 3000 * time.Millisecond
	configApply  = 2500 * time.Millisecond
	grace        = 6 * time.Second
	beatInterval = 870 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// keyCount is the number of keys of a service that is divided by key.
const keyCount = 1 << 16

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether to disturb the sidecars")
	flag.Parse()
	os.Exit(run(*name, *out, *trouble))
}

func run(name, out string, trouble bool) int {
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{record: file, began: time.Now(), dir: dir, store: &store{}}
	defer w.close()
	cases := map[string]func(*world, bool) (int, error){
		"hangup": hangup, "leave": leave, "silence": silence, "refusal": refusal, "outage": outage,
	}
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	broken, err := play(w, trouble)
	switch {
	case err != nil:
		w.logf("the case couldn't run: %v", err)
		return exitNotRun
	case broken > 0:
		w.logf("RULE BROKEN %d times", broken)
		return exitBroken
	default:
		w.logf("the rule held")
		return exitHeld
	}
}

// world holds the processes and stand-ins of a case.
type world struct {
	mu       sync.Mutex
	record   *os.File
	began    time.Time
	dir      string
	store    *store
	address  string
	machines []*machine
	closers  []func()
	requests int
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
}

func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
	}
	for _, c := range w.closers {
		c()
	}
}

// store is the project's stand-in of the platform's store. While silent, it answers no call;
// calls that were pending when it became silent are never answered.
type store struct {
	platformtest.Store

	mu       sync.Mutex
	silent   bool
	silences int
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		s.silences++
	}
}

func (s *store) state() (bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.silences
}

// heldResponse keeps a response until it is known whether it is sent.
type heldResponse struct {
	header http.Header
	status int
	body   strings.Builder
}

func (h *heldResponse) Header() http.Header         { return h.header }
func (h *heldResponse) WriteHeader(status int)      { h.status = status }
func (h *heldResponse) Write(p []byte) (int, error) { return h.body.Write(p) }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	silent, before := s.state()
	if silent {
		<-r.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond) // The time of an answer at the small sites.
	held := &heldResponse{header: http.Header{}, status: http.StatusOK}
	s.Store.ServeHTTP(held, r)
	if _, after := s.state(); after != before {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(held.status)
	_, _ = w.Write([]byte(held.body.String()))
}

// machine is a sidecar process with its settings and its backend.
type machine struct {
	world     *world
	name      string
	ip        string
	service   string
	ports     map[string]int
	settings  string
	backend   *backend
	keyed     *keyedBackend
	mu        sync.Mutex
	process   *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
}

func (m *machine) addr(port string) string { return fmt.Sprintf("%s:%d", m.ip, m.ports[port]) }

// freePorts returns the number of free ports on an address.
func freePorts(ip string, names ...string) (map[string]int, error) {
	ports := make(map[string]int)
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for _, n := range names {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		ports[n] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// build starts the store, and a backend and a sidecar for each of the services.
func (w *world) build(manifest func(), services ...string) error {
	manifest()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	w.address = l.Addr().String()
	subnet := 20 + rand.IntN(200)
	for i, service := range services {
		m := &machine{world: w, name: fmt.Sprintf("machine-%d", i), ip: fmt.Sprintf("127.%d.0.%d", subnet, i+1), service: service}
		if m.ports, err = freePorts(m.ip, "backend", "caller", "request", "ready", "report", "peer", "metrics"); err != nil {
			return err
		}
		m.settings = filepath.Join(w.dir, m.name+".json")
		if err := m.writeSettings("info"); err != nil {
			return err
		}
		id, born := fmt.Sprintf("i-%d", i), time.Now().UnixMilli()
		if service == keyedService {
			m.keyed = &keyedBackend{machine: m, id: id, born: born}
			err = m.keyed.start()
		} else {
			m.backend = &backend{machine: m, id: id, born: born, work: 50 * time.Millisecond}
			err = m.backend.start()
		}
		if err != nil {
			return err
		}
		w.machines = append(w.machines, m)
		if err := m.start(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// writeSettings writes the settings file as the deploy file's template has it.
func (m *machine) writeSettings(logLevel string) error {
	data, err := json.MarshalIndent(map[string]any{
		"instance": m.name, "region": "r", "failureDomain": "z", "ip": m.ip, "service": m.service,
		"upstreamAddress": m.addr("backend"), "callerAddress": m.addr("caller"), "requestAddress": m.addr("request"),
		"readyAddress": m.addr("ready"), "reportAddress": m.addr("report"), "peerPort": m.ports["peer"], "metricsPort": m.ports["metrics"],
		"storeAddress": m.world.address, "holdMax": "10000ms", "drain": drain.String(), "grace": grace.String(),
		"retryShare": 0.2, "retrySlack": 56, "retryWindow": "10s", "linkMbps": 1000.0, "cpuShare": 0.32, "memoryMB": 284, "logLevel": logLevel,
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, data, 0o600)
}

// start starts the sidecar with the command of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/sidecar")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRIARWELL_BOOT=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.startedAt = cmd, ended, time.Now()
	m.mu.Unlock()
	m.world.logf("%s: sidecar process %d started", m.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		m.world.logf("%s: sidecar process %d ended: %s", m.name, cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.world.logf("%s: sidecar gets %s", m.name, s)
	_ = m.process.Process.Signal(s)
}

func (m *machine) kill() {
	m.mu.Lock()
	process, ended := m.process, m.ended
	m.mu.Unlock()
	if process != nil {
		_ = process.Process.Signal(syscall.SIGKILL)
		<-ended
	}
}

// awaitReady waits until all sidecars are ready and in touch.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range w.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(contact + time.Second)
	return nil
}

func (m *machine) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.addr("ready")+"/v1/readyz", nil)
	if err != nil {
		return false
	}
	response, err := freshClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// freshClient opens a connection for each request, as some requesters do.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} //nolint:gochecknoglobals // Shared by all requesters.

// backend is a stand-in of a backend that is not divided by key.
type backend struct {
	machine *machine
	id      string
	born    int64
	work    time.Duration

	mu       sync.Mutex
	server   *http.Server
	sequence int
	silent   bool
	runs     []arrival
}

// arrival is a request that the backend began to run.
type arrival struct {
	id string
	at time.Time
}

func (b *backend) start() error {
	l, err := net.Listen("tcp", b.machine.addr("backend"))
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	b.machine.world.closers = append(b.machine.world.closers, func() { _ = b.server.Close() })
	go b.beatLoop()
	return nil
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, arrival{id: id, at: time.Now()})
	b.mu.Unlock()
	b.machine.world.logf("%s (%s) runs %s", b.id, b.machine.service, id)
	select {
	case <-r.Context().Done():
		b.machine.world.logf("%s: the run of %s is cut", b.id, id)
		return
	case <-time.After(b.work):
	}
	w.Header().Set("X-Server-Signature", "signed-by-"+b.id)
	_, _ = fmt.Fprintf(w, "%s %s by %s", r.Method, r.RequestURI, b.id)
}

func (b *backend) began() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.runs...)
}

// beat returns the body of the next liveness report.
func (b *backend) beat() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": b.machine.service, "address": b.machine.addr("backend"), "zone": "z", "version": "v1", "max_concurrency": 12,
		"state": "ready", "cold_remaining": "0ms", "sequence": b.sequence, "born": b.born, "holds": [][3]int{}, "released": [][3]any{},
	})
	return body
}

// rpc sends a call to the sidecar on the same machine and reports whether it acknowledged.
func (b *backend) rpc(call string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.machine.addr("report")+"/v1/rpc?call="+call+"&of="+b.id, strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := freshClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (b *backend) beatLoop() {
	for {
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if silent {
			return
		}
		b.rpc("instances.heartbeat", b.beat())
		time.Sleep(beatInterval)
	}
}

func (b *backend) stopBeats() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

// deregister repeats the deregistration until it is acknowledged and returns when it was.
func (b *backend) deregister() time.Time {
	body, _ := json.Marshal(map[string]any{"born": b.born})
	for !b.rpc("instances.deregister", body) {
		time.Sleep(20 * time.Millisecond)
	}
	at := time.Now()
	b.machine.world.logf("%s: its deregistration is acknowledged", b.id)
	return at
}

// answer is what a requester got for a request.
type answer struct {
	id     string
	sentAt time.Time
	status int // 0 if the connection ended without an answer
	body   string
	err    error
}

// send sends a request to the sidecar of a machine and waits for the answer.
func (m *machine) send(method, path string, timeout time.Duration) answer {
	return m.sendKey(method, path, timeout, rand.IntN(keyCount))
}

// sendKey is send with the key of the request.
func (m *machine) sendKey(method, path string, timeout time.Duration, key int) answer {
	w := m.world
	w.mu.Lock()
	w.requests++
	a := answer{id: fmt.Sprintf("r%05d", w.requests), sentAt: time.Now()}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	r, err := platformtest.CallerRequest{ID: a.id, Method: method, Address: m.addr("caller"), Host: "h", Path: path, Key: key, Timeout: timeout}.HTTPRequest(ctx)
	if err != nil {
		a.err = err
		return a
	}
	w.logf("%s sent to %s: %s %s", a.id, m.name, method, path)
	response, err := freshClient.Do(r)
	if err != nil {
		a.err = err
		w.logf("%s: no answer: %v", a.id, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body := make([]byte, 512)
	n, _ := response.Body.Read(body)
	a.status, a.body = response.StatusCode, strings.TrimSpace(string(body[:n]))
	w.logf("%s: %d %s", a.id, a.status, a.body)
	return a
}

// load sends requests to a machine at random times, one in an interval on average, until stop
// is closed, and then returns the answers.
func (m *machine) load(interval time.Duration, method, path string, timeout time.Duration, stop <-chan struct{}) func() []answer {
	var mu sync.Mutex
	var answers []answer
	var pending sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(rand.N(2 * interval)):
			}
			pending.Add(1)
			go func() {
				defer pending.Done()
				a := m.send(method, path, timeout)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}()
		}
	}()
	return func() []answer {
		<-done
		pending.Wait()
		return answers
	}
}

var errTooFewServed = errors.New("fewer than half of the requests before the disruption were served")

func served(answers []answer, before time.Time) error {
	n, ok := 0, 0
	for _, a := range answers {
		if a.sentAt.Before(before) {
			n++
			if a.status == http.StatusOK {
				ok++
			}
		}
	}
	if 2*ok < n || n == 0 {
		return errTooFewServed
	}
	return nil
}

// route returns the manifest's entry of a route that is not idempotent, or one that is.
func route(name, service, kind string) string {
	return fmt.Sprintf(`%q:{"host":"h","prefix":"/%s/","kind":%q,"timeout":"2000ms","target_latency":"1000ms","priority":1,"service":%q,"max_attempts":2}`, name, name, kind, service)
}

func (w *world) putManifest(version int, routes ...string) {
	w.store.Put("op", "config", fmt.Appendf(nil,
		`{"version":"%08x","routes":{%s},"services":{"ledger":{"max_connections":110},"patterns":{"max_connections":110}},"limits":{"max_body_bytes":1000000}}`,
		version, strings.Join(routes, ",")))
	w.logf("the store acknowledges manifest %d", version)
}

// hangup stops a sidecar with SIGTERM and, as the disruption, sends it SIGHUP 300 ms later.
// It counts the requests that a backend runs and whose connection ends without an answer.
func hangup(w *world, trouble bool) (int, error) {
	err := w.build(func() { w.putManifest(1, route("book", "ledger", "non_idempotent")) }, "ledger", "ledger", "ledger")
	if err != nil {
		return 0, err
	}
	for _, m := range w.machines {
		m.backend.work = 400 * time.Millisecond
	}
	m := w.machines[0]
	stop := make(chan struct{})
	collect := m.load(50*time.Millisecond, http.MethodPost, "/book/deposit", 1500*time.Millisecond, stop)
	time.Sleep(2 * time.Second)
	m.signal(syscall.SIGTERM)
	stoppedAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := m.writeSettings("warn"); err != nil {
			return 0, err
		}
		m.signal(syscall.SIGHUP)
	}
	// Requesters send no more after two misses of the readiness probe.
	time.Sleep(1700 * time.Millisecond)
	close(stop)
	answers := collect()
	select {
	case <-m.ended:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
	}
	if err := served(answers, stoppedAt); err != nil {
		return 0, err
	}
	ran := make(map[string]bool)
	for _, other := range w.machines {
		for _, a := range other.backend.began() {
			ran[a.id] = true
		}
	}
	broken := 0
	for _, a := range answers {
		if a.status == 0 && ran[a.id] {
			w.logf("LOST: %s was run, and its connection ended without an answer", a.id)
			broken++
		}
	}
	return broken, nil
}

// leave makes a backend deregister and, as the disruption, kills its sidecar before, so that
// the deregistration is the first call that the restarted sidecar gets. A liveness report that
// the backend sent before arrives two seconds late. It counts the requests that reach the
// backend later than the drain time, while all sidecars concerned are in touch.
func leave(w *world, trouble bool) (int, error) {
	err := w.build(func() { w.putManifest(1, route("book", "ledger", "non_idempotent")) }, "ledger", "ledger", "ledger")
	if err != nil {
		return 0, err
	}
	for _, m := range w.machines {
		m.backend.work = 150 * time.Millisecond
	}
	m := w.machines[0]
	m.backend.stopBeats()
	late := m.backend.beat()
	if trouble {
		m.signal(syscall.SIGKILL)
		<-m.ended
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			return 0, err
		}
	}
	acknowledgedAt := m.backend.deregister()
	time.Sleep(2 * time.Second)
	return lateRequests(w, m, late, acknowledgedAt, func() time.Time { return m.startedAt.Add(contact) }, drain+2500*time.Millisecond)
}

// outage makes a backend deregister and, as the disruption, lets the store refuse all calls from
// before until 4.5 s later, and kills the sidecar half a second after it has acknowledged the
// deregistration. A liveness report that the backend sent before arrives late. It counts the
// requests that reach the backend later than the drain time, while all sidecars and the store
// are in touch again.
func outage(w *world, trouble bool) (int, error) {
	err := w.build(func() { w.putManifest(1, route("book", "ledger", "non_idempotent")) }, "ledger", "ledger", "ledger")
	if err != nil {
		return 0, err
	}
	for _, m := range w.machines {
		m.backend.work = 150 * time.Millisecond
	}
	m := w.machines[0]
	m.backend.stopBeats()
	late := m.backend.beat()
	storeBackAt := time.Now()
	if trouble {
		w.logf("the store refuses all calls")
		w.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
		storeBackAt = time.Now().Add(4500 * time.Millisecond)
		time.AfterFunc(time.Until(storeBackAt), func() {
			w.logf("the store answers")
			w.store.SetFaults(platformtest.StoreFaults{})
		})
		time.Sleep(300 * time.Millisecond)
	}
	acknowledgedAt := m.backend.deregister()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		m.signal(syscall.SIGKILL)
		<-m.ended
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Until(acknowledgedAt.Add(2500 * time.Millisecond)))
	inTouchAt := func() time.Time {
		if m.startedAt.After(storeBackAt) {
			return m.startedAt.Add(contact)
		}
		return storeBackAt.Add(contact)
	}
	return lateRequests(w, m, late, acknowledgedAt, inTouchAt, 10*time.Second)
}

// lateRequests delivers a late liveness report of the backend of m, which has deregistered, and
// sends requests until the backend exits, stay after its ack. It counts those that reach the
// backend later than the drain time, at which all sidecars were in touch.
func lateRequests(w *world, m *machine, late []byte, acknowledgedAt time.Time, inTouchAt func() time.Time, stay time.Duration) (int, error) {
	w.logf("%s: a liveness report from before the deregistration arrives", m.backend.id)
	m.backend.rpc("instances.heartbeat", late)
	stop := make(chan struct{})
	var collect []func() []answer
	for _, other := range w.machines[1:] {
		collect = append(collect, other.load(30*time.Millisecond, http.MethodPost, "/book/deposit", 1200*time.Millisecond, stop))
	}
	time.Sleep(time.Until(acknowledgedAt.Add(stay)))
	w.logf("%s exits", m.backend.id)
	exitedAt := time.Now()
	_ = m.backend.server.Close()
	time.Sleep(300 * time.Millisecond)
	close(stop)
	var answers []answer
	for _, c := range collect {
		answers = append(answers, c()...)
	}
	if err := served(answers, exitedAt); err != nil {
		return 0, err
	}
	broken := 0
	tooLate := make(map[string]bool)
	for _, a := range m.backend.began() {
		if a.at.After(acknowledgedAt.Add(drain)) && a.at.After(inTouchAt()) && a.at.Before(exitedAt) {
			w.logf("DRAIN: %s reached %s %d ms after the ack, %d ms after the start of its sidecar", a.id, m.backend.id, a.at.Sub(acknowledgedAt).Milliseconds(), a.at.Sub(m.startedAt).Milliseconds())
			tooLate[a.id] = true
			broken++
		}
	}
	for _, a := range answers {
		if tooLate[a.id] && a.status != http.StatusOK {
			w.logf("%s, which the backend that had left was running as it exited, got %d", a.id, a.status)
		}
	}
	return broken, nil
}

// silence changes the manifest and, as the disruption, lets the store give no answer for 4.5 s
// some time before. It counts the requests that run at the old service of a route later than
// the bound after the change.
func silence(w *world, trouble bool) (int, error) {
	err := w.build(func() { w.putManifest(1, route("lookup", "ledger", "idempotent")) }, "ledger", "patterns", "ledger", "patterns")
	if err != nil {
		return 0, err
	}
	if trouble {
		w.logf("the store becomes silent")
		w.store.setSilent(true)
	}
	time.Sleep(4500 * time.Millisecond)
	w.store.setSilent(false)
	w.logf("the store answers")
	time.Sleep(contact + 500*time.Millisecond)
	w.putManifest(2, route("lookup", "patterns", "idempotent"))
	changedAt := time.Now()
	time.Sleep(configApply)
	stop := make(chan struct{})
	var collect []func() []answer
	for _, m := range w.machines {
		collect = append(collect, m.load(100*time.Millisecond, http.MethodGet, "/lookup/x", time.Second, stop))
	}
	time.Sleep(3 * time.Second)
	close(stop)
	sent := make(map[string]time.Time)
	for _, c := range collect {
		for _, a := range c() {
			sent[a.id] = a.sentAt
		}
	}
	broken, ran := 0, 0
	for _, m := range w.machines {
		for _, a := range m.backend.began() {
			ran++
			if m.service == "ledger" && sent[a.id].After(changedAt.Add(configApply)) {
				w.logf("CONFIG: %s, sent %d ms after the ack, ran at the old service", a.id, sent[a.id].Sub(changedAt).Milliseconds())
				broken++
			}
		}
	}
	if ran < len(sent)/2 {
		return 0, errTooFewServed
	}
	return broken, nil
}

// keyedService is the service that is divided by key.
const keyedService = "wardrobe"

// keyedBackend is a stand-in of a backend that is divided by key. It writes its responses
// itself, so that it can send one of them twice.
type keyedBackend struct {
	machine *machine
	id      string
	born    int64

	mu       sync.Mutex
	sequence int
	// epochs has the epoch number of each key that the backend holds, 0 for others. A key in
	// releasing gets no new requests and is released once its last request has ended.
	epochs    [keyCount]uint64
	releasing [keyCount]bool
	running   [keyCount]int
	until     time.Time
	released  map[int]bool
	runs      []arrival
	// sheds and repeats are the shares of the requests that it rejects and of the answers that
	// it sends a second time.
	sheds, repeats float64
}

func (b *keyedBackend) start() error {
	b.released = make(map[int]bool)
	l, err := net.Listen("tcp", b.machine.addr("backend"))
	if err != nil {
		return err
	}
	b.machine.world.closers = append(b.machine.world.closers, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	go func() {
		for {
			pause := beatInterval
			if b.beat() {
				pause = 100 * time.Millisecond
			}
			time.Sleep(pause)
		}
	}()
	return nil
}

// serve answers the requests on a connection. An answer that it sends a second time is sent
// late, at the point where the next response is expected.
func (b *keyedBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var extra []byte
	last := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if extra != nil {
			b.machine.world.logf("%s sends its answer to %s once more, where that to %s is expected", b.id, last, r.Header.Get("X-Request-Id"))
			_, _ = conn.Write(extra)
		}
		response := b.respond(r)
		last = r.Header.Get("X-Request-Id")
		if _, err := conn.Write(response); err != nil {
			return
		}
		extra = nil
		b.mu.Lock()
		if rand.Float64() < b.repeats {
			extra = response
		}
		b.mu.Unlock()
	}
}

// respond runs a request if the backend holds its key, and returns the response.
func (b *keyedBackend) respond(r *http.Request) []byte {
	id := r.Header.Get("X-Request-Id")
	head := "X-Request-Id: " + id + "\r\n"
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	b.mu.Lock()
	holds := err == nil && key >= 0 && key < keyCount && b.epochs[key] != 0 && !b.releasing[key] && time.Now().Before(b.until)
	switch {
	case !holds || r.Header.Get("X-Expect-Instance") != b.id:
		b.mu.Unlock()
		return []byte("HTTP/1.1 421 Misdirected Request\r\n" + head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case rand.Float64() < b.sheds:
		b.mu.Unlock()
		b.machine.world.logf("%s rejects %s", b.id, id)
		return []byte("HTTP/1.1 503 Service Unavailable\r\n" + head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	b.running[key]++
	b.runs = append(b.runs, arrival{id: id, at: time.Now()})
	b.mu.Unlock()
	b.machine.world.logf("%s (%s) runs %s", b.id, b.machine.service, id)
	time.Sleep(20 * time.Millisecond)
	b.mu.Lock()
	if b.running[key]--; b.running[key] == 0 && b.releasing[key] {
		b.release(key)
	}
	b.mu.Unlock()
	body := r.Method + " " + r.RequestURI + " by " + b.id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sX-Server-Signature: signed-by-%s\r\nContent-Length: %d\r\n\r\n%s", head, b.id, len(body), body)
}

// release gives up a key. The caller holds b.mu.
func (b *keyedBackend) release(key int) {
	b.epochs[key], b.releasing[key] = 0, false
	b.released[key] = true
}

// beat sends a liveness report and applies the grant in the answer. It reports whether keys
// are still to be released.
func (b *keyedBackend) beat() bool {
	b.mu.Lock()
	if time.Now().After(b.until) { // An expired hold is not reported as released.
		b.epochs, b.releasing = [keyCount]uint64{}, [keyCount]bool{}
	}
	b.sequence++
	sentReleases := make([]int, 0, len(b.released))
	for key := range b.released {
		sentReleases = append(sentReleases, key)
	}
	slices.Sort(sentReleases)
	releases := [][3]any{}
	for _, key := range sentReleases {
		if n := len(releases); n > 0 && releases[n-1][1] == key-1 {
			releases[n-1][1] = key
			continue
		}
		releases = append(releases, [3]any{key, key, "5c0e7a21d94b36f8"})
	}
	holds := [][3]uint64{}
	for key, epoch := range b.epochs {
		if n := len(holds); n > 0 && holds[n-1][2] == epoch && holds[n-1][1] == uint64(key-1) {
			holds[n-1][1] = uint64(key)
		} else if epoch != 0 {
			holds = append(holds, [3]uint64{uint64(key), uint64(key), epoch})
		}
	}
	body, _ := json.Marshal(map[string]any{
		"service": b.machine.service, "address": b.machine.addr("backend"), "zone": "z", "version": "v1", "max_concurrency": 12,
		"state": "ready", "cold_remaining": "0ms", "sequence": b.sequence, "born": b.born, "holds": holds, "released": releases,
	})
	b.mu.Unlock()
	sentAt := time.Now()
	answer, ok := post("http://"+b.machine.addr("report")+"/v1/rpc?call=instances.heartbeat&of="+b.id, body)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok {
		return false
	}
	for _, key := range sentReleases {
		delete(b.released, key)
	}
	return b.apply(sentAt, answer)
}

// apply takes the grant in the answer to a report that was sent at sentAt, and reports
// whether keys are still to be released. The caller holds b.mu.
func (b *keyedBackend) apply(sentAt time.Time, answer []byte) bool {
	var grant struct {
		Holds    [][4]any `json:"holds"`
		HoldTime string   `json:"hold_time"`
	}
	if json.Unmarshal(answer, &grant) != nil || grant.HoldTime == "" {
		return false
	}
	holdTime, err := time.ParseDuration(grant.HoldTime)
	if err != nil {
		return false
	}
	b.until = sentAt.Add(holdTime)
	var granted [keyCount]uint64
	for _, row := range grant.Holds {
		first, _ := row[0].(float64)
		last, _ := row[1].(float64)
		epoch, _ := row[2].(float64)
		for key := int(first); key <= int(last) && key < keyCount; key++ {
			granted[key] = uint64(epoch)
		}
	}
	more := false
	for key := range granted {
		switch {
		case granted[key] >= b.epochs[key]:
			b.epochs[key], b.releasing[key] = granted[key], false
		case b.running[key] > 0:
			b.releasing[key] = true
			more = true
		default:
			b.release(key)
			more = true
		}
	}
	return more
}

// post sends a call and returns the body of the answer, or false if it was not acknowledged
// within a second.
func post(url string, body []byte) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := freshClient.Do(r)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return answer, err == nil && response.StatusCode/100 == 2
}

func (b *keyedBackend) disturb(sheds, repeats float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sheds, b.repeats = sheds, repeats
}

func (b *keyedBackend) holdsKeys() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.epochs[:], func(e uint64) bool { return e != 0 })
}

// Doses of the disturbances of refusal.
const (
	shedShare     = 0.2  // of the requests, at all backends; the site files have 0.55 at all
	repeatShare   = 0.03 // of the answers, at repeatServers of the backends, as in the site files
	repeatServers = 7    // of 12: a share of 0.6
	repeatTime    = 5 * time.Second
	repeatPause   = time.Second
	repeatCount   = 16
)

// refusal sends requests that must not run twice to backends divided by key. As the
// disruption, the backends reject part of them as not run, and send part of their answers a
// second time. It counts the requests that were answered as not run and have run, or that ran
// twice.
func refusal(w *world, trouble bool) (int, error) {
	services := slices.Repeat([]string{keyedService}, 12)
	err := w.build(func() {
		w.store.Put("op", "config", []byte(`{"version":"00000001","routes":{"book":{"host":"h","prefix":"/book/","kind":"non_idempotent","timeout":"1200ms","target_latency":"500ms","priority":1,"service":"wardrobe","max_attempts":2}},
			"services":{"wardrobe":{"max_connections":110,"sharded":true,"warmup":"5s"}},"limits":{"max_body_bytes":1000000}}`))
	}, services...)
	if err != nil {
		return 0, err
	}
	for _, m := range w.machines {
		for range 100 {
			if m.keyed.holdsKeys() {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !m.keyed.holdsKeys() {
			return 0, fmt.Errorf("%s got no keys", m.keyed.id)
		}
	}
	stop := make(chan struct{})
	var collect []func() []answer
	for _, m := range w.machines {
		collect = append(collect, m.load(125*time.Millisecond, http.MethodPost, "/book/deposit", 1200*time.Millisecond, stop))
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	for range repeatCount {
		for i, m := range w.machines {
			switch {
			case !trouble:
			case i < repeatServers:
				m.keyed.disturb(shedShare, repeatShare)
			default:
				m.keyed.disturb(shedShare, 0)
			}
		}
		time.Sleep(repeatTime)
		for _, m := range w.machines {
			m.keyed.disturb(0, 0)
		}
		time.Sleep(repeatPause)
	}
	close(stop)
	var answers []answer
	for _, c := range collect {
		answers = append(answers, c()...)
	}
	if err := served(answers, began); err != nil {
		return 0, err
	}
	ran := make(map[string]int)
	for _, m := range w.machines {
		m.keyed.mu.Lock()
		for _, a := range m.keyed.runs {
			ran[a.id]++
		}
		m.keyed.mu.Unlock()
	}
	broken := 0
	for _, a := range answers {
		if ran[a.id] > 1 {
			w.logf("TWICE: %s ran %d times", a.id, ran[a.id])
			broken++
		}
		if ran[a.id] > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			w.logf("REFUSED: %s was answered %d (%s) and has run", a.id, a.status, a.body)
			broken++
		}
	}
	return broken, nil
}
