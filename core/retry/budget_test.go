package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/retry"
)

// TestBudgetBurst guards against retries that accumulate while no request fails and
// then exceed the limit of the service. Half of the requests fail after such a time;
// the 18 daemons together may retry 0.2 times the requests and 56 more in 10 s. Without
// a bound on the burst they exceed this limit.
func TestBudgetBurst(t *testing.T) {
	is := is.New(t)
	const daemons, perSecond, windowSeconds = 18, 25, 10
	retries := 0
	for range daemons {
		budget := retry.NewBudget(0.15, 56*0.5/windowSeconds/daemons).WithBurst(2)
		now := clock.Millis(0)
		for i := range 60 * perSecond {
			now += 1000 / perSecond
			budget.RecordFirstAttempt(now)
			if i >= 50*perSecond && budget.Allow(now) {
				retries++
			}
		}
	}
	is.True(retries <= daemons*perSecond*windowSeconds/5+56)
	is.True(retries >= daemons*perSecond*windowSeconds/20)
}

// TestBudgetReserve guards against callers that use up the retries which nested calls
// of upstreams need: a refused nested call wastes the work of its parent request.
// Without a reserve, callers take most of the retries.
func TestBudgetReserve(t *testing.T) {
	is := is.New(t)
	nestedRetries := func(reserve float64) (allowed int) {
		budget := retry.NewBudget(0.1, 0.001).WithBurst(2)
		now := clock.Millis(0)
		for i := range 1000 {
			now += 10
			budget.RecordFirstAttempt(now)
			if i%7 == 6 && budget.Allow(now) { // one nested call per six requests of callers
				allowed++
			}
			if i%7 != 6 {
				budget.AllowWithReserve(now, reserve)
			}
		}
		return allowed
	}
	without, with := nestedRetries(0), nestedRetries(0.5)
	t.Logf("nested calls retried: %d without a reserve, %d with it", without, with)
	is.True(without < with/2)
}
