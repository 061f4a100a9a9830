package app

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/connlimit"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/dispatch/peerhttp"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/httpserver"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/memory"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/retryafter"
	"briarwell.dev/core/routes"
	"briarwell.dev/platform/callerhttp"
	"briarwell.dev/platform/upstreamrpc"
)

const (
	// readHeaderTimeout bounds the time for reading the header of a request of another sidecar
	// or of the upstream.
	readHeaderTimeout = 10 * time.Second
	// controlReadTimeout bounds the time for reading a report of the upstream or a control
	// message. Their senders wait for at most a second.
	controlReadTimeout = 2 * time.Second
	// unreadBodyTimeout is the time after a response in which a sender that is still sending the
	// body of a rejected request can read the response.
	unreadBodyTimeout = 2 * time.Second
	// idleTimeout is longer than the time for which sidecars and upstreams keep connections,
	// so that no request is sent while the server closes its connection.
	idleTimeout = 120 * time.Second
	// maxHeaderBytes bounds the size of the header of a message from the platform or an
	// upstream.
	maxHeaderBytes = 64 << 10
	// callerHeaderTimeout, callerIdleTimeout and maxCallerHeaderBytes are above what manifests
	// allow callers: net/http answers or closes by them without a reason, and they can't
	// follow the manifest while the server runs.
	callerHeaderTimeout  = time.Minute
	callerIdleTimeout    = 10 * time.Minute
	maxCallerHeaderBytes = 1 << 20
	// maxPeerHeaderBytes bounds the header of a forwarded request, to which a sidecar adds
	// fields.
	maxPeerHeaderBytes = maxCallerHeaderBytes + maxHeaderBytes
	// maxReportBytes bounds the body of a report: 16,384 rows of 32 bytes.
	maxReportBytes = 512 << 10
	// firstGrantWait is the longest time in milliseconds for which the response to an
	// upstream's first report is delayed. An upstream accepts responses that arrive within
	// a second.
	firstGrantWait clock.Millis = 600
	// grantPollInterval is the time between two checks for a grant during firstGrantWait, and
	// for a written departure during departureWait.
	grantPollInterval = 20 * time.Millisecond
	// departureWait is the longest time in milliseconds for which the response to a call that
	// announces a shutdown waits for the store. An upstream accepts responses that arrive
	// within a second.
	departureWait clock.Millis = 800
	// slowRequestThreshold is the duration in milliseconds from which a request is logged
	// although it was served.
	slowRequestThreshold clock.Millis = 2000
)

// SupportedLimits returns the largest limits for callers that a sidecar applies. The memory of an
// instance may bound bodies further.
func SupportedLimits() routes.Limits {
	return routes.Limits{
		MaxHeaderBytes: maxCallerHeaderBytes, MaxBodyBytes: callerhttp.MaxBodyBytes,
		HeaderTimeout: clock.FromDuration(callerHeaderTimeout), IdleTimeout: clock.FromDuration(callerIdleTimeout),
	}
}

// newServer returns a server whose handler bounds the time for reading a body.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: httpserver.ConnContext,
	}
}

// boundUnreadBody bounds the time for which the server reads the rest of a body that next has
// left unread, to unreadBodyTimeout.
func boundUnreadBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// Fails if the connection is closed.
			defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) }()
		}
		next.ServeHTTP(w, r)
	})
}

// newControlServer returns a server for short messages.
func newControlServer(handler http.Handler) *http.Server {
	s := newServer(handler)
	s.ReadTimeout = controlReadTimeout
	return s
}

// newCallerServer returns a server for callers.
func newCallerServer(handler http.Handler) *http.Server {
	s := newServer(boundUnreadBody(handler))
	// net/http would answer "OPTIONS *" with a success of its own.
	s.DisableGeneralOptionsHandler = true
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = callerHeaderTimeout, callerIdleTimeout, maxCallerHeaderBytes
	return s
}

// newPeerServer returns a server for forwarded requests.
func newPeerServer(handler http.Handler) *http.Server {
	s := newServer(boundUnreadBody(handler))
	s.MaxHeaderBytes = maxPeerHeaderBytes
	return s
}

