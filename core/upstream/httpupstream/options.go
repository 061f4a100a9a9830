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
	// defaultMaxConnections is the number of connections of the smaller of the two
	// current organisations' upstreams.
	defaultMaxConnections = 110
	// defaultInactivityTimeout is how long an order goes on without a byte from or to
	// the upstream.
	defaultInactivityTimeout = 10 * time.Second
	// defaultIdleTimeout is how long an unused connection is kept. Upstreams keep
	// theirs longer, so that an order seldom meets a closing connection.
	defaultIdleTimeout = 4 * time.Second
	// dialTimeout bounds the set-up of a connection, within the instance.
	dialTimeout = time.Second
	// maxControlConnections is for grants and load reports, which don't wait for
	// orders.
	maxControlConnections = 2
	// controlTimeout bounds grants and load reports.
	controlTimeout = time.Second
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// writeBufferBytes is the size of the buffer of a request.
	writeBufferBytes = 32 << 10
)

// Option changes an Upstream.
type Option func(*options)

type options struct {
	maxConnections    int
	inactivityTimeout time.Duration
	idleTimeout       time.Duration
	localIP           net.IP
}

// MaxConnections bounds the number of connections for orders.
func MaxConnections(count int) Option {
	return func(o *options) { o.maxConnections = count }
}

// InactivityTimeout sets how long an order goes on without a byte from or to the
// upstream.
func InactivityTimeout(timeout time.Duration) Option {
	return func(o *options) { o.inactivityTimeout = timeout }
}

// IdleTimeout sets how long an unused connection is kept. It must be shorter than the
// upstream keeps its own.
func IdleTimeout(timeout time.Duration) Option {
	return func(o *options) { o.idleTimeout = timeout }
}

// LocalIP binds outgoing connections to an address of this instance.
func LocalIP(ip net.IP) Option {
	return func(o *options) { o.localIP = ip }
}

// Upstream is a client of one upstream. It is safe for concurrent use.
type Upstream struct {
	address           string
	inactivityTimeout time.Duration
	// requestPool is used as a pool of connections only: fasthttp's own exchange has
	// neither cancellation nor a separate failure for each of its steps.
	requestPool   *fasthttp.HostClient
	controlClient *fasthttp.HostClient
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
	set := options{maxConnections: defaultMaxConnections, inactivityTimeout: defaultInactivityTimeout, idleTimeout: defaultIdleTimeout}
	for _, change := range changes {
		change(&set)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if set.localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: set.localIP}
	}
	orders := newHostClient(address, dialer, set.idleTimeout)
	orders.MaxConns = set.maxConnections
	orders.ConnPoolStrategy = fasthttp.LIFO // The newest is least likely to be closing.
	control := newHostClient(address, dialer, set.idleTimeout)
	control.MaxConns = maxControlConnections
	control.MaxConnWaitTimeout = controlTimeout
	return &Upstream{address: address, inactivityTimeout: set.inactivityTimeout, requestPool: orders, controlClient: control}, nil
}

func newHostClient(address string, dialer *net.Dialer, idle time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			return dial(dialer, address, timeout)
		},
		MaxIdleConnDuration:       idle,
		ReadBufferSize:            maxHeadBytes,
		WriteBufferSize:           writeBufferBytes,
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
	u.requestPool.CloseIdleConnections()
	u.controlClient.CloseIdleConnections()
}

// errInactivityTimeout is the cause of an order without progress.
var errInactivityTimeout = errors.New("no byte within the inactivity timeout")
