package command

import (
	"context"
	"errors"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/table"
)

type removalJSON struct {
	Instance    string               `json:"instance"`
	Incarnation identity.Incarnation `json:"incarnation"`
	State       string               `json:"state"`
	Units       int                  `json:"units"`
}

// runDrain asks the daemon to leave. It does not wait: status shows progress.
func runDrain(ctx context.Context, c *invocation) error {
	current, err := c.readMembers(ctx)
	if err != nil {
		return err
	}
	member, err := current.findAlive(c.instance)
	if err != nil {
		return err
	}
	instance := member.Instance()
	answered, err := c.daemons.Drain(ctx, instance.PeerAddress(), member.Incarnation())
	if err != nil {
		return &NoResponseError{instance: instance.Name(), address: instance.PeerAddress(), cause: err}
	}
	if !answered.GetAccepted() {
		return newInputError("%s: found incarnation %s at its address, in state %q, allowed: %s", instance.Name(),
			identity.Incarnation(answered.GetIncarnation()), answered.GetState(), member.Incarnation())
	}
	owners, err := c.readOwnership(ctx)
	if err != nil {
		return err
	}
	result := removalJSON{Instance: instance.Name(), Incarnation: member.Incarnation(), State: answered.GetState(), Units: countUnits(owners)[member.Incarnation()]}
	if c.jsonOutput {
		return c.printJSON(result)
	}
	c.printf("%s (%s) accepted to leave; state %s, %d shards to hand over\n", result.Instance, result.Incarnation, result.State, result.Units)
	return nil
}

// runRetire marks a member as dead. Its shards keep their entries: the planner
// of each service takes a dead owner's shards as unowned and raises their
// epochs, and it must still see that the last owner did not hand over.
func runRetire(ctx context.Context, c *invocation) error {
	current, err := c.readMembers(ctx)
	if err != nil {
		return err
	}
	member, err := current.findAlive(c.instance)
	if err != nil {
		return err
	}
	if !c.confirmStopped {
		return newInputError("--confirm-stopped: found nothing, allowed: the flag, after you made sure that the daemon and the upstream of %s are stopped", member.Instance().Name())
	}
	if err := c.checkStopped(ctx, member); err != nil {
		return err
	}
	owners, err := c.readOwnership(ctx)
	if err != nil {
		return err
	}
	if err := c.markDead(ctx, current.rows[member.Incarnation()], member); err != nil {
		return err
	}
	result := removalJSON{Instance: member.Instance().Name(), Incarnation: member.Incarnation(), State: string(membership.StateDead), Units: countUnits(owners)[member.Incarnation()]}
	if c.jsonOutput {
		return c.printJSON(result)
	}
	c.printf("%s (%s) is marked as dead; %d shards get new owners\n", result.Instance, result.Incarnation, result.Units)
	return nil
}

// checkStopped returns an error if the member's daemon still answers. Another
// incarnation at the address proves that the member's process is gone.
func (c *invocation) checkStopped(ctx context.Context, member membership.Member) error {
	instance := member.Instance()
	status, err := c.daemons.Status(ctx, instance.PeerAddress())
	if err == nil && status.GetIncarnation() == uint64(member.Incarnation()) {
		return newInputError("%s: found that its daemon (%s) still answers in state %q, allowed: a stopped one; use drain instead", instance.Name(), member.Incarnation(), status.GetState())
	}
	return nil
}

// markDead writes the row if it is unchanged since it was read. After a lost
// response it reads the row again.
func (c *invocation) markDead(ctx context.Context, row table.Row, member membership.Member) error {
	conditions := []table.Condition{table.NewCondition(row.Key(), row.Version())}
	mutations := []table.Mutation{table.NewPut(row.Key(), membership.Encode(member.WithState(membership.StateDead)))}
	_, err := c.table.Commit(ctx, table.NewTransaction(conditions, mutations))
	var outage *table.OutageError
	if !errors.As(err, &outage) && !isConflict(err) {
		return err
	}
	rows, readErr := c.table.Read(ctx, []string{row.Key()})
	if readErr != nil {
		return err
	}
	now, decodeErr := membership.Decode(row.Key(), rows[0].Value())
	if decodeErr != nil {
		return err
	}
	if now.State() == membership.StateDead {
		return nil
	}
	if isConflict(err) {
		return newInputError("%s: found that its row changed meanwhile, so its daemon may be running; allowed: a stopped one", member.Instance().Name())
	}
	return err
}
