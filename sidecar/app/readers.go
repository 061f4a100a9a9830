package app

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/table"
)

const (
	// readersPerRegion is the number of sidecars of a region that follow the
	// store; the others learn from them. One may be lost without a delay.
	readersPerRegion = 2
	// checkInterval is the shortest time between two comparisons of rows with the
	// readers; half as much is added at random. With the time in which a reader
	// notices that the store is silent (1.1 s) and the timeout of a message it
	// stays below the 2,500 ms in which a manifest must be in force.
	checkInterval = 600 * time.Millisecond
	// anyCheckEvery is after how many comparisons one with a sidecar of any region
	// follows, which may know what the own region does not.
	anyCheckEvery = 3
	// absentTime is the time in milliseconds for which a sidecar that did not
	// answer counts as no reader.
	absentTime clock.Millis = 4000
)

// synchronise compares rows with the readers of the region, and follows the store
// itself while this sidecar is a reader or no reader is well.
func (a *App) synchronise(ctx context.Context) {
	for round := 1; ctx.Err() == nil; round++ {
		pause(ctx, checkInterval*2/3)
		readers, own := a.state.readers(a.clock.Now())
		well := a.checkAll(ctx, readers)
		reading := own || !well
		if a.reading.Swap(reading) != reading {
			a.log.Info().Bool("reading", reading).Bool("reader", own).Int("readers", len(readers)).Msg("storeReading")
		}
		if round%anyCheckEvery == 0 {
			if m, ok := a.state.anyPeer(); ok {
				a.compare(ctx, m)
			}
		}
	}
}

// checkAll compares rows with the readers and tells whether any of them follows
// the store.
func (a *App) checkAll(ctx context.Context, readers []fleet.Member) bool {
	var well atomic.Bool
	var checks conc.WaitGroup
	for _, m := range readers {
		checks.Go(func() {
			if a.compare(ctx, m) {
				well.Store(true)
			}
		})
	}
	checks.Wait()
	return well.Load()
}

// compare exchanges newer rows with another sidecar and tells whether that one
// follows the store.
func (a *App) compare(ctx context.Context, with fleet.Member) bool {
	address := with.Instance.PeerAddress()
	var answer syncAnswer
	if err := a.peers.ask(ctx, address, pathSync, syncMessage{Sum: a.rows.Sum()}, &answer); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
		a.state.absent(a.clock.Now(), with)
		return false
	}
	reading := answer.Reading
	if answer.Same {
		return reading
	}
	if err := a.peers.ask(ctx, address, pathSync, syncMessage{Versions: a.rows.Digest()}, &answer); err != nil {
		a.log.Debug().Err(err).Str("peer", address).Msg("syncFailed")
		return false
	}
	a.takeRows(decodeRows(answer.Rows))
	if answer.Behind {
		// Its versions are not known: it keeps the rows that are news to it.
		a.sendRows(ctx, with, a.rows.Newer(nil))
	}
	return reading
}

// answerSync answers another sidecar that compares rows.
func (a *App) answerSync(m syncMessage) syncAnswer {
	reading := a.reading.Load()
	for i := range a.following {
		reading = reading && a.following[i].Load()
	}
	if m.Versions == nil {
		return syncAnswer{Same: m.Sum == a.rows.Sum(), Reading: reading}
	}
	return syncAnswer{Reading: reading, Rows: encodeRows(a.rows.Newer(m.Versions)), Behind: a.rows.Older(m.Versions)}
}

func (a *App) sendRows(ctx context.Context, to fleet.Member, rows []table.Row) {
	var done struct{}
	if err := a.peers.ask(ctx, to.Instance.PeerAddress(), pathRows, rowsMessage{Rows: encodeRows(rows)}, &done); err != nil {
		a.log.Debug().Err(err).Str("peer", to.Instance.Name()).Msg("rowsNotSent")
	}
}

// spreadRows sends rows that the store has told to the sidecars of the region
// that do not follow it. Readers share them.
func (a *App) spreadRows(ctx context.Context, rows []table.Row) {
	for _, m := range a.state.listeners(a.clock.Now()) {
		go a.sendRows(ctx, m, rows)
	}
}

// region returns the members of the own region that have answered lately, by
// name; s.mu is held.
func (s *state) region(now clock.Millis) []fleet.Member {
	var near []fleet.Member
	for _, m := range s.view.Members() {
		if m.Instance.Location().Region() == s.instance.Location().Region() && now >= s.absentUntil[m.Instance.Name()] {
			near = append(near, m)
		}
	}
	return near
}

// readers returns the other sidecars of the region that should follow the store,
// and whether this one should.
func (s *state) readers(now clock.Millis) ([]fleet.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	near := s.region(now)
	near = near[:min(len(near), readersPerRegion)]
	i := slices.IndexFunc(near, s.isSelf)
	if i < 0 {
		return near, false
	}
	return slices.Delete(near, i, i+1), true
}

// listeners returns the sidecars of the region to which this reader sends rows.
// One that follows the store although it is no reader sends none.
func (s *state) listeners(now clock.Millis) []fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	near := s.region(now)
	readers := near[:min(len(near), readersPerRegion)]
	own := slices.IndexFunc(readers, s.isSelf)
	if own < 0 {
		return nil
	}
	var listeners []fleet.Member
	for i, m := range near[len(readers):] {
		if i%len(readers) == own {
			listeners = append(listeners, m)
		}
	}
	return listeners
}

func (s *state) isSelf(m fleet.Member) bool {
	return m.Instance.Name() == s.instance.Name()
}

// absent notes that a sidecar did not answer.
func (s *state) absent(now clock.Millis, m fleet.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.absentUntil[m.Instance.Name()] = now + absentTime
	s.custodian.Avoid(now, m.Incarnation)
}

// anyPeer returns another sidecar at random.
func (s *state) anyPeer() (fleet.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := slices.DeleteFunc(s.view.Members(), s.isSelf)
	if len(members) == 0 {
		return fleet.Member{}, false
	}
	return members[rand.IntN(len(members))], true //nolint:gosec // It only spreads calls.
}
