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
	// coldShare is the share of the slots at the start of a cold start.
	coldShare = 0.25
	// decrease is the factor of the limit after a refusal by the upstream.
	decrease = 0.7
	// decreaseInterval merges the refusals of one overload into one decrease, in
	// milliseconds; no increase happens within it.
	decreaseInterval clock.Millis = 200
	// reportLife is the age in milliseconds at which a load report is dropped.
	reportLife clock.Millis = 2000
	// serviceWeight is the weight of the newest sample in the service time.
	serviceWeight = 0.1
	// maxClasses bounds the classes whose service times are measured.
	maxClasses = 64
	// patienceShare is the part of the time until the answer is wanted for which a
	// request waits, as its divisor.
	patienceShare = 4
	// lateWait is how long in milliseconds a request waits whose answer can't be
	// there when it is wanted: it takes slots that nobody else wants.
	lateWait clock.Millis = 60
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

// Ticket is a request in a Machine. A Ticket is used once.
type Ticket struct {
	priority template.Priority
	deadline clock.Millis
	// wanted is when the answer should be there, 0 for the deadline.
	wanted clock.Millis
	// class names requests of about the same service time.
	class string
	// late tells that the answer can't be there when it is wanted.
	late      bool
	submitted clock.Millis
	sequence  uint64
	admitted  clock.Millis
	// wake tells the waiting goroutine of a Gate the verdict.
	wake chan outcome.Reason
}

// NewTicket returns a ticket for a request.
func NewTicket(priority template.Priority, deadline clock.Millis) *Ticket {
	return &Ticket{priority: priority, deadline: deadline}
}

// Wanted sets when the answer should be there, and the class of requests of about
// the same service time. Requests that can be answered in time go before those
// that can't, and none waits longer than helps. It returns t.
func (t *Ticket) Wanted(wanted clock.Millis, class string) *Ticket {
	t.wanted, t.class = wanted, class
	return t
}

// Deadline returns the request's deadline.
func (t *Ticket) Deadline() clock.Millis { return t.deadline }

// Priority returns the request's priority.
func (t *Ticket) Priority() template.Priority { return t.priority }

// Action is Admit or Refuse.
type Action interface {
	isAction()
	// Ticket returns the ticket that the action is about.
	Ticket() *Ticket
}

// Admit means that the request may be sent now.
type Admit struct{ ticket *Ticket }

// Refuse means that the request will not be sent.
type Refuse struct {
	ticket *Ticket
	reason outcome.Reason
}

func (Admit) isAction()  {}
func (Refuse) isAction() {}

// Ticket returns the admitted ticket.
func (a Admit) Ticket() *Ticket { return a.ticket }

// Ticket returns the refused ticket.
func (r Refuse) Ticket() *Ticket { return r.ticket }

// Reason returns overloaded or queue-timeout.
func (r Refuse) Reason() outcome.Reason { return r.reason }

// Machine is the state of admission to one upstream. It has no clock and is
// not safe for concurrent use. The zero value has one slot.
type Machine struct {
	settings  Settings
	announced clock.Millis
	// queue is ordered by descending priority, then deadline, then arrival.
	queue    []*Ticket
	sequence uint64
	inFlight int
	// reduction is how far the limit stands below the slots since refusals.
	reduction float64
	reduced   clock.Millis
	// service is the measured time for which an order holds its slot.
	service float64
	// classes are the service times of classes.
	classes map[string]float64
	// excess is what a report names beyond the orders that this daemon sent.
	excess        int
	reportedSlots int
	reported      clock.Millis
	busyMillis    uint64
}

// NewMachine returns a machine whose cold start begins at now.
func NewMachine(now clock.Millis, settings Settings) *Machine {
	return &Machine{settings: settings, announced: now}
}

// Announce replaces the settings, as the upstream announced itself. Settings
// that differ start a cold start; an upstream may repeat its announcement.
func (m *Machine) Announce(now clock.Millis, settings Settings) {
	if m.settings == settings {
		return
	}
	m.settings = settings
	m.Restarted(now)
}

// Restarted starts a cold start, as the upstream has a new process.
func (m *Machine) Restarted(now clock.Millis) {
	m.announced = now
	m.reduction, m.excess, m.reportedSlots = 0, 0, 0
}

// InFlight returns the admitted requests that have not released their slot.
func (m *Machine) InFlight() int { return m.inFlight }

// Queued returns the waiting requests.
func (m *Machine) Queued() int { return len(m.queue) }

// ServiceMillis returns the measured time for which an order holds its slot, 0
// if there was none.
func (m *Machine) ServiceMillis() clock.Millis { return clock.Millis(m.service) }

