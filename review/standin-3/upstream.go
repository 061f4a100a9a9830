package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

const (
	keyCount = 1 << 16
	// heartbeatInterval is heartbeat_interval in the settings, releaseInterval the time between reports
	// while keys are being released, ackTimeout the time within which a report must be answered.
	heartbeatInterval = 870 * time.Millisecond
	releaseInterval   = 100 * time.Millisecond
	ackTimeout        = time.Second
	slots             = 12
	queueLength       = 48
)

// upstream is a stand-in of an application server beside a sidecar.
type upstream struct {
	world   *world
	node    *node
	id      string
	keyed   bool
	work    time.Duration
	server  *http.Server
	client  *http.Client
	slotsIn chan struct{}
	ended   chan struct{}

	mu       sync.Mutex
	up       bool
	draining bool
	born     int64
	sequence int64
	waiting  int
	until    time.Time
	// held has the epoch of each key that is held, 0 for none; leaving that of each key that was left
	// out of a grant and is still worked on; seen the highest epoch of each key.
	held, leaving, seen []uint64
	busy                []int
	released            [][3]any
	// ackedDraining is when the first report with state draining was acknowledged.
	ackedDraining time.Time
}

func newUpstream(w *world, n *node, keyed bool, work time.Duration) (*upstream, error) {
	u := &upstream{
		world: w, node: n, id: fmt.Sprintf("i-%s-%04x", n.name, rand.IntN(1<<16)), keyed: keyed, work: work, born: time.Now().UnixMilli(), up: true,
		slotsIn: make(chan struct{}, slots), ended: make(chan struct{}),
		client: &http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		held:   make([]uint64, keyCount), leaving: make([]uint64, keyCount), seen: make([]uint64, keyCount), busy: make([]int, keyCount),
	}
	listener, err := listen(n.address(upstreamPort))
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// listen binds an address. A process that is being started may hold a copy of a socket that was closed
// just before, until it runs its program.
func listen(address string) (net.Listener, error) {
	var err error
	for range 20 {
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, err
}

// end makes the upstream's process end.
func (u *upstream) end() {
	u.mu.Lock()
	if u.up {
		u.up = false
		close(u.ended)
	}
	u.mu.Unlock()
	_ = u.server.Close()
}

// report sends liveness reports until the upstream ends.
func (u *upstream) report() {
	pause := releaseInterval // Until the sidecar answers for the first time.
	for {
		if acked, releasing := u.sendReport(); acked {
			pause = heartbeatInterval
			if releasing {
				pause = releaseInterval
			}
		}
		select {
		case <-u.ended:
			return
		case <-time.After(pause):
		}
	}
}

// sendReport sends one report. It reports whether it was acknowledged, and whether keys are still to be
// released.
func (u *upstream) sendReport() (acked, releasing bool) {
	u.mu.Lock()
	u.sequence++
	body := map[string]any{
		"service": u.node.service, "address": u.node.address(upstreamPort), "zone": u.node.zone, "version": "v1", "max_concurrency": slots,
		"state": "ready", "cold_remaining": "0ms", "sequence": u.sequence, "born": u.born,
	}
	if u.draining {
		body["state"] = "draining"
	}
	var releases int
	if u.keyed {
		releases = len(u.released)
		body["holds"], body["released"] = u.reportedHolds(), append([][3]any{}, u.released...)
	}
	draining := u.draining
	u.mu.Unlock()
	text, err := json.Marshal(body)
	if err != nil {
		return false, false
	}
	sent := time.Now()
	answer, err := u.call("instances.heartbeat", text)
	if err != nil {
		return false, false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.released = u.released[releases:]
	if draining && u.ackedDraining.IsZero() {
		u.ackedDraining = time.Now()
		u.world.note("%s: the report with state draining was acknowledged", u.id)
	}
	if u.keyed && u.up {
		u.applyGrant(sent, answer)
	}
	for _, epoch := range u.leaving {
		if epoch > 0 {
			releasing = true
		}
	}
	return true, releasing || len(u.released) > 0
}

// call sends a call to the sidecar on the same machine and returns the answer to an acknowledged one.
func (u *upstream) call(name string, body []byte) ([]byte, error) {
	response, err := u.client.Post("http://"+u.node.address(reportPort)+"/v1/rpc?call="+name+"&of="+url.QueryEscape(u.id), "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, 4<<10+1))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode/100 != 2 || len(answer) > 4<<10:
		return nil, fmt.Errorf("status %d, %d bytes", response.StatusCode, len(answer))
	default:
		return answer, nil
	}
}

// deregister says that the upstream leaves, and ends it.
func (u *upstream) deregister() {
	u.mu.Lock()
	body := fmt.Appendf(nil, `{"born":%d}`, u.born)
	u.mu.Unlock()
	if _, err := u.call("instances.deregister", body); err != nil {
		u.world.note("%s: deregistration: %v", u.id, err)
	}
	u.end()
}

// epochOf returns the epoch of a key that is held or still worked on, 0 for none. The caller holds u.mu.
func (u *upstream) epochOf(key int, now time.Time) uint64 {
	if u.held[key] > 0 && now.Before(u.until) {
		return u.held[key]
	}
	return u.leaving[key]
}

// reportedHolds returns the rows of holds. The caller holds u.mu.
func (u *upstream) reportedHolds() [][3]uint64 {
	rows, now := [][3]uint64{}, time.Now()
	for key := range keyCount {
		epoch := u.epochOf(key, now)
		if epoch == 0 {
			continue
		}
		if last := len(rows) - 1; last >= 0 && rows[last][2] == epoch && rows[last][1] == uint64(key-1) {
			rows[last][1] = uint64(key)
			continue
		}
		rows = append(rows, [3]uint64{uint64(key), uint64(key), epoch})
	}
	return rows
}

// applyGrant applies the answer to a report that was sent at a time. The caller holds u.mu.
func (u *upstream) applyGrant(sent time.Time, answer []byte) {
	var grant struct {
		Holds    *[][4]any `json:"holds"`
		HoldTime string    `json:"hold_time"`
	}
	if json.Unmarshal(answer, &grant) != nil || grant.Holds == nil {
		return
	}
	holdTime, err := time.ParseDuration(grant.HoldTime)
	if err != nil {
		return
	}
	now := time.Now()
	if !now.Before(u.until) {
		clear(u.held) // They have expired: nothing of them is reported as released.
	}
	next := make([]uint64, keyCount)
	for _, r := range *grant.Holds {
		first, _ := r[0].(float64)
		last, _ := r[1].(float64)
		epoch, _ := r[2].(float64)
		if u.accepts(int(first), int(last), uint64(epoch)) {
			for key := int(first); key <= int(last); key++ {
				next[key] = uint64(epoch)
			}
		}
	}
	for key := range keyCount {
		switch before := u.held[key]; {
		case next[key] == before:
		case next[key] > 0:
			u.seen[key] = next[key]
			u.world.owners.take(u, key, next[key])
		case u.busy[key] > 0:
			u.leaving[key] = before
		default:
			u.release(key)
		}
	}
	u.held, u.until = next, sent.Add(holdTime)
}

// accepts reports whether no key of a row was seen with a higher epoch. The caller holds u.mu.
func (u *upstream) accepts(first, last int, epoch uint64) bool {
	for key := first; key <= last; key++ {
		if u.seen[key] > epoch {
			return false
		}
	}
	return true
}

// release records that a key was released, with the handover token of its neighbour. The caller holds
// u.mu.
func (u *upstream) release(key int) {
	if last := len(u.released) - 1; last >= 0 && u.released[last][1] == key-1 {
		u.released[last][1] = key
		return
	}
	u.released = append(u.released, [3]any{key, key, fmt.Sprintf("%016x", rand.Uint64())})
}

// refuse answers a request that was not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// signature is the signature of a response body.
func signature(id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id+"\n"), body...))
	return hex.EncodeToString(sum[:8])
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set("X-Instance-Id", u.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	arrived := time.Now()
	u.world.recordArrival(u, id)
	deadline, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	expected := r.Header.Get("X-Expect-Instance")
	body, readErr := io.ReadAll(r.Body)
	switch {
	case id == "" || err != nil || readErr != nil:
		refuse(w, http.StatusBadRequest)
		return
	case expected != "" && expected != u.id:
		w.Header().Set("X-Instance-Id", u.id)
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	full := u.waiting >= queueLength
	if !full {
		u.waiting++
	}
	u.mu.Unlock()
	if full {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	end := arrived.Add(time.Duration(deadline) * time.Millisecond)
	inTime := u.awaitSlot(r, end)
	u.mu.Lock()
	u.waiting--
	u.mu.Unlock()
	if !inTime {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slotsIn }()
	key := -1
	if u.keyed {
		key, err = strconv.Atoi(r.Header.Get("X-Shard-Key"))
		if err != nil || !u.begin(key) {
			refuse(w, http.StatusMisdirectedRequest)
			return
		}
		defer u.finish(key)
	}
	u.world.recordRun(u, id, r.Header.Get("X-Caller-Service"), key)
	status := http.StatusOK
	select {
	case <-time.After(u.work):
	case <-time.After(time.Until(end)):
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		return
	case <-u.ended:
		return
	}
	answer := fmt.Appendf(nil, "%s %s %s %d", u.id, r.Method, r.RequestURI, len(body))
	w.Header().Set("X-Server-Signature", signature(u.id, answer))
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(u.slotsIn), slots))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// awaitSlot waits for a slot until a time, and reports whether it has taken one.
func (u *upstream) awaitSlot(r *http.Request, end time.Time) bool {
	select {
	case u.slotsIn <- struct{}{}:
		return true
	case <-time.After(time.Until(end)):
	case <-r.Context().Done():
	case <-u.ended:
	}
	return false
}

// begin begins to work on a key, and returns false if it is not held.
func (u *upstream) begin(key int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if key < 0 || key >= keyCount || u.held[key] == 0 || !time.Now().Before(u.until) {
		return false
	}
	u.busy[key]++
	return true
}

func (u *upstream) finish(key int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.busy[key]--; u.busy[key] == 0 && u.leaving[key] > 0 {
		u.leaving[key] = 0
		u.release(key)
	}
}
