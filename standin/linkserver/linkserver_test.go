package linkserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"briarwell.dev/standin/linkserver"
)

// freeAddress returns an IP:PORT on which nothing listens.
func freeAddress(t *testing.T, ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// relay is a running relay in front of an echo server in region 1. Its clients connect from
// region 2.
type relay struct {
	t       *testing.T
	admin   string
	address string
}

func startRelay(t *testing.T, rules linkserver.Rules) *relay {
	echo, err := net.Listen("tcp", "127.0.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = echo.Close() })
	go func() {
		for conn, err := echo.Accept(); err == nil; conn, err = echo.Accept() {
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	r := &relay{t: t, admin: freeAddress(t, "127.0.0.1"), address: freeAddress(t, "127.0.1.2")}
	settings := linkserver.Settings{
		AdminAddress: r.admin, Rules: rules,
		PortForwards: []linkserver.PortForward{{Address: r.address, Target: echo.Addr().String()}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	go func() { done <- linkserver.New(rules, logger).Run(ctx, settings) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for {
		if conn, err := net.Dial("tcp", r.admin); err == nil {
			_ = conn.Close()
			return r
		}
		time.Sleep(time.Millisecond)
	}
}

func (r *relay) post(path string, body any) string {
	encoded, _ := json.Marshal(body)
	response, err := http.Post("http://"+r.admin+path, "application/json", bytes.NewReader(encoded))
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		r.t.Fatalf("%s: %s", path, text)
	}
	return string(text)
}

// dial connects to the relay from region 2.
func (r *relay) dial() net.Conn {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 2, 1)}}
	conn, err := dialer.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// sendAndReceive sends text and returns the text that the echo server sent back within the
// timeout, and the time that it took.
func sendAndReceive(conn net.Conn, text string, timeout time.Duration) (string, time.Duration) {
	startedAt := time.Now()
	_, _ = io.WriteString(conn, text)
	return receive(conn, len(text), timeout), time.Since(startedAt)
}

// receive returns the text of up to length bytes that arrived within the timeout.
func receive(conn net.Conn, length int, timeout time.Duration) string {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, length)
	n, _ := io.ReadFull(conn, buffer)
	return string(buffer[:n])
}

var region2To1 = linkserver.RegionPair{From: 2, To: 1}

// Guards against configured delays that are not applied, on which fault tests rely.
func TestDelays(t *testing.T) {
	is := is.New(t)
	r := startRelay(t, linkserver.Rules{
		ConnectionCostMillis: 10,
		Delays:               []linkserver.Delay{{From: 2, To: 1, Millis: 20}, {From: 1, To: 2, Millis: 30}},
	})
	conn := r.dial()
	text, first := sendAndReceive(conn, "a", 5*time.Second)
	is.Equal(text, "a")
	is.True(first >= 110*time.Millisecond) // in ms: 10 set-up, 50 for the handshake, 50 for the round trip of the data
	_, second := sendAndReceive(conn, "b", 5*time.Second)
	is.True(second >= 50*time.Millisecond && second < first)
	var counters []linkserver.LinkCounters
	response, err := http.Get("http://" + r.admin + "/admin/counters")
	is.NoErr(err)
	defer response.Body.Close()
	is.NoErr(json.NewDecoder(response.Body).Decode(&counters))
	for _, counter := range counters {
		is.Equal(counter.Bytes, uint64(2))
	}
}

// Guards against a one-way cut that lets data through, loses the data that it holds back,
// or also cuts the opposite direction.
func TestOneWayCut(t *testing.T) {
	for _, cut := range []linkserver.RegionPair{region2To1, {From: 1, To: 2}} {
		is := is.New(t)
		r := startRelay(t, linkserver.Rules{})
		conn := r.dial()
		text, _ := sendAndReceive(conn, "a", 5*time.Second)
		is.Equal(text, "a")
		r.post("/admin/rules", linkserver.Rules{Cuts: []linkserver.RegionPair{cut}})
		text, _ = sendAndReceive(conn, "bc", 100*time.Millisecond)
		is.Equal(text, "")
		newConn := r.dial()
		text, _ = sendAndReceive(newConn, "d", 100*time.Millisecond)
		is.Equal(text, "") // no new connection can be set up
		r.post("/admin/rules", linkserver.Rules{})
		is.Equal(receive(conn, 2, 5*time.Second), "bc")
		is.Equal(receive(newConn, 1, 5*time.Second), "d")
	}
}

// Guards against silenced connections that are closed or relay data again, and against new
// connections that are silenced too.
func TestSilencedConnections(t *testing.T) {
	is := is.New(t)
	r := startRelay(t, linkserver.Rules{})
	silenced := r.dial()
	text, _ := sendAndReceive(silenced, "a", 5*time.Second)
	is.Equal(text, "a")
	is.Equal(r.post("/admin/silence", region2To1), `{"connections":1}`)
	text, _ = sendAndReceive(silenced, "b", 100*time.Millisecond)
	is.Equal(text, "")
	text, _ = sendAndReceive(r.dial(), "c", 5*time.Second)
	is.Equal(text, "c")
	_ = silenced.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := silenced.Read(make([]byte, 1))
	is.True(err != nil && strings.Contains(err.Error(), "timeout")) // still open
}

// Guards against traffic that exceeds the bandwidth limit, and against lost bytes.
func TestBandwidth(t *testing.T) {
	is := is.New(t)
	r := startRelay(t, linkserver.Rules{Bandwidths: []linkserver.Bandwidth{{From: 2, To: 1, MegabitsPerSecond: 80}}})
	conn := r.dial()
	sent := bytes.Repeat([]byte("0123456789"), 500_000)
	startedAt := time.Now()
	go func() { _, _ = conn.Write(sent); _ = conn.(*net.TCPConn).CloseWrite() }()
	received, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(bytes.Equal(received, sent))
	is.True(time.Since(startedAt) >= 450*time.Millisecond) // 5 MB at 10 MB/s take 500 ms, less the last 50 ms
}

// Guards against invalid settings that are accepted in part, and against problems that are
// not all reported.
func TestSettingsErrors(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "link.json")
	body := `{"adminAddress":"x","listens":[{"address":"127.0.1.2:1","target":""}],"rules":{"delays":[{"from":1,"to":256,"millis":-1}]}}`
	is.NoErr(os.WriteFile(path, []byte(body), 0o600))
	_, err := linkserver.LoadSettings(path)
	for _, part := range []string{"adminAddress", "listens[0].target", "delays[0].to", "delays[0].millis"} {
		is.True(strings.Contains(fmt.Sprint(err), part))
	}
}
