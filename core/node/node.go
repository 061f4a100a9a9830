// Package node is the control state machine of one daemon. It covers the lease,
// membership, ownership and the copy of the table. Its inputs are time and events, its
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

// TickInterval is the maximum time in milliseconds between two Ticks.
const TickInterval clock.Millis = 50

// Settings configures a Node. Create it with NewSettings.
type Settings struct {
	instance membership.Instance
	policy   placement.Policy
}

// Option changes an optional setting.
type Option func(*Settings)

// WithPolicy sets the placement policy that the node uses while it is the planner. The
// default is balanced.Policy. Nodes must not share a policy that keeps state.
func WithPolicy(policy placement.Policy) Option {
	return func(s *Settings) { s.policy = policy }
}

// NewSettings returns the settings for the daemon of an instance.
func NewSettings(instance membership.Instance, options ...Option) Settings {
	settings := Settings{instance: instance, policy: &balanced.Policy{}}
	for _, option := range options {
		option(&settings)
	}
	return settings
}

// Node is the control state machine of one daemon. It is not safe for concurrent use,
// but its Snapshots are.
type Node struct {
	settings  Settings
	random    *rand.Rand
	now       clock.Millis
	startedAt clock.Millis
	actions   []Action

	incarnation identity.Incarnation
	ownRow      membership.Member
	holder      holder.Holder
	witness     *witness.Witness
	monitor     failover.Monitor

	copy    tableCopy
	view    membership.View
	owners  ownership.Table
	config  map[string]table.Row
	catalog template.Catalog

	lastCommitID   CommitID
	ownRowSlot     commitSlot
	sharedRowsSlot commitSlot
	tableLatency   tableLatency

	connectivity connectivity
	sync         syncState
	poll         pollState
	ownState     ownRowState
	losses       lossState
	units        unitsState
	planner      plannerState

	lastPublished publishState
	snapshot      *Snapshot
}

// New returns a node that starts at now. The seed determines all its random choices,
// including its incarnations, and must differ between starts. The driver must have bound
// the instance's peer address before it calls New, since the node relies on no earlier
// process serving there any more.
func New(settings Settings, now clock.Millis, seed uint64) *Node {
	n := &Node{
		settings:  settings,
		random:    rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // Choices must repeat for a seed.
		now:       now,
		startedAt: now,
	}
	n.connectivity.graceUntil = now + reconnectGracePeriod
	n.poll.nextScan = now
	n.losses = newLossState()
	n.planner.loadReports = make(map[identity.Incarnation]loadReport)
	n.startIncarnation()
	n.publish()
	return n
}

// startIncarnation starts a new incarnation, which has no row, lease or promises.
func (n *Node) startIncarnation() {
	n.incarnation = 0
	for n.incarnation == 0 {
		n.incarnation = identity.Incarnation(n.random.Uint64())
	}
	n.ownRow = membership.Member{}
	n.holder = holder.Holder{}
	n.witness = witness.New()
	n.monitor = failover.Monitor{}
	n.units = newUnitsState()
	n.ownState.reset()
	n.lastPublished.dirty = true
}

// Snapshot returns the current state for the request path.
func (n *Node) Snapshot() *Snapshot { return n.snapshot }

// Step handles an event at now and returns the actions to execute in order. The driver
// must read now after the event occurred and before it executes the actions, and now
// must not go back. If the driver is paused after the reading, it calls Step with the
// earlier time, which is safe.
func (n *Node) Step(now clock.Millis, event Event) []Action {
	if n.ownState.hasLeft {
		return nil
	}
	n.connectivity.recordStep(now)
	n.now = now
	if n.handleEvent(event) {
		n.runDueSteps()
	}
	n.emitLeaseChange()
	n.announceRevision()
	n.publish()
	actions := n.actions
	n.actions = nil
	return actions
}

// handleEvent handles an event and reports whether further decisions may follow from it at
// once. Those that follow from renewals wait for the next Tick, since renewals are by far
// the most frequent events.
func (n *Node) handleEvent(event Event) bool {
	switch e := event.(type) {
	case MessageReceived:
		return n.handleMessage(e.envelope)
	case SendFailed:
		return false
	case ScanCompleted:
		n.handleScanCompleted(e)
	case ScanFailed:
		n.handleScanFailed()
	case Committed:
		n.handleCommitted(e)
	case Conflicted:
		n.handleConflicted(e)
	case CatalogChanged:
		n.applyCatalog(e.catalog)
	case UpstreamAnnounced:
		n.ownState.announcement, n.ownState.announced, n.ownState.upstreamUp = e.announcement, true, true
	case UpstreamDown:
		n.ownState.upstreamUp = false
	case UpstreamUp:
		n.ownState.upstreamUp = n.ownState.announced
	case DrainRequested:
		n.handleDrainRequested()
	case ShardDrained:
		n.handleShardDrained(e)
	case LoadMeasured:
		n.handleLoadMeasured(e)
	}
	return true
}

// runDueSteps makes the decisions that are due because of an event or the time.
func (n *Node) runDueSteps() {
	if n.ownState.hasLeft {
		return
	}
	n.stepWitnesses()
	n.stepOwnRow()
	if n.ownState.hasLeft {
		return
	}
	n.stepRenewals()
	n.stepReplacements()
	n.stepStaleMembers()
	n.stepEvacuation()
	n.stepHandovers()
	n.stepPlanner()
	n.stepPoll()
}

func (n *Node) emit(action Action) { n.actions = append(n.actions, action) }

// logEvent emits a LogEvent. Pairs holds keys and values alternately.
func (n *Node) logEvent(name string, pairs ...string) {
	fields := make([]Field, 0, len(pairs)/2+1)
	fields = append(fields, Field{key: "incarnation", value: n.incarnation.String()})
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, Field{key: pairs[i], value: pairs[i+1]})
	}
	n.emit(LogEvent{name: name, fields: fields})
}

func (n *Node) send(address string, to identity.Incarnation, message peer.Message) {
	envelope := peer.NewEnvelope(n.incarnation, to, n.settings.instance.PeerAddress(), message)
	n.emit(Send{address: address, envelope: envelope})
}

// isRegistered reports whether the node has a row that is not marked dead.
func (n *Node) isRegistered() bool { return n.ownRow.Alive() }

func (n *Node) leaseValid() bool { return n.now < n.holder.End() }
