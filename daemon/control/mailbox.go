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

// grantTaken tells that the upstream has taken the grants of units.
type grantTaken struct{ units []GrantedUnit }

func (nodeEvent) isInput()  {}
func (grantTaken) isInput() {}

// mailbox is an unbounded queue of inputs. Posting never blocks, so that the
// loop itself may post while it carries out an action. The zero value works.
type mailbox struct {
	mutex  sync.Mutex
	inputs []input
	wake   chan struct{}
	once   sync.Once
}

// signal returns the channel that is filled when inputs wait.
func (m *mailbox) signal() chan struct{} {
	m.once.Do(func() { m.wake = make(chan struct{}, 1) })
	return m.wake
}

func (m *mailbox) post(next input) {
	m.mutex.Lock()
	m.inputs = append(m.inputs, next)
	m.mutex.Unlock()
	select {
	case m.signal() <- struct{}{}:
	default:
	}
}

// take returns the waiting inputs in order.
func (m *mailbox) take() []input {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	inputs := m.inputs
	m.inputs = nil
	return inputs
}
