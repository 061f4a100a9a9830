package retryafter_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/retryafter"
)

func refused(id string, rank int) retryafter.Request {
	return retryafter.Request{ID: id, Class: "r", Key: 7, Rank: rank, Deadline: 900, LatencyBudget: 400}
}

// TestPlaces guards against retries that exceed the capacity, less urgent ranks that get
// earlier times than more urgent ones, retry times that callers don't honour, places for
// callers without a further retry, and places that never expire.
func TestPlaces(t *testing.T) {
	is := is.New(t)
	var s retryafter.Schedule
	capacity := retryafter.Capacity{Slots: 4, ServiceTime: 100, ClassServiceTime: 100}
	for i := range 6 {
		is.Equal(s.Refuse(0, capacity, refused("low", 1)), clock.Millis(60+25*i))
	}
	is.Equal(s.Refuse(0, capacity, refused("urgent", 0)), clock.Millis(60))
	for i := range 100 {
		is.True(s.Refuse(0, capacity, refused(fmt.Sprint(i), 1)) <= 300)
	}
	promised := s.Counts(0).Promised
	final := refused("final", 0)
	final.Final = true
	s.Refuse(0, capacity, final)
	is.Equal(s.Counts(0).Promised, promised)
	is.True(promised <= 13) // 10 places of 25 ms from 60 to 300 ms, and those of rank 0
	is.True(!s.Arrive(20, refused("early", 1)))
	is.True(s.Arrive(60, refused("retry", 1)))
	other := refused("other", 1)
	other.Deadline += 60
	is.True(!s.Arrive(80, other)) // a first attempt with the same timeout
	is.Equal(s.Counts(500).Expired, promised-1)
}

// TestAbandonedPlaces guards against places that stay taken although their callers have not
// come back, and against a schedule without room after a time without load.
func TestAbandonedPlaces(t *testing.T) {
	is := is.New(t)
	var s retryafter.Schedule
	capacity := retryafter.Capacity{Slots: 1, ServiceTime: 400}
	is.Equal(s.Refuse(0, capacity, retryafter.Request{Deadline: 3000}), clock.Millis(400))
	is.Equal(s.Refuse(0, capacity, retryafter.Request{Deadline: 3000}), clock.Millis(800))
	is.Equal(s.Refuse(1000, capacity, retryafter.Request{Deadline: 4000}), clock.Millis(400))
}

// TestSpread guards against a constant time for all callers that are refused at the same
// time, and against one that callers cut.
func TestSpread(t *testing.T) {
	is := is.New(t)
	var times [5]int
	for i := range 1000 {
		after := retryafter.Spread(900, fmt.Sprintf("request-%d", i))
		is.True(after >= 150 && after <= 300)
		times[min((after-150)/31, 4)]++
	}
	for _, count := range times {
		is.True(count > 150)
	}
	is.Equal(retryafter.Spread(0, "x"), clock.Millis(1))
	is.True(retryafter.Spread(120, "x") <= 40)
}

// TestUnpromisedRetryMeetsTarget guards against callers without a place in the schedule that are
// told to retry so late that the response misses their target.
func TestUnpromisedRetryMeetsTarget(t *testing.T) {
	is := is.New(t)
	var s retryafter.Schedule
	capacity := retryafter.Capacity{Slots: 1, Waiting: 8, ServiceTime: 100, ClassServiceTime: 100}
	earliest, latest := clock.Millis(1000), clock.Millis(0)
	for i := range 100 {
		after := s.Refuse(0, capacity, retryafter.Request{ID: fmt.Sprintf("request-%d", i), Class: "r", Deadline: 1500, LatencyBudget: 400})
		earliest, latest = min(earliest, after), max(latest, after)
	}
	is.Equal(s.Counts(0).Promised, uint64(0)) // the queue alone takes 900 ms
	is.True(earliest < 100)
	is.True(latest <= 400-100-40)
	late := s.Refuse(0, capacity, retryafter.Request{ID: "late", Class: "r", Deadline: 1500, LatencyBudget: 120})
	is.True(late >= 250) // no retry meets the target: later upstreams have more capacity
}

// TestRefusals guards against a retry that counts as a first attempt because it comes soon,
// and against another first attempt for the same key that counts as a retry.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	var f retryafter.Refusals
	f.Record(0, 100, refused("first", 0))
	is.True(!f.TakeRetry(30, refused("other caller", 0))) // the same deadline, but too early
	later := refused("first attempt 100 ms later", 0)
	later.Deadline += 100
	is.True(!f.TakeRetry(100, later))
	is.True(f.TakeRetry(100, refused("retry", 0)))
	is.True(!f.TakeRetry(101, refused("second retry", 0)))
}
