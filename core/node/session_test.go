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

// cluster starts members in two failure domains of one region.
func cluster(members int) *sim {
	s := newSim(1, 4, upstream.FencingDeadline, 0)
	for i := range members {
		domain := "d" + string(rune('0'+i%2))
		s.after(int64(100*i), func() { s.start(i, identity.NewLocation("r", domain), true) })
	}
	return s
}

// TestSession guards against an unnoticed change of what the nodes decide and
// log during a start, a loss with replacement, a handover and a leave.
func TestSession(t *testing.T) {
	is := is.New(t)
	s := cluster(4)
	var log strings.Builder
	s.trace = func(line string) { log.WriteString(line + "\n") }
	at := func(title string) {
		s.trace("# " + title)
	}
	at("join")
	s.run(4000)
	at("loss of i0")
	s.current(0).kill()
	s.run(8000)
	owner := 0
	for _, p := range s.procs {
		if _, serves := p.serves(s.keys[0]); serves && p.alive {
			owner = p.index
		}
	}
	at("handover of shard 0")
	target := peer.NewHandoverTarget(0, "", s.current(owner%3+1).node.Snapshot().Incarnation())
	s.inject(owner, peer.NewHandover(service, []peer.HandoverTarget{target}))
	s.run(9000)
	at("leave of i1")
	s.current(1).deliver(node.DrainRequested{})
	s.run(15000)
	is.Equal(s.failure, "")
	is.True(s.current(1).left)
	is.Equal(len(s.unserved(s.keys)), 0)
	goldie.New(t).Assert(t, "session", []byte(log.String()))
}

// TestNaiveHolder compares the lease with a holder that trusts the rows of its
// copy of the table. When the owner is cut off, both are replaced; the naive one
// goes on serving, so that a key has two owners at one moment.
func TestNaiveHolder(t *testing.T) {
	is := is.New(t)
	for _, naive := range []bool{false, true} {
		s := cluster(5)
		s.naive = naive
		s.run(6000)
		p := s.current(0)
		p.cutTable = true
		for i := range 5 {
			s.cuts[[2]int{0, i}], s.cuts[[2]int{i, 0}] = true, true
		}
		s.run(14000)
		t.Logf("naive=%t: %q", naive, s.failure)
		is.Equal(strings.Contains(s.failure, "is served by"), naive)
		is.Equal(s.failure != "", naive)
	}
}
