package app

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shutdown"
)

// stopPollInterval is the time between two checks of the requests in flight.
const stopPollInterval = 20 * time.Millisecond

// currentShutdown returns the plan of the shutdown, the zero plan before the stop signal.
func (a *App) currentShutdown() shutdown.Plan {
	if plan := a.shutdownPlan.Load(); plan != nil {
		return *plan
	}
	return shutdown.Plan{}
}

// isStopping reports whether the stop signal has come: callers should use other instances.
func (a *App) isStopping() bool { return a.currentShutdown().Begun() }

// stop waits until callers have noticed that this instance is not ready and the requests in flight
// have ended, then closes the listeners. Requests still in flight at the end of the plan are given
// up.
func (a *App) stop() {
	defer a.giveUpRequests()
	plan := shutdown.Begin(a.clock.Now(), shutdown.Settings{Grace: a.settings.Grace(), Noticed: readinessDelay, Refusal: callerRefusalDelay})
	a.shutdownPlan.Store(&plan)
	began := a.clock.Now()
	a.log.Info().Int64("inFlight", a.inFlight.Load()).Msg("stopping")
	for !plan.MayClose(a.clock.Now(), a.inFlight.Load()) {
		time.Sleep(stopPollInterval)
	}
	// A connection that counts as idle may be closed while a request on it has just been read. Such
	// a request must not be passed on.
	closed := plan.Close()
	a.shutdownPlan.Store(&closed)
	a.log.Info().Int64("inFlight", a.inFlight.Load()).Int64("waitedMillis", int64(a.clock.Now()-began)).Msg("leaving")
	timer := time.AfterFunc(a.until(plan.End()), func() {
		a.log.Warn().Int64("inFlight", a.inFlight.Load()).Msg("requestsGivenUp")
		a.giveUpRequests()
	})
	defer timer.Stop()
	a.closeListeners(plan.ResponsesEnd())
}

func (a *App) until(t clock.Millis) time.Duration { return (t - a.clock.Now()).Duration() }

// closeListeners closes the listeners and the idle connections. It waits until deadline for
// the responses to requests that were read before.
func (a *App) closeListeners(deadline clock.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), a.until(deadline))
	defer cancel()
	var closing conc.WaitGroup
	for _, l := range a.listeners {
		closing.Go(func() {
			if err := l.server.Shutdown(ctx); err != nil {
				a.log.Warn().Err(err).Str("listener", l.name).Int64("inFlight", a.inFlight.Load()).Msg("requestsCutOff")
				_ = l.server.Close()
			}
		})
	}
	closing.Wait()
}

// withEndOfRequests returns ctx with an end when requests are given up, for a request that doesn't
// end with its caller.
func (a *App) withEndOfRequests(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(a.requests, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// explainGivenUp returns the reply to a request that was given up with the reason for it.
func (a *App) explainGivenUp(reply dispatch.Reply) dispatch.Reply {
	if a.requests.Err() == nil {
		return reply
	}
	switch reply.Outcome.(type) {
	case outcome.NotRun:
		reply.Outcome = outcome.NewNotRun(outcome.ReasonDraining)
		return reply.WithRetryAfter(shutdown.RetryAfter)
	case outcome.Unknown:
		reply.Outcome = outcome.NewUnknown(outcome.ReasonStopped)
	}
	return reply
}
