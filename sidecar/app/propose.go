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
	// proposalBatchDelay is the time for which proposals are collected before they are
	// written together; a write takes up to 45 ms.
	proposalBatchDelay = 60 * time.Millisecond
	// proposalTimeout bounds the wait for the write of a batch of proposals; it is below
	// controlTimeout, so that the sender still gets the response.
	proposalTimeout = 500 * time.Millisecond
)

// proposeRequest proposes a change of the assignment of a service to the sidecar of
// another holder of that service: to add the sender's upstream as a holder, or to move keys.
type proposeRequest struct {
	Service string `json:"service"`
	// Holder is the holder to add. Incarnation and Generation are then those of the
	// lease that the holder replaces in the sender's copy of the assignment, 0 if there
	// is none.
	Holder     json.RawMessage `json:"holder,omitempty"`
	Generation uint64          `json:"generation,omitempty"`
	// Owner is the sender's instance if it moves keys, Incarnation its process.
	Owner       string               `json:"owner,omitempty"`
	Incarnation identity.Incarnation `json:"incarnation"`
	Moves       []encodedMove        `json:"moves,omitempty"`
	// Known is the revision of the assignment that the sender knows.
	Known table.Revision `json:"known,omitempty"`
}

type encodedMove struct {
	First keyspace.Key `json:"first"`
	Last  keyspace.Key `json:"last"`
	To    string       `json:"to"`
}

type proposeResponse struct {
	Written bool `json:"written"`
	// Rows holds what the sender lacks of the responder's copy of the assignment.
	Rows []encodedRow `json:"rows,omitempty"`
}

// encodeProposal returns the request that carries a proposal.
func encodeProposal(service string, p keyowner.Proposal) (proposeRequest, error) {
	request := proposeRequest{Service: service}
	switch p := p.(type) {
	case keyowner.JoinProposal:
		var err error
		request.Incarnation, request.Generation = p.ReplacedLease()
		request.Holder, err = keyspace.EncodeHolder(p.Holder())
		return request, err
	case keyowner.MoveProposal:
		request.Owner, request.Incarnation = p.Owner()
		for _, move := range p.Moves() {
			request.Moves = append(request.Moves, encodedMove{First: move.Span().First(), Last: move.Span().Last(), To: move.NextOwner()})
		}
	}
	return request, nil
}

// decode returns the proposal in a request.
func (r proposeRequest) decode() (keyowner.Proposal, error) {
	if r.Owner == "" {
		h, err := keyspace.DecodeHolder(r.Holder)
		return keyowner.NewJoinProposal(h, r.Incarnation, r.Generation), err
	}
	moves := make([]keyowner.Move, 0, len(r.Moves))
	for _, move := range r.Moves {
		moves = append(moves, keyowner.NewMove(keyspace.NewSpan(move.First, move.Last), move.To))
	}
	return keyowner.NewMoveProposal(r.Owner, r.Incarnation, moves), nil
}

// proposalQueue holds the proposals that are to be written together.
type proposalQueue struct {
	mu      sync.Mutex
	pending []pendingProposal
}

type pendingProposal struct {
	proposal keyowner.Proposal
	// committed receives whether the proposal was written.
	committed chan bool
}

// add appends a proposal and reports whether it is the first one in the queue.
func (q *proposalQueue) add(p pendingProposal) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, p)
	return len(q.pending) == 1
}

// takeAll removes and returns all proposals.
func (q *proposalQueue) takeAll() []pendingProposal {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.pending
	q.pending = nil
	return taken
}

