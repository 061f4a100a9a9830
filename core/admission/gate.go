package admission

import (
	"context"
	"sync"
	"time"

	"briarwell.dev/core/capacity"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// admitted is the decision on a request that got a slot; every other value is the
// reason of a refusal.
const admitted outcome.Reason = ""

// RefusedError reports that a request was refused and will not be sent.
type RefusedError struct{ reason outcome.Reason }

// Reason returns ReasonOverloaded or ReasonQueueTimeout.
func (e *RefusedError) Reason() outcome.Reason { return e.reason }

func (e *RefusedError) Error() string { return "request refused: " + string(e.reason) }

// Gate admits requests to one upstream: a State with a lock and a clock. It is safe
// for concurrent use.
type Gate struct {
	clock clock.Clock
	mu    sync.Mutex
	state *State
	// actions is a buffer that calls reuse under mu.
	actions []Action
}

// NewGate returns a gate whose cold start begins now.
func NewGate(c clock.Clock, settings Settings) *Gate {
	return &Gate{clock: c, state: NewState(c.Now(), settings)}
}

// Acquire waits for a slot until the deadline. It returns a *RefusedError if the
// request is refused, or the error of ctx.
func (g *Gate) Acquire(ctx context.Context, priority template.Priority, deadline clock.Millis) (*Slot, error) {
	return g.AcquireFor(ctx, NewRequest(priority, deadline))
}

// AcquireFor waits for a slot for a request that was not submitted before. It
// returns a *RefusedError if the request is refused, or the error of ctx.
func (g *Gate) AcquireFor(ctx context.Context, request *Request) (*Slot, error) {
	slot := &Slot{gate: g, request: *request}
	waiting, reason := g.submit(&slot.request)
	switch {
	case waiting:
		return g.wait(ctx, slot)
	case reason != admitted:
		return nil, &RefusedError{reason: reason}
	default:
		return slot, nil
	}
}

// submit reports whether the request waits, and otherwise returns the decision on it.
func (g *Gate) submit(request *Request) (bool, outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = g.state.Submit(g.clock.Now(), request, g.actions[:0])
	waiting, reason := true, admitted
	for _, action := range g.actions {
		if action.Request() == request {
			waiting, reason = false, reasonOf(action)
			continue
		}
		action.Request().decided <- reasonOf(action)
	}
	if waiting {
		request.decided = make(chan outcome.Reason, 1)
	}
	return waiting, reason
}

// WouldRefuse reports whether the request would be refused if it were submitted now, and
// why. It does not submit the request.
func (g *Gate) WouldRefuse(request *Request) (outcome.Reason, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.WouldRefuse(g.clock.Now(), request)
}

func (g *Gate) wait(ctx context.Context, slot *Slot) (*Slot, error) {
	timer := time.NewTimer((slot.request.deadline - g.clock.Now()).Duration())
	defer timer.Stop()
	select {
	case reason := <-slot.request.decided:
		return slot.result(reason)
	case <-ctx.Done():
	case <-timer.C:
	}
	if !g.cancel(&slot.request) {
		// The decision came in the meantime.
		return slot.result(<-slot.request.decided)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, &RefusedError{reason: outcome.ReasonQueueTimeout}
}

func (g *Gate) cancel(request *Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Cancel(request)
}

// UpdateSettings takes the settings that the upstream announced. Only changed
// settings begin a cold start: an upstream may repeat its announcement.
func (g *Gate) UpdateSettings(settings Settings) {
	g.apply(func(now clock.Millis, actions []Action) []Action {
		g.state.UpdateSettings(now, settings)
		return g.state.dispatch(now, actions)
	})
}

// BeginColdStart resets the limit for a new process of the upstream.
func (g *Gate) BeginColdStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.BeginColdStart(g.clock.Now())
}

// UpdateLoad takes a load report of the upstream.
func (g *Gate) UpdateLoad(load upstream.Load) {
	g.apply(func(now clock.Millis, actions []Action) []Action {
		return g.state.UpdateLoad(now, load, actions)
	})
}

// InFlight returns the number of admitted requests that still hold their slot.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.InFlight()
}

