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

// TestStateInvariants guards against requests that get no decision or two, more
// requests in flight than slots, a queue longer than its limit, and priority
// inversion.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, queue = 4, 6
		state := admission.NewState(0, admission.Settings{Slots: slots, QueueLimit: queue, ColdStart: 100})
		now := clock.Millis(0)
		running, waiting, created := map[*admission.Request]int{}, map[*admission.Request]int{}, 0
		apply := func(actions []admission.Action) {
			for _, action := range actions {
				request := action.Request()
				number, ok := waiting[request]
				if !ok {
					t.Fatal("decision on a request that is not waiting")
				}
				delete(waiting, request)
				if _, ok := action.(admission.Admit); !ok {
					continue
				}
				running[request] = number
				for other := range waiting {
					if other.Priority() > request.Priority() {
						t.Fatal("a request was admitted before one of higher priority")
					}
				}
			}
		}
		// The choice must not depend on the order of the map, so that a seed always
		// gives the same run.
		oldestOf := func(set map[*admission.Request]int) (oldest *admission.Request) {
			for request, number := range set {
				if oldest == nil || number < set[oldest] {
					oldest = request
				}
			}
			return oldest
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 20).Draw(t, "advance"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				timeout := clock.Millis(rapid.IntRange(-5, 300).Draw(t, "timeout"))
				request := admission.NewRequest(template.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), now+timeout)
				created++
				waiting[request] = created
				apply(state.Submit(now, request, nil))
			case 3, 4:
				if request := oldestOf(running); request != nil {
					delete(running, request)
					apply(state.Release(now, request, nil))
				}
			case 5:
				if request := oldestOf(running); request != nil {
					delete(running, request)
					apply(state.ReleaseRefused(now, request, nil))
				}
			case 6:
				if request := oldestOf(waiting); request != nil && state.Cancel(request) {
					delete(waiting, request)
				}
				apply(state.UpdateLoad(now, upstream.Load{InFlight: rapid.IntRange(0, 9).Draw(t, "load"), Slots: slots}, nil))
			}
			if state.InFlight() != len(running) || state.Queued() != len(waiting) {
				t.Fatalf("in flight %d, want %d; queued %d, want %d", state.InFlight(), len(running), state.Queued(), len(waiting))
			}
			if state.Limit(now) < 1 || state.Limit(now) > slots || state.InFlight() > slots || state.Queued() > queue {
				t.Fatalf("limit %d, in flight %d, queued %d", state.Limit(now), state.InFlight(), state.Queued())
			}
		}
	})
}

// TestLimitFollowsUpstream guards against a limit that ignores a cold start or
// refusals of the upstream, and against load reports that count for too long.
func TestLimitFollowsUpstream(t *testing.T) {
	is := is.New(t)
	state := admission.NewState(0, admission.Settings{Slots: 8, ColdStart: 1000})
	is.Equal(state.Limit(0), 2)
	is.Equal(state.Limit(500), 4)
	is.Equal(state.Limit(1000), 8)
	serve := func(now clock.Millis, release func(clock.Millis, *admission.Request, []admission.Action) []admission.Action) {
		request := admission.NewRequest(template.PriorityNormal, now+1000)
		is.Equal(len(state.Submit(now, request, nil)), 1)
		release(now+1, request, nil)
	}
	serve(1000, state.ReleaseRefused)
	serve(1002, state.ReleaseRefused)
	is.Equal(state.Limit(1010), 5)
	for i := range clock.Millis(40) {
		serve(1300+i, state.Release)
	}
	is.Equal(state.Limit(1400), 8)
	state.UpdateSettings(1400, admission.Settings{Slots: 8, ColdStart: 1000})
	is.Equal(state.Limit(1400), 8) // A repeated announcement begins no cold start.
	state.UpdateLoad(1400, upstream.Load{InFlight: 100, Slots: 8}, nil)
	is.Equal(state.Limit(1400), 4)
	is.Equal(state.Limit(3500), 8)
	state.BeginColdStart(3500)
	is.Equal(state.Limit(3500), 2)
}

