package app

import (
	"context"
	"errors"
	"net/http"
	"time"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/coldstart"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
	"briarwell.dev/platform/upstreamhttp"
)

const (
	// drainMargin is the time in milliseconds before the end of the drain time at which
	// a leaving upstream gets its last request.
	drainMargin clock.Millis = 500
	// endConfirmDelay is the time after a refused connection at which a second connection
	// is tried before the upstream's process seems to have ended. It is also the timeout of
	// that attempt.
	endConfirmDelay = 100 * time.Millisecond
	// coldProbeTimeout bounds the wait for the answer to a probe. A later answer would come
	// after the next report.
	coldProbeTimeout = 300 * time.Millisecond
	// maxProbeBytes bounds the body of the answer to a probe.
	maxProbeBytes = 64 << 10
)

// upstream connects dispatch.Executor to the upstream of this instance. It implements
// dispatch.Upstream and dispatch.ColdProber.
type upstream struct {
	app    *App
	client *httpclient.Client
	// probeClient sends the probes, whose answers repeat no request ID.
	probeClient *httpclient.Client
	// firstReportAt is when the first report of the known process was received. The lock of the
	// state protects it.
	firstReportAt time.Time
}

// State returns the known state of the upstream at now.
func (u *upstream) State(now clock.Millis) dispatch.UpstreamState {
	s := u.app.state
	serviceConfig, _ := u.app.manifest.Load().Service(s.service)
	shutdownPlan := u.app.currentShutdown()
	s.mu.Lock()
	defer s.mu.Unlock()
	last, seen := s.tracker.Last()
	leavingSince, leaving := s.tracker.LeavingSince()
	return dispatch.UpstreamState{
		Service: s.service,
		Process: last.Process,
		Up:      seen && !s.tracker.Ended(),
		Leaving: leaving || shutdownPlan.Begun(),
		Closed:  shutdownPlan.ClosedToPeers(now) || leaving && now-leavingSince >= u.app.settings.Drain()-drainMargin,
		Keyed:   serviceConfig.Keyed,

		OutOfUse:       s.domain.OutOfUse(),
		OutOfUseClosed: s.domain.Closed(now),
	}
}

// HoldsKey reports whether the upstream holds the key at now.
func (u *upstream) HoldsKey(now clock.Millis, key keyspace.Key) bool {
	s := u.app.state
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.keyController.Holds(now, key)
	return ok
}

// Call sends the request to the upstream and waits for its response.
func (u *upstream) Call(ctx context.Context, process keyspace.Process, r *dispatch.Request, remaining clock.Millis) dispatch.Reply {
	ctx, cancel := u.app.withEndOfRequests(ctx)
	defer cancel()
	sentAt := u.app.clock.Now()
	response, err := u.client.Do(ctx, upstreamhttp.EncodeRequest(r, process, remaining))
	if err == nil {
		var reply dispatch.Reply
		if reply, err = upstreamhttp.DecodeResponse(response); err == nil {
			return reply
		}
	}
	if invalid, ok := upstreamhttp.AsResponseError(err); ok {
		u.app.recordInvalidResponse(r, process, invalid)
		if invalid.Flaw() == upstreamhttp.FlawIncomplete {
			return dispatch.Unknown(outcome.ReasonConnectionLost)
		}
		return dispatch.Unknown(outcome.ReasonInvalidResponse)
	}
	var clientErr *httpclient.Error
	if !errors.As(err, &clientErr) || clientErr.Sent() {
		if ctx.Err() != nil {
			return dispatch.Unknown(outcome.ReasonTimeout)
		}
		if clientErr != nil && clientErr.ResponseDropped() {
			return dispatch.Unknown(outcome.ReasonResponseDropped)
		}
		return dispatch.Unknown(outcome.ReasonConnectionLost)
	}
	if clientErr.ConnectionRefused() {
		u.app.goOnce("confirmEnded", func() { u.confirmEnded(process, sentAt) })
	}
	return dispatch.NotRun(outcome.ReasonUnreachable)
}

// confirmEnded marks the upstream's process as ended if its address still refuses connections after
// endConfirmDelay and none is open. A process that does not listen may hold keys: its end is certain
// only if it has listened since its first report, has not announced its shutdown, and has not reported
// since sentAt, when the refused request was sent.
func (u *upstream) confirmEnded(process keyspace.Process, sentAt clock.Millis) {
	time.Sleep(endConfirmDelay)
	ctx, cancel := context.WithTimeout(context.Background(), endConfirmDelay)
	defer cancel()
	if !u.client.RefusesConnections(ctx) || u.client.HasOpenConnection() {
		return
	}
	s, connectedAt := u.app.state, u.client.ConnectedAt()
	s.mu.Lock()
	last, _ := s.tracker.Last()
	ended := last.Process == process && !s.tracker.Ended()
	certain := !s.tracker.Leaving() && s.tracker.LastReceived() < sentAt && connectedAt.After(u.firstReportAt)
	if ended {
		u.markEnded(certain)
	}
	s.mu.Unlock()
	if ended {
		u.app.logColdChange("ended")
		u.app.log.Warn().Str("life", process.String()).Bool("certain", certain).Msg("upstreamEnded")
		u.app.wakeControl()
	}
}

