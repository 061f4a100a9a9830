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

// runDrain asks the daemon to leave the cluster. It does not wait for the
// handovers, whose progress status shows.
func runDrain(ctx context.Context, inv *invocation) error {
	current, err := inv.readMembers(ctx)
	if err != nil {
		return err
	}
	member, err := current.findAlive(inv.instance)
	if err != nil {
		return err
	}
	instance := member.Instance()
	response, err := inv.daemonClient.Drain(ctx, instance.PeerAddress(), member.Incarnation())
	if err != nil {
		return &NoResponseError{instance: instance.Name(), address: instance.PeerAddress(), cause: err}
	}
	if !response.GetAccepted() {
		return newInputError("%s: found incarnation %s at its address, in state %q, allowed: %s", instance.Name(),
			identity.Incarnation(response.GetIncarnation()), response.GetState(), member.Incarnation())
	}
	owners, err := inv.readOwnership(ctx)
	if err != nil {
		return err
	}
	result := removalJSON{Instance: instance.Name(), Incarnation: member.Incarnation(), State: response.GetState(), Units: countUnits(owners)[member.Incarnation()]}
	if inv.jsonOutput {
		return inv.printJSON(result)
	}
	inv.printf("%s (%s) accepted the drain request; state %s, %d shards to hand over\n", result.Instance, result.Incarnation, result.State, result.Units)
	return nil
}

// runRetire marks a member as dead. It leaves the ownership entries of the
// member's shards unchanged: the planner of each service treats the shards of a
// dead owner as unowned and increments their epochs, and from the entries it
// learns that the last owner did not hand over.
func runRetire(ctx context.Context, inv *invocation) error {
	current, err := inv.readMembers(ctx)
	if err != nil {
		return err
	}
	member, err := current.findAlive(inv.instance)
	if err != nil {
		return err
	}
	if !inv.confirmStopped {
		return newInputError("--confirm-stopped: found nothing, allowed: the flag, after verification that the daemon and the upstream of %s are stopped", member.Instance().Name())
	}
	if err := inv.checkStopped(ctx, member); err != nil {
		return err
	}
	owners, err := inv.readOwnership(ctx)
	if err != nil {
		return err
	}
	if err := inv.markDead(ctx, current.rows[member.Incarnation()], member); err != nil {
		return err
	}
	result := removalJSON{Instance: member.Instance().Name(), Incarnation: member.Incarnation(), State: string(membership.StateDead), Units: countUnits(owners)[member.Incarnation()]}
	if inv.jsonOutput {
		return inv.printJSON(result)
	}
	inv.printf("%s (%s) is marked as dead; %d shards will be reassigned\n", result.Instance, result.Incarnation, result.Units)
	return nil
}

// checkStopped returns an error if the member's daemon still responds. Another
// incarnation at the address proves that the member's process has ended.
func (inv *invocation) checkStopped(ctx context.Context, member membership.Member) error {
	instance := member.Instance()
	status, err := inv.daemonClient.Status(ctx, instance.PeerAddress())
	if err == nil && status.GetIncarnation() == uint64(member.Incarnation()) {
		return newInputError("%s: found its daemon (%s) running in state %q, allowed: a stopped daemon; use drain instead", instance.Name(), member.Incarnation(), status.GetState())
	}
	return nil
}

// markDead writes the state dead if the row is unchanged since it was read. After
// an outage or a conflict it reads the row again to determine the outcome.
func (inv *invocation) markDead(ctx context.Context, row table.Row, member membership.Member) error {
	conditions := []table.Condition{table.NewCondition(row.Key(), row.Version())}
	mutations := []table.Mutation{table.NewPut(row.Key(), membership.Encode(member.WithState(membership.StateDead)))}
	_, err := inv.table.Commit(ctx, table.NewTransaction(conditions, mutations))
	var outage *table.OutageError
	if !errors.As(err, &outage) && !isConflict(err) {
		return err
	}
	rows, readErr := inv.table.Read(ctx, []string{row.Key()})
	if readErr != nil {
		return err
	}
	current, decodeErr := membership.Decode(row.Key(), rows[0].Value())
	if decodeErr != nil {
		return err
	}
	if current.State() == membership.StateDead {
		return nil
	}
	if isConflict(err) {
		return newInputError("%s: found that its member row changed since it was read, so its daemon may be running; allowed: a stopped daemon", member.Instance().Name())
	}
	return err
}
