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

// maxAttempts bounds the attempts of one request by its entry daemon.
const maxAttempts = 4

// EntrySettings are what an Entry needs. All are required but Budget.
type EntrySettings struct {
	Views     ViewSource
	Forwarder Forwarder
	Owner     *OwnerHandler
	Clock     clock.Clock
	Random    Random
	// Budget bounds the retries of this daemon; nil means the default budget.
	Budget *retry.Budget
	// OnAttempt, if set, is told of each attempt when its answer head is known. It
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
	// Decision says where the attempt went.
	Decision Decision
	Outcome  outcome.Outcome
	Status   int
	// Elapsed is the time from the arrival of the request, in milliseconds.
	Elapsed clock.Millis
}

// EntryHandler runs the steps of the daemon that received a request from a caller. It
// is safe for concurrent use.
type EntryHandler struct {
	settings EntrySettings
	inFlight memberInFlight
}

// NewEntryHandler returns an Entry.
func NewEntryHandler(ports EntrySettings) *EntryHandler {
	if ports.Budget == nil {
		ports.Budget = &retry.Budget{}
	}
	return &EntryHandler{settings: ports}
}

// entryRequest is one caller's request at its entry daemon.
type entryRequest struct {
	handler    *EntryHandler
	request    Request
	body       trackedBody
	keyed      bool
	idempotent bool
	avoid      []identity.Incarnation
	// newerOwner is the owner that the last answer named, if it is newer than the
	// view.
	newerOwner Forward
	// unknownOutcome is the first unknown outcome of an earlier attempt.
	unknownOutcome outcome.Outcome
	// lastDecision is that of the last attempt.
	lastDecision Decision
}

