// Package httpupstream sends requests to an upstream over HTTP/1.1. It buffers no
// complete body and never sends a request twice.
package httpupstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/httpresponse/fasttransport"
)

const (
	// defaultMaxConnections is the connection limit of the smaller of the upstreams of
	// the two current organisations.
	defaultMaxConnections = 110
	// defaultInactivityTimeout is the longest time that a request may go on without a
	// byte from or to the upstream.
	defaultInactivityTimeout = 10 * time.Second
	// defaultIdleTimeout is the time after which an unused connection is closed.
	// Upstreams keep theirs open longer, so that a request seldom gets a connection
	// that the upstream is closing.
	defaultIdleTimeout = 4 * time.Second
	// dialTimeout bounds the set-up of a connection, which stays within the instance.
	dialTimeout = time.Second
	// maxControlConnections bounds the connections for grants and load reports. They
	// are separate, so that grants and load reports do not wait for requests.
	maxControlConnections = 2
	// controlTimeout bounds the sending of a grant and the reading of a load report.
	controlTimeout = time.Second
	// maxControlBytes bounds the body of a load report and of the response to a grant.
	maxControlBytes = 64 << 10
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// writeBufferBytes is the size of the buffer for writing a request.
	writeBufferBytes = 32 << 10
)

// Option is an optional setting of New.
type Option func(*options)

type options struct {
	maxConnections    int
	inactivityTimeout time.Duration
	idleTimeout       time.Duration
	localIP           net.IP
}

// MaxConnections bounds the number of connections for requests.
func MaxConnections(limit int) Option {
	return func(o *options) { o.maxConnections = limit }
}

// InactivityTimeout sets the longest time that a request may go on without a byte from
// or to the upstream.
func InactivityTimeout(timeout time.Duration) Option {
	return func(o *options) { o.inactivityTimeout = timeout }
}

// IdleTimeout sets the time after which an unused connection is closed. It must be
// shorter than that of the upstream.
func IdleTimeout(timeout time.Duration) Option {
	return func(o *options) { o.idleTimeout = timeout }
}

// LocalIP sets the local address of outgoing connections, an address of this instance.
func LocalIP(ip net.IP) Option {
	return func(o *options) { o.localIP = ip }
}

// Upstream is a client of one upstream. It is safe for concurrent use.
type Upstream struct {
	address           string
	inactivityTimeout time.Duration
	// requestPool is used only as a pool of connections: fasthttp's HostClient.Do offers
	// neither cancellation nor a separate error for each step of an exchange.
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

// New returns a client of the upstream at address. It returns an *AddressError if address
// is not of the form IP:PORT.
func New(address string, opts ...Option) (*Upstream, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, &AddressError{address: address}
	}
	settings := options{maxConnections: defaultMaxConnections, inactivityTimeout: defaultInactivityTimeout, idleTimeout: defaultIdleTimeout}
	for _, apply := range opts {
		apply(&settings)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if settings.localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: settings.localIP}
	}
	requestPool := newHostClient(address, dialer, settings.idleTimeout)
	requestPool.MaxConns = settings.maxConnections
	requestPool.ConnPoolStrategy = fasthttp.LIFO // The newest is the least likely to be closing.
	controlClient := newHostClient(address, dialer, settings.idleTimeout)
	controlClient.MaxConns = maxControlConnections
	controlClient.MaxResponseBodySize = maxControlBytes
	controlClient.MaxConnWaitTimeout = controlTimeout
	return &Upstream{address: address, inactivityTimeout: settings.inactivityTimeout, requestPool: requestPool, controlClient: controlClient}, nil
}

func newHostClient(address string, dialer *net.Dialer, idleTimeout time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			return dial(dialer, address, timeout)
		},
		MaxIdleConnDuration:       idleTimeout,
		ReadBufferSize:            maxHeadBytes,
		WriteBufferSize:           writeBufferBytes,
		Transport:                 fasttransport.Transport{},
		MaxIdemponentCallAttempts: 1, // A request that is sent again could run twice.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}
}

// dialError reports that no connection was established, so that nothing was sent.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func dial(dialer *net.Dialer, address string, timeout time.Duration) (net.Conn, error) {
	ctx := context.Background()
	if timeout > 0 {
		timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = timeoutCtx
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	tcp := conn.(*net.TCPConn) //nolint:forcetypeassert // Connections of the network "tcp" are *net.TCPConn.
	return &trackedConn{Conn: tcp, tcp: tcp}, nil
}

// Close closes the idle connections.
func (u *Upstream) Close() {
	u.requestPool.CloseIdleConnections()
	u.controlClient.CloseIdleConnections()
}

// errInactivityTimeout is the cause of failure of a request that made no progress.
var errInactivityTimeout = errors.New("no byte within the inactivity timeout")
