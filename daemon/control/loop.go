// Package control drives the control state machine of a daemon: it feeds it
// time, messages and results, carries out its actions, and publishes its
// snapshots for the request path.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/node"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/peer/peercodec"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/placement"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/router"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

// PeerSender sends control messages to other daemons without blocking.
type PeerSender interface {
	SendControl(peerAddress string, envelope *peerpb.Envelope)
}

// RequestController stops and resumes the sending of orders; router.Owner implements it.
type RequestController interface {
	StopShard(service identity.Service, id shard.ID, drained func())
	ResumeShard(service identity.Service, id shard.ID)
	StopKey(service identity.Service, id shard.ID, key string, drained func())
	ResumeKey(service identity.Service, id shard.ID, key string)
}

// GrantUpdater passes the units that this daemon owns to its upstream.
type GrantUpdater interface {
	// Update replaces the units and the end of their grants on the daemon's
	// clock. It must not block.
	Update(units []GrantedUnit, leaseEnd clock.Millis)
}

// GrantedUnit is a shard or hot key that the daemon owns under an epoch.
type GrantedUnit struct {
	key   unitKey
	epoch identity.Epoch
}

// Service returns the unit's service.
func (u GrantedUnit) Service() identity.Service { return u.key.service }

// Shard returns the shard.
func (u GrantedUnit) Shard() shard.ID { return u.key.unit.Shard() }

// HotKey returns the hot key, "" for the shard itself.
func (u GrantedUnit) HotKey() string { return u.key.unit.HotKey() }

// Epoch returns the epoch.
func (u GrantedUnit) Epoch() identity.Epoch { return u.epoch }

// Settings are what a Loop drives. All are required.
type Settings struct {
	Clock    clock.Clock
	Table    table.Table
	Peers    PeerSender
	Requests RequestController
	Grants   GrantUpdater
	Log      *log.Logger
	Scope    tally.Scope
}

// Loop owns a node and is the only caller of its Step. View, Snapshot and Post
// are safe for concurrent use.
type Loop struct {
	settings      Settings
	node          *node.Node
	mailbox       mailbox
	view          atomic.Pointer[view]
	activeCatalog rollout.ActiveCatalog
	// activeHeadVersion is the version of the configuration head last rendered.
	activeHeadVersion table.Revision
	// lastTriedRevision is the revision of the copy last tried.
	lastTriedRevision table.Revision
	// configCurrentFor is the incarnation that has had the newest configuration of
	// its copy in force.
	configCurrentFor identity.Incarnation
	owned            map[unitKey]ownedUnit
	// handoverStarts holds since when units that are being handed over are stopped.
	handoverStarts map[unitKey]clock.Millis
	left           chan struct{}
	workers        conc.WaitGroup
	counters       decisionCounters
}

// New returns a loop for the daemon of an instance. The instance's peer address
// must be bound before, see node.New.
func New(instance membership.Instance, policy placement.Policy, now clock.Millis, seed uint64) *Loop {
	settings := node.NewSettings(instance, node.WithPolicy(policy))
	loop := &Loop{
		node:           node.New(settings, now, seed),
		owned:          map[unitKey]ownedUnit{},
		handoverStarts: map[unitKey]clock.Millis{},
		left:           make(chan struct{}),
	}
	loop.publish()
	return loop
}

// View returns the newest view for the request path.
func (l *Loop) View() router.View { return l.view.Load() }

// Snapshot returns the newest snapshot of the node.
func (l *Loop) Snapshot() *node.Snapshot { return l.view.Load().snapshot }

// Catalog returns the configuration in force.
func (l *Loop) Catalog() template.Catalog { return l.view.Load().catalog }

// OwnedShards returns the shards of a service that this daemon owns, ascending.
func (l *Loop) OwnedShards(service identity.Service) []shard.ID {
	var shards []shard.ID
	for key, held := range l.view.Load().owned {
		if key.service == service && !held.stopped && key.unit.HotKey() == "" {
			shards = append(shards, key.unit.Shard())
		}
	}
	slices.Sort(shards)
	return shards
}

