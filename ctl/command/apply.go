package command

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/table"
)

type pendingRegionJSON struct {
	Region  string              `json:"region"`
	Members []pendingMemberJSON `json:"members"`
}

type pendingMemberJSON struct {
	Instance    string               `json:"instance"`
	Incarnation identity.Incarnation `json:"incarnation"`
	Reason      string               `json:"reason"`
}

type applyStateJSON struct {
	State   string              `json:"state"`
	Version uint64              `json:"version"`
	Regions []pendingRegionJSON `json:"regions,omitempty"`
	Fields  []changeJSON        `json:"fields,omitempty"`
}

func runApply(ctx context.Context, inv *invocation) error {
	edit, err := inv.readEdit()
	if err != nil {
		return err
	}
	applied, err := rollout.NewEditor(inv.table, inv.store).Apply(ctx, edit)
	if err != nil {
		return err
	}
	if err := inv.printStoredEdit(applied); err != nil {
		return err
	}
	return inv.waitForAcceptance(ctx, rollout.NewAcceptanceTracker(applied.Version(), applied.Revision()))
}

func (inv *invocation) readEdit() (rollout.Edit, error) {
	expectedVersion, err := strconv.ParseUint(inv.expectedVersion, 10, 64)
	if err != nil {
		return rollout.Edit{}, newInputError("--expect: found %q, allowed: the stored version shown by status, or 0 for the first edit", inv.expectedVersion)
	}
	if inv.author == "" {
		return rollout.Edit{}, newInputError("--author: found nothing, allowed: a name, because the operating system user of this process has none")
	}
	documents, err := readFiles(inv.files)
	if err != nil {
		return rollout.Edit{}, err
	}
	return rollout.NewEdit(inv.newEditID(), inv.author, expectedVersion, inv.now().UnixMilli(), documents...), nil
}

func (inv *invocation) printStoredEdit(applied rollout.AppliedEdit) error {
	plan := applied.Plan()
	if inv.jsonOutput {
		return inv.printJSON(applyStateJSON{State: rollout.Stored{}.String(), Version: plan.Version(), Fields: changesJSON(plan.FieldChanges())})
	}
	if plan.IsEmpty() {
		inv.printf("stored: version %d already contains these documents\n", plan.Version())
		return nil
	}
	inv.printf("stored: version %d by %s\n", plan.Version(), inv.author)
	inv.printChanges("fields", plan.FieldChanges())
	inv.printChanges("effect on services", plan.RuleChanges())
	inv.printWarnings(catalogWarnings(plan.Catalog()))
	return nil
}

// waitForAcceptance polls the members until the version is accepted, the timeout
// expires or the operator interrupts the command. An outage of the table does not
// end the wait.
func (inv *invocation) waitForAcceptance(ctx context.Context, tracker *rollout.AcceptanceTracker) error {
	waitCtx, cancel := context.WithTimeout(ctx, inv.applyTimeout)
	defer cancel()
	lastPrinted := ""
	var lastErr error
	for {
		err := inv.pollAcceptance(waitCtx, tracker)
		if waitCtx.Err() != nil {
			return inv.newPendingError(ctx, tracker, lastErr)
		}
		if err == nil {
			err = inv.printStateChange(tracker, &lastPrinted)
			if _, accepted := tracker.State().(rollout.Accepted); accepted {
				return err
			}
		}
		if err != nil && !isRetryable(err) {
			return err
		}
		lastErr = err
		_ = sleep(waitCtx, inv.pollInterval)
	}
}

// newPendingError returns the error for a wait that ended without acceptance.
// lastErr is the error of the last poll before the wait ended, or nil.
func (inv *invocation) newPendingError(ctx context.Context, tracker *rollout.AcceptanceTracker, lastErr error) error {
	cause := fmt.Sprintf("not accepted within %v", inv.applyTimeout)
	if ctx.Err() != nil {
		cause = "interrupted"
	}
	if lastErr != nil {
		cause += "; last error: " + lastErr.Error()
	}
	return &PendingError{version: tracker.Version(), cause: cause}
}

