package router

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/retry"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/upstream"
)

// maxAttempts is the maximum number of attempts that an entry daemon makes for a request.
const maxAttempts = 4

// EntrySettings configures an EntryHandler. All fields but Budget and OnAttempt are
// required.
type EntrySettings struct {
	Views     ViewSource
	Forwarder Forwarder
	Owner     *OwnerHandler
	Clock     clock.Clock
	Random    Random
	// Budget limits the retries of this daemon; nil means the default budget.
	Budget *retry.Budget
	// OnAttempt, if set, is called for each attempt when its response head is known. It
	// must not block.
	OnAttempt func(AttemptReport)
}

// AttemptReport describes one attempt of a request.
type AttemptReport struct {
	Service   identity.Service
	Key       string
	Shard     shard.ID
	Method    string
	RequestID string
	Attempt   int
	// Decision is the routing decision for the attempt.
	Decision Decision
	Outcome  outcome.Outcome
	Status   int
	// Elapsed is the time since the arrival of the request, in milliseconds.
	Elapsed clock.Millis
}

// EntryHandler handles requests at their entry daemon: it routes each to the owner of its
// key or to a member of an unkeyed service, and retries it. It is safe for concurrent use.
type EntryHandler struct {
	settings EntrySettings
	inFlight memberInFlight
}

// NewEntryHandler returns an EntryHandler.
func NewEntryHandler(settings EntrySettings) *EntryHandler {
	if settings.Budget == nil {
		settings.Budget = &retry.Budget{}
	}
	return &EntryHandler{settings: settings}
}

// entryRequest is the state of a caller's request at its entry daemon.
type entryRequest struct {
	handler    *EntryHandler
	request    Request
	body       trackedBody
	keyed      bool
	idempotent bool
	// avoid lists the members at which an attempt failed.
	avoid []identity.Incarnation
	// newerOwner is the owner named by the last response, if its epoch is newer than
	// that of the request. Otherwise it is zero.
	newerOwner Forward
	// unknownOutcome is the first Unknown outcome of an attempt, nil if there is none.
	unknownOutcome outcome.Outcome
	lastDecision   Decision
}

// Serve runs the request and returns its response, which is never nil.
func (e *EntryHandler) Serve(ctx context.Context, caller CallerRequest) *Response {
	now, view := e.settings.Clock.Now(), e.settings.Views.View()
	if !hasValidLease(now, view) {
		return withOutcomeHeaders(newRefusal(outcome.NewNotRun(outcome.ReasonNoLease)), 0)
	}
	r := &entryRequest{handler: e}
	if err := r.parse(now, view, caller); err != nil {
		return withOutcomeHeaders(newRefusal(parseErrorOutcome(err, view.Catalog().Version())), 0)
	}
	e.settings.Budget.RecordFirstAttempt(now)
	for {
		response := r.attempt(ctx, view)
		r.reportAttempt(now, response)
		delay, retrying := r.nextAttempt(response)
		if !retrying || !sleepIfPositive(ctx, delay) {
			return withOutcomeHeaders(r.finalResponse(response), r.request.Attempt)
		}
		if response.Body != nil {
			_ = response.Body.Close()
		}
		view = e.settings.Views.View()
	}
}

func sleepIfPositive(ctx context.Context, d clock.Millis) bool {
	return d <= 0 || sleep(ctx, d)
}

func newRefusal(o outcome.Outcome) *Response {
	return &Response{Outcome: o, Status: HTTPStatus(o)}
}

// withOutcomeHeaders sets the number of attempts and adds the headers of package outcome
// for the caller.
func withOutcomeHeaders(response *Response, attempts int) *Response {
	response.Attempts = attempts
	response.Headers = AppendResponseHeaders(response.Headers, response)
	return response
}

