package grpcpeer

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/peer/peerpb"
)

// streamBackoff is the pause in milliseconds after a control stream could not
// be opened.
const streamBackoff clock.Millis = 20

// ErrQueueFull says that a control message was dropped for newer ones.
var ErrQueueFull = errors.New("queue of control messages is full")

// controlSender sends the control messages to one peer in order.
type controlSender struct {
	peer  *peer
	limit int
	wake  chan struct{}
	// ctx ends the goroutine of run with the peer.
	ctx context.Context
	end context.CancelFunc

	mu    sync.Mutex
	queue []*peerpb.Envelope

	// stream and connection are used by run only.
	stream     grpc.ClientStreamingClient[peerpb.Envelope, peerpb.ControlSummary]
	cancel     context.CancelFunc
	connection *connection
}

func newControlSender(target *peer, limit int) *controlSender {
	ctx, cancel := context.WithCancel(context.Background())
	return &controlSender{peer: target, limit: limit, wake: make(chan struct{}, 1), ctx: ctx, end: cancel}
}

// push queues a message and drops the oldest if there are too many.
func (s *controlSender) push(envelope *peerpb.Envelope) {
	s.mu.Lock()
	s.queue = append(s.queue, envelope)
	var dropped *peerpb.Envelope
	if len(s.queue) > s.limit {
		dropped = s.queue[0]
		s.queue = s.queue[1:]
	}
	s.mu.Unlock()
	if dropped != nil {
		s.peer.pool.controlFailed(s.peer.address, dropped, ErrQueueFull)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *controlSender) pop() *peerpb.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil
	}
	next := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	return next
}

func (s *controlSender) close() { s.end() }

// run sends messages until close.
func (s *controlSender) run() {
	defer s.reset()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
		for envelope := s.pop(); envelope != nil; envelope = s.pop() {
			if err := s.send(envelope); err != nil {
				s.peer.pool.controlFailed(s.peer.address, envelope, err)
				s.pause()
			}
		}
	}
}

// send sends one message, a second time on a new stream if the open one has
// ended: control messages may arrive twice.
func (s *controlSender) send(envelope *peerpb.Envelope) error {
	reused := s.stream != nil
	err := s.try(envelope)
	if err != nil && reused && s.ctx.Err() == nil {
		err = s.try(envelope)
	}
	return err
}

func (s *controlSender) try(envelope *peerpb.Envelope) error {
	if s.stream == nil {
		if err := s.open(); err != nil {
			return err
		}
	}
	s.connection.expect()
	err := s.stream.Send(envelope)
	if err != nil {
		s.reset()
	}
	return err
}

func (s *controlSender) open() error {
	c, err := s.peer.acquireControl()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	stream, err := c.client.Control(ctx)
	if err != nil {
		cancel()
		return err
	}
	s.stream, s.cancel, s.connection = stream, cancel, c
	return nil
}

func (s *controlSender) reset() {
	if s.stream == nil {
		return
	}
	s.cancel()
	s.stream, s.cancel, s.connection = nil, nil, nil
}

func (s *controlSender) pause() {
	timer := time.NewTimer(streamBackoff.Duration())
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
	case <-timer.C:
	}
}
