package admission

import (
	"context"
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// admitted is the verdict of a waiting request that got a slot.
const admitted outcome.Reason = ""

// RefusedError says that a request was refused and will not be run.
type RefusedError struct{ reason outcome.Reason }

// Reason returns overloaded or queue-timeout.
func (e *RefusedError) Reason() outcome.Reason { return e.reason }

func (e *RefusedError) Error() string { return "request refused: " + string(e.reason) }

// Gate is a Machine with a lock and a clock. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock
	mu    sync.Mutex
	state *State
	// actions is the buffer of the running call.
	actions []Action
}

// NewGate returns a Gate whose cold start begins now.
func NewGate(c clock.Clock, settings Settings) *Gate {
	return &Gate{clock: c, state: NewState(c.Now(), settings)}
}

// Acquire waits for a slot until the deadline. It returns a *RefusedError if
// the request is refused, or the error of ctx.
func (g *Gate) Acquire(ctx context.Context, priority template.Priority, deadline clock.Millis) (*Slot, error) {
	return g.AcquireFor(ctx, NewRequest(priority, deadline))
}

// AcquireFor waits for a slot for a new ticket. It returns a *RefusedError if the
// request is refused, or the error of ctx.
func (g *Gate) AcquireFor(ctx context.Context, ticket *Request) (*Slot, error) {
	slot := &Slot{gate: g, request: *ticket}
	waits, reason := g.submit(&slot.request)
	switch {
	case waits:
		return g.wait(ctx, slot)
	case reason != admitted:
		return nil, &RefusedError{reason: reason}
	default:
		return slot, nil
	}
}

// submit returns whether the ticket waits, or else its verdict.
func (g *Gate) submit(ticket *Request) (bool, outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = g.state.Submit(g.clock.Now(), ticket, g.actions[:0])
	waits, reason := true, admitted
	for _, action := range g.actions {
		if action.Request() == ticket {
			waits, reason = false, reasonOf(action)
			continue
		}
		action.Request().decided <- reasonOf(action)
	}
	if waits {
		ticket.decided = make(chan outcome.Reason, 1)
	}
	return waits, reason
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
		// The verdict came in the meantime.
		return slot.result(<-slot.request.decided)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, &RefusedError{reason: outcome.ReasonQueueTimeout}
}

func (g *Gate) cancel(ticket *Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Cancel(ticket)
}

// UpdateSettings replaces the settings, as the upstream announced itself. Settings
// that differ start a cold start; an upstream may repeat its announcement.
func (g *Gate) UpdateSettings(settings Settings) {
	g.apply(func(now clock.Millis, actions []Action) []Action {
		g.state.UpdateSettings(now, settings)
		return g.state.dispatch(now, actions)
	})
}

// BeginColdStart starts a cold start, as the upstream has a new process.
func (g *Gate) BeginColdStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.BeginColdStart(g.clock.Now())
}

// UpdateLoad takes the upstream's own load report.
func (g *Gate) UpdateLoad(load upstream.Load) {
	g.apply(func(now clock.Millis, actions []Action) []Action {
		return g.state.UpdateLoad(now, load, actions)
	})
}

// InFlight returns the admitted requests that have not released their slot.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.InFlight()
}

// Queued returns the waiting requests.
func (g *Gate) Queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Queued()
}

// Limit returns how many requests may be in flight now.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Limit(g.clock.Now())
}

// ServiceMillis returns the measured time for which an order holds its slot, 0
// if there was none.
func (g *Gate) ServiceMillis() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.ServiceMillis()
}

// ClassServiceMillis returns the measured time for which an order of a class holds its slot,
// that of all orders if the class is not known.
func (g *Gate) ClassServiceMillis(class string) clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return clock.Millis(g.state.expectedServiceMillis(&Request{class: class}))
}

// BusySlotMillis returns the slot-milliseconds of the released requests since
// the Gate was made.
func (g *Gate) BusySlotMillis() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.BusySlotMillis()
}

// apply runs one step of the machine and wakes the requests it is about.
func (g *Gate) apply(step func(clock.Millis, []Action) []Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = step(g.clock.Now(), g.actions[:0])
	for _, action := range g.actions {
		action.Request().decided <- reasonOf(action)
	}
}

func reasonOf(action Action) outcome.Reason {
	if refuse, ok := action.(Refuse); ok {
		return refuse.Reason()
	}
	return admitted
}

// Slot is an admitted request's share of the upstream. Only the first call of
// Release, Refused or Unsent has an effect.
type Slot struct {
	gate    *Gate
	request Request
	once    sync.Once
}

// Release gives the slot back after the upstream took the order.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.gate.apply(func(now clock.Millis, actions []Action) []Action {
			return s.gate.state.Release(now, &s.request, actions)
		})
	})
}

// ReleaseRefused gives the slot back after the upstream refused the order.
func (s *Slot) ReleaseRefused() {
	s.once.Do(func() {
		s.gate.apply(func(now clock.Millis, actions []Action) []Action {
			return s.gate.state.ReleaseRefused(now, &s.request, actions)
		})
	})
}

// ReleaseWithoutSample gives the slot back of an order that was not sent.
func (s *Slot) ReleaseWithoutSample() {
	s.once.Do(func() {
		s.gate.apply(func(now clock.Millis, actions []Action) []Action {
			return s.gate.state.ReleaseWithoutSample(now, &s.request, actions)
		})
	})
}

// HeldMillis returns for how long the request has held the slot.
func (s *Slot) HeldMillis() clock.Millis {
	return s.gate.clock.Now() - s.request.admittedAt
}

func (s *Slot) result(reason outcome.Reason) (*Slot, error) {
	if reason != admitted {
		return nil, &RefusedError{reason: reason}
	}
	return s, nil
}
