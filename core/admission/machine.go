// Package admission decides which requests the upstream of this instance gets,
// in which order, and which are refused.
package admission

import (
	"math"
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

const (
	// defaultQueuePerSlot bounds the queue of a service without its own limit.
	defaultQueuePerSlot = 4
	// coldStartShare is the share of the slots at the start of a cold start.
	coldStartShare = 0.25
	// decreaseFactor is the factor of the limit after a refusal by the upstream.
	decreaseFactor = 0.7
	// decreaseInterval merges the refusals of one overload into one decrease, in
	// milliseconds; no increase happens within it.
	decreaseInterval clock.Millis = 200
	// reportMaxAge is the age in milliseconds at which a load report is dropped.
	reportMaxAge clock.Millis = 2000
	// serviceSampleWeight is the weight of the newest sample in the service time.
	serviceSampleWeight = 0.1
	// maxClasses bounds the classes whose service times are measured.
	maxClasses = 64
	// maxWaitDivisor is the part of the time until the answer is wanted for which a
	// request waits, as its divisor.
	maxWaitDivisor = 4
	// shortMaxWait is how long in milliseconds a request waits whose answer can't be
	// there when it is wanted: it takes slots that nobody else wants.
	shortMaxWait clock.Millis = 60
)

// Settings are those of one upstream.
type Settings struct {
	// Slots is the announced number of orders that the upstream runs at once;
	// less than 1 means 1.
	Slots int
	// QueueLimit bounds the waiting requests; zero means 4 for each slot.
	QueueLimit int
	// ColdStart is the time in milliseconds in which the limit rises to Slots.
	ColdStart clock.Millis
}

// Request is a request in a Machine. A Ticket is used once.
type Request struct {
	priority template.Priority
	deadline clock.Millis
	// softDeadline is when the answer should be there, 0 for the deadline.
	softDeadline clock.Millis
	// class names requests of about the same service time.
	class string
	// missesSoftDeadline tells that the answer can't be there when it is wanted.
	missesSoftDeadline bool
	submittedAt        clock.Millis
	sequence           uint64
	admittedAt         clock.Millis
	// decided tells the waiting goroutine of a Gate the verdict.
	decided chan outcome.Reason
}

// NewRequest returns a ticket for a request.
func NewRequest(priority template.Priority, deadline clock.Millis) *Request {
	return &Request{priority: priority, deadline: deadline}
}

// WithSoftDeadline sets when the answer should be there, and the class of requests of about
// the same service time. Requests that can be answered in time go before those
// that can't, and none waits longer than helps. It returns t.
func (t *Request) WithSoftDeadline(wanted clock.Millis, class string) *Request {
	t.softDeadline, t.class = wanted, class
	return t
}

// Deadline returns the request's deadline.
func (t *Request) Deadline() clock.Millis { return t.deadline }

// Priority returns the request's priority.
func (t *Request) Priority() template.Priority { return t.priority }

// Action is Admit or Refuse.
type Action interface {
	isAction()
	// Request returns the ticket that the action is about.
	Request() *Request
}

// Admit means that the request may be sent now.
type Admit struct{ request *Request }

// Refuse means that the request will not be sent.
type Refuse struct {
	request *Request
	reason  outcome.Reason
}

func (Admit) isAction()  {}
func (Refuse) isAction() {}

// Request returns the admitted ticket.
func (a Admit) Request() *Request { return a.request }

// Request returns the refused ticket.
func (r Refuse) Request() *Request { return r.request }

// Reason returns overloaded or queue-timeout.
func (r Refuse) Reason() outcome.Reason { return r.reason }

// State is the state of admission to one upstream. It has no clock and is
// not safe for concurrent use. The zero value has one slot.
type State struct {
	settings      Settings
	coldStartedAt clock.Millis
	// queue is ordered by descending priority, then deadline, then arrival.
	queue    []*Request
	sequence uint64
	inFlight int
	// reduction is how far the limit stands below the slots since refusals.
	reduction float64
	reducedAt clock.Millis
	// meanServiceMillis is the measured time for which an order holds its slot.
	meanServiceMillis float64
	// classServiceMillis are the service times of classes.
	classServiceMillis map[string]float64
	// unaccountedInFlight is what a report names beyond the orders that this daemon sent.
	unaccountedInFlight int
	reportedSlots       int
	reportedAt          clock.Millis
	busySlotMillis      uint64
}

// NewState returns a machine whose cold start begins at now.
func NewState(now clock.Millis, settings Settings) *State {
	return &State{settings: settings, coldStartedAt: now}
}

// UpdateSettings replaces the settings, as the upstream announced itself. Settings
// that differ start a cold start; an upstream may repeat its announcement.
func (m *State) UpdateSettings(now clock.Millis, settings Settings) {
	if m.settings == settings {
		return
	}
	m.settings = settings
	m.BeginColdStart(now)
}

// BeginColdStart starts a cold start, as the upstream has a new process.
func (m *State) BeginColdStart(now clock.Millis) {
	m.coldStartedAt = now
	m.reduction, m.unaccountedInFlight, m.reportedSlots = 0, 0, 0
}

// InFlight returns the admitted requests that have not released their slot.
func (m *State) InFlight() int { return m.inFlight }

// Queued returns the waiting requests.
func (m *State) Queued() int { return len(m.queue) }

// ServiceMillis returns the measured time for which an order holds its slot, 0
// if there was none.
func (m *State) ServiceMillis() clock.Millis { return clock.Millis(m.meanServiceMillis) }

// BusySlotMillis returns the slot-milliseconds of all released requests.
func (m *State) BusySlotMillis() uint64 { return m.busySlotMillis }

// Limit returns how many requests may be in flight at now, at least 1.
func (m *State) Limit(now clock.Millis) int {
	slots := max(m.settings.Slots, 1)
	limit := slots - int(math.Ceil(m.reduction))
	limit = min(limit, m.coldStartLimit(now, slots))
	if now-m.reportedAt <= reportMaxAge {
		limit = min(limit-min(m.unaccountedInFlight, slots/2), m.reportedLimit(slots))
	}
	return max(limit, 1)
}

func (m *State) coldStartLimit(now clock.Millis, slots int) int {
	elapsed := now - m.coldStartedAt
	if elapsed >= m.settings.ColdStart {
		return slots
	}
	share := max(coldStartShare, float64(elapsed)/float64(m.settings.ColdStart))
	return int(math.Ceil(share * float64(slots)))
}

func (m *State) reportedLimit(slots int) int {
	if m.reportedSlots <= 0 {
		return slots
	}
	return m.reportedSlots
}

// Submit takes a new request. It appends to actions those that follow, which
// may refuse other requests; a request without an action waits.
func (m *State) Submit(now clock.Millis, ticket *Request, actions []Action) []Action {
	if ticket.deadline <= now {
		return append(actions, Refuse{request: ticket, reason: outcome.ReasonQueueTimeout})
	}
	if len(m.queue) == 0 && m.inFlight < m.Limit(now) {
		// A free slot takes any request, however long the measured service time:
		// otherwise a time that was once long would never be measured again.
		return append(actions, m.admit(now, ticket))
	}
	m.sequence++
	ticket.sequence, ticket.submittedAt = m.sequence, now
	ticket.missesSoftDeadline = m.willMissSoftDeadline(now, ticket)
	index, _ := slices.BinarySearchFunc(m.queue, ticket, compareRequests)
	m.queue = slices.Insert(m.queue, index, ticket)
	waiting := len(m.queue)
	// The limit may have risen since the last event.
	actions = m.dispatch(now, actions)
	return m.shed(now, max(0, index-(waiting-len(m.queue))), actions)
}

// Release takes the end of an admitted request that the upstream took.
func (m *State) Release(now clock.Millis, ticket *Request, actions []Action) []Action {
	m.freeSlot(now, ticket)
	held := float64(max(now-ticket.admittedAt, 0))
	m.meanServiceMillis = movingAverage(m.meanServiceMillis, held)
	m.recordClassService(ticket.class, held)
	if m.reduction > 0 && now-m.reducedAt > decreaseInterval {
		m.reduction = max(0, m.reduction-1/float64(m.Limit(now)))
	}
	return m.dispatch(now, actions)
}

func movingAverage(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + serviceSampleWeight*(sample-mean)
}

func (m *State) recordClassService(class string, held float64) {
	if class == "" {
		return
	}
	if _, known := m.classServiceMillis[class]; !known && len(m.classServiceMillis) >= maxClasses {
		return
	}
	if m.classServiceMillis == nil {
		m.classServiceMillis = make(map[string]float64)
	}
	m.classServiceMillis[class] = movingAverage(m.classServiceMillis[class], held)
}

// expectedServiceMillis returns the expected service time of a request.
func (m *State) expectedServiceMillis(ticket *Request) float64 {
	if measured, ok := m.classServiceMillis[ticket.class]; ok {
		return measured
	}
	return m.meanServiceMillis
}

// willMissSoftDeadline tells whether a request that starts at now is expected to end after its
// answer is wanted.
func (m *State) willMissSoftDeadline(now clock.Millis, ticket *Request) bool {
	return ticket.softDeadline != 0 && float64(now)+m.expectedServiceMillis(ticket) > float64(ticket.softDeadline)
}

// ReleaseRefused takes the end of an admitted request that the upstream refused.
func (m *State) ReleaseRefused(now clock.Millis, ticket *Request, actions []Action) []Action {
	m.freeSlot(now, ticket)
	slots := float64(max(m.settings.Slots, 1))
	if m.reduction == 0 || now-m.reducedAt > decreaseInterval {
		m.reduction = slots - max(1, math.Floor((slots-m.reduction)*decreaseFactor))
		m.reducedAt = now
	}
	return m.dispatch(now, actions)
}

// ReleaseWithoutSample takes the end of an admitted request that was not sent: its time says
// nothing of the upstream.
func (m *State) ReleaseWithoutSample(now clock.Millis, ticket *Request, actions []Action) []Action {
	m.freeSlot(now, ticket)
	return m.dispatch(now, actions)
}

// Cancel removes a waiting request. It returns false if it is not waiting.
func (m *State) Cancel(ticket *Request) bool {
	index := slices.Index(m.queue, ticket)
	if index < 0 {
		return false
	}
	m.queue = slices.Delete(m.queue, index, index+1)
	return true
}

// UpdateLoad takes the upstream's own load report. Only what it names beyond the
// orders of this daemon counts, for at most half of the slots and until the
// report is old: the daemon knows its own orders better.
func (m *State) UpdateLoad(now clock.Millis, load upstream.Load, actions []Action) []Action {
	m.unaccountedInFlight = max(load.InFlight-m.inFlight, 0)
	m.reportedSlots, m.reportedAt = load.Slots, now
	return m.dispatch(now, actions)
}

func (m *State) admit(now clock.Millis, ticket *Request) Action {
	ticket.admittedAt = now
	m.inFlight++
	return Admit{request: ticket}
}

func (m *State) freeSlot(now clock.Millis, ticket *Request) {
	m.inFlight--
	m.busySlotMillis += uint64(max(now-ticket.admittedAt, 0))
}

// dispatch admits waiting requests to free slots, and refuses those that can't
// be answered in time any more.
func (m *State) dispatch(now clock.Millis, actions []Action) []Action {
	actions = m.updateQueue(now, actions)
	for len(m.queue) > 0 && m.inFlight < m.Limit(now) {
		next := m.queue[0]
		m.queue = slices.Delete(m.queue, 0, 1)
		if m.willMissDeadline(now, next, 0) {
			actions = append(actions, Refuse{request: next, reason: outcome.ReasonQueueTimeout})
			continue
		}
		actions = append(actions, m.admit(now, next))
	}
	return actions
}

// updateQueue refuses the requests that have waited for as long as helps, and moves
// those behind the others that have come to be late.
func (m *State) updateQueue(now clock.Millis, actions []Action) []Action {
	var overdue []*Request
	kept := m.queue[:0]
	wait := m.meanServiceMillis / float64(m.Limit(now))
	for _, ticket := range m.queue {
		switch {
		case ticket.softDeadline == 0:
			kept = append(kept, ticket)
		case m.exceedsMaxWait(now, ticket, wait*float64(len(kept))):
			actions = append(actions, Refuse{request: ticket, reason: outcome.ReasonOverloaded})
		case !ticket.missesSoftDeadline && m.willMissSoftDeadline(now, ticket):
			ticket.missesSoftDeadline = true
			overdue = append(overdue, ticket)
		default:
			kept = append(kept, ticket)
		}
	}
	clear(m.queue[len(kept):])
	m.queue = kept
	for _, ticket := range overdue {
		index, _ := slices.BinarySearchFunc(m.queue, ticket, compareRequests)
		m.queue = slices.Insert(m.queue, index, ticket)
	}
	return actions
}

// shed refuses the waiting requests from index on whose expected wait exceeds
// their deadline, and the last one if the queue is too long.
func (m *State) shed(now clock.Millis, index int, actions []Action) []Action {
	wait := m.meanServiceMillis / float64(m.Limit(now))
	kept := m.queue[:index]
	for _, ticket := range m.queue[index:] {
		full := len(kept) >= m.queueLimit()
		ahead := wait * float64(len(kept)+1)
		if full || m.willMissDeadline(now, ticket, ahead) || m.waitsTooLong(now, ticket, ahead) {
			actions = append(actions, Refuse{request: ticket, reason: outcome.ReasonOverloaded})
			continue
		}
		kept = append(kept, ticket)
	}
	clear(m.queue[len(kept):])
	m.queue = kept
	return actions
}

// waitsTooLong tells whether a request has to wait longer than helps.
func (m *State) waitsTooLong(now clock.Millis, ticket *Request, wait float64) bool {
	if ticket.softDeadline == 0 {
		return false
	}
	if m.exceedsMaxWait(now, ticket, wait) {
		return true
	}
	return !ticket.missesSoftDeadline && float64(now)+wait+m.expectedServiceMillis(ticket) > float64(ticket.softDeadline)
}

// exceedsMaxWait tells whether a request would wait longer than its patience.
func (m *State) exceedsMaxWait(now clock.Millis, ticket *Request, wait float64) bool {
	return wait > float64(ticket.submittedAt+ticket.maxWait()-now)
}

// maxWait returns for how long a request waits in all. One that is refused later
// has lost time that it could have used elsewhere.
func (t *Request) maxWait() clock.Millis {
	if t.missesSoftDeadline {
		return shortMaxWait
	}
	return max((t.softDeadline-t.submittedAt)/maxWaitDivisor, shortMaxWait)
}

// willMissDeadline tells whether a request that starts after wait milliseconds is expected
// to end after its deadline.
func (m *State) willMissDeadline(now clock.Millis, ticket *Request, wait float64) bool {
	return ticket.deadline <= now || float64(now)+wait+m.expectedServiceMillis(ticket) > float64(ticket.deadline)
}

func (m *State) queueLimit() int {
	if m.settings.QueueLimit > 0 {
		return m.settings.QueueLimit
	}
	return defaultQueuePerSlot * max(m.settings.Slots, 1)
}

func compareRequests(a, b *Request) int {
	switch {
	case a.priority != b.priority:
		return int(b.priority - a.priority)
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
