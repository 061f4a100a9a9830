package app

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/holding"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/table"
)

const (
	// gatherTime is the time for which entries are gathered before they are written
	// together; a write takes up to 45 ms.
	gatherTime = 60 * time.Millisecond
	// entryWait bounds the wait for a write of gathered entries; it is below
	// messageTimeout.
	entryWait = 500 * time.Millisecond
)

// enterMessage asks the sidecar of another holder to enter an upstream into the
// division of their service.
type enterMessage struct {
	Service string          `json:"service"`
	Holder  json.RawMessage `json:"holder"`
	// Incarnation and Generation are those of the lease that the sender saw in the
	// place of its instance, 0 if there was none.
	Incarnation identity.Incarnation `json:"incarnation"`
	Generation  uint64               `json:"generation"`
}

type enterAnswer struct {
	Entered bool `json:"entered"`
	// Rows has the row of the division as the receiver knows it.
	Rows []rowMessage `json:"rows,omitempty"`
}

// entryQueue holds the entries that wait to be written together.
type entryQueue struct {
	mu      sync.Mutex
	waiting []waitingEntry
}

type waitingEntry struct {
	entry holding.Entry
	done  chan bool
}

// add adds an entry and tells whether it is the first one that waits.
func (q *entryQueue) add(e waitingEntry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, e)
	return len(q.waiting) == 1
}

func (q *entryQueue) takeAll() []waitingEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.waiting
	q.waiting = nil
	return taken
}

// enter asks the sidecar of another holder to write a change by which the own
// upstream enters the division. It returns false if there is nobody to ask.
func (a *App) enter(ctx context.Context, change holding.Change) bool {
	s := a.state
	s.mu.Lock()
	division, _ := s.custodian.Division()
	entry, ok := holding.EntryOf(division, change, s.instance.Name())
	to, known := s.sponsor(a.clock.Now(), division)
	s.mu.Unlock()
	if !ok || !known {
		return false
	}
	encoded, err := keyspace.EncodeHolder(entry.Holder())
	if err != nil {
		a.log.Error().Err(err).Msg("holderNotEncoded")
		return false
	}
	select {
	case a.writing <- struct{}{}:
	default:
		return true
	}
	go func() {
		defer func() { <-a.writing }()
		message := enterMessage{Service: s.service, Holder: encoded}
		message.Incarnation, message.Generation = entry.Seen()
		var answer enterAnswer
		err := a.peers.ask(ctx, to.Instance.PeerAddress(), pathEnter, message, &answer)
		a.log.Info().Err(err).Str("sponsor", to.Instance.Name()).Bool("entered", answer.Entered).Msg("entryAsked")
		if err != nil {
			s.absent(a.clock.Now(), to)
		}
		a.takeRows(decodeRows(answer.Rows))
		if !answer.Entered {
			pause(ctx, conflictPause)
		}
	}()
	return true
}

// sponsor returns the first other holder whose sidecar has answered lately: all that
// enter ask the same one. s.mu is held.
func (s *state) sponsor(now clock.Millis, d keyspace.Division) (fleet.Member, bool) {
	for _, h := range d.Holders() {
		if h.Name() != s.instance.Name() && now >= s.absentUntil[h.Name()] {
			return fleet.Member{Instance: h.Lease().Instance(), Incarnation: h.Lease().Incarnation()}, true
		}
	}
	return fleet.Member{}, false
}

// answerEnter writes the entry of another sidecar's upstream, together with others.
func (a *App) answerEnter(m enterMessage) enterAnswer {
	h, err := keyspace.DecodeHolder(m.Holder)
	if err != nil || m.Service != a.settings.Service() {
		a.log.Warn().Err(err).Str("service", m.Service).Msg("entryRejected")
		return enterAnswer{}
	}
	waiting := waitingEntry{entry: holding.NewEntry(h, m.Incarnation, m.Generation), done: make(chan bool, 1)}
	if a.entries.add(waiting) {
		time.AfterFunc(gatherTime, a.writeEntries)
	}
	var answer enterAnswer
	select {
	case answer.Entered = <-waiting.done:
	case <-time.After(entryWait):
	}
	if row := a.rows.Get(fleet.DivisionKey(m.Service)); row.Version() > 0 {
		answer.Rows = encodeRows([]table.Row{row})
	}
	return answer
}

// writeEntries writes the entries that wait, once: if another change comes first,
// their senders ask again.
func (a *App) writeEntries() {
	// A stop ends the process soon after; the write is left to its own timeout.
	ctx := context.Background()
	waiting := a.entries.takeAll()
	entries := make([]holding.Entry, 0, len(waiting))
	for _, w := range waiting {
		entries = append(entries, w.entry)
	}
	a.state.mu.Lock()
	division, base := a.state.custodian.Division()
	a.state.mu.Unlock()
	change, admitted := holding.Admit(division, base, entries)
	committed := false
	if change.Reason() != "" {
		select {
		case a.writing <- struct{}{}:
			committed = a.commitNow(ctx, a.settings.Service(), change, false)
			<-a.writing
		case <-time.After(entryWait):
		}
	}
	for i, w := range waiting {
		w.done <- committed && admitted[i]
	}
}
