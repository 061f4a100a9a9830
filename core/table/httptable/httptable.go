// Package httptable is a client of the table service over HTTP and JSON.
package httptable

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/httpresponse/fasttransport"
	"briarwell.dev/core/table"
	"briarwell.dev/core/table/wire"
)

const (
	// defaultCallTimeout bounds each call, in addition to its context. Of a scan it bounds the time
	// until the response begins, and the time between two parts of it.
	defaultCallTimeout = 2 * time.Second
	// scanTimeout bounds a scan whose response goes on. One of maxResponseBytes takes 27 s on a link
	// of 10 Mbit/s.
	scanTimeout = 40 * time.Second
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// defaultMaxConnections bounds the connections of one daemon.
	defaultMaxConnections = 16
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 5 * time.Second
	// maxResponseBytes bounds a response, like a message between daemons. A scan of all rows of
	// 670 daemons and their shards takes a few megabytes.
	maxResponseBytes = 32 << 20
	// maxErrorTextBytes bounds the part of an unexpected response that an error
	// contains.
	maxErrorTextBytes = 200
)

// Table is a client of the table service. It is safe for concurrent use.
type Table struct {
	client      *fasthttp.HostClient
	baseURL     string
	callTimeout time.Duration
}

// Option is an optional setting of New.
type Option func(*options)

type options struct {
	callTimeout    time.Duration
	maxConnections int
	localIP        net.IP
}

// CallTimeout bounds the duration of each call, in addition to its context; of a scan the time until
// the response begins, and the time between two parts of it.
func CallTimeout(timeout time.Duration) Option {
	return func(o *options) { o.callTimeout = timeout }
}

// MaxConnections bounds the number of connections to the table service.
func MaxConnections(maximum int) Option {
	return func(o *options) { o.maxConnections = maximum }
}

// LocalIP binds outgoing connections to an address of this instance.
func LocalIP(ip net.IP) Option {
	return func(o *options) { o.localIP = ip }
}

// BaseURLError reports a base URL that is not of the form http://HOST:PORT.
type BaseURLError struct {
	baseURL string
}

// BaseURL returns the rejected URL.
func (e *BaseURLError) BaseURL() string { return e.baseURL }

func (e *BaseURLError) Error() string {
	return fmt.Sprintf("table URL %q is not of the form http://HOST:PORT", e.baseURL)
}

// New returns a client of the service at baseURL, which has the form
// http://HOST:PORT. It returns a *BaseURLError for any other text.
func New(baseURL string, opts ...Option) (*Table, error) {
	parsed, err := url.Parse(baseURL)
	if err != nil || parsed.Scheme != "http" || parsed.Port() == "" || (parsed.Path != "" && parsed.Path != "/") {
		return nil, &BaseURLError{baseURL: baseURL}
	}
	settings := options{callTimeout: defaultCallTimeout, maxConnections: defaultMaxConnections}
	for _, opt := range opts {
		opt(&settings)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if settings.localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: settings.localIP}
	}
	client := &fasthttp.HostClient{
		Addr:                      parsed.Host,
		Dial:                      func(address string) (net.Conn, error) { return dialStalling(dialer, address, settings.callTimeout) },
		MaxConns:                  settings.maxConnections,
		MaxConnWaitTimeout:        settings.callTimeout,
		MaxIdleConnDuration:       idleTimeout,
		Transport:                 fasttransport.Transport{},
		MaxIdemponentCallAttempts: 1, // A commit that is sent again could be applied twice.
		MaxResponseBodySize:       maxResponseBytes,
	}
	return &Table{client: client, baseURL: "http://" + parsed.Host, callTimeout: settings.callTimeout}, nil
}

// Read returns the rows at the keys, in order.
func (t *Table) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	var response wire.ReadResponse
	if err := t.call(ctx, wire.PathRead, wire.ReadRequest{Keys: keys}, &response); err != nil {
		return nil, err
	}
	if len(response.Rows) != len(keys) {
		cause := fmt.Errorf("response has %d rows for %d requested keys", len(response.Rows), len(keys))
		return nil, table.NewOutageError("read", cause)
	}
	return wire.ToRows(response.Rows), nil
}

// Scan returns the rows under prefix written after since, by ascending version,
// and the table's revision.
func (t *Table) Scan(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	var response wire.ScanResponse
	if err := t.callWithin(ctx, scanTimeout, wire.PathScan, wire.ScanRequest{Prefix: prefix, Since: since}, &response); err != nil {
		return nil, 0, err
	}
	return wire.ToRows(response.Rows), response.Revision, nil
}

// Commit applies the transaction. After a *table.OutageError the transaction may
// have been applied; package token resolves whether it was.
func (t *Table) Commit(ctx context.Context, transaction table.Transaction) (table.Revision, error) {
	var response wire.CommitResponse
	if err := t.call(ctx, wire.PathCommit, wire.FromTransaction(transaction), &response); err != nil {
		return 0, err
	}
	return response.Revision, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Table) CloseIdleConnections() { t.client.CloseIdleConnections() }

// call is callWithin for a call with a short response.
func (t *Table) call(ctx context.Context, path string, request, response any) error {
	return t.callWithin(ctx, t.callTimeout, path, request, response)
}

// callWithin posts request as JSON and decodes the response. Cancelling ctx does not
// interrupt a call before its deadline, as fasthttp supports only deadlines.
func (t *Table) callWithin(ctx context.Context, timeout time.Duration, path string, request, response any) error {
	operation := path[1:]
	if err := ctx.Err(); err != nil {
		return table.NewOutageError(operation, err)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return table.NewOutageError(operation, err)
	}
	deadline := time.Now().Add(timeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI(t.baseURL + path)
	req.SetBodyRaw(body)
	if err := t.client.DoDeadline(req, resp, deadline); err != nil {
		return table.NewOutageError(operation, err)
	}
	return decodeResponse(operation, resp, response)
}

func decodeResponse(operation string, resp *fasthttp.Response, response any) error {
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		if err := json.Unmarshal(resp.Body(), response); err != nil {
			return table.NewOutageError(operation, err)
		}
		return nil
	case fasthttp.StatusConflict:
		var conflict wire.Conflict
		if err := json.Unmarshal(resp.Body(), &conflict); err != nil || conflict.Key == "" {
			return table.NewOutageError(operation, newStatusError(resp))
		}
		return table.NewConflictError(conflict.Key, conflict.Expected, conflict.Actual)
	default:
		return table.NewOutageError(operation, newStatusError(resp))
	}
}

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	status int
	body   string
}

func newStatusError(resp *fasthttp.Response) *StatusError {
	body := resp.Body()
	return &StatusError{status: resp.StatusCode(), body: string(body[:min(len(body), maxErrorTextBytes)])}
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected HTTP status %d: %s", e.status, e.body)
}
