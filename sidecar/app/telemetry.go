package app

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/connlimit"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/httpresponse"
	"briarwell.dev/core/httpserver"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/logs"
	"briarwell.dev/core/metrics"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/routes"
	"briarwell.dev/platform/callerhttp"
	"briarwell.dev/platform/store"
	"briarwell.dev/platform/upstreamhttp"
)

const (
	// maxRequestLinesPerSecond bounds the log lines about requests per second,
	// separately for requests of callers and requests to this instance's upstream.
	maxRequestLinesPerSecond = 60
	// gaugeInterval is the time between two updates of the gauges.
	gaugeInterval = time.Second
	metricsPath   = "/metrics"
	// maxRequestSeries bounds the metric series of requests, since the routes, and
	// with them the services, change while the process runs.
	maxRequestSeries = 512
	// maxRejectionLinesPerSecond bounds the log lines per second about requests that this
	// process ends with a status from 400 to 499, and those about responses that are not passed
	// on. They have bounds of their own, as refusals are frequent under load.
	maxRejectionLinesPerSecond = 20
	// maxLoggedPathBytes bounds the path in a log line.
	maxLoggedPathBytes = 80
)

// telemetry holds the metrics of the sidecar and the rate limits of the log lines about
// requests.
type telemetry struct {
	scope              tally.Scope
	collector          *metrics.Collector
	closer             io.Closer
	callerLogLimiter   *logs.Limiter
	executorLogLimiter *logs.Limiter
	// rejectionLogLimiter applies to own statuses from 400 to 499.
	rejectionLogLimiter *logs.Limiter
	// closingLogLimiter applies to connections that are closed for a limit.
	closingLogLimiter *logs.Limiter
	// responseLogLimiter applies to responses that are not passed on.
	responseLogLimiter *logs.Limiter

	mu          sync.Mutex
	series      map[seriesKey]requestSeries
	ownStatuses map[callerhttp.Answer]tally.Counter
}

type seriesKey struct {
	service string
	outcome string
	reason  outcome.Reason
}

type requestSeries struct {
	count   tally.Counter
	latency tally.Histogram
}

func newTelemetry() *telemetry {
	t := &telemetry{
		callerLogLimiter: logs.NewLimiter(maxRequestLinesPerSecond), executorLogLimiter: logs.NewLimiter(maxRequestLinesPerSecond),
		rejectionLogLimiter: logs.NewLimiter(maxRejectionLinesPerSecond), responseLogLimiter: logs.NewLimiter(maxRejectionLinesPerSecond),
		closingLogLimiter: logs.NewLimiter(maxRejectionLinesPerSecond),
		series:            make(map[seriesKey]requestSeries), ownStatuses: make(map[callerhttp.Answer]tally.Counter),
	}
	t.scope, t.collector, t.closer = metrics.New()
	return t
}

// latencyBuckets returns the bounds of the latency histogram.
func latencyBuckets() tally.DurationBuckets {
	return tally.DurationBuckets{
		10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
		400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond,
	}
}

// countRequest counts a completed request of a caller and its latency. Requests whose
// series would exceed maxRequestSeries are not counted.
func (t *telemetry) countRequest(result dispatch.Result, took clock.Millis) {
	key := seriesKey{service: result.Service, outcome: "no-route"}
	if result.Outcome != nil {
		key.outcome, key.reason = result.Outcome.String(), outcome.ReasonOf(result.Outcome)
	}
	t.mu.Lock()
	s, ok := t.series[key]
	if !ok && len(t.series) < maxRequestSeries {
		scope := t.scope.Tagged(map[string]string{"service": key.service, "outcome": key.outcome, "reason": string(key.reason)})
		s = requestSeries{count: scope.Counter("requests"), latency: scope.Histogram("request_latency", latencyBuckets())}
		t.series[key] = s
	}
	t.mu.Unlock()
	if s.count != nil {
		s.count.Inc(1)
		s.latency.RecordDuration(took.Duration())
	}
}

