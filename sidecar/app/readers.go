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
	"briarwell.dev/platform/store"
)

const (
	// readersPerRegion is the number of sidecars of a region that follow the
	// operator's rows; the others learn from them, and one may be lost without a
	// delay. Only the first follows the own rows, which change more often.
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
		readers, place := a.state.readers(a.clock.Now())
		well := a.checkAll(ctx, readers)
		a.read(store.OperatorRows, !well || place >= 0)
		// A later reader compares with those before it.
		a.read(store.OwnRows, !well || place == 0)
		a.placed.Store(len(readers) > 0)
		if round%anyCheckEvery == 0 {
			if m, ok := a.state.anyPeer(); ok {
				a.compare(ctx, m)
			}
		}
	}
}

// read starts or ends to follow a feed.
func (a *App) read(feed store.Feed, reading bool) {
	if a.reading[feed].Swap(reading) != reading {
		a.log.Info().Int("feed", int(feed)).Bool("reading", reading).Msg("storeReading")
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
	reading := a.reading[store.OperatorRows].Load()
	for i := range a.following {
		reading = reading && (a.following[i].Load() || !a.reading[i].Load())
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

// spreadRows sends rows that are news to the sidecars of the region that learn from
// this one. Those that the store has told go to the other readers too.
func (a *App) spreadRows(ctx context.Context, rows []table.Row, fromStore bool) {
	if len(rows) == 0 {
		return
	}
	for _, m := range a.state.listeners(a.clock.Now(), fromStore) {
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
// and the own place among the readers, -1 if this is none.
func (s *state) readers(now clock.Millis) ([]fleet.Member, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	near := s.region(now)
	near = near[:min(len(near), readersPerRegion)]
	i := slices.IndexFunc(near, s.isSelf)
	if i < 0 {
		return near, i
	}
	return slices.Delete(near, i, i+1), i
}

// listeners returns the sidecars of the region to which this reader sends rows, with
// the other readers if it should. One that is no reader sends none.
func (s *state) listeners(now clock.Millis, readersToo bool) []fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	near := s.region(now)
	readers := near[:min(len(near), readersPerRegion)]
	own := slices.IndexFunc(readers, s.isSelf)
	if own < 0 {
		return nil
	}
	var listeners []fleet.Member
	for i, m := range readers {
		if readersToo && i != own {
			listeners = append(listeners, m)
		}
	}
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
	s.custodian.AvoidWitness(now, m.Incarnation)
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
