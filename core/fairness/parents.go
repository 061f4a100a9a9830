package fairness

import "briarwell.dev/core/clock"

const (
	// startedPerCompleted is the ratio of started requests to those whose nested requests
	// were all admitted, above which requests are refused. The excess shows when more can
	// be admitted.
	startedPerCompleted = 1.2
	// toleratedFailures is the number of requests in memory with a refused nested request
	// that have no effect.
	toleratedFailures = 2.0
	// maxRefusalAge is the time in milliseconds after the last refusal of a nested request
	// from which all requests are started again.
	maxRefusalAge clock.Millis = 1000
	// maxClasses bounds the classes whose nested requests are counted.
	maxClasses = 64
)

type parentCounts struct {
	started, completed float64
	updatedAt          clock.Millis
	refusedAt          clock.Millis
}

// Parents decides which requests an upstream starts, from the refusals of the nested requests
// that it made for requests of the same class: the work on a request is wasted if its nested
// request is refused. The zero value starts all. It is not safe for concurrent use.
type Parents struct {
	classes map[string]*parentCounts
}

// RefusalShare returns the share of the requests of the class that are to be refused.
func (p *Parents) RefusalShare(now clock.Millis, class string) float64 {
	c, ok := p.classes[class]
	if !ok || now-c.refusedAt > maxRefusalAge {
		return 0
	}
	c.decay(now)
	share := (c.started - startedPerCompleted*c.completed - toleratedFailures) / (c.started + 1)
	return min(max(share, 0), 1-1/MaxDemand)
}

// Refused counts a request that is refused for the refusal share.
func (p *Parents) Refused(now clock.Millis, class string) {
	if c, ok := p.classes[class]; ok {
		c.decay(now)
		c.started++
	}
}

// Ended counts a request that was run, and whether one of its nested requests was refused.
// Classes without refusals are not kept.
func (p *Parents) Ended(now clock.Millis, class string, nestedRefused bool) {
	c, ok := p.classes[class]
	if !ok {
		if !nestedRefused || len(p.classes) >= maxClasses {
			return
		}
		if p.classes == nil {
			p.classes = make(map[string]*parentCounts)
		}
		c = &parentCounts{updatedAt: now}
		p.classes[class] = c
	}
	c.decay(now)
	c.started++
	if nestedRefused {
		c.refusedAt = now
		return
	}
	c.completed++
	if now-c.refusedAt > maxRefusalAge {
		delete(p.classes, class)
	}
}

func (c *parentCounts) decay(now clock.Millis) {
	factor := decayFactor(now - c.updatedAt)
	c.started *= factor
	c.completed *= factor
	c.updatedAt = max(now, c.updatedAt)
}
