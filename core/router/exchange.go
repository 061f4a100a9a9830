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

// ownerRequest is one request at the owner, and the body of its answer.
type ownerRequest struct {
	handler  *OwnerHandler
	request  *Request
	self     Member
	rules    template.ServiceRules
	route    template.RouteRules
	upstream LocalUpstream

	ownership  Ownership
	ownerKnown bool
	isOwner    bool

	// mustRecord tells that the outcome must be given to the dedupe table.
	mustRecord bool
	dedupeID   dedupe.ID
	slot       *admission.Slot
	// countedScope is the place in which the order counts, if it does.
	countedScope requestScope
	counted      bool
	deadline     clock.Millis

	response upstream.Response
	cancel   context.CancelFunc
	// remainingBytes is the number of body bytes to come, -1 if unknown.
	remainingBytes int64
	recordedBody   []byte
	bodyTooLarge   bool
	ended          bool
	readError      error
}

// run goes through the steps until the request is answered.
func (x *ownerRequest) run(ctx context.Context) *Response {
	if refused := x.prepare(ctx); refused != nil {
		return x.refuse(refused)
	}
	for range maxAdmissionAttempts {
		if refused := x.awaitOwnership(ctx); refused != nil {
			return x.relayOrRefuse(ctx, refused)
		}
		if response := x.deduplicate(ctx); response != nil {
			return response
		}
		if refused := x.acquireSlot(ctx); refused != nil {
			x.abandonRecord()
			return x.refuse(refused)
		}
		if x.startTracking() {
			return x.send(ctx)
		}
		x.slot.ReleaseWithoutSample()
		x.abandonRecord()
	}
	return x.refuse(outcome.NewNotRun(outcome.ReasonMoved))
}

