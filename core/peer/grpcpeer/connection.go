package grpcpeer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/peer/peerpb"
)

const (
	// connectTimeout bounds a connection's setup in milliseconds; the farthest
	// region is 20 ms away.
	connectTimeout clock.Millis = 500
	// reconnectBase and reconnectCap bound the delay in milliseconds before a
	// lost connection is dialled again.
	reconnectBase clock.Millis = 50
	reconnectCap  clock.Millis = 500
	// streamWindow lets one stream carry 6 MB/s over a round trip of 40 ms.
	streamWindow = 256 << 10
	// connectionWindow lets a connection carry 25 MB/s over the same.
	connectionWindow = 1 << 20
	// maxMessage bounds a message; a first Sync carries all rows of the table.
	maxMessage = 32 << 20
	// bufferBytes is the size of a connection's buffers: half of grpc-go's
	// default, because a daemon may have connections to 670 others.
	bufferBytes = 16 << 10
)

// connection is one TCP connection to a peer, with its successors if it
// breaks.
type connection struct {
	clock    clock.Clock
	channel  *grpc.ClientConn
	client   peerpb.PeerClient
	inFlight atomic.Int64
	probing  atomic.Bool
	// lastRead is when bytes last arrived.
	lastRead atomic.Int64
	// waitingSince is when the oldest work began that may not have been
	// answered, if it is after lastRead.
	waitingSince atomic.Int64
	// expecting tells that a control message was sent after the last probe.
	expecting atomic.Bool
}

// dial returns a connection that is set up in the background.
func dial(address string, settings PoolSettings) (*connection, error) {
	c := &connection{clock: settings.Clock}
	c.lastRead.Store(int64(settings.Clock.Now()))
	dialer := net.Dialer{Timeout: connectTimeout.Duration()}
	if settings.LocalIP != "" {
		ip := net.ParseIP(settings.LocalIP)
		if ip == nil {
			return nil, &AddressError{address: settings.LocalIP}
		}
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	channel, err := grpc.NewClient("passthrough:///"+address, c.options(&dialer)...)
	if err != nil {
		return nil, err
	}
	c.channel, c.client = channel, peerpb.NewPeerClient(channel)
	channel.Connect()
	return c, nil
}

func (c *connection) options(dialer *net.Dialer) []grpc.DialOption {
	reconnect := backoff.Config{
		BaseDelay:  reconnectBase.Duration(),
		Multiplier: 1.6,
		Jitter:     0.2,
		MaxDelay:   reconnectCap.Duration(),
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			opened, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return &watchedConn{Conn: opened, connection: c}, nil
		}),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           reconnect,
			MinConnectTimeout: connectTimeout.Duration(),
		}),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
	}
}

// begin counts one more piece of work.
func (c *connection) begin() {
	if c.inFlight.Add(1) == 1 {
		c.wait()
	}
}

// end undoes begin.
func (c *connection) end() { c.inFlight.Add(-1) }

// expect notes that a control message was sent, which has no answer of its
// own.
func (c *connection) expect() {
	c.wait()
	c.expecting.Store(true)
}

// wait starts the measuring of silence, unless earlier work is unanswered.
func (c *connection) wait() {
	since := c.waitingSince.Load()
	if since <= c.lastRead.Load() || !c.busy() {
		c.waitingSince.CompareAndSwap(since, int64(c.clock.Now()))
	}
}

func (c *connection) busy() bool {
	return c.inFlight.Load() > 1 || c.expecting.Load()
}

// startProbe tells whether the connection must be probed now.
func (c *connection) startProbe(now clock.Millis) bool {
	if c.inFlight.Load() == 0 && !c.expecting.Load() {
		return false
	}
	heard := clock.Millis(max(c.lastRead.Load(), c.waitingSince.Load()))
	return now-heard >= probeAfter && c.probing.CompareAndSwap(false, true)
}

func (c *connection) endProbe() {
	c.expecting.Store(false)
	c.probing.Store(false)
}

func (c *connection) idle(now clock.Millis) bool {
	last := clock.Millis(max(c.lastRead.Load(), c.waitingSince.Load()))
	return c.inFlight.Load() == 0 && now-last >= idleLife
}

func (c *connection) close() { _ = c.channel.Close() }

// watchedConn notes when bytes arrive.
type watchedConn struct {
	net.Conn
	connection *connection
}

// Read reads from the connection.
func (w *watchedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.connection.lastRead.Store(int64(w.connection.clock.Now()))
	}
	return n, err
}

// AddressError reports a local address that is not an IP address.
type AddressError struct{ address string }

// Address returns the rejected text.
func (e *AddressError) Address() string { return e.address }

func (e *AddressError) Error() string {
	return fmt.Sprintf("local address %q is not an IP address", e.address)
}
