package soak

import (
	"fmt"
	"sync"
)

// keys is the number of keys of a service that is divided by key.
const keys = 65536

// promises checks what callers and upstreams see. It is safe for concurrent use.
type promises struct {
	mu       sync.Mutex
	findings []string
	runs     map[string]int
	once     map[string]bool
	notRun   map[string]int
	served   int
	refused  int
	unknown  int
}

func newPromises() *promises {
	return &promises{runs: make(map[string]int), once: make(map[string]bool), notRun: make(map[string]int)}
}

// found notes a broken promise.
func (p *promises) found(format string, arguments ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.findings = append(p.findings, fmt.Sprintf(format, arguments...))
}

// asked notes a request that may be run once only.
func (p *promises) asked(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.once[id] = true
}

// ran notes a run of a request.
func (p *promises) ran(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[id]++
}

// refusedWith notes an answer that promises that the request is never run.
func (p *promises) refusedWith(id string, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notRun[id] = status
	p.refused++
}

// answered notes an answer with an upstream's result, or none that can be told.
func (p *promises) answered(served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if served {
		p.served++
		return
	}
	p.unknown++
}

// judge checks the runs against the answers, once nothing runs any more.
func (p *promises) judge() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.runs {
		if p.once[id] && n > 1 {
			p.findings = append(p.findings, fmt.Sprintf("request %s, which may be run once, ran %d times", id, n))
		}
		if status, ok := p.notRun[id]; ok && p.once[id] {
			p.findings = append(p.findings, fmt.Sprintf("request %s was answered %d and ran", id, status))
		}
	}
}