// propose sends a change to the sidecar of another holder, which writes it, unless another
// operation holds the write semaphore. It returns false if this sidecar must write the
// change itself, or if there is no proposal target.
func (a *App) propose(ctx context.Context, change keyowner.Change) bool {
	s := a.state
	s.mu.Lock()
	assignment, known := s.keyController.Assignment()
	proposal, ok := s.keyController.ProposalFor(change)
	target, found := s.proposalTarget(a.clock.Now(), assignment)
	s.mu.Unlock()
	if !ok || !found {
		return false
	}
	request, err := encodeProposal(s.service, proposal)
	if err != nil {
		a.log.Error().Err(err).Msg("proposalNotEncoded")
		return false
	}
	request.Known = known
	select {
	case a.writeSemaphore <- struct{}{}:
	default:
		return true
	}
	a.goOnce("propose", func() {
		defer func() { <-a.writeSemaphore }()
		var response proposeResponse
		err := a.peers.call(ctx, target.Instance.PeerAddress(), pathPropose, request, &response)
		a.log.Info().Err(err).Str("reason", change.Reason()).Str("sponsor", target.Instance.Name()).Bool("written", response.Written).Msg("changeProposed")
		if err != nil {
			s.markUnreachable(a.clock.Now(), target)
		}
		a.applyEncodedRows(response.Rows)
		if !response.Written {
			sleepJittered(ctx, minConflictBackoff)
			return
		}
		if change.Reason() != keyowner.ReasonJoin {
			s.mu.Lock()
			s.keyController.HandleMovesWritten()
			s.mu.Unlock()
		}
	})
	return true
}

// proposalTarget returns the first other holder of the assignment whose sidecar is not
// marked as unreachable, so that all sidecars send their proposals to the same one. The
// caller holds s.mu.
func (s *state) proposalTarget(now clock.Millis, assignment keyspace.Assignment) (fleet.Member, bool) {
	for _, h := range assignment.Holders() {
		if h.InstanceName() != s.instance.Name() && now >= s.unreachableUntil[h.InstanceName()] {
			return fleet.Member{Instance: h.Member().Instance(), Incarnation: h.Member().Incarnation()}, true
		}
	}
	return fleet.Member{}, false
}

// handlePropose writes a change that another sidecar proposes, in a batch with other
// proposals. If the write takes longer than proposalTimeout, it reports the change as not
// written.
func (a *App) handlePropose(request proposeRequest) proposeResponse {
	proposal, err := request.decode()
	if err != nil || request.Service != a.settings.Service() {
		a.log.Warn().Err(err).Str("service", request.Service).Msg("proposalRejected")
		return proposeResponse{}
	}
	pending := pendingProposal{proposal: proposal, committed: make(chan bool, 1)}
	if a.proposals.add(pending) {
		time.AfterFunc(proposalBatchDelay, func() { a.goOnce("commitProposals", a.commitProposals) })
	}
	var response proposeResponse
	select {
	case response.Written = <-pending.committed:
	case <-time.After(proposalTimeout):
	}
	key := fleet.AssignmentKey(request.Service)
	if row := a.rows.Get(key); row.Version() > request.Known {
		response.Rows = a.encodeRowsSince([]table.Row{row}, map[string]table.Revision{key: request.Known})
	}
	return response
}

// commitProposals writes all queued proposals in one commit, which is not retried: after
// a conflict the senders propose again.
func (a *App) commitProposals() {
	// The write is not cancelled at a stop, which ends the process soon after; the call's
	// own timeout bounds it.
	ctx := context.Background()
	pending := a.proposals.takeAll()
	proposals := make([]keyowner.Proposal, 0, len(pending))
	for _, p := range pending {
		proposals = append(proposals, p.proposal)
	}
	a.state.mu.Lock()
	assignment, base := a.state.keyController.Assignment()
	a.state.mu.Unlock()
	change, applied := keyowner.ApplyProposals(assignment, base, proposals)
	committed := false
	if change.Reason() != "" {
		select {
		case a.writeSemaphore <- struct{}{}:
			committed = a.commitAssignmentLocked(ctx, a.settings.Service(), change, false)
			<-a.writeSemaphore
		case <-time.After(proposalTimeout):
		}
	}
	for i, p := range pending {
		p.committed <- committed && applied[i]
	}
}