// Serve runs the request and returns its answer; it never returns nil.
func (e *EntryHandler) Serve(ctx context.Context, caller CallerRequest) *Response {
	now, view := e.settings.Clock.Now(), e.settings.Views.View()
	if !hasValidLease(now, view) {
		return withOutcomeHeaders(newRefusal(outcome.NewNotRun(outcome.ReasonNoLease)), 0)
	}
	j := &entryRequest{handler: e}
	if err := j.parse(now, view, caller); err != nil {
		return withOutcomeHeaders(newRefusal(parseErrorOutcome(err)), 0)
	}
	e.settings.Budget.RecordFirstAttempt(now)
	for {
		response := j.attempt(ctx, view)
		j.reportAttempt(now, response)
		after, again := j.nextAttempt(response)
		if !again || !sleepIfPositive(ctx, after) {
			return withOutcomeHeaders(j.finalResponse(response), j.request.Attempt)
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

// withOutcomeHeaders adds the headers for the caller.
func withOutcomeHeaders(response *Response, attempts int) *Response {
	response.Attempts = attempts
	response.Headers = AppendResponseHeaders(response.Headers, response)
	return response
}

// parse fills the request.
func (j *entryRequest) parse(now clock.Millis, view View, caller CallerRequest) error {
	catalog := view.Catalog()
	target, err := Parse(catalog, caller.Target)
	if err != nil {
		return err
	}
	fields, err := parseCallerHeaders(caller.Headers)
	if err != nil {
		return err
	}
	route := routeRules(target.rules, caller.Method, pathWithoutQuery(target.path))
	timeout := route.Timeout()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if fields.timeout > 0 {
		timeout = min(timeout, fields.timeout)
	}
	j.keyed, j.idempotent = target.rules.IsKeyed(), route.Idempotent()
	j.request = Request{
		Service:       target.service,
		Key:           target.key,
		Shard:         target.shardID,
		Method:        caller.Method,
		Path:          target.path,
		Headers:       EndToEndHeaders(make([]upstream.Header, 0, len(caller.Headers)), caller.Headers),
		RequestID:     fields.requestID,
		Stamp:         fields.stamp,
		ContentLength: caller.ContentLength,
		Deadline:      now + timeout,
		ConfigVersion: catalog.Version(),
	}
	if caller.Body != nil && caller.ContentLength != 0 {
		j.body.reader = caller.Body
		j.request.Body = &j.body
	}
	return nil
}

// attempt sends the request once.
func (j *entryRequest) attempt(ctx context.Context, view View) *Response {
	j.request.Attempt++
	now := j.handler.settings.Clock.Now()
	if now >= j.request.Deadline {
		j.lastDecision = Refuse{outcome: outcome.NewNotRun(outcome.ReasonDeadlineExceeded)}
		return newRefusal(outcome.NewNotRun(outcome.ReasonDeadlineExceeded))
	}
	route := RouteQuery{
		Service:       j.request.Service,
		Keyed:         j.keyed,
		Shard:         j.request.Shard,
		Key:           j.request.Key,
		Avoid:         j.avoid,
		LocalInFlight: j.handler.inFlight.count,
	}
	j.lastDecision = j.preferNewerOwner(Decide(now, view, route, j.handler.settings.Random), view)
	switch decision := j.lastDecision.(type) {
	case Local:
		j.request.Epoch = decision.Epoch()
		return j.trackInFlight(view.Self(), func() *Response { return j.handler.settings.Owner.Serve(ctx, &j.request) })
	case Forward:
		j.request.Epoch = decision.Epoch()
		return j.trackInFlight(decision.Target(), func() *Response { return j.forward(ctx, decision) })
	case Refuse:
		return newRefusal(decision.Outcome())
	default:
		return newRefusal(outcome.NewNotRun(outcome.ReasonNoOwner))
	}
}

func (j *entryRequest) reportAttempt(arrived clock.Millis, response *Response) {
	ports := &j.handler.settings
	if ports.OnAttempt == nil {
		return
	}
	ports.OnAttempt(AttemptReport{
		Service:   j.request.Service,
		Key:       j.request.Key,
		Shard:     j.request.Shard,
		Method:    j.request.Method,
		RequestID: j.request.RequestID,
		Attempt:   j.request.Attempt,
		Decision:  j.lastDecision,
		Outcome:   response.Outcome,
		Status:    response.Status,
		Elapsed:   ports.Clock.Now() - arrived,
	})
}

// preferNewerOwner replaces a decision that is older than the owner which the last
// answer named.
func (j *entryRequest) preferNewerOwner(decision Decision, view View) Decision {
	hint := j.newerOwner
	if hint.PeerAddress() == "" {
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
	if known >= hint.Epoch() {
		return decision
	}
	if hint.PeerAddress() == view.Self().PeerAddress {
		return Local{epoch: hint.Epoch()}
	}
	return hint
}

func (j *entryRequest) forward(ctx context.Context, decision Forward) *Response {
	response, err := j.handler.settings.Forwarder.Forward(ctx, decision.PeerAddress(), &j.request)
	if err != nil {
		return newRefusal(forwardOutcome(err))
	}
	return response
}

// trackInFlight runs an attempt at a member of an unkeyed service and counts it as in
// flight there until its answer is closed.
func (j *entryRequest) trackInFlight(member Member, run func() *Response) *Response {
	if j.keyed {
		return run()
	}
	j.handler.inFlight.add(member.Incarnation, 1)
	response := run()
	if _, ok := response.Outcome.(outcome.Done); !ok {
		j.avoid = append(j.avoid, member.Incarnation)
	}
	if response.Body == nil {
		j.handler.inFlight.add(member.Incarnation, -1)
		return response
	}
	response.Body = &countedBody{ReadCloser: response.Body, inFlight: &j.handler.inFlight, member: member.Incarnation}
	return response
}

// nextAttempt tells whether the request is sent again, and after how long.
func (j *entryRequest) nextAttempt(response *Response) (clock.Millis, bool) {
	if _, ok := response.Outcome.(outcome.Done); ok {
		return 0, false
	}
	if _, ok := response.Outcome.(outcome.Unknown); ok && j.unknownOutcome == nil {
		j.unknownOutcome = response.Outcome
	}
	j.newerOwner = Forward{}
	if response.OwnerPeer != "" && response.Epoch > j.request.Epoch {
		owner := Member{PeerAddress: response.OwnerPeer, HTTPAddress: response.OwnerHTTP}
		j.newerOwner = Forward{target: owner, epoch: response.Epoch}
	}
	ports := &j.handler.settings
	now := ports.Clock.Now()
	decision := retry.Decide(retry.Attempt{
		Outcome:         response.Outcome,
		Idempotent:      j.idempotent,
		BodyConsumed:    j.body.consumed.Load(),
		HasAlternatives: !j.keyed,
		Number:          j.request.Attempt,
		MaxAttempts:     maxAttempts,
		Now:             now,
		Deadline:        j.request.Deadline,
	}, ports.Random.Float64())
	again, ok := decision.(retry.Resend)
	if !ok || !ports.Budget.Allow(now) {
		return 0, false
	}
	return again.Delay(), true
}

// finalResponse returns the final answer. A refusal of the last attempt says nothing
// of an earlier one that may have been run.
func (j *entryRequest) finalResponse(response *Response) *Response {
	if _, ok := response.Outcome.(outcome.NotRun); ok && j.unknownOutcome != nil {
		response.Outcome, response.Status = j.unknownOutcome, HTTPStatus(j.unknownOutcome)
	}
	return response
}

// trackedBody notes whether a body was read.
type trackedBody struct {
	reader   io.Reader
	consumed atomic.Bool
}

// Read reads the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.consumed.Store(true)
	return b.reader.Read(p)
}

// memberInFlight counts the requests that this daemon has in flight at each member. The
// zero value is ready.
type memberInFlight struct {
	mu     sync.Mutex
	counts map[identity.Incarnation]int
}

func (b *memberInFlight) count(member *Member) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[member.Incarnation]
}

func (b *memberInFlight) add(member identity.Incarnation, change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts == nil {
		b.counts = make(map[identity.Incarnation]int)
	}
	b.counts[member] += change
	if b.counts[member] <= 0 {
		delete(b.counts, member)
	}
}

// countedBody ends the counting of a request when its answer is closed.
type countedBody struct {
	io.ReadCloser
	inFlight *memberInFlight
	member   identity.Incarnation
	closed   bool
}

// Close closes the answer.
func (b *countedBody) Close() error {
	if !b.closed {
		b.closed = true
		b.inFlight.add(b.member, -1)
	}
	return b.ReadCloser.Close()
}
