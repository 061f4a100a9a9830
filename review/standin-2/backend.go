package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const keyCount = 65536

// heartbeatInterval, drainTime and graceTime are those of the users' small deployments.
const (
	heartbeatInterval = 870 * time.Millisecond
	drainTime         = 2500 * time.Millisecond
	graceTime         = 6 * time.Second
)

// keyRow is a row [from, to, fence] of a liveness report.
type keyRow [3]uint64

// backend is a sound application backend, as PROTOCOL.md describes it. It holds the keys that the
// sidecar on its machine grants it, and reports to that sidecar.
type backend struct {
	record  *record
	machine *machine
	id      string
	born    int64
	service string
	address string
	keyed   bool
	slots   chan struct{}
	work    time.Duration

	server *http.Server
	stop   chan struct{}
	// drained is closed once a report with the state draining is acknowledged.
	drained chan struct{}

	mu       sync.Mutex
	sequence int
	state    string
	holds    []keyRow
	until    time.Time
	// seen has the highest fence of each key.
	seen [keyCount]uint64
	// running counts the requests at work by key.
	running map[int]int
	// finishing are rows that are left out of the latest grant while requests are at work on them.
	finishing []keyRow
	released  [][3]any
	tokens    int
}

func startBackend(m *machine, id string, work time.Duration) (*backend, error) {
	b := &backend{
		record: m.fleet.record, machine: m, id: id, born: time.Now().UnixMilli(), service: m.service, address: m.address(portApp),
		keyed: m.fleet.keyed[m.service], slots: make(chan struct{}, slotsPerBackend), work: work, stop: make(chan struct{}), drained: make(chan struct{}),
		state: "ready", running: make(map[int]int),
	}
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	go b.report()
	return b, nil
}

// kill ends the backend at once, with all its connections.
func (b *backend) kill() {
	close(b.stop)
	_ = b.server.Close()
}

func (b *backend) report() {
	client := &http.Client{Timeout: time.Second}
	for {
		wait := heartbeatInterval
		if b.heartbeat(client) {
			wait = 90 * time.Millisecond
		}
		select {
		case <-b.stop:
			return
		case <-time.After(wait):
		}
	}
}

// heartbeat sends one liveness report. It reports whether another one is due within 100 ms.
func (b *backend) heartbeat(client *http.Client) bool {
	b.mu.Lock()
	b.expire()
	b.sequence++
	holds := append(append([]keyRow{}, b.holds...), b.finishing...)
	released := append([][3]any{}, b.released...)
	draining := b.state == "draining"
	body, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.machine.zone, "version": "v1", "max_concurrency": slotsPerBackend,
		"state": b.state, "cold_remaining": "0ms", "sequence": b.sequence, "born": b.born, "holds": holds, "released": released,
	})
	b.mu.Unlock()
	if err != nil {
		panic(err)
	}
	sent := time.Now()
	response, err := client.Post("http://"+b.machine.address(portControl)+"/v1/rpc?call=instances.heartbeat&of="+b.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, 4097))
	if err != nil || response.StatusCode/100 != 2 || len(answer) > 4096 || time.Since(sent) > time.Second {
		return false
	}
	var grant struct {
		Holds    *[][4]any `json:"holds"`
		HoldTime string    `json:"hold_time"`
	}
	if json.Unmarshal(answer, &grant) != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = b.released[len(released):]
	if draining && !b.isDrained() {
		close(b.drained)
	}
	if grant.Holds == nil {
		return len(b.finishing) > 0
	}
	holdTime, err := time.ParseDuration(grant.HoldTime)
	if err != nil {
		return false
	}
	b.apply(sent, holdTime, *grant.Holds)
	return len(b.finishing)+len(b.released) > 0
}

func (b *backend) isDrained() bool {
	select {
	case <-b.drained:
		return true
	default:
		return false
	}
}

// leave ends the backend as planned: it reports that it drains, goes on serving for the drain time and
// a little longer after that was acknowledged, deregisters and exits.
func (b *backend) leave() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	select {
	case <-b.drained:
		b.record.add("backend %s: draining is acknowledged", b.id)
	case <-time.After(10 * time.Second):
		b.record.add("backend %s: draining is not acknowledged", b.id)
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	body := fmt.Sprintf(`{"born":%d}`, b.born)
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+b.machine.address(portControl)+"/v1/rpc?call=instances.deregister&of="+b.id, "application/json", strings.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
	b.record.add("backend %s: exits", b.id)
	b.kill()
}

// apply replaces the held rows by those of a grant.
func (b *backend) apply(sent time.Time, holdTime time.Duration, rows [][4]any) {
	b.expire()
	granted := make([]keyRow, 0, len(rows))
	var mine [keyCount]bool
	for _, row := range rows {
		first, last, fence := number(row[0]), number(row[1]), number(row[2])
		accepted := first <= last && last < keyCount
		for k := first; accepted && k <= last; k++ {
			accepted = b.seen[k] <= fence
		}
		if !accepted {
			continue
		}
		for k := first; k <= last; k++ {
			b.seen[k], mine[k] = fence, true
		}
		granted = append(granted, keyRow{first, last, fence})
	}
	for _, old := range b.holds {
		for first := old[0]; first <= old[1]; first++ {
			if mine[first] {
				continue
			}
			last := first
			for last < old[1] && !mine[last+1] {
				last++
			}
			b.finishing = append(b.finishing, keyRow{first, last, old[2]})
			first = last
		}
	}
	b.holds, b.until = granted, sent.Add(holdTime)
	b.release()
}

// release moves the finishing rows without work to the released ones.
func (b *backend) release() {
	kept := b.finishing[:0]
	for _, row := range b.finishing {
		busy := false
		for key, count := range b.running {
			busy = busy || count > 0 && row[0] <= uint64(key) && uint64(key) <= row[1]
		}
		if busy {
			kept = append(kept, row)
			continue
		}
		b.tokens++
		b.released = append(b.released, [3]any{row[0], row[1], fmt.Sprintf("%016x", b.tokens)})
	}
	b.finishing = kept
}

// expire drops the held rows after their hold time. An expired lease is not reported as released.
func (b *backend) expire() {
	if len(b.holds) > 0 && !time.Now().Before(b.until) {
		b.holds = nil
	}
}

func number(v any) uint64 {
	n, _ := v.(float64)
	return uint64(n)
}

func (b *backend) holdsKey(key uint64) bool {
	b.expire()
	for _, row := range b.holds {
		if row[0] <= key && key <= row[1] {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == healthPath {
		w.Header().Set("X-Instance-Id", b.id)
		return
	}
	w.Header().Set("X-Request-Id", id)
	key, keyErr := strconv.ParseUint(r.Header.Get("X-Shard-Key"), 10, 16)
	b.mu.Lock()
	rejected := r.Header.Get("X-Expect-Instance") != b.id || b.keyed && (keyErr != nil || !b.holdsKey(key))
	if !rejected {
		b.running[int(key)]++
	}
	b.mu.Unlock()
	if rejected {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.running[int(key)]--; b.running[int(key)] == 0 {
			delete(b.running, int(key))
		}
		b.release()
	}()
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	b.record.add("run %s at backend %s of %s", id, b.id, b.machine.name)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(b.work)
	w.Header().Set("X-Server-Signature", "signed-by-"+b.id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(b.slots), slotsPerBackend))
	_, _ = fmt.Fprintf(w, "%s %s %s %d", b.id, r.Method, r.RequestURI, len(body))
}