// parse fills r.request from the caller's request. The deadline is the route's timeout, or
// the caller's timeout if that is shorter.
func (r *entryRequest) parse(now clock.Millis, view View, caller CallerRequest) error {
	catalog := view.Catalog()
	target, err := Parse(catalog, caller.Target)
	if err != nil {
		return err
	}
	headers, err := parseCallerHeaders(caller.Headers)
	if err != nil {
		return err
	}
	route := routeRules(target.rules, caller.Method, pathWithoutQuery(target.path))
	timeout := route.Timeout()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if headers.timed {
		timeout = max(min(timeout, headers.timeout), 0)
	}
	r.keyed, r.idempotent = target.rules.IsKeyed(), route.Idempotent()
	r.request = Request{
		Service:       target.service,
		Key:           target.key,
		Shard:         target.shardID,
		Method:        caller.Method,
		Path:          target.path,
		Headers:       EndToEndHeaders(make([]upstream.Header, 0, len(caller.Headers)), caller.Headers),
		RequestID:     headers.requestID,
		Stamp:         headers.stamp,
		ContentLength: caller.ContentLength,
		Deadline:      now + timeout,
		ConfigVersion: catalog.Version(),
	}
	if caller.Body != nil && caller.ContentLength != 0 {
		r.body.reader = caller.Body
		r.request.Body = &r.body
	}
	return nil
}

// attempt routes and sends the request once.
func (r *entryRequest) attempt(ctx context.Context, view View) *Response {
	r.request.Attempt++
	now := r.handler.settings.Clock.Now()
	if now >= r.request.Deadline {
		r.lastDecision = Refuse{outcome: outcome.NewNotRun(outcome.ReasonDeadlineExceeded)}
		return newRefusal(outcome.NewNotRun(outcome.ReasonDeadlineExceeded))
	}
	route := RouteQuery{
		Service:       r.request.Service,
		Keyed:         r.keyed,
		Shard:         r.request.Shard,
		Key:           r.request.Key,
		Avoid:         r.avoid,
		LocalInFlight: r.handler.inFlight.count,
	}
	r.lastDecision = r.preferNewerOwner(Decide(now, view, route, r.handler.settings.Random), view)
	switch decision := r.lastDecision.(type) {
	case Local:
		r.request.Epoch = decision.Epoch()
		return r.trackInFlight(view.Self(), func() *Response { return r.handler.settings.Owner.Serve(ctx, &r.request) })
	case Forward:
		r.request.Epoch = decision.Epoch()
		return r.trackInFlight(decision.Target(), func() *Response { return r.forward(ctx, decision) })
	case Refuse:
		return newRefusal(decision.Outcome())
	default:
		return newRefusal(outcome.NewNotRun(outcome.ReasonNoOwner))
	}
}

func (r *entryRequest) reportAttempt(arrivedAt clock.Millis, response *Response) {
	settings := &r.handler.settings
	if settings.OnAttempt == nil {
		return
	}
	settings.OnAttempt(AttemptReport{
		Service:   r.request.Service,
		Key:       r.request.Key,
		Shard:     r.request.Shard,
		Method:    r.request.Method,
		RequestID: r.request.RequestID,
		Attempt:   r.request.Attempt,
		Decision:  r.lastDecision,
		Outcome:   response.Outcome,
		Status:    response.Status,
		Elapsed:   settings.Clock.Now() - arrivedAt,
	})
}

// preferNewerOwner replaces a decision if the last response named an owner with a newer
// epoch than the decision has. The view of this daemon may be behind that of the daemon
// which responded.
func (r *entryRequest) preferNewerOwner(decision Decision, view View) Decision {
	newer := r.newerOwner
	if newer.PeerAddress() == "" {
		return decision
	}
	var known identity.Epoch
	switch decision := decision.(type) {
	case Local:
		known = decision.Epoch()
	case Forward:
		known = decision.Epoch()
	case Refuse:
		if outcome.ReasonOf(decision.Outcome()) != outcome.ReasonNoOwner {
			return decision
		}
	}
	if known >= newer.Epoch() {
		return decision
	}
	if newer.PeerAddress() == view.Self().PeerAddress {
		return Local{epoch: newer.Epoch()}
	}
	return newer
}

