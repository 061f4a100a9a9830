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

type pendingJSON struct {
	Region  string              `json:"region"`
	Members []pendingMemberJSON `json:"members"`
}

type pendingMemberJSON struct {
	Instance    string               `json:"instance"`
	Incarnation identity.Incarnation `json:"incarnation"`
	Reason      string               `json:"reason"`
}

type stateJSON struct {
	State   string        `json:"state"`
	Version uint64        `json:"version"`
	Regions []pendingJSON `json:"regions,omitempty"`
	Fields  []changeJSON  `json:"fields,omitempty"`
}

func runApply(ctx context.Context, c *call) error {
	edit, err := c.readEdit()
	if err != nil {
		return err
	}
	applied, err := rollout.NewEditor(c.table, c.store).Apply(ctx, edit)
	if err != nil {
		return err
	}
	if err := c.printStored(applied); err != nil {
		return err
	}
	return c.follow(ctx, rollout.NewAcceptanceTracker(applied.Version(), applied.Revision()))
}

func (c *call) readEdit() (rollout.Edit, error) {
	expect, err := strconv.ParseUint(c.expect, 10, 64)
	if err != nil {
		return rollout.Edit{}, newInputError("--expect: found %q, allowed: the version that status shows, 0 for the first edit", c.expect)
	}
	if c.author == "" {
		return rollout.Edit{}, newInputError("--author: found nothing, allowed: your name, since the user of this process has none")
	}
	documents, err := readFiles(c.files)
	if err != nil {
		return rollout.Edit{}, err
	}
	return rollout.NewEdit(c.editID(), c.author, expect, c.now().UnixMilli(), documents...), nil
}

func (c *call) printStored(applied rollout.AppliedEdit) error {
	plan := applied.Plan()
	if c.json {
		return c.printJSON(stateJSON{State: rollout.Stored{}.String(), Version: plan.Version(), Fields: changesJSON(plan.FieldChanges())})
	}
	if plan.IsEmpty() {
		c.printf("stored: version %d already has these files\n", plan.Version())
		return nil
	}
	c.printf("stored: version %d by %s\n", plan.Version(), c.author)
	c.printChanges("fields", plan.FieldChanges())
	c.printChanges("effect on services", plan.RuleChanges())
	c.printWarnings(warnings(plan.Catalog()))
	return nil
}

// follow asks the members until the version is accepted, the timeout ends or
// the operator interrupts.
func (c *call) follow(ctx context.Context, acceptance *rollout.AcceptanceTracker) error {
	waiting, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	shown := ""
	var last error
	for {
		err := c.look(waiting, acceptance)
		if waiting.Err() != nil {
			return c.pending(ctx, acceptance, last)
		}
		if err == nil {
			err = c.printState(acceptance, &shown)
			if _, accepted := acceptance.State().(rollout.Accepted); accepted {
				return err
			}
		}
		if err != nil && !isOutage(err) {
			return err
		}
		last = err
		_ = pause(waiting, c.interval)
	}
}

// pending returns the error for a wait that ended; last is the error of the last
// look, which may be nil.
func (c *call) pending(ctx context.Context, acceptance *rollout.AcceptanceTracker, last error) error {
	cause := fmt.Sprintf("no acceptance within %v", c.timeout)
	if ctx.Err() != nil {
		cause = "interrupted"
	}
	if last != nil {
		cause += "; last error: " + last.Error()
	}
	return &PendingError{version: acceptance.Version(), cause: cause}
}

// look reads the mark and the member rows, asks the members that have not
// confirmed, and raises the accepted mark when all have.
func (c *call) look(ctx context.Context, acceptance *rollout.AcceptanceTracker) error {
	marked, err := rollout.ReadAcceptedVersion(ctx, c.table)
	if err != nil {
		return err
	}
	if acceptance.Step(rollout.NewAcceptedVersionRead(marked)) && marked >= acceptance.Version() {
		return nil
	}
	if err := c.confirm(ctx, acceptance); err != nil {
		return err
	}
	if _, accepted := acceptance.State().(rollout.Accepted); !accepted {
		return nil
	}
	return rollout.MarkAccepted(ctx, c.table, acceptance.Version(), c.now().UnixMilli())
}

func (c *call) confirm(ctx context.Context, acceptance *rollout.AcceptanceTracker) error {
	current, err := c.readFleet(ctx)
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
	for _, a := range c.askAll(ctx, asked) {
		if a.err != nil {
			acceptance.Step(rollout.NewStatusFailed(a.member.Incarnation(), "gave no answer: "+reason(a.err)))
			continue
		}
		acceptance.Step(rollout.NewStatusReceived(a.member.Incarnation(), identity.Incarnation(a.status.GetIncarnation()), a.status.GetConfigVersion()))
	}
	return nil
}

// printState prints the state if it differs from the one shown last.
func (c *call) printState(acceptance *rollout.AcceptanceTracker, shown *string) error {
	state := stateJSON{State: acceptance.State().String(), Version: acceptance.Version()}
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
	if c.json {
		return c.printJSON(state)
	}
	c.printf("%s", lines)
	return nil
}

func pendingRegions(pending rollout.Pending) []pendingJSON {
	regions := make([]pendingJSON, 0, len(pending.Regions()))
	for _, region := range pending.Regions() {
		members := make([]pendingMemberJSON, 0, len(region.Members()))
		for _, m := range region.Members() {
			members = append(members, pendingMemberJSON{Instance: m.Instance(), Incarnation: m.Incarnation(), Reason: m.Reason()})
		}
		regions = append(regions, pendingJSON{Region: region.Region(), Members: members})
	}
	return regions
}

func isOutage(err error) bool {
	var outage *table.OutageError
	return errors.As(err, &outage) || isConflict(err)
}

func pause(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
