package soak

import (
	"fmt"
	"sync"
	"time"

	"briarwell.dev/core/audit/holds"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
)

// recordDelay is the time in milliseconds within which an event of an upstream is recorded.
const recordDelay clock.Millis = 5

// holdAudit audits the holds of all upstreams of the keyed service. The zero value is empty. It is safe
// for concurrent use.
type holdAudit struct {
	mu    sync.Mutex
	audit holds.Audit
	began time.Time
	ended map[string]bool
}

// millis returns a time on the clock of the audit. The caller holds a.mu.
func (a *holdAudit) millis(t time.Time) clock.Millis {
	if a.began.IsZero() {
		a.began = time.Now()
	}
	return clock.FromDuration(t.Sub(a.began))
}

// recordGrant records what an upstream has taken. Answers that reach it after its end count for nothing.
func (a *holdAudit) recordGrant(upstream string, until time.Time, ranges [][3]uint64) {
	taken := make([]keyspace.Range, 0, len(ranges))
	for _, r := range ranges {
		taken = append(taken, keyspace.NewRange(keyspace.NewSpan(keyspace.Key(r[0]), keyspace.Key(r[1])), identity.Epoch(r[2]))) //nolint:gosec // Keys have 16 bits.
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended[upstream] {
		a.audit.Grant(a.millis(time.Now()), a.millis(until), upstream, taken)
	}
}

// recordWork records that an upstream begins or ends work on a request for a key.
func (a *holdAudit) recordWork(upstream, work string, key int, begins bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch now := a.millis(time.Now()); {
	case a.ended[upstream]:
	case begins:
		a.audit.BeginRequest(now, upstream, work, keyspace.Key(key)) //nolint:gosec // Keys have 16 bits.
	default:
		a.audit.EndRequest(now, upstream, work)
	}
}

// recordEnd records that an upstream ends.
func (a *holdAudit) recordEnd(upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended == nil {
		a.ended = make(map[string]bool)
	}
	a.audit.End(a.millis(time.Now()), upstream)
	a.ended[upstream] = true
}

// checkHolds reports all times in which two upstreams held the same keys, and epochs that did not rise.
func (r *Runner) checkHolds() {
	a := &r.holds
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range a.audit.Overlaps(a.millis(time.Now())) {
		_, _ = fmt.Fprintf(r.options.Out, "event=overlap at=%s %s\n", a.began.Add(o.From().Duration()).Format(time.RFC3339Nano), o)
		if o.Longest() > recordDelay {
			r.checker.addFinding("OWNER: %s", o)
		}
	}
	for _, regression := range a.audit.Regressions() {
		r.checker.addFinding("OWNER: %s", regression)
	}
}
