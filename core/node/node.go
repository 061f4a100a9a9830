// Package node is the control state machine of one daemon: lease, membership,
// ownership and the copy of the table. Its inputs are time and events, its
// outputs are actions.
package node

import (
	"math/rand/v2"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease/failover"
	"briarwell.dev/core/lease/holder"
	"briarwell.dev/core/lease/witness"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/placement"
	"briarwell.dev/core/placement/balanced"
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

// TickInterval is the longest time in milliseconds between two Ticks.
const TickInterval clock.Millis = 50

// Settings are the settings of a Node.
type Settings struct {
	instance membership.Instance
	policy   placement.Policy
}

// Option sets an optional part of Settings.
type Option func(*Settings)

// WithPolicy sets the placement policy that the node uses as planner; without it
// balanced.Policy is used. Nodes must not share a policy that keeps state.
func WithPolicy(policy placement.Policy) Option {
	return func(s *Settings) { s.policy = policy }
}

// NewSettings returns settings for the daemon of an instance.
func NewSettings(instance membership.Instance, options ...Option) Settings {
	settings := Settings{instance: instance, policy: &balanced.Policy{}}
	for _, option := range options {
		option(&settings)
	}
	return settings
}

// Node is the control state machine of one daemon. It is not safe for
// concurrent use; a Snapshot is.
type Node struct {
	settings Settings
	random   *rand.Rand
	now      clock.Millis
	started  clock.Millis
	actions  []Action

	incarnation identity.Incarnation
	row         membership.Member
	holder      holder.Holder
	witness     *witness.Witness
	replacer    failover.Monitor

	copy    tableCopy
	view    membership.View
	owners  ownership.Table
	config  map[string]table.Row
	catalog template.Catalog

	lastCommit CommitID
	selfLane   lane
	sharedLane lane
	pace       pace

	contact   contact
	sync      syncState
	poll      pollState
	self      selfState
	losses    lossState
	handovers handoverState
	planner   plannerState

	published published
	snapshot  *Snapshot
}

// New returns a node that starts at now. The seed determines all its random
// choices, among them its incarnations, and must differ between starts. The
// driver must hold the instance's peer address before it calls New: the node
// relies on that no earlier process serves there any more.
func New(settings Settings, now clock.Millis, seed uint64) *Node {
	n := &Node{
		settings: settings,
		random:   rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // Choices must repeat for a seed.
		now:      now,
		started:  now,
	}
	n.contact.quietUntil = now + settleIn
	n.poll.next = now
	n.losses = newLossState()
	n.planner.loads = make(map[identity.Incarnation]loadReport)
	n.begin()
	n.publish()
	return n
}

// begin takes a new incarnation without a row, a lease or promises.
func (n *Node) begin() {
	n.incarnation = 0
	for n.incarnation == 0 {
		n.incarnation = identity.Incarnation(n.random.Uint64())
	}
	n.row = membership.Member{}
	n.holder = holder.Holder{}
	n.witness = witness.New()
	n.replacer = failover.Monitor{}
	n.handovers = newHandoverState()
	n.self.reset()
	n.published.dirty = true
}

// Snapshot returns the current view for the request path.
func (n *Node) Snapshot() *Snapshot { return n.snapshot }

// Step takes an event at now and returns the actions to carry out in order. The
// driver reads now after the event occurred and before it carries out the
// actions; it must not go back. A driver that was paused in between calls Step
// with the earlier reading, which is safe.
func (n *Node) Step(now clock.Millis, event Event) []Action {
	if n.self.left {
		return nil
	}
	n.contact.step(now)
	n.now = now
	if n.handle(event) {
		n.advance()
	}
	n.noteLease()
	n.announceRevision()
	n.publish()
	actions := n.actions
	n.actions = nil
	return actions
}

// handle takes the event and tells whether further decisions may follow from it
// at once. Renewals wait for the next Tick, since they are by far the most
// frequent events.
func (n *Node) handle(event Event) bool {
	switch e := event.(type) {
	case Received:
		return n.received(e.envelope)
	case SendFailed:
		return false
	case Scanned:
		n.scanned(e)
	case ScanFailed:
		n.scanFailed()
	case Committed:
		n.committed(e)
	case Conflicted:
		n.conflicted(e)
	case CatalogChanged:
		n.catalogChanged(e.catalog)
	case UpstreamAnnounced:
		n.self.announcement, n.self.announced, n.self.upstreamUp = e.announcement, true, true
	case UpstreamDown:
		n.self.upstreamUp = false
	case UpstreamUp:
		n.self.upstreamUp = n.self.announced
	case DrainRequested:
		n.drainRequested()
	case ShardDrained:
		n.shardDrained(e)
	case LoadMeasured:
		n.loadMeasured(e)
	}
	return true
}

// advance makes the decisions that time or an event made due.
func (n *Node) advance() {
	if n.self.left {
		return
	}
	n.stepWitnesses()
	n.stepSelf()
	if n.self.left {
		return
	}
	n.stepRenew()
	n.stepReplace()
	n.stepOrphans()
	n.stepEvacuate()
	n.stepHandover()
	n.stepPlanner()
	n.stepPoll()
}

func (n *Node) emit(action Action) { n.actions = append(n.actions, action) }

// note emits a Note with the keys and values in turn.
func (n *Node) note(name string, pairs ...string) {
	fields := make([]Field, 0, len(pairs)/2+1)
	fields = append(fields, Field{key: "incarnation", value: n.incarnation.String()})
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, Field{key: pairs[i], value: pairs[i+1]})
	}
	n.emit(Note{name: name, fields: fields})
}

func (n *Node) send(address string, to identity.Incarnation, message peer.Message) {
	envelope := peer.NewEnvelope(n.incarnation, to, n.settings.instance.PeerAddress(), message)
	n.emit(Send{address: address, envelope: envelope})
}

// registered tells whether the node has a row that is not dead.
func (n *Node) registered() bool { return n.row.Alive() }

func (n *Node) leaseValid() bool { return n.now < n.holder.End() }
