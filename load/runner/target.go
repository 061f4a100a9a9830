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
	// maxConnectionsPerTarget bounds the connections to one daemon; more requests wait.
	maxConnectionsPerTarget = 4096
	// dialTimeout bounds the time to connect to a daemon.
	dialTimeout = time.Second
	// idleTimeout is below the usual idle timeouts of servers, so that the
	// client seldom sends on a connection that the server is closing.
	idleTimeout = 5 * time.Second
	// avoidDuration is how long a caller prefers other daemons after one couldn't be
	// reached or didn't answer.
	avoidDuration = time.Second
	// readBufferSize holds the headers of an answer.
	readBufferSize = 8 << 10
)

// target is a daemon that callers send to.
type target struct {
	address         string
	bufferedClient  *fasthttp.HostClient
	streamingClient *fasthttp.HostClient
	avoidedUntil    atomic.Int64
}

func newTarget(address string) *target {
	return &target{address: address, bufferedClient: NewClient(address), streamingClient: newStreamingClient(address)}
}

// NewClient returns a client that reuses connections and never repeats a
// request by itself.
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

func (t *target) avoid(now time.Time) { t.avoidedUntil.Store(now.Add(avoidDuration).UnixNano()) }

func (t *target) isAvoided(now time.Time) bool { return now.UnixNano() < t.avoidedUntil.Load() }

// client returns the client for a request; requests with streamed answers have
// connections of their own.
func (t *target) client(stream bool) *fasthttp.HostClient {
	if stream {
		return t.streamingClient
	}
	return t.bufferedClient
}

// failedBeforeSend tells whether err shows that no byte was sent.
func failedBeforeSend(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	return errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout)
}

// readBody passes the body to sink and tells whether it ended properly.
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
