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

// maxConcurrentStatusCalls bounds the daemons that are asked at once; 670 daemons of which
// none answers are then asked within 11 * askTimeout.
const maxConcurrentStatusCalls = 64

// memberSnapshot holds the member rows as of a revision.
type memberSnapshot struct {
	revision table.Revision
	rows     map[identity.Incarnation]table.Row
	members  []membership.Member
}

func (c *invocation) readMembers(ctx context.Context) (memberSnapshot, error) {
	rows, revision, err := c.table.Scan(ctx, membership.KeyPrefix, 0)
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

// findAlive returns the member that is not dead with the name of an instance or an
// incarnation.
func (f memberSnapshot) findAlive(name string) (membership.Member, error) {
	var found []membership.Member
	dead := false
	for _, member := range f.members {
		if member.Instance().Name() != name && member.Incarnation().String() != name {
			continue
		}
		if member.Alive() {
			found = append(found, member)
		} else {
			dead = true
		}
	}
	switch {
	case len(found) == 1:
		return found[0], nil
	case len(found) > 1:
		return membership.Member{}, newInputError("%s: found %d members of this instance that are not dead, allowed: the incarnation of one of them; status shows them", name, len(found))
	case dead:
		return membership.Member{}, newInputError("%s: found a member that is dead, allowed: one that is not", name)
	default:
		return membership.Member{}, newInputError("%s: found no such member, allowed: an instance or incarnation that status shows", name)
	}
}

// statusResult is the result of one question.
type statusResult struct {
	member membership.Member
	status *peerpb.StatusResponse
	err    error
}

// isFromMember tells whether the member itself answered.
func (a statusResult) isFromMember() bool {
	return a.err == nil && a.status.GetIncarnation() == uint64(a.member.Incarnation())
}

// requestStatuses asks the members at once. The answers are in the order of the members.
func (c *invocation) requestStatuses(ctx context.Context, members []membership.Member) []statusResult {
	answers := make([]statusResult, len(members))
	questions := pool.New().WithMaxGoroutines(maxConcurrentStatusCalls)
	for i, member := range members {
		questions.Go(func() {
			status, err := c.daemons.Status(ctx, member.Instance().PeerAddress())
			answers[i] = statusResult{member: member, status: status, err: err}
		})
	}
	questions.Wait()
	return answers
}

func (c *invocation) readOwnership(ctx context.Context) (ownership.Table, error) {
	var owners ownership.Table
	rows, _, err := c.table.Scan(ctx, ownership.KeyPrefix, 0)
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

// readCatalog returns the stored rules and versions. Rules that can't be
// rendered are an error of the second result.
func (c *invocation) loadConfig(ctx context.Context) (rollout.Versions, []table.Row, error) {
	rows, err := rollout.LoadRows(ctx, c.table)
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
