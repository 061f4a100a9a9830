package node_test

import (
	"fmt"
	"testing"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/node"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// targetScaleRows returns the rows of a table at the target scale: 670 members and 8,192
// shards.
func targetScaleRows() []table.Row {
	const members, shards = 670, 8192
	rows := make([]table.Row, 0, members+shards/ownership.GroupSize)
	for i := range members {
		location := identity.NewLocation(fmt.Sprintf("r%d", i%2), fmt.Sprintf("d%d", i%7))
		m := membership.NewMember(identity.Incarnation(i+1), membership.NewInstance(fmt.Sprintf("i%d", i), "h", fmt.Sprintf("p%d", i), location))
		m = m.WithAnnouncement(membership.NewAnnouncement(service, 12, 110, upstream.FencingDeadline, 0)).WithState(membership.StateActive)
		rows = append(rows, table.NewRow(membership.Key(m.Incarnation()), table.Revision(i+1), membership.Encode(m)))
	}
	for g := range shards / ownership.GroupSize {
		var group ownership.Group
		for i := range ownership.GroupSize {
			id := g*ownership.GroupSize + i
			group = group.WithEntry(ownership.NewUnit(shard.ID(id), ""), ownership.NewEntry(identity.Incarnation(id%members+1), 1, false))
		}
		rows = append(rows, table.NewRow(ownership.Key(service, g), table.Revision(members+g+1), ownership.Encode(group)))
	}
	return rows
}

// BenchmarkStep measures the cost of frequent events at the target scale.
func BenchmarkStep(b *testing.B) {
	rules := template.NewServiceRules(service.Name(), nil, template.WithShards(8192))
	rows := targetScaleRows()
	last := rows[len(rows)-1].Version()
	start := func() *node.Node {
		n := node.New(node.NewSettings(membership.NewInstance("self", "h", "self", identity.NewLocation("r0", "d0"))), 0, 1)
		n.Step(0, node.NewCatalogChanged(template.NewCatalog(1, map[string]template.ServiceRules{service.String(): rules})))
		for _, a := range n.Step(1, node.NewScanCompleted(0, last, rows)) {
			if commit, ok := a.(node.Commit); ok {
				n.Step(2, node.NewCommitted(commit.ID(), last+1))
			}
		}
		return n
	}
	b.Run("tick", func(b *testing.B) {
		n, now := start(), clock.Millis(10)
		b.ReportAllocs()
		for b.Loop() {
			now += node.TickInterval
			n.Step(now, node.Tick{})
		}
	})
	b.Run("renew", func(b *testing.B) {
		n, now := start(), clock.Millis(10)
		b.ReportAllocs()
		for b.Loop() {
			now++
			n.Step(now, node.NewMessageReceived(peer.NewEnvelope(7, n.Snapshot().Incarnation(), "p6", peer.NewRenew(1, 1, last))))
		}
	})
	b.Run("memberRow", func(b *testing.B) {
		n, now, revision := start(), clock.Millis(10), last+1
		b.ReportAllocs()
		for b.Loop() {
			now++
			revision++
			row := table.NewRow(rows[5].Key(), revision, rows[5].Value())
			n.Step(now, node.NewMessageReceived(peer.NewEnvelope(7, 0, "p6", peer.NewSyncReply(revision-1, revision, []table.Row{row}))))
		}
	})
}
