// Package hotkey finds the keys with the most load in bounded memory.
package hotkey

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"sync"

	"briarwell.dev/core/clock"
)

const (
	// defaultCapacity is four times the 61 hottest keys at the target scale, which
	// keeps the error of their weights small.
	defaultCapacity = 256
	// defaultHalfLife, in milliseconds, lets the set of the hottest keys change within
	// a minute.
	defaultHalfLife clock.Millis = 20_000
	// maxDoublings bounds the growth of stored weights between two rescalings.
	maxDoublings = 64
)

// Count is the estimated weight of a key, with exponential decay. The true weight lies
// between Weight-MaxError and Weight.
type Count struct {
	key      string
	weight   float64
	maxError float64
}

// Key returns the counted key.
func (c Count) Key() string { return c.key }

// Weight returns the upper bound of the decayed weight.
func (c Count) Weight() float64 { return c.weight }

// MaxError returns the largest amount by which Weight exceeds the true weight.
func (c Count) MaxError() float64 { return c.maxError }

// Sketch is a Space-Saving sketch: it counts a bounded number of keys, and a new key
// replaces the one with the smallest weight and inherits its weight as an error. All
// weights halve in each half-life. The zero value has the default capacity and
// half-life. It is safe for concurrent use.
type Sketch struct {
	mu       sync.Mutex
	capacity int
	halfLife clock.Millis
	// baseTime is the time at which a weight of 1 is stored as 1. Later weights are
	// stored larger, so that the decay needs no update of old ones.
	baseTime clock.Millis
	entries  map[string]*entry
	heap     entryHeap
}

type entry struct {
	key      string
	weight   float64
	maxError float64
	index    int
}

// New returns a sketch of at most capacity keys whose weights halve in each halfLife
// milliseconds. A value of zero means the default.
func New(capacity int, halfLife clock.Millis) *Sketch {
	return &Sketch{capacity: capacity, halfLife: halfLife}
}

// Observe adds weight to the key at now.
func (s *Sketch) Observe(now clock.Millis, key string, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	scaled := weight * s.scale(now)
	if existing, ok := s.entries[key]; ok {
		existing.weight += scaled
		heap.Fix(&s.heap, existing.index)
		return
	}
	if s.entries == nil {
		s.entries = make(map[string]*entry)
	}
	if len(s.heap) < s.maxEntries() {
		added := &entry{key: key, weight: scaled}
		s.entries[key] = added
		heap.Push(&s.heap, added)
		return
	}
	smallest := s.heap[0]
	delete(s.entries, smallest.key)
	smallest.key, smallest.maxError = key, smallest.weight
	smallest.weight += scaled
	s.entries[key] = smallest
	heap.Fix(&s.heap, 0)
}

// Top returns at most n keys by descending weight at now.
func (s *Sketch) Top(now clock.Millis, n int) []Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	scale := s.scale(now)
	counts := make([]Count, 0, len(s.heap))
	for _, e := range s.heap {
		counts = append(counts, Count{key: e.key, weight: e.weight / scale, maxError: e.maxError / scale})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.key, b.key))
	})
	return counts[:min(n, len(counts))]
}

// scale returns the stored value of a weight of 1 at now.
func (s *Sketch) scale(now clock.Millis) float64 {
	halfLife := s.halfLife
	if halfLife <= 0 {
		halfLife = defaultHalfLife
	}
	doublings := float64(now-s.baseTime) / float64(halfLife)
	if doublings > maxDoublings {
		s.rescale(math.Exp2(-doublings))
		s.baseTime, doublings = now, 0
	}
	return math.Exp2(doublings)
}

func (s *Sketch) rescale(factor float64) {
	for _, e := range s.heap {
		e.weight *= factor
		e.maxError *= factor
	}
}

func (s *Sketch) maxEntries() int {
	if s.capacity <= 0 {
		return defaultCapacity
	}
	return s.capacity
}

// entryHeap is a min-heap of entries by weight.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].weight < h[j].weight }

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	added := x.(*entry)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