// countOwnStatus counts a status that this process gave a caller itself, by status and reason.
func (t *telemetry) countOwnStatus(answer callerhttp.Answer) {
	if !answer.Own() {
		return
	}
	t.mu.Lock()
	counter, ok := t.ownStatuses[answer]
	if !ok && len(t.ownStatuses) < maxRequestSeries {
		tags := map[string]string{"status": strconv.Itoa(answer.Status()), "reason": string(answer.Reason())}
		counter = t.scope.Tagged(tags).Counter("own_statuses")
		t.ownStatuses[answer] = counter
	}
	t.mu.Unlock()
	if counter != nil {
		counter.Inc(1)
	}
}

// isRejection reports whether the answer says that the caller's request is at fault.
func isRejection(answer callerhttp.Answer) bool {
	return answer.Own() && answer.Status() >= http.StatusBadRequest && answer.Status() < http.StatusInternalServerError
}

// recordRejected counts and logs a request that was rejected with err before it had a route.
func (a *App) recordRejected(r *http.Request, manifest *routes.Manifest, answer callerhttp.Answer, err error) {
	if answer.Abandoned() {
		a.telemetry.scope.Counter("requests_broken_off").Inc(1)
		if ok, omitted := a.telemetry.executorLogLimiter.Allow(a.clock.Now()); ok {
			a.log.Info().Err(err).Str("request", callerhttp.RequestID(r)).Int64("bytes", r.ContentLength).Int64("omitted", omitted).Msg("requestBrokenOff")
		}
		return
	}
	a.telemetry.scope.Counter("requests_rejected").Inc(1)
	a.telemetry.countOwnStatus(answer)
	ok, omitted := a.telemetry.rejectionLogLimiter.Allow(a.clock.Now())
	if !ok {
		return
	}
	a.log.Warn().Err(err).Str("request", callerhttp.RequestID(r)).Str("host", r.Host).Str("path", loggedPath(r.RequestURI)).
		Int("status", answer.Status()).Str("reason", string(answer.Reason())).
		Uint64("manifest", manifest.Version()).Int64("manifestAgeMillis", a.manifestAgeMillis()).
		Int64("bytes", r.ContentLength).Int64("manifestMaxBytes", manifest.Limits().MaxBodyBytes).Int64("memoryMaxBytes", a.memory.MaxBody()).
		Int64("omitted", omitted).Msg("requestRejected")
}

// recordProtocolStatus counts and logs a status that net/http gave a caller itself.
func (a *App) recordProtocolStatus(conn *httpserver.Conn, status int) {
	a.telemetry.countOwnStatus(callerhttp.ProtocolAnswer(status))
	if ok, omitted := a.telemetry.rejectionLogLimiter.Allow(a.clock.Now()); ok {
		a.log.Warn().Str("caller", conn.RemoteAddr().String()).Int("status", status).Str("reason", string(callerhttp.ReasonProtocol)).
			Int("maxHeaderBytes", maxCallerHeaderBytes).Int64("omitted", omitted).Msg("requestRejected")
	}
}

// recordClosing counts and logs a connection that is closed for a limit, and the status that its client
// gets.
func (a *App) recordClosing(listener, client string, reason connlimit.Reason, connections, maxConnections int) {
	a.telemetry.scope.Tagged(map[string]string{"listener": listener, "reason": string(reason)}).Counter("connections_closed").Inc(1)
	answer, _ := callerhttp.RefusalAnswer(reason)
	a.telemetry.countOwnStatus(answer)
	if ok, omitted := a.telemetry.closingLogLimiter.Allow(a.clock.Now()); ok {
		a.log.Warn().Str("listener", listener).Str("client", client).Str("reason", string(reason)).Int("status", answer.Status()).
			Int("connections", connections).Int("maxConnections", maxConnections).Int64("headBytes", a.heads.Used()).Int64("bodyBytes", a.memory.Used()).
			Int64("omitted", omitted).Msg("connectionClosed")
	}
}