// BusyMillis returns the slot-milliseconds of all released requests.
func (m *Machine) BusyMillis() uint64 { return m.busyMillis }

// Limit returns how many requests may be in flight at now, at least 1.
func (m *Machine) Limit(now clock.Millis) int {
	slots := max(m.settings.Slots, 1)
	limit := slots - int(math.Ceil(m.reduction))
	limit = min(limit, m.coldLimit(now, slots))
	if now-m.reported <= reportLife {
		limit = min(limit-min(m.excess, slots/2), m.reportLimit(slots))
	}
	return max(limit, 1)
}

func (m *Machine) coldLimit(now clock.Millis, slots int) int {
	elapsed := now - m.announced
	if elapsed >= m.settings.ColdStart {
		return slots
	}
	share := max(coldShare, float64(elapsed)/float64(m.settings.ColdStart))
	return int(math.Ceil(share * float64(slots)))
}

func (m *Machine) reportLimit(slots int) int {
	if m.reportedSlots <= 0 {
		return slots
	}
	return m.reportedSlots
}

// Submit takes a new request. It appends to actions those that follow, which
// may refuse other requests; a request without an action waits.
func (m *Machine) Submit(now clock.Millis, ticket *Ticket, actions []Action) []Action {
	if ticket.deadline <= now {
		return append(actions, Refuse{ticket: ticket, reason: outcome.ReasonQueueTimeout})
	}
	if len(m.queue) == 0 && m.inFlight < m.Limit(now) {
		// A free slot takes any request, however long the measured service time:
		// otherwise a time that was once long would never be measured again.
		return append(actions, m.admit(now, ticket))
	}
	m.sequence++
	ticket.sequence, ticket.submitted = m.sequence, now
	ticket.late = m.misses(now, ticket)
	index, _ := slices.BinarySearchFunc(m.queue, ticket, compare)
	m.queue = slices.Insert(m.queue, index, ticket)
	waiting := len(m.queue)
	// The limit may have risen since the last event.
	actions = m.dispatch(now, actions)
	return m.shed(now, max(0, index-(waiting-len(m.queue))), actions)
}

// Release takes the end of an admitted request that the upstream took.
func (m *Machine) Release(now clock.Millis, ticket *Ticket, actions []Action) []Action {
	m.leave(now, ticket)
	held := float64(max(now-ticket.admitted, 0))
	m.service = smooth(m.service, held)
	m.measure(ticket.class, held)
	if m.reduction > 0 && now-m.reduced > decreaseInterval {
		m.reduction = max(0, m.reduction-1/float64(m.Limit(now)))
	}
	return m.dispatch(now, actions)
}

func smooth(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + serviceWeight*(sample-mean)
}

func (m *Machine) measure(class string, held float64) {
	if class == "" {
		return
	}
	if _, known := m.classes[class]; !known && len(m.classes) >= maxClasses {
		return
	}
	if m.classes == nil {
		m.classes = make(map[string]float64)
	}
	m.classes[class] = smooth(m.classes[class], held)
}

// serviceOf returns the expected service time of a request.
func (m *Machine) serviceOf(ticket *Ticket) float64 {
	if measured, ok := m.classes[ticket.class]; ok {
		return measured
	}
	return m.service
}

// misses tells whether a request that starts at now is expected to end after its
// answer is wanted.
func (m *Machine) misses(now clock.Millis, ticket *Ticket) bool {
	return ticket.wanted != 0 && float64(now)+m.serviceOf(ticket) > float64(ticket.wanted)
}

// Refused takes the end of an admitted request that the upstream refused.
func (m *Machine) Refused(now clock.Millis, ticket *Ticket, actions []Action) []Action {
	m.leave(now, ticket)
	slots := float64(max(m.settings.Slots, 1))
	if m.reduction == 0 || now-m.reduced > decreaseInterval {
		m.reduction = slots - max(1, math.Floor((slots-m.reduction)*decrease))
		m.reduced = now
	}
	return m.dispatch(now, actions)
}

// Unsent takes the end of an admitted request that was not sent: its time says
// nothing of the upstream.
func (m *Machine) Unsent(now clock.Millis, ticket *Ticket, actions []Action) []Action {
	m.leave(now, ticket)
	return m.dispatch(now, actions)
}

// Cancel removes a waiting request. It returns false if it is not waiting.
func (m *Machine) Cancel(ticket *Ticket) bool {
	index := slices.Index(m.queue, ticket)
	if index < 0 {
		return false
	}
	m.queue = slices.Delete(m.queue, index, index+1)
	return true
}