// markEnded marks the upstream's process as ended. The caller holds the lock of the state.
func (u *upstream) markEnded(certain bool) {
	s := u.app.state
	if certain {
		s.tracker.MarkEnded()
		s.keyController.HandleUpstreamEnd(u.app.clock.Now())
	} else {
		s.tracker.MarkUnreachable()
	}
	u.app.executor.HandleUpstreamEnd()
}

// latestGrant returns the current grant for a report that was applied before. It returns
// the zero Grant if a newer report has been applied since.
func (u *upstream) latestGrant(now clock.Millis, r heartbeat.Report) keyowner.Grant {
	s := u.app.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, _ := s.tracker.Last(); last.Process != r.Process || last.Sequence != r.Sequence {
		return keyowner.Grant{}
	}
	return s.keyController.HandleReport(now, r)
}

// applyReport records a report of the upstream. It returns the grant for the response to
// the report, and the tracker's verdict. Late and foreign reports get the zero Grant.
func (u *upstream) applyReport(now clock.Millis, r heartbeat.Report) (keyowner.Grant, heartbeat.Verdict) {
	s := u.app.state
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, seen := s.tracker.Last()
	verdict := s.tracker.Observe(now, r)
	switch verdict {
	case heartbeat.Started:
		s.keyController.HandleUpstreamRestart(now)
		u.firstReportAt = time.Now()
		u.client.CloseIdle()
		u.app.gate.BeginColdStart()
		u.probeClient.CloseIdle()
	case heartbeat.Accepted:
	default:
		return keyowner.Grant{}, verdict
	}
	u.app.executor.HandleColdReport(r.Sequence, r.ColdRemaining, verdict == heartbeat.Started)
	if !seen || previous.Slots != r.Slots {
		u.app.gate.UpdateSettings(admission.Settings{Slots: r.Slots})
	}
	return s.keyController.HandleReport(now, r), verdict
}

// ProbeCold asks the upstream at its health path whether it is cold.
func (u *upstream) ProbeCold(done func(coldstart.ProbeAnswer)) {
	serviceConfig, _ := u.app.manifest.Load().Service(u.app.settings.Service())
	u.app.telemetry.scope.Counter("cold_probes").Inc(1)
	u.app.goOnce("probeCold", func() {
		ctx, cancel := context.WithTimeout(context.Background(), coldProbeTimeout)
		defer cancel()
		response, err := u.probeClient.Do(ctx, httpclient.Request{
			Method: http.MethodGet, RequestURI: serviceConfig.HealthPath, Host: u.app.settings.UpstreamAddress(), MaxResponseBytes: maxProbeBytes,
		})
		if err != nil {
			u.app.log.Debug().Err(err).Msg("coldProbeFailed")
			done(coldstart.ProbeAnswer{})
			return
		}
		remaining, stated := upstreamhttp.ParseColdRemaining(response.Header)
		if !stated {
			u.app.log.Warn().Int("status", response.Status).Str("path", serviceConfig.HealthPath).Msg("coldTimeNotStated")
		}
		done(coldstart.ProbeAnswer{Answered: true, Stated: stated, Remaining: remaining})
		u.app.logColdChange("probe")
	})
}

// applyColdSettings passes the bounds for cold upstreams in the current manifest to the executor.
func (a *App) applyColdSettings() {
	a.coldSettingsMu.Lock()
	defer a.coldSettingsMu.Unlock()
	serviceConfig, _ := a.manifest.Load().Service(a.settings.Service())
	a.executor.UpdateColdSettings(coldstart.Settings{
		PerSecond: serviceConfig.ColdPerSecond, Closed: serviceConfig.ColdInvalid, ColdStart: serviceConfig.ColdStart,
		Overshoot: a.settings.ColdOvershoot(), Slack: a.settings.ColdSlack(), Probes: serviceConfig.HealthPath != "" && a.settings.ColdProbes(),
	})
}

// logColdChange logs that the upstream has become cold or warm since the last call.
func (a *App) logColdChange(cause string) {
	remaining, cold := a.executor.Cold()
	if a.coldLogged.Swap(cold) == cold {
		return
	}
	if cold {
		a.log.Info().Str("cause", cause).Int64("coldMillis", int64(remaining)).Msg("upstreamCold")
		return
	}
	a.log.Info().Uint64("refused", a.executor.ColdRefusals()).Msg("upstreamWarm")
}
