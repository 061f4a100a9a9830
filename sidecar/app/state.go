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

// startupWitnessPeriod is the time in milliseconds after the start in which witnesses are chosen
// among the daemons whose rows have changed since: after the end of all processes the
// other rows name those that have ended.
const startupWitnessPeriod clock.Millis = 8000

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
	// startedAt is when this process was, fresh are the instances whose rows have
	// changed since the first reading.
	startedAt        clock.Millis
	allRowsLoaded    bool
	updatedSinceLoad map[string]bool
	// unreachableUntil are the ends of the times for which sidecars that did not answer
	// count as no readers, by instance.
	unreachableUntil map[string]clock.Millis
	// leaveAcknowledgedAt is when the upstream's leave was acknowledged, 0 if it was not.
	leaveAcknowledgedAt clock.Millis
}

func newState(now clock.Millis, s settings.Sidecar, instance membership.Instance, incarnation identity.Incarnation) *state {
	tracker := heartbeat.NewTracker(s.Service(), s.UpstreamAddress())
	return &state{
		incarnation: incarnation, instance: instance, service: s.Service(),
		tracker: tracker,
		custodian: keyowner.New(now, keyowner.Settings{
			Instance: instance, Incarnation: incarnation, HoldMax: s.HoldMax(),
		}, tracker),
		guard:            keyowner.NewLeaseWitness(incarnation),
		unreachableUntil: make(map[string]clock.Millis),
		startedAt:        now,
		updatedSinceLoad: make(map[string]bool),
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

// applyRow takes a changed row. The error says that it can't be read.
func (s *state) applyRow(now clock.Millis, row table.Row) error {
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
			s.custodian.HandleAssignment(now, divided.Revision, divided.Assignment)
		}
		s.guard.WatchHolders(now, s.holderLeases(""))
		return nil
	}
	for _, m := range view.Members() {
		old, known := before.Member(m.Instance.Name())
		if s.allRowsLoaded && (!known || old != m) {
			s.updatedSinceLoad[m.Instance.Name()] = true
		}
		if known && old.Incarnation != m.Incarnation {
			s.guard.RecordSuccessor(now, m.Instance.PeerAddress(), old.Incarnation, m.Incarnation)
		}
	}
	s.custodian.SetMembers(s.witnessCandidates(now))
	return nil
}

// recordIncarnation takes the incarnation that answered at the control address of
// another.
func (s *state) recordIncarnation(now clock.Millis, address string, asked, from identity.Incarnation) {
	s.guard.RecordSuccessor(now, address, asked, from)
	s.custodian.SetMembers(s.witnessCandidates(now))
	s.custodian.MarkWitnessEnded(asked)
}

// recordStoreAnswer notes that the store answered.
func (s *state) recordStoreAnswer(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.custodian.HandleStoreAnswer(now)
}

// avoidWitness notes that a daemon did not answer.
func (s *state) avoidWitness(now clock.Millis, i identity.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.custodian.AvoidWitness(now, i)
}

// holderLeases returns the leases of the holders of a service, of all if it is "";
// s.mu is held.
func (s *state) holderLeases(service string) []membership.Member {
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

// markLoaded takes the knowledge that all rows were read: a division that is not
// known does not exist.
func (s *state) markLoaded(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allRowsLoaded = true
	divided := s.view.Assignment(s.service)
	s.custodian.HandleAssignment(now, divided.Revision, divided.Assignment)
}

// witnessCandidates returns the daemons that may be witnesses: soon after the start those
// that are known to live, if there are enough.
func (s *state) witnessCandidates(now clock.Millis) []membership.Member {
	members := s.view.Members()
	freshOnly := now-s.startedAt < startupWitnessPeriod && len(s.updatedSinceLoad) > lease.WitnessCount
	candidates := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if freshOnly && !s.updatedSinceLoad[m.Instance.Name()] {
			continue
		}
		incarnation := s.guard.CurrentIncarnation(m.Instance.PeerAddress(), m.Incarnation)
		candidates = append(candidates, membership.RestoreMember(incarnation, m.Instance, 0, nil))
	}
	return candidates
}

// dropChange returns the change that drops a holder whose lease has lapsed, and the
// service whose division it changes.
func (s *state) dropChange(row membership.Member) (keyowner.Change, string, bool) {
	for service, divided := range s.view.Assignments() {
		if change, ok := keyowner.DropLapsed(divided.Assignment, divided.Revision, row); ok {
			return change, service, true
		}
	}
	return keyowner.Change{}, "", false
}
