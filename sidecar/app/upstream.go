package app

import (
	"context"
	"errors"
	"time"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
	"briarwell.dev/platform/upstreamhttp"
)

const (
	// drainMargin is how long before the bound in milliseconds a leaving upstream
	// gets its last request.
	drainMargin clock.Millis = 500
	// endConfirmDelay is the time after which a refused connection is tried again
	// before the upstream counts as ended.
	endConfirmDelay = 100 * time.Millisecond
)

// upstream is the port of dispatch.Owner to the upstream of this instance.
type upstream struct {
	app    *App
	client *httpclient.Client
}

// State returns what is known of the upstream.
func (u *upstream) State(now clock.Millis) dispatch.UpstreamState {
	s := u.app.state
	described, _ := u.app.manifest.Load().Service(s.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, seen := s.tracker.Last()
	return dispatch.UpstreamState{
		Service: s.service,
		Process: known.Process,
		Up:      seen && !s.tracker.Ended(),
		Leaving: s.tracker.Leaving() || u.app.stopping.Load(),
		Closed:  u.app.upstreamClosed.Load() || s.leaveAcknowledgedAt != 0 && now-s.leaveAcknowledgedAt >= u.app.settings.Drain()-drainMargin,
		Keyed:   described.Keyed,
	}
}

// HoldsKey tells whether the upstream holds the key at now.
func (u *upstream) HoldsKey(now clock.Millis, key keyspace.Key) bool {
	s := u.app.state
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.custodian.Holds(now, key)
	return ok
}

// Call sends the request to the upstream and waits for its answer.
func (u *upstream) Call(ctx context.Context, life keyspace.Process, r *dispatch.Request, left clock.Millis) dispatch.Reply {
	answer, err := u.client.Do(ctx, upstreamhttp.EncodeRequest(r, life, left))
	if err == nil {
		return upstreamhttp.DecodeResponse(answer)
	}
	var failed *httpclient.Error
	if !errors.As(err, &failed) || failed.Sent() {
		if ctx.Err() != nil {
			return dispatch.Unknown(outcome.ReasonTimeout)
		}
		return dispatch.Unknown(outcome.ReasonConnectionLost)
	}
	if failed.ConnectionRefused() {
		go u.confirmTerminated(life)
	}
	return dispatch.NotRun(outcome.ReasonUnreachable)
}

// confirmTerminated notes the end of the upstream's life if its address still refuses
// connections after a moment.
func (u *upstream) confirmTerminated(life keyspace.Process) {
	time.Sleep(endConfirmDelay)
	ctx, cancel := context.WithTimeout(context.Background(), endConfirmDelay)
	defer cancel()
	if !u.client.RefusesConnections(ctx) {
		return
	}
	s := u.app.state
	s.mu.Lock()
	known, _ := s.tracker.Last()
	ended := known.Process == life && !s.tracker.Ended()
	if ended {
		s.tracker.MarkEnded()
		s.custodian.HandleUpstreamRestart(u.app.clock.Now())
	}
	s.mu.Unlock()
	if ended {
		u.app.log.Warn().Str("life", life.String()).Msg("upstreamEnded")
		u.app.wakeControl()
	}
}

// latestGrant returns the answer to the newest report, which was taken before.
func (u *upstream) latestGrant(now clock.Millis, r heartbeat.Report) keyowner.Grant {
	s := u.app.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, _ := s.tracker.Last(); known.Process != r.Process || known.Sequence != r.Sequence {
		return keyowner.Grant{}
	}
	return s.custodian.HandleReport(now, r)
}

// applyReport takes a report of the upstream.
func (u *upstream) applyReport(now clock.Millis, r heartbeat.Report) (keyowner.Grant, heartbeat.Verdict) {
	s := u.app.state
	s.mu.Lock()
	defer s.mu.Unlock()
	before, seen := s.tracker.Last()
	verdict := s.tracker.Observe(now, r)
	switch verdict {
	case heartbeat.Started:
		s.custodian.HandleUpstreamRestart(now)
		s.leaveAcknowledgedAt = 0
		u.client.CloseIdle()
	case heartbeat.Accepted:
	default:
		return keyowner.Grant{}, verdict
	}
	if !seen || before.Slots != r.Slots {
		u.app.gate.UpdateSettings(admission.Settings{Slots: r.Slots})
	}
	if s.tracker.Leaving() && s.leaveAcknowledgedAt == 0 {
		s.leaveAcknowledgedAt = now
	}
	return s.custodian.HandleReport(now, r), verdict
}
