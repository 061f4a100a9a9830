package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// Services and paths of the cases.
const (
	wardrobe     = "huvo11a"
	ledger       = "wuno96b"
	ledgerNew    = "kafi81c"
	browsePrefix = "/lepu270/"
	bookPrefix   = "/xapu221/"
)

// zones are the failure domains of the instances, one after another.
var zones = []string{"ikeja", "yaba"} //nolint:gochecknoglobals // Constant.

// startAll starts instances of a service and waits until they are ready.
func (w *world) startAll(service string, keyed bool, work time.Duration, names ...string) ([]*node, error) {
	nodes := make([]*node, 0, len(names))
	for i, name := range names {
		n, err := w.start(name, zones[i%len(zones)], service, keyed, work)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := w.awaitReady(n); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// browse returns a request for a random key.
func browse() (method, path string, key int) {
	return http.MethodGet, browsePrefix + "2f", rand.IntN(keyCount)
}

// heldKeys returns the number of keys that an upstream holds.
func heldKeys(u *upstream) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for key := range keyCount {
		if u.epochOf(key, time.Now()) > 0 {
			n++
		}
	}
	return n
}

// startKeyed starts four instances of the keyed service wardrobe with traffic, and waits until all keys
// are held.
func (w *world) startKeyed() ([]*node, error) {
	keyed := map[string]bool{wardrobe: true}
	w.writeManifest(1, keyed, manifestRoute{"r-browse", browsePrefix, "idempotent", wardrobe})
	go w.owners.watch(w.done)
	nodes, err := w.startAll(wardrobe, true, 30*time.Millisecond, "a", "b", "c", "d")
	if err != nil {
		return nil, err
	}
	if err := w.await(20*time.Second, "all keys are held", func() bool { return w.owners.unheld() == 0 }); err != nil {
		return nil, err
	}
	w.sendTraffic(40, func() []*node { return nodes }, browse)
	time.Sleep(3 * time.Second)
	return nodes, nil
}

// awayTime is how long the store is away in a drill.
const awayTime = time.Second

// drill makes the store go away for a moment and come back from a copy. Without trouble it does nothing.
func (w *world) drill(from storeCopy, copied time.Time) {
	if !w.trouble {
		w.note("no drill; schema_version %d", w.store.version())
		return
	}
	w.note("the store goes away at schema_version %d", w.store.version())
	w.store.leave()
	time.Sleep(awayTime)
	w.store.comeBack(from)
	w.note("the store is back from a copy of schema_version %d that was %.1f s old when the store went away", from.version, time.Since(copied).Seconds()-awayTime.Seconds())
}

// addServer adds the empty instance e and waits until it holds a share of the keys.
func (w *world) addServer() (*node, error) {
	e, err := w.start("e", zones[1], wardrobe, true, 30*time.Millisecond)
	if err != nil {
		return nil, err
	}
	err = w.await(10*time.Second, "the new server e holds keys", func() bool { return heldKeys(e.upstream) >= keyCount/10 })
	return e, err
}

// storm sends manifests in quick succession, which add a route each.
func (w *world) storm(first, count int) {
	routes := []manifestRoute{{"r-browse", browsePrefix, "idempotent", wardrobe}}
	for i := range count {
		routes = append(routes, manifestRoute{fmt.Sprintf("r-more-%d", i), fmt.Sprintf("/more-%d/", i), "idempotent", wardrobe})
		w.writeManifest(first+i, map[string]bool{wardrobe: true}, routes...)
		time.Sleep(330 * time.Millisecond)
	}
}

// rewindOwner plays a drill in which the store comes back from a copy, shortly after a server was added,
// then a few manifests, and then another server that is added.
func rewindOwner(w *world) (bool, error) {
	if _, err := w.startKeyed(); err != nil {
		return false, err
	}
	from, copied := w.store.copyContent(), time.Now()
	w.note("the store is copied at schema_version %d", from.version)
	if _, err := w.addServer(); err != nil {
		return false, err
	}
	w.drill(from, copied)
	time.Sleep(contactTime + time.Second)
	w.storm(2, 12)
	time.Sleep(time.Second)
	if _, err := w.start("f", zones[0], wardrobe, true, 30*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	w.summary("all", w.began, time.Now())
	return w.owners.broken(), nil
}

// rewindConfig plays the same drill, and then a manifest that moves a route to another service and
// removes another route.
func rewindConfig(w *world) (bool, error) {
	keyed := map[string]bool{wardrobe: true, ledger: false, ledgerNew: false}
	browseRoute := manifestRoute{"r-browse", browsePrefix, "idempotent", wardrobe}
	bookRoute := manifestRoute{"r-book", bookPrefix, "non_idempotent", ledger}
	oldRoute, moreRoute := manifestRoute{"r-old", "/old/", "non_idempotent", ledger}, manifestRoute{"r-more", "/more/", "idempotent", ledger}
	w.writeManifest(1, keyed, browseRoute, bookRoute, oldRoute)
	nodes, err := w.startAll(wardrobe, true, 30*time.Millisecond, "a", "b", "c", "d")
	if err != nil {
		return false, err
	}
	more, err := w.startAll(ledger, false, 30*time.Millisecond, "l1", "l2")
	if err != nil {
		return false, err
	}
	nodes = append(nodes, more...)
	if more, err = w.startAll(ledgerNew, false, 30*time.Millisecond, "m1", "m2"); err != nil {
		return false, err
	}
	nodes = append(nodes, more...)
	if err := w.await(20*time.Second, "all keys are held", func() bool { return w.owners.unheld() == 0 }); err != nil {
		return false, err
	}
	w.sendTraffic(30, func() []*node { return nodes }, browse)
	var turn atomic.Int64
	w.sendTraffic(30, func() []*node { return nodes }, func() (string, string, int) {
		if turn.Add(1)%2 == 0 {
			return http.MethodPost, "/old/1", -1
		}
		return http.MethodPost, bookPrefix + "2f", -1
	})
	time.Sleep(3 * time.Second)
	from, copied := w.store.copyContent(), time.Now()
	w.note("the store is copied at schema_version %d", from.version)
	if _, err := w.addServer(); err != nil {
		return false, err
	}
	w.writeManifest(2, keyed, browseRoute, bookRoute, oldRoute, moreRoute)
	time.Sleep(time.Second)
	w.drill(from, copied)
	if w.trouble {
		// What the operator wrote is written again.
		w.writeManifest(2, keyed, browseRoute, bookRoute, oldRoute, moreRoute)
	}
	time.Sleep(contactTime + time.Second)
	w.writeManifest(3, keyed, browseRoute, manifestRoute{"r-book", bookPrefix, "non_idempotent", ledgerNew}, moreRoute)
	acked := time.Now()
	time.Sleep(16 * time.Second)
	return w.oldConfig(acked.Add(configApply + outerTime)), nil
}

// oldConfig reports whether requests that were sent after a time were handled as only the manifest
// before the newest one allows.
func (w *world) oldConfig(from time.Time) bool {
	w.mu.Lock()
	sent, old, removed := 0, 0, 0
	for _, e := range w.order {
		if e.sent.Before(from) || e.ended.IsZero() || strings.HasPrefix(e.path, browsePrefix) {
			continue
		}
		sent++
		for _, by := range e.runs {
			switch {
			case !strings.HasPrefix(by, ledger):
			case strings.HasPrefix(e.path, bookPrefix):
				old++
			default:
				removed++
			}
		}
	}
	w.mu.Unlock()
	w.note("CONFIG: of %d requests sent more than %.1f s after the acknowledgement, %d were run by the old service of their route, %d on the removed route", sent, (configApply + outerTime).Seconds(), old, removed)
	return old+removed > 0
}

// foreignReports sends count liveness reports of another writer for an upstream, without the given fields.
// The writer has a count of its own.
func (w *world) foreignReports(n *node, count int, interval time.Duration, without ...string) {
	if !w.trouble {
		return
	}
	u := n.upstream
	client := &http.Client{Timeout: ackTimeout}
	go func() {
		for sequence := 1000; sequence < 1000+count; sequence++ {
			u.mu.Lock()
			fields := map[string]any{
				"service": n.service, "address": n.address(upstreamPort), "zone": n.zone, "version": "v1", "max_concurrency": slots, "state": "ready",
				"cold_remaining": "0ms", "sequence": sequence, "born": u.born, "holds": [][3]uint64{}, "released": [][3]any{},
			}
			u.mu.Unlock()
			for _, field := range without {
				delete(fields, field)
			}
			body, err := json.Marshal(fields)
			if err != nil {
				panic(err)
			}
			status := 0
			if response, err := client.Post("http://"+n.address(reportPort)+"/v1/rpc?call=instances.heartbeat&of="+url.QueryEscape(u.id), "application/json", bytes.NewReader(body)); err == nil {
				status = response.StatusCode
				_ = response.Body.Close()
			}
			w.note("another writer's report for %s, without the fields %v: status %d", u.id, without, status)
			select {
			case <-w.done:
				return
			case <-time.After(interval):
			}
		}
	}()
}

// foreignOwner plays liveness reports of another writer that lack the lists of keys, and a server that is
// added.
func foreignOwner(w *world) (bool, error) {
	nodes, err := w.startKeyed()
	if err != nil {
		return false, err
	}
	e, err := w.start("e", zones[1], wardrobe, true, 30*time.Millisecond)
	if err != nil {
		return false, err
	}
	time.Sleep(1800 * time.Millisecond)
	w.foreignReports(nodes[0], 10, 300*time.Millisecond, "holds", "released")
	time.Sleep(12 * time.Second)
	w.note("the new server holds %d keys", heldKeys(e.upstream))
	w.summary("all", w.began, time.Now())
	return w.owners.broken(), nil
}

// foreignDrain plays one liveness report of another writer that lacks fields, after which the upstream
// drains.
func foreignDrain(w *world) (bool, error) {
	w.writeManifest(1, map[string]bool{ledger: false}, manifestRoute{"r-book", bookPrefix, "non_idempotent", ledger})
	nodes, err := w.startAll(ledger, false, 30*time.Millisecond, "a", "b", "c")
	if err != nil {
		return false, err
	}
	w.sendTraffic(60, func() []*node { return nodes }, func() (string, string, int) { return http.MethodPost, bookPrefix + "2f", -1 })
	time.Sleep(6 * time.Second)
	w.foreignReports(nodes[0], 1, heartbeatInterval, "zone", "version", "cold_remaining")
	time.Sleep(2 * time.Second)
	u := nodes[0].upstream
	w.note("%s begins to drain", u.id)
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	if err := w.await(10*time.Second, "the drain was acknowledged", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return !u.ackedDraining.IsZero()
	}); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	u.deregister()
	return w.lateArrivals(u), nil
}

// lateArrivals reports whether requests reached an upstream later than drainTime after the
// acknowledgement of its drain.
func (w *world) lateArrivals(u *upstream) bool {
	u.mu.Lock()
	acked := u.ackedDraining
	u.mu.Unlock()
	w.mu.Lock()
	late, latest := 0, time.Duration(0)
	for _, e := range w.order {
		for _, a := range e.arrivals {
			if a.upstream == u && a.at.After(acked.Add(drainTime)) {
				late++
				latest = max(latest, a.at.Sub(acked))
			}
		}
	}
	w.mu.Unlock()
	w.note("DRAIN: %d requests reached %s later than %d ms after the acknowledgement, the last one %d ms after it", late, u.id, drainTime.Milliseconds(), latest.Milliseconds())
	return late > 0
}