// loggedPath returns the beginning of the path of a request, without its query.
func loggedPath(requestURI string) string {
	path, _, _ := strings.Cut(requestURI, "?")
	return path[:min(len(path), maxLoggedPathBytes)]
}

// manifestAgeMillis returns how long ago it was last known which manifest is the newest, -1 if it was
// never known.
func (a *App) manifestAgeMillis() int64 {
	_, age := a.state.manifestObservation(a.clock.Now())
	if age == nil {
		return -1
	}
	return int64(*age)
}

// recordCallerRequest counts a completed request of a caller. It logs the request unless
// the upstream served it at the first attempt, in time and without a server error.
func (a *App) recordCallerRequest(ctx context.Context, r *dispatch.Request, result dispatch.Result, answer callerhttp.Answer) {
	took, status := a.clock.Now()-r.ReceivedAt, answer.Status()
	a.telemetry.countRequest(result, took)
	a.telemetry.countOwnStatus(answer)
	outcomeText := "none"
	if result.Outcome != nil {
		outcomeText = result.Outcome.String()
		if _, done := result.Outcome.(outcome.Done); done && result.Attempts == 1 && took < slowRequestThreshold && status < http.StatusInternalServerError {
			return
		}
	}
	limiter, host, path := a.telemetry.callerLogLimiter, "", ""
	if isRejection(answer) {
		limiter, host, path = a.telemetry.rejectionLogLimiter, r.Host, loggedPath(r.RequestURI)
	}
	ok, omitted := limiter.Allow(a.clock.Now())
	if !ok {
		return
	}
	a.log.Info().Str("request", r.ID).Str("host", host).Str("path", path).Str("route", result.Route).Str("service", result.Service).
		Uint64("manifest", result.ManifestVersion).Int64("manifestAgeMillis", a.manifestAgeMillis()).Str("instance", result.Instance).Int("attempts", result.Attempts).
		Bool("keyed", r.Keyed).Int("key", int(r.Key)).Bool("nested", r.Nested).
		Str("outcome", outcomeText).Str("reason", endReason(result, answer)).Int("status", status).
		Int64("allowedMillis", int64(r.Deadline-r.ReceivedAt)).Int64("tookMillis", int64(took)).
		Int64("returnMillis", int64(result.RetryAfter)).Bool("callerLeft", ctx.Err() != nil).
		Int64("omitted", omitted).Msg("requestEnded")
}

// endReason returns why a request ended with its status, "" if its upstream's response did.
func endReason(result dispatch.Result, answer callerhttp.Answer) string {
	if reason := outcome.ReasonOf(result.Outcome); reason != "" {
		return string(reason)
	}
	return string(answer.Reason())
}

// logNotServed logs a request that this instance's upstream did not serve, with the
// state that led to it.
func (a *App) logNotServed(r *dispatch.Request, service string, reply dispatch.Reply) {
	if _, done := reply.Outcome.(outcome.Done); done {
		return
	}
	ok, omitted := a.telemetry.executorLogLimiter.Allow(a.clock.Now())
	if !ok {
		return
	}
	s := a.state
	s.mu.Lock()
	epoch, held := s.keyController.Holds(a.clock.Now(), r.Key)
	_, revision := s.keyController.Assignment()
	lease := s.keyController.LeaseEnd() - a.clock.Now()
	last, _ := s.tracker.Last()
	s.mu.Unlock()
	a.log.Info().Str("request", r.ID).Str("service", service).Str("life", last.Process.String()).
		Bool("keyed", r.Keyed).Int("key", int(r.Key)).Bool("held", held).Uint64("epoch", uint64(epoch)).
		Stringer("revision", revision).Int64("leaseMillis", int64(lease)).
		Str("outcome", reply.Outcome.String()).Str("reason", string(outcome.ReasonOf(reply.Outcome))).Bool("arrived", reply.ReachedUpstream).
		Int("running", reply.Load.Running).Int("waiting", reply.Load.Waiting).Int("slots", reply.Load.Slots).
		Int64("serviceMillis", int64(reply.Load.ServiceTime)).Int("demandPercent", reply.Load.DemandPercent).
		Int64("linkMillis", int64(reply.Load.LinkBacklog)).Int64("coldMillis", int64(reply.Load.ColdFor)).Bool("nested", r.Nested).
		Int64("returnMillis", int64(reply.RetryAfter)).Bool("promised", reply.Promised).Int64("leftMillis", int64(r.Deadline-a.clock.Now())).Int64("omitted", omitted).Msg("requestNotServed")
}

