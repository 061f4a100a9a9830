// Package admission limits the requests in flight at the upstream of this
// instance, queues further requests by priority and deadline, and refuses those
// that can't be served in time.
package admission

import (
	"math"
	"slices"

	"briarwell.dev/core/capacity"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

const (
	// defaultQueuePerSlot is the queue limit per slot of a service that sets none.
	defaultQueuePerSlot = 4
	// coldStartShare is the share of the slots available when a cold start begins.
	coldStartShare = 0.25
	// decreaseFactor multiplies the limit when the upstream refuses a request.
	decreaseFactor = 0.7
	// decreaseInterval is the minimum time in milliseconds between a decrease of
	// the limit and the next change, so that the refusals of one overload cause
	// one decrease only.
	decreaseInterval clock.Millis = 200
	// reportMaxAge is the age in milliseconds above which a load report is ignored.
	reportMaxAge clock.Millis = 2000
	// serviceSampleWeight is the weight of the newest sample in the moving averages
	// of the service time.
	serviceSampleWeight = 0.1
	// maxClasses bounds the request classes whose service times are tracked.
	maxClasses = 64
	// maxWaitDivisor divides the time from the submission of a request to its soft
	// deadline; the result is its longest time in the queue.
	maxWaitDivisor = 4
	// lateMaxWait is the longest time in milliseconds in the queue of a request
	// that is expected to miss its soft deadline, and the lower bound of this time
	// for the others. It is short because such a request uses only slots that no
	// other request needs.
	lateMaxWait clock.Millis = 60
)

// Settings configures the admission to one upstream.
type Settings struct {
	// Slots is the announced number of requests that the upstream runs at once;
	// less than 1 means 1.
	Slots int
	// QueueLimit bounds the waiting requests; zero means 4 per slot.
	QueueLimit int
	// ColdStart is the time in milliseconds over which the limit rises to Slots.
	ColdStart clock.Millis
	// FixedLimit disables the learning of a limit below Slots.
	FixedLimit bool
}

// Request is a request for a slot of an upstream. It is submitted only once.
type Request struct {
	priority template.Priority
	deadline clock.Millis
	// softDeadline is the time by which the response should be complete, 0 if only
	// the deadline counts.
	softDeadline clock.Millis
	// class groups requests of similar service time; "" means no class.
	class string
	// promised is true for a retry whose caller was promised a place.
	promised bool
	// missesSoftDeadline reports whether the response is expected after the soft
	// deadline.
	missesSoftDeadline bool
	submittedAt        clock.Millis
	sequence           uint64
	admittedAt         clock.Millis
	// run is the request at the upstream as known to the estimator.
	run capacity.Run
	// decided receives admitted or the reason of the refusal, for the goroutine
	// that waits in a Gate.
	decided chan outcome.Reason
}

// NewRequest returns a request without a soft deadline and class.
func NewRequest(priority template.Priority, deadline clock.Millis) *Request {
	return &Request{priority: priority, deadline: deadline}
}

// WithSoftDeadline sets the time by which the response should be complete, and the
// class that groups requests of similar service time. Requests expected to meet
// their soft deadline go before those that are not. A request that would wait too
// long is refused early, so that its caller can retry elsewhere. It returns r.
func (r *Request) WithSoftDeadline(softDeadline clock.Millis, class string) *Request {
	r.softDeadline, r.class = softDeadline, class
	return r
}

// WithPromise marks a retry whose caller was promised a place. It goes before other
// requests of its priority, and waits until its deadline can't be met any more: the
// caller has no further retry. It returns r.
func (r *Request) WithPromise() *Request {
	r.promised = true
	return r
}

// Deadline returns the time after which the request is not served any more.
func (r *Request) Deadline() clock.Millis { return r.deadline }

// Priority returns the priority; a higher one is served first.
func (r *Request) Priority() template.Priority { return r.priority }

// Action is Admit or Refuse.
type Action interface {
	isAction()
	// Request returns the request that is admitted or refused.
	Request() *Request
}

// Admit lets the request be sent now.
type Admit struct{ request *Request }

// Refuse means that the request must not be sent.
type Refuse struct {
	request *Request
	reason  outcome.Reason
}

func (Admit) isAction()  {}
func (Refuse) isAction() {}

// Request returns the request that may be sent.
func (a Admit) Request() *Request { return a.request }

// Request returns the request that must not be sent.
func (r Refuse) Request() *Request { return r.request }

// Reason returns ReasonOverloaded or ReasonQueueTimeout.
func (r Refuse) Reason() outcome.Reason { return r.reason }

// State holds the limit, the requests in flight and the queue of one upstream. It
// reads no clock and is not safe for concurrent use. The zero value has one slot.
type State struct {
	settings      Settings
	coldStartedAt clock.Millis
	// queue is sorted by compareRequests.
	queue    []*Request
	sequence uint64
	inFlight int
	// reduction is the number of slots by which refusals have lowered the limit.
	reduction float64
	reducedAt clock.Millis
	// meanServiceMillis is the moving average of the time for which a request holds
	// its slot, 0 before the first sample.
	meanServiceMillis float64
	// classServiceMillis holds the same average for each class.
	classServiceMillis map[string]float64
	// unaccountedInFlight is the number of requests in the upstream's load report
	// beyond those that this daemon sent.
	unaccountedInFlight int
	reportedSlots       int
	reportedAt          clock.Millis
	busySlotMillis      uint64
	// estimator learns the capacity of the upstream, unless the limit is fixed.
	estimator capacity.Estimator
}

// NewState returns a state whose cold start begins at now.
func NewState(now clock.Millis, settings Settings) *State {
	s := &State{settings: settings}
	s.BeginColdStart(now)
	return s
}

// UpdateSettings takes the settings that the upstream announced. Only changed
// settings begin a cold start: an upstream may repeat its announcement.
func (s *State) UpdateSettings(now clock.Millis, settings Settings) {
	if s.settings == settings {
		return
	}
	s.settings = settings
	s.BeginColdStart(now)
}

// BeginColdStart resets the limit for a new process of the upstream, and drops the
// refusals, the load report and the learned capacity of the old one.
func (s *State) BeginColdStart(now clock.Millis) {
	s.coldStartedAt = now
	s.estimator.Reset(now, s.settings.Slots)
	s.reduction, s.unaccountedInFlight, s.reportedSlots = 0, 0, 0
}

// InFlight returns the number of admitted requests that still hold their slot.
func (s *State) InFlight() int { return s.inFlight }

// Queued returns the number of waiting requests.
func (s *State) Queued() int { return len(s.queue) }

// ServiceMillis returns the mean time for which a request holds its slot, 0 before
// the first sample.
func (s *State) ServiceMillis() clock.Millis { return clock.Millis(s.meanServiceMillis) }

// BusySlotMillis returns the sum of the times for which released requests held
// their slots.
func (s *State) BusySlotMillis() uint64 { return s.busySlotMillis }

// Limit returns the number of requests that should be in flight at now, at least 1: the
// learned limit, unless refusals, the cold start or a load report lower it further.
func (s *State) Limit(now clock.Millis) int {
	if s.settings.FixedLimit {
		return s.limitWithin(now, max(s.settings.Slots, 1))
	}
	return s.limitWithin(now, s.estimator.Limit())
}

// admissionLimit returns the number of requests that may be in flight at now. It differs
// from Limit while the estimator compares two limits.
func (s *State) admissionLimit(now clock.Millis) int {
	if s.settings.FixedLimit {
		return s.Limit(now)
	}
	return s.limitWithin(now, s.estimator.AdmissionLimit())
}

// waitLimit returns the number of requests in flight by which waits are estimated.
func (s *State) waitLimit(now clock.Millis) int {
	if s.settings.FixedLimit {
		return s.Limit(now)
	}
	return s.limitWithin(now, s.estimator.WaitLimit())
}

// limitWithin returns the limit that follows from a limit of the upstream.
func (s *State) limitWithin(now clock.Millis, limit int) int {
	slots := max(s.settings.Slots, 1)
	limit = min(limit, slots-int(math.Ceil(s.reduction)))
	limit = min(limit, s.coldStartLimit(now, slots))
	if now-s.reportedAt <= reportMaxAge {
		limit = min(limit-min(s.unaccountedInFlight, slots/2), s.reportedLimit(slots))
	}
	return max(limit, 1)
}

func (s *State) coldStartLimit(now clock.Millis, slots int) int {
	elapsed := now - s.coldStartedAt
	if elapsed >= s.settings.ColdStart {
		return slots
	}
	share := max(coldStartShare, float64(elapsed)/float64(s.settings.ColdStart))
	return int(math.Ceil(share * float64(slots)))
}

func (s *State) reportedLimit(slots int) int {
	if s.reportedSlots <= 0 {
		return slots
	}
	return s.reportedSlots
}

// Submit admits, queues or refuses a new request. It appends the resulting actions,
// which may concern other requests too; a request without an action waits.
func (s *State) Submit(now clock.Millis, request *Request, actions []Action) []Action {
	if request.deadline <= now {
		return append(actions, Refuse{request: request, reason: outcome.ReasonQueueTimeout})
	}
	if len(s.queue) == 0 && s.inFlight < s.admissionLimit(now) {
		// The expected service time doesn't count here: if it did, one that was
		// once too long would refuse every request and never be corrected.
		return append(actions, s.admit(now, request))
	}
	s.sequence++
	request.sequence, request.submittedAt = s.sequence, now
	request.missesSoftDeadline = s.willMissSoftDeadline(now, request)
	index, _ := slices.BinarySearchFunc(s.queue, request, compareRequests)
	s.queue = slices.Insert(s.queue, index, request)
	waiting := len(s.queue)
	// The limit may have risen since the last call.
	actions = s.dispatch(now, actions)
	actions = s.shed(now, max(0, index-(waiting-len(s.queue))), actions)
	s.observeQueue(now)
	return actions
}

// WouldRefuse reports whether Submit would refuse the request, and why. It changes
// nothing.
func (s *State) WouldRefuse(now clock.Millis, request *Request) (outcome.Reason, bool) {
	if request.deadline <= now {
		return outcome.ReasonQueueTimeout, true
	}
	if len(s.queue) == 0 && s.inFlight < s.admissionLimit(now) {
		return "", false
	}
	candidate := *request
	candidate.sequence, candidate.submittedAt = s.sequence+1, now
	candidate.missesSoftDeadline = s.willMissSoftDeadline(now, &candidate)
	index, _ := slices.BinarySearchFunc(s.queue, &candidate, compareRequests)
	wait := s.meanServiceMillis / float64(s.waitLimit(now)) * float64(index+1)
	refused := index >= s.queueLimit() || s.willMissDeadline(now, &candidate, wait) || s.waitsTooLong(now, &candidate, wait)
	return outcome.ReasonOverloaded, refused
}

// Release frees the slot of a request that the upstream accepted. The time for which
// the slot was held is a sample of the service time.
func (s *State) Release(now clock.Millis, request *Request, actions []Action) []Action {
	s.freeSlot(now, request, true)
	held := float64(max(now-request.admittedAt, 0))
	s.meanServiceMillis = movingAverage(s.meanServiceMillis, held)
	s.recordClassSample(request.class, held)
	if s.reduction > 0 && now-s.reducedAt > decreaseInterval {
		s.reduction = max(0, s.reduction-1/float64(s.Limit(now)))
	}
	return s.dispatch(now, actions)
}

// ReleaseFailed frees the slot of a request that the upstream failed. It may have failed the
// request early, so the time for which the slot was held counts only if it is longer than
// expected: otherwise an upstream would seem fast because it fails.
func (s *State) ReleaseFailed(now clock.Millis, request *Request, actions []Action) []Action {
	if float64(now-request.admittedAt) < s.expectedServiceMillis(request) {
		return s.ReleaseWithoutSample(now, request, actions)
	}
	return s.Release(now, request, actions)
}

// movingAverage returns the exponentially weighted moving average after sample; a
// mean of 0 has no samples yet.
func movingAverage(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + serviceSampleWeight*(sample-mean)
}

func (s *State) recordClassSample(class string, held float64) {
	if class == "" {
		return
	}
	if _, known := s.classServiceMillis[class]; !known && len(s.classServiceMillis) >= maxClasses {
		return
	}
	if s.classServiceMillis == nil {
		s.classServiceMillis = make(map[string]float64)
	}
	s.classServiceMillis[class] = movingAverage(s.classServiceMillis[class], held)
}

// expectedServiceMillis returns the mean service time of the request's class, or
// that of all requests if the class has no sample.
func (s *State) expectedServiceMillis(request *Request) float64 {
	if mean, ok := s.classServiceMillis[request.class]; ok {
		return mean
	}
	return s.meanServiceMillis
}

// willMissSoftDeadline reports whether a request that starts at now is expected to
// end after its soft deadline.
func (s *State) willMissSoftDeadline(now clock.Millis, request *Request) bool {
	return request.softDeadline != 0 && float64(now)+s.expectedServiceMillis(request) > float64(request.softDeadline)
}

// ReleaseRefused frees the slot of a request that the upstream refused, and lowers
// the limit.
func (s *State) ReleaseRefused(now clock.Millis, request *Request, actions []Action) []Action {
	s.freeSlot(now, request, false)
	slots := float64(max(s.settings.Slots, 1))
	if s.reduction == 0 || now-s.reducedAt > decreaseInterval {
		s.reduction = slots - max(1, math.Floor((slots-s.reduction)*decreaseFactor))
		s.reducedAt = now
	}
	return s.dispatch(now, actions)
}

// ReleaseWithoutSample frees the slot of a request for which the time that the slot was
// held says nothing about the service time, such as one that was not sent.
func (s *State) ReleaseWithoutSample(now clock.Millis, request *Request, actions []Action) []Action {
	s.freeSlot(now, request, false)
	return s.dispatch(now, actions)
}

// Cancel removes a waiting request. It returns false if the request is not waiting.
func (s *State) Cancel(request *Request) bool {
	index := slices.Index(s.queue, request)
	if index < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, index, index+1)
	return true
}