// TestGateCancelAndTimeout guards against requests that stay in the queue after their
// caller has left or their deadline has passed.
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

// TestGateConcurrent guards against slots that leak or are given twice when requests
// are released, cancelled and refused concurrently.
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

// queueModel is a queue in the goodput simulation. submit and finish return the jobs
// that start.
type queueModel interface {
	submit(now clock.Millis, j *job) []*job
	finish(now clock.Millis, j *job) []*job
}

// fifoQueue is an unbounded first-in, first-out queue.
type fifoQueue struct {
	free  int
	queue []*job
}

func (q *fifoQueue) submit(_ clock.Millis, j *job) []*job {
	q.queue = append(q.queue, j)
	return q.start()
}

func (q *fifoQueue) finish(clock.Millis, *job) []*job { q.free++; return q.start() }

func (q *fifoQueue) start() []*job {
	count := min(q.free, len(q.queue))
	started := q.queue[:count]
	q.queue, q.free = q.queue[count:], q.free-count
	return started
}

// admissionQueue is the queue of this package.
type admissionQueue struct {
	state    *admission.State
	requests map[*job]*admission.Request
	jobs     map[*admission.Request]*job
}

func (q *admissionQueue) submit(now clock.Millis, j *job) []*job {
	request := admission.NewRequest(template.PriorityNormal, j.deadline)
	q.requests[j], q.jobs[request] = request, j
	return q.started(q.state.Submit(now, request, nil))
}

func (q *admissionQueue) finish(now clock.Millis, j *job) []*job {
	return q.started(q.state.Release(now, q.requests[j], nil))
}

func (q *admissionQueue) started(actions []admission.Action) []*job {
	var jobs []*job
	for _, action := range actions {
		if _, ok := action.(admission.Admit); ok {
			jobs = append(jobs, q.jobs[action.Request()])
		}
	}
	return jobs
}

const (
	simulatedSlots         = 12
	simulatedServiceMillis = 20.0
	simulatedMillis        = 30_000
	simulatedTimeoutMillis = 200
)

// goodput returns the jobs that end by their deadline as a share of the capacity.
func goodput(queue queueModel, load float64, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 0))
	capacity := simulatedSlots / simulatedServiceMillis
	ending, inTime, next := map[clock.Millis][]*job{}, 0, 0.0
	start := func(now clock.Millis, jobs []*job) {
		for _, j := range jobs {
			j.end = now + max(1, clock.Millis(math.Round(random.ExpFloat64()*simulatedServiceMillis)))
			ending[j.end] = append(ending[j.end], j)
		}
	}
	for now := range clock.Millis(simulatedMillis) {
		for _, j := range ending[now] {
			if j.end <= j.deadline {
				inTime++
			}
			start(now, queue.finish(now, j))
		}
		delete(ending, now)
		for ; next < float64(now+1); next += random.ExpFloat64() / (load * capacity) {
			start(now, queue.submit(now, &job{deadline: now + simulatedTimeoutMillis}))
		}
	}
	return float64(inTime) / (capacity * simulatedMillis)
}

// TestGoodputUnderOverload guards against a queue that, under overload, spends the
// capacity on requests whose deadline has passed: its goodput must be at least that
// of an unbounded FIFO queue.
func TestGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{1, 1.5, 3} {
		state := admission.NewState(0, admission.Settings{Slots: simulatedSlots})
		admitted := goodput(&admissionQueue{state: state, requests: map[*job]*admission.Request{}, jobs: map[*admission.Request]*job{}}, load, 7)
		fifo := goodput(&fifoQueue{free: simulatedSlots}, load, 7)
		t.Logf("load %.1fx of capacity: goodput %.1f%% of capacity, unbounded FIFO %.1f%%", load, admitted*100, fifo*100)
		is.True(admitted >= fifo)
	}
}
