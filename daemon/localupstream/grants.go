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
	// grantTimeout limits each grant message to the upstream.
	grantTimeout = 300 * time.Millisecond
	// grantRetryDelay is the pause after a failed message.
	grantRetryDelay = 50 * time.Millisecond
)

// GrantObserver is notified of the units whose grants the upstream has accepted.
type GrantObserver interface {
	GrantAccepted(units []control.GrantedUnit)
}

// GrantSender sends the newest units and lease end to the upstream, one message at
// a time. Use NewGrantSender to create one.
type GrantSender struct {
	upstream *Upstream
	clock    clock.Clock
	pending  chan grantUpdate
}

type grantUpdate struct {
	units    []control.GrantedUnit
	leaseEnd clock.Millis
}

// NewGrantSender returns a GrantSender for an upstream.
func NewGrantSender(u *Upstream, c clock.Clock) *GrantSender {
	return &GrantSender{upstream: u, clock: c, pending: make(chan grantUpdate, 1)}
}

// Update sets the units to be granted. It replaces an update that has not been sent
// yet, and so never blocks. It must be called from one goroutine only.
func (g *GrantSender) Update(units []control.GrantedUnit, leaseEnd clock.Millis) {
	select {
	case <-g.pending:
	default:
	}
	g.pending <- grantUpdate{units: units, leaseEnd: leaseEnd}
}

// Run sends grants until ctx ends and notifies observer of the accepted ones.
func (g *GrantSender) Run(ctx context.Context, observer GrantObserver) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-g.pending:
			g.deliver(ctx, next, observer)
		}
	}
}

// deliver sends an update until the upstream accepts it. If a newer update is
// pending, it continues with that one.
func (g *GrantSender) deliver(ctx context.Context, next grantUpdate, observer GrantObserver) {
	for {
		if g.send(ctx, next) {
			observer.GrantAccepted(next.units)
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

// send sends the units to the upstream and reports whether it accepted them. An
// upstream that is down or doesn't answer gets no grants, so that its grants expire.
// If no grant can be sent, an update without units counts as accepted.
func (g *GrantSender) send(ctx context.Context, next grantUpdate) bool {
	// The wall clock is read first, so that a pause between the two reads shortens
	// the grant and can't extend it past the lease.
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
