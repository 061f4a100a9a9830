// Package crowds_test runs the sidecars of two machines as processes and lets crowds of clients
// misbehave towards them. The tests measure processes: they run one at a time, apart from other load.
package crowds_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/demo/harness"
	"briarwell.dev/platform/platformtest"
)

const (
	// memoryMB is the memory of a machine, and maxDescriptors the descriptors that a process may
	// open. Of these a quarter must be left for the connections of the process itself.
	memoryMB           = 128
	maxDescriptors     = 1024
	allowedDescriptors = maxDescriptors * 3 / 4
	// pressTime is how long a crowd stays before the ordinary requests begin.
	pressTime   = 3 * time.Second
	dialTimeout = 5 * time.Second
	// hangTime is the time without an answer after which a process counts as hanging.
	hangTime = 30 * time.Second
	// largeAnswerBytes is the size of the answers below largePath.
	largeAnswerBytes = 256 << 10
	largePath        = "/book/large"
	// limitedArgument makes the test binary limit its descriptors and run another program.
	limitedArgument = "--with-limited-descriptors"
)

const limits = `{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout":"3000ms","idle_timeout":"15000ms"}`

// settingsFormat is the format of the settings of a sidecar.
const settingsFormat = `{"instance":%q,"region":"r","failureDomain":"d","ip":%q,"service":%q,"upstreamAddress":"%[2]s:9000",
"callerAddress":"%[2]s:9001","requestAddress":"%[2]s:9002","readyAddress":"%[2]s:9003","reportAddress":"%[2]s:9004","peerPort":9005,
"metricsPort":9006,"storeAddress":%[4]q,"holdMax":"10000ms","drain":"2500ms","grace":"6s","retryShare":0.2,"retrySlack":56,
"retryWindow":"10s","linkMbps":0,"memoryMB":%[5]d}`

func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == limitedArgument {
		descriptors := syscall.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Fprintln(os.Stderr, syscall.Exec(os.Args[2], os.Args[2:], os.Environ()))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// machine runs a sidecar process beside an upstream.
type machine struct {
	name     string
	ip       string
	upstream *platformtest.Upstream
	sidecar  *harness.Process
	meter    *meter
}

// buildSidecar builds the sidecar, without the race detector: its memory is measured.
func buildSidecar(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "sidecar")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, ".")
	build.Dir = "../../sidecar"
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

// startMachines starts a machine of each service and waits until both serve requests.
func startMachines(t *testing.T, program string, services ...string) []*machine {
	t.Helper()
	is := is.New(t)
	store := &platformtest.Store{}
	store.WriteLimitsManifest(4, fmt.Sprintf(limits, maxHeaderBytes, maxBodyBytes))
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	processes, err := harness.NewProcessSet(filepath.Join(t.TempDir(), "run"))
	is.NoErr(err)
	t.Cleanup(func() { _ = processes.Close() })
	machines := make([]*machine, 0, len(services))
	for i, service := range services {
		m := &machine{name: fmt.Sprintf("i%d", i), ip: fmt.Sprintf("127.90.0.%d", i+1)}
		m.upstream = &platformtest.Upstream{ID: "u" + m.name, Service: service, Address: m.ip + ":9000", Slots: 64, ServiceTime: time.Millisecond, Keyed: service == "wardrobe"}
		m.startUpstream(t)
		path := processes.FilePath(m.name + ".json")
		is.NoErr(os.WriteFile(path, fmt.Appendf(nil, settingsFormat, m.name, m.ip, service, storeServer.Listener.Addr().String(), memoryMB), 0o600))
		m.sidecar, err = processes.Start(m.name, os.Args[0], limitedArgument, program, "--settings", path)
		is.NoErr(err)
		machines = append(machines, m)
	}
	for _, m := range machines {
		m.awaitOrdinaryRequest(t, "first-"+m.name)
		m.meter = startMeter(m.sidecar.PID(), m.ip, "9000")
	}
	return machines
}