// serveCaller handles a request that was made on this instance.
func (a *App) serveCaller(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	if a.isStopping() {
		w.Header().Set("Connection", "close")
	}
	manifest := a.manifest.Load()
	account := a.memory.Open()
	defer account.Close()
	request, err := callerhttp.DecodeRequest(r, a.clock.Now(), a.settings.Service())
	if err == nil {
		request.Memory = account
		err = a.withLaggingLimits(request, manifest, a.readCallerBody(w, r, request, manifest.Limits()))
	}
	if err != nil && request != nil && a.requests.Err() != nil {
		w.Header().Set("Connection", "close")
		result := dispatch.Result{Reply: a.explainGivenUp(dispatch.NotRun(outcome.ReasonDraining)), RouteFound: true, ManifestVersion: manifest.Version()}
		a.recordCallerRequest(r.Context(), request, result, callerhttp.WriteResult(w, request.ID, result))
		return
	}
	if err != nil {
		a.recordRejected(r, manifest, callerhttp.WriteError(w, callerhttp.RequestID(r), err), err)
		return
	}
	if httpserver.SenderDisconnected(r.Context()) {
		a.logAbandoned(request)
		// A sender that has closed only its sending side still reads the response.
		abandoned := dispatch.Result{Reply: a.explainGivenUp(dispatch.NotRun(outcome.ReasonDeadlineExceeded)), RouteFound: true, ManifestVersion: manifest.Version()}
		a.telemetry.countOwnStatus(callerhttp.WriteResult(w, request.ID, abandoned))
		return
	}
	request.Nested = a.executor.IsRunning(request.ParentID)
	result := a.handleCaller(r.Context(), manifest, request)
	answer := callerhttp.WriteResult(w, request.ID, result)
	a.recordCallerRequest(r.Context(), request, result, answer)
}

// readCallerBody checks the size of a request's header and reads its body. The error is a
// *callerhttp.Error.
func (a *App) readCallerBody(w http.ResponseWriter, r *http.Request, request *dispatch.Request, limits routes.Limits) error {
	if err := callerhttp.CheckHeader(r, limits); err != nil {
		return err
	}
	body := httpserver.NewBody(w, r, a.bodyDeadline(request)-a.clock.Now())
	defer body.Release()
	r.Body = body
	return callerhttp.ReadBody(r, request, limits, a.memory.MaxBody())
}

// bodyDeadline returns the time by which the body of a request must have arrived to be of use.
func (a *App) bodyDeadline(request *dispatch.Request) clock.Millis {
	route, found := a.manifest.Load().Match(request.Host, request.Path())
	switch {
	case !found:
		return min(request.Deadline, request.ReceivedAt+unroutedBodyTimeout)
	case route.Timeout > 0:
		return min(request.Deadline, request.ReceivedAt+route.Timeout)
	default:
		return request.Deadline
	}
}

// handleCaller routes a caller's request. It refuses the request while the sidecar stops,
// and returns a result without a route before the first manifest.
func (a *App) handleCaller(ctx context.Context, manifest *routes.Manifest, request *dispatch.Request) dispatch.Result {
	if manifest.Version() == 0 {
		return dispatch.Result{Reply: dispatch.Reply{RetryAfter: retryafter.Spread(request.Deadline-a.clock.Now(), request.ID)}}
	}
	for {
		result := a.dispatcher.Handle(ctx, manifest, request)
		result.Reply = a.explainGivenUp(result.Reply)
		result = a.withUnknownRoute(request, result)
		// A newer manifest may have come into force while the body was read.
		newest := a.manifest.Load()
		if !isDenied(result) || newest == manifest {
			return result
		}
		manifest = newest
	}
}

