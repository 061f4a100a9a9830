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
	// chunkBytes is the largest part that is read at once.
	chunkBytes = 32 << 10
	// queuedChunks bounds what is under way on one connection each way, 16 MB
	// at most: 4,000 Mbit/s over 20 ms are 10 MB.
	queuedChunks = 512
	// dialTimeout bounds the connection to the target.
	dialTimeout = 2 * time.Second
	// maxBacklog is how far a bounded link may be booked ahead before a
	// connection stops reading, so that senders notice the bound.
	maxBacklog = 50 * time.Millisecond
)

// relayed is one connection through the relay.
type relayed struct {
	network *network
	// pair is the region that opened the connection, and that of the target.
	pair   Pair
	client *net.TCPConn
	silent atomic.Bool
	// ready is set when the connection to the target is set up.
	ready atomic.Bool
	done  chan struct{}

	mutex  sync.Mutex
	ended  bool
	target *net.TCPConn
}

// abort closes both sides with a reset.
func (r *relayed) abort() { r.end(true) }

func (r *relayed) end(reset bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ended {
		return
	}
	r.ended = true
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

// connect dials the target. It returns nil if that fails or the connection has
// ended.
func (r *relayed) connect(ctx context.Context, target string) *net.TCPConn {
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: sourceOf(r.client)}
	dialled, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		return nil
	}
	conn := dialled.(*net.TCPConn) //nolint:forcetypeassert // The network "tcp" gives a *net.TCPConn.
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ended {
		_ = conn.Close()
		return nil
	}
	r.target = conn
	r.ready.Store(true)
	return conn
}

// serve sets the connection up and relays until both ways have ended. The
// client is read from the start, so that one that gives up is noticed.
func (r *relayed) serve(ctx context.Context, target string) {
	defer r.abort()
	stop := context.AfterFunc(ctx, r.abort)
	defer stop()
	fromClient := make(chan chunk, queuedChunks)
	go r.read(r.pair, r.client, fromClient)
	if !r.network.awaitOpen(r.done, r.pair, r.pair.reverse()) || !r.sleep(r.network.setUpTime(r.pair)) {
		return
	}
	conn := r.connect(ctx, target)
	if conn == nil {
		return
	}
	fromTarget := make(chan chunk, queuedChunks)
	go r.read(r.pair.reverse(), conn, fromTarget)
	var ways sync.WaitGroup
	ways.Go(func() { r.carry(r.pair, fromClient, conn) })
	ways.Go(func() { r.carry(r.pair.reverse(), fromTarget, r.client) })
	ways.Wait()
	r.end(false)
}

// sourceOf returns the client's IP address, from which the target is dialled so
// that it sees the same one.
func sourceOf(client *net.TCPConn) *net.TCPAddr {
	address, ok := client.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	return &net.TCPAddr{IP: address.IP}
}

func (r *relayed) sleep(length time.Duration) bool {
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
	body []byte
	// arrives is zero for what was read before the connection was set up: its
	// way begins then.
	arrives time.Time
}

// carry relays one way until its end.
func (r *relayed) carry(pair Pair, queue <-chan chunk, to *net.TCPConn) {
	for next := range queue {
		if next.arrives.IsZero() {
			next.arrives = r.network.accept(pair, len(next.body), time.Now())
		}
		if !r.deliver(pair, next, to) {
			r.fail()
		}
	}
}

// read queues what arrives from one side. It always closes the queue.
func (r *relayed) read(pair Pair, from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.push(queue, r.enter(pair, buffer[:n])) {
			return
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && r.ready.Load():
			r.push(queue, r.enter(pair, nil))
			return
		default:
			r.fail()
			return
		}
		if ahead := r.network.backlog(pair, time.Now()); ahead > maxBacklog && !r.sleep(ahead-maxBacklog) {
			return
		}
	}
}

// enter makes a chunk of what was read.
func (r *relayed) enter(pair Pair, body []byte) chunk {
	var next chunk
	if len(body) > 0 {
		next.body = append([]byte(nil), body...)
	}
	if r.ready.Load() {
		next.arrives = r.network.accept(pair, len(body), time.Now())
	}
	return next
}

func (r *relayed) push(queue chan<- chunk, next chunk) bool {
	select {
	case <-r.done:
		return false
	case queue <- next:
		return true
	}
}

// fail passes a reset on, unless the connection is silent: then the other side
// must not learn of it.
func (r *relayed) fail() {
	if !r.silent.Load() {
		r.abort()
	}
}

// deliver writes a chunk when it is due. A silent connection drops it. It
// returns false if the connection can't go on.
func (r *relayed) deliver(pair Pair, next chunk, to *net.TCPConn) bool {
	if r.silent.Load() {
		return true
	}
	if !r.sleep(time.Until(next.arrives)) || !r.network.awaitOpen(r.done, pair) {
		return false
	}
	if r.silent.Load() {
		return true
	}
	if next.body == nil {
		return to.CloseWrite() == nil
	}
	_, err := to.Write(next.body)
	return err == nil
}