// startUpstream serves the upstream, with large answers below largePath, and sends its heartbeats.
func (m *machine) startUpstream(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", m.upstream.Address)
	if err != nil {
		t.Fatal(err)
	}
	answer := bytes.Repeat([]byte("a"), largeAnswerBytes)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, largePath) {
			m.upstream.ServeHTTP(w, r)
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Signature", "signed")
		_, _ = w.Write(answer)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for t.Context().Err() == nil {
			_ = m.upstream.SendHeartbeat(m.ip + ":9004") // Fails until the sidecar has started.
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// awaitOrdinaryRequest sends a request as callers do, again on a new connection after a refusal,
// until it is served.
func (m *machine) awaitOrdinaryRequest(t *testing.T, id string) {
	t.Helper()
	body := strings.Repeat("o", 20_000)
	for began, attempt, last := time.Now(), 0, ""; ; attempt++ {
		if time.Since(began) > hangTime {
			t.Errorf("ordinary request at %s is not served, last: %s", m.name, last)
			return
		}
		last = m.send(t, "9001", http.MethodPost, "/photos/x", fmt.Sprintf("%s-%d", id, attempt), body)
		if last == "200 OK" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitReady waits until the sidecar says that it is ready.
func (m *machine) awaitReady(t *testing.T) {
	t.Helper()
	last := ""
	for began := time.Now(); time.Since(began) < hangTime; time.Sleep(100 * time.Millisecond) {
		if last = m.send(t, "9003", http.MethodGet, "/v1/readyz", "ready", ""); last == "200 OK" {
			return
		}
	}
	t.Errorf("%s is not ready, last: %s", m.name, last)
}

// send sends a request on a new connection and returns its status or error.
func (m *machine) send(t *testing.T, port, method, path, id, body string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
	defer cancel()
	r, err := platformtest.CallerRequest{
		ID: id, Method: method, Address: m.ip + ":" + port, Host: "h", Path: path, Timeout: 2 * time.Second, Body: body,
	}.HTTPRequest(ctx)
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	_ = response.Body.Close()
	return response.Status
}

// check reports a process that has ended or has held more than its machine has.
func (m *machine) check(t *testing.T) {
	t.Helper()
	m.meter.end()
	t.Logf("%s: memory %d MB, of these queues %d MB, %d descriptors", m.name, m.meter.memory>>20, m.meter.queues>>20, m.meter.descriptors)
	if !m.sidecar.Running() {
		t.Errorf("%s has ended: %v", m.name, m.sidecar.ExitError())
	}
	if m.meter.memory > memoryMB<<20 {
		t.Errorf("%s held %d MB, its machine has %d MB", m.name, m.meter.memory>>20, memoryMB)
	}
	if m.meter.descriptors > allowedDescriptors {
		t.Errorf("%s held %d descriptors, allowed %d", m.name, m.meter.descriptors, allowedDescriptors)
	}
}

// TestCrowds guards against clients that end or block a process, take more memory or descriptors
// than its machine has, or keep it from serving an ordinary client: while they are connected, and
// when they have left.
func TestCrowds(t *testing.T) {
	program := buildSidecar(t)
	for _, c := range crowds() {
		for _, target := range []target{
			{"route", "127.90.0.1:9001", "/book/x"},
			{"route of another instance", "127.90.0.2:9001", "/book/x"},
			{"no route", "127.90.0.1:9001", "/none/x"},
			{"ready path for callers", "127.90.0.1:9001", "/v1/readyz"},
			{"ready", "127.90.0.1:9003", "/v1/readyz"},
		} {
			if strings.HasPrefix(c.name, "answers") {
				target.path = strings.Replace(target.path, "/book/x", largePath, 1)
			}
			t.Run(c.name+"/"+target.name, func(t *testing.T) {
				machines := startMachines(t, program, "ledger", "wardrobe")
				leave := c.press(target)
				for _, m := range machines {
					m.awaitOrdinaryRequest(t, "beside-"+m.name)
					m.awaitReady(t)
				}
				leave()
				for _, m := range machines {
					m.awaitOrdinaryRequest(t, "after-"+m.name)
					m.check(t)
				}
				if !c.complete {
					checkRuns(t, machines)
				}
			})
		}
	}
}

// checkRuns reports requests of a crowd that were run although none was sent to its end.
func checkRuns(t *testing.T, machines []*machine) {
	t.Helper()
	for _, m := range machines {
		for i := range 2000 {
			if id := fmt.Sprintf("crowd-%d-0", i); m.upstream.RunCount(id) > 0 {
				t.Errorf("incomplete request %s was run at %s", id, m.name)
			}
		}
	}
}

// TestRequestsWithinLimits guards against limits that refuse a single request which the manifest allows,
// however many fields it has and however it is sent.
func TestRequestsWithinLimits(t *testing.T) {
	is := is.New(t)
	machines := startMachines(t, buildSidecar(t), "ledger", "wardrobe")
	for _, m := range machines {
		target := target{m.name, m.ip + ":9001", "/book/x"}
		for name, c := range map[string]crowd{
			"fields of one letter":    {opening: func(r request) string { return r.head("GET", 0) + strings.Repeat("a:\r\n", 15_900) + "\r\n" }},
			"fields of three letters": {opening: func(r request) string { return r.head("GET", 0) + shortFieldLines(0, shortFields) + "\r\n" }},
			"long field": {opening: func(r request) string {
				return r.head("GET", 1) + "X-Long: " + strings.Repeat("v", 15_900) + "\r\n\r\n"
			}},
			"largest body": {opening: func(r request) string { return withLength(maxBodyBytes)(r) + strings.Repeat("b", maxBodyBytes) }},
			"largest body in chunks": {opening: func(r request) string {
				return chunked(r) + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 1000, strings.Repeat("c", 1000)), maxBodyBytes/1000) + "0\r\n\r\n"
			}},
			"slow body": {
				opening: withLength(1000), pause: 100 * time.Millisecond,
				repeated: func(_ request, n int) string { return strings.Repeat("b", 100*max(min(10-n, 1), 0)) },
			},
			"slow head": {
				opening: nothing, pause: 20 * time.Millisecond,
				repeated: func(r request, n int) string {
					head := r.head("GET", 0) + "\r\n"
					return head[min(n, len(head)):min(n+1, len(head))]
				},
			},
		} {
			status, body := c.exchange(request{target: target, member: len(name)})
			t.Logf("%s at %s: status %d", name, m.name, status)
			is.Equal(status, http.StatusOK)
			is.True(strings.HasPrefix(body, "ui0 "))
		}
	}
	for _, m := range machines {
		m.check(t)
	}
}
