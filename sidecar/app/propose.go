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
	// proposalBatchDelay is the time for which proposals are gathered before they are written
	// together; a write takes up to 45 ms.
	proposalBatchDelay = 60 * time.Millisecond
	// proposalTimeout bounds the wait for a write of gathered proposals; it is below
	// messageTimeout.
	proposalTimeout = 500 * time.Millisecond
)

// proposeRequest asks the sidecar of another holder to change the division of their
// service: to enter an upstream, or to move keys.
type proposeRequest struct {
	Service string `json:"service"`
	// Holder is that of an entry. Incarnation and Generation are then those of the
	// lease that the sender saw in the place of its instance, 0 if there was none.
	Holder     json.RawMessage `json:"holder,omitempty"`
	Generation uint64          `json:"generation,omitempty"`
	// Owner is the sender's instance, Incarnation its process, if it moves keys.
	Owner       string               `json:"owner,omitempty"`
	Incarnation identity.Incarnation `json:"incarnation"`
	Moves       []encodedMove        `json:"moves,omitempty"`
}

type encodedMove struct {
	First keyspace.Key `json:"first"`
	Last  keyspace.Key `json:"last"`
	To    string       `json:"to"`
}

type proposeResponse struct {
	Written bool `json:"written"`
	// Rows has the row of the division as the receiver knows it.
	Rows []encodedRow `json:"rows,omitempty"`
}

// encodeProposal returns the message for a proposal.
func encodeProposal(service string, p keyowner.Proposal) (proposeRequest, error) {
	m := proposeRequest{Service: service}
	switch p := p.(type) {
	case keyowner.JoinProposal:
		var err error
		m.Incarnation, m.Generation = p.ReplacedLease()
		m.Holder, err = keyspace.EncodeHolder(p.Holder())
		return m, err
	case keyowner.MoveProposal:
		m.Owner, m.Incarnation = p.Owner()
		for _, move := range p.Moves() {
			m.Moves = append(m.Moves, encodedMove{First: move.Span().First(), Last: move.Span().Last(), To: move.NextOwner()})
		}
	}
	return m, nil
}

// decode returns the proposal of a message.
func (m proposeRequest) decode() (keyowner.Proposal, error) {
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
	pending []pendingProposal
}

type pendingProposal struct {
	proposal  keyowner.Proposal
	committed chan bool
}

// add adds a proposal and tells whether it is the first one that waits.
func (q *proposalQueue) add(p pendingProposal) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, p)
	return len(q.pending) == 1
}

func (q *proposalQueue) takeAll() []pendingProposal {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.pending
	q.pending = nil
	return taken
}

// propose asks the sidecar of another holder to write a change. It returns false if
// there is nobody to ask, or if this sidecar must write it itself.
func (a *App) propose(ctx context.Context, change keyowner.Change) bool {
	s := a.state
	s.mu.Lock()
	division, _ := s.custodian.Assignment()
	proposal, ok := s.custodian.ProposalFor(change)
	to, known := s.proposalTarget(a.clock.Now(), division)
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
	case a.writeSemaphore <- struct{}{}:
	default:
		return true
	}
	go func() {
		defer func() { <-a.writeSemaphore }()
		var answer proposeResponse
		err := a.peers.call(ctx, to.Instance.PeerAddress(), pathPropose, message, &answer)
		a.log.Info().Err(err).Str("reason", change.Reason()).Str("sponsor", to.Instance.Name()).Bool("written", answer.Written).Msg("changeProposed")
		if err != nil {
			s.markUnreachable(a.clock.Now(), to)
		}
		a.applyRows(decodeRows(answer.Rows))
		if !answer.Written {
			sleepJittered(ctx, minConflictBackoff)
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

// proposalTarget returns the first other holder whose sidecar has answered lately: all ask
// the same one. s.mu is held.
func (s *state) proposalTarget(now clock.Millis, d keyspace.Assignment) (fleet.Member, bool) {
	for _, h := range d.Holders() {
		if h.InstanceName() != s.instance.Name() && now >= s.unreachableUntil[h.InstanceName()] {
			return fleet.Member{Instance: h.Member().Instance(), Incarnation: h.Member().Incarnation()}, true
		}
	}
	return fleet.Member{}, false
}

// handlePropose writes a change that another sidecar wants, together with others.
func (a *App) handlePropose(m proposeRequest) proposeResponse {
	proposal, err := m.decode()
	if err != nil || m.Service != a.settings.Service() {
		a.log.Warn().Err(err).Str("service", m.Service).Msg("proposalRejected")
		return proposeResponse{}
	}
	waiting := pendingProposal{proposal: proposal, committed: make(chan bool, 1)}
	if a.proposals.add(waiting) {
		time.AfterFunc(proposalBatchDelay, a.commitProposals)
	}
	var answer proposeResponse
	select {
	case answer.Written = <-waiting.committed:
	case <-time.After(proposalTimeout):
	}
	if row := a.rows.Get(fleet.AssignmentKey(m.Service)); row.Version() > 0 {
		answer.Rows = encodeRows([]table.Row{row})
	}
	return answer
}

// commitProposals writes the proposals that wait, once: if another change comes first,
// their senders ask again.
func (a *App) commitProposals() {
	// A stop ends the process soon after; the write is left to its own timeout.
	ctx := context.Background()
	waiting := a.proposals.takeAll()
	proposals := make([]keyowner.Proposal, 0, len(waiting))
	for _, w := range waiting {
		proposals = append(proposals, w.proposal)
	}
	a.state.mu.Lock()
	division, base := a.state.custodian.Assignment()
	a.state.mu.Unlock()
	change, admitted := keyowner.ApplyProposals(division, base, proposals)
	committed := false
	if change.Reason() != "" {
		select {
		case a.writeSemaphore <- struct{}{}:
			committed = a.commitDivisionLocked(ctx, a.settings.Service(), change, false)
			<-a.writeSemaphore
		case <-time.After(proposalTimeout):
		}
	}
	for i, w := range waiting {
		w.committed <- committed && admitted[i]
	}
}
