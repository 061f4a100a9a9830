package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"briarwell.dev/platform/platformtest"
)

const (
	// callersPerInstance is the number of concurrent callers of each instance.
	callersPerInstance = 4
	// meanCallerPause is the mean pause of a caller between two requests.
	meanCallerPause = 60 * time.Millisecond
	// callerTimeout is the timeout that a caller sends with each request.
	callerTimeout = 1500 * time.Millisecond
	// bodyRepetitions makes request bodies of several KB.
	bodyRepetitions = 200
	// One in slowBodyShare requests has a body that pauses for up to maxBodyPause.
	slowBodyShare = 10
	maxBodyPause  = time.Second
)

// slowBody is a body that pauses after its first part.
type slowBody struct {
	io.Reader
	pause time.Duration
	began bool
}

func (b *slowBody) Read(part []byte) (int, error) {
	if !b.began {
		b.began = true
		return b.Reader.Read(part[:min(len(part), bodyRepetitions)])
	}
	time.Sleep(b.pause)
	b.pause = 0
	return b.Reader.Read(part)
}

// Close does nothing.
func (b *slowBody) Close() error { return nil }

var requestCount atomic.Int64 //nolint:gochecknoglobals // Request IDs must be unique across the runs of a process.

// requestBody returns the body of the request with the given ID.
func requestBody(id string) string { return strings.Repeat(id+".", bodyRepetitions) }

// randomRoute returns one of the routes that the first manifests have.
func randomRoute() string {
	return [...]string{"browse", "browse", "browse", "book", "book", restrictedRoute, keyedRestrictedRoute}[rand.IntN(7)] //nolint:gosec // Routes need no secure randomness.
}

// runCaller sends requests to an instance until ctx ends, over persistent connections. The
// ID of a request begins with the name of its route, which nextRoute returns. Most requests to the
// keyed service are idempotent (GET), those to the other one are not (POST).
func (r *Runner) runCaller(ctx context.Context, in *instance, nextRoute func() string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		route := nextRoute()
		id := fmt.Sprintf("%s-%s-%d", route, in.name, requestCount.Add(1))
		c := platformtest.CallerRequest{ID: id, Address: in.ip + ":9001", Host: "h", Key: rand.IntN(keyCount), Timeout: callerTimeout, Body: requestBody(id)} //nolint:gosec // Keys need no secure randomness.
		c.Method, c.Path = http.MethodGet, "/"+route+"/"+id
		if route == "book" || route == restrictedRoute {
			c.Method = http.MethodPost
			r.checker.recordNonIdempotent(id)
		}
		r.sendRequest(ctx, client, in, c)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(meanCallerPause))): //nolint:gosec // Pauses need no secure randomness.
		}
	}
}

// sendRequest sends a request, and checks and records its response.
func (r *Runner) sendRequest(ctx context.Context, client *http.Client, in *instance, c platformtest.CallerRequest) {
	// The caller gives up somewhat later than the timeout that it sends.
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout+callerTimeout/2)
	defer cancel()
	request, err := c.HTTPRequest(requestCtx)
	if err != nil {
		r.checker.addFinding("request %s could not be created: %v", c.ID, err)
		return
	}
	if rand.IntN(slowBodyShare) == 0 { //nolint:gosec // Pauses need no secure randomness.
		request.Body = &slowBody{Reader: request.Body, pause: time.Duration(rand.Int64N(int64(maxBodyPause)))} //nolint:gosec // Pauses need no secure randomness.
	}
	sentAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		r.checker.recordResponse(false) // The sidecar is down, or it did not respond in time.
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil {
		r.checkRoute(in, callerResponse{id: c.ID, sentAt: sentAt, doneAt: time.Now(), status: response.StatusCode, body: string(body)})
	}
	switch {
	case err != nil:
		r.checker.recordResponse(false)
	case response.StatusCode == http.StatusNotFound, // checkRoute checks it.
		response.StatusCode == http.StatusRequestTimeout, // Slow bodies may arrive too late.
		response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		r.checker.recordRefusal(c.ID, response.StatusCode)
	case response.StatusCode == http.StatusOK:
		r.checker.recordResponse(true)
		if !isCompleteResponse(string(body), c.ID) {
			r.checker.addFinding("request %s got an incomplete response or that of another request: %d bytes", c.ID, len(body))
		}
	case response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusGatewayTimeout:
		r.checker.recordResponse(false)
	default:
		r.checker.addFinding("request %s got unexpected status %d", c.ID, response.StatusCode)
	}
}
