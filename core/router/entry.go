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

// EntryPorts are what an Entry needs. All are required but Budget.
type EntryPorts struct {
	Views     Views
	Forwarder Forwarder
	Owner     *Owner
	Clock     clock.Clock
	Random    Random
	// Budget bounds the retries of this daemon; nil means the default budget.
	Budget *retry.Budget
	// Routed, if set, is told of each attempt when its answer head is known. It
	// must not block.
	Routed func(Routed)
}

// Routed describes one attempt of a request.
type Routed struct {
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

// Entry runs the steps of the daemon that received a request from a caller. It
// is safe for concurrent use.
type Entry struct {
	ports EntryPorts
	busy  busy
}

// NewEntry returns an Entry.
func NewEntry(ports EntryPorts) *Entry {
	if ports.Budget == nil {
		ports.Budget = &retry.Budget{}
	}
	return &Entry{ports: ports}
}

// journey is one caller's request at its entry daemon.
type journey struct {
	entry      *Entry
	request    Request
	body       trackedBody
	keyed      bool
	idempotent bool
	avoid      []identity.Incarnation
	// hint is the owner that the last answer named, if it is newer than the
	// view.
	hint Forward
	// doubt is the first unknown outcome of an earlier attempt.
	doubt outcome.Outcome
	// decision is that of the last attempt.
	decision Decision
}

// Serve runs the request and returns its answer; it never returns nil.
func (e *Entry) Serve(ctx context.Context, caller CallerRequest) *Response {
	now, view := e.ports.Clock.Now(), e.ports.Views.View()
	if !leaseValid(now, view) {
		return complete(refusal(outcome.NewNotRun(outcome.ReasonNoLease)), 0)
	}
	j := &journey{entry: e}
	if err := j.parse(now, view, caller); err != nil {
		return complete(refusal(parseOutcome(err)), 0)
	}
	e.ports.Budget.RecordFirstAttempt(now)
	for {
		response := j.attempt(ctx, view)
		j.report(now, response)
		after, again := j.next(response)
		if !again || !sleepIf(ctx, after) {
			return complete(j.settle(response), j.request.Attempt)
		}
		if response.Body != nil {
			_ = response.Body.Close()
		}
		view = e.ports.Views.View()
	}
}

func sleepIf(ctx context.Context, d clock.Millis) bool {
	return d <= 0 || sleep(ctx, d)
}

func refusal(o outcome.Outcome) *Response {
	return &Response{Outcome: o, Status: Status(o)}
}

// complete adds the headers for the caller.
func complete(response *Response, attempts int) *Response {
	response.Attempts = attempts
	response.Headers = AppendMeta(response.Headers, response)
	return response
}

// parse fills the request.
func (j *journey) parse(now clock.Millis, view View, caller CallerRequest) error {
	catalog := view.Catalog()
	target, err := Parse(catalog, caller.Target)
	if err != nil {
		return err
	}
	fields, err := readCallerFields(caller.Headers)
	if err != nil {
		return err
	}
	route := routeOf(target.rules, caller.Method, withoutQuery(target.path))
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
		Shard:         target.id,
		Method:        caller.Method,
		Path:          target.path,
		Headers:       EndToEnd(make([]upstream.Header, 0, len(caller.Headers)), caller.Headers),
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
func (j *journey) attempt(ctx context.Context, view View) *Response {
	j.request.Attempt++
	now := j.entry.ports.Clock.Now()
	if now >= j.request.Deadline {
		j.decision = Refuse{outcome: outcome.NewNotRun(outcome.ReasonDeadlineExceeded)}
		return refusal(outcome.NewNotRun(outcome.ReasonDeadlineExceeded))
	}
	route := Route{
		Service: j.request.Service,
		Keyed:   j.keyed,
		Shard:   j.request.Shard,
		Key:     j.request.Key,
		Avoid:   j.avoid,
		Busy:    j.entry.busy.of,
	}
	j.decision = j.override(Decide(now, view, route, j.entry.ports.Random), view)
	switch decision := j.decision.(type) {
	case Local:
		j.request.Epoch = decision.Epoch()
		return j.count(view.Self(), func() *Response { return j.entry.ports.Owner.Serve(ctx, &j.request) })
	case Forward:
		j.request.Epoch = decision.Epoch()
		return j.count(decision.Target(), func() *Response { return j.forward(ctx, decision) })
	case Refuse:
		return refusal(decision.Outcome())
	default:
		return refusal(outcome.NewNotRun(outcome.ReasonNoOwner))
	}
}

func (j *journey) report(arrived clock.Millis, response *Response) {
	ports := &j.entry.ports
	if ports.Routed == nil {
		return
	}
	ports.Routed(Routed{
		Service:   j.request.Service,
		Key:       j.request.Key,
		Shard:     j.request.Shard,
		Method:    j.request.Method,
		RequestID: j.request.RequestID,
		Attempt:   j.request.Attempt,
		Decision:  j.decision,
		Outcome:   response.Outcome,
		Status:    response.Status,
		Elapsed:   ports.Clock.Now() - arrived,
	})
}

// override replaces a decision that is older than the owner which the last
// answer named.
func (j *journey) override(decision Decision, view View) Decision {
	hint := j.hint
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

func (j *journey) forward(ctx context.Context, decision Forward) *Response {
	response, err := j.entry.ports.Forwarder.Forward(ctx, decision.PeerAddress(), &j.request)
	if err != nil {
		return refusal(forwardOutcome(err))
	}
	return response
}

// count runs an attempt at a member of an unkeyed service and counts it as in
// flight there until its answer is closed.
func (j *journey) count(member Member, run func() *Response) *Response {
	if j.keyed {
		return run()
	}
	j.entry.busy.add(member.Incarnation, 1)
	response := run()
	if _, ok := response.Outcome.(outcome.Done); !ok {
		j.avoid = append(j.avoid, member.Incarnation)
	}
	if response.Body == nil {
		j.entry.busy.add(member.Incarnation, -1)
		return response
	}
	response.Body = &countedBody{ReadCloser: response.Body, busy: &j.entry.busy, member: member.Incarnation}
	return response
}

// next tells whether the request is sent again, and after how long.
func (j *journey) next(response *Response) (clock.Millis, bool) {
	if _, ok := response.Outcome.(outcome.Done); ok {
		return 0, false
	}
	if _, ok := response.Outcome.(outcome.Unknown); ok && j.doubt == nil {
		j.doubt = response.Outcome
	}
	j.hint = Forward{}
	if response.OwnerPeer != "" && response.Epoch > j.request.Epoch {
		owner := Member{PeerAddress: response.OwnerPeer, HTTPAddress: response.OwnerHTTP}
		j.hint = Forward{target: owner, epoch: response.Epoch}
	}
	ports := &j.entry.ports
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

// settle returns the final answer. A refusal of the last attempt says nothing
// of an earlier one that may have been run.
func (j *journey) settle(response *Response) *Response {
	if _, ok := response.Outcome.(outcome.NotRun); ok && j.doubt != nil {
		response.Outcome, response.Status = j.doubt, Status(j.doubt)
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

// busy counts the requests that this daemon has in flight at each member. The
// zero value is ready.
type busy struct {
	mu     sync.Mutex
	counts map[identity.Incarnation]int
}

func (b *busy) of(member *Member) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[member.Incarnation]
}

func (b *busy) add(member identity.Incarnation, change int) {
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
	busy   *busy
	member identity.Incarnation
	closed bool
}

// Close closes the answer.
func (b *countedBody) Close() error {
	if !b.closed {
		b.closed = true
		b.busy.add(b.member, -1)
	}
	return b.ReadCloser.Close()
}
