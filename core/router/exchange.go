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

// exchange is one request at the owner, and the body of its answer.
type exchange struct {
	owner   *Owner
	request *Request
	self    Member
	rules   template.ServiceRules
	route   template.RouteRules
	backend Backend

	ownership  Ownership
	ownerKnown bool
	ownsIt     bool

	// recorded tells that the outcome must be given to the dedupe table.
	recorded bool
	id       dedupe.ID
	slot     *admission.Slot
	// entered is the place in which the order counts, if it does.
	entered  place
	counted  bool
	deadline clock.Millis

	answer upstream.Answer
	cancel context.CancelFunc
	// remaining is the number of body bytes to come, -1 if unknown.
	remaining int64
	kept      []byte
	tooLarge  bool
	ended     bool
	readError error
}

// run goes through the steps until the request is answered.
func (x *exchange) run(ctx context.Context) *Response {
	if refused := x.prepare(ctx); refused != nil {
		return x.refuse(refused)
	}
	for range maxRounds {
		if refused := x.claim(ctx); refused != nil {
			return x.moved(ctx, refused)
		}
		if response := x.deduplicate(ctx); response != nil {
			return response
		}
		if refused := x.admit(ctx); refused != nil {
			x.abandon()
			return x.refuse(refused)
		}
		if x.enter() {
			return x.launch(ctx)
		}
		x.slot.ReleaseWithoutSample()
		x.abandon()
	}
	return x.refuse(outcome.NewNotRun(outcome.ReasonMoved))
}

