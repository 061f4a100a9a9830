package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/table"
)

// Paths of the control messages between sidecars.
const (
	pathRenew   = "/renew"
	pathLapse   = "/lapse"
	pathSync    = "/sync"
	pathRows    = "/rows"
	pathPropose = "/propose"
)

const (
	// controlTimeout bounds a control message: a trip between regions takes 40 ms.
	controlTimeout = 600 * time.Millisecond
	// maxControlBytes bounds a control message.
	maxControlBytes = 4 << 20
)

type renewRequest struct {
	// To is the incarnation of the witness that is asked.
	To         identity.Incarnation `json:"to"`
	Holder     identity.Incarnation `json:"holder"`
	Generation uint64               `json:"generation"`
	Sequence   uint64               `json:"sequence"`
}

type renewResponse struct {
	From   identity.Incarnation `json:"from"`
	Result peer.RenewResult     `json:"result"`
}

type lapseRequest struct {
	To         identity.Incarnation `json:"to"`
	Holder     identity.Incarnation `json:"holder"`
	Generation uint64               `json:"generation"`
}

type lapseResponse struct {
	From   identity.Incarnation `json:"from"`
	Lapsed bool                 `json:"lapsed"`
}

type encodedRow struct {
	Key     string         `json:"key"`
	Version table.Revision `json:"version"`
	Value   []byte         `json:"value"`
}

// syncRequest compares rows: first by their sum, then, if that differs, by their
// versions.
type syncRequest struct {
	Sum      uint64                    `json:"sum"`
	Versions map[string]table.Revision `json:"versions,omitempty"`
}

type syncResponse struct {
	// Same tells that the sums are equal.
	Same bool `json:"same"`
	// Watching tells that the sender follows the store.
	Watching bool `json:"reading"`
	// Rows are newer than the versions that were sent.
	Rows []encodedRow `json:"rows,omitempty"`
	// Behind tells that the sender lacks rows of the receiver's.
	Behind bool `json:"behind"`
}

type rowsRequest struct {
	Rows []encodedRow `json:"rows"`
}

func encodeRows(rows []table.Row) []encodedRow {
	out := make([]encodedRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, encodedRow{Key: r.Key(), Version: r.Version(), Value: r.Value()})
	}
	return out
}

func decodeRows(messages []encodedRow) []table.Row {
	out := make([]table.Row, 0, len(messages))
	for _, m := range messages {
		out = append(out, table.NewRow(m.Key, m.Version, m.Value))
	}
	return out
}

// peerClients keeps a client for each address of other sidecars.
type peerClients struct {
	localIP net.IP
	mu      sync.Mutex
	clients map[string]*httpclient.Client
}

func newPeerClients(localIP net.IP) *peerClients {
	return &peerClients{localIP: localIP, clients: make(map[string]*httpclient.Client)}
}

func (p *peerClients) client(address string) *httpclient.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = httpclient.New(address, p.localIP)
		p.clients[address] = c
	}
	return c
}

// controlStatusError reports a control message without a usable answer.
type controlStatusError struct {
	path   string
	status int
}

func (e *controlStatusError) Error() string {
	return fmt.Sprintf("message %s was answered with status %d", e.path, e.status)
}

// call sends a control message and reads its answer.
func (p *peerClients) call(ctx context.Context, address, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	got, err := p.client(address).Do(ctx, httpclient.Request{Method: http.MethodPost, RequestURI: path, Host: address, Body: body})
	if err != nil {
		return err
	}
	if got.Status != http.StatusOK {
		return &controlStatusError{path: path, status: got.Status}
	}
	return json.Unmarshal(got.Body, answer)
}

func (a *App) controlHandler() http.Handler {
	mux := http.NewServeMux()
	handleControl(mux, pathRenew, a.handleRenew)
	handleControl(mux, pathLapse, a.handleLapse)
	handleControl(mux, pathSync, a.handleSync)
	handleControl(mux, pathPropose, a.handlePropose)
	handleControl(mux, pathRows, func(m rowsRequest) struct{} {
		a.relayRows(context.Background(), a.applyRows(decodeRows(m.Rows)), false)
		return struct{}{}
	})
	return mux
}

func handleControl[M, A any](mux *http.ServeMux, path string, answer func(M) A) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var message M
		body, err := io.ReadAll(io.LimitReader(r.Body, maxControlBytes))
		if err == nil {
			err = json.Unmarshal(body, &message)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		out, err := json.Marshal(answer(message))
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(out) // The other sidecar may have given up.
	})
}

// handleRenew answers a holder that asks this sidecar for a promise.
func (a *App) handleRenew(m renewRequest) renewResponse {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return renewResponse{From: s.incarnation, Result: s.guard.HandleRenew(a.clock.Now(), m.To, m.Holder, m.Generation)}
}

// handleLapse answers another witness that asks whether a promise has expired.
func (a *App) handleLapse(m lapseRequest) lapseResponse {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return lapseResponse{From: s.incarnation, Lapsed: s.guard.HandleLapseQuery(a.clock.Now(), m.To, m.Holder, m.Generation)}
}

func (s *state) hasMembers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.view.Members()) > 0
}

func (s *state) recordDeparture(now clock.Millis, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.tracker.MarkLeaving(id)
	if left && s.leaveAcknowledgedAt == 0 {
		s.leaveAcknowledgedAt = now
	}
	return left
}