// servePeerRequest handles a request that another sidecar forwarded.
func (a *App) servePeerRequest(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	request, service, policy, err := peerhttp.DecodeRequest(r, a.clock.Now())
	if err != nil {
		a.log.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("peerRequestRejected")
		w.Header().Set("Connection", "close") // Otherwise the response waits for the body.
		peerhttp.WriteReply(w, "", dispatch.NotRun(outcome.ReasonMalformed), a.clock)
		return
	}
	account := a.memory.Open()
	defer account.Close()
	request.Memory = account
	if refusal, ok := a.readPeerBody(w, r, request, service, policy); !ok {
		a.logNotServed(request, service, refusal)
		w.Header().Set("Connection", "close")
		peerhttp.WriteReply(w, request.ID, refusal, a.clock)
		return
	}
	if httpserver.SenderDisconnected(r.Context()) {
		a.logAbandoned(request)
		peerhttp.WriteReply(w, request.ID, dispatch.NotRun(outcome.ReasonDeadlineExceeded), a.clock)
		return
	}
	reply := a.explainGivenUp(a.executor.Serve(r.Context(), service, request, policy))
	a.logNotServed(request, service, reply)
	peerhttp.WriteReply(w, request.ID, reply, a.clock)
}

// readPeerBody reads the body of a forwarded request, a large one only if the executor
// accepts it. It returns the refusal and false if the body was not read; the request then
// has not been run.
func (a *App) readPeerBody(w http.ResponseWriter, r *http.Request, request *dispatch.Request, service string, policy dispatch.RequestPolicy) (dispatch.Reply, bool) {
	if httpserver.HeadRefused(r.Context()) {
		a.recordClosing(requestsListener, r.RemoteAddr, connlimit.ReasonHeadMemory, 0, 0)
		return dispatch.NotRun(outcome.ReasonOverloaded).WithRetryAfter(memoryRetryAfter), false
	}
	if r.ContentLength == 0 {
		return dispatch.Reply{}, true
	}
	var schedule balance.Schedule
	if r.ContentLength >= dispatch.LargeBodyBytes {
		var refusal dispatch.Reply
		var ok bool
		if schedule, refusal, ok = a.executor.AcceptBody(service, request, policy, r.ContentLength); !ok {
			return refusal, false
		}
	}
	received := httpserver.NewBody(w, r, request.Deadline-a.clock.Now())
	defer received.Release()
	r.Body = received
	err := peerhttp.ReadBody(r, request, schedule, a.clock)
	if err == nil {
		return dispatch.Reply{}, true
	}
	a.log.Warn().Err(err).Str("request", request.ID).Str("peer", r.RemoteAddr).Int64("bytes", r.ContentLength).Msg("peerBodyNotRead")
	var exhausted *memory.ExhaustedError
	var late *httpserver.LateError
	var evicted *httpserver.EvictedError
	switch {
	case errors.As(err, &exhausted), errors.As(err, &evicted):
		return dispatch.NotRun(outcome.ReasonOverloaded).WithRetryAfter(memoryRetryAfter), false
	case errors.As(err, &late):
		return dispatch.NotRun(outcome.ReasonDeadlineExceeded), false
	}
	return dispatch.NotRun(outcome.ReasonMalformed), false
}

// memoryRetryAfter is the time in milliseconds after which a request for whose body there
// was no memory may be sent again.
const memoryRetryAfter clock.Millis = 300

// sender sends requests to other sidecars, or to the upstream of this instance. It
// implements dispatch.Sender.
type sender struct{ app *App }

// Send sends the request and waits for its reply.
func (s *sender) Send(ctx context.Context, to dispatch.Target, service string, r *dispatch.Request, policy dispatch.RequestPolicy) dispatch.Reply {
	a := s.app
	if to.Name == a.settings.Instance() {
		reply := a.executor.Serve(ctx, service, r, policy)
		a.logNotServed(r, service, reply)
		return reply
	}
	remaining := r.Deadline - a.clock.Now()
	if remaining <= 0 {
		return dispatch.NotRun(outcome.ReasonDeadlineExceeded)
	}
	response, err := a.peers.client(to.Address).Do(ctx, peerhttp.EncodeRequest(r, service, policy, remaining))
	if err == nil {
		return peerhttp.DecodeReply(response)
	}
	a.recordInvalidReply(r, to, err)
	var clientErr *httpclient.Error
	switch {
	case errors.As(err, &clientErr) && !clientErr.Complete():
		// The other sidecar runs a request only once it has read all of it.
		return dispatch.NotRun(outcome.ReasonUnreachable)
	case ctx.Err() != nil:
		return dispatch.Unknown(outcome.ReasonTimeout)
	case clientErr != nil && clientErr.ResponseDropped():
		return dispatch.Unknown(outcome.ReasonResponseDropped)
	default:
		return dispatch.Unknown(outcome.ReasonConnectionLost)
	}
}

