// Package httpobject implements a client of the object store over HTTP, with PUT and GET
// of /objects/DIGEST.
package httpobject

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/httpresponse/fasttransport"
	"briarwell.dev/core/object"
)

// PathPrefix is the part of an object's path before its digest.
const PathPrefix = "/objects/"

const (
	// defaultCallTimeout bounds each call; an earlier deadline of its context applies.
	defaultCallTimeout = 5 * time.Second
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// maxConnections is small, as a daemon reads few objects.
	maxConnections = 4
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 5 * time.Second
	// maxObjectBytes bounds the body of an object. Templates and their history are far
	// smaller.
	maxObjectBytes = 16 << 20
	// maxErrorTextBytes bounds the part of an unexpected response that an error
	// contains.
	maxErrorTextBytes = 200
)

// Store is a client of the object store. It is safe for concurrent use.
type Store struct {
	client  *fasthttp.HostClient
	baseURL string
}

// Option is an optional setting of New.
type Option func(*net.Dialer)

// LocalIP sets the local address of outgoing connections, an address of this instance.
func LocalIP(ip net.IP) Option {
	return func(d *net.Dialer) { d.LocalAddr = &net.TCPAddr{IP: ip} }
}

// BaseURLError reports a base URL that is not of the form http://HOST:PORT.
type BaseURLError struct {
	baseURL string
}

// BaseURL returns the rejected URL.
func (e *BaseURLError) BaseURL() string { return e.baseURL }

func (e *BaseURLError) Error() string {
	return fmt.Sprintf("object URL %q is not of the form http://HOST:PORT", e.baseURL)
}

// New returns a client of the store at baseURL. It returns a *BaseURLError if baseURL is
// not of the form http://HOST:PORT.
func New(baseURL string, options ...Option) (*Store, error) {
	parsed, err := url.Parse(baseURL)
	if err != nil || parsed.Scheme != "http" || parsed.Port() == "" || (parsed.Path != "" && parsed.Path != "/") {
		return nil, &BaseURLError{baseURL: baseURL}
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
		Transport:                 fasttransport.Transport{},
		MaxIdemponentCallAttempts: 1, // The caller decides on retries.
		MaxResponseBodySize:       maxObjectBytes,
	}
	return &Store{client: client, baseURL: "http://" + parsed.Host}, nil
}

// Put stores body and returns its digest.
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

// Get returns the body of the object, after it has checked the digest of the body.
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

// call sends a request for an object and returns the body and the status of the response.
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

func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d: %s", e.status, e.body) }