// recordInvalidResponse counts and logs a response that is incomplete, or not certainly that of the
// upstream's process.
func (a *App) recordInvalidResponse(r *dispatch.Request, process keyspace.Process, invalid *upstreamhttp.ResponseError) {
	reason := string(invalid.Flaw())
	a.telemetry.scope.Tagged(map[string]string{"reason": reason}).Counter("responses_not_passed_on").Inc(1)
	if ok, omitted := a.telemetry.responseLogLimiter.Allow(a.clock.Now()); ok {
		a.log.Warn().Str("request", r.ID).Str("life", process.String()).Int("status", invalid.Status()).Str("reason", reason).
			Int64("omitted", omitted).Msg("responseNotPassedOn")
	}
}

// recordInvalidReply counts and logs a reply of another sidecar that is incomplete or not valid. It does
// nothing for errors of other kinds.
func (a *App) recordInvalidReply(r *dispatch.Request, from dispatch.Target, err error) {
	var invalid *httpresponse.Error
	if !errors.As(err, &invalid) {
		return
	}
	reason := string(invalid.Flaw())
	a.telemetry.scope.Tagged(map[string]string{"reason": reason}).Counter("replies_not_passed_on").Inc(1)
	if ok, omitted := a.telemetry.responseLogLimiter.Allow(a.clock.Now()); ok {
		a.log.Warn().Str("request", r.ID).Str("instance", from.Name).Int("status", invalid.Status()).Str("reason", reason).
			Int64("omitted", omitted).Msg("replyNotPassedOn")
	}
}

// logAbandoned logs a request that is not run because its sender has disconnected.
func (a *App) logAbandoned(r *dispatch.Request) {
	if ok, omitted := a.telemetry.executorLogLimiter.Allow(a.clock.Now()); ok {
		a.log.Info().Str("request", r.ID).Int64("allowedMillis", int64(r.Deadline-r.ReceivedAt)).
			Int64("omitted", omitted).Msg("requestAbandoned")
	}
}

// gaugeLoop updates the gauges until ctx ends.
func (a *App) gaugeLoop(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.updateGauges()
		a.logCapacity()
		a.updateMemoryLimit()
	}
}

const (
	// baseMemoryBytes is the soft limit of the Go runtime's memory without the bodies of
	// messages, near which the garbage collector runs more often: the users allow a sidecar
	// 40 MB.
	baseMemoryBytes = 40 << 20
	// collectorPercent is the growth of the heap in percent after which the garbage collector
	// runs. The live heap is small, so that the collector takes a tenth of the processor
	// time more at the runtime's default of 100.
	collectorPercent = 200
	// manifestMemoryFactor is the memory in use for a manifest in multiples of its size: its row,
	// its routes, and the routes of the next version while that is decoded.
	manifestMemoryFactor = 6
	// memoryLimitStep is the difference in bytes from which the limit is set again, since
	// that stops all goroutines for a moment.
	memoryLimitStep = 4 << 20
)

// setCollectorPercent sets how often the garbage collector runs while the memory is far from
// its limit, unless the environment does.
func setCollectorPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
}

// updateMemoryLimit raises the soft limit of the Go runtime's memory by the requests and responses that
// are in progress, by the connections and by the manifest, unless the environment sets one.
func (a *App) updateMemoryLimit() {
	used := a.heldMemory() + int64(len(a.rows.Get(store.ManifestKey).Value()))*manifestMemoryFactor
	limit := baseMemoryBytes + used/memoryLimitStep*memoryLimitStep
	if os.Getenv("GOMEMLIMIT") == "" && limit != a.memoryLimit {
		a.memoryLimit = limit
		debug.SetMemoryLimit(limit)
	}
}

