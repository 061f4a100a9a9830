package app

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
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
// another holder of that service: to add the sender's upstream as a holder, to mark it as leaving
// or remove it, to move keys, or to hand over the keys that its upstream has released.
type proposeRequest struct {
	Service string `json:"service"`
	// Holder is the holder to add. Incarnation and Generation are then those of the
	// lease that the holder replaces in the sender's copy of the assignment, 0 if there
	// is none.
	Holder     json.RawMessage `json:"holder,omitempty"`
	Generation uint64          `json:"generation,omitempty"`
	// Owner is the sender's instance if it moves keys or leaves, Incarnation its process.
	Owner       string               `json:"owner,omitempty"`
	Incarnation identity.Incarnation `json:"incarnation"`
	Moves       []encodedMove        `json:"moves,omitempty"`
	Leave       bool                 `json:"leave,omitempty"`
	// Released has the keys to hand over, MoveGeneration the owner's move generation.
	Released       []encodedRelease `json:"released,omitempty"`
	MoveGeneration uint64           `json:"moveGeneration,omitempty"`
	// Known is the stamp of the assignment that the sender knows.
	Known era.Stamp `json:"known,omitzero"`
}

type encodedMove struct {
	First keyspace.Key `json:"first"`
	Last  keyspace.Key `json:"last"`
	To    string       `json:"to"`
}

type encodedRelease struct {
	First keyspace.Key   `json:"first"`
	Last  keyspace.Key   `json:"last"`
	Epoch identity.Epoch `json:"epoch"`
	Token string         `json:"token,omitempty"`
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
	case keyowner.LeaveProposal:
		request.Owner, request.Incarnation = p.Owner()
		request.Leave = true
	case keyowner.MoveProposal:
		request.Owner, request.Incarnation = p.Owner()
		for _, move := range p.Moves() {
			request.Moves = append(request.Moves, encodedMove{First: move.Span().First(), Last: move.Span().Last(), To: move.NextOwner()})
		}
	case keyowner.HandoverProposal:
		request.Owner, request.Incarnation = p.Owner()
		request.MoveGeneration = p.MoveGeneration()
		for _, r := range p.Released() {
			request.Released = append(request.Released, encodedRelease{First: r.First(), Last: r.Last(), Epoch: r.Epoch(), Token: r.HandoverToken()})
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
	if r.Leave {
		return keyowner.NewLeaveProposal(r.Owner, r.Incarnation), nil
	}
	if len(r.Released) > 0 {
		released := make([]keyowner.ReleasedRange, 0, len(r.Released))
		for _, e := range r.Released {
			released = append(released, keyowner.NewReleasedRange(keyspace.NewReleasedSpan(keyspace.NewSpan(e.First, e.Last), e.Token), e.Epoch))
		}
		return keyowner.NewHandoverProposal(r.Owner, r.Incarnation, r.MoveGeneration, released), nil
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
	target, ok := s.proposalTarget(a.clock.Now(), assignment)
	var proposal keyowner.Proposal
	if ok {
		proposal, ok = s.keyController.ProposalFor(change)
	}
	s.mu.Unlock()
	if !ok {
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
		a.recordKeysPassed(s.service, change)
		if change.Reason() == keyowner.ReasonMove {
			s.mu.Lock()
			s.keyController.HandleMovesWritten()
			s.mu.Unlock()
		}
	})
	return true
}

// proposesFirst reports whether changes of the assignment are proposed to another sidecar
// before this one tries to write them: with many holders, most writes of their own would
// conflict.
func (s *state) proposesFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.view.Assignment(s.service).Assignment.Holders()) > maxDirectWriters {
		return true
	}
	members := 0
	for _, m := range s.view.Members() {
		if m.Service == s.service {
			members++
		}
	}
	return members > maxDirectWriters
}

// maxDirectWriters is the number of holders of a service up to which each writes its own
// changes first: a proposal takes another round trip and the delay of a batch.
const maxDirectWriters = 8

// proposalTarget returns the strongest holder of the assignment whose sidecar is not marked
// as unreachable, so that all sidecars send their proposals to the same one. While there are
// no holders, it is the strongest member of the service. It returns false if that is this
// sidecar, which writes the proposals of the others too. The caller holds s.mu.
func (s *state) proposalTarget(now clock.Millis, assignment keyspace.Assignment) (fleet.Member, bool) {
	candidates := make([]fleet.Member, 0, len(assignment.Holders()))
	for _, h := range assignment.Holders() {
		m, _ := s.view.Member(h.InstanceName())
		candidates = append(candidates, fleet.Member{Instance: h.Member().Instance(), Incarnation: h.Member().Incarnation(), Service: s.service, Strength: m.Strength})
	}
	if len(candidates) == 0 {
		candidates = s.view.Members()
	}
	var best fleet.Member
	found := false
	for _, m := range candidates {
		if m.Service == s.service && now >= s.unreachableUntil[m.Instance.Name()] && (!found || m.Strength > best.Strength) {
			best, found = m, true
		}
	}
	return best, found && !s.isSelf(best)
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
	if row := a.rows.Get(key); !request.Known.Covers(row.Stamp) {
		response.Rows = a.encodeRowsSince([]era.Row{row}, map[string]era.Revision{key: request.Known.Origin()})
	}
	return response
}

// commitProposals writes all queued proposals in one commit, which is not retried: after
// a conflict the senders propose again.
func (a *App) commitProposals() {
	// The write is not cancelled at a stop, which ends the process soon after; the call's
	// own timeout bounds it.
	ctx := context.Background()
	// The assignment is read only once no other write is in progress: it would be out of
	// date after that write.
	a.writeSemaphore <- struct{}{}
	defer func() { <-a.writeSemaphore }()
	pending := a.proposals.takeAll()
	proposals := make([]keyowner.Proposal, 0, len(pending))
	for _, p := range pending {
		proposals = append(proposals, p.proposal)
	}
	a.state.mu.Lock()
	assignment, stamp := a.state.keyController.Assignment()
	mayChange := a.state.keyController.MayChange(a.clock.Now())
	a.state.mu.Unlock()
	change, applied := keyowner.ApplyProposals(assignment, stamp.Version(), proposals)
	committed := false
	if change.Reason() != "" && mayChange {
		committed = a.commitAssignmentLocked(ctx, a.settings.Service(), change, false)
	}
	for i, p := range pending {
		p.committed <- committed && applied[i]
	}
}
