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
	// maxChunkBytes is the largest part that is read at once.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks bounds what is under way on one connection each way, 16 MB
	// at most: 4,000 Mbit/s over 20 ms are 10 MB.
	maxQueuedChunks = 512
	// dialTimeout bounds the connection to the target.
	dialTimeout = 2 * time.Second
	// maxBacklog is how far a bounded link may be booked ahead before a
	// connection stops reading, so that senders notice the bound.
	maxBacklog = 50 * time.Millisecond
)

// relayedConn is one connection through the relay.
type relayedConn struct {
	network *network
	// pair is the region that opened the connection, and that of the target.
	pair     RegionPair
	client   *net.TCPConn
	silenced atomic.Bool
	// targetConnected is set when the connection to the target is set up.
	targetConnected atomic.Bool
	done            chan struct{}

	mutex  sync.Mutex
	closed bool
	target *net.TCPConn
}

// reset closes both sides with a reset.
func (r *relayedConn) reset() { r.closeBoth(true) }

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

// dialTarget dials the target. It returns nil if that fails or the connection has
// ended.
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

// serve sets the connection up and relays until both ways have ended. The
// client is read from the start, so that one that gives up is noticed.
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
	var ways sync.WaitGroup
	ways.Go(func() { r.forward(r.pair, fromClient, conn) })
	ways.Go(func() { r.forward(r.pair.reverse(), fromTarget, r.client) })
	ways.Wait()
	r.closeBoth(false)
}

// sourceAddress returns the client's IP address, from which the target is dialled so
// that it sees the same one.
func sourceAddress(client *net.TCPConn) *net.TCPAddr {
	address, ok := client.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	return &net.TCPAddr{IP: address.IP}
}

func (r *relayedConn) sleep(length time.Duration) bool {
	if length <= 0 {
		return true
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-r.done:
		return false
	case <-timer.C:
		return true
	}
}

// chunk is a part of the stream under way. A nil body is the end of the stream.
type chunk struct {
	data []byte
	// deliverAt is zero for what was read before the connection was set up: its
	// way begins then.
	deliverAt time.Time
}

// forward relays one way until its end.
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

// receive queues what arrives from one side. It always closes the queue.
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
		if ahead := r.network.backlog(pair, time.Now()); ahead > maxBacklog && !r.sleep(ahead-maxBacklog) {
			return
		}
	}
}

// newChunk makes a chunk of what was read.
func (r *relayedConn) newChunk(pair RegionPair, body []byte) chunk {
	var next chunk
	if len(body) > 0 {
		next.data = append([]byte(nil), body...)
	}
	if r.targetConnected.Load() {
		next.deliverAt = r.network.scheduleDelivery(pair, len(body), time.Now())
	}
	return next
}

func (r *relayedConn) enqueue(queue chan<- chunk, next chunk) bool {
	select {
	case <-r.done:
		return false
	case queue <- next:
		return true
	}
}

// resetUnlessSilenced passes a reset on, unless the connection is silent: then the other side
// must not learn of it.
func (r *relayedConn) resetUnlessSilenced() {
	if !r.silenced.Load() {
		r.reset()
	}
}

// deliver writes a chunk when it is due. A silent connection drops it. It
// returns false if the connection can't go on.
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
