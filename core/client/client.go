// Package client sends requests to briarwell: it learns the owners of keys,
// keeps stamps and request IDs, and sends a request again only where that
// can't run it twice.
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
	// defaultTimeout bounds a request without a timeout, in milliseconds.
	defaultTimeout clock.Millis = 10_000
	// maxAttempts bounds the attempts of a request; its deadline and the budget
	// usually end them earlier.
	maxAttempts = 30
	// requestIDBytes makes a collision of request IDs implausible.
	requestIDBytes = 16
)

// ErrNoDaemonAddress says that the client has no entry address.
var ErrNoDaemonAddress = errors.New("client has no entry address")

// Settings are those of a Client. Entries is required.
type Settings struct {
	// DaemonAddresses are HTTP addresses ("host:port") of daemons.
	DaemonAddresses []string
	// Budget bounds the retries; nil means the default budget.
	Budget *retry.Budget
	// Random picks entries and backoffs; nil means a source with a fixed seed.
	Random router.Random
	// Dial opens connections; nil means TCP.
	Dial func(address string) (net.Conn, error)
}

// Request is a request to a service.
type Request struct {
	Service identity.Service
	// Key is empty for a service without keys.
	Key    string
	Method string
	// Subpath is the path below the key (or below the service) and the query; ""
	// or with a leading slash.
	Subpath string
	Headers []upstream.Header
	// Body is sent again with each attempt. Stream is used instead if it is set;
	// the request is then not sent again after a part of it was read.
	Body       []byte
	BodyStream io.Reader
	// Idempotent tells that the request may be run more than once.
	Idempotent bool
	// ID is the idempotency key; "" makes a new one. A request with an ID that
	// was sent before needs Repeat and the Stamp of the first answer or error.
	ID       string
	IsRepeat bool
	Stamp    string
	// Timeout is in milliseconds; zero means 10,000.
	Timeout clock.Millis
}

// Response is the answer to a request. Body must be closed. A Body that ends
// early returns a *router.TruncatedError.
type Response struct {
	Outcome outcome.Outcome
	Status  int
	Headers []upstream.Header
	Body    io.ReadCloser
	// ID and Stamp are those under which the request was first sent; a repeat
	// in another call needs them.
	ID       string
	Stamp    string
	Attempts int
	// ServedBy names the instance whose upstream answered.
	ServedBy string
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	settings   Settings
	clock      system.Clock
	httpClient *fasthttp.Client
	owners     ownerCache
}

// New returns a client.
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

// call is one request and its attempts.
type call struct {
	client     *Client
	request    Request
	requestURI string
	bodyStream trackedReader
	deadline   clock.Millis
	attempts   int
	// stamp is the one under which the ID was first sent.
	stamp string
	// firstUnknown is the first unknown outcome.
	firstUnknown outcome.Outcome
	// failedAddress is the address of the last attempt if it failed there.
	failedAddress string
}

// Do sends a request. The answer has one of the three outcomes; the error, if
// any, is ErrNoEntry. The deadline of ctx holds as the timeout does; its
// cancellation is observed between attempts.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	if len(c.settings.DaemonAddresses) == 0 {
		return nil, ErrNoDaemonAddress
	}
	now := c.clock.Now()
	k := &call{client: c, request: request, deadline: now + requestTimeout(ctx, request)}
	k.prepare()
	c.settings.Budget.RecordFirstAttempt(now)
	for {
		answer := k.sendAttempt()
		after, again := k.shouldRetry(answer)
		if !again || !sleep(ctx, after) {
			return k.finalResponse(answer), nil
		}
		_ = answer.Body.Close()
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

// nextAddress returns where the next attempt goes: the learned owner, or an entry
// other than the one that just failed.
func (k *call) nextAddress() string {
	if owner := k.client.owners.address(k.request.Service, k.request.Key); owner != "" && owner != k.failedAddress {
		return owner
	}
	entries := k.client.settings.DaemonAddresses
	index := k.client.settings.Random.IntN(len(entries))
	if entries[index] == k.failedAddress {
		index = (index + 1) % len(entries)
	}
	return entries[index]
}

func (k *call) sendAttempt() *Response {
	k.attempts++
	remaining := k.deadline - k.client.clock.Now()
	if remaining <= 0 {
		return localResponse(outcome.NewNotRun(outcome.ReasonDeadlineExceeded))
	}
	address := k.nextAddress()
	answer := k.client.send(address, k, remaining)
	k.recordOwner(address, answer)
	return answer
}

func localResponse(o outcome.Outcome) *Response {
	return &Response{Outcome: o, Status: router.HTTPStatus(o), Body: emptyBody{}}
}

// recordOwner notes what the answer says of the owner. A failed address is forgotten.
func (k *call) recordOwner(address string, answer *Response) {
	k.failedAddress = ""
	reason := outcome.ReasonOf(answer.Outcome)
	switch reason {
	case outcome.ReasonUnreachable, outcome.ReasonConnectionLost, outcome.ReasonTimeout, outcome.ReasonNoLease, outcome.ReasonDraining:
		k.failedAddress = address
		k.client.owners.removeAddress(address)
	default:
	}
	k.client.owners.update(k.request.Service, k.request.Key, answer.Headers)
}

// shouldRetry tells whether the request is sent again, and after how long.
func (k *call) shouldRetry(answer *Response) (clock.Millis, bool) {
	if _, ok := answer.Outcome.(outcome.Done); ok {
		return 0, false
	}
	if _, ok := answer.Outcome.(outcome.Unknown); ok && k.firstUnknown == nil {
		k.firstUnknown = answer.Outcome
	}
	if outcome.ReasonOf(answer.Outcome) == outcome.ReasonStampRequired {
		return 0, k.adoptStamp(answer)
	}
	now := k.client.clock.Now()
	decision := retry.Decide(retry.Attempt{
		Outcome: answer.Outcome,
		// The owner of a key doesn't run an ID twice.
		Idempotent:      k.request.Idempotent || k.request.Key != "",
		BodyConsumed:    k.bodyStream.consumed.Load(),
		HasAlternatives: k.request.Key == "",
		Number:          k.attempts,
		MaxAttempts:     maxAttempts,
		Now:             now,
		Deadline:        k.deadline,
	}, k.client.settings.Random.Float64())
	again, ok := decision.(retry.Resend)
	if !ok || !k.client.settings.Budget.Allow(now) {
		return 0, false
	}
	return again.Delay(), true
}

// adoptStamp takes the stamp of an answer that requires one. Only an ID that was
// never run may get a stamp: not after an unknown outcome, and not in a repeat.
func (k *call) adoptStamp(answer *Response) bool {
	current := headerValue(answer.Headers, outcome.HeaderStamp)
	if k.request.IsRepeat || k.firstUnknown != nil || k.stamp != "" || current == "" || k.bodyStream.consumed.Load() {
		return false
	}
	k.stamp = current
	return true
}

// finalResponse returns the final answer. A refusal says nothing of an earlier attempt
// that may have been run, nor of one in an earlier call.
func (k *call) finalResponse(answer *Response) *Response {
	if _, ok := answer.Outcome.(outcome.NotRun); ok {
		if k.firstUnknown == nil && k.request.IsRepeat {
			k.firstUnknown = outcome.NewUnknown(outcome.ReasonTimeout)
		}
		if k.firstUnknown != nil {
			answer.Outcome, answer.Status = k.firstUnknown, router.HTTPStatus(k.firstUnknown)
		}
	}
	answer.ID, answer.Stamp, answer.Attempts = k.request.ID, k.stamp, k.attempts
	return answer
}

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