// relayOrRefuse refuses a request that this daemon doesn't own, or passes it on if its
// sender can't send it again.
func (x *ownerRequest) relayOrRefuse(ctx context.Context, refused outcome.Outcome) *Response {
	forwarder := x.handler.settings.Forwarder
	newer := x.ownerKnown && !x.isOwner && x.ownership.Epoch >= x.request.Epoch
	if forwarder == nil || x.request.Body == nil || x.request.Relayed || !newer ||
		outcome.ReasonOf(refused) != outcome.ReasonMoved {
		return x.refuse(refused)
	}
	relayed := *x.request
	relayed.Relayed, relayed.Epoch = true, x.ownership.Epoch
	response, err := forwarder.Forward(ctx, x.ownership.Owner.PeerAddress, &relayed)
	if err != nil {
		return x.refuse(forwardOutcome(err))
	}
	if response.Body != nil {
		response.Body = &relayedBody{ReadCloser: response.Body, handler: x.handler}
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

// startTracking counts the order at its place, unless that was stopped.
func (x *ownerRequest) startTracking() bool {
	if !x.rules.IsKeyed() {
		return true
	}
	counted := !x.route.Idempotent() || !isSafeMethod(x.request.Method)
	place := x.scope()
	if !x.handler.tracker.tryStart(place, counted) {
		return false
	}
	x.countedScope, x.counted = place, counted
	return true
}

// send checks the lease again and sends the order at once. The order's
// deadline covers a pause between the check and the send.
func (x *ownerRequest) send(ctx context.Context) *Response {
	ports := &x.handler.settings
	// The wall clock is read before the monotonic one, so that a pause between
	// the two readings makes the deadline earlier.
	unix := ports.UnixMillis()
	epoch := x.ownership.Epoch
	standing, leaseEnd := x.recheckOwnership()
	if standing != ownershipReady || x.ownership.Epoch != epoch {
		return x.cancelUnsent(ownershipOutcome(standing))
	}
	now := ports.Clock.Now()
	x.deadline = x.upstreamDeadline(leaseEnd)
	if now >= x.deadline {
		return x.cancelUnsent(outcome.NewNotRun(outcome.ReasonDeadlineExceeded))
	}
	order := x.upstreamRequest(unix + int64(x.deadline-now) - 1)
	orderContext, cancel := x.upstreamContext(ctx, x.deadline-now)
	answer, err := x.upstream.Client.Do(orderContext, order)
	if err != nil {
		cancel()
		return x.handleSendError(sendOutcome(err))
	}
	x.response, x.cancel = answer, cancel
	return x.streamResponse()
}

// recheckOwnership looks at the newest view and returns its lease end.
func (x *ownerRequest) recheckOwnership() (ownershipState, clock.Millis) {
	view := x.handler.settings.Views.View()
	leaseEnd := view.LeaseEnd()
	if x.handler.settings.Clock.Now() >= leaseEnd {
		return ownershipNoLease, leaseEnd
	}
	if !x.rules.IsKeyed() {
		return ownershipReady, leaseEnd
	}
	request := x.request
	ownership, ok := view.Owner(request.Service, request.Shard, request.Key)
	x.ownership, x.ownerKnown = ownership, ok
	x.isOwner = ok && ownership.Owner.Incarnation == view.Self().Incarnation
	if !x.isOwner {
		return ownershipMoved, leaseEnd
	}
	return ownershipReady, leaseEnd
}

func ownershipOutcome(s ownershipState) outcome.Outcome {
	if s == ownershipNoLease {
		return outcome.NewNotRun(outcome.ReasonNoLease)
	}
	return outcome.NewNotRun(outcome.ReasonMoved)
}

// upstreamDeadline returns when the upstream must not act any more. An upstream
// that doesn't check epochs could run a non-idempotent order after a takeover,
// so it must not act after the lease. An unkeyed service has no takeover.
func (x *ownerRequest) upstreamDeadline(leaseEnd clock.Millis) clock.Millis {
	if x.rules.Fencing() == upstream.FencingEpoch || x.route.Idempotent() || !x.rules.IsKeyed() {
		return x.request.Deadline
	}
	return min(x.request.Deadline, leaseEnd)
}

func (x *ownerRequest) upstreamRequest(deadlineUnix int64) upstream.Request {
	request := x.request
	return upstream.Request{
		Service:            request.Service,
		Key:                request.Key,
		Shard:              request.Shard,
		Epoch:              x.ownership.Epoch,
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

// upstreamContext returns the context of the order. An order whose outcome is recorded
// goes on when its caller is gone, so that a repeat gets the outcome.
func (x *ownerRequest) upstreamContext(ctx context.Context, timeout clock.Millis) (context.Context, context.CancelFunc) {
	if x.mustRecord {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	if x.upstream.Lost == nil {
		return ctx, cancel
	}
	release := context.AfterFunc(x.upstream.Lost, cancel)
	return ctx, func() {
		release()
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

// cancelUnsent refuses an order that was counted but not sent.
func (x *ownerRequest) cancelUnsent(refused outcome.Outcome) *Response {
	x.slot.ReleaseWithoutSample()
	x.stopTracking(true)
	x.abandonRecord()
	return x.refuse(refused)
}

// handleSendError answers an order that got no answer.
func (x *ownerRequest) handleSendError(o outcome.Outcome) *Response {
	notRun, ok := o.(outcome.NotRun)
	x.reportUsage(o)
	switch {
	case !ok:
		x.slot.Release()
	case notRun.Reason() == outcome.ReasonUpstreamRefused:
		x.slot.ReleaseRefused()
	default:
		x.slot.ReleaseWithoutSample()
	}
	x.stopTracking(ok)
	if ok {
		x.abandonRecord()
		return x.refuse(o)
	}
	if x.mustRecord {
		now := x.handler.settings.Clock.Now()
		x.handler.settings.Dedupe.Finish(now, x.dedupeID, dedupe.Record{Outcome: o, Status: HTTPStatus(o)})
	}
	return x.refuse(o)
}

func (x *ownerRequest) reportUsage(o outcome.Outcome) {
	if x.handler.settings.OnUsage == nil {
		return
	}
	x.handler.settings.OnUsage(RequestUsage{
		Service:  x.request.Service,
		Shard:    x.request.Shard,
		Key:      x.request.Key,
		SlotTime: x.slot.HeldMillis(),
		Outcome:  o,
	})
}

// stopTracking ends the counting of the order: at once if it is settled, that is, it
// will not run any more; otherwise at its deadline.
func (x *ownerRequest) stopTracking(settled bool) {
	if !x.counted {
		return
	}
	x.counted = false
	place, orders := x.countedScope, &x.handler.tracker
	remaining := x.deadline - x.handler.settings.Clock.Now()
	if settled || remaining <= 0 {
		orders.finish(place)
		return
	}
	orders.finishAfter(place, remaining)
}

// abandonRecord lets a repeat run, as this request will not.
func (x *ownerRequest) abandonRecord() {
	if x.mustRecord {
		x.handler.settings.Dedupe.Abandon(x.dedupeID)
		x.mustRecord = false
	}
}

// relayedBody is the body of an answer from a shard's new owner.
type relayedBody struct {
	io.ReadCloser
	handler *OwnerHandler
	closed  bool
}

// Close closes the answer and ends the request.
func (b *relayedBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	defer b.handler.requests.end()
	return b.ReadCloser.Close()
}