func (r *entryRequest) forward(ctx context.Context, decision Forward) *Response {
	response, err := r.handler.settings.Forwarder.Forward(ctx, decision.PeerAddress(), &r.request)
	if err != nil {
		return newRefusal(forwardOutcome(err))
	}
	return response
}

// trackInFlight runs an attempt. For an unkeyed service it counts the attempt as in flight
// at the member until the response body is closed, and avoids the member in later attempts
// if this one failed.
func (r *entryRequest) trackInFlight(member Member, run func() *Response) *Response {
	if r.keyed {
		return run()
	}
	r.handler.inFlight.add(member.Incarnation, 1)
	response := run()
	if _, ok := response.Outcome.(outcome.Done); !ok {
		r.avoid = append(r.avoid, member.Incarnation)
	}
	if response.Body == nil {
		r.handler.inFlight.add(member.Incarnation, -1)
		return response
	}
	response.Body = &countedBody{ReadCloser: response.Body, inFlight: &r.handler.inFlight, member: member.Incarnation}
	return response
}

// nextAttempt returns the delay in milliseconds before the next attempt, or false if the
// response is final.
func (r *entryRequest) nextAttempt(response *Response) (clock.Millis, bool) {
	if _, ok := response.Outcome.(outcome.Done); ok {
		return 0, false
	}
	if _, ok := response.Outcome.(outcome.Unknown); ok && r.unknownOutcome == nil {
		r.unknownOutcome = response.Outcome
	}
	r.newerOwner = Forward{}
	if response.OwnerPeer != "" && response.Epoch > r.request.Epoch {
		owner := Member{PeerAddress: response.OwnerPeer, HTTPAddress: response.OwnerHTTP}
		r.newerOwner = Forward{target: owner, epoch: response.Epoch}
	}
	settings := &r.handler.settings
	now := settings.Clock.Now()
	decision := retry.Decide(retry.Attempt{
		Outcome:         response.Outcome,
		Idempotent:      r.idempotent,
		BodyConsumed:    r.body.consumed.Load(),
		HasAlternatives: !r.keyed,
		Number:          r.request.Attempt,
		MaxAttempts:     maxAttempts,
		Now:             now,
		Deadline:        r.request.Deadline,
	}, settings.Random.Float64())
	resend, ok := decision.(retry.Resend)
	if !ok || !settings.Budget.Allow(now) {
		return 0, false
	}
	return resend.Delay(), true
}

// finalResponse returns the response for the caller. If an earlier attempt has an unknown
// outcome, NotRun for the last one would be wrong: the earlier one may have been run.
func (r *entryRequest) finalResponse(response *Response) *Response {
	if _, ok := response.Outcome.(outcome.NotRun); ok && r.unknownOutcome != nil {
		response.Outcome, response.Status = r.unknownOutcome, HTTPStatus(r.unknownOutcome)
	}
	return response
}

// trackedBody is a request body that records whether it was read: a body that was read
// can't be sent again.
type trackedBody struct {
	reader   io.Reader
	consumed atomic.Bool
}

// Read reads from the body and records that it was read.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.consumed.Store(true)
	return b.reader.Read(p)
}

// memberInFlight counts the requests that this daemon has in flight at each member. The
// zero value is ready to use. It is safe for concurrent use.
type memberInFlight struct {
	mu     sync.Mutex
	counts map[identity.Incarnation]int
}

func (m *memberInFlight) count(member *Member) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[member.Incarnation]
}

func (m *memberInFlight) add(member identity.Incarnation, change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = make(map[identity.Incarnation]int)
	}
	m.counts[member] += change
	if m.counts[member] <= 0 {
		delete(m.counts, member)
	}
}

// countedBody is a response body that decrements the member's count when it is closed.
type countedBody struct {
	io.ReadCloser
	inFlight *memberInFlight
	member   identity.Incarnation
	closed   bool
}

// Close closes the response body.
func (b *countedBody) Close() error {
	if !b.closed {
		b.closed = true
		b.inFlight.add(b.member, -1)
	}
	return b.ReadCloser.Close()
}
