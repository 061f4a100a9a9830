package node

import (
	"cmp"
	"slices"
	"strconv"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/placement"
	"briarwell.dev/core/shard"
)

const (
	// planInterval is the time in milliseconds between two plans that may move
	// owned units.
	planInterval clock.Millis = 5000
	// firstAssignDelay is the time in milliseconds without a change of the members
	// before the first units of a service are assigned, so that the first member
	// does not get all of them.
	firstAssignDelay clock.Millis = 500
	// backupPlanners is the number of further members that assign units in place of the
	// planner, and deputyDelay the time in milliseconds after which each does:
	// several times what the planner needs for an assignment.
	backupPlanners                  = 2
	backupPlannerDelay clock.Millis = 2000
	// maxLoadReportAge is the time in milliseconds after which a load report is ignored.
	maxLoadReportAge = 3 * planInterval
	// maxGroupsPerCommit bounds the group rows of one assignment.
	maxGroupsPerCommit = 64
	// maxHotKeys bounds the hot keys of a service. Their entries are never merged
	// into the shards again, and all daemons copy them.
	maxHotKeys = 256
)

type loadReport struct {
	receivedAt clock.Millis
	report     peer.LoadReport
}

type plannerState struct {
	// dirty is set when units may have lost their owners.
	dirty            bool
	lastMemberChange clock.Millis
	memberCount      int
	nextPlan         clock.Millis
	// unownedSince is when a deputy first saw the present unowned units, 0 if
	// there are none.
	unownedSince clock.Millis
	loadReports  map[identity.Incarnation]loadReport
}

func (n *Node) handleLoadMeasured(e LoadMeasured) {
	service := n.ownState.announcement.Service()
	report := peer.NewLoadReport(service, e.interval, e.busy, n.ownState.announcement.Slots(), e.units)
	planner, ok := n.view.FirstActiveIn(service)
	switch {
	case !ok || !n.isRegistered():
	case planner.Incarnation() == n.incarnation:
		n.handleLoadReport(n.incarnation, report)
	default:
		n.send(planner.Instance().PeerAddress(), planner.Incarnation(), report)
	}
}

func (n *Node) handleLoadReport(from identity.Incarnation, report peer.LoadReport) {
	if report.Service() == n.ownRow.Announcement().Service() {
		n.planner.loadReports[from] = loadReport{receivedAt: n.now, report: report}
	}
}

// stepPlanner assigns unowned units of the node's service and asks owners to
// move others, if the node is the planner. Two planners at once are harmless: an
// assignment is conditional on the row, and only the owner carries out a move.
// The next members in order assign units that stay unowned for long, since the
// planner may not reach the table.
func (n *Node) stepPlanner() {
	service := n.ownRow.Announcement().Service()
	periodic := n.now >= n.planner.nextPlan
	if !n.planner.dirty && !periodic {
		return
	}
	rules, ok := n.catalog.Service(service.String())
	rank, active := n.plannerRank(service)
	if !ok || !rules.IsKeyed() || !active || !n.leaseValid() {
		n.planner.dirty = false
		n.planner.nextPlan = max(n.planner.nextPlan, n.now+TickInterval)
		return
	}
	if !n.sharedRowsSlot.isFree() {
		return
	}
	members := n.view.ActiveIn(service)
	if len(members) != n.planner.memberCount {
		n.planner.memberCount, n.planner.lastMemberChange = len(members), n.now
	}
	units, owned := n.placedUnits(service, rules.Shards())
	if owned == 0 && n.now-n.planner.lastMemberChange < firstAssignDelay {
		n.planner.dirty = true
		return
	}
	n.planner.dirty = false
	if periodic {
		n.planner.nextPlan = n.now + planInterval
	}
	if rank > 0 && !n.backupPlanDue(rank, owned < len(units)) {
		return
	}
	n.runPlan(service, n.placementInput(service, members, units), periodic && rank == 0)
}

// plannerRank returns the node's place among the active members of a service, or
// false if it is not one of the first.
func (n *Node) plannerRank(service identity.Service) (int, bool) {
	rank := 0
	for _, m := range n.view.AliveIn(service) {
		switch {
		case m.State() != membership.StateActive:
		case m.Incarnation() == n.incarnation:
			return rank, true
		case rank == backupPlanners:
			return 0, false
		default:
			rank++
		}
	}
	return 0, false
}

// backupPlanDue tells whether units were unowned for so long that a member of the
// given rank should assign them in place of the planner.
func (n *Node) backupPlanDue(rank int, unowned bool) bool {
	if !unowned {
		n.planner.unownedSince = 0
		return false
	}
	if n.planner.unownedSince == 0 {
		n.planner.unownedSince = n.now
	}
	n.planner.nextPlan = min(n.planner.nextPlan, n.now+backupPlannerDelay/4)
	return n.now-n.planner.unownedSince >= clock.Millis(rank)*backupPlannerDelay
}

