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
	// messageTimeout bounds a control message: a trip between regions takes 40 ms.
	messageTimeout = 600 * time.Millisecond
	// maxMessageBytes bounds a control message.
	maxMessageBytes = 4 << 20
)

type renewMessage struct {
	// To is the incarnation of the witness that is asked.
	To         identity.Incarnation `json:"to"`
	Holder     identity.Incarnation `json:"holder"`
	Generation uint64               `json:"generation"`
	Sequence   uint64               `json:"sequence"`
}

type renewAnswer struct {
	From   identity.Incarnation `json:"from"`
	Result peer.RenewResult     `json:"result"`
}

type lapseMessage struct {
	To         identity.Incarnation `json:"to"`
	Holder     identity.Incarnation `json:"holder"`
	Generation uint64               `json:"generation"`
}

type lapseAnswer struct {
	From   identity.Incarnation `json:"from"`
	Lapsed bool                 `json:"lapsed"`
}

type rowMessage struct {
	Key     string         `json:"key"`
	Version table.Revision `json:"version"`
	Value   []byte         `json:"value"`
}

// syncMessage compares rows: first by their sum, then, if that differs, by their
// versions.
type syncMessage struct {
	Sum      uint64                    `json:"sum"`
	Versions map[string]table.Revision `json:"versions,omitempty"`
}

type syncAnswer struct {
	// Same tells that the sums are equal.
	Same bool `json:"same"`
	// Reading tells that the sender follows the store.
	Reading bool `json:"reading"`
	// Rows are newer than the versions that were sent.
	Rows []rowMessage `json:"rows,omitempty"`
	// Behind tells that the sender lacks rows of the receiver's.
	Behind bool `json:"behind"`
}

type rowsMessage struct {
	Rows []rowMessage `json:"rows"`
}

func encodeRows(rows []table.Row) []rowMessage {
	out := make([]rowMessage, 0, len(rows))
	for _, r := range rows {
		out = append(out, rowMessage{Key: r.Key(), Version: r.Version(), Value: r.Value()})
	}
	return out
}

func decodeRows(messages []rowMessage) []table.Row {
	out := make([]table.Row, 0, len(messages))
	for _, m := range messages {
		out = append(out, table.NewRow(m.Key, m.Version, m.Value))
	}
	return out
}

// peers keeps a client for each address of other sidecars.
type peers struct {
	localIP net.IP
	mu      sync.Mutex
	clients map[string]*httpclient.Client
}

func newPeers(localIP net.IP) *peers {
	return &peers{localIP: localIP, clients: make(map[string]*httpclient.Client)}
}

func (p *peers) client(address string) *httpclient.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = httpclient.New(address, p.localIP)
		p.clients[address] = c
	}
	return c
}

// messageError reports a control message without a usable answer.
type messageError struct {
	path   string
	status int
}

func (e *messageError) Error() string {
	return fmt.Sprintf("message %s was answered with status %d", e.path, e.status)
}

// ask sends a control message and reads its answer.
func (p *peers) ask(ctx context.Context, address, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	got, err := p.client(address).Do(ctx, httpclient.Request{Method: http.MethodPost, RequestURI: path, Host: address, Body: body})
	if err != nil {
		return err
	}
	if got.Status != http.StatusOK {
		return &messageError{path: path, status: got.Status}
	}
	return json.Unmarshal(got.Body, answer)
}

func (a *App) controlHandler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathRenew, a.renew)
	handle(mux, pathLapse, a.lapse)
	handle(mux, pathSync, a.answerSync)
	handle(mux, pathPropose, a.answerPropose)
	handle(mux, pathRows, func(m rowsMessage) struct{} {
		a.spreadRows(context.Background(), a.takeRows(decodeRows(m.Rows)), false)
		return struct{}{}
	})
	return mux
}

func handle[M, A any](mux *http.ServeMux, path string, answer func(M) A) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var message M
		body, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
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

// renew answers a holder that asks this sidecar for a promise.
func (a *App) renew(m renewMessage) renewAnswer {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return renewAnswer{From: s.incarnation, Result: s.guard.HandleRenew(a.clock.Now(), m.To, m.Holder, m.Generation)}
}

// lapse answers another witness that asks whether a promise has expired.
func (a *App) lapse(m lapseMessage) lapseAnswer {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return lapseAnswer{From: s.incarnation, Lapsed: s.guard.HandleLapseQuery(a.clock.Now(), m.To, m.Holder, m.Generation)}
}

func (s *state) hasMembers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.view.Members()) > 0
}

func (s *state) depart(now clock.Millis, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.tracker.MarkLeaving(id)
	if left && s.leftAt == 0 {
		s.leftAt = now
	}
	return left
}
