// Package edge is the HTTP/1.1 server for callers.
package edge

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/httpresponse"
	"briarwell.dev/core/logs"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
	"briarwell.dev/core/upstream"
)

// maxBodyBytes is the largest accepted request body. Bodies are streamed, so the
// limit reserves no memory.
const maxBodyBytes = 1 << 40

// unknownLength is the content length of a chunked body.
const unknownLength = -1

// HeaderConfigVersion is the response header with the version of the configuration
// under which the request was routed.
const HeaderConfigVersion = "Briarwell-Config-Version"

// reasonProtocol is the reason in the metric of a status for bytes that are no HTTP request.
const reasonProtocol = "http-protocol"

// maxRejectionLinesPerSecond bounds the log lines per second about requests that are no HTTP, and apart
// from them those about responses that end early.
const maxRejectionLinesPerSecond = 20

// Handler serves requests of callers. router.EntryHandler implements it.
type Handler interface {
	Serve(ctx context.Context, caller router.CallerRequest) *router.Response
}

// Settings configures New. All fields are required.
type Settings struct {
	Handler        Handler
	Views          router.ViewSource
	Log            *log.Logger
	Scope          tally.Scope
	MaxHeaderBytes int
}

type server struct {
	settings         Settings
	latency          tally.Histogram
	clock            system.Clock
	rejectionLimiter *logs.Limiter
	// incompleteLimiter applies to responses whose body ended early.
	incompleteLimiter *logs.Limiter
}

// New returns the HTTP application that serves callers.
func New(settings Settings) *fiber.App {
	s := &server{settings: settings, rejectionLimiter: logs.NewLimiter(maxRejectionLinesPerSecond), incompleteLimiter: logs.NewLimiter(maxRejectionLinesPerSecond)}
	s.latency = settings.Scope.Histogram("request_latency", latencyBuckets())
	app := fiber.New(fiber.Config{
		AppName:                      "briarwelld",
		ReadBufferSize:               settings.MaxHeaderBytes,
		BodyLimit:                    maxBodyBytes,
		ReadTimeout:                  callerReadTimeout,
		IdleTimeout:                  idleTimeout,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 s.handleError,
	})
	// Not by Use: fiber calls those handlers also for requests that it could not parse.
	app.All("*", s.serve)
	return app
}

// latencyBuckets returns buckets that are denser around 14 ms, the target of the p99
// latency.
func latencyBuckets() tally.Buckets {
	bounds := []float64{0.5, 1, 2, 4, 7, 10, 14, 20, 40, 80, 160, 320, 640, 1280, 2560, 5120, 10240}
	durations := make(tally.DurationBuckets, 0, len(bounds))
	for _, millis := range bounds {
		durations = append(durations, time.Duration(millis*float64(time.Millisecond)))
	}
	return durations
}

// serve passes a request to the handler and writes the response.
func (s *server) serve(c fiber.Ctx) error {
	started := time.Now()
	request := c.Request()
	caller := router.CallerRequest{
		Method:  string(request.Header.Method()),
		Target:  string(request.Header.RequestURI()),
		Headers: callerHeaders(&request.Header),
	}
	// For a request without a body, fasthttp returns no stream and a negative
	// length.
	if stream := request.BodyStream(); stream != nil {
		caller.Body = &requestBody{stream: stream, connection: c.RequestCtx().Conn()}
		caller.ContentLength = int64(max(request.Header.ContentLength(), unknownLength))
	}
	version := s.settings.Views.View().Catalog().Version()
	// The context must outlive this function, because the response body is
	// written after it returns. Closing the body cancels the context.
	ctx, cancel := context.WithCancel(context.Background())
	response := s.settings.Handler.Serve(ctx, caller)
	s.writeResponse(c, response, version, cancel)
	s.recordMetrics(response, time.Since(started))
	return nil
}

func (s *server) writeResponse(c fiber.Ctx, response *router.Response, version uint64, cancel context.CancelFunc) {
	responseHeader := &c.Response().Header
	c.Status(response.Status)
	for _, header := range response.Headers {
		responseHeader.Add(header.Name(), header.Value())
	}
	responseHeader.Set(HeaderConfigVersion, strconv.FormatUint(version, 10))
	if response.Body == nil {
		cancel()
		return
	}
	c.Response().SetBodyStream(&responseBody{ReadCloser: response.Body, cancel: cancel, report: s.recordIncomplete}, int(response.ContentLength))
}

// recordIncomplete counts and logs a response whose body ended early, so that the caller's connection is
// broken off.
func (s *server) recordIncomplete(cause error) {
	reason := string(httpresponse.FlawIncomplete)
	s.settings.Scope.Tagged(map[string]string{"reason": reason}).Counter("responses_not_passed_on").Inc(1)
	if ok, omitted := s.incompleteLimiter.Allow(s.clock.Now()); ok {
		s.settings.Log.Warn().Err(cause).Str("reason", reason).Int64("omitted", omitted).Msg("responseNotPassedOn")
	}
}

// recordMetrics records the latency and counts the outcome. The routing decisions
// are logged by the OnAttempt hook of router.EntryHandler.
func (s *server) recordMetrics(response *router.Response, duration time.Duration) {
	reason := string(outcome.ReasonOf(response.Outcome))
	s.latency.RecordDuration(duration)
	s.settings.Scope.Tagged(map[string]string{"outcome": response.Outcome.String(), "reason": reason}).Counter("requests").Inc(1)
	if _, done := response.Outcome.(outcome.Done); !done {
		s.countOwnStatus(response.Status, reason)
	}
}

// countOwnStatus counts a status that no upstream gave.
func (s *server) countOwnStatus(status int, reason string) {
	s.settings.Scope.Tagged(map[string]string{"status": strconv.Itoa(status), "reason": reason}).Counter("own_statuses").Inc(1)
}

// handleError responds to a request that the HTTP library could not parse.
func (s *server) handleError(c fiber.Ctx, cause error) error {
	status := fiber.StatusBadRequest
	var httpError *fiber.Error
	if errors.As(cause, &httpError) {
		status = httpError.Code
	}
	c.Response().Header.Set(outcome.HeaderOutcome, outcome.NotRun{}.String())
	c.Response().Header.Set(outcome.HeaderReason, string(outcome.ReasonMalformed))
	s.countOwnStatus(status, reasonProtocol)
	if ok, omitted := s.rejectionLimiter.Allow(s.clock.Now()); ok {
		s.settings.Log.Warn().Err(cause).Int("status", status).Int64("omitted", omitted).Msg("requestRejected")
	}
	return c.Status(status).SendString(cause.Error() + "\n")
}

func callerHeaders(header *fasthttp.RequestHeader) []upstream.Header {
	headers := make([]upstream.Header, 0, header.Len())
	for name, value := range header.All() {
		headers = append(headers, upstream.NewHeader(string(name), string(value)))
	}
	return headers
}
