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
	// callerPause is the mean time between two requests of a caller.
	callerPause = 60 * time.Millisecond
	// callerWait is how long a caller waits for an answer.
	callerWait = 1500 * time.Millisecond
	// bodyRepeats makes bodies of some KB.
	bodyRepeats = 200
)

var requests atomic.Int64 //nolint:gochecknoglobals // IDs differ in all runs of a process.

func bodyOf(id string) string { return strings.Repeat(id+".", bodyRepeats) }

// call sends requests to an instance until ctx ends, over connections that it keeps.
func (s *Soak) call(ctx context.Context, in *instance) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		id := fmt.Sprintf("%s-%d", in.name, requests.Add(1))
		c := platformtest.CallerRequest{ID: id, Address: in.ip + ":9001", Host: "h", Key: rand.IntN(keys), Timeout: callerWait, Body: bodyOf(id)} //nolint:gosec // Keys only spread.
		if c.Key%2 == 0 {
			c.Method, c.Path = http.MethodGet, "/browse/"+id
		} else {
			c.Method, c.Path = http.MethodPost, "/book/"+id
			s.promises.asked(id)
		}
		s.send(ctx, client, c)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(callerPause))): //nolint:gosec // It only spreads calls.
		}
	}
}

// send sends a request and checks its answer.
func (s *Soak) send(ctx context.Context, client *http.Client, c platformtest.CallerRequest) {
	// A caller gives up a little after its time.
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerWait+callerWait/2)
	defer cancel()
	request, err := c.HTTPRequest(bounded)
	if err != nil {
		s.promises.found("request %s: %v", c.ID, err)
		return
	}
	answer, err := client.Do(request)
	if err != nil {
		s.promises.answered(false) // The sidecar is away.
		return
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		s.promises.answered(false)
	case answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests:
		s.promises.refusedWith(c.ID, answer.StatusCode)
	case answer.StatusCode == http.StatusOK:
		s.promises.answered(true)
		if !whole(string(body), c.ID) {
			s.promises.found("request %s got the answer of another, or a part: %d bytes", c.ID, len(body))
		}
	case answer.StatusCode == http.StatusBadGateway || answer.StatusCode == http.StatusGatewayTimeout:
		s.promises.answered(false)
	default:
		s.promises.found("request %s was answered %d", c.ID, answer.StatusCode)
	}
}
