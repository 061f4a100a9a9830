package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"briarwell.dev/platform/platformtest"
)

const (
	// restrictedRoute and keyedRestrictedRoute are the names of the routes that are restricted
	// to regions, of the service without keys and of the keyed one.
	restrictedRoute      = "local"
	keyedRestrictedRoute = "near"
	// outOfUseWithin is the bound of an evacuation, as in the settings.
	outOfUseWithin = 5 * time.Second
	// coldStart is how long an upstream is cold after its start, as in the manifest.
	coldStart = 3 * time.Second
	// maxColdRequests is the number of requests that a cold upstream may get in any second:
	// cold_per_s 15, coldOvershoot 1.5 and coldSlack 8.
	maxColdRequests = 30
	// lateArrivalTime is the time after a fault of the link to an upstream in which requests
	// may arrive that the fault held back.
	lateArrivalTime = time.Second
	// unkeyedReturnTimeout bounds the time until an upstream without keys gets requests after
	// the faults: that until the sidecars know of its return, and its cold start.
	unkeyedReturnTimeout = outOfUseWithin + coldStart
	// operatorTimeout bounds the attempts of the operator to write a row. Faults of the store
	// can follow one another.
	operatorTimeout     = 30 * time.Second
	operatorCallTimeout = 500 * time.Millisecond
)

// allowedRegions returns the regions to which a route is restricted, nil if it is not.
func allowedRegions(route string) []string {
	return map[string][]string{restrictedRoute: {"r0"}, keyedRestrictedRoute: {"r0", "r1"}}[route]
}

// routeOf returns the name of the route in the ID of a request.
func routeOf(id string) string {
	route, _, _ := strings.Cut(id, "-")
	return route
}

// placement has the evacuations that the operator has written. It is safe for concurrent use.
type placement struct {
	mu sync.Mutex
	// busy has the failure domains that an evacuation is applied to, acknowledgedAt the times
	// at which the store acknowledged those in force, and returned the domains returned to use.
	busy           map[string]bool
	acknowledgedAt map[string]time.Time
	returned       map[string]bool
}

// evacuatedAt returns the time at which the store acknowledged that a failure domain is out of
// use. It returns false if it is in use.
func (r *Runner) evacuatedAt(domain string) (time.Time, bool) {
	r.placement.mu.Lock()
	defer r.placement.mu.Unlock()
	at, ok := r.placement.acknowledgedAt[domain]
	return at, ok
}

// evacuateDomains applies an evacuation to one failure domain or to all. With all of them, the
// keys can't move, so that the upstreams keep those for which they must get no requests.
func (r *Runner) evacuateDomains(f Fault) error {
	domains := map[string]bool{r.instances[f.Instance].domain: true}
	for _, in := range r.instances {
		if f.Mode == Silence {
			domains[in.domain] = true
		}
	}
	errs := make(chan error, len(domains))
	for domain := range domains {
		go func() { errs <- r.evacuate(domain, outOfUseWithin+f.Duration) }()
	}
	var err error
	for range domains {
		err = errors.Join(err, <-errs)
	}
	return err
}

// evacuate takes a failure domain out of use for a time, unless another fault does.
func (r *Runner) evacuate(domain string, length time.Duration) error {
	p := &r.placement
	p.mu.Lock()
	busy := p.busy[domain]
	if p.busy == nil {
		p.busy, p.acknowledgedAt, p.returned = make(map[string]bool), make(map[string]time.Time), make(map[string]bool)
	}
	p.busy[domain] = true
	p.mu.Unlock()
	if busy {
		return nil
	}
	row := platformtest.Row{Table: "op", Key: "evacuate/" + domain, Value: []byte("{}")}
	if err := r.writeAsOperator("put_rows", row); err != nil {
		return err
	}
	p.mu.Lock()
	p.acknowledgedAt[domain] = time.Now()
	p.mu.Unlock()
	time.Sleep(length)
	p.mu.Lock()
	delete(p.acknowledgedAt, domain) // The deletion may take effect before it is acknowledged.
	p.mu.Unlock()
	err := r.writeAsOperator("delete_rows", row)
	time.Sleep(lostResponseApplyDelay) // A deletion whose response was lost may apply until then.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returned[domain] = true
	r.checker.recordEvacuation()
	delete(p.busy, domain)
	return err
}

// storeAddress returns the address of the store.
func (r *Runner) storeAddress() string { return fmt.Sprintf("127.%d.1.1:9100", r.networkNumber()) }

// writeAsOperator sends a transaction with one row until the store acknowledges it.
func (r *Runner) writeAsOperator(field string, row platformtest.Row) error {
	body, err := json.Marshal(map[string][]platformtest.Row{field: {row}})
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: operatorCallTimeout}
	for end := time.Now().Add(operatorTimeout); time.Now().Before(end); time.Sleep(announceInterval) {
		response, err := client.Post("http://"+r.storeAddress()+"/v1/rows-tx", "application/json", bytes.NewReader(body))
		if err != nil {
			continue // A fault of the store.
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("store did not acknowledge the row " + row.Key)
}

// recordCutOff records a fault that cuts all sidecars off from the store.
func (r *Runner) recordCutOff() func() {
	return r.recordForAll(func(in *instance) []*disturbance { return []*disturbance{&in.cutOff} })
}

// recordForAll records a fault of some kinds for each instance.
func (r *Runner) recordForAll(kinds func(in *instance) []*disturbance) func() {
	ends := make([]func(), 0, len(r.instances))
	for _, in := range r.instances {
		ends = append(ends, in.recordDisturbance(kinds(in)...))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// checkReturns waits until the upstreams of all domains that were returned to use get requests
// again, and reports those that get none in time. All faults have ended.
func (r *Runner) checkReturns(ctx context.Context) {
	start := time.Now()
	for _, in := range r.instances {
		timeout := settleTimeout
		if in.service != keyedService {
			timeout = unkeyedReturnTimeout
		}
		for r.placement.returned[in.domain] && !in.requestedSince(start) && ctx.Err() == nil {
			if time.Since(start) > timeout {
				r.checker.addFinding("%s got no request within %s after its return to use", in.name, timeout)
				break
			}
			time.Sleep(holderCheckInterval)
		}
	}
}
