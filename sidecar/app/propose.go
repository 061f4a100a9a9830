package app

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/table"
)

const (
	// gatherTime is the time for which proposals are gathered before they are written
	// together; a write takes up to 45 ms.
	gatherTime = 60 * time.Millisecond
	// proposalWait bounds the wait for a write of gathered proposals; it is below
	// messageTimeout.
	proposalWait = 500 * time.Millisecond
)

// proposeMessage asks the sidecar of another holder to change the division of their
// service: to enter an upstream, or to move keys.
type proposeMessage struct {
	Service string `json:"service"`
	// Holder is that of an entry. Incarnation and Generation are then those of the
	// lease that the sender saw in the place of its instance, 0 if there was none.
	Holder     json.RawMessage `json:"holder,omitempty"`
	Generation uint64          `json:"generation,omitempty"`
	// Owner is the sender's instance, Incarnation its process, if it moves keys.
	Owner       string               `json:"owner,omitempty"`
	Incarnation identity.Incarnation `json:"incarnation"`
	Moves       []moveMessage        `json:"moves,omitempty"`
}

type moveMessage struct {
	First keyspace.Key `json:"first"`
	Last  keyspace.Key `json:"last"`
	To    string       `json:"to"`
}

type proposeAnswer struct {
	Written bool `json:"written"`
	// Rows has the row of the division as the receiver knows it.
	Rows []rowMessage `json:"rows,omitempty"`
}

// encodeProposal returns the message for a proposal.
func encodeProposal(service string, p keyowner.Proposal) (proposeMessage, error) {
	m := proposeMessage{Service: service}
	switch p := p.(type) {
	case keyowner.JoinProposal:
		var err error
		m.Incarnation, m.Generation = p.ReplacedLease()
		m.Holder, err = keyspace.EncodeHolder(p.Holder())
		return m, err
	case keyowner.MoveProposal:
		m.Owner, m.Incarnation = p.Owner()
		for _, move := range p.Moves() {
			m.Moves = append(m.Moves, moveMessage{First: move.Span().First(), Last: move.Span().Last(), To: move.To()})
		}
	}
	return m, nil
}

// decode returns the proposal of a message.
func (m proposeMessage) decode() (keyowner.Proposal, error) {
	if m.Owner == "" {
		h, err := keyspace.DecodeHolder(m.Holder)
		return keyowner.NewJoinProposal(h, m.Incarnation, m.Generation), err
	}
	moves := make([]keyowner.Move, 0, len(m.Moves))
	for _, move := range m.Moves {
		moves = append(moves, keyowner.NewMove(keyspace.NewSpan(move.First, move.Last), move.To))
	}
	return keyowner.NewMoveProposal(m.Owner, m.Incarnation, moves), nil
}

// proposalQueue holds the proposals that wait to be written together.
type proposalQueue struct {
	mu      sync.Mutex
	waiting []waitingProposal
}

type waitingProposal struct {
	proposal keyowner.Proposal
	done     chan bool
}

// add adds a proposal and tells whether it is the first one that waits.
func (q *proposalQueue) add(p waitingProposal) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, p)
	return len(q.waiting) == 1
}

func (q *proposalQueue) takeAll() []waitingProposal {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.waiting
	q.waiting = nil
	return taken
}

// propose asks the sidecar of another holder to write a change. It returns false if
// there is nobody to ask, or if this sidecar must write it itself.
func (a *App) propose(ctx context.Context, change keyowner.Change) bool {
	s := a.state
	s.mu.Lock()
	division, _ := s.custodian.Division()
	proposal, ok := s.custodian.ProposalFor(change)
	to, known := s.sponsor(a.clock.Now(), division)
	s.mu.Unlock()
	if !ok || !known {
		return false
	}
	message, err := encodeProposal(s.service, proposal)
	if err != nil {
		a.log.Error().Err(err).Msg("proposalNotEncoded")
		return false
	}
	select {
	case a.writing <- struct{}{}:
	default:
		return true
	}
	go func() {
		defer func() { <-a.writing }()
		var answer proposeAnswer
		err := a.peers.ask(ctx, to.Instance.PeerAddress(), pathPropose, message, &answer)
		a.log.Info().Err(err).Str("reason", change.Reason()).Str("sponsor", to.Instance.Name()).Bool("written", answer.Written).Msg("changeProposed")
		if err != nil {
			s.absent(a.clock.Now(), to)
		}
		a.takeRows(decodeRows(answer.Rows))
		if !answer.Written {
			pause(ctx, conflictPause)
			return
		}
		if change.Reason() != keyowner.ReasonJoin {
			s.mu.Lock()
			s.custodian.HandleMovesWritten()
			s.mu.Unlock()
		}
	}()
	return true
}

// sponsor returns the first other holder whose sidecar has answered lately: all ask
// the same one. s.mu is held.
func (s *state) sponsor(now clock.Millis, d keyspace.Assignment) (fleet.Member, bool) {
	for _, h := range d.Holders() {
		if h.InstanceName() != s.instance.Name() && now >= s.absentUntil[h.InstanceName()] {
			return fleet.Member{Instance: h.Member().Instance(), Incarnation: h.Member().Incarnation()}, true
		}
	}
	return fleet.Member{}, false
}

// answerPropose writes a change that another sidecar wants, together with others.
func (a *App) answerPropose(m proposeMessage) proposeAnswer {
	proposal, err := m.decode()
	if err != nil || m.Service != a.settings.Service() {
		a.log.Warn().Err(err).Str("service", m.Service).Msg("proposalRejected")
		return proposeAnswer{}
	}
	waiting := waitingProposal{proposal: proposal, done: make(chan bool, 1)}
	if a.proposals.add(waiting) {
		time.AfterFunc(gatherTime, a.writeProposals)
	}
	var answer proposeAnswer
	select {
	case answer.Written = <-waiting.done:
	case <-time.After(proposalWait):
	}
	if row := a.rows.Get(fleet.AssignmentKey(m.Service)); row.Version() > 0 {
		answer.Rows = encodeRows([]table.Row{row})
	}
	return answer
}

// writeProposals writes the proposals that wait, once: if another change comes first,
// their senders ask again.
func (a *App) writeProposals() {
	// A stop ends the process soon after; the write is left to its own timeout.
	ctx := context.Background()
	waiting := a.proposals.takeAll()
	proposals := make([]keyowner.Proposal, 0, len(waiting))
	for _, w := range waiting {
		proposals = append(proposals, w.proposal)
	}
	a.state.mu.Lock()
	division, base := a.state.custodian.Division()
	a.state.mu.Unlock()
	change, admitted := keyowner.ApplyProposals(division, base, proposals)
	committed := false
	if change.Reason() != "" {
		select {
		case a.writing <- struct{}{}:
			committed = a.commitNow(ctx, a.settings.Service(), change, false)
			<-a.writing
		case <-time.After(proposalWait):
		}
	}
	for i, w := range waiting {
		w.done <- committed && admitted[i]
	}
}
