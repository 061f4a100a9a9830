package runner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"briarwell.dev/core/audit/record"
	"briarwell.dev/load/workload"
)

const (
	// maxLatencyMicros bounds the recorded latencies: two minutes.
	maxLatencyMicros = 120_000_000
	// latencyDigits is the number of significant digits of a latency.
	latencyDigits = 3
)

// NewHistogram returns a histogram of latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// Results holds the results of all routes of a run.
type Results struct {
	mutex    sync.Mutex
	routes   map[routeKey]*RouteResults
	duration time.Duration
	err      error
}

type routeKey struct{ service, route string }

// RouteResults holds the results of one route.
type RouteResults struct {
	service   string
	route     string
	outcomes  map[string]int64
	successes int64
	latency   *hdrhistogram.Histogram
}

func newResults() *Results { return &Results{routes: make(map[routeKey]*RouteResults)} }

// Duration returns the time in which requests were sent.
func (r *Results) Duration() time.Duration { return r.duration }

// Err returns the first error in writing records.
func (r *Results) Err() error { return r.err }

// Routes returns the results of the routes, by service and name.
func (r *Results) Routes() []*RouteResults {
	routes := make([]*RouteResults, 0, len(r.routes))
	for _, route := range r.routes {
		routes = append(routes, route)
	}
	slices.SortFunc(routes, func(a, b *RouteResults) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.route, b.route))
	})
	return routes
}

func (r *Results) setError(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.err = cmp.Or(r.err, err)
}

// addRequest records a request by its last attempt.
func (r *Results) addRequest(request workload.Request, last record.Call, latency time.Duration) {
	name := routeKey{service: request.Service().Name, route: request.Route().Name}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	route := r.routes[name]
	if route == nil {
		route = &RouteResults{service: name.service, route: name.route, outcomes: make(map[string]int64), latency: NewHistogram()}
		r.routes[name] = route
	}
	route.outcomes[outcomeName(last)]++
	_ = route.latency.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
	if outcomeName(last) == "done" && last.Status < 400 {
		route.successes++
	}
}

// outcomeName names the result of a request in reports.
func outcomeName(last record.Call) string {
	switch {
	case last.Outcome == "":
		return "lost"
	case !last.Complete:
		return "truncated"
	default:
		return last.Outcome
	}
}

// Service returns the service.
func (r *RouteResults) Service() string { return r.service }

// Route returns the route.
func (r *RouteResults) Route() string { return r.route }

// Outcomes returns the number of requests by the result of their last attempt:
// done, not-run, unknown, truncated, or lost if no answer arrived.
func (r *RouteResults) Outcomes() map[string]int64 { return r.outcomes }

// Successes returns the number of requests that were done with a status below 400
// and a complete body.
func (r *RouteResults) Successes() int64 { return r.successes }

// Latency returns the latencies in microseconds, from the intended send time to
// the end of the last attempt.
func (r *RouteResults) Latency() *hdrhistogram.Histogram { return r.latency }
