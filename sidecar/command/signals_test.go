package command_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/platform/platformtest"
	"briarwell.dev/sidecar/command"
)

// settingsVariable is the environment variable with which the test binary runs as a sidecar.
const settingsVariable = "SIDECAR_TEST_SETTINGS"

// argumentsVariable is the environment variable with the arguments, separated by spaces, with which
// the test binary runs as a sidecar. EMPTY stands for an empty one.
const argumentsVariable = "SIDECAR_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		os.Exit(command.Run([]string{"--settings", path}, os.Stdout))
	}
	if line := os.Getenv(argumentsVariable); line != "" {
		arguments := strings.Fields(line)
		for i, argument := range arguments {
			arguments[i] = strings.TrimPrefix(argument, "EMPTY")
		}
		os.Exit(command.Run(arguments, os.Stdout))
	}
	os.Exit(m.Run())
}

// process is a sidecar that runs as a process of its own, beside an upstream.
type process struct {
	command  *exec.Cmd
	ip       string
	upstream *platformtest.Upstream
	settings string
	events   chan string
	// unawaited counts the events that were read while the test waited for others.
	unawaited map[string]int
	exited    chan error
}

// newProcess returns a sidecar that is to be started. Its addresses are in 127.subnet.0.0/16.
func newProcess(t *testing.T, subnet int) *process {
	t.Helper()
	is := is.New(t)
	store := &platformtest.Store{}
	store.WriteManifest(4)
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	ip := fmt.Sprintf("127.%d.0.1", subnet)
	p := &process{ip: ip, events: make(chan string, 1000), unawaited: make(map[string]int), exited: make(chan error, 1)}
	p.upstream = &platformtest.Upstream{ID: "u0", Service: "ledger", Address: ip + ":9000", Slots: 4, ServiceTime: 600 * time.Millisecond}
	l, err := net.Listen("tcp", p.upstream.Address)
	is.NoErr(err)
	server := &http.Server{Handler: p.upstream, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	p.settings = fmt.Sprintf(`{"instance":"i0","region":"r","failureDomain":"d","ip":%q,"service":"ledger","upstreamAddress":"%s:9000",
		"callerAddress":"%s:9001","requestAddress":"%s:9002","readyAddress":"%s:9003","reportAddress":"%s:9004","peerPort":9005,
		"metricsPort":9006,"storeAddress":%q,"holdMax":"10000ms","drain":"2500ms","grace":"6s","retryShare":0.2,"retrySlack":56,
		"retryWindow":"10s","linkMbps":0,"memoryMB":64}`, ip, ip, ip, ip, ip, ip, storeServer.Listener.Addr())
	return p
}

// start starts the sidecar, which reads its settings from the file at path.
func (p *process) start(t *testing.T, path string) {
	t.Helper()
	is := is.New(t)
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), settingsVariable+"="+path)
	output, err := p.command.StdoutPipe()
	is.NoErr(err)
	is.NoErr(p.command.Start())
	go p.readEvents(output)
	t.Cleanup(func() { _ = p.command.Process.Kill() })
}

// readEvents collects the events that the sidecar logs, then waits for its exit.
func (p *process) readEvents(output io.Reader) {
	for lines := bufio.NewScanner(output); lines.Scan(); {
		_, event, _ := strings.Cut(lines.Text(), "event=")
		event, _, _ = strings.Cut(event, " ")
		p.events <- event
	}
	close(p.events)
	p.exited <- p.command.Wait()
}

// awaitEvent waits until the sidecar has logged an event that was not awaited before.
func (p *process) awaitEvent(t *testing.T, event string) {
	t.Helper()
	if p.unawaited[event] > 0 {
		p.unawaited[event]--
		return
	}
	timeout := time.After(10 * time.Second)
	for {
		select {
		case e, ok := <-p.events:
			if !ok {
				t.Fatalf("sidecar ended before event %q: %v", event, <-p.exited)
			}
			if e == event {
				return
			}
			p.unawaited[e]++
		case <-timeout:
			t.Fatalf("no event %q", event)
		}
	}
}

// awaitExit waits until the sidecar has exited, and returns its error.
func (p *process) awaitExit() error {
	for range p.events { // Drains the events that nobody waits for.
	}
	return <-p.exited
}

// book sends a booking and returns the status, 0 if the connection ended without a response.
func (p *process) book(t *testing.T, id string) int {
	request, err := platformtest.CallerRequest{
		ID: id, Method: http.MethodPost, Address: p.ip + ":9001", Host: "h", Path: "/book/x", Timeout: 5 * time.Second, Body: "body",
	}.HTTPRequest(t.Context())
	if err != nil {
		t.Error(err)
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestHangupDuringStop guards against a SIGHUP that ends a sidecar in its graceful stop, which
// cuts the requests in flight without a response.
func TestHangupDuringStop(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	p := newProcess(t, 71)
	is.NoErr(os.WriteFile(path, []byte(p.settings), 0o600))
	p.start(t, path)
	p.awaitEvent(t, "started")
	served := false
	for attempt := 0; attempt < 50 && !served; attempt++ {
		_ = p.upstream.SendHeartbeat(p.ip + ":9004")
		served = p.book(t, fmt.Sprintf("first-%d", attempt)) == http.StatusOK
		time.Sleep(100 * time.Millisecond)
	}
	is.True(served)
	var booking sync.WaitGroup
	status := 0
	booking.Go(func() { status = p.book(t, "in-flight") })
	for p.upstream.RunCount("in-flight") == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
	p.awaitEvent(t, "stopping")
	for range 20 {
		is.NoErr(p.command.Process.Signal(syscall.SIGHUP))
		is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
		time.Sleep(20 * time.Millisecond)
	}
	booking.Wait()
	is.Equal(status, http.StatusOK)
	is.NoErr(p.awaitExit())
}

// TestHangupDuringStart guards against a SIGHUP that ends a sidecar before it serves: the
// process has just opened its settings file.
func TestHangupDuringStart(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(syscall.Mkfifo(path, 0o600))
	p := newProcess(t, 72)
	p.start(t, path)
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the sidecar reads the file
	is.NoErr(err)
	is.NoErr(p.command.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	is.NoErr(os.Remove(path))
	is.NoErr(os.WriteFile(path, []byte(p.settings), 0o600))
	_, err = io.WriteString(file, p.settings)
	is.NoErr(err)
	is.NoErr(file.Close())
	p.awaitEvent(t, "started")
	p.awaitEvent(t, "reloaded")
	is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
	is.NoErr(p.awaitExit())
}
