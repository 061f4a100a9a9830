package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"briarwell.dev/platform/platformtest"
)

const (
	// copyInterval is the time between two copies of the store, and maxCopyAge the age up to which
	// they are kept.
	copyInterval = 250 * time.Millisecond
	maxCopyAge   = 10 * time.Second
	// maxStoreAway is how long the store is away in a drill at most.
	maxStoreAway = 2 * time.Second
	// meanDrillInterval is meanFaultInterval for drills.
	meanDrillInterval = 5 * time.Second
)

// newDrills returns the drills of a seed.
func newDrills(seed uint64, faultPhase time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 13)) //nolint:gosec // Equal seeds must give equal faults.
	var drills []Fault
	for start := time.Duration(0); ; {
		start += time.Duration(rng.ExpFloat64() * float64(meanDrillInterval))
		if start >= faultPhase {
			return drills
		}
		age := time.Second + time.Duration(rng.Int64N(int64(maxCopyAge-time.Second)))
		drills = append(drills, Fault{Start: start, Kind: StoreDrill, Duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxStoreAway))), Age: age})
	}
}

// copies holds copies of the store, the oldest first. It is safe for concurrent use.
type copies struct {
	mu   sync.Mutex
	kept []agedCopy
	// drilling is held during a drill.
	drilling sync.Mutex
}

type agedCopy struct {
	at      time.Time
	content platformtest.StoreCopy
}

// copyStore copies the store again and again until ctx ends.
func (r *Runner) copyStore(ctx context.Context) {
	for ctx.Err() == nil {
		r.copies.add(agedCopy{at: time.Now(), content: r.store.Copy()})
		select {
		case <-ctx.Done():
		case <-time.After(copyInterval):
		}
	}
}

func (c *copies) add(added agedCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.kept) > 0 && added.at.Sub(c.kept[0].at) > maxCopyAge+maxStoreAway+time.Second {
		c.kept = c.kept[1:]
	}
	c.kept = append(c.kept, added)
}

// takeBefore returns the newest copy that was made before a time, the oldest one if there is none, and
// drops all that are newer.
func (c *copies) takeBefore(t time.Time) platformtest.StoreCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := 0
	for i, kept := range c.kept {
		if kept.at.Before(t) {
			last = i
		}
	}
	c.kept = c.kept[:last+1]
	return c.kept[last].content
}

// drillStore makes the store come back from an older copy. What the operator wrote since is written
// again.
func (r *Runner) drillStore(f Fault) {
	r.copies.drilling.Lock()
	defer r.copies.drilling.Unlock()
	defer r.recordCutOff()()
	leftAt := time.Now()
	r.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(f.Duration)
	// No other writes of the operator come between the older copy and what it writes again.
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	r.placement.mu.Lock()
	defer r.placement.mu.Unlock()
	newest, evacuations := r.store.Row("op", "config"), r.store.RowsOf("op", "evacuate/")
	r.store.Restore(r.copies.takeBefore(leftAt.Add(-f.Age)))
	r.store.SetFaults(platformtest.StoreFaults{})
	r.store.Put(newest.Table, newest.Key, newest.Value)
	for _, row := range r.store.RowsOf("op", "evacuate/") {
		r.store.Delete(row.Table, row.Key)
	}
	for _, row := range evacuations {
		r.store.Put(row.Table, row.Key, row.Value)
	}
	for domain := range r.placement.acknowledgedAt {
		r.placement.acknowledgedAt[domain] = time.Now()
	}
}

// epochs has the epochs under which upstreams were granted the sampled keys.
type epochs struct {
	// highest has the highest epoch of each key, and the upstream that had it.
	highest map[int]grantedEpoch
	// last has the epoch of each upstream's latest grant of each key.
	last map[string]map[int]uint64
}

type grantedEpoch struct {
	epoch    uint64
	upstream string
}

// checkEpochs checks that an upstream takes each key with an epoch above all with which others had it,
// and none with a lower one than before.
func (c *responseChecker) checkEpochs(upstream string, ranges [][3]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epochs.highest == nil {
		c.epochs = epochs{highest: make(map[int]grantedEpoch), last: make(map[string]map[int]uint64)}
	}
	own, known := c.epochs.last[upstream]
	if !known {
		own = make(map[int]uint64)
		c.epochs.last[upstream] = own
	}
	for _, r := range ranges {
		first, last, epoch := int(r[0]), int(r[1]), r[2] //nolint:gosec // Keys are below keyCount.
		for key := (first + keySampleStep - 1) / keySampleStep * keySampleStep; key <= last; key += keySampleStep {
			if own[key] == epoch {
				continue // A renewal may arrive late.
			}
			h := c.epochs.highest[key]
			if epoch < own[key] || epoch <= h.epoch && h.upstream != upstream {
				c.findings = append(c.findings, fmt.Sprintf("key %d was granted to %s with epoch %d, it had epoch %d and %s had epoch %d", key, upstream, epoch, own[key], h.upstream, h.epoch))
			}
			own[key] = epoch
			if epoch > h.epoch {
				c.epochs.highest[key] = grantedEpoch{epoch: epoch, upstream: upstream}
			}
		}
	}
}
