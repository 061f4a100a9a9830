// Package client sends requests to briarwell daemons. It caches the owners and stamps of
// keys, keeps the request ID and the stamp of a request through its retries, and retries
// a request only if that can't run it twice.
package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/retry"
	"briarwell.dev/core/router"
	"briarwell.dev/core/upstream"
)

const (
	// defaultTimeout bounds, in milliseconds, a request that has no timeout.
	defaultTimeout clock.Millis = 10_000
	// maxAttempts bounds the attempts of a request. The deadline and the retry budget
	// usually stop the retries earlier.
	maxAttempts = 30
	// requestIDBytes is large enough to make collisions of random IDs implausible.
	requestIDBytes = 16
)

// ErrNoDaemonAddress reports that Settings.DaemonAddresses is empty.
var ErrNoDaemonAddress = errors.New("client has no daemon address")

// Settings configures a Client. DaemonAddresses is required.
type Settings struct {
	// DaemonAddresses holds the HTTP addresses ("host:port") of daemons that route
	// requests whose owner is not known.
	DaemonAddresses []string
	// Budget bounds the retries; nil means the zero Budget, with the default limits.
	Budget *retry.Budget
	// Random is used to pick daemon addresses and retry delays; nil means a source with
	// a fixed seed.
	Random router.Random
	// Dial opens connections; nil means TCP with a timeout.
	Dial func(address string) (net.Conn, error)
}

// Request is a request to a service.
type Request struct {
	Service identity.Service
	// Key is "" for an unkeyed service.
	Key    string
	Method string
	// Subpath is the part of the path below the key, or below the service if Key is "",
	// with the query. It is "" or starts with a slash.
	Subpath string
	Headers []upstream.Header
	// Body is sent with each attempt. If BodyStream is set, it is sent instead of Body,
	// and the request is not retried once a part of it was read.
	Body       []byte
	BodyStream io.Reader
	// Idempotent permits running the request more than once.
	Idempotent bool
	// ID is the idempotency key; "" means a new random one. If an earlier call sent a
	// request with this ID, IsRepeat must be set, and Stamp must be that of the
	// first Response.
	ID       string
	IsRepeat bool
	Stamp    string
	// Timeout bounds the request with all its attempts, in milliseconds; 0 means 10,000.
	Timeout clock.Millis
}

// Response is the response to a request. Body must be closed; its Read returns a
// *router.TruncatedError if the body ends early.
type Response struct {
	Outcome outcome.Outcome
	Status  int
	Headers []upstream.Header
	Body    io.ReadCloser
	// ID and Stamp are those with which the request was first sent. A repeat in another
	// call needs them.
	ID       string
	Stamp    string
	Attempts int
	// ServedBy is the name of the instance whose upstream responded.
	ServedBy string
}

// Client sends requests to daemons. It is safe for concurrent use.
type Client struct {
	settings   Settings
	clock      system.Clock
	httpClient *fasthttp.Client
	owners     ownerCache
}

// New returns a client with the given settings.
func New(settings Settings) *Client {
	if settings.Budget == nil {
		settings.Budget = &retry.Budget{}
	}
	if settings.Random == nil {
		settings.Random = router.NewRandom(1)
	}
	client := &Client{settings: settings}
	client.httpClient = newHTTPClient(settings)
	return client
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// call is the state of one request through its attempts.
type call struct {
	client     *Client
	request    Request
	requestURI string
	bodyStream trackedReader
	deadline   clock.Millis
	attempts   int
	// stamp is the one with which the request ID was first sent.
	stamp string
	// firstUnknown is the first unknown outcome of an attempt, or nil.
	firstUnknown outcome.Outcome
	// failedAddress is the address of the previous attempt if the daemon there did not
	// respond or could not serve it, and "" otherwise.
	failedAddress string
}

// Do sends a request and retries it while that is safe. The response has one of the
// three outcomes; a non-nil error is ErrNoDaemonAddress. The deadline of ctx bounds the
// request as Request.Timeout does. A cancellation of ctx takes effect only between
// attempts.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	if len(c.settings.DaemonAddresses) == 0 {
		return nil, ErrNoDaemonAddress
	}
	now := c.clock.Now()
	k := &call{client: c, request: request, deadline: now + requestTimeout(ctx, request)}
	k.prepare()
	c.settings.Budget.RecordFirstAttempt(now)
	for {
		response := k.sendAttempt()
		delay, again := k.shouldRetry(response)
		if !again || !sleep(ctx, delay) {
			return k.finalResponse(response), nil
		}
		_ = response.Body.Close()
	}
}

func requestTimeout(ctx context.Context, request Request) clock.Millis {
	timeout := request.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, clock.FromDuration(time.Until(deadline)))
	}
	return timeout
}

