package soak

import (
	"fmt"
	"sync"
)

// keyCount is the number of keys of a service that is divided by key.
const keyCount = 65536

// responseChecker checks what callers and upstreams see. It is safe for concurrent use.
type responseChecker struct {
	mu            sync.Mutex
	findings      []string
	executions    map[string]int
	nonIdempotent map[string]bool
	refusedStatus map[string]int
	servedCount   int
	refusedCount  int
	unknownCount  int
}

func newResponseChecker() *responseChecker {
	return &responseChecker{executions: make(map[string]int), nonIdempotent: make(map[string]bool), refusedStatus: make(map[string]int)}
}

// addFinding notes a broken promise.
func (p *responseChecker) addFinding(format string, arguments ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.findings = append(p.findings, fmt.Sprintf(format, arguments...))
}

// recordNonIdempotent notes a request that may be run once only.
func (p *responseChecker) recordNonIdempotent(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nonIdempotent[id] = true
}

// recordExecution notes a run of a request.
func (p *responseChecker) recordExecution(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executions[id]++
}

// recordRefusal notes an answer that promises that the request is never run.
func (p *responseChecker) recordRefusal(id string, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedStatus[id] = status
	p.refusedCount++
}

// recordResponse notes an answer with an upstream's result, or none that can be told.
func (p *responseChecker) recordResponse(served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if served {
		p.servedCount++
		return
	}
	p.unknownCount++
}

// checkExecutions checks the runs against the answers, once nothing runs any more.
func (p *responseChecker) checkExecutions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.executions {
		if p.nonIdempotent[id] && n > 1 {
			p.findings = append(p.findings, fmt.Sprintf("request %s, which may be run once, ran %d times", id, n))
		}
		if status, ok := p.refusedStatus[id]; ok && p.nonIdempotent[id] {
			p.findings = append(p.findings, fmt.Sprintf("request %s was answered %d and ran", id, status))
		}
	}
}
