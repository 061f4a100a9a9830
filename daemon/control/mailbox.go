package control

import (
	"sync"

	"briarwell.dev/core/node"
)

// input is a nodeEvent or a grantAccepted.
type input interface {
	isInput()
}

type nodeEvent struct{ event node.Event }

// grantAccepted is the notification that the upstream has accepted the grants of units.
type grantAccepted struct{ units []GrantedUnit }

func (nodeEvent) isInput()     {}
func (grantAccepted) isInput() {}

// mailbox is an unbounded queue of inputs. Posting never blocks, so the loop itself
// may post while it executes an action. The zero value is ready to use.
type mailbox struct {
	mutex  sync.Mutex
	inputs []input
	wake   chan struct{}
	once   sync.Once
}

// ready returns a channel that receives a value when inputs are waiting.
func (m *mailbox) ready() chan struct{} {
	m.once.Do(func() { m.wake = make(chan struct{}, 1) })
	return m.wake
}

func (m *mailbox) post(next input) {
	m.mutex.Lock()
	m.inputs = append(m.inputs, next)
	m.mutex.Unlock()
	select {
	case m.ready() <- struct{}{}:
	default:
	}
}

// takeAll removes the waiting inputs and returns them in the order of posting.
func (m *mailbox) takeAll() []input {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	inputs := m.inputs
	m.inputs = nil
	return inputs
}
