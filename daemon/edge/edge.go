// Package edge serves callers over HTTP/1.1.
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

	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
	"briarwell.dev/core/upstream"
)

// maxBodyBytes is the largest body of a request in bytes; bodies are
// streamed, so that it costs no memory.
const maxBodyBytes = 1 << 40

// unknownLength is the content length of a chunked body.
const unknownLength = -1

// HeaderConfigVersion carries the configuration version under which a request
// was routed.
const HeaderConfigVersion = "Briarwell-Config-Version"

// Handler serves one request; router.Entry implements it.
type Handler interface {
	Serve(ctx context.Context, caller router.CallerRequest) *router.Response
}

// Settings are what New needs. All are required.
type Settings struct {
	Handler        Handler
	Views          router.ViewSource
	Log            *log.Logger
	Scope          tally.Scope
	MaxHeaderBytes int
}

// server holds what the handler uses.
type server struct {
	settings Settings
	latency  tally.Histogram
}

// New returns the application that serves callers.
func New(settings Settings) *fiber.App {
	s := &server{settings: settings}
	s.latency = settings.Scope.Histogram("request_latency", latencyBuckets())
	app := fiber.New(fiber.Config{
		AppName:                      "briarwelld",
		ReadBufferSize:               settings.MaxHeaderBytes,
		BodyLimit:                    maxBodyBytes,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 s.handleError,
	})
	app.Use(s.serve)
	return app
}

// latencyBuckets are denser around the target of 14 ms for 99 in 100.
func latencyBuckets() tally.Buckets {
	bounds := []float64{0.5, 1, 2, 4, 7, 10, 14, 20, 40, 80, 160, 320, 640, 1280, 2560, 5120, 10240}
	durations := make(tally.DurationBuckets, 0, len(bounds))
	for _, millis := range bounds {
		durations = append(durations, time.Duration(millis*float64(time.Millisecond)))
	}
	return durations
}

// serve runs one request and writes its answer.
func (s *server) serve(c fiber.Ctx) error {
	started := time.Now()
	request := c.Request()
	caller := router.CallerRequest{
		Method:  string(request.Header.Method()),
		Target:  string(request.Header.RequestURI()),
		Headers: callerHeaders(&request.Header),
	}
	// A request without a body has no stream, and a negative length in fasthttp.
	if stream := request.BodyStream(); stream != nil {
		caller.Body = &requestBody{stream: stream, connection: c.RequestCtx().Conn()}
		caller.ContentLength = int64(max(request.Header.ContentLength(), unknownLength))
	}
	version := s.settings.Views.View().Catalog().Version()
	// The request's context must outlive the handler, since the body is written
	// after it returns; closing the body ends it.
	ctx, cancel := context.WithCancel(context.Background())
	response := s.settings.Handler.Serve(ctx, caller)
	s.writeResponse(c, response, version, cancel)
	s.recordMetrics(response, time.Since(started))
	return nil
}

func (s *server) writeResponse(c fiber.Ctx, response *router.Response, version uint64, cancel context.CancelFunc) {
	target := &c.Response().Header
	c.Status(response.Status)
	for _, header := range response.Headers {
		target.Add(header.Name(), header.Value())
	}
	target.Set(HeaderConfigVersion, strconv.FormatUint(version, 10))
	if response.Body == nil {
		cancel()
		return
	}
	c.Response().SetBodyStream(&responseBody{ReadCloser: response.Body, cancel: cancel}, int(response.ContentLength))
}

// recordMetrics counts the outcome. The routing decisions themselves are logged by
// the entry's Routed hook.
func (s *server) recordMetrics(response *router.Response, duration time.Duration) {
	reason := string(outcome.ReasonOf(response.Outcome))
	s.latency.RecordDuration(duration)
	s.settings.Scope.Tagged(map[string]string{"outcome": response.Outcome.String(), "reason": reason}).Counter("requests").Inc(1)
}

// handleError answers a request that the HTTP library could not parse.
func (s *server) handleError(c fiber.Ctx, cause error) error {
	status := fiber.StatusBadRequest
	var parsed *fiber.Error
	if errors.As(cause, &parsed) {
		status = parsed.Code
	}
	c.Response().Header.Set(outcome.HeaderOutcome, outcome.NotRun{}.String())
	c.Response().Header.Set(outcome.HeaderReason, string(outcome.ReasonMalformed))
	s.settings.Log.Warn().Err(cause).Int("status", status).Msg("requestRejected")
	return c.Status(status).SendString(cause.Error() + "\n")
}

func callerHeaders(header *fasthttp.RequestHeader) []upstream.Header {
	headers := make([]upstream.Header, 0, header.Len())
	for name, value := range header.All() {
		headers = append(headers, upstream.NewHeader(string(name), string(value)))
	}
	return headers
}
