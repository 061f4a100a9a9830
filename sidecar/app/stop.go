package app

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"briarwell.dev/core/clock"
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
// have ended, then closes the listeners, at the latest at the end of the plan.
func (a *App) stop() {
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
	a.closeListeners(plan.End())
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
				a.log.Warn().Err(err).Str("listener", l.name).Msg("requestsCutOff")
				_ = l.server.Close()
			}
		})
	}
	closing.Wait()
}
