// Package control drives the control state machine of a daemon: it passes ticks,
// messages and results to the node, executes its actions, and publishes its snapshots
// for the request path.
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

// PeerSender sends control messages to other daemons. SendControl must not block.
type PeerSender interface {
	SendControl(peerAddress string, envelope *peerpb.Envelope)
}

// RequestController stops and resumes the sending of requests to the upstream.
// router.OwnerHandler implements it.
type RequestController interface {
	StopShard(service identity.Service, id shard.ID, drained func())
	ResumeShard(service identity.Service, id shard.ID)
	StopKey(service identity.Service, id shard.ID, key string, drained func())
	ResumeKey(service identity.Service, id shard.ID, key string)
}

// GrantUpdater sends grants for the units that this daemon owns to its upstream.
type GrantUpdater interface {
	// Update sets the units to be granted and the end of their grants, which is a
	// time on the daemon's clock. It must not block.
	Update(units []GrantedUnit, leaseEnd clock.Millis)
}

// GrantedUnit is a shard or hot key that the daemon owns under an epoch.
type GrantedUnit struct {
	key   unitKey
	epoch identity.Epoch
}

// Service returns the service to which the unit belongs.
func (u GrantedUnit) Service() identity.Service { return u.key.service }

// Shard returns the shard. For a hot key it is the shard that contains the key.
func (u GrantedUnit) Shard() shard.ID { return u.key.unit.Shard() }

// HotKey returns the hot key, or "" if the unit is a shard.
func (u GrantedUnit) HotKey() string { return u.key.unit.HotKey() }

// Epoch returns the epoch under which the daemon owns the unit.
func (u GrantedUnit) Epoch() identity.Epoch { return u.epoch }

// Settings configures Loop.Run. All fields are required.
type Settings struct {
	Clock    clock.Clock
	Table    table.Table
	Peers    PeerSender
	Requests RequestController
	Grants   GrantUpdater
	Log      *log.Logger
	Scope    tally.Scope
}

// Loop owns a node and is the only caller of its Step method. View, Snapshot and Post
// are safe for concurrent use.
type Loop struct {
	settings      Settings
	node          *node.Node
	mailbox       mailbox
	view          atomic.Pointer[view]
	activeCatalog rollout.ActiveCatalog
	// activeHeadVersion is the version of the configuration head at the last update of
	// activeCatalog that was not rejected.
	activeHeadVersion table.Revision
	// lastTriedRevision is the revision of the table copy at the last attempt to update
	// activeCatalog.
	lastTriedRevision table.Revision
	// configCurrentFor is the incarnation for which isConfigCurrent last returned true.
	configCurrentFor identity.Incarnation
	owned            map[unitKey]ownedUnit
	// handoverStarts holds the times at which the units that are being handed over
	// were stopped.
	handoverStarts map[unitKey]clock.Millis
	left           chan struct{}
	workers        conc.WaitGroup
	counters       decisionCounters
}

// New returns a Loop for the daemon of an instance. The peer address of the instance
// must already be bound, see node.New.
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

// OwnedShards returns the shards of a service that this daemon owns, in ascending
// order.
func (l *Loop) OwnedShards(service identity.Service) []shard.ID {
	var shards []shard.ID
	for key, unit := range l.view.Load().owned {
		if key.service == service && !unit.stopped && key.unit.HotKey() == "" {
			shards = append(shards, key.unit.Shard())
		}
	}
	slices.Sort(shards)
	return shards
}

// Post queues an event for the node. It never blocks.
func (l *Loop) Post(event node.Event) { l.mailbox.post(nodeEvent{event: event}) }

// Receive queues a control message of another daemon for the node. It drops and logs
// a message that can't be decoded.
func (l *Loop) Receive(envelope *peerpb.Envelope) {
	decoded, err := peercodec.Decode(envelope)
	if err != nil {
		l.settings.Log.Warn().Err(err).Msg("controlMessageInvalid")
		return
	}
	l.Post(node.NewMessageReceived(decoded))
}

// Left returns a channel that is closed when the node has left the cluster.
func (l *Loop) Left() <-chan struct{} { return l.left }

// Run drives the node until ctx ends, and then waits for its scans and commits.
func (l *Loop) Run(ctx context.Context, settings Settings) {
	l.settings = settings
	l.counters = decisionCounters{scope: settings.Scope}
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

// step passes an event to the node, publishes the new snapshot and then executes the
// actions. The request path must see that a shard is stopped before the transaction
// that hands it over is sent.
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

// publish stores a new view for the request path, unless nothing in it has changed.
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

// isConfigCurrent reports whether the newest configuration in the table copy of this
// incarnation has been in force at least once. The registration of the incarnation is
// conditional on the copy, so the incarnation must not serve with an older
// configuration that another incarnation of this process left in force.
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

// updateCatalog puts a newer configuration in the node's table copy in force. If it
// is rejected, updateCatalog tries again when the copy has received more rows.
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

func (l *Loop) sendMessage(address string, envelope peer.Envelope) {
	l.settings.Peers.SendControl(address, peercodec.Encode(envelope))
}
