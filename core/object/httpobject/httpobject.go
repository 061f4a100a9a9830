// Package httpobject is a client of the object store over HTTP: PUT and GET of
// /objects/DIGEST.
package httpobject

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/object"
)

// PathPrefix is the path of the objects, before the digest.
const PathPrefix = "/objects/"

const (
	// defaultCallTimeout bounds calls whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// maxConnections bounds the connections of one daemon, which reads few objects.
	maxConnections = 4
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 5 * time.Second
	// maxObjectBytes bounds a body; templates and their history are far smaller.
	maxObjectBytes = 64 << 20
	// maxErrorTextBytes bounds the part of an unexpected response kept in an error.
	maxErrorTextBytes = 200
)

// Store is a client of the object store. It is safe for concurrent use.
type Store struct {
	client  *fasthttp.HostClient
	baseURL string
}

// Option changes a Store.
type Option func(*net.Dialer)

// LocalIP binds outgoing connections to an address of this instance.
func LocalIP(ip net.IP) Option {
	return func(d *net.Dialer) { d.LocalAddr = &net.TCPAddr{IP: ip} }
}

// AddressError reports a base URL that is not of the form http://HOST:PORT.
type AddressError struct {
	address string
}

// Address returns the rejected text.
func (e *AddressError) Address() string { return e.address }

func (e *AddressError) Error() string {
	return fmt.Sprintf("object URL %q is not of the form http://HOST:PORT", e.address)
}

// New returns a client of the store at base, which has the form
// http://HOST:PORT. It returns an *AddressError for any other text.
func New(base string, options ...Option) (*Store, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Scheme != "http" || parsed.Port() == "" || (parsed.Path != "" && parsed.Path != "/") {
		return nil, &AddressError{address: base}
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	for _, option := range options {
		option(dialer)
	}
	client := &fasthttp.HostClient{
		Addr:                      parsed.Host,
		Dial:                      func(address string) (net.Conn, error) { return dialer.Dial("tcp", address) },
		MaxConns:                  maxConnections,
		MaxConnWaitTimeout:        defaultCallTimeout,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1, // The caller decides on repeats.
		MaxResponseBodySize:       maxObjectBytes,
	}
	return &Store{client: client, baseURL: "http://" + parsed.Host}, nil
}

// Put stores body.
func (s *Store) Put(ctx context.Context, body []byte) (object.Digest, error) {
	digest := object.DigestOf(body)
	_, status, err := s.call(ctx, "put", fasthttp.MethodPut, digest, body)
	if err != nil {
		return "", err
	}
	if status < 200 || status > 299 {
		return "", object.NewOutageError("put", &StatusError{status: status})
	}
	return digest, nil
}

// Get returns the body with the digest, after checking it.
func (s *Store) Get(ctx context.Context, digest object.Digest) ([]byte, error) {
	if _, err := object.ParseDigest(string(digest)); err != nil {
		return nil, err
	}
	body, status, err := s.call(ctx, "get", fasthttp.MethodGet, digest, nil)
	switch {
	case err != nil:
		return nil, err
	case status == fasthttp.StatusNotFound:
		return nil, object.NewNotFoundError(digest)
	case status != fasthttp.StatusOK:
		return nil, object.NewOutageError("get", &StatusError{status: status, body: string(body[:min(len(body), maxErrorTextBytes)])})
	}
	if err := object.CheckDigest(body, digest); err != nil {
		return nil, err
	}
	return body, nil
}

func (s *Store) call(
	ctx context.Context, operation, method string, digest object.Digest, body []byte,
) ([]byte, int, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, object.NewOutageError(operation, err)
	}
	deadline := time.Now().Add(defaultCallTimeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(s.baseURL + PathPrefix + string(digest))
	if method == fasthttp.MethodPut {
		req.Header.SetContentType("application/octet-stream")
		req.SetBodyRaw(body)
	}
	if err := s.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, 0, object.NewOutageError(operation, err)
	}
	return bytes.Clone(resp.Body()), resp.StatusCode(), nil
}

// StatusError reports a response with an unexpected status.
type StatusError struct {
	status int
	body   string
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }
