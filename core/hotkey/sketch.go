// Package hotkey finds the keys with the most work in bounded memory.
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
	// defaultCapacity is four times the 61 hottest keys of the target scale, for
	// a small error of their counts.
	defaultCapacity = 256
	// defaultHalfLife lets the hottest keys change within a minute, in
	// milliseconds.
	defaultHalfLife clock.Millis = 20_000
	// maxDoublings bounds the growth of the weights between two rescalings.
	maxDoublings = 64
)

// Count is the estimated decayed weight of a key. The true weight lies between
// Weight-Excess and Weight.
type Count struct {
	key      string
	weight   float64
	maxError float64
}

// Key returns the key.
func (c Count) Key() string { return c.key }

// Weight returns the upper bound of the decayed weight.
func (c Count) Weight() float64 { return c.weight }

// MaxError returns by how much Weight may exceed the true one.
func (c Count) MaxError() float64 { return c.maxError }

// Sketch is a SpaceSaving sketch: it counts a bounded number of keys, and a new
// key takes the place and the count of the smallest. All counts halve in each
// half-life. The zero value has default bounds. It is safe for concurrent use.
type Sketch struct {
	mu       sync.Mutex
	capacity int
	halfLife clock.Millis
	// baseTime is the time at which a weight of 1 is stored as 1; later ones are
	// stored larger, so that old counts need no update.
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

// New returns a sketch of capacity keys whose counts halve in each halfLife
// milliseconds. A value of zero means the default.
func New(capacity int, halfLife clock.Millis) *Sketch {
	return &Sketch{capacity: capacity, halfLife: halfLife}
}

// Observe adds weight to the key at now.
func (s *Sketch) Observe(now clock.Millis, key string, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	scaled := weight * s.scale(now)
	if known, ok := s.entries[key]; ok {
		known.weight += scaled
		heap.Fix(&s.heap, known.index)
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

// scale returns what a weight of 1 at now is stored as.
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

// entryHeap is a heap with the smallest weight first.
type entryHeap []*entry

func (o entryHeap) Len() int           { return len(o) }
func (o entryHeap) Less(i, j int) bool { return o[i].weight < o[j].weight }

func (o entryHeap) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].index, o[j].index = i, j
}

// Push appends an entry, for container/heap.
func (o *entryHeap) Push(x any) {
	added := x.(*entry)
	added.index = len(*o)
	*o = append(*o, added)
}

// Pop removes the last entry, for container/heap.
func (o *entryHeap) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}
