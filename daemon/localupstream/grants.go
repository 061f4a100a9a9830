package localupstream

import (
	"context"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/upstream"
	"briarwell.dev/daemon/control"
)

const (
	// grantTimeout bounds one message to the upstream.
	grantTimeout = 300 * time.Millisecond
	// grantRetryDelay is the pause after a message that failed.
	grantRetryDelay = 50 * time.Millisecond
)

// GrantObserver is told which units the upstream holds grants for.
type GrantObserver interface {
	GrantAccepted(units []control.GrantedUnit)
}

// GrantSender passes the newest units and lease end to the upstream, one message at
// a time. Use NewGrants.
type GrantSender struct {
	upstream *Upstream
	clock    clock.Clock
	pending  chan grantUpdate
}

type grantUpdate struct {
	units    []control.GrantedUnit
	leaseEnd clock.Millis
}

// NewGrantSender returns the sender of grants for an upstream.
func NewGrantSender(u *Upstream, c clock.Clock) *GrantSender {
	return &GrantSender{upstream: u, clock: c, pending: make(chan grantUpdate, 1)}
}

// Update replaces the units that are to be granted. It never blocks: an update
// that was not sent yet is replaced. It must be called from one goroutine.
func (g *GrantSender) Update(units []control.GrantedUnit, leaseEnd clock.Millis) {
	select {
	case <-g.pending:
	default:
	}
	g.pending <- grantUpdate{units: units, leaseEnd: leaseEnd}
}

// Run sends grants until ctx ends and reports to taken what the upstream took.
func (g *GrantSender) Run(ctx context.Context, taken GrantObserver) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-g.pending:
			g.deliver(ctx, next, taken)
		}
	}
}

// deliver repeats one update until the upstream takes it or a newer one waits.
func (g *GrantSender) deliver(ctx context.Context, next grantUpdate, taken GrantObserver) {
	for {
		if g.send(ctx, next) {
			taken.GrantAccepted(next.units)
			return
		}
		select {
		case <-ctx.Done():
			return
		case newer := <-g.pending:
			next = newer
		case <-time.After(grantRetryDelay):
		}
	}
}

// send passes the units to the upstream, and tells whether it took them. An
// upstream that is down or silent gets none, so that its grants end.
func (g *GrantSender) send(ctx context.Context, next grantUpdate) bool {
	// The wall clock is read first: a pause between the two reads then shortens
	// the grant and never extends it past the lease.
	unixMillis := system.UnixMillis()
	remaining := next.leaseEnd - g.clock.Now()
	if remaining <= 0 {
		return len(next.units) == 0
	}
	current, ok := g.upstream.startGrant(next.leaseEnd)
	if !ok {
		return len(next.units) == 0
	}
	sendContext, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	err := current.client.Grant(sendContext, upstream.Grant{
		Service:           current.service,
		Shards:            grantedShards(current.service, next.units),
		ExpiresUnixMillis: unixMillis + int64(remaining),
	})
	if err != nil {
		g.upstream.setSuspect(true)
	}
	return err == nil
}

func grantedShards(service identity.Service, units []control.GrantedUnit) []upstream.GrantedShard {
	shards := make([]upstream.GrantedShard, 0, len(units))
	for _, unit := range units {
		if unit.Service() == service {
			shards = append(shards, upstream.GrantedShard{Shard: unit.Shard(), HotKey: unit.HotKey(), Epoch: unit.Epoch()})
		}
	}
	return shards
}
