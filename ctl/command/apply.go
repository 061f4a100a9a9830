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

func runApply(ctx context.Context, c *invocation) error {
	edit, err := c.readEdit()
	if err != nil {
		return err
	}
	applied, err := rollout.NewEditor(c.table, c.store).Apply(ctx, edit)
	if err != nil {
		return err
	}
	if err := c.printStoredEdit(applied); err != nil {
		return err
	}
	return c.waitForAcceptance(ctx, rollout.NewAcceptanceTracker(applied.Version(), applied.Revision()))
}

func (c *invocation) readEdit() (rollout.Edit, error) {
	expect, err := strconv.ParseUint(c.expectedVersion, 10, 64)
	if err != nil {
		return rollout.Edit{}, newInputError("--expect: found %q, allowed: the version that status shows, 0 for the first edit", c.expectedVersion)
	}
	if c.author == "" {
		return rollout.Edit{}, newInputError("--author: found nothing, allowed: your name, since the user of this process has none")
	}
	documents, err := readFiles(c.files)
	if err != nil {
		return rollout.Edit{}, err
	}
	return rollout.NewEdit(c.newEditID(), c.author, expect, c.now().UnixMilli(), documents...), nil
}

func (c *invocation) printStoredEdit(applied rollout.AppliedEdit) error {
	plan := applied.Plan()
	if c.jsonOutput {
		return c.printJSON(applyStateJSON{State: rollout.Stored{}.String(), Version: plan.Version(), Fields: changesJSON(plan.FieldChanges())})
	}
	if plan.IsEmpty() {
		c.printf("stored: version %d already has these files\n", plan.Version())
		return nil
	}
	c.printf("stored: version %d by %s\n", plan.Version(), c.author)
	c.printChanges("fields", plan.FieldChanges())
	c.printChanges("effect on services", plan.RuleChanges())
	c.printWarnings(catalogWarnings(plan.Catalog()))
	return nil
}

// waitForAcceptance asks the members until the version is accepted, the timeout ends or
// the operator interrupts.
func (c *invocation) waitForAcceptance(ctx context.Context, acceptance *rollout.AcceptanceTracker) error {
	waiting, cancel := context.WithTimeout(ctx, c.applyTimeout)
	defer cancel()
	shown := ""
	var last error
	for {
		err := c.pollAcceptance(waiting, acceptance)
		if waiting.Err() != nil {
			return c.newPendingError(ctx, acceptance, last)
		}
		if err == nil {
			err = c.printStateChange(acceptance, &shown)
			if _, accepted := acceptance.State().(rollout.Accepted); accepted {
				return err
			}
		}
		if err != nil && !isRetryable(err) {
			return err
		}
		last = err
		_ = sleep(waiting, c.pollInterval)
	}
}

// newPendingError returns the error for a wait that ended; last is the error of the last
// look, which may be nil.
func (c *invocation) newPendingError(ctx context.Context, acceptance *rollout.AcceptanceTracker, last error) error {
	cause := fmt.Sprintf("no acceptance within %v", c.applyTimeout)
	if ctx.Err() != nil {
		cause = "interrupted"
	}
	if last != nil {
		cause += "; last error: " + last.Error()
	}
	return &PendingError{version: acceptance.Version(), cause: cause}
}

// pollAcceptance reads the mark and the member rows, asks the members that have not
// confirmed, and raises the accepted mark when all have.
func (c *invocation) pollAcceptance(ctx context.Context, acceptance *rollout.AcceptanceTracker) error {
	marked, err := rollout.ReadAcceptedVersion(ctx, c.table)
	if err != nil {
		return err
	}
	if acceptance.Step(rollout.NewAcceptedVersionRead(marked)) && marked >= acceptance.Version() {
		return nil
	}
	if err := c.pollMembers(ctx, acceptance); err != nil {
		return err
	}
	if _, accepted := acceptance.State().(rollout.Accepted); !accepted {
		return nil
	}
	return rollout.MarkAccepted(ctx, c.table, acceptance.Version(), c.now().UnixMilli())
}

func (c *invocation) pollMembers(ctx context.Context, acceptance *rollout.AcceptanceTracker) error {
	current, err := c.readMembers(ctx)
	if err != nil {
		return err
	}
	members := make([]rollout.Member, 0, len(current.members))
	byIncarnation := make(map[identity.Incarnation]membership.Member, len(current.members))
	for _, m := range current.members {
		members = append(members, rollout.NewMember(m.Incarnation(), m.Instance().Name(), m.Instance().Location().Region(), !m.Alive()))
		byIncarnation[m.Incarnation()] = m
	}
	acceptance.Step(rollout.NewMembersRead(current.revision, members))
	unconfirmed := acceptance.UnconfirmedMembers()
	asked := make([]membership.Member, 0, len(unconfirmed))
	for _, m := range unconfirmed {
		asked = append(asked, byIncarnation[m.Incarnation()])
	}
	for _, a := range c.requestStatuses(ctx, asked) {
		if a.err != nil {
			acceptance.Step(rollout.NewStatusFailed(a.member.Incarnation(), "gave no answer: "+statusMessage(a.err)))
			continue
		}
		acceptance.Step(rollout.NewStatusReceived(a.member.Incarnation(), identity.Incarnation(a.status.GetIncarnation()), a.status.GetConfigVersion()))
	}
	return nil
}

// printStateChange prints the state if it differs from the one shown last.
func (c *invocation) printStateChange(acceptance *rollout.AcceptanceTracker, shown *string) error {
	state := applyStateJSON{State: acceptance.State().String(), Version: acceptance.Version()}
	lines := ""
	switch current := acceptance.State().(type) {
	case rollout.Accepted:
		lines = fmt.Sprintf("accepted: version %d is in force in every region\n", acceptance.Version())
	case rollout.Pending:
		state.Regions = pendingRegions(current)
		for _, region := range state.Regions {
			lines += fmt.Sprintf("pending in region %s: %d to confirm\n", region.Region, len(region.Members))
			for _, member := range region.Members {
				lines += fmt.Sprintf("  %s (%s): %s\n", member.Instance, member.Incarnation, member.Reason)
			}
		}
	}
	if lines == *shown {
		return nil
	}
	*shown = lines
	if c.jsonOutput {
		return c.printJSON(state)
	}
	c.printf("%s", lines)
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