// moved refuses a request that this daemon doesn't own, or passes it on if its
// sender can't send it again.
func (x *exchange) moved(ctx context.Context, refused outcome.Outcome) *Response {
	forwarder := x.owner.ports.Forwarder
	newer := x.ownerKnown && !x.ownsIt && x.ownership.Epoch >= x.request.Epoch
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
		response.Body = &relayedBody{ReadCloser: response.Body, owner: x.owner}
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

// enter counts the order at its place, unless that was stopped.
func (x *exchange) enter() bool {
	if !x.rules.IsKeyed() {
		return true
	}
	counted := !x.route.Idempotent() || !isSafe(x.request.Method)
	place := x.place()
	if !x.owner.orders.enter(place, counted) {
		return false
	}
	x.entered, x.counted = place, counted
	return true
}

// launch checks the lease again and sends the order at once. The order's
// deadline covers a pause between the check and the send.
func (x *exchange) launch(ctx context.Context) *Response {
	ports := &x.owner.ports
	// The wall clock is read before the monotonic one, so that a pause between
	// the two readings makes the deadline earlier.
	unix := ports.UnixMillis()
	epoch := x.ownership.Epoch
	standing, leaseEnd := x.recheck()
	if standing != standingReady || x.ownership.Epoch != epoch {
		return x.withdraw(recheckOutcome(standing))
	}
	now := ports.Clock.Now()
	x.deadline = x.orderDeadline(leaseEnd)
	if now >= x.deadline {
		return x.withdraw(outcome.NewNotRun(outcome.ReasonDeadlineExceeded))
	}
	order := x.order(unix + int64(x.deadline-now) - 1)
	orderContext, cancel := x.context(ctx, x.deadline-now)
	answer, err := x.backend.Upstream.Do(orderContext, order)
	if err != nil {
		cancel()
		return x.failed(sendOutcome(err))
	}
	x.answer, x.cancel = answer, cancel
	return x.answered()
}

// recheck looks at the newest view and returns its lease end.
func (x *exchange) recheck() (standing, clock.Millis) {
	view := x.owner.ports.Views.View()
	leaseEnd := view.LeaseEnd()
	if x.owner.ports.Clock.Now() >= leaseEnd {
		return standingNoLease, leaseEnd
	}
	if !x.rules.IsKeyed() {
		return standingReady, leaseEnd
	}
	request := x.request
	ownership, ok := view.Owner(request.Service, request.Shard, request.Key)
	x.ownership, x.ownerKnown = ownership, ok
	x.ownsIt = ok && ownership.Owner.Incarnation == view.Self().Incarnation
	if !x.ownsIt {
		return standingMoved, leaseEnd
	}
	return standingReady, leaseEnd
}

func recheckOutcome(s standing) outcome.Outcome {
	if s == standingNoLease {
		return outcome.NewNotRun(outcome.ReasonNoLease)
	}
	return outcome.NewNotRun(outcome.ReasonMoved)
}

// orderDeadline returns when the upstream must not act any more. An upstream
// that doesn't check epochs could run a non-idempotent order after a takeover,
// so it must not act after the lease. An unkeyed service has no takeover.
func (x *exchange) orderDeadline(leaseEnd clock.Millis) clock.Millis {
	if x.rules.Fencing() == upstream.FencingEpoch || x.route.Idempotent() || !x.rules.IsKeyed() {
		return x.request.Deadline
	}
	return min(x.request.Deadline, leaseEnd)
}

func (x *exchange) order(deadlineUnix int64) upstream.Order {
	request := x.request
	return upstream.Order{
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

// context returns the context of the order. An order whose outcome is recorded
// goes on when its caller is gone, so that a repeat gets the outcome.
func (x *exchange) context(ctx context.Context, timeout clock.Millis) (context.Context, context.CancelFunc) {
	if x.recorded {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	if x.backend.Lost == nil {
		return ctx, cancel
	}
	release := context.AfterFunc(x.backend.Lost, cancel)
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

// withdraw refuses an order that was counted but not sent.
func (x *exchange) withdraw(refused outcome.Outcome) *Response {
	x.slot.ReleaseWithoutSample()
	x.leave(true)
	x.abandon()
	return x.refuse(refused)
}

// failed answers an order that got no answer.
func (x *exchange) failed(o outcome.Outcome) *Response {
	notRun, ok := o.(outcome.NotRun)
	x.measure(o)
	switch {
	case !ok:
		x.slot.Release()
	case notRun.Reason() == outcome.ReasonUpstreamRefused:
		x.slot.ReleaseRefused()
	default:
		x.slot.ReleaseWithoutSample()
	}
	x.leave(ok)
	if ok {
		x.abandon()
		return x.refuse(o)
	}
	if x.recorded {
		now := x.owner.ports.Clock.Now()
		x.owner.ports.Dedupe.Finish(now, x.id, dedupe.Record{Outcome: o, Status: Status(o)})
	}
	return x.refuse(o)
}

func (x *exchange) measure(o outcome.Outcome) {
	if x.owner.ports.Measured == nil {
		return
	}
	x.owner.ports.Measured(Measurement{
		Service: x.request.Service,
		Shard:   x.request.Shard,
		Key:     x.request.Key,
		Held:    x.slot.HeldMillis(),
		Outcome: o,
	})
}

// leave ends the counting of the order: at once if it is settled, that is, it
// will not run any more; otherwise at its deadline.
func (x *exchange) leave(settled bool) {
	if !x.counted {
		return
	}
	x.counted = false
	place, orders := x.entered, &x.owner.orders
	remaining := x.deadline - x.owner.ports.Clock.Now()
	if settled || remaining <= 0 {
		orders.leave(place)
		return
	}
	orders.leaveLater(place, remaining)
}

// abandon lets a repeat run, as this request will not.
func (x *exchange) abandon() {
	if x.recorded {
		x.owner.ports.Dedupe.Abandon(x.id)
		x.recorded = false
	}
}

// relayedBody is the body of an answer from a shard's new owner.
type relayedBody struct {
	io.ReadCloser
	owner  *Owner
	closed bool
}

// Close closes the answer and ends the request.
func (b *relayedBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	defer b.owner.work.end()
	return b.ReadCloser.Close()
}
