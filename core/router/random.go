package router

import (
	"math/rand/v2"
	"sync"
)

// LockedRandom is a seeded Random that is safe for concurrent use.
type LockedRandom struct {
	mu     sync.Mutex
	source *rand.Rand
}

// NewRandom returns a LockedRandom with the given seed.
func NewRandom(seed uint64) *LockedRandom {
	return &LockedRandom{source: rand.New(rand.NewPCG(seed, seed))}
}

// IntN returns a random number in [0, n).
func (r *LockedRandom) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.IntN(n)
}

// Float64 returns a random number in [0, 1).
func (r *LockedRandom) Float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Float64()
}
