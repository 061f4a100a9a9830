package node_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/node"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/upstream"
)

// startCluster returns a simulation that starts members in two failure domains of one
// region.
func startCluster(members int) *sim {
	s := newSim(1, 4, upstream.FencingDeadline, 0)
	for i := range members {
		domain := "d" + string(rune('0'+i%2))
		s.after(int64(100*i), func() { s.start(i, identity.NewLocation("r", domain), true) })
	}
	return s
}

// TestSession guards against unintended changes of the decisions and log events of nodes
// during a start, a loss with replacement, a handover and a leave.
func TestSession(t *testing.T) {
	is := is.New(t)
	s := startCluster(4)
	var log strings.Builder
	s.trace = func(line string) { log.WriteString(line + "\n") }
	traceSection := func(title string) {
		s.trace("# " + title)
	}
	traceSection("join")
	s.runUntil(4000)
	traceSection("loss of i0")
	s.latestProcess(0).kill()
	s.runUntil(8000)
	owner := 0
	for _, p := range s.processes {
		if _, serves := p.serves(s.keys[0]); serves && p.alive {
			owner = p.index
		}
	}
	traceSection("handover of shard 0")
	target := peer.NewHandoverTarget(0, "", s.latestProcess(owner%3+1).node.Snapshot().Incarnation())
	s.inject(owner, peer.NewHandover(service, []peer.HandoverTarget{target}))
	s.runUntil(9000)
	traceSection("leave of i1")
	s.latestProcess(1).deliver(node.DrainRequested{})
	s.runUntil(15000)
	is.Equal(s.failure, "")
	is.True(s.latestProcess(1).hasLeft)
	is.Equal(len(s.unservedKeys(s.keys)), 0)
	goldie.New(t).Assert(t, "session", []byte(log.String()))
}

// TestNaiveHolder compares a lease holder with a naive holder that trusts the rows of its
// copy of the table. When the owner is isolated, both are replaced, but the naive holder
// keeps serving, so that a key has two owners at the same time.
func TestNaiveHolder(t *testing.T) {
	is := is.New(t)
	for _, naive := range []bool{false, true} {
		s := startCluster(5)
		s.naive = naive
		s.runUntil(6000)
		p := s.latestProcess(0)
		p.tableUnreachable = true
		for i := range 5 {
			s.cutLinks[[2]int{0, i}], s.cutLinks[[2]int{i, 0}] = true, true
		}
		s.runUntil(14000)
		t.Logf("naive=%t: %q", naive, s.failure)
		is.Equal(strings.Contains(s.failure, "is served by"), naive)
		is.Equal(s.failure != "", naive)
	}
}
