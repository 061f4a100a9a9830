package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// serverCount is the number of servers of the keyed service.
	serverCount = 115
	// replacedAtOnce servers are replaced each second.
	replacedAtOnce = 4
	// recoveryTime is recovery in the settings.
	recoveryTime = 15 * time.Second
	// graceTime is grace in the settings.
	graceTime = 6 * time.Second
	// fleetWork is the time that a request takes.
	fleetWork = 20 * time.Millisecond
)

// fleet holds the instances that get requests.
type fleet struct {
	mu    sync.Mutex
	nodes []*node
}

func (f *fleet) list() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node{}, f.nodes...)
}

func (f *fleet) add(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
}

func (f *fleet) remove(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.nodes {
		if other == n {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			return
		}
	}
}

// rowBound plays a release in which all servers of a service are replaced, followed by a final fault that
// kills all processes of the system.
func rowBound(w *world) (bool, error) {
	w.writeManifest(1, map[string]bool{wardrobe: true}, manifestRoute{"r-browse", browsePrefix, "idempotent", wardrobe})
	var live fleet
	for i := range serverCount {
		n, err := w.start(fmt.Sprintf("s%03d", i), zones[i%len(zones)], wardrobe, true, fleetWork)
		if err != nil {
			return false, err
		}
		live.add(n)
	}
	for _, n := range live.list() {
		if err := w.awaitReady(n); err != nil {
			return false, err
		}
	}
	if err := w.await(25*time.Second, "all keys are held", func() bool { return w.owners.unheld() == 0 }); err != nil {
		return false, err
	}
	w.sendTraffic(150, live.list, browse)
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.replaceAll(&live)
	}
	time.Sleep(4 * time.Second)
	w.noteRows()
	w.note("%d keys are held by no server", w.owners.unheld())
	before := w.servedShare(time.Now().Add(-4*time.Second), time.Now().Add(-time.Second))
	w.note("final fault: all processes of the system are killed")
	nodes := live.list()
	for _, n := range nodes {
		w.kill(n)
	}
	time.Sleep(time.Second)
	for _, n := range nodes {
		if err := w.launch(n); err != nil {
			return false, err
		}
	}
	back := time.Now()
	w.note("the processes are back")
	time.Sleep(recoveryTime)
	from := time.Now()
	time.Sleep(8 * time.Second)
	after := w.servedShare(from, time.Now().Add(-1500*time.Millisecond))
	w.noteRows()
	w.note("%d keys are held by no server, %d of %d processes run", w.owners.unheld(), running(nodes), len(nodes))
	w.note("RECOVER: %.1f%% served before the final fault, %.1f%% of the requests sent later than %.0f s after the processes were back", 100*before, 100*after, from.Sub(back).Seconds())
	return before >= 0.25 && after < 0.25, nil
}

// running returns how many of the sidecars have not ended.
func running(nodes []*node) int {
	count := 0
	for _, n := range nodes {
		select {
		case <-n.exited:
		default:
			count++
		}
	}
	return count
}

// replaceAll replaces all servers, replacedAtOnce each second: the new one starts first, then the old one
// drains, deregisters and ends, and its sidecar gets SIGTERM.
func (w *world) replaceAll(live *fleet) {
	var replacing sync.WaitGroup
	for i, old := range live.list() {
		replacing.Go(func() { w.replace(live, old, fmt.Sprintf("t%03d", i)) })
		if i%replacedAtOnce == replacedAtOnce-1 {
			time.Sleep(time.Second)
		}
	}
	replacing.Wait()
	w.note("the servers are replaced")
}

func (w *world) replace(live *fleet, old *node, name string) {
	n, err := w.start(name, old.zone, wardrobe, true, fleetWork)
	if err != nil {
		w.note("%s not started: %v", name, err)
		return
	}
	if err := w.awaitReady(n); err != nil {
		w.note("%v", err)
	}
	live.add(n)
	u := old.upstream
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	// Without an acknowledgement it ends some seconds later.
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		u.mu.Lock()
		acked := u.ackedDraining
		u.mu.Unlock()
		if !acked.IsZero() && time.Since(acked) > drainTime+time.Second {
			break
		}
	}
	live.remove(old)
	time.Sleep(200 * time.Millisecond)
	u.deregister()
	_ = old.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(graceTime):
		w.kill(old)
	}
}

// noteRows notes the size of the rows that were written.
func (w *world) noteRows() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.note("the store: largest row written %d bytes, %d transactions refused with a row of more than %d bytes", w.store.largest, w.store.refused, rowBytes)
}

// servedShare returns the share of the requests sent in a time that were served.
func (w *world) servedShare(from, to time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent, served := 0, 0
	for _, e := range w.order {
		if e.sent.Before(from) || !e.sent.Before(to) || e.ended.IsZero() {
			continue
		}
		sent++
		if e.status == 200 {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}
