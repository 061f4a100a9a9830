package linkserver

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxChunkBytes bounds one read from a connection.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks bounds the data in transit in each direction of a connection to 16 MB.
	// 4,000 Mbit/s with a delay of 20 ms need 10 MB.
	maxQueuedChunks = 512
	// dialTimeout bounds the dial to the target.
	dialTimeout = 2 * time.Second
	// maxBacklog bounds the backlog of a link with a bandwidth limit. Above it, connections
	// stop reading, so that the senders are slowed down by TCP flow control.
	maxBacklog = 50 * time.Millisecond
)

// relayedConn is one connection through the relay, from a client to a target.
type relayedConn struct {
	network *network
	// pair is the direction from the region of the client to that of the target.
	pair   RegionPair
	client *net.TCPConn
	// silenced is set when the relay discards all further data in both directions and keeps
	// the connections open.
	silenced atomic.Bool
	// targetConnected is set after the dial to the target succeeded.
	targetConnected atomic.Bool
	// done is closed when the connection is closed.
	done chan struct{}

	mutex  sync.Mutex
	closed bool
	target *net.TCPConn
}

// reset closes both sides with a TCP reset.
func (r *relayedConn) reset() { r.closeBoth(true) }

// closeBoth closes the connections to the client and the target, with a TCP reset if reset
// is set. Only the first call has an effect.
func (r *relayedConn) closeBoth(reset bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.done)
	for _, conn := range []*net.TCPConn{r.client, r.target} {
		if conn == nil {
			continue
		}
		if reset {
			_ = conn.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// dialTarget dials the target from the IP address of the client. It returns nil if the dial
// fails or the relayed connection was closed in the meantime.
func (r *relayedConn) dialTarget(ctx context.Context, target string) *net.TCPConn {
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: sourceAddress(r.client)}
	dialled, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		return nil
	}
	conn := dialled.(*net.TCPConn) //nolint:forcetypeassert // The network "tcp" gives a *net.TCPConn.
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		_ = conn.Close()
		return nil
	}
	r.target = conn
	r.targetConnected.Store(true)
	return conn
}

// serve sets up the connection to target and relays until both directions have ended. The
// client is read from the start, so that a client that closes during the set-up is
// detected.
func (r *relayedConn) serve(ctx context.Context, target string) {
	defer r.reset()
	stop := context.AfterFunc(ctx, r.reset)
	defer stop()
	fromClient := make(chan chunk, maxQueuedChunks)
	go r.receive(r.pair, r.client, fromClient)
	if !r.network.waitWhileCut(r.done, r.pair, r.pair.reverse()) || !r.sleep(r.network.addConnection(r.pair)) {
		return
	}
	conn := r.dialTarget(ctx, target)
	if conn == nil {
		return
	}
	fromTarget := make(chan chunk, maxQueuedChunks)
	go r.receive(r.pair.reverse(), conn, fromTarget)
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(r.pair, fromClient, conn) })
	directions.Go(func() { r.forward(r.pair.reverse(), fromTarget, r.client) })
	directions.Wait()
	r.closeBoth(false)
}

// sourceAddress returns the IP address of the client without its port. The target is
// dialled from it, so that the target sees the IP address of the client.
func sourceAddress(client *net.TCPConn) *net.TCPAddr {
	address, ok := client.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	return &net.TCPAddr{IP: address.IP}
}

// sleep waits for duration. It returns false if the connection is closed first.
func (r *relayedConn) sleep(duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-r.done:
		return false
	case <-timer.C:
		return true
	}
}

// chunk is a part of the stream in transit. Nil data means the end of the stream.
type chunk struct {
	data []byte
	// deliverAt is zero for data that was read before the connection to the target was set
	// up. Its delivery is scheduled after the set-up.
	deliverAt time.Time
}

// forward delivers the chunks of one direction until queue is closed.
func (r *relayedConn) forward(pair RegionPair, queue <-chan chunk, to *net.TCPConn) {
	for next := range queue {
		if next.deliverAt.IsZero() {
			next.deliverAt = r.network.scheduleDelivery(pair, len(next.data), time.Now())
		}
		if !r.deliver(pair, next, to) {
			r.resetUnlessSilenced()
		}
	}
}

// receive reads from one side into queue. It always closes queue.
func (r *relayedConn) receive(pair RegionPair, from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.enqueue(queue, r.newChunk(pair, buffer[:n])) {
			return
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && r.targetConnected.Load():
			r.enqueue(queue, r.newChunk(pair, nil))
			return
		default:
			r.resetUnlessSilenced()
			return
		}
		if backlog := r.network.backlog(pair, time.Now()); backlog > maxBacklog && !r.sleep(backlog-maxBacklog) {
			return
		}
	}
}

// newChunk returns a chunk with a copy of data, which is scheduled for delivery if the
// connection to the target is set up.
func (r *relayedConn) newChunk(pair RegionPair, data []byte) chunk {
	var next chunk
	if len(data) > 0 {
		next.data = append([]byte(nil), data...)
	}
	if r.targetConnected.Load() {
		next.deliverAt = r.network.scheduleDelivery(pair, len(data), time.Now())
	}
	return next
}

// enqueue adds a chunk to queue and blocks while queue is full. It returns false if the
// connection is closed first.
func (r *relayedConn) enqueue(queue chan<- chunk, next chunk) bool {
	select {
	case <-r.done:
		return false
	case queue <- next:
		return true
	}
}

// resetUnlessSilenced resets both sides after one of them failed. A silenced connection
// stays open, as the other side must not detect the failure.
func (r *relayedConn) resetUnlessSilenced() {
	if !r.silenced.Load() {
		r.reset()
	}
}

// deliver writes a chunk at its delivery time, or discards it if the connection is
// silenced. It returns false if the connection can't be used any more.
func (r *relayedConn) deliver(pair RegionPair, next chunk, to *net.TCPConn) bool {
	if r.silenced.Load() {
		return true
	}
	if !r.sleep(time.Until(next.deliverAt)) || !r.network.waitWhileCut(r.done, pair) {
		return false
	}
	if r.silenced.Load() {
		return true
	}
	if next.data == nil {
		return to.CloseWrite() == nil
	}
	_, err := to.Write(next.data)
	return err == nil
}