// UpdateLoad takes a load report of the upstream. Only its requests beyond those
// that this daemon sent lower the limit, by at most half of the slots and until the
// report is too old: the daemon's count of its own requests is more accurate.
func (s *State) UpdateLoad(now clock.Millis, load upstream.Load, actions []Action) []Action {
	s.unaccountedInFlight = max(load.InFlight-s.inFlight, 0)
	s.reportedSlots, s.reportedAt = load.Slots, now
	return s.dispatch(now, actions)
}

func (s *State) admit(now clock.Millis, request *Request) Action {
	request.admittedAt = now
	s.inFlight++
	if !s.settings.FixedLimit {
		request.run = s.estimator.Start(now, request.class, len(s.queue))
	}
	return Admit{request: request}
}

// freeSlot frees the slot of a request. isSample is true if the time for which it was held
// is a sample of the service time.
func (s *State) freeSlot(now clock.Millis, request *Request, isSample bool) {
	s.inFlight--
	s.busySlotMillis += uint64(max(now-request.admittedAt, 0))
	if !s.settings.FixedLimit {
		s.estimator.End(now, request.run, len(s.queue), isSample)
	}
}

// observeQueue tells the estimator how many requests wait.
func (s *State) observeQueue(now clock.Millis) {
	if !s.settings.FixedLimit {
		s.estimator.Advance(now, len(s.queue))
	}
}

