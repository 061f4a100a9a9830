package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// keyCount is the number of keys of a keyed service.
const keyCount = 65536

// responseChecker records the responses to callers and the executions by upstreams,
// and checks one against the other. It is safe for concurrent use.
type responseChecker struct {
	mu       sync.Mutex
	findings []string
	// executions counts the executions of each request ID.
	executions map[string]int
	// nonIdempotent has the IDs of requests that must run at most once.
	nonIdempotent map[string]bool
	// refusedStatus maps the IDs of refused requests to the status of the response.
	refusedStatus map[string]int
	servedCount   int
	refusedCount  int
	unknownCount  int
	// maxColdCount is the highest number of requests that a cold upstream got in a second.
	maxColdCount int
	// restrictedCount is the number of requests of restricted routes at upstreams.
	restrictedCount int
	evacuationCount int
	// routedCount and unroutedCount count the responses that were checked against manifests that had
	// to be in force, with and without the route. laggingCount counts the requests that were refused
	// as the manifest was not known to be the newest.
	routedCount, unroutedCount, laggingCount int
	// epochs has the epochs of the grants.
	epochs epochs
	// calmFrom is the time from which answersInCalm counts the responses of each instance that were
	// checked: those to routes of the manifest, and to other ones.
	calmFrom      time.Time
	answersInCalm map[string][2]int
}

func newResponseChecker() *responseChecker {
	return &responseChecker{executions: make(map[string]int), nonIdempotent: make(map[string]bool), refusedStatus: make(map[string]int)}
}

// addFinding records a violation of a guarantee.
func (c *responseChecker) addFinding(format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, fmt.Sprintf(format, arguments...))
}

// recordNonIdempotent records a request that must run at most once.
func (c *responseChecker) recordNonIdempotent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonIdempotent[id] = true
}

// recordExecution records that an upstream started to run a request.
func (c *responseChecker) recordExecution(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[id]++
}

// recordRefusal records a response whose status guarantees that the request is not
// run, now or later.
func (c *responseChecker) recordRefusal(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedStatus[id] = status
	c.refusedCount++
}

// recordResponse counts a response with the result of an upstream if served, and
// otherwise a request whose outcome is unknown.
func (c *responseChecker) recordResponse(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if served {
		c.servedCount++
		return
	}
	c.unknownCount++
}

// checkColdCount checks the number of requests that a cold upstream got in a second.
func (c *responseChecker) checkColdCount(count int, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxColdCount = max(c.maxColdCount, count)
	if count > maxColdRequests {
		c.findings = append(c.findings, fmt.Sprintf("cold upstream %s got %d requests in a second", upstream, count))
	}
}

// checkRegion checks that an upstream's region is one of those of a route.
func (c *responseChecker) checkRegion(id, region string, allowed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restrictedCount++
	if !slices.Contains(allowed, region) {
		c.findings = append(c.findings, fmt.Sprintf("request %s arrived in the region %s, which its route does not allow", id, region))
	}
}

// recordEvacuation counts a failure domain that was out of use and returned.
func (c *responseChecker) recordEvacuation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuationCount++
}

// checkExecutions checks the executions against the responses. It must be called
// after all callers have ended.
func (c *responseChecker) checkExecutions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, count := range c.executions {
		if c.nonIdempotent[id] && count > 1 {
			c.findings = append(c.findings, fmt.Sprintf("non-idempotent request %s ran %d times", id, count))
		}
		if status, ok := c.refusedStatus[id]; ok && c.nonIdempotent[id] {
			c.findings = append(c.findings, fmt.Sprintf("request %s was refused with status %d but ran", id, status))
		}
	}
}
