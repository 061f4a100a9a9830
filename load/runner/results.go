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
	// maxLatencyMicros is the highest latency that is recorded, two minutes. Higher
	// ones are recorded with this value.
	maxLatencyMicros = 120_000_000
	// latencyDigits is the number of significant decimal digits of a recorded latency.
	latencyDigits = 3
)

// NewHistogram returns a histogram of latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// Results holds the results of a run for each route. Its exported methods may be called
// once the run is over.
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

// Duration returns the time during which requests were sent. It excludes the wait for
// the last responses.
func (r *Results) Duration() time.Duration { return r.duration }

// Err returns the first error of writing a record, or nil.
func (r *Results) Err() error { return r.err }

// Routes returns the results of each route, sorted by service and route name.
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

// setError keeps err unless an earlier error is kept.
func (r *Results) setError(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.err = cmp.Or(r.err, err)
}

// addRequest counts a request by the result of its last attempt. The latency is that of
// the whole request.
func (r *Results) addRequest(request workload.Request, last record.Call, latency time.Duration) {
	key := routeKey{service: request.Service().Name, route: request.Route().Name}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	route := r.routes[key]
	if route == nil {
		route = &RouteResults{service: key.service, route: key.route, outcomes: make(map[string]int64), latency: NewHistogram()}
		r.routes[key] = route
	}
	route.outcomes[outcomeName(last)]++
	_ = route.latency.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
	if outcomeName(last) == "done" && last.Status < 400 {
		route.successes++
	}
}

// outcomeName returns the name under which reports count a request: the outcome of its
// last attempt, "truncated" if the response body is incomplete, or "lost" if no response
// arrived.
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

// Service returns the name of the service.
func (r *RouteResults) Service() string { return r.service }

// Route returns the name of the route.
func (r *RouteResults) Route() string { return r.route }

// Outcomes returns the number of requests by the result of their last attempt: done,
// not-run, unknown, truncated (incomplete response body) or lost (no response).
func (r *RouteResults) Outcomes() map[string]int64 { return r.outcomes }

// Successes returns the number of requests with outcome done, a status below 400 and a
// complete response body.
func (r *RouteResults) Successes() int64 { return r.successes }

// Latency returns the histogram of latencies in microseconds, each from the intended send
// time to the end of the last attempt.
func (r *RouteResults) Latency() *hdrhistogram.Histogram { return r.latency }
