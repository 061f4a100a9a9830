package app

import (
	"sync"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/holding"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/lease/replacer"
	"briarwell.dev/core/lease/witness"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/report"
	"briarwell.dev/core/table"
	"briarwell.dev/sidecar/settings"
)

// state holds the state machines of the sidecar under one lock, which is taken
// alone and never held over a call.
type state struct {
	incarnation identity.Incarnation
	instance    membership.Instance
	service     string

	mu        sync.Mutex
	view      fleet.View
	tracker   *report.Tracker
	custodian *holding.Custodian
	witness   *witness.Witness
	replacer  replacer.Replacer
	// succeeded is when an incarnation was first known to have a successor at its
	// address, which proves that its process has ended.
	succeeded map[identity.Incarnation]clock.Millis
	// current are the incarnations that have answered, by control address. They
	// are newer than the rows of daemons that were just started.
	current map[string]identity.Incarnation
	// leftAt is when the upstream's leave was acknowledged, 0 if it was not.
	leftAt clock.Millis
}

func newState(now clock.Millis, s settings.Sidecar, instance membership.Instance, incarnation identity.Incarnation) *state {
	tracker := report.NewTracker(s.Service(), s.UpstreamAddress())
	return &state{
		incarnation: incarnation, instance: instance, service: s.Service(),
		tracker: tracker,
		custodian: holding.New(now, holding.Settings{
			Instance: instance, Incarnation: incarnation, HoldMax: s.HoldMax(),
		}, tracker),
		witness:   witness.With(holding.Terms()),
		succeeded: make(map[identity.Incarnation]clock.Millis),
		current:   make(map[string]identity.Incarnation),
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

// Entries returns the number of known sidecars.
func (s *state) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Size()
}

// take takes a changed row. The error says that it can't be read.
func (s *state) take(now clock.Millis, row table.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.view
	view, err := before.With(row)
	if err != nil {
		return err
	}
	s.view = view
	if service, ok := fleet.DividedService(row.Key()); ok {
		divided := view.Division(service)
		if service == s.service {
			s.custodian.Divided(now, divided.Revision, divided.Division)
		}
		s.watch(now)
		return nil
	}
	for _, m := range view.Members() {
		old, known := before.Member(m.Instance.Name())
		if known && old.Incarnation != m.Incarnation {
			s.succeed(now, old.Incarnation)
			s.current[m.Instance.PeerAddress()] = m.Incarnation
		}
	}
	s.custodian.Members(s.candidates())
	return nil
}

// succeed notes that an incarnation's process has ended.
func (s *state) succeed(now clock.Millis, ended identity.Incarnation) {
	if _, known := s.succeeded[ended]; !known {
		s.succeeded[ended] = now
	}
}

// answered takes the incarnation that answered at the control address of
// another, whose process has therefore ended.
func (s *state) answered(now clock.Millis, address string, asked, from identity.Incarnation) {
	s.succeed(now, asked)
	s.current[address] = from
	s.custodian.Members(s.candidates())
	s.custodian.Gone(asked)
}

// gone tells whether all promises of a witness have certainly expired.
func (s *state) gone(now clock.Millis, i identity.Incarnation) bool {
	since, ok := s.succeeded[i]
	return ok && now-since >= holding.Terms().WitnessLength()
}

// avoid notes that a daemon did not answer.
func (s *state) avoid(now clock.Millis, i identity.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.custodian.Avoid(now, i)
}

// orphans returns the holders of the own service that nobody watches, as most of
// their witnesses have ended. The first holders in order look after them.
func (s *state) orphans(now clock.Millis) []membership.Member {
	var orphans []membership.Member
	for _, h := range s.view.Division(s.service).Division.Holders() {
		witnesses := h.Lease().Witnesses()
		ended := 0
		for _, w := range witnesses {
			if s.gone(now, w.Incarnation()) {
				ended++
			}
		}
		if h.Name() != s.instance.Name() && ended >= lease.LapseQuorum(len(witnesses)) {
			orphans = append(orphans, h.Lease())
		}
	}
	return orphans
}

// loaded takes the knowledge that all rows were read: a division that is not
// known does not exist.
func (s *state) loaded(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	divided := s.view.Division(s.service)
	s.custodian.Divided(now, divided.Revision, divided.Division)
}

// candidates returns the daemons that may be witnesses.
func (s *state) candidates() []membership.Member {
	members := s.view.Members()
	candidates := make([]membership.Member, 0, len(members))
	for _, m := range members {
		incarnation := m.Incarnation
		if current, ok := s.current[m.Instance.PeerAddress()]; ok {
			incarnation = current
		}
		candidates = append(candidates, membership.Restore(incarnation, m.Instance, 0, nil))
	}
	return candidates
}

// watch follows the holders that name this sidecar as a witness.
func (s *state) watch(now clock.Millis) {
	named := make(map[identity.Incarnation]bool)
	for _, divided := range s.view.Divisions() {
		for _, h := range divided.Division.Holders() {
			for i, w := range h.Lease().Witnesses() {
				if w.Incarnation() == s.incarnation {
					s.replacer.Watch(now, h.Lease(), i)
					named[h.Lease().Incarnation()] = true
				}
			}
		}
	}
	for _, row := range s.replacer.Holders() {
		if !named[row.Incarnation()] {
			s.replacer.Unwatch(row.Incarnation())
		}
	}
}

// lost returns the change that drops a holder whose lease has lapsed, and the
// service whose division it changes.
func (s *state) lost(row membership.Member) (holding.Change, string, bool) {
	for service, divided := range s.view.Divisions() {
		h, ok := divided.Division.Holder(row.Instance().Name())
		if !ok {
			continue
		}
		if change, ok := holding.Lose(divided.Division, divided.Revision, []keyspace.Holder{h}); ok && h.Lease().Incarnation() == row.Incarnation() {
			return change, service, true
		}
	}
	return holding.Change{}, "", false
}