// ReportSlowness records the slowness in percent that the upstream reports, 100 at its usual
// speed.
func (s *State) ReportSlowness(now clock.Millis, slowness int) { s.estimator.Report(now, slowness) }

// Capacity returns the learned capacity. Limit is that of State.Limit, and PerSecond belongs
// to it. Without a learned limit, PerSecond is 0.
func (s *State) Capacity(now clock.Millis) capacity.Estimate {
	estimate := s.estimator.Estimate(now)
	limit := s.Limit(now)
	estimate.PerSecond *= float64(limit) / float64(estimate.Limit)
	estimate.Limit = limit
	return estimate
}

// ClassMillis returns the time in milliseconds that a request of the class takes at now: the
// learned one, or the mean of the class if none is learned.
func (s *State) ClassMillis(now clock.Millis, class string) clock.Millis {
	if learned := s.estimator.ClassMillis(now, class); learned > 0 {
		return clock.Millis(learned)
	}
	return clock.Millis(s.expectedServiceMillis(&Request{class: class}))
}

// dispatch admits waiting requests to free slots, and refuses those that can't be
// served before their deadline any more.
func (s *State) dispatch(now clock.Millis, actions []Action) []Action {
	actions = s.updateQueue(now, actions)
	for len(s.queue) > 0 && s.inFlight < s.admissionLimit(now) {
		next := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		if s.willMissDeadline(now, next, 0) {
			actions = append(actions, Refuse{request: next, reason: outcome.ReasonQueueTimeout})
			continue
		}
		actions = append(actions, s.admit(now, next))
	}
	s.observeQueue(now)
	return actions
}

