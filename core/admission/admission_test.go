package admission_test

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/manual"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// TestMachineInvariants guards against requests that get no verdict or two,
// more orders than slots, a queue without bound, and inverted priorities.
func TestMachineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, queue = 4, 6
		m := admission.NewState(0, admission.Settings{Slots: slots, QueueLimit: queue, ColdStart: 100})
		now := clock.Millis(0)
		running, waiting, created := map[*admission.Request]int{}, map[*admission.Request]int{}, 0
		apply := func(actions []admission.Action) {
			for _, action := range actions {
				ticket := action.Request()
				number, ok := waiting[ticket]
				if !ok {
					t.Fatal("verdict for a request that is not waiting")
				}
				delete(waiting, ticket)
				if _, ok := action.(admission.Admit); !ok {
					continue
				}
				running[ticket] = number
				for other := range waiting {
					if other.Priority() > ticket.Priority() {
						t.Fatal("a lower priority went first")
					}
				}
			}
		}
		// The oldest, so that a seed gives one run.
		pick := func(set map[*admission.Request]int) (oldest *admission.Request) {
			for ticket, number := range set {
				if oldest == nil || number < set[oldest] {
					oldest = ticket
				}
			}
			return oldest
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 20).Draw(t, "advance"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				timeout := clock.Millis(rapid.IntRange(-5, 300).Draw(t, "timeout"))
				ticket := admission.NewRequest(template.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), now+timeout)
				created++
				waiting[ticket] = created
				apply(m.Submit(now, ticket, nil))
			case 3, 4:
				if ticket := pick(running); ticket != nil {
					delete(running, ticket)
					apply(m.Release(now, ticket, nil))
				}
			case 5:
				if ticket := pick(running); ticket != nil {
					delete(running, ticket)
					apply(m.ReleaseRefused(now, ticket, nil))
				}
			case 6:
				if ticket := pick(waiting); ticket != nil && m.Cancel(ticket) {
					delete(waiting, ticket)
				}
				apply(m.UpdateLoad(now, upstream.Load{InFlight: rapid.IntRange(0, 9).Draw(t, "load"), Slots: slots}, nil))
			}
			if m.InFlight() != len(running) || m.Queued() != len(waiting) {
				t.Fatalf("in flight %d, want %d; queued %d, want %d", m.InFlight(), len(running), m.Queued(), len(waiting))
			}
			if m.Limit(now) < 1 || m.Limit(now) > slots || m.InFlight() > slots || m.Queued() > queue {
				t.Fatalf("limit %d, in flight %d, queued %d", m.Limit(now), m.InFlight(), m.Queued())
			}
		}
	})
}

// TestLimitFollowsUpstream guards against a cold upstream that is flooded, one
// that refuses and gets no relief, and reports that are trusted for too long.
func TestLimitFollowsUpstream(t *testing.T) {
	is := is.New(t)
	m := admission.NewState(0, admission.Settings{Slots: 8, ColdStart: 1000})
	is.Equal(m.Limit(0), 2)
	is.Equal(m.Limit(500), 4)
	is.Equal(m.Limit(1000), 8)
	pass := func(now clock.Millis, end func(clock.Millis, *admission.Request, []admission.Action) []admission.Action) {
		ticket := admission.NewRequest(template.PriorityNormal, now+1000)
		is.Equal(len(m.Submit(now, ticket, nil)), 1)
		end(now+1, ticket, nil)
	}
	pass(1000, m.ReleaseRefused)
	pass(1002, m.ReleaseRefused)
	is.Equal(m.Limit(1010), 5)
	for i := range clock.Millis(40) {
		pass(1300+i, m.Release)
	}
	is.Equal(m.Limit(1400), 8)
	m.UpdateSettings(1400, admission.Settings{Slots: 8, ColdStart: 1000})
	is.Equal(m.Limit(1400), 8) // A repeated announcement is no restart.
	m.UpdateLoad(1400, upstream.Load{InFlight: 100, Slots: 8}, nil)
	is.Equal(m.Limit(1400), 4)
	is.Equal(m.Limit(3500), 8)
	m.BeginColdStart(3500)
	is.Equal(m.Limit(3500), 2)
}

// TestGateCancelAndTimeout guards against requests that keep their place in
// the queue after their caller left, or wait beyond their deadline.
func TestGateCancelAndTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := admission.NewGate(&manual.Clock{}, admission.Settings{Slots: 1})
		slot, err := gate.Acquire(t.Context(), template.PriorityNormal, 100)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		errs := make(chan error, 2)
		go func() {
			_, err := gate.Acquire(ctx, template.PriorityNormal, 1000)
			errs <- err
		}()
		synctest.Wait()
		is.Equal(gate.Queued(), 1)
		cancel()
		is.Equal(<-errs, context.Canceled)
		_, err = gate.Acquire(t.Context(), template.PriorityNormal, 50)
		var refused *admission.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason(), outcome.ReasonQueueTimeout)
		is.Equal(gate.Queued(), 0)
		slot.Release()
		slot.Release()
		is.Equal(gate.InFlight(), 0)
	})
}

