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

// controlRetryDelay is the pause in milliseconds after a control message could
// not be sent.
const controlRetryDelay clock.Millis = 20

// ErrControlQueueFull reports that a control message was dropped in favour of
// newer ones.
var ErrControlQueueFull = errors.New("control message dropped: queue of the peer is full")

// controlSender sends the control messages for one peer in order.
type controlSender struct {
	peer      *peer
	maxQueued int
	wake      chan struct{}
	// ctx ends the run goroutine when the peer is closed.
	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	queue []*peerpb.Envelope

	// stream and connection are used by run only.
	stream       grpc.ClientStreamingClient[peerpb.Envelope, peerpb.ControlSummary]
	cancelStream context.CancelFunc
	connection   *connection
}

func newControlSender(target *peer, maxQueued int) *controlSender {
	ctx, cancel := context.WithCancel(context.Background())
	return &controlSender{peer: target, maxQueued: maxQueued, wake: make(chan struct{}, 1), ctx: ctx, stop: cancel}
}

// enqueue adds a message to the queue. If the queue is then too long, it drops
// the oldest message.
func (s *controlSender) enqueue(envelope *peerpb.Envelope) {
	s.mu.Lock()
	s.queue = append(s.queue, envelope)
	var dropped *peerpb.Envelope
	if len(s.queue) > s.maxQueued {
		dropped = s.queue[0]
		s.queue = s.queue[1:]
	}
	s.mu.Unlock()
	if dropped != nil {
		s.peer.pool.reportControlFailure(s.peer.address, dropped, ErrControlQueueFull)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *controlSender) dequeue() *peerpb.Envelope {
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

func (s *controlSender) close() { s.stop() }

// run sends queued messages until close is called.
func (s *controlSender) run() {
	defer s.closeStream()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
		for envelope := s.dequeue(); envelope != nil; envelope = s.dequeue() {
			if err := s.send(envelope); err != nil {
				s.peer.pool.reportControlFailure(s.peer.address, envelope, err)
				s.waitRetryDelay()
			}
		}
	}
}

// send sends one message. If that fails on a stream that was already open, it
// tries once more on a new stream: control messages may arrive twice.
func (s *controlSender) send(envelope *peerpb.Envelope) error {
	reused := s.stream != nil
	err := s.sendOnce(envelope)
	if err != nil && reused && s.ctx.Err() == nil {
		err = s.sendOnce(envelope)
	}
	return err
}

func (s *controlSender) sendOnce(envelope *peerpb.Envelope) error {
	if s.stream == nil {
		if err := s.openStream(); err != nil {
			return err
		}
	}
	s.connection.markControlSent()
	err := s.stream.Send(envelope)
	if err != nil {
		s.closeStream()
	}
	return err
}

func (s *controlSender) openStream() error {
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
	s.stream, s.cancelStream, s.connection = stream, cancel, c
	return nil
}

func (s *controlSender) closeStream() {
	if s.stream == nil {
		return
	}
	s.cancelStream()
	s.stream, s.cancelStream, s.connection = nil, nil, nil
}

func (s *controlSender) waitRetryDelay() {
	timer := time.NewTimer(controlRetryDelay.Duration())
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
	case <-timer.C:
	}
}
