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
	// planInterval is the time in milliseconds between two plans that may move owned
	// units.
	planInterval clock.Millis = 5000
	// firstAssignDelay is the time in milliseconds for which the number of members must
	// not change before the first units of a service are assigned, so that the first
	// member does not get all of them.
	firstAssignDelay clock.Millis = 500
	// backupPlanners is the number of members that assign units in place of the planner
	// if the units stay unowned.
	backupPlanners = 2
	// backupPlannerDelay is the additional time in milliseconds after which each further
	// backup planner assigns unowned units. It is several times what the planner needs
	// for an assignment.
	backupPlannerDelay clock.Millis = 2000
	// maxLoadReportAge is the time in milliseconds after which a load report is ignored.
	maxLoadReportAge = 3 * planInterval
	// maxGroupsPerCommit is the maximum number of group rows of one assignment.
	maxGroupsPerCommit = 64
	// maxHotKeys is the maximum number of hot keys of a service. Their entries are never
	// merged back into the shards, and all daemons copy them.
	maxHotKeys = 256
)

type loadReport struct {
	receivedAt clock.Millis
	report     peer.LoadReport
}

type plannerState struct {
	// dirty is true if units may have lost their owners since the last plan.
	dirty            bool
	lastMemberChange clock.Millis
	memberCount      int
	nextPlan         clock.Millis
	// unownedSince is the time at which a backup planner first saw unowned units, or 0
	// if there are none.
	unownedSince clock.Millis
	loadReports  map[identity.Incarnation]loadReport
}

// handleLoadMeasured sends a load report to the planner of the service.
func (n *Node) handleLoadMeasured(e LoadMeasured) {
	service := n.ownState.announcement.Service()
	report := peer.NewLoadReport(service, e.interval, e.busySlotMillis, n.ownState.announcement.Slots(), e.units)
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

// stepPlanner assigns unowned units of the node's service and requests moves of others
// from their owners, if the node is the planner. Two planners at once are harmless: an
// assignment is conditional on the row, and only the owner performs a move. Backup
// planners assign units that stay unowned for long, since the planner may be unable to
// reach the table.
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

// plannerRank returns the node's rank among the active members of a service by ascending
// incarnation, or false if it is neither the planner (rank 0) nor a backup planner.
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

// backupPlanDue reports whether units have been unowned for so long that a member of the
// given rank must assign them in place of the planner.
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

// placedUnits returns the units of a service and the number of those that are owned.
// Units whose owner is dead have owner 0.
func (n *Node) placedUnits(service identity.Service, shards uint32) ([]placement.PlacedUnit, int) {
	unitLoads := n.unitLoads()
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
		units = append(units, placement.NewPlacedUnit(unit, owner, unitLoads[unit]))
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
	for unit := range unitLoads {
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

// unitLoads returns the slot-milliseconds of each unit in the load reports that are not
// older than maxLoadReportAge.
func (n *Node) unitLoads() map[ownership.Unit]clock.Millis {
	loads := make(map[ownership.Unit]clock.Millis)
	for _, load := range n.planner.loadReports {
		if n.now-load.receivedAt > maxLoadReportAge {
			continue
		}
		for _, u := range load.report.Units() {
			loads[ownership.NewUnit(u.Shard(), u.HotKey())] += u.BusySlotMillis()
		}
	}
	return loads
}

// placementInput returns the input of the placement policy for a service.
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

// runPlan runs the placement policy and applies its moves. Unowned units are assigned in
// each plan, and owned units are moved only in periodic plans.
func (n *Node) runPlan(service identity.Service, input placement.Input, periodic bool) {
	change := ownership.NewChange(n.owners)
	var newOwners []identity.Incarnation
	requests := make(map[identity.Incarnation][]peer.HandoverTarget)
	blockedReason := n.moveBlockReason()
	if !periodic || blockedReason != "" {
		input = input.AssignOnly()
	}
	moves := 0
	for _, move := range n.settings.policy.Plan(input) {
		switch {
		case move.From() == 0 && move.Unit().HotKey() != "" && n.owners.Entry(service, move.Unit()) == (ownership.Entry{}):
			// A key without its own entry can be split off only by the owner of its shard,
			// which does not exist yet.
		case move.From() == 0 && change.GroupCount() < maxGroupsPerCommit:
			entry := n.owners.Entry(service, move.Unit())
			change.Set(service, move.Unit(), entry.Next(move.To(), entry.Owner() != 0))
			newOwners = append(newOwners, move.To())
		case move.From() == 0:
			n.planner.dirty = true
		case periodic:
			target := peer.NewHandoverTarget(move.Unit().Shard(), move.Unit().HotKey(), move.To())
			requests[move.From()] = append(requests[move.From()], target)
			moves++
		}
	}
	n.commitAssignment(service, change, newOwners)
	for _, c := range input.Candidates() {
		n.requestMoves(service, c.Incarnation(), requests[c.Incarnation()])
	}
	if periodic {
		n.emitPlan(input, moves, blockedReason)
	}
}

// commitAssignment sends the transaction that assigns units to new owners.
func (n *Node) commitAssignment(service identity.Service, change *ownership.Change, newOwners []identity.Incarnation) {
	if len(newOwners) == 0 {
		return
	}
	n.logEvent("assignment", "service", service.String(), "units", strconv.Itoa(len(newOwners)))
	conditions, mutations := change.Build()
	n.commit(&n.sharedRowsSlot, conditions, mutations, func(committed bool) {
		n.planner.dirty = true
		if committed {
			n.sync.newOwners = append(n.sync.newOwners, newOwners...)
			n.logEvent("assignmentDone", "service", service.String(), "units", strconv.Itoa(len(newOwners)))
		}
	})
}

// requestMoves requests the moves of units from their owner.
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