// TestGateConcurrent guards against slots that leak or are given twice when
// requests end, give up and are refused at the same time.
func TestGateConcurrent(t *testing.T) {
	is := is.New(t)
	gate := admission.NewGate(system.Clock{}, admission.Settings{Slots: 4})
	var group conc.WaitGroup
	var running atomic.Int64
	for worker := range 32 {
		random := rand.New(rand.NewPCG(9, uint64(worker)))
		group.Go(func() {
			for range 100 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(3000))*time.Microsecond)
				slot, err := gate.Acquire(ctx, template.Priority(random.IntN(4)), system.Clock{}.Now()+clock.Millis(random.IntN(20)))
				if err == nil {
					is.True(running.Add(1) <= 4)
					time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
					running.Add(-1)
					[]func(){slot.Release, slot.ReleaseRefused, slot.ReleaseWithoutSample}[random.IntN(3)]()
				}
				cancel()
				gate.UpdateLoad(upstream.Load{InFlight: random.IntN(6), Slots: 4})
				gate.UpdateSettings(admission.Settings{Slots: 4, ColdStart: clock.Millis(random.IntN(2))})
			}
		})
	}
	group.Wait()
	is.Equal(gate.InFlight()+gate.Queued(), 0)
}

// job is a request in the goodput simulation.
type job struct{ deadline, end clock.Millis }

// line is a way of admission in the simulation: both return the started jobs.
type line interface {
	submit(now clock.Millis, j *job) []*job
	finish(now clock.Millis, j *job) []*job
}

// naive is an unbounded first-in, first-out queue.
type naive struct {
	free  int
	queue []*job
}

func (n *naive) submit(_ clock.Millis, j *job) []*job {
	n.queue = append(n.queue, j)
	return n.start()
}

func (n *naive) finish(clock.Millis, *job) []*job { n.free++; return n.start() }

func (n *naive) start() []*job {
	count := min(n.free, len(n.queue))
	started := n.queue[:count]
	n.queue, n.free = n.queue[count:], n.free-count
	return started
}

type bounded struct {
	machine *admission.State
	tickets map[*job]*admission.Request
	jobs    map[*admission.Request]*job
}

func (b *bounded) submit(now clock.Millis, j *job) []*job {
	ticket := admission.NewRequest(template.PriorityNormal, j.deadline)
	b.tickets[j], b.jobs[ticket] = ticket, j
	return b.started(b.machine.Submit(now, ticket, nil))
}

func (b *bounded) finish(now clock.Millis, j *job) []*job {
	return b.started(b.machine.Release(now, b.tickets[j], nil))
}

func (b *bounded) started(actions []admission.Action) []*job {
	var jobs []*job
	for _, action := range actions {
		if _, ok := action.(admission.Admit); ok {
			jobs = append(jobs, b.jobs[action.Request()])
		}
	}
	return jobs
}

const (
	simulatedSlots   = 12
	simulatedService = 20.0
	simulatedMillis  = 30_000
	simulatedTimeout = 200
)

// goodput returns the share of the capacity that ends within its deadline.
func goodput(l line, load float64, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 0))
	capacity := simulatedSlots / simulatedService
	ends, good, next := map[clock.Millis][]*job{}, 0, 0.0
	begin := func(now clock.Millis, jobs []*job) {
		for _, j := range jobs {
			j.end = now + max(1, clock.Millis(math.Round(random.ExpFloat64()*simulatedService)))
			ends[j.end] = append(ends[j.end], j)
		}
	}
	for now := range clock.Millis(simulatedMillis) {
		for _, j := range ends[now] {
			if j.end <= j.deadline {
				good++
			}
			begin(now, l.finish(now, j))
		}
		delete(ends, now)
		for ; next < float64(now+1); next += random.ExpFloat64() / (load * capacity) {
			begin(now, l.submit(now, &job{deadline: now + simulatedTimeout}))
		}
	}
	return float64(good) / (capacity * simulatedMillis)
}

// TestGoodputUnderOverload guards against an overload that fills the queue
// with requests whose callers have given up.
func TestGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{1, 1.5, 3} {
		machine := admission.NewState(0, admission.Settings{Slots: simulatedSlots})
		own := goodput(&bounded{machine: machine, tickets: map[*job]*admission.Request{}, jobs: map[*admission.Request]*job{}}, load, 7)
		plain := goodput(&naive{free: simulatedSlots}, load, 7)
		t.Logf("load %.1fx of capacity: goodput %.1f%% of capacity, unbounded FIFO %.1f%%", load, own*100, plain*100)
		is.True(own >= plain)
	}
}
