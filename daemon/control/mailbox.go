package control

import (
	"sync"

	"briarwell.dev/core/node"
)

// input is nodeEvent or grantTaken.
type input interface {
	isInput()
}

// nodeEvent is an event for the node.
type nodeEvent struct{ event node.Event }

// grantAccepted tells that the upstream has taken the grants of units.
type grantAccepted struct{ units []GrantedUnit }

func (nodeEvent) isInput()     {}
func (grantAccepted) isInput() {}

// mailbox is an unbounded queue of inputs. Posting never blocks, so that the
// loop itself may post while it carries out an action. The zero value works.
type mailbox struct {
	mutex  sync.Mutex
	inputs []input
	wake   chan struct{}
	once   sync.Once
}

// ready returns the channel that is filled when inputs wait.
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

// takeAll returns the waiting inputs in order.
func (m *mailbox) takeAll() []input {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	inputs := m.inputs
	m.inputs = nil
	return inputs
}