// placedUnits returns the units of a service, with owner 0 for those whose owner is
// dead, and the number of owned ones.
func (n *Node) placedUnits(service identity.Service, shards uint32) ([]placement.PlacedUnit, int) {
	busy := n.unitLoads()
	units := make([]placement.PlacedUnit, 0, shards)
	owned := 0
	add := func(unit ownership.Unit, entry ownership.Entry) {
		owner := entry.Owner()
		if m, ok := n.view.Member(owner); ok && !m.Alive() {
			owner = 0
		}
		if owner != 0 {
			owned++
		}
		units = append(units, placement.NewPlacedUnit(unit, owner, busy[unit]))
	}
	for id := range shards {
		unit := ownership.NewUnit(shard.ID(id), "")
		add(unit, n.owners.Entry(service, unit))
	}
	hotKeys := 0
	for _, u := range n.owners.Units(service) {
		if u.Unit().HotKey() != "" {
			add(u.Unit(), u.Entry())
			hotKeys++
		}
	}
	for unit := range busy {
		if hotKeys < maxHotKeys && unit.HotKey() != "" && n.owners.Entry(service, unit) == (ownership.Entry{}) {
			add(unit, n.owners.Entry(service, ownership.NewUnit(unit.Shard(), "")))
		}
	}
	slices.SortFunc(units, func(a, b placement.PlacedUnit) int { return compareUnits(a.Unit(), b.Unit()) })
	return units, owned
}

func compareUnits(a, b ownership.Unit) int {
	return cmp.Or(cmp.Compare(a.Shard(), b.Shard()), cmp.Compare(a.HotKey(), b.HotKey()))
}

// unitLoads returns the slot-milliseconds of each unit that the fresh reports
// name.
func (n *Node) unitLoads() map[ownership.Unit]clock.Millis {
	busy := make(map[ownership.Unit]clock.Millis)
	for _, load := range n.planner.loadReports {
		if n.now-load.receivedAt > maxLoadReportAge {
			continue
		}
		for _, u := range load.report.Units() {
			busy[ownership.NewUnit(u.Shard(), u.HotKey())] += u.BusySlotMillis()
		}
	}
	return busy
}

func (n *Node) placementInput(service identity.Service, members []membership.Member, units []placement.PlacedUnit) placement.Input {
	var interval clock.Millis
	candidates := make([]placement.Candidate, 0, len(members))
	for _, m := range members {
		load, ok := n.planner.loadReports[m.Incarnation()]
		if !ok || n.now-load.receivedAt > maxLoadReportAge {
			load = loadReport{}
		}
		interval = max(interval, load.report.Interval())
		candidates = append(candidates, placement.NewCandidate(m.Incarnation(), m.Instance().Location(), m.Announcement().Slots(), load.report.BusySlotMillis()))
	}
	return placement.NewInput(service, n.now, interval, candidates, units)
}

// runPlan carries out the policy's moves: assignments at once, moves of owned units
// only if the plan is a periodic one.
func (n *Node) runPlan(service identity.Service, input placement.Input, periodic bool) {
	change := ownership.NewChange(n.owners)
	var takers []identity.Incarnation
	requests := make(map[identity.Incarnation][]peer.HandoverTarget)
	heldBack := n.moveBlockReason()
	if !periodic || heldBack != "" {
		input = input.AssignOnly()
	}
	moves := 0
	for _, move := range n.settings.policy.Plan(input) {
		switch {
		case move.From() == 0 && move.Unit().HotKey() != "" && n.owners.Entry(service, move.Unit()) == (ownership.Entry{}):
			// The owner of the shard, once there is one, may split the key off.
		case move.From() == 0 && change.GroupCount() < maxGroupsPerCommit:
			entry := n.owners.Entry(service, move.Unit())
			change.Set(service, move.Unit(), entry.Next(move.To(), entry.Owner() != 0))
			takers = append(takers, move.To())
		case move.From() == 0:
			n.planner.dirty = true
		case periodic:
			target := peer.NewHandoverTarget(move.Unit().Shard(), move.Unit().HotKey(), move.To())
			requests[move.From()] = append(requests[move.From()], target)
			moves++
		}
	}
	n.commitAssignment(service, change, takers)
	for _, c := range input.Candidates() {
		n.requestMoves(service, c.Incarnation(), requests[c.Incarnation()])
	}
	if periodic {
		n.emitPlan(input, moves, heldBack)
	}
}

func (n *Node) commitAssignment(service identity.Service, change *ownership.Change, takers []identity.Incarnation) {
	if len(takers) == 0 {
		return
	}
	n.logEvent("assignment", "service", service.String(), "units", strconv.Itoa(len(takers)))
	conditions, mutations := change.Build()
	n.commit(&n.sharedRowsSlot, conditions, mutations, func(committed bool) {
		n.planner.dirty = true
		if committed {
			n.sync.newOwners = append(n.sync.newOwners, takers...)
			n.logEvent("assignmentDone", "service", service.String(), "units", strconv.Itoa(len(takers)))
		}
	})
}

func (n *Node) requestMoves(service identity.Service, owner identity.Incarnation, targets []peer.HandoverTarget) {
	if len(targets) == 0 {
		return
	}
	n.logEvent("move", "service", service.String(), "owner", owner.String(), "units", strconv.Itoa(len(targets)))
	request := peer.NewHandover(service, targets)
	if owner == n.incarnation {
		n.handleHandover(request)
		return
	}
	if address, ok := n.peerAddress(owner); ok {
		n.send(address, owner, request)
	}
}