func (k *call) prepare() {
	request := &k.request
	if request.ID == "" {
		request.ID = NewRequestID()
	}
	k.requestURI = "/" + request.Service.String()
	if request.Key != "" {
		k.requestURI += "/" + url.PathEscape(request.Key)
	}
	k.requestURI += request.Subpath
	k.stamp = request.Stamp
	if !request.IsRepeat && k.stamp == "" {
		k.stamp = k.client.owners.stamp(request.Service, request.Key)
	}
	k.bodyStream.reader = request.BodyStream
}

// NewRequestID returns a random request ID.
func NewRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// nextAddress returns the address for the next attempt: that of the cached owner, or a
// random one of Settings.DaemonAddresses. It avoids failedAddress if there is another
// address.
func (k *call) nextAddress() string {
	if owner := k.client.owners.address(k.request.Service, k.request.Key); owner != "" && owner != k.failedAddress {
		return owner
	}
	addresses := k.client.settings.DaemonAddresses
	index := k.client.settings.Random.IntN(len(addresses))
	if addresses[index] == k.failedAddress {
		index = (index + 1) % len(addresses)
	}
	return addresses[index]
}

func (k *call) sendAttempt() *Response {
	k.attempts++
	remaining := k.deadline - k.client.clock.Now()
	if remaining <= 0 {
		return localResponse(outcome.NewNotRun(outcome.ReasonDeadlineExceeded))
	}
	address := k.nextAddress()
	response := k.client.send(address, k, remaining)
	k.recordOwner(address, response)
	return response
}

// localResponse returns an empty response for an outcome that no daemon sent.
func localResponse(o outcome.Outcome) *Response {
	return &Response{Outcome: o, Status: router.HTTPStatus(o), Body: emptyBody{}}
}

// recordOwner updates the cached owner of the key from the response. If the outcome shows
// that the daemon at address did not respond or can't serve its shards, address is removed
// from the cache.
func (k *call) recordOwner(address string, response *Response) {
	k.failedAddress = ""
	reason := outcome.ReasonOf(response.Outcome)
	switch reason {
	case outcome.ReasonUnreachable, outcome.ReasonConnectionLost, outcome.ReasonInvalidResponse, outcome.ReasonTimeout, outcome.ReasonNoLease, outcome.ReasonDraining:
		k.failedAddress = address
		k.client.owners.removeAddress(address)
	default:
	}
	k.client.owners.update(k.request.Service, k.request.Key, response.Headers)
}

// shouldRetry reports whether to send the request again, and after which delay in
// milliseconds.
func (k *call) shouldRetry(response *Response) (clock.Millis, bool) {
	if _, ok := response.Outcome.(outcome.Done); ok {
		return 0, false
	}
	if _, ok := response.Outcome.(outcome.Unknown); ok && k.firstUnknown == nil {
		k.firstUnknown = response.Outcome
	}
	if outcome.ReasonOf(response.Outcome) == outcome.ReasonStampRequired {
		return 0, k.adoptStamp(response)
	}
	now := k.client.clock.Now()
	decision := retry.Decide(retry.Attempt{
		Outcome: response.Outcome,
		// The owner of a key does not run a request ID twice.
		Idempotent:      k.request.Idempotent || k.request.Key != "",
		BodyConsumed:    k.bodyStream.consumed.Load(),
		HasAlternatives: k.request.Key == "",
		Number:          k.attempts,
		MaxAttempts:     maxAttempts,
		Now:             now,
		Deadline:        k.deadline,
	}, k.client.settings.Random.Float64())
	resend, ok := decision.(retry.Resend)
	if !ok || !k.client.settings.Budget.Allow(now) {
		return 0, false
	}
	return resend.Delay(), true
}

// adoptStamp takes the current stamp from a response that requires a stamp, and reports
// whether the request can be sent again with it. Only a request ID that has never run may
// get a new stamp: not after an unknown outcome, and not in a repeat.
func (k *call) adoptStamp(response *Response) bool {
	current := headerValue(response.Headers, outcome.HeaderStamp)
	if k.request.IsRepeat || k.firstUnknown != nil || k.stamp != "" || current == "" || k.bodyStream.consumed.Load() {
		return false
	}
	k.stamp = current
	return true
}

// finalResponse completes the response of the last attempt. A not-run outcome becomes
// unknown if an earlier attempt, in this call or an earlier one, may have run: the
// refusal of the last attempt says nothing about it.
func (k *call) finalResponse(response *Response) *Response {
	if _, ok := response.Outcome.(outcome.NotRun); ok {
		if k.firstUnknown == nil && k.request.IsRepeat {
			k.firstUnknown = outcome.NewUnknown(outcome.ReasonTimeout)
		}
		if k.firstUnknown != nil {
			response.Outcome, response.Status = k.firstUnknown, router.HTTPStatus(k.firstUnknown)
		}
	}
	response.ID, response.Stamp, response.Attempts = k.request.ID, k.stamp, k.attempts
	return response
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d clock.Millis) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
