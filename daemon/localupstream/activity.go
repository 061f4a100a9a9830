package localupstream

import (
	"context"
	"io"
	"sync/atomic"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/httpupstream"
)

// activityTracker is a client that records when the upstream last sent any data. The
// health and load endpoints of the upstream may lag while requests make progress, so
// they alone don't show whether it is alive.
type activityTracker struct {
	*httpupstream.Upstream
	clock      clock.Clock
	lastMillis atomic.Int64
}

func newActivityTracker(inner *httpupstream.Upstream, c clock.Clock) *activityTracker {
	t := &activityTracker{Upstream: inner, clock: c}
	t.recordActivity()
	return t
}

func (t *activityTracker) recordActivity() { t.lastMillis.Store(int64(t.clock.Now())) }

func (t *activityTracker) lastActivity() clock.Millis { return clock.Millis(t.lastMillis.Load()) }

// Do sends the request, and records the arrival of the response and of its body.
func (t *activityTracker) Do(ctx context.Context, request upstream.Request) (upstream.Response, error) {
	response, err := t.Upstream.Do(ctx, request)
	if err != nil {
		return response, err
	}
	t.recordActivity()
	if response.Body != nil {
		response.Body = &trackedBody{ReadCloser: response.Body, tracker: t}
	}
	return response, nil
}

// trackedBody records the arrival of data of a response body.
type trackedBody struct {
	io.ReadCloser
	tracker *activityTracker
}

// Read records activity if it returns data.
func (b *trackedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.tracker.recordActivity()
	}
	return n, err
}
