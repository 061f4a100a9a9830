package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// calmTime is the time after the faults in which all sidecars must handle requests as the last
	// manifest says.
	calmTime = contactTime + 3*time.Second
	// calmGrowth is the number of routes that the last manifest adds.
	calmGrowth = 3000
)

// lagReasons returns the texts of refusals whose reason is that the manifest is not known, or not
// known to be the newest.
func lagReasons() []string { return []string{"configuration-lags", "no manifest is known"} }

// callerResponse is a response to a caller.
type callerResponse struct {
	id             string
	sentAt, doneAt time.Time
	status         int
	body           string
}

// lags reports whether the request was refused since the manifest is not known to be the newest.
func (c callerResponse) lags() bool {
	for _, reason := range lagReasons() {
		if c.status == http.StatusServiceUnavailable && strings.Contains(c.body, reason) {
			return true
		}
	}
	return false
}

// checkRoute checks a response against the manifests that may be in force between its request and
// itself.
func (r *Runner) checkRoute(in *instance, c callerResponse) {
	route := routeOf(c.id)
	inTouch := in.inTouchSince(c.sentAt)
	if c.lags() {
		r.checker.recordLagging()
	}
	switch {
	case r.operator.alwaysRouted(route, c.sentAt, c.doneAt):
		if c.status == http.StatusNotFound {
			r.checker.addFinding("request %s got 404 at %s although each manifest has its route", c.id, in.name)
		}
		if inTouch {
			r.checker.recordInForce(in.name, c.sentAt, 0)
			if c.lags() {
				r.checker.addFinding("request %s was refused at %s, whose manifest is not in force in time: %s", c.id, in.name, c.body)
			}
		}
	case r.operator.neverRouted(route, c.sentAt):
		if c.status == http.StatusOK && (inTouch || route == unknownRoute) {
			r.checker.addFinding("request %s was served at %s although no manifest has its route", c.id, in.name)
		}
		if inTouch && r.operator.unchangedSince(c.sentAt) {
			r.checker.recordInForce(in.name, c.sentAt, 1)
			if c.status != http.StatusNotFound {
				r.checker.addFinding("request %s got %d at %s, not 404, although no manifest has had its route for long: %s", c.id, c.status, in.name, c.body)
			}
		}
	}
}

// recordLagging counts a request that was refused since the manifest is not known to be the newest.
func (c *responseChecker) recordLagging() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.laggingCount++
}

// recordInForce counts a response of an instance in touch that was checked. The kind is 0 for a
// route of the manifest and 1 for another one.
func (c *responseChecker) recordInForce(instance string, sentAt time.Time, kind int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == 0 {
		c.routedCount++
	} else {
		c.unroutedCount++
	}
	if c.calmFrom.IsZero() || sentAt.Before(c.calmFrom) {
		return
	}
	counts := c.answersInCalm[instance]
	counts[kind]++
	c.answersInCalm[instance] = counts
}

// probedRoute returns a route of one of the newest groups or of the one removed last, or one that no
// manifest has.
func (r *Runner) probedRoute() string {
	added, removed := r.operator.randomRoutes()
	return [...]string{added, removed, unknownRoute}[rand.IntN(3)] //nolint:gosec // Routes need no secure randomness.
}

// checkCalm adds and removes routes when all faults have ended, and reports the instances that give
// no response that could be checked against that manifest.
func (r *Runner) checkCalm(ctx context.Context) {
	r.growManifest(calmGrowth)
	c := r.checker
	c.mu.Lock()
	c.calmFrom, c.answersInCalm = time.Now(), make(map[string][2]int)
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return
	case <-time.After(calmTime):
	}
	c.mu.Lock()
	answers := c.answersInCalm
	c.calmFrom = time.Time{}
	c.mu.Unlock()
	for _, in := range r.instances {
		if counts := answers[in.name]; counts[0] == 0 || counts[1] == 0 {
			c.addFinding("%s gave no response that could be checked against the last manifest: %v", in.name, counts)
		}
	}
}
