package command

import (
	"context"
	"errors"
	"sort"

	"github.com/sourcegraph/conc/pool"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/table"
)

// maxConcurrentStatusCalls bounds the concurrent status calls. With 670 daemons
// that do not respond, all calls end within 11 * daemonCallTimeout.
const maxConcurrentStatusCalls = 64

// memberSnapshot holds the member rows as of a table revision, and the members
// sorted by memberLess.
type memberSnapshot struct {
	revision table.Revision
	rows     map[identity.Incarnation]table.Row
	members  []membership.Member
}

// readMembers reads and decodes all member rows.
func (inv *invocation) readMembers(ctx context.Context) (memberSnapshot, error) {
	rows, revision, err := inv.table.Scan(ctx, membership.KeyPrefix, 0)
	if err != nil {
		return memberSnapshot{}, err
	}
	result := memberSnapshot{revision: revision, rows: make(map[identity.Incarnation]table.Row, len(rows))}
	for _, row := range rows {
		member, err := membership.Decode(row.Key(), row.Value())
		if err != nil {
			return memberSnapshot{}, err
		}
		result.members = append(result.members, member)
		result.rows[member.Incarnation()] = row
	}
	sort.Slice(result.members, func(i, j int) bool { return memberLess(result.members[i], result.members[j]) })
	return result, nil
}

// memberLess orders members by region, failure domain, instance and incarnation.
func memberLess(a, b membership.Member) bool {
	for _, pair := range [][2]string{
		{a.Instance().Location().Region(), b.Instance().Location().Region()},
		{a.Instance().Location().FailureDomain(), b.Instance().Location().FailureDomain()},
		{a.Instance().Name(), b.Instance().Name()},
	} {
		if pair[0] != pair[1] {
			return pair[0] < pair[1]
		}
	}
	return a.Incarnation() < b.Incarnation()
}

// findAlive returns the only member that is not dead and has the given instance
// name or incarnation.
func (s memberSnapshot) findAlive(name string) (membership.Member, error) {
	var alive []membership.Member
	foundDead := false
	for _, member := range s.members {
		if member.Instance().Name() != name && member.Incarnation().String() != name {
			continue
		}
		if member.Alive() {
			alive = append(alive, member)
		} else {
			foundDead = true
		}
	}
	switch {
	case len(alive) == 1:
		return alive[0], nil
	case len(alive) > 1:
		return membership.Member{}, newInputError("%s: found %d members of this instance that are not dead, allowed: the incarnation of one of them, as shown by status", name, len(alive))
	case foundDead:
		return membership.Member{}, newInputError("%s: found a dead member, allowed: a member that is not dead", name)
	default:
		return membership.Member{}, newInputError("%s: found no such member, allowed: an instance name or incarnation shown by status", name)
	}
}

// statusResult holds the outcome of one status call.
type statusResult struct {
	member   membership.Member
	response *peerpb.StatusResponse
	err      error
}

// isFromMember reports whether the member itself responded, and not another
// incarnation at its address.
func (r statusResult) isFromMember() bool {
	return r.err == nil && r.response.GetIncarnation() == uint64(r.member.Incarnation())
}

// requestStatuses calls the members concurrently. The results are in the order of
// the members.
func (inv *invocation) requestStatuses(ctx context.Context, members []membership.Member) []statusResult {
	results := make([]statusResult, len(members))
	workers := pool.New().WithMaxGoroutines(maxConcurrentStatusCalls)
	for i, member := range members {
		workers.Go(func() {
			response, err := inv.daemonClient.Status(ctx, member.Instance().PeerAddress())
			results[i] = statusResult{member: member, response: response, err: err}
		})
	}
	workers.Wait()
	return results
}

// readOwnership reads the ownership table of all services.
func (inv *invocation) readOwnership(ctx context.Context) (ownership.Table, error) {
	var owners ownership.Table
	rows, _, err := inv.table.Scan(ctx, ownership.KeyPrefix, 0)
	if err != nil {
		return owners, err
	}
	for _, row := range rows {
		service, number, err := ownership.ParseKey(row.Key())
		if err != nil {
			return owners, err
		}
		group, err := ownership.Decode(row.Key(), row.Value())
		if err != nil {
			return owners, err
		}
		owners = owners.WithGroup(service, number, row.Version(), group)
	}
	return owners, nil
}

// loadConfig returns the stored versions and the configuration rows. It does not
// render the rows.
func (inv *invocation) loadConfig(ctx context.Context) (rollout.Versions, []table.Row, error) {
	rows, err := rollout.LoadRows(ctx, inv.table)
	if err != nil {
		return rollout.Versions{}, nil, err
	}
	versions, err := rollout.DecodeVersions(rows)
	return versions, rows, err
}

func isConflict(err error) bool {
	var conflict *table.ConflictError
	return errors.As(err, &conflict)
}
