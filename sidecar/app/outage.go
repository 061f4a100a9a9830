package app

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/retry"
	"briarwell.dev/platform/store"
)

// storeOutage is the retry.Outage of one kind of call to the store. It is safe for concurrent
// use.
type storeOutage struct {
	mu     sync.Mutex
	outage retry.Outage
}

// storePollInterval is the time between two checks for news of the store during an outage.
const storePollInterval = 50 * time.Millisecond

// otherFeedWait is the longest time in milliseconds for which a feed that failed is not called
// since another feed, which this sidecar also watches, gets no answer.
const otherFeedWait clock.Millis = 4000

func (o *storeOutage) recordSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outage.RecordSuccess()
}

// recordFailure records a failed call. lookout is true if this sidecar notices the end of an
// outage for others.
func (o *storeOutage) recordFailure(a *App, lookout bool) {
	answeredAt := a.state.storeAnsweredAt()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outage.RecordFailure(a.clock.Now(), answeredAt, lookout, rand.Float64()) //nolint:gosec // Used only to spread the calls.
}

// callDue reports whether the store may be called again.
func (o *storeOutage) callDue(a *App) bool {
	now, answeredAt := a.clock.Now(), a.state.storeAnsweredAt()
	o.mu.Lock()
	defer o.mu.Unlock()
	return now >= o.outage.NextCall(now, answeredAt, rand.Float64()) //nolint:gosec // Used only to spread the calls.
}

// await waits until the store may be called again, or ctx ends.
func (o *storeOutage) await(ctx context.Context, a *App) {
	for ctx.Err() == nil && !o.callDue(a) {
		sleepJittered(ctx, storePollInterval)
	}
}

// awaitFeed waits until a feed whose call has failed may be called again, ctx ends, or this
// sidecar no longer watches it.
func (a *App) awaitFeed(ctx context.Context, feed store.Feed, outage *storeOutage) {
	failedAt := a.clock.Now()
	_, ownIndex := a.state.regionWatchers(failedAt)
	outage.recordFailure(a, ownIndex >= 0)
	outage.await(ctx, a)
	if feed == store.RouterRows {
		return
	}
	// One of the feeds is enough to notice that the store answers again.
	for ctx.Err() == nil && a.clock.Now()-failedAt < otherFeedWait && a.watching[feed].Load() &&
		a.watching[store.RouterRows].Load() && !a.feedReachable[store.RouterRows].Load() {
		sleepJittered(ctx, storePollInterval)
	}
}

// storeAnsweredAt returns the time of the latest known answer of the store to any sidecar, 0 if
// there is none.
func (s *state) storeAnsweredAt() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keyController.StoreAnsweredAt()
}