func (a *App) updateGauges() {
	connections := 0
	for _, l := range a.listeners {
		if l.name == callersListener {
			connections = l.guard.Connections()
		}
	}
	scope, load, retries, s, learned := a.telemetry.scope, a.executor.Load(), a.executor.RetryCounts(), a.state, a.gate.Capacity()
	s.mu.Lock()
	assignment, stamp := s.keyController.Assignment()
	lease := s.keyController.LeaseEnd() - a.clock.Now()
	ranges, holders, members := len(assignment.OwnedBy(a.settings.Instance())), len(assignment.Holders()), s.view.MemberCount()
	outOfUse, domainsOutOfUse, storeEra := s.domain.OutOfUse(), s.view.OutOfUseCount(), s.era
	s.mu.Unlock()
	for name, value := range map[string]float64{
		"manifest_version": float64(a.manifest.Load().Version()), "division_revision": float64(stamp.Version().Number()), "store_era": float64(storeEra.Reported()),
		"lease_milliseconds": float64(max(lease, 0)), "owned_ranges": float64(ranges), "holders": float64(holders), "members": float64(members),
		"running": float64(load.Running), "waiting": float64(load.Waiting), "slots": float64(load.Slots),
		"service_milliseconds": float64(load.ServiceTime), "demand_percent": float64(load.DemandPercent), "failure_percent": float64(load.FailurePercent),
		"capacity_per_second": learned.PerSecond, "learned_slots": float64(learned.Learned), "upstream_slowness": learned.Slowness,
		"retries_promised": float64(retries.Promised), "retries_unpromised": float64(retries.Unpromised),
		"retries_claimed": float64(retries.Claimed), "retries_expired": float64(retries.Expired),
		"caller_connections": float64(connections), "head_bytes": float64(a.heads.Used()), "body_bytes": float64(a.memory.Used()),
		"requests_in_flight": float64(a.inFlight.Load()), "log_lines_dropped": float64(a.logWriter.Dropped()),
		"out_of_use": boolValue(outOfUse), "domains_out_of_use": float64(domainsOutOfUse),
		"cold":          boolValue(load.ColdFor > 0),
		"follows_store": boolValue(a.watching[store.OperatorRows].Load()),
	} {
		scope.Gauge(name).Update(value)
	}
	refused := a.executor.ColdRefusals()
	scope.Counter("cold_refused").Inc(int64(refused - a.coldRefusalsCounted))
	a.coldRefusalsCounted = refused
}

// logCapacity logs a substantial change of the learned capacity since the last call.
func (a *App) logCapacity() {
	learned := a.gate.Capacity()
	reason, ok := a.capacityLog.Observe(learned)
	if !ok {
		return
	}
	a.log.Info().Str("reason", reason).Int("learnedSlots", learned.Learned).Int("slots", learned.Limit).Float64("perSecond", math.Round(learned.PerSecond)).
		Float64("slowness", math.Round(learned.Slowness*percent)/percent).Bool("reported", learned.Reported).Msg("upstreamCapacity")
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// serveMetrics writes the metrics in the Prometheus text format.
func (a *App) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != metricsPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(a.telemetry.collector.Render()) // The client may have disconnected.
}

// recordKeysPassed logs and counts a change that gives keys of a holder to others, with the evidence
// that its upstream no longer holds them.
func (a *App) recordKeysPassed(service string, change keyowner.Change) {
	evidence := change.Evidence()
	if evidence.Kind() == "" {
		return
	}
	a.telemetry.scope.Tagged(map[string]string{"evidence": evidence.Kind()}).Counter("keys_passed").Inc(1)
	a.log.Info().Str("service", service).Str("reason", change.Reason()).Str("evidence", evidence.Kind()).
		Int64("holdLeftMillis", int64(evidence.HoldLeft())).Msg("keysPassed")
}
