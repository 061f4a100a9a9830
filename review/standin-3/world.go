package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports of an instance, each on its own loopback address, and of the store.
const (
	upstreamPort = 8628
	callerPort   = 8629
	requestPort  = 8624
	readyPort    = 8625
	reportPort   = 8620
	peerPort     = 7600
	metricsPort  = 9464
	storePort    = 8627
)

// firstAddress is the last part of the address of the first instance.
const firstAddress = 10

const (
	host       = "shop.example"
	healthPath = "/healthz"
	// drainTime and configApply are drain and config_apply in the settings. outerTime is outer and
	// contactTime is contact.
	drainTime   = 2500 * time.Millisecond
	configApply = 2500 * time.Millisecond
	outerTime   = 5 * time.Second
	contactTime = 3 * time.Second
)

// node is an instance: a sidecar and the upstream beside it.
type node struct {
	name, zone, region, service, ip string

	process  *exec.Cmd
	exited   chan struct{}
	upstream *upstream
}

func (n *node) address(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }

// exchange is what happened to one request.
type exchange struct {
	id, path, node string
	key            int
	sent, ended    time.Time
	status         int
	// runs are the services that ran it, arrivals the upstreams that it reached and when.
	runs     []string
	arrivals []arrival
}

type arrival struct {
	upstream *upstream
	at       time.Time
}

// world holds all stand-ins and processes of a case.
type world struct {
	trouble bool
	began   time.Time
	folder  string
	network string
	store   *store
	storeIP string
	owners  *owners
	done    chan struct{}
	traffic sync.WaitGroup

	mu        sync.Mutex
	record    *os.File
	nodes     []*node
	addresses int
	exchanges map[string]*exchange
	order     []*exchange
	servers   []*http.Server
	closed    bool
}

// newWorld starts the store.
func newWorld(record string, trouble bool) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: trouble, began: time.Now(), folder: folder, store: newStore(), record: file, done: make(chan struct{}), exchanges: make(map[string]*exchange),
	}
	w.owners = newOwners(w)
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(256))
		w.storeIP = w.network + "7"
		listener, err := net.Listen("tcp", net.JoinHostPort(w.storeIP, strconv.Itoa(storePort)))
		if err != nil {
			continue
		}
		w.serve(&http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}, listener)
		w.note("trouble: %v; loopback network %s0/24", trouble, w.network)
		return w, nil
	}
	return nil, fmt.Errorf("no free port for the store")
}