// updateQueue refuses the requests whose maximum wait is over or would be exceeded,
// and moves those that now miss their soft deadline behind the others of their
// priority.
func (s *State) updateQueue(now clock.Millis, actions []Action) []Action {
	var late []*Request
	kept := s.queue[:0]
	waitPerRequest := s.meanServiceMillis / float64(s.waitLimit(now))
	for _, request := range s.queue {
		switch {
		case request.softDeadline == 0 || request.promised:
			kept = append(kept, request)
		case s.exceedsMaxWait(now, request, waitPerRequest*float64(len(kept))):
			actions = append(actions, Refuse{request: request, reason: outcome.ReasonOverloaded})
		case !request.missesSoftDeadline && s.willMissSoftDeadline(now, request):
			request.missesSoftDeadline = true
			late = append(late, request)
		default:
			kept = append(kept, request)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	for _, request := range late {
		index, _ := slices.BinarySearchFunc(s.queue, request, compareRequests)
		s.queue = slices.Insert(s.queue, index, request)
	}
	return actions
}

// shed refuses the waiting requests from index on whose expected wait is too long
// for their deadlines or maximum wait, and those beyond the queue limit.
func (s *State) shed(now clock.Millis, index int, actions []Action) []Action {
	waitPerRequest := s.meanServiceMillis / float64(s.waitLimit(now))
	kept := s.queue[:index]
	for _, request := range s.queue[index:] {
		full := len(kept) >= s.queueLimit()
		wait := waitPerRequest * float64(len(kept)+1)
		if full || s.willMissDeadline(now, request, wait) || s.waitsTooLong(now, request, wait) {
			actions = append(actions, Refuse{request: request, reason: outcome.ReasonOverloaded})
			continue
		}
		kept = append(kept, request)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return actions
}

// waitsTooLong reports whether a wait of the given milliseconds exceeds the maximum
// wait of a request or makes it miss its soft deadline.
func (s *State) waitsTooLong(now clock.Millis, request *Request, wait float64) bool {
	if request.softDeadline == 0 || request.promised {
		return false
	}
	if s.exceedsMaxWait(now, request, wait) {
		return true
	}
	return !request.missesSoftDeadline && float64(now)+wait+s.expectedServiceMillis(request) > float64(request.softDeadline)
}

// exceedsMaxWait reports whether a further wait of the given milliseconds exceeds
// the maximum wait of a request.
func (s *State) exceedsMaxWait(now clock.Millis, request *Request, wait float64) bool {
	return wait > float64(request.submittedAt+request.maxWait()-now)
}

// maxWait returns the longest time in milliseconds that a request spends in the
// queue. A later refusal would waste time in which the caller could retry elsewhere.
func (r *Request) maxWait() clock.Millis {
	if r.missesSoftDeadline {
		return lateMaxWait
	}
	return max((r.softDeadline-r.submittedAt)/maxWaitDivisor, lateMaxWait)
}

// willMissDeadline reports whether a request that starts after wait milliseconds is
// expected to end after its deadline.
func (s *State) willMissDeadline(now clock.Millis, request *Request, wait float64) bool {
	return request.deadline <= now || float64(now)+wait+s.expectedServiceMillis(request) > float64(request.deadline)
}

func (s *State) queueLimit() int {
	if s.settings.QueueLimit > 0 {
		return s.settings.QueueLimit
	}
	return defaultQueuePerSlot * max(s.settings.Slots, 1)
}

// compareRequests orders requests by descending priority, then those with a promised
// place first, then those expected to meet their soft deadline, then by deadline and by
// arrival.
func compareRequests(a, b *Request) int {
	switch {
	case a.priority != b.priority:
		return int(b.priority - a.priority)
	case a.promised != b.promised:
		if a.promised {
			return -1
		}
		return 1
	case a.missesSoftDeadline != b.missesSoftDeadline:
		if a.missesSoftDeadline {
			return 1
		}
		return -1
	case a.deadline < b.deadline:
		return -1
	case a.deadline > b.deadline:
		return 1
	case a.sequence < b.sequence:
		return -1
	default:
		return 1
	}
}
