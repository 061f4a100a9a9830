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
	// callersPerInstance is the number of callers of each instance.
	callersPerInstance = 4
	// meanCallerPause is the mean time between two requests of a caller.
	meanCallerPause = 60 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 1500 * time.Millisecond
	// bodyRepetitions makes bodies of some KB.
	bodyRepetitions = 200
)

var requestCount atomic.Int64 //nolint:gochecknoglobals // IDs differ in all runs of a process.

func requestBody(id string) string { return strings.Repeat(id+".", bodyRepetitions) }

// runCaller sends requests to an instance until ctx ends, over connections that it keeps.
func (s *Runner) runCaller(ctx context.Context, in *instance) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		id := fmt.Sprintf("%s-%d", in.name, requestCount.Add(1))
		c := platformtest.CallerRequest{ID: id, Address: in.ip + ":9001", Host: "h", Key: rand.IntN(keyCount), Timeout: callerTimeout, Body: requestBody(id)} //nolint:gosec // Keys only spread.
		if c.Key%2 == 0 {
			c.Method, c.Path = http.MethodGet, "/browse/"+id
		} else {
			c.Method, c.Path = http.MethodPost, "/book/"+id
			s.checker.recordNonIdempotent(id)
		}
		s.sendRequest(ctx, client, c)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(meanCallerPause))): //nolint:gosec // It only spreads calls.
		}
	}
}

// sendRequest sends a request and checks its answer.
func (s *Runner) sendRequest(ctx context.Context, client *http.Client, c platformtest.CallerRequest) {
	// A caller gives up a little after its time.
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout+callerTimeout/2)
	defer cancel()
	request, err := c.HTTPRequest(bounded)
	if err != nil {
		s.checker.addFinding("request %s: %v", c.ID, err)
		return
	}
	answer, err := client.Do(request)
	if err != nil {
		s.checker.recordResponse(false) // The sidecar is away.
		return
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		s.checker.recordResponse(false)
	case answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests:
		s.checker.recordRefusal(c.ID, answer.StatusCode)
	case answer.StatusCode == http.StatusOK:
		s.checker.recordResponse(true)
		if !isCompleteResponse(string(body), c.ID) {
			s.checker.addFinding("request %s got the answer of another, or a part: %d bytes", c.ID, len(body))
		}
	case answer.StatusCode == http.StatusBadGateway || answer.StatusCode == http.StatusGatewayTimeout:
		s.checker.recordResponse(false)
	default:
		s.checker.addFinding("request %s was answered %d", c.ID, answer.StatusCode)
	}
}
