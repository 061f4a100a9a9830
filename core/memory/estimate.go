package memory

import "sync"

const (
	// estimateWeightDivisor is the part of each difference by which an estimate follows.
	estimateWeightDivisor = 16
	// estimateDeviations is the number of mean deviations above the mean that are expected, so
	// that most bodies are smaller and a single very large one has little effect.
	estimateDeviations = 2
)

// Estimate predicts the sizes of bodies by class from those seen before. The zero value has
// seen none. It is safe for concurrent use.
type Estimate struct {
	mu    sync.Mutex
	sizes map[string]sizeEstimate
}

// sizeEstimate is the mean of the sizes of a class in bytes, and their mean deviation from it.
type sizeEstimate struct{ mean, deviation float64 }

// Record records the size in bytes of a body.
func (e *Estimate) Record(class string, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sizes[class]
	if !ok {
		if e.sizes == nil {
			e.sizes = make(map[string]sizeEstimate)
		}
		s.mean = float64(bytes)
	}
	difference := float64(bytes) - s.mean
	s.mean += difference / estimateWeightDivisor
	s.deviation += (max(difference, -difference) - s.deviation) / estimateWeightDivisor
	e.sizes[class] = s
}

// Expected returns the expected size in bytes, or unknown if no body of the class was seen. It
// returns 0 for small bodies: a part of a Budget is left to these.
func (e *Estimate) Expected(class string, unknown int) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	bytes := int64(unknown)
	if s, ok := e.sizes[class]; ok {
		bytes = int64(s.mean + estimateDeviations*s.deviation)
	}
	if bytes <= smallBytes {
		return 0
	}
	return bytes
}
