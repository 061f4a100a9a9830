package app

import (
	"slices"
	"sync"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/era"
	"briarwell.dev/core/evacuation"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/freshness"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/membership"
	"briarwell.dev/sidecar/settings"
)

// startupWitnessPeriod is the time in milliseconds after the start in which witnesses are
// selected only among the sidecars whose member rows have changed since they were loaded.
// After all processes have ended, the other rows still name the ended processes.
const startupWitnessPeriod clock.Millis = 8000

// state holds the state machines of the sidecar. One lock protects them, which is never held
// during a call over the network. Only those of the gate and of the executor's coldGate are taken
// while it is held.
type state struct {
	incarnation identity.Incarnation
	instance    membership.Instance
	service     string
	// strength is that of this instance, as in fleet.Member.
	strength int

	mu            sync.Mutex
	view          fleet.View
	tracker       *heartbeat.Tracker
	keyController *keyowner.Controller
	leaseWitness  *keyowner.LeaseWitness
	startedAt     clock.Millis
	allRowsLoaded bool
	// updatedSinceLoad has the instances whose member rows have changed since all member
	// rows were loaded.
	updatedSinceLoad map[string]bool
	// unreachableUntil is the time, by instance, until which a sidecar that did not respond
	// is not used as a watcher or proposal target.
	unreachableUntil map[string]clock.Millis
	// candidatesChanged is set when the witness candidates of the key controller are out of
	// date. They are updated before they are used: at a start, hundreds of member rows arrive
	// at once.
	candidatesChanged bool
	// peerHolders are the members that are holders of the own service.
	peerHolders []membership.Member
	// domain is the state of this instance's failure domain, which leaves use within
	// outOfUseWithin milliseconds.
	domain         evacuation.Domain
	outOfUseWithin clock.Millis
	// encodedMember is the latest content of the own member row with its encoding. Only the
	// control loop uses it.
	encodedMember struct {
		member fleet.Member
		era    era.Era
		value  []byte
	}
	// manifest compares the revision of the manifest in use with the newest one.
	manifest freshness.Tracker
	// era is the newest known era of the store, eraSeenAt the time at which it was first known.
	era       era.Era
	eraSeenAt clock.Millis
	// changeLogs holds the newest changes of the assignments, by row key.
	changeLogs map[string]*fleet.ChangeLog
}

// thousandths converts cores to the unit of fleet.Member.Strength.
const thousandths = 1000

func newState(now clock.Millis, s settings.Sidecar, instance membership.Instance, incarnation identity.Incarnation) *state {
	tracker := heartbeat.NewTracker(s.Service(), s.UpstreamAddress())
	return &state{
		incarnation: incarnation, instance: instance, service: s.Service(), strength: int(s.CPUShare() * thousandths),
		tracker: tracker,
		keyController: keyowner.New(now, keyowner.Settings{
			Instance: instance, Incarnation: incarnation, HoldMax: s.HoldMax(),
		}, tracker),
		leaseWitness:     keyowner.NewLeaseWitness(incarnation),
		outOfUseWithin:   s.OutOfUseWithin(),
		unreachableUntil: make(map[string]clock.Millis),
		startedAt:        now,
		eraSeenAt:        now,
		updatedSinceLoad: make(map[string]bool),
		changeLogs:       make(map[string]*fleet.ChangeLog),
	}
}

// Owner returns the instance that owns the request's key, or false if none is known.
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

// applyRow updates the state with a changed row. The error is a *fleet.RowError if the
// row can't be read; the state is then unchanged.
func (s *state) applyRow(now clock.Millis, row era.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldView := s.view
	view, err := oldView.WithRow(row)
	if err != nil {
		return err
	}
	s.view = view
	if service, ok := fleet.AssignmentService(row.Key()); ok {
		before, after := oldView.Assignment(service), view.Assignment(service)
		if origin := before.Stamp.Origin(); after.Stamp.Origin().After(origin) {
			s.logChange(row.Key(), fleet.NewDelta(origin, after.Stamp, keyspace.Diff(before.Assignment, after.Assignment)))
			s.assignmentChanged(now, service)
		}
		return nil
	}
	if own, ok := view.Member(s.instance.Name()); ok && own.Incarnation != s.incarnation {
		s.tracker.RestoreDeparture(now, own.Departure)
	}
	if instance, ok := fleet.MemberInstance(row.Key()); ok {
		s.memberChanged(now, oldView, instance)
	}
	return nil
}

