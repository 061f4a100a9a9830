package app

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/dispatch/peerhttp"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/routes"
	"briarwell.dev/platform/callerhttp"
	"briarwell.dev/platform/upstreamrpc"
)

const (
	// readHeaderTimeout bounds the reading of a head; the manifest's limit is checked by
	// callers themselves and changes while a server runs.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than any idle time that the manifest allows callers, so
	// that no request crosses the close of its connection.
	idleTimeout = 120 * time.Second
	// maxHeaderBytes bounds a head.
	maxHeaderBytes = 64 << 10
	// maxReportBytes bounds the body of a report: 16,384 rows of 32 bytes.
	maxReportBytes = 512 << 10
	// firstGrantWait is for how long in milliseconds the answer to an upstream's first
	// report is held back. An upstream takes answers that come within a second.
	firstGrantWait clock.Millis = 600
	// grantPollInterval is the time between two looks at the lease meanwhile.
	grantPollInterval = 20 * time.Millisecond
	// slowRequestThreshold is the time in milliseconds from which a served request is
	// logged.
	slowRequestThreshold clock.Millis = 2000
)

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, conn)
		},
	}
}

// connContextKey is that of a request's connection in its context.
type connContextKey struct{}

// senderDisconnected tells whether the sender of a request has given up. A request that was held up
// on its way may come together with the end of its connection, which the server sees
// too late to keep it from the upstream.
func senderDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connContextKey{}).(net.Conn)
	return ctx.Err() != nil || ok && httpclient.ClosedByPeer(conn)
}

// serveCaller handles a request that began on this instance.
func (a *App) serveCaller(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	if a.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	table := a.manifest.Load()
	request, err := callerhttp.DecodeRequest(r, a.clock.Now(), a.settings.Service(), table.Limits())
	if err != nil {
		status := callerhttp.WriteError(w, callerhttp.RequestID(r), err)
		a.log.Warn().Err(err).Str("request", callerhttp.RequestID(r)).Int("status", status).Msg("requestRejected")
		return
	}
	if senderDisconnected(r.Context()) {
		a.logAbandoned(request)
		return
	}
	request.Nested = a.owner.IsRunning(request.ParentID)
	result := a.handleCaller(r.Context(), table, request)
	status := callerhttp.WriteResult(w, request.ID, result)
	a.recordCallerRequest(r.Context(), request, result, status)
}

func (a *App) handleCaller(ctx context.Context, table *routes.Manifest, request *dispatch.Request) dispatch.Result {
	if a.refusingCallers.Load() {
		reply := dispatch.NotRun(outcome.ReasonDraining).WithRetryAfter(restartRetryAfter)
		return dispatch.Result{Reply: reply, RouteFound: true, ManifestVersion: table.Version()}
	}
	if table.Version() == 0 {
		return dispatch.Result{Reply: dispatch.Reply{RetryAfter: manifestRetryAfter}}
	}
	return a.entry.Handle(ctx, table, request)
}

// restartRetryAfter is the time in milliseconds in which a sidecar ends and is started
// again.
const restartRetryAfter clock.Millis = 800

// manifestRetryAfter is the time in milliseconds after which a sidecar without a
// manifest is worth another attempt.
const manifestRetryAfter clock.Millis = 500

// servePeerRequest handles a request that another sidecar sent on.
func (a *App) servePeerRequest(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	request, service, rules, err := peerhttp.DecodeRequest(r, a.clock.Now())
	if err != nil {
		a.log.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("peerRequestRejected")
		peerhttp.WriteReply(w, dispatch.NotRun(outcome.ReasonMalformed), a.clock)
		return
	}
	if senderDisconnected(r.Context()) {
		a.logAbandoned(request)
		return
	}
	reply := a.owner.Serve(r.Context(), service, request, rules)
	a.logNotServed(request, service, reply)
	peerhttp.WriteReply(w, reply, a.clock)
}

// sender sends requests to other sidecars, or to the own upstream.
type sender struct{ app *App }

// Send sends the request and waits for its reply.
func (s *sender) Send(ctx context.Context, to dispatch.Target, service string, r *dispatch.Request, rules dispatch.RequestPolicy) dispatch.Reply {
	a := s.app
	if to.Name == a.settings.Instance() {
		reply := a.owner.Serve(ctx, service, r, rules)
		a.logNotServed(r, service, reply)
		return reply
	}
	left := r.Deadline - a.clock.Now()
	if left <= 0 {
		return dispatch.NotRun(outcome.ReasonDeadlineExceeded)
	}
	answer, err := a.peers.client(to.Address).Do(ctx, peerhttp.EncodeRequest(r, service, rules, left))
	if err == nil {
		return peerhttp.DecodeReply(answer)
	}
	var failed *httpclient.Error
	switch {
	case errors.As(err, &failed) && !failed.Sent():
		return dispatch.NotRun(outcome.ReasonUnreachable)
	case ctx.Err() != nil:
		return dispatch.Unknown(outcome.ReasonTimeout)
	default:
		return dispatch.Unknown(outcome.ReasonConnectionLost)
	}
}

// serveReady tells whether callers may be sent to this instance.
func (a *App) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != callerhttp.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if a.stopping.Load() || a.manifest.Load().Version() == 0 || !a.state.hasMembers() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveReport handles a call of the upstream on this instance.
func (a *App) serveReport(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != upstreamrpc.Path || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxReportBytes))
	if err == nil {
		var call upstreamrpc.Call
		if call, err = upstreamrpc.Decode(r.URL.Query(), body); err == nil {
			a.handleReport(w, call)
			return
		}
	}
	a.log.Warn().Err(err).Msg("reportRejected")
	w.WriteHeader(http.StatusBadRequest)
	_, _ = io.WriteString(w, err.Error()+"\n") // The upstream may have gone.
}

// awaitGrant holds the answer to the first report of an upstream back until its
// sidecar has a lease, so that its keys don't wait for the next report.
func (a *App) awaitGrant(r heartbeat.Report, grant keyowner.Grant) keyowner.Grant {
	described, _ := a.manifest.Load().Service(a.settings.Service())
	until := a.clock.Now() + firstGrantWait
	for described.Keyed && !grant.Renews() && a.clock.Now() < until {
		a.wakeControl()
		time.Sleep(grantPollInterval)
		grant = a.upstream.latestGrant(a.clock.Now(), r)
	}
	return grant
}

func (a *App) handleReport(w http.ResponseWriter, call upstreamrpc.Call) {
	answer := []byte("{}")
	switch call := call.(type) {
	case upstreamrpc.Heartbeat:
		content := call.Report()
		grant, verdict := a.upstream.applyReport(a.clock.Now(), content)
		if verdict == heartbeat.Started {
			grant = a.awaitGrant(content, grant)
		}
		if verdict == heartbeat.Foreign {
			a.log.Warn().Str("life", content.Process.String()).Str("service", content.Service).Str("address", content.Address).Msg("reportOfOtherUpstream")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if verdict != heartbeat.Accepted || content.Leaving {
			a.log.Info().Str("life", content.Process.String()).Str("verdict", string(verdict)).Bool("leaving", content.Leaving).Msg("report")
		}
		answer = upstreamrpc.EncodeGrant(grant)
	case upstreamrpc.Deregistration:
		left := a.state.recordDeparture(a.clock.Now(), call.ID())
		a.log.Info().Str("upstream", call.ID()).Bool("known", left).Msg("upstreamDeparts")
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer) // The upstream may have gone.
	a.wakeControl()
}
