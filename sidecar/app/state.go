package app

import (
	"sync"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/table"
	"briarwell.dev/sidecar/settings"
)

// freshTime is the time in milliseconds after the start in which witnesses are chosen
// among the daemons whose rows have changed since: after the end of all processes the
// other rows name those that have ended.
const freshTime clock.Millis = 8000

// state holds the state machines of the sidecar under one lock, which is taken
// alone and never held over a call.
type state struct {
	incarnation identity.Incarnation
	instance    membership.Instance
	service     string

	mu        sync.Mutex
	view      fleet.View
	tracker   *heartbeat.Tracker
	custodian *keyowner.Controller
	guard     *keyowner.LeaseWitness
	// started is when this process was, fresh are the instances whose rows have
	// changed since the first reading.
	started clock.Millis
	read    bool
	fresh   map[string]bool
	// absentUntil are the ends of the times for which sidecars that did not answer
	// count as no readers, by instance.
	absentUntil map[string]clock.Millis
	// leftAt is when the upstream's leave was acknowledged, 0 if it was not.
	leftAt clock.Millis
}

func newState(now clock.Millis, s settings.Sidecar, instance membership.Instance, incarnation identity.Incarnation) *state {
	tracker := heartbeat.NewTracker(s.Service(), s.UpstreamAddress())
	return &state{
		incarnation: incarnation, instance: instance, service: s.Service(),
		tracker: tracker,
		custodian: keyowner.New(now, keyowner.Settings{
			Instance: instance, Incarnation: incarnation, HoldMax: s.HoldMax(),
		}, tracker),
		guard:       keyowner.NewLeaseWitness(incarnation),
		absentUntil: make(map[string]clock.Millis),
		started:     now,
		fresh:       make(map[string]bool),
	}
}

// Owner returns the instance that owns the request's key.
func (s *state) Owner(service string, r *dispatch.Request) (dispatch.Target, bool) {
	s.mu.Lock()
	view := s.view
	s.mu.Unlock()
	return view.Owner(service, r)
}

// Instances returns the instances whose upstreams serve a service.
func (s *state) Instances(service string) []dispatch.Target {
	s.mu.Lock()
	view := s.view
	s.mu.Unlock()
	return view.Instances(service)
}

// DispatcherCount returns the number of known sidecars.
func (s *state) DispatcherCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.MemberCount()
}

// take takes a changed row. The error says that it can't be read.
func (s *state) take(now clock.Millis, row table.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.view
	view, err := before.WithRow(row)
	if err != nil {
		return err
	}
	s.view = view
	if service, ok := fleet.AssignmentService(row.Key()); ok {
		divided := view.Assignment(service)
		if service == s.service {
			s.custodian.HandleDivision(now, divided.Revision, divided.Assignment)
		}
		s.guard.WatchHolders(now, s.holders(""))
		return nil
	}
	for _, m := range view.Members() {
		old, known := before.Member(m.Instance.Name())
		if s.read && (!known || old != m) {
			s.fresh[m.Instance.Name()] = true
		}
		if known && old.Incarnation != m.Incarnation {
			s.guard.RecordSuccessor(now, m.Instance.PeerAddress(), old.Incarnation, m.Incarnation)
		}
	}
	s.custodian.SetMembers(s.candidates(now))
	return nil
}

// answered takes the incarnation that answered at the control address of
// another.
func (s *state) answered(now clock.Millis, address string, asked, from identity.Incarnation) {
	s.guard.RecordSuccessor(now, address, asked, from)
	s.custodian.SetMembers(s.candidates(now))
	s.custodian.MarkWitnessEnded(asked)
}

// storeAnswered notes that the store answered.
func (s *state) storeAnswered(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.custodian.HandleStoreAnswer(now)
}

// avoid notes that a daemon did not answer.
func (s *state) avoid(now clock.Millis, i identity.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.custodian.AvoidWitness(now, i)
}

// holders returns the leases of the holders of a service, of all if it is "";
// s.mu is held.
func (s *state) holders(service string) []membership.Member {
	var rows []membership.Member
	for name, divided := range s.view.Assignments() {
		if service != "" && service != name {
			continue
		}
		for _, h := range divided.Assignment.Holders() {
			rows = append(rows, h.Member())
		}
	}
	return rows
}

// loaded takes the knowledge that all rows were read: a division that is not
// known does not exist.
func (s *state) loaded(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = true
	divided := s.view.Assignment(s.service)
	s.custodian.HandleDivision(now, divided.Revision, divided.Assignment)
}

// candidates returns the daemons that may be witnesses: soon after the start those
// that are known to live, if there are enough.
func (s *state) candidates(now clock.Millis) []membership.Member {
	members := s.view.Members()
	freshOnly := now-s.started < freshTime && len(s.fresh) > lease.WitnessCount
	candidates := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if freshOnly && !s.fresh[m.Instance.Name()] {
			continue
		}
		incarnation := s.guard.CurrentIncarnation(m.Instance.PeerAddress(), m.Incarnation)
		candidates = append(candidates, membership.RestoreMember(incarnation, m.Instance, 0, nil))
	}
	return candidates
}

// lost returns the change that drops a holder whose lease has lapsed, and the
// service whose division it changes.
func (s *state) lost(row membership.Member) (keyowner.Change, string, bool) {
	for service, divided := range s.view.Assignments() {
		if change, ok := keyowner.DropLapsed(divided.Assignment, divided.Revision, row); ok {
			return change, service, true
		}
	}
	return keyowner.Change{}, "", false
}
