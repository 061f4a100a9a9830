package dispatch

import (
	"math/rand/v2"
	"net/http"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
)

// IsRunning reports whether a request with the ID is running on the upstream. Only then
// can the upstream make nested requests for it.
func (e *Executor) IsRunning(id string) bool {
	_, running := e.Parent(id)
	return running
}

// Parent returns what a request with the ID passes on to its nested requests, or false if it
// is not running on the upstream.
func (e *Executor) Parent(id string) (Parent, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, ok := e.running[id]
	if !ok {
		return Parent{}, false
	}
	return running.parent, true
}

// RecordNested records the result of a nested request that the upstream made for the request
// with the ID.
func (e *Executor) RecordNested(id string, result outcome.Outcome) {
	refused, ok := result.(outcome.NotRun)
	if !ok {
		return
	}
	switch refused.Reason() {
	case outcome.ReasonOverloaded, outcome.ReasonQueueTimeout, outcome.ReasonCold:
	default:
		// Other refusals concern one key or instance, not the load of the service.
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if running, ok := e.running[id]; ok {
		running.nestedRefused = true
	}
}

// FairnessCounts returns the counts of requests that fairness among kinds has changed.
func (e *Executor) FairnessCounts() FairnessCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// drawStart returns the share of the requests of the class that are started, and whether to
// start one.
func (e *Executor) drawStart(now clock.Millis, class string) (float64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	refusalShare := e.parents.RefusalShare(now, class)
	if rand.Float64() < refusalShare {
		e.parents.Refused(now, class)
		e.counts.NotStarted++
		return 0, false
	}
	return 1 - refusalShare, true
}

// arrive counts a request, and reports whether its rank gets less than its guaranteed share.
func (e *Executor) arrive(now clock.Millis, policy RequestPolicy) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	starved := e.shares.Arrive(now, policy.Rank, policy.Demand)
	if starved {
		e.counts.Raised++
	}
	return starved
}

func (e *Executor) admitted(policy RequestPolicy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shares.Admitted(e.clock.Now(), policy.Rank)
}

func (e *Executor) requestStarted(id string, parent Parent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, ok := e.running[id]
	if !ok {
		running = &runningRequest{parent: parent}
		e.running[id] = running
	}
	running.count++
}

// requestEnded records whether the work on a request was wasted: one of its nested requests
// was refused, and it has no successful response.
func (e *Executor) requestEnded(id, class string, reply Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.running[id]
	if running.count--; running.count == 0 {
		delete(e.running, id)
	}
	_, done := reply.Outcome.(outcome.Done)
	succeeded := done && reply.Response.Status < http.StatusInternalServerError
	e.parents.Ended(e.clock.Now(), class, running.nestedRefused && !succeeded)
}