// Post hands an event to the node. It never blocks.
func (l *Loop) Post(event node.Event) { l.mailbox.post(nodeEvent{event: event}) }

// Receive hands a control message of another daemon to the node.
func (l *Loop) Receive(envelope *peerpb.Envelope) {
	decoded, err := peercodec.Decode(envelope)
	if err != nil {
		l.settings.Log.Warn().Err(err).Msg("controlMessageInvalid")
		return
	}
	l.Post(node.NewMessageReceived(decoded))
}

// Left is closed when the node has left.
func (l *Loop) Left() <-chan struct{} { return l.left }

// Run drives the node until ctx ends.
func (l *Loop) Run(ctx context.Context, ports Settings) {
	l.settings = ports
	l.counters = decisionCounters{scope: ports.Scope}
	ticker := time.NewTicker(node.TickInterval.Duration())
	defer ticker.Stop()
	defer l.workers.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.step(ctx, node.Tick{})
		case <-l.mailbox.ready():
			for _, next := range l.mailbox.takeAll() {
				l.handleInput(ctx, next)
			}
		}
	}
}

func (l *Loop) handleInput(ctx context.Context, next input) {
	switch next := next.(type) {
	case nodeEvent:
		l.step(ctx, next.event)
	case grantAccepted:
		l.markGranted(next)
	}
}

// step lets the node take an event, publishes the snapshot and then carries
// out the actions: the request path must see a stopped shard before the
// transaction that hands it over is sent.
func (l *Loop) step(ctx context.Context, event node.Event) {
	actions := l.node.Step(l.settings.Clock.Now(), event)
	l.updateOwned(actions)
	l.publish()
	for _, action := range actions {
		l.execute(ctx, action)
	}
	l.recordHandoverTimes()
	l.updateCatalog()
}

func (l *Loop) publish() {
	snapshot := l.node.Snapshot()
	old := l.view.Load()
	catalog := l.activeCatalog.Catalog()
	current := l.isConfigCurrent(snapshot)
	if old != nil && old.snapshot == snapshot && old.catalog.Version() == catalog.Version() &&
		old.configCurrent == current && isSameMap(old.owned, l.owned) {
		return
	}
	l.view.Store(&view{snapshot: snapshot, catalog: catalog, owned: l.owned, configCurrent: current})
}

// isConfigCurrent tells whether this incarnation has had the newest configuration
// of its copy in force at least once. Its registration is conditional on the
// copy, so that it must not serve with an older one that another incarnation
// of this process left in force.
func (l *Loop) isConfigCurrent(snapshot *node.Snapshot) bool {
	if l.configCurrentFor == snapshot.Incarnation() {
		return true
	}
	versions, err := rollout.DecodeVersions(snapshot.ConfigRows())
	if err != nil || l.activeCatalog.Catalog().Version() < versions.Head().Version() {
		return false
	}
	l.configCurrentFor = snapshot.Incarnation()
	return true
}

// updateCatalog puts a newer configuration of the node's copy in force. A copy
// that is rejected is tried again when more rows come.
func (l *Loop) updateCatalog() {
	snapshot := l.node.Snapshot()
	head, ok := snapshot.ConfigRow(rollout.KeyHead)
	if !ok || head.Version() == l.activeHeadVersion || snapshot.Revision() == l.lastTriedRevision {
		return
	}
	l.lastTriedRevision = snapshot.Revision()
	changed, err := l.activeCatalog.Update(snapshot.ConfigRows())
	if err != nil {
		l.settings.Log.Error().Err(err).Msg("configurationRejected")
		return
	}
	l.activeHeadVersion = head.Version()
	if !changed {
		return
	}
	catalog := l.activeCatalog.Catalog()
	l.publish()
	l.settings.Log.Info().Uint64("configVersion", catalog.Version()).Msg("configurationInForce")
	l.Post(node.NewCatalogChanged(catalog))
}

// sendMessage hands a message to the transport.
func (l *Loop) sendMessage(address string, envelope peer.Envelope) {
	l.settings.Peers.SendControl(address, peercodec.Encode(envelope))
}