// applyVersion updates the state with the version of a row whose content is not newer than the known
// one.
func (s *state) applyVersion(now clock.Millis, row era.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = s.view.WithVersion(row.Key(), row.Version())
	if service, ok := fleet.AssignmentService(row.Key()); ok {
		s.assignmentChanged(now, service)
	}
}

// observeEra records an era of the store and reports whether it is newer than the known one.
func (s *state) observeEra(now clock.Millis, e era.Era) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e <= s.era {
		return false
	}
	s.era, s.eraSeenAt = e, now
	return true
}

// knownEra returns the newest known era of the store.
func (s *state) knownEra() era.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// absentRow returns the version of a row that the store does not have in the newest known era.
func (s *state) absentRow() era.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return era.NewRevision(s.era, 0)
}

// memberChanged passes the newest member on an instance to the state machines. The caller
// holds s.mu.
func (s *state) memberChanged(now clock.Millis, oldView fleet.View, instance string) {
	m, _ := s.view.Member(instance)
	oldMember, known := oldView.Member(instance)
	if s.allRowsLoaded && (!known || oldMember != m) {
		s.updatedSinceLoad[instance] = true
	}
	if known && oldMember.Incarnation != m.Incarnation {
		s.leaseWitness.RecordSuccessor(now, m.Instance.PeerAddress(), oldMember.Incarnation, m.Incarnation)
	}
	s.candidatesChanged = true
}

// applyDelta updates the state with a change of an assignment. The error is a
// *fleet.BaseError if the change is one of another revision than the known one, or a
// *fleet.RowError; the state is then unchanged.
func (s *state) applyDelta(now clock.Millis, key string, delta fleet.Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	view, err := s.view.WithDelta(key, delta)
	if err != nil {
		return err
	}
	s.view = view
	s.logChange(key, delta)
	service, _ := fleet.AssignmentService(key)
	s.assignmentChanged(now, service)
	return nil
}

// assignmentChanged passes the newest assignment of a service to the state machines. The
// caller holds s.mu.
func (s *state) assignmentChanged(now clock.Millis, service string) {
	versioned := s.view.Assignment(service)
	if service == s.service {
		s.keyController.HandleAssignment(now, versioned.Stamp, versioned.Assignment)
		s.peerHolders = s.holderMembers(service)
	}
	s.leaseWitness.WatchHolders(now, s.holderMembers(""))
}

// logChange adds a change of an assignment to its log. The caller holds s.mu.
func (s *state) logChange(key string, delta fleet.Delta) {
	log, ok := s.changeLogs[key]
	if !ok {
		log = &fleet.ChangeLog{}
		s.changeLogs[key] = log
	}
	log.Append(delta)
}

// changesSince returns the changes of an assignment that lead from the content of a revision to the
// newest one, or false if they are not known.
func (s *state) changesSince(key string, revision era.Revision) ([]fleet.Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log, ok := s.changeLogs[key]
	if !ok {
		return nil, false
	}
	deltas, ok := log.Since(revision)
	return slices.Clone(deltas), ok
}

// lastChange returns the change that led to the content of a revision of an assignment, or false if
// it is not known.
func (s *state) lastChange(key string, origin era.Revision) (fleet.Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log, ok := s.changeLogs[key]
	if !ok {
		return fleet.Delta{}, false
	}
	last, ok := log.Last()
	return last, ok && last.Stamp().Origin() == origin
}

// encodeAssignment returns the row of the known assignment under key.
func (s *state) encodeAssignment(key string) (era.Row, error) {
	service, _ := fleet.AssignmentService(key)
	s.mu.Lock()
	versioned := s.view.Assignment(service)
	s.mu.Unlock()
	value, err := versioned.Assignment.Encode()
	return era.NewRowAt(key, versioned.Stamp, value), err
}

// recordDeparture records that a process of the upstream announces its shutdown. It reports
// whether that is the known process.
func (s *state) recordDeparture(now clock.Millis, d heartbeat.Departure) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RecordDeparture(now, d)
}

// departureUnwritten reports whether a departure was announced to this sidecar that the known
// member row lacks.
func (s *state) departureUnwritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, _ := s.view.Member(s.instance.Name())
	return s.tracker.DepartureAnnounced() && own.Departure != s.tracker.Departure()
}

