package main

import (
	"sync"
	"time"
)

const (
	// sampleInterval is the time between two looks at who holds which key.
	sampleInterval = 20 * time.Millisecond
	// maxShared is the time for which two upstreams may hold the same key by the rule OWNER.
	maxShared = 500 * time.Millisecond
	// maxOwnerNotes bounds the lines of the record about single keys.
	maxOwnerNotes = 20
)

// owners judges the rule OWNER by what the upstreams hold.
type owners struct {
	world *world

	mu        sync.Mutex
	upstreams []*upstream
	// had has the highest epoch with which an upstream had a key, and that upstream.
	had []struct {
		epoch uint64
		by    *upstream
	}
	sharedSince []time.Time
	// shared counts the keys that two upstreams held for longer than maxShared, low those that were taken
	// with an epoch that was not above that of another upstream, begun the requests that began on a key
	// while another upstream held it.
	shared, low, begun int
	longest            time.Duration
	counted            []bool
}

func newOwners(w *world) *owners {
	o := &owners{world: w, sharedSince: make([]time.Time, keyCount), counted: make([]bool, keyCount)}
	o.had = make([]struct {
		epoch uint64
		by    *upstream
	}, keyCount)
	return o
}

func (o *owners) add(u *upstream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.upstreams = append(o.upstreams, u)
}

// take records that an upstream takes a key that it did not hold with the epoch. The upstream's mu is
// held.
func (o *owners) take(u *upstream, key int, epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := &o.had[key]
	if before.by != nil && before.by != u && epoch <= before.epoch {
		if o.low++; o.low <= maxOwnerNotes {
			o.world.note("key %d: %s takes it with epoch %d, %s had it with epoch %d", key, u.id, epoch, before.by.id, before.epoch)
		}
	}
	if epoch >= before.epoch {
		before.epoch, before.by = epoch, u
	}
}

// holders returns how many upstreams that are up hold each key.
func (o *owners) holders() []uint8 {
	o.mu.Lock()
	upstreams := o.upstreams
	o.mu.Unlock()
	counts := make([]uint8, keyCount)
	for _, u := range upstreams {
		u.mu.Lock()
		if now := time.Now(); u.up {
			for key := range counts {
				if u.epochOf(key, now) > 0 {
					counts[key]++
				}
			}
		}
		u.mu.Unlock()
	}
	return counts
}

// watch looks at the holders until done is closed.
func (o *owners) watch(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(sampleInterval):
		}
		counts, now := o.holders(), time.Now()
		o.mu.Lock()
		for key, count := range counts {
			if count < 2 {
				o.sharedSince[key] = time.Time{}
				continue
			}
			if o.sharedSince[key].IsZero() {
				o.sharedSince[key] = now
			}
			length := now.Sub(o.sharedSince[key])
			o.longest = max(o.longest, length)
			if length > maxShared && !o.counted[key] {
				o.counted[key] = true
				if o.shared++; o.shared <= maxOwnerNotes {
					o.world.note("key %d: two upstreams have held it for %d ms", key, length.Milliseconds())
				}
			}
		}
		o.mu.Unlock()
	}
}

// runBegan records that a request began on a key at an upstream.
func (o *owners) runBegan(u *upstream, key int) {
	o.mu.Lock()
	upstreams := o.upstreams
	o.mu.Unlock()
	for _, other := range upstreams {
		if other == u {
			continue
		}
		other.mu.Lock()
		held := other.up && other.epochOf(key, time.Now()) > 0
		other.mu.Unlock()
		if held {
			o.mu.Lock()
			o.begun++
			o.mu.Unlock()
		}
	}
}

// unheld returns the number of keys without a holder.
func (o *owners) unheld() int {
	n := 0
	for _, count := range o.holders() {
		if count == 0 {
			n++
		}
	}
	return n
}

// broken reports whether the rule was broken, and notes what was seen.
func (o *owners) broken() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.world.note("OWNER: %d keys held by two upstreams for over 500 ms (longest %d ms), %d keys taken with an epoch that is not above that of another upstream, %d requests begun on a key that another upstream held",
		o.shared, o.longest.Milliseconds(), o.low, o.begun)
	return o.shared > 0 || o.low > 0
}
