package memory

import "sync"

// estimateDecayDivisor is the part of an estimate by which each smaller body lowers it.
const estimateDecayDivisor = 32

// Estimate predicts the sizes of bodies by class from those seen before. It follows the large
// ones, as memory is reserved by it. The zero value has seen none. It is safe for concurrent
// use.
type Estimate struct {
	mu    sync.Mutex
	bytes map[string]int64
}

// Record records the size in bytes of a body.
func (e *Estimate) Record(class string, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bytes == nil {
		e.bytes = make(map[string]int64)
	}
	before := e.bytes[class]
	e.bytes[class] = max(int64(bytes), before-before/estimateDecayDivisor)
}

// Expected returns the expected size in bytes, or unknown if no body of the class was seen. It
// returns 0 for small bodies: a part of a Budget is left to these.
func (e *Estimate) Expected(class string, unknown int) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	bytes, ok := e.bytes[class]
	if !ok {
		bytes = int64(unknown)
	}
	if bytes <= smallBytes {
		return 0
	}
	return bytes
}
