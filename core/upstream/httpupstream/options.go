// Package httpupstream sends orders to an upstream over HTTP/1.1. It holds no
// body whole and never sends an order twice.
package httpupstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// defaultConnections is the number of connections of the smaller of the two
	// current organisations' upstreams.
	defaultConnections = 110
	// defaultInactivity is how long an order goes on without a byte from or to
	// the upstream.
	defaultInactivity = 10 * time.Second
	// defaultIdle is how long an unused connection is kept. Upstreams keep
	// theirs longer, so that an order seldom meets a closing connection.
	defaultIdle = 4 * time.Second
	// dialTimeout bounds the set-up of a connection, within the instance.
	dialTimeout = time.Second
	// controlConnections is for grants and load reports, which don't wait for
	// orders.
	controlConnections = 2
	// controlTimeout bounds grants and load reports.
	controlTimeout = time.Second
	// headBytes bounds the head of an answer.
	headBytes = 64 << 10
	// writeBytes is the size of the buffer of a request.
	writeBytes = 32 << 10
)

// Option changes an Upstream.
type Option func(*options)

type options struct {
	connections int
	inactivity  time.Duration
	idle        time.Duration
	localIP     net.IP
}

// Connections bounds the number of connections for orders.
func Connections(count int) Option {
	return func(o *options) { o.connections = count }
}

// Inactivity sets how long an order goes on without a byte from or to the
// upstream.
func Inactivity(timeout time.Duration) Option {
	return func(o *options) { o.inactivity = timeout }
}

// Idle sets how long an unused connection is kept. It must be shorter than the
// upstream keeps its own.
func Idle(timeout time.Duration) Option {
	return func(o *options) { o.idle = timeout }
}

// LocalIP binds outgoing connections to an address of this instance.
func LocalIP(ip net.IP) Option {
	return func(o *options) { o.localIP = ip }
}

// Upstream is a client of one upstream. It is safe for concurrent use.
type Upstream struct {
	address    string
	inactivity time.Duration
	// orders is used as a pool of connections only: fasthttp's own exchange has
	// neither cancellation nor a separate failure for each of its steps.
	orders  *fasthttp.HostClient
	control *fasthttp.HostClient
}

// AddressError reports an upstream address that is not IP:PORT.
type AddressError struct {
	address string
}

// Address returns the rejected text.
func (e *AddressError) Address() string { return e.address }

func (e *AddressError) Error() string {
	return fmt.Sprintf("upstream address %q is not of the form IP:PORT", e.address)
}

// New returns a client of the upstream at address, which has the form IP:PORT.
// It returns an *AddressError for any other text.
func New(address string, changes ...Option) (*Upstream, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, &AddressError{address: address}
	}
	set := options{connections: defaultConnections, inactivity: defaultInactivity, idle: defaultIdle}
	for _, change := range changes {
		change(&set)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if set.localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: set.localIP}
	}
	orders := newClient(address, dialer, set.idle)
	orders.MaxConns = set.connections
	orders.ConnPoolStrategy = fasthttp.LIFO // The newest is least likely to be closing.
	control := newClient(address, dialer, set.idle)
	control.MaxConns = controlConnections
	control.MaxConnWaitTimeout = controlTimeout
	return &Upstream{address: address, inactivity: set.inactivity, orders: orders, control: control}, nil
}

func newClient(address string, dialer *net.Dialer, idle time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			return dial(dialer, address, timeout)
		},
		MaxIdleConnDuration:       idle,
		ReadBufferSize:            headBytes,
		WriteBufferSize:           writeBytes,
		MaxIdemponentCallAttempts: 1, // A resent order would run twice.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}
}

// dialError marks that no connection was made, so that nothing was sent.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func dial(dialer *net.Dialer, address string, timeout time.Duration) (net.Conn, error) {
	ctx := context.Background()
	if timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	tcp := conn.(*net.TCPConn) //nolint:forcetypeassert // The network "tcp" gives a *net.TCPConn.
	return &trackedConn{Conn: tcp, tcp: tcp}, nil
}

// Close closes the connections that are not in use.
func (u *Upstream) Close() {
	u.orders.CloseIdleConnections()
	u.control.CloseIdleConnections()
}

// errInactive is the cause of an order without progress.
var errInactive = errors.New("no byte within the inactivity timeout")
