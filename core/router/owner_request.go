package router

import (
	"context"
	"errors"
	"io"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/dedupe"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// ownerRequest is the state of a request at the owner. It is also the body of the response.
type ownerRequest struct {
	handler  *OwnerHandler
	request  *Request
	self     Member
	rules    template.ServiceRules
	route    template.RouteRules
	upstream LocalUpstream

	// ownership is valid if ownerKnown is set. isOwner reports whether it is this daemon's.
	ownership  Ownership
	ownerKnown bool
	isOwner    bool

	// mustRecord reports whether the outcome must be recorded in the dedupe table.
	mustRecord bool
	dedupeID   dedupe.ID
	slot       *admission.Slot
	// countedScope is the scope in which the tracker counts the request, if counted is set.
	countedScope requestScope
	counted      bool
	// deadline is the time from which the upstream must not act on the request.
	deadline clock.Millis

	response upstream.Response
	cancel   context.CancelFunc
	// remainingBytes is the number of body bytes not read yet, negative if unknown.
	remainingBytes int64
	// recordedBody is the part of the body read so far, nil if bodyTooLarge is set.
	recordedBody []byte
	bodyTooLarge bool
	ended        bool
	readError    error
}

// run checks, deduplicates and admits the request, and sends it to the upstream.
func (r *ownerRequest) run(ctx context.Context) *Response {
	if refused := r.prepare(ctx); refused != nil {
		return r.refuse(refused)
	}
	for range maxAdmissionAttempts {
		if refused := r.awaitOwnership(ctx); refused != nil {
			return r.relayOrRefuse(ctx, refused)
		}
		if response := r.deduplicate(ctx); response != nil {
			return response
		}
		if refused := r.acquireSlot(ctx); refused != nil {
			r.abandonRecord()
			return r.refuse(refused)
		}
		if r.startTracking() {
			return r.send(ctx)
		}
		r.slot.ReleaseWithoutSample()
		r.abandonRecord()
	}
	return r.refuse(outcome.NewNotRun(outcome.ReasonMoved))
}

// relayOrRefuse relays a request with a body to the newer owner of its key, because the
// sender can't send the body again. It refuses any other request.
func (r *ownerRequest) relayOrRefuse(ctx context.Context, refused outcome.Outcome) *Response {
	forwarder := r.handler.settings.Forwarder
	newer := r.ownerKnown && !r.isOwner && r.ownership.Epoch >= r.request.Epoch
	if forwarder == nil || r.request.Body == nil || r.request.Relayed || !newer ||
		outcome.ReasonOf(refused) != outcome.ReasonMoved {
		return r.refuse(refused)
	}
	relayed := *r.request
	relayed.Relayed, relayed.Epoch = true, r.ownership.Epoch
	response, err := forwarder.Forward(ctx, r.ownership.Owner.PeerAddress, &relayed)
	if err != nil {
		return r.refuse(forwardOutcome(err))
	}
	if response.Body != nil {
		response.Body = &relayedBody{ReadCloser: response.Body, handler: r.handler}
	}
	return response
}

func forwardOutcome(err error) outcome.Outcome {
	var failed *ForwardError
	if errors.As(err, &failed) {
		return failed.Outcome()
	}
	return outcome.NewUnknown(outcome.ReasonConnectionLost)
}

// startTracking counts the request as in flight if it may change state. It returns false if
// its shard or key is stopped.
func (r *ownerRequest) startTracking() bool {
	if !r.rules.IsKeyed() {
		return true
	}
	counted := !r.route.Idempotent() || !isSafeMethod(r.request.Method)
	scope := r.scope()
	if !r.handler.tracker.tryStart(scope, counted) {
		return false
	}
	r.countedScope, r.counted = scope, counted
	return true
}

// send checks the lease and the ownership again, and sends the request to the upstream. A
// pause of the process between the check and the send is covered by the deadline in the
// request.
func (r *ownerRequest) send(ctx context.Context) *Response {
	settings := &r.handler.settings
	// The wall clock is read before the monotonic clock, so that a pause between the two
	// reads makes the deadline earlier.
	nowUnix := settings.UnixMillis()
	epoch := r.ownership.Epoch
	state, leaseEnd := r.recheckOwnership()
	if state != ownershipReady || r.ownership.Epoch != epoch {
		return r.cancelUnsent(ownershipOutcome(state))
	}
	now := settings.Clock.Now()
	r.deadline = r.upstreamDeadline(leaseEnd)
	if now >= r.deadline {
		return r.cancelUnsent(outcome.NewNotRun(outcome.ReasonDeadlineExceeded))
	}
	request := r.upstreamRequest(nowUnix + int64(r.deadline-now) - 1)
	upstreamCtx, cancel := r.upstreamContext(ctx, r.deadline-now)
	response, err := r.upstream.Client.Do(upstreamCtx, request)
	if err != nil {
		cancel()
		return r.handleSendError(sendOutcome(err))
	}
	r.response, r.cancel = response, cancel
	return r.streamResponse()
}

// recheckOwnership reads the newest view just before the send. It returns whether this
// daemon still has a lease and owns the key, and the end of the lease.
func (r *ownerRequest) recheckOwnership() (ownershipState, clock.Millis) {
	view := r.handler.settings.Views.View()
	leaseEnd := view.LeaseEnd()
	if r.handler.settings.Clock.Now() >= leaseEnd {
		return ownershipNoLease, leaseEnd
	}
	if !r.rules.IsKeyed() {
		return ownershipReady, leaseEnd
	}
	request := r.request
	ownership, ok := view.Owner(request.Service, request.Shard, request.Key)
	r.ownership, r.ownerKnown = ownership, ok
	r.isOwner = ok && ownership.Owner.Incarnation == view.Self().Incarnation
	if !r.isOwner {
		return ownershipMoved, leaseEnd
	}
	return ownershipReady, leaseEnd
}

func ownershipOutcome(state ownershipState) outcome.Outcome {
	if state == ownershipNoLease {
		return outcome.NewNotRun(outcome.ReasonNoLease)
	}
	return outcome.NewNotRun(outcome.ReasonMoved)
}

// upstreamDeadline returns the time from which the upstream must not act on the request. An
// upstream that doesn't check epochs could run a non-idempotent request after another
// daemon took the shard over, so the deadline is at most the lease end. An unkeyed service
// has no owner that could be replaced, and needs no such limit.
func (r *ownerRequest) upstreamDeadline(leaseEnd clock.Millis) clock.Millis {
	if r.rules.Fencing() == upstream.FencingEpoch || r.route.Idempotent() || !r.rules.IsKeyed() {
		return r.request.Deadline
	}
	return min(r.request.Deadline, leaseEnd)
}

func (r *ownerRequest) upstreamRequest(deadlineUnix int64) upstream.Request {
	request := r.request
	return upstream.Request{
		Service:            request.Service,
		Key:                request.Key,
		Shard:              request.Shard,
		Epoch:              r.ownership.Epoch,
		Method:             request.Method,
		Path:               request.Path,
		Headers:            request.Headers,
		Body:               request.Body,
		ContentLength:      request.ContentLength,
		DeadlineUnixMillis: deadlineUnix,
		Attempt:            request.Attempt,
		RequestID:          request.RequestID,
	}
}

// upstreamContext returns the context of the upstream request. A request whose outcome is
// recorded continues after its caller has left, so that a repeat gets the outcome.
func (r *ownerRequest) upstreamContext(ctx context.Context, timeout clock.Millis) (context.Context, context.CancelFunc) {
	if r.mustRecord {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	if r.upstream.Lost == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(r.upstream.Lost, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func sendOutcome(err error) outcome.Outcome {
	var failed *upstream.SendError
	if errors.As(err, &failed) {
		return failed.Outcome()
	}
	return outcome.NewUnknown(outcome.ReasonConnectionLost)
}

// cancelUnsent refuses a request that has a slot but was not sent.
func (r *ownerRequest) cancelUnsent(refused outcome.Outcome) *Response {
	r.slot.ReleaseWithoutSample()
	r.stopTracking(true)
	r.abandonRecord()
	return r.refuse(refused)
}

// handleSendError returns the response to a request for which the upstream sent no response
// head.
func (r *ownerRequest) handleSendError(o outcome.Outcome) *Response {
	notRun, ok := o.(outcome.NotRun)
	r.reportUsage(o)
	switch {
	case !ok:
		r.slot.Release()
	case notRun.Reason() == outcome.ReasonUpstreamRefused:
		r.slot.ReleaseRefused()
	default:
		r.slot.ReleaseWithoutSample()
	}
	r.stopTracking(ok)
	if ok {
		r.abandonRecord()
		return r.refuse(o)
	}
	if r.mustRecord {
		now := r.handler.settings.Clock.Now()
		r.handler.settings.Dedupe.Finish(now, r.dedupeID, dedupe.Record{Outcome: o, Status: HTTPStatus(o)})
	}
	return r.refuse(o)
}

func (r *ownerRequest) reportUsage(o outcome.Outcome) {
	if r.handler.settings.OnUsage == nil {
		return
	}
	r.handler.settings.OnUsage(RequestUsage{
		Service:  r.request.Service,
		Shard:    r.request.Shard,
		Key:      r.request.Key,
		SlotTime: r.slot.HeldMillis(),
		Outcome:  o,
	})
}

// stopTracking stops counting the request as in flight: at once if resolved is set, which
// means that the upstream does not act on it any more, and otherwise at its deadline.
func (r *ownerRequest) stopTracking(resolved bool) {
	if !r.counted {
		return
	}
	r.counted = false
	scope, tracker := r.countedScope, &r.handler.tracker
	remaining := r.deadline - r.handler.settings.Clock.Now()
	if resolved || remaining <= 0 {
		tracker.finish(scope)
		return
	}
	tracker.finishAfter(scope, remaining)
}

// abandonRecord removes the request ID from the dedupe table, so that a repeat is run. It
// must be called only if this request was not run.
func (r *ownerRequest) abandonRecord() {
	if r.mustRecord {
		r.handler.settings.Dedupe.Abandon(r.dedupeID)
		r.mustRecord = false
	}
}

// relayedBody is the body of a response from the new owner of a shard.
type relayedBody struct {
	io.ReadCloser
	handler *OwnerHandler
	closed  bool
}

// Close closes the body and stops counting the request as in flight.
func (b *relayedBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	defer b.handler.requests.end()
	return b.ReadCloser.Close()
}
