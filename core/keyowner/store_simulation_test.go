package keyowner_test

import (
	"briarwell.dev/core/era"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
)

// simStore is the store of a sim. It may come back from an older copy of itself.
type simStore struct {
	storeCopy

	// era is 0 if the store reports none.
	era     era.Era
	history []storeCopy
}

// storeCopy is the content of a simStore from a time on.
type storeCopy struct {
	since      int64
	assignment keyspace.Assignment
	// version is the number at which the assignment was written, number that of the newest
	// transaction: others write too.
	version, number uint64
	// fenced is the newest era for which a daemon has put a fence.
	fenced era.Era
}

// stamp returns the stamp of the assignment's row.
func (s *simStore) stamp() era.Stamp {
	version := era.NewRevision(s.era, s.version)
	origin := version
	if written := s.assignment.Era(); written > 0 && written < s.era {
		origin = era.NewRevision(written, s.version)
	}
	if s.version == 0 {
		origin = era.Revision{}
	}
	return era.NewStamp(version, origin)
}

// write replaces the assignment if the base of the change is its version and no fence of a later era
// was put.
func (s *simStore) write(now int64, change keyowner.Change) bool {
	if change.Base().Number() != s.version || s.fenced > change.Base().Era() {
		return false
	}
	s.history = append(s.history, s.storeCopy)
	s.number++
	s.since, s.version, s.assignment = now, s.number, change.Assignment()
	s.fenced = max(s.fenced, change.Base().Era())
	return true
}

// writeOther writes another row, which takes a number.
func (s *simStore) writeOther(now int64) {
	s.history = append(s.history, s.storeCopy)
	s.number++
	s.since = now
}

// goBack replaces the content by that of an earlier time.
func (s *simStore) goBack(to int64) {
	for len(s.history) > 0 && s.since > to {
		s.storeCopy = s.history[len(s.history)-1]
		s.history = s.history[:len(s.history)-1]
	}
	s.era++
}

// loseKnowledge lets keys move for a while, so that a drill loses such changes, and then ends most of
// the daemons, which know of them, and cuts off an instance.
func (s *sim) loseKnowledge(busy, length int64) {
	for at := int64(0); at < busy; at += 400 {
		s.schedule(at, func() {
			from, to := s.hosts[s.rng.IntN(len(s.hosts))], s.hosts[s.rng.IntN(len(s.hosts))]
			first := keyspace.Key(s.rng.IntN(50000))
			if from.daemon.alive {
				from.daemon.controller.RequestMoves(from.daemon.now(), []keyowner.Move{keyowner.NewMove(keyspace.NewSpan(first, first+9000), to.instance.Name())})
			}
		})
	}
	s.schedule(busy, func() {
		cut := s.hosts[s.rng.IntN(len(s.hosts))]
		if s.rng.IntN(2) == 0 {
			cut.partitioned = true
			s.schedule(length+s.rng.Int64N(5000), func() { cut.partitioned = false })
		}
		for _, h := range s.hosts {
			if h != cut && s.rng.IntN(4) > 0 {
				h.daemon.alive = false
				s.schedule(s.rng.Int64N(length+500), h.startDaemon)
			}
		}
	})
}

// drill lets the store be away and come back from a copy that is 1 to 10 s old.
func (s *sim) drill(length int64) {
	if s.storeDown {
		return
	}
	age := 1000 + s.rng.Int64N(9000)
	s.storeDown = true
	copied := s.now - age
	s.schedule(length, func() {
		s.store.goBack(copied)
		s.storeDown = false
		s.tracef("the store is back in era %d at version %d of %d", s.store.era, s.store.version, s.store.number)
		for range s.rng.IntN(12) {
			s.schedule(s.rng.Int64N(4000), func() { s.store.writeOther(s.now) })
		}
	})
}

// isEarlierEra reports whether the era that a holder knows is one before that of a witness, which then
// makes no promise.
func isEarlierEra(known, witness era.Era) bool { return known < witness }
