package backend

import (
	"context"
	"io"
	"sync/atomic"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/httpupstream"
)

// progress notes when the upstream last sent anything, since its own health and
// load endpoints may lag while orders go on.
type progress struct {
	*httpupstream.Upstream
	clock  clock.Clock
	lastAt atomic.Int64
}

func newProgress(inner *httpupstream.Upstream, c clock.Clock) *progress {
	p := &progress{Upstream: inner, clock: c}
	p.touch()
	return p
}

func (p *progress) touch() { p.lastAt.Store(int64(p.clock.Now())) }

func (p *progress) last() clock.Millis { return clock.Millis(p.lastAt.Load()) }

// Do sends the order and notes its progress.
func (p *progress) Do(ctx context.Context, order upstream.Request) (upstream.Response, error) {
	answer, err := p.Upstream.Do(ctx, order)
	if err != nil {
		return answer, err
	}
	p.touch()
	if answer.Body != nil {
		answer.Body = &progressBody{ReadCloser: answer.Body, progress: p}
	}
	return answer, nil
}

// progressBody notes each read of an answer's body.
type progressBody struct {
	io.ReadCloser
	progress *progress
}

// Read reads from the answer's body.
func (b *progressBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.progress.touch()
	}
	return n, err
}