// pollAcceptance reads the accepted version and the member rows and requests the
// status of the members that have not confirmed. When all members have confirmed,
// it writes the accepted version.
func (inv *invocation) pollAcceptance(ctx context.Context, tracker *rollout.AcceptanceTracker) error {
	acceptedVersion, err := rollout.ReadAcceptedVersion(ctx, inv.table)
	if err != nil {
		return err
	}
	if tracker.Step(rollout.NewAcceptedVersionRead(acceptedVersion)) && acceptedVersion >= tracker.Version() {
		return nil
	}
	if err := inv.pollMembers(ctx, tracker); err != nil {
		return err
	}
	if _, accepted := tracker.State().(rollout.Accepted); !accepted {
		return nil
	}
	return rollout.MarkAccepted(ctx, inv.table, tracker.Version(), inv.now().UnixMilli())
}

// pollMembers passes the member rows, and the status of each member that has not
// confirmed the version, to the tracker.
func (inv *invocation) pollMembers(ctx context.Context, tracker *rollout.AcceptanceTracker) error {
	current, err := inv.readMembers(ctx)
	if err != nil {
		return err
	}
	members := make([]rollout.Member, 0, len(current.members))
	byIncarnation := make(map[identity.Incarnation]membership.Member, len(current.members))
	for _, m := range current.members {
		members = append(members, rollout.NewMember(m.Incarnation(), m.Instance().Name(), m.Instance().Location().Region(), !m.Alive()))
		byIncarnation[m.Incarnation()] = m
	}
	tracker.Step(rollout.NewMembersRead(current.revision, members))
	unconfirmed := tracker.UnconfirmedMembers()
	targets := make([]membership.Member, 0, len(unconfirmed))
	for _, m := range unconfirmed {
		targets = append(targets, byIncarnation[m.Incarnation()])
	}
	for _, status := range inv.requestStatuses(ctx, targets) {
		if status.err != nil {
			tracker.Step(rollout.NewStatusFailed(status.member.Incarnation(), "did not respond: "+statusMessage(status.err)))
			continue
		}
		tracker.Step(rollout.NewStatusReceived(status.member.Incarnation(), identity.Incarnation(status.response.GetIncarnation()), status.response.GetConfigVersion()))
	}
	return nil
}

// printStateChange prints the state if its text differs from lastPrinted, and
// updates lastPrinted.
func (inv *invocation) printStateChange(tracker *rollout.AcceptanceTracker, lastPrinted *string) error {
	state := applyStateJSON{State: tracker.State().String(), Version: tracker.Version()}
	lines := ""
	switch current := tracker.State().(type) {
	case rollout.Accepted:
		lines = fmt.Sprintf("accepted: version %d is in force in every region\n", tracker.Version())
	case rollout.Pending:
		state.Regions = pendingRegions(current)
		for _, region := range state.Regions {
			lines += fmt.Sprintf("pending in region %s: %d unconfirmed\n", region.Region, len(region.Members))
			for _, member := range region.Members {
				lines += fmt.Sprintf("  %s (%s): %s\n", member.Instance, member.Incarnation, member.Reason)
			}
		}
	}
	if lines == *lastPrinted {
		return nil
	}
	*lastPrinted = lines
	if inv.jsonOutput {
		return inv.printJSON(state)
	}
	inv.printf("%s", lines)
	return nil
}

func pendingRegions(pending rollout.Pending) []pendingRegionJSON {
	regions := make([]pendingRegionJSON, 0, len(pending.Regions()))
	for _, region := range pending.Regions() {
		members := make([]pendingMemberJSON, 0, len(region.Members()))
		for _, m := range region.Members() {
			members = append(members, pendingMemberJSON{Instance: m.Instance(), Incarnation: m.Incarnation(), Reason: m.Reason()})
		}
		regions = append(regions, pendingRegionJSON{Region: region.Region(), Members: members})
	}
	return regions
}

// isRetryable reports whether the next poll may succeed after the error: an outage
// of the table, or a conflict with another writer of the accepted version.
func isRetryable(err error) bool {
	var outage *table.OutageError
	return errors.As(err, &outage) || isConflict(err)
}

func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
