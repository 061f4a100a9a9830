package runner

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxConnectionsPerTarget bounds the connections of one client to a daemon. Further
	// requests wait for a free connection.
	maxConnectionsPerTarget = 4096
	// dialTimeout bounds the time to connect to a daemon.
	dialTimeout = time.Second
	// idleTimeout is shorter than the usual idle timeouts of servers, so that the client
	// rarely sends on a connection that the server is closing.
	idleTimeout = 5 * time.Second
	// avoidDuration is how long callers prefer other daemons to one that could not be
	// reached, did not respond or had no lease.
	avoidDuration = time.Second
	// readBufferSize is the maximum size of the response headers in bytes.
	readBufferSize = 8 << 10
)

// target is a daemon that receives requests. Its methods are safe for concurrent use.
type target struct {
	address         string
	bufferedClient  *fasthttp.HostClient
	streamingClient *fasthttp.HostClient
	avoidedUntil    atomic.Int64
}

func newTarget(address string) *target {
	return &target{address: address, bufferedClient: NewClient(address), streamingClient: newStreamingClient(address)}
}

// NewClient returns a client for one address that reuses connections and never retries a
// request itself.
func NewClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     address,
		MaxConns:                 maxConnectionsPerTarget,
		MaxIdleConnDuration:      idleTimeout,
		MaxConnWaitTimeout:       dialTimeout,
		ReadBufferSize:           readBufferSize,
		NoDefaultUserAgentHeader: true,
		DialTimeout: func(addr string, _ time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp4", addr, dialTimeout)
		},
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

func newStreamingClient(address string) *fasthttp.HostClient {
	client := NewClient(address)
	client.StreamResponseBody = true
	return client
}

// avoid makes callers prefer other targets for avoidDuration.
func (t *target) avoid(now time.Time) { t.avoidedUntil.Store(now.Add(avoidDuration).UnixNano()) }

func (t *target) isAvoided(now time.Time) bool { return now.UnixNano() < t.avoidedUntil.Load() }

// client returns the client for a request. Requests with streamed responses use separate
// connections.
func (t *target) client(stream bool) *fasthttp.HostClient {
	if stream {
		return t.streamingClient
	}
	return t.bufferedClient
}

// failedBeforeSend reports whether err proves that no byte of the request was sent.
func failedBeforeSend(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return true
	}
	return errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout)
}

// readBody copies the response body to sink and reports whether the body was complete.
func readBody(response *fasthttp.Response, sink io.Writer) (size int64, complete bool) {
	stream := response.BodyStream()
	if stream == nil {
		n, err := sink.Write(response.Body())
		return int64(n), err == nil
	}
	defer func() { _ = response.CloseBodyStream() }()
	size, err := io.Copy(sink, stream)
	return size, err == nil
}