// serveReady responds to the platform's readiness probe: with status 200 if callers may
// use this instance, with 503 if not.
func (a *App) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != callerhttp.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if a.isStopping() || a.manifest.Load().Version() == 0 || !a.state.hasMembers() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveReport decodes a heartbeat or deregistration of the upstream on this instance, and
// responds to it.
func (a *App) serveReport(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != upstreamrpc.Path || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	account := a.controlMemory.Open()
	defer account.Close()
	body, err := account.ReadAll(r.Body, r.ContentLength, maxReportBytes)
	if err == nil {
		var call upstreamrpc.Call
		if call, err = upstreamrpc.Decode(r.URL.Query(), body); err == nil {
			a.handleUpstreamCall(w, call)
			return
		}
	}
	a.log.Warn().Err(err).Msg("reportRejected")
	w.WriteHeader(messageErrorStatus(err))
	_, _ = io.WriteString(w, err.Error()+"\n") // The upstream may have disconnected.
}

// awaitGrant delays the response to the first report of an upstream until this sidecar
// has a lease, at most for firstGrantWait, so that the upstream's keys need not wait for
// the next report.
func (a *App) awaitGrant(r heartbeat.Report, grant keyowner.Grant) keyowner.Grant {
	serviceConfig, _ := a.manifest.Load().Service(a.settings.Service())
	deadline := a.clock.Now() + firstGrantWait
	for serviceConfig.Keyed && !grant.Renews() && a.clock.Now() < deadline {
		a.wakeControl()
		time.Sleep(grantPollInterval)
		grant = a.upstream.latestGrant(a.clock.Now(), r)
	}
	return grant
}

// awaitDepartureWritten waits until the store has the newest departure of the upstream, for at
// most departureWait from the receipt of the call. It reports whether the store has it. Only
// then may the call be acknowledged: a restarted sidecar learns of the departure there.
func (a *App) awaitDepartureWritten(receivedAt clock.Millis) bool {
	for a.state.departureUnwritten() {
		if a.clock.Now()-receivedAt >= departureWait {
			return false
		}
		a.wakeControl()
		time.Sleep(grantPollInterval)
	}
	return true
}

func (a *App) handleUpstreamCall(w http.ResponseWriter, call upstreamrpc.Call) {
	receivedAt := a.clock.Now()
	body := []byte("{}")
	departs := false
	a.awaitOwnRowMerged()
	switch call := call.(type) {
	case upstreamrpc.Heartbeat:
		report := call.Report()
		if serviceConfig, _ := a.manifest.Load().Service(a.settings.Service()); serviceConfig.Keyed && report.WithoutKeys {
			a.log.Warn().Str("life", report.Process.String()).Int64("sequence", report.Sequence).Msg("reportWithoutKeys")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		grant, verdict := a.upstream.applyReport(receivedAt, report)
		a.logColdChange("report")
		if verdict == heartbeat.Started {
			grant = a.awaitGrant(report, grant)
		}
		if verdict == heartbeat.Foreign {
			a.log.Warn().Str("life", report.Process.String()).Str("service", report.Service).Str("address", report.Address).Msg("reportOfOtherUpstream")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if verdict != heartbeat.Accepted || report.Leaving {
			a.log.Info().Str("life", report.Process.String()).Str("verdict", string(verdict)).Bool("leaving", report.Leaving).Msg("report")
		}
		body = upstreamrpc.EncodeGrant(grant)
		departs = report.Leaving
	case upstreamrpc.Deregistration:
		known := a.state.recordDeparture(receivedAt, call.Departure(time.Now().UnixMilli()))
		a.log.Info().Str("upstream", call.ID()).Bool("known", known).Msg("upstreamDeparts")
		departs = true
	}
	if departs && !a.awaitDepartureWritten(receivedAt) {
		a.log.Warn().Int64("waitedMillis", int64(a.clock.Now()-receivedAt)).Msg("departureNotAcknowledged")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // The upstream may have disconnected.
	a.wakeControl()
}