// Report takes the upstream's own load report. Only what it names beyond the
// orders of this daemon counts, for at most half of the slots and until the
// report is old: the daemon knows its own orders better.
func (m *Machine) Report(now clock.Millis, load upstream.Load, actions []Action) []Action {
	m.excess = max(load.InFlight-m.inFlight, 0)
	m.reportedSlots, m.reported = load.Slots, now
	return m.dispatch(now, actions)
}

func (m *Machine) admit(now clock.Millis, ticket *Ticket) Action {
	ticket.admitted = now
	m.inFlight++
	return Admit{ticket: ticket}
}

func (m *Machine) leave(now clock.Millis, ticket *Ticket) {
	m.inFlight--
	m.busyMillis += uint64(max(now-ticket.admitted, 0))
}

// dispatch admits waiting requests to free slots, and refuses those that can't
// be answered in time any more.
func (m *Machine) dispatch(now clock.Millis, actions []Action) []Action {
	actions = m.sweep(now, actions)
	for len(m.queue) > 0 && m.inFlight < m.Limit(now) {
		next := m.queue[0]
		m.queue = slices.Delete(m.queue, 0, 1)
		if m.late(now, next, 0) {
			actions = append(actions, Refuse{ticket: next, reason: outcome.ReasonQueueTimeout})
			continue
		}
		actions = append(actions, m.admit(now, next))
	}
	return actions
}

// sweep refuses the requests that have waited for as long as helps, and moves
// those behind the others that have come to be late.
func (m *Machine) sweep(now clock.Millis, actions []Action) []Action {
	var overdue []*Ticket
	kept := m.queue[:0]
	wait := m.service / float64(m.Limit(now))
	for _, ticket := range m.queue {
		switch {
		case ticket.wanted == 0:
			kept = append(kept, ticket)
		case m.impatient(now, ticket, wait*float64(len(kept))):
			actions = append(actions, Refuse{ticket: ticket, reason: outcome.ReasonOverloaded})
		case !ticket.late && m.misses(now, ticket):
			ticket.late = true
			overdue = append(overdue, ticket)
		default:
			kept = append(kept, ticket)
		}
	}
	clear(m.queue[len(kept):])
	m.queue = kept
	for _, ticket := range overdue {
		index, _ := slices.BinarySearchFunc(m.queue, ticket, compare)
		m.queue = slices.Insert(m.queue, index, ticket)
	}
	return actions
}

// shed refuses the waiting requests from index on whose expected wait exceeds
// their deadline, and the last one if the queue is too long.
func (m *Machine) shed(now clock.Millis, index int, actions []Action) []Action {
	wait := m.service / float64(m.Limit(now))
	kept := m.queue[:index]
	for _, ticket := range m.queue[index:] {
		full := len(kept) >= m.queueLimit()
		ahead := wait * float64(len(kept)+1)
		if full || m.late(now, ticket, ahead) || m.hopeless(now, ticket, ahead) {
			actions = append(actions, Refuse{ticket: ticket, reason: outcome.ReasonOverloaded})
			continue
		}
		kept = append(kept, ticket)
	}
	clear(m.queue[len(kept):])
	m.queue = kept
	return actions
}

// hopeless tells whether a request has to wait longer than helps.
func (m *Machine) hopeless(now clock.Millis, ticket *Ticket, wait float64) bool {
	if ticket.wanted == 0 {
		return false
	}
	if m.impatient(now, ticket, wait) {
		return true
	}
	return !ticket.late && float64(now)+wait+m.serviceOf(ticket) > float64(ticket.wanted)
}

// impatient tells whether a request would wait longer than its patience.
func (m *Machine) impatient(now clock.Millis, ticket *Ticket, wait float64) bool {
	return wait > float64(ticket.submitted+ticket.patience()-now)
}

// patience returns for how long a request waits in all. One that is refused later
// has lost time that it could have used elsewhere.
func (t *Ticket) patience() clock.Millis {
	if t.late {
		return lateWait
	}
	return max((t.wanted-t.submitted)/patienceShare, lateWait)
}

// late tells whether a request that starts after wait milliseconds is expected
// to end after its deadline.
func (m *Machine) late(now clock.Millis, ticket *Ticket, wait float64) bool {
	return ticket.deadline <= now || float64(now)+wait+m.serviceOf(ticket) > float64(ticket.deadline)
}

func (m *Machine) queueLimit() int {
	if m.settings.QueueLimit > 0 {
		return m.settings.QueueLimit
	}
	return defaultQueuePerSlot * max(m.settings.Slots, 1)
}

func compare(a, b *Ticket) int {
	switch {
	case a.priority != b.priority:
		return int(b.priority - a.priority)
	case a.late != b.late:
		if a.late {
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
