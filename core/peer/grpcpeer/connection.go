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
	// connectTimeout bounds the set-up of a connection in milliseconds; the
	// farthest region is 20 ms away.
	connectTimeout clock.Millis = 500
	// reconnectBaseDelay and reconnectMaxDelay bound the delay in milliseconds
	// before a lost connection is dialled again.
	reconnectBaseDelay clock.Millis = 50
	reconnectMaxDelay  clock.Millis = 500
	// streamWindowBytes is the flow-control window of a stream: it allows 6 MB/s
	// at a round-trip time of 40 ms.
	streamWindowBytes = 256 << 10
	// connectionWindowBytes is the flow-control window of a connection: it allows
	// 25 MB/s at a round-trip time of 40 ms.
	connectionWindowBytes = 1 << 20
	// maxMessageBytes bounds a message; the reply to a member's first Sync
	// carries all rows of the table.
	maxMessageBytes = 32 << 20
	// bufferBytes is the size of a connection's read buffer and of its write
	// buffer: half of grpc-go's default, because a daemon may have connections
	// to 670 others.
	bufferBytes = 16 << 10
)

// connection is one TCP connection to a peer. If it breaks, grpc-go replaces it
// by a new one.
type connection struct {
	clock    clock.Clock
	grpcConn *grpc.ClientConn
	client   peerpb.PeerClient
	inFlight atomic.Int64
	probing  atomic.Bool
	// lastRead is the time at which bytes last arrived.
	lastRead atomic.Int64
	// waitingSince, if later than lastRead, is the start time of the oldest call
	// or control message to which nothing may have arrived yet.
	waitingSince atomic.Int64
	// controlUnconfirmed is set if a control message was sent since the last
	// successful probe.
	controlUnconfirmed atomic.Bool
}

// dial returns a connection and sets it up in the background.
func dial(address string, settings PoolSettings) (*connection, error) {
	c := &connection{clock: settings.Clock}
	c.lastRead.Store(int64(settings.Clock.Now()))
	dialer := net.Dialer{Timeout: connectTimeout.Duration()}
	if settings.LocalIP != "" {
		ip := net.ParseIP(settings.LocalIP)
		if ip == nil {
			return nil, &LocalAddressError{address: settings.LocalIP}
		}
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	grpcConn, err := grpc.NewClient("passthrough:///"+address, c.options(&dialer)...)
	if err != nil {
		return nil, err
	}
	c.grpcConn, c.client = grpcConn, peerpb.NewPeerClient(grpcConn)
	grpcConn.Connect()
	return c, nil
}

func (c *connection) options(dialer *net.Dialer) []grpc.DialOption {
	reconnect := backoff.Config{
		BaseDelay:  reconnectBaseDelay.Duration(),
		Multiplier: 1.6,
		Jitter:     0.2,
		MaxDelay:   reconnectMaxDelay.Duration(),
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			opened, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return &readTrackingConn{Conn: opened, connection: c}, nil
		}),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           reconnect,
			MinConnectTimeout: connectTimeout.Duration(),
		}),
		grpc.WithInitialWindowSize(streamWindowBytes),
		grpc.WithInitialConnWindowSize(connectionWindowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}
}

// startCall counts one more call in flight.
func (c *connection) startCall() {
	if c.inFlight.Add(1) == 1 {
		c.markWaiting()
	}
}

// endCall counts one call in flight less.
func (c *connection) endCall() { c.inFlight.Add(-1) }

// markControlSent records that a control message was sent. As it has no reply
// on the stream, only a probe shows that the connection carried it.
func (c *connection) markControlSent() {
	c.markWaiting()
	c.controlUnconfirmed.Store(true)
}

// markWaiting starts the inactivity time, unless it already runs for an earlier
// call or control message.
func (c *connection) markWaiting() {
	since := c.waitingSince.Load()
	if since <= c.lastRead.Load() || !c.hasOtherWork() {
		c.waitingSince.CompareAndSwap(since, int64(c.clock.Now()))
	}
}

func (c *connection) hasOtherWork() bool {
	return c.inFlight.Load() > 1 || c.controlUnconfirmed.Load()
}

// tryStartProbe reports whether the connection must be probed now: something is
// in flight or unconfirmed, nothing arrived for silenceBeforeProbe, and no probe
// is running. It then marks the probe as running.
func (c *connection) tryStartProbe(now clock.Millis) bool {
	if c.inFlight.Load() == 0 && !c.controlUnconfirmed.Load() {
		return false
	}
	lastActivity := clock.Millis(max(c.lastRead.Load(), c.waitingSince.Load()))
	return now-lastActivity >= inactivityBeforeProbe && c.probing.CompareAndSwap(false, true)
}

func (c *connection) endProbe() {
	c.controlUnconfirmed.Store(false)
	c.probing.Store(false)
}

func (c *connection) isIdle(now clock.Millis) bool {
	lastActivity := clock.Millis(max(c.lastRead.Load(), c.waitingSince.Load()))
	return c.inFlight.Load() == 0 && now-lastActivity >= idleTimeout
}

func (c *connection) close() { _ = c.grpcConn.Close() }

// readTrackingConn records in its connection the time at which bytes arrive.
type readTrackingConn struct {
	net.Conn
	connection *connection
}

// Read reads from the TCP connection.
func (c *readTrackingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.connection.lastRead.Store(int64(c.connection.clock.Now()))
	}
	return n, err
}

// LocalAddressError reports a local address that is not an IP address.
type LocalAddressError struct{ address string }

// Address returns the rejected address.
func (e *LocalAddressError) Address() string { return e.address }

func (e *LocalAddressError) Error() string {
	return fmt.Sprintf("local address %q is not an IP address", e.address)
}