func (w *world) serve(s *http.Server, listener net.Listener) {
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go func() { _ = s.Serve(listener) }()
}

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes and writes the requests to the record.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	nodes, servers := w.nodes, w.servers
	w.mu.Unlock()
	close(w.done)
	for _, n := range nodes {
		w.kill(n)
		n.upstream.end()
	}
	for _, s := range servers {
		_ = s.Close()
	}
	w.traffic.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.order {
		_, _ = fmt.Fprintf(w.record, "request %s %s key %d to %s: sent %.3f s, status %d at %.3f s, run by %v\n",
			e.id, e.path, e.key, e.node, e.sent.Sub(w.began).Seconds(), e.status, e.ended.Sub(w.began).Seconds(), e.runs)
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// kill ends a sidecar process.
func (w *world) kill(n *node) {
	_ = n.process.Process.Kill()
	<-n.exited
}

// freeAddresses reports whether all ports of an instance are free at its address.
func (n *node) freeAddresses() bool {
	for _, port := range []int{upstreamPort, callerPort, requestPort, readyPort, reportPort, peerPort, metricsPort} {
		listener, err := listen(n.address(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// launch starts the sidecar of an instance with the settings file that start has written.
func (w *world) launch(n *node) error {
	log, err := os.OpenFile(filepath.Join(w.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command("target/sidecar")
	process.Env = append(os.Environ(), "BRIARWELL_BOOT="+filepath.Join(w.folder, n.name+".json"))
	process.Stdout, process.Stderr = log, log
	// The sidecar ends with this process, also if that is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	n.process, n.exited = process, make(chan struct{})
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(n.exited)
	}()
	return nil
}

// start starts an instance with an upstream of a service.
func (w *world) start(name, zone, service string, keyed bool, work time.Duration) (*node, error) {
	w.mu.Lock()
	n := &node{name: name, zone: zone, region: "lagos", service: service, ip: w.network + strconv.Itoa(firstAddress+w.addresses)}
	w.addresses++
	w.mu.Unlock()
	if !n.freeAddresses() {
		return nil, fmt.Errorf("ports at %s are in use", n.ip)
	}
	settings, err := json.Marshal(map[string]any{
		"instance": n.name, "region": n.region, "failureDomain": n.zone, "ip": n.ip, "service": n.service,
		"upstreamAddress": n.address(upstreamPort), "callerAddress": n.address(callerPort), "requestAddress": n.address(requestPort),
		"readyAddress": n.address(readyPort), "reportAddress": n.address(reportPort), "peerPort": peerPort, "metricsPort": metricsPort,
		"storeAddress": net.JoinHostPort(w.storeIP, strconv.Itoa(storePort)), "holdMax": "10000ms", "drain": drainTime.String(), "grace": "6s",
		"retryShare": 0.2, "retrySlack": 56, "retryWindow": "10s", "manifestWithin": configApply.String(),
		"linkMbps": 1000.0, "cpuShare": 0.32, "memoryMB": 284, "maxDescriptors": 4100, "logLevel": "info",
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.folder, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	if n.upstream, err = newUpstream(w, n, keyed, work); err != nil {
		return nil, err
	}
	if err := w.launch(n); err != nil {
		return nil, err
	}
	w.owners.add(n.upstream)
	go n.upstream.report()
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	w.note("%s started at %s with upstream %s of service %s", name, n.ip, n.upstream.id, service)
	return n, nil
}

// awaitReady waits until a sidecar counts as ready.
func (w *world) awaitReady(n *node) error {
	return w.await(15*time.Second, n.name+" is ready", func() bool {
		response, err := http.Get("http://" + n.address(readyPort) + "/v1/readyz") //nolint:noctx // Bounded by the case.
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// await waits until a condition holds.
func (w *world) await(limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			w.note("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// manifestRoute is a route of a manifest.
type manifestRoute struct{ name, prefix, kind, service string }

// writeManifest writes a manifest as the operator does.
func (w *world) writeManifest(version int, keyed map[string]bool, routes ...manifestRoute) uint64 {
	encodedRoutes, services := map[string]any{}, map[string]any{}
	for _, r := range routes {
		encodedRoutes[r.name] = map[string]any{
			"host": host, "prefix": r.prefix, "kind": r.kind, "timeout": "1200ms", "target_latency": "500ms", "priority": 1, "service": r.service, "max_attempts": 2,
		}
	}
	for service, sharded := range keyed {
		services[service] = map[string]any{"health_path": healthPath, "max_connections": 110, "protocol": "h1", "tls": false}
		if sharded {
			services[service] = map[string]any{"health_path": healthPath, "max_connections": 110, "protocol": "h1", "tls": false, "sharded": true, "warmup": "5s", "grants": "heartbeat"}
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": encodedRoutes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	if err != nil {
		panic(err)
	}
	revision := w.store.put("op", "config", value)
	w.note("the store has acknowledged manifest %08x, schema_version %d", version, revision)
	return revision
}

// send sends one request to the sidecar of an instance.
func (w *world) send(n *node, client *http.Client, method, path string, key int, body []byte) {
	e := &exchange{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, node: n.name, key: key, sent: time.Now()}
	w.mu.Lock()
	w.exchanges[e.id], w.order = e, append(w.order, e)
	w.mu.Unlock()
	r, err := http.NewRequest(method, "http://"+n.address(callerPort)+path, bytes.NewReader(body)) //nolint:noctx // Bounded by the client.
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Request-Id", e.id)
	r.Header.Set("X-Deadline-Ms", "1200")
	if key >= 0 {
		r.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	status := 0
	if response, err := client.Do(r); err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			status = response.StatusCode
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e.status, e.ended = status, time.Now()
}

// sendTraffic sends requests at a rate to the sidecars that are running at the time, until the case
// ends. Next returns the method, the path and the key of a request.
func (w *world) sendTraffic(perSecond float64, to func() []*node, next func() (method, path string, key int)) {
	client := &http.Client{Timeout: 1200 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 50, IdleConnTimeout: 5 * time.Second}}
	w.traffic.Add(1)
	go func() {
		defer w.traffic.Done()
		for {
			select {
			case <-w.done:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			nodes := to()
			method, path, key := next()
			n := nodes[rand.IntN(len(nodes))]
			w.traffic.Add(1)
			go func() {
				defer w.traffic.Done()
				w.send(n, client, method, path, key, nil)
			}()
		}
	}()
}

// recordArrival records that a request has reached an upstream.
func (w *world) recordArrival(u *upstream, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.exchanges[id]; ok {
		e.arrivals = append(e.arrivals, arrival{upstream: u, at: time.Now()})
	}
}

// recordRun records that an upstream begins to work on a request, on a key if that is not negative.
func (w *world) recordRun(u *upstream, id, _ string, key int) {
	if key >= 0 {
		w.owners.runBegan(u, key)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.exchanges[id]; ok {
		e.runs = append(e.runs, u.node.service+"/"+u.id)
	}
}

// summary notes how the requests that were sent in a time ended.
func (w *world) summary(name string, from, to time.Time) {
	w.mu.Lock()
	counts := map[int]int{}
	for _, e := range w.order {
		if !e.sent.Before(from) && e.sent.Before(to) && !e.ended.IsZero() {
			counts[e.status]++
		}
	}
	w.mu.Unlock()
	w.note("%s: answers by status %v", name, counts)
}
