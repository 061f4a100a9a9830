package app

import (
	"sync"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/holding"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
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
	// others is when a witness's address was first seen to answer as another
	// incarnation.
	others map[identity.Incarnation]clock.Millis
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
		witness: witness.With(holding.Terms()),
		others:  make(map[identity.Incarnation]clock.Millis),
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

// take takes a changed row. The error says that it can't be read.
func (s *state) take(now clock.Millis, row table.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	view, err := s.view.With(row)
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
	s.custodian.Members(witnesses(view))
	return nil
}

// loaded takes the knowledge that all rows were read: a division that is not
// known does not exist.
func (s *state) loaded(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	divided := s.view.Division(s.service)
	s.custodian.Divided(now, divided.Revision, divided.Division)
}

func witnesses(view fleet.View) []membership.Member {
	var members []membership.Member
	for _, m := range view.Members() {
		members = append(members, membership.Restore(m.Incarnation, m.Instance, 0, nil))
	}
	return members
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
