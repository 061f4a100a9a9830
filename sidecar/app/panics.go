package app

import (
	"errors"
	"net/http"

	"github.com/sourcegraph/conc"

	"briarwell.dev/core/recovery"
	"briarwell.dev/platform/callerhttp"
)

// startTask runs a background task that the sidecar relies on. If the task panics, the
// sidecar stops with that error, since it would go on without leases, rows or a listener.
func (a *App) startTask(tasks *conc.WaitGroup, name string, task func()) {
	tasks.Go(func() {
		if err := recovery.Call(task); err != nil {
			a.logPanic(name, "", err)
			select {
			case a.failures <- err:
			default: // Another task has failed before.
			}
		}
	})
}

// goOnce runs an operation in the background. The sidecar does not rely on it: if it
// panics, it counts as failed.
func (a *App) goOnce(name string, operation func()) {
	go func() {
		if err := recovery.Call(operation); err != nil {
			a.logPanic(name, "", err)
		}
	}()
}

// recoverPanics returns a handler that answers a request whose handling panics with status
// 502: it is unknown whether the request was run.
func (a *App) recoverPanics(listener string, next http.Handler) http.Handler {
	return recovery.Handler(next, func(w http.ResponseWriter, r *http.Request, err *recovery.PanicError) {
		a.logPanic(listener, callerhttp.RequestID(r), err)
		if w != nil {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
}

func (a *App) logPanic(where, request string, err error) {
	a.telemetry.scope.Counter("panics").Inc(1)
	line := a.log.Error().Err(err).Str("where", where).Str("request", request)
	var panicked *recovery.PanicError
	if errors.As(err, &panicked) {
		line = line.Str("stack", panicked.Stack())
	}
	line.Msg("panic")
}
