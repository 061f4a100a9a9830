package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"briarwell.dev/platform/platformtest"
)

const (
	// configApply and contact are bounds of the small deployments.
	configApply = 2500 * time.Millisecond
	contact     = 3 * time.Second
	// changeGap is the time between two manifests of the storm.
	changeGap = 330 * time.Millisecond
	// stormChanges is the number of its manifests.
	stormChanges = 6
	// silence is the time for which the store answers nothing.
	silence = 400 * time.Millisecond
)

// staleManifest changes the manifest in quick succession, lets the store answer nothing for a moment,
// and moves a route to another service when it answers again.
func staleManifest(f *fleet, trouble bool) (verdict, error) {
	const oldService, newService = "ledger", "patterns"
	f.routeTo = map[string]string{"moved": oldService}
	kinds := map[string]string{"moved": "idempotent", oldService: "idempotent", newService: "idempotent"}
	f.writeManifest(kinds)
	for i, z := range zones {
		f.add([]string{oldService, newService}[i/2%2], z, workTime)
	}
	if err := startAll(f.machines); err != nil {
		return verdict{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go f.probeReadiness(ctx)
	time.Sleep(lead)
	t := &traffic{fleet: f, service: "moved", method: http.MethodGet, perS: 60, budget: time.Second}
	ended := make(chan struct{})
	go func() { t.run(ctx); close(ended) }()
	time.Sleep(3 * time.Second)

	for i := range stormChanges {
		if i > 0 {
			time.Sleep(changeGap)
		}
		f.writeManifest(kinds)
	}
	time.Sleep(changeGap)
	if trouble {
		f.store.SetFaults(platformtest.StoreFaults{Silent: true})
		f.record.add("store: answers nothing")
	}
	time.Sleep(silence)
	f.store.SetFaults(platformtest.StoreFaults{})
	inTouch := time.Now().Add(contact)
	if trouble {
		f.record.add("store: answers every new call")
	}
	time.Sleep(changeGap)
	f.routeTo["moved"] = newService
	f.writeManifest(kinds)
	bound := time.Now().Add(configApply)
	if bound.Before(inTouch) {
		bound = inTouch
	}
	time.Sleep(time.Until(bound))
	f.record.add("from here on the newest manifest binds all machines")
	time.Sleep(6 * time.Second)
	stop()
	<-ended
	sent, stale := 0, 0
	var last time.Duration
	for _, a := range t.attempts() {
		if !a.sentAt.After(bound) {
			continue
		}
		sent++
		if strings.HasPrefix(a.text, "i-") && f.serviceOf(a.text) == oldService {
			stale++
			last = max(last, a.sentAt.Sub(bound))
		}
	}
	if sent == 0 {
		return verdict{}, fmt.Errorf("no request was sent")
	}
	return verdict{
		broken: stale > 0,
		text:   fmt.Sprintf("of %d requests after the bound %d were run by the service of the old manifest, the last one %s after it", sent, stale, last.Round(time.Millisecond)),
	}, nil
}

// serviceOf returns the service of the backend that wrote an answer.
func (f *fleet) serviceOf(text string) string {
	id, _, _ := strings.Cut(text, " ")
	for _, m := range f.machines {
		if strings.HasPrefix(id, "i-"+m.name+"-") {
			return m.service
		}
	}
	return ""
}