// recordIncarnation records that another incarnation than the expected one responded at a
// control address: the process of the expected one has ended. The caller holds s.mu.
func (s *state) recordIncarnation(now clock.Millis, address string, expected, actual identity.Incarnation) {
	s.leaseWitness.RecordSuccessor(now, address, expected, actual)
	s.candidatesChanged = true
	s.keyController.MarkWitnessEnded(expected)
}

// recordStoreAnswer records that the store answered at the given time.
func (s *state) recordStoreAnswer(at clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyController.HandleStoreAnswer(at)
}

// storeAnswerAge returns the age in milliseconds of the latest known answer of the store, nil
// if there is none.
func (s *state) storeAnswerAge(now clock.Millis) *clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.keyController.StoreAnsweredAt()
	if at == 0 {
		return nil
	}
	age := now - at
	return &age
}

// recordStoreAnswerAge records what another sidecar reported as the age of the store's latest
// answer, in a message of the given time. Most sidecars have no call to the store of their own
// for long.
func (s *state) recordStoreAnswerAge(at clock.Millis, age *clock.Millis) {
	if age != nil && *age >= 0 {
		s.recordStoreAnswer(at - *age)
	}
}

// avoidWitness excludes a sidecar that did not respond from the choice of witnesses for a
// while.
func (s *state) avoidWitness(now clock.Millis, incarnation identity.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyController.AvoidWitness(now, incarnation)
}

// holderMembers returns the members, with their leases, that are holders of a service, or
// of any service if service is empty. The caller holds s.mu.
func (s *state) holderMembers(service string) []membership.Member {
	var members []membership.Member
	for name, versioned := range s.view.Assignments() {
		if service != "" && service != name {
			continue
		}
		members = slices.Grow(members, len(versioned.Assignment.Holders()))
		for _, h := range versioned.Assignment.Holders() {
			members = append(members, h.Member())
		}
	}
	return members
}

// markLoaded records that all of the router's rows were loaded. An assignment that is
// still unknown then doesn't exist.
func (s *state) markLoaded(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allRowsLoaded = true
	versioned := s.view.Assignment(s.service)
	if versioned.Stamp == (era.Stamp{}) {
		versioned.Stamp = era.NewStamp(era.NewRevision(s.era, 0), era.Revision{})
	}
	s.keyController.HandleAssignment(now, versioned.Stamp, versioned.Assignment)
}

// witnessCandidates returns the members that may be witnesses. During startupWitnessPeriod
// these are only the members that are known to be running, if there are enough of them.
// The caller holds s.mu.
func (s *state) witnessCandidates(now clock.Millis) []membership.Member {
	members := s.view.Members()
	updatedOnly := now-s.startedAt < startupWitnessPeriod && len(s.updatedSinceLoad) > lease.WitnessCount
	candidates := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if updatedOnly && !s.updatedSinceLoad[m.Instance.Name()] {
			continue
		}
		incarnation := s.leaseWitness.CurrentIncarnation(m.Instance.PeerAddress(), m.Incarnation)
		candidates = append(candidates, membership.RestoreMember(incarnation, m.Instance, 0, nil))
	}
	return candidates
}

// nextChange returns the change of the own service's assignment that is due at now, if any. Cold
// is true while the upstream is cold. The owner regions are those of the service, nil if its keys
// may be owned in any region.
func (s *state) nextChange(now clock.Millis, cold bool, ownerRegions []string) (keyowner.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyController.SetCold(cold)
	if s.candidatesChanged {
		s.candidatesChanged = false
		s.keyController.SetMembers(s.witnessCandidates(now))
	}
	s.keyController.SetPlaceable(s.placeable(ownerRegions))
	return s.keyController.NextChange(now)
}

// dropChange returns the change that removes a holder whose lease has lapsed, and the
// service whose assignment it changes. It returns false if no assignment names the lease.
// The caller holds s.mu.
func (s *state) dropChange(now clock.Millis, member membership.Member) (keyowner.Change, string, bool) {
	for service, versioned := range s.view.Assignments() {
		if change, ok := keyowner.DropLapsed(now, s.eraSeenAt, versioned.Assignment, versioned.Stamp.Version(), member); ok {
			return change, service, true
		}
	}
	return keyowner.Change{}, "", false
}
