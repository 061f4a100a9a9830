package localupstream

import (
	"context"
	"io"
	"sync/atomic"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/httpupstream"
)

// activityTracker notes when the upstream last sent anything, since its own health and
// load endpoints may lag while orders go on.
type activityTracker struct {
	*httpupstream.Upstream
	clock      clock.Clock
	lastMillis atomic.Int64
}

func newActivityTracker(inner *httpupstream.Upstream, c clock.Clock) *activityTracker {
	p := &activityTracker{Upstream: inner, clock: c}
	p.recordActivity()
	return p
}

func (p *activityTracker) recordActivity() { p.lastMillis.Store(int64(p.clock.Now())) }

func (p *activityTracker) lastActivity() clock.Millis { return clock.Millis(p.lastMillis.Load()) }

// Do sends the order and notes its progress.
func (p *activityTracker) Do(ctx context.Context, order upstream.Request) (upstream.Response, error) {
	answer, err := p.Upstream.Do(ctx, order)
	if err != nil {
		return answer, err
	}
	p.recordActivity()
	if answer.Body != nil {
		answer.Body = &trackedBody{ReadCloser: answer.Body, tracker: p}
	}
	return answer, nil
}

// trackedBody notes each read of an answer's body.
type trackedBody struct {
	io.ReadCloser
	tracker *activityTracker
}

// Read reads from the answer's body.
func (b *trackedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.tracker.recordActivity()
	}
	return n, err
}
