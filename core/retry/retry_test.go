package retry_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/retry"
)

// TestDecideNeverRetriesUnsafely guards against a retry of a request that may have
// been run, whose body was read, or whose deadline would pass.
func TestDecideNeverRetriesUnsafely(t *testing.T) {
	outcomes := []outcome.Outcome{
		outcome.Done{},
		outcome.NewUnknown(outcome.ReasonTimeout), outcome.NewUnknown(outcome.ReasonOlderEpoch),
		outcome.NewNotRun(outcome.ReasonMoved), outcome.NewNotRun(outcome.ReasonOverloaded), outcome.NewNotRun(outcome.ReasonMalformed),
	}
	rapid.Check(t, func(t *rapid.T) {
		attempt := retry.Attempt{
			Outcome:    rapid.SampledFrom(outcomes).Draw(t, "outcome"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), BodyConsumed: rapid.Bool().Draw(t, "consumed"),
			HasAlternatives: rapid.Bool().Draw(t, "alternatives"), Number: rapid.IntRange(1, 12).Draw(t, "number"), MaxAttempts: 10,
			Now: 1000, Deadline: clock.Millis(rapid.IntRange(900, 1500).Draw(t, "deadline")),
		}
		decision := retry.Decide(attempt, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		resend, ok := decision.(retry.Resend)
		if !ok {
			return
		}
		_, unknown := attempt.Outcome.(outcome.Unknown)
		_, done := attempt.Outcome.(outcome.Done)
		if done || (unknown && !attempt.Idempotent) || attempt.BodyConsumed || attempt.Number >= attempt.MaxAttempts {
			t.Fatalf("unsafe retry of %+v", attempt)
		}
		if resend.Delay() >= retry.BackoffCap || attempt.Now+resend.Delay() >= attempt.Deadline {
			t.Fatalf("backoff of %d ms exceeds the cap or the deadline", resend.Delay())
		}
	})
}

// TestBudgetBoundsRetries guards against retries that multiply the load of an outage.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	var budget retry.Budget
	allowed := 0
	for now := range clock.Millis(10_000) {
		budget.RecordFirstAttempt(now)
		for range 3 {
			if budget.Allow(now) {
				allowed++
			}
		}
	}
	is.True(allowed > 990 && allowed <= 1011) // 10% of 10,000 first attempts, 1 per second and 1 at the start.
}
