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
	clock   clock.Clock
	mu      sync.Mutex
	machine *Machine
	// actions is the buffer of the running call.
	actions []Action
}

// NewGate returns a Gate whose cold start begins now.
func NewGate(c clock.Clock, settings Settings) *Gate {
	return &Gate{clock: c, machine: NewMachine(c.Now(), settings)}
}

// Acquire waits for a slot until the deadline. It returns a *RefusedError if
// the request is refused, or the error of ctx.
func (g *Gate) Acquire(ctx context.Context, priority template.Priority, deadline clock.Millis) (*Slot, error) {
	return g.Enter(ctx, NewTicket(priority, deadline))
}

// Enter waits for a slot for a new ticket. It returns a *RefusedError if the
// request is refused, or the error of ctx.
func (g *Gate) Enter(ctx context.Context, ticket *Ticket) (*Slot, error) {
	slot := &Slot{gate: g, ticket: *ticket}
	waits, reason := g.submit(&slot.ticket)
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
func (g *Gate) submit(ticket *Ticket) (bool, outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = g.machine.Submit(g.clock.Now(), ticket, g.actions[:0])
	waits, reason := true, admitted
	for _, action := range g.actions {
		if action.Ticket() == ticket {
			waits, reason = false, verdict(action)
			continue
		}
		action.Ticket().wake <- verdict(action)
	}
	if waits {
		ticket.wake = make(chan outcome.Reason, 1)
	}
	return waits, reason
}

func (g *Gate) wait(ctx context.Context, slot *Slot) (*Slot, error) {
	timer := time.NewTimer((slot.ticket.deadline - g.clock.Now()).Duration())
	defer timer.Stop()
	select {
	case reason := <-slot.ticket.wake:
		return slot.verdict(reason)
	case <-ctx.Done():
	case <-timer.C:
	}
	if !g.cancel(&slot.ticket) {
		// The verdict came in the meantime.
		return slot.verdict(<-slot.ticket.wake)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, &RefusedError{reason: outcome.ReasonQueueTimeout}
}

func (g *Gate) cancel(ticket *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Cancel(ticket)
}

// Announce replaces the settings, as the upstream announced itself. Settings
// that differ start a cold start; an upstream may repeat its announcement.
func (g *Gate) Announce(settings Settings) {
	g.apply(func(now clock.Millis, actions []Action) []Action {
		g.machine.Announce(now, settings)
		return g.machine.dispatch(now, actions)
	})
}

// Restarted starts a cold start, as the upstream has a new process.
func (g *Gate) Restarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.Restarted(g.clock.Now())
}

// Report takes the upstream's own load report.
func (g *Gate) Report(load upstream.Load) {
	g.apply(func(now clock.Millis, actions []Action) []Action {
		return g.machine.Report(now, load, actions)
	})
}

// InFlight returns the admitted requests that have not released their slot.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.InFlight()
}

// Queued returns the waiting requests.
func (g *Gate) Queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Queued()
}

// Slots returns how many requests may be in flight now.
func (g *Gate) Slots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Limit(g.clock.Now())
}

// ServiceMillis returns the measured time for which an order holds its slot, 0
// if there was none.
func (g *Gate) ServiceMillis() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.ServiceMillis()
}

// Expected returns the measured time for which an order of a class holds its slot,
// that of all orders if the class is not known.
func (g *Gate) Expected(class string) clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return clock.Millis(g.machine.serviceOf(&Ticket{class: class}))
}

// BusySlotMillis returns the slot-milliseconds of the released requests since
// the Gate was made.
func (g *Gate) BusySlotMillis() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.BusyMillis()
}

// apply runs one step of the machine and wakes the requests it is about.
func (g *Gate) apply(step func(clock.Millis, []Action) []Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = step(g.clock.Now(), g.actions[:0])
	for _, action := range g.actions {
		action.Ticket().wake <- verdict(action)
	}
}

func verdict(action Action) outcome.Reason {
	if refuse, ok := action.(Refuse); ok {
		return refuse.Reason()
	}
	return admitted
}

// Slot is an admitted request's share of the upstream. Only the first call of
// Release, Refused or Unsent has an effect.
type Slot struct {
	gate   *Gate
	ticket Ticket
	once   sync.Once
}

// Release gives the slot back after the upstream took the order.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.gate.apply(func(now clock.Millis, actions []Action) []Action {
			return s.gate.machine.Release(now, &s.ticket, actions)
		})
	})
}

// Refused gives the slot back after the upstream refused the order.
func (s *Slot) Refused() {
	s.once.Do(func() {
		s.gate.apply(func(now clock.Millis, actions []Action) []Action {
			return s.gate.machine.Refused(now, &s.ticket, actions)
		})
	})
}

// Unsent gives the slot back of an order that was not sent.
func (s *Slot) Unsent() {
	s.once.Do(func() {
		s.gate.apply(func(now clock.Millis, actions []Action) []Action {
			return s.gate.machine.Unsent(now, &s.ticket, actions)
		})
	})
}

// HeldMillis returns for how long the request has held the slot.
func (s *Slot) HeldMillis() clock.Millis {
	return s.gate.clock.Now() - s.ticket.admitted
}

func (s *Slot) verdict(reason outcome.Reason) (*Slot, error) {
	if reason != admitted {
		return nil, &RefusedError{reason: reason}
	}
	return s, nil
}