// Queued returns the number of waiting requests.
func (g *Gate) Queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Queued()
}

// Limit returns the number of requests that may be in flight now, at least 1.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Limit(g.clock.Now())
}

// Capacity returns the learned capacity of the upstream.
func (g *Gate) Capacity() capacity.Estimate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Capacity(g.clock.Now())
}

// ReportSlowness records the slowness in percent that the upstream reports, 100 at its usual
// speed.
func (g *Gate) ReportSlowness(slowness int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.ReportSlowness(g.clock.Now(), slowness)
}

// ServiceMillis returns the mean time for which a request holds its slot, 0 before
// the first sample.
func (g *Gate) ServiceMillis() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.ServiceMillis()
}

// ClassServiceMillis returns the mean time for which a request of the class holds its
// slot, or that of all requests if the class has no sample.
func (g *Gate) ClassServiceMillis(class string) clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return clock.Millis(g.state.expectedServiceMillis(&Request{class: class}))
}

// LearnedClassMillis returns the time in milliseconds that a request of the class takes now,
// as learned.
func (g *Gate) LearnedClassMillis(class string) clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.ClassMillis(g.clock.Now(), class)
}

// BusySlotMillis returns the sum of the times for which released requests held their
// slots, since the gate was made.
func (g *Gate) BusySlotMillis() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.BusySlotMillis()
}

// apply runs one step of the state and wakes the requests that it decides on.
func (g *Gate) apply(step func(clock.Millis, []Action) []Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = step(g.clock.Now(), g.actions[:0])
	for _, action := range g.actions {
		action.Request().decided <- reasonOf(action)
	}
}

// reasonOf returns the decision that an action carries.
func reasonOf(action Action) outcome.Reason {
	if refuse, ok := action.(Refuse); ok {
		return refuse.Reason()
	}
	return admitted
}

// Slot is the permission to have one request in flight at the upstream. Only the
// first call of Release, ReleaseFailed, ReleaseRefused or ReleaseWithoutSample has an effect.
type Slot struct {
	gate    *Gate
	request Request
	once    sync.Once
}

// Release frees the slot after the upstream accepted the request. The time for which
// the slot was held is a sample of the service time.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.gate.apply(func(now clock.Millis, actions []Action) []Action {
			return s.gate.state.Release(now, &s.request, actions)
		})
	})
}

// ReleaseFailed frees the slot after the upstream failed the request. The time for which the
// slot was held is a sample of the service time if it is longer than expected.
func (s *Slot) ReleaseFailed() {
	s.once.Do(func() {
		s.gate.apply(func(now clock.Millis, actions []Action) []Action {
			return s.gate.state.ReleaseFailed(now, &s.request, actions)
		})
	})
}

// ReleaseRefused frees the slot after the upstream refused the request.
func (s *Slot) ReleaseRefused() {
	s.once.Do(func() {
		s.gate.apply(func(now clock.Millis, actions []Action) []Action {
			return s.gate.state.ReleaseRefused(now, &s.request, actions)
		})
	})
}

// ReleaseWithoutSample frees the slot of a request for which the time that the slot was
// held says nothing about the service time, such as one that was not sent.
func (s *Slot) ReleaseWithoutSample() {
	s.once.Do(func() {
		s.gate.apply(func(now clock.Millis, actions []Action) []Action {
			return s.gate.state.ReleaseWithoutSample(now, &s.request, actions)
		})
	})
}

// HeldMillis returns the time since the request was admitted.
func (s *Slot) HeldMillis() clock.Millis {
	return s.gate.clock.Now() - s.request.admittedAt
}

// result returns the slot, or the error if reason is not admitted.
func (s *Slot) result(reason outcome.Reason) (*Slot, error) {
	if reason != admitted {
		return nil, &RefusedError{reason: reason}
	}
	return s, nil
}
