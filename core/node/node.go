// Package node is the control state machine of one daemon: lease, membership,
// ownership and the copy of the table. Its inputs are time and events, its
// outputs are actions.
package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/placement"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
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

// WithPolicy sets the placement policy that the node uses as planner.
func WithPolicy(policy placement.Policy) Option {
	return func(s *Settings) { s.policy = policy }
}

// NewSettings returns settings for the daemon of an instance.
func NewSettings(instance membership.Instance, options ...Option) Settings {
	settings := Settings{instance: instance}
	for _, option := range options {
		option(&settings)
	}
	return settings
}

// Node is the control state machine of one daemon. It is not safe for
// concurrent use; a Snapshot is.
type Node struct {
	settings Settings
	snapshot *Snapshot
}

// New returns a node that starts at now. The seed determines all its random
// choices, among them its incarnations, and must differ between starts.
func New(settings Settings, now clock.Millis, seed uint64) *Node {
	_, _ = now, seed
	return &Node{settings: settings, snapshot: &Snapshot{}}
}

// Snapshot returns the current view for the request path.
func (n *Node) Snapshot() *Snapshot { return n.snapshot }

// Step takes an event at now, which must not go back, and returns the actions
// to carry out in order.
func (n *Node) Step(now clock.Millis, event Event) []Action {
	_, _ = now, event
	return nil
}

type tables struct{}

func (t *tables) owner(identity.Service, shard.ID, string) (Owner, bool) { return Owner{}, false }

func (t *tables) members(identity.Service) []membership.Member { return nil }

func (t *tables) allMembers() []membership.Member { return nil }

func (t *tables) config(string) (table.Row, bool) { return table.Row{}, false }

func (t *tables) configRows() []table.Row { return nil }
