package app

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/memory"
	"briarwell.dev/core/peer"
)

// Paths of the control messages between sidecars.
const (
	pathRenew   = "/renew"
	pathLapse   = "/lapse"
	pathSync    = "/sync"
	pathRows    = "/rows"
	pathPropose = "/propose"
	pathLoad    = "/load"
	pathFetch   = "/fetch"
)

const (
	// controlTimeout bounds the exchange of a control message and its response: a round
	// trip between regions takes 40 ms.
	controlTimeout = 600 * time.Millisecond
	// peerIdleTimeout is the time for which an idle connection to another sidecar is kept,
	// half of that sidecar's own timeout. With hundreds of sidecars, each sends only a
	// request in several seconds to each other one, and opening a connection takes 40 ms
	// between regions.
	peerIdleTimeout = idleTimeout / 2
	// maxControlBytes bounds the body of a control message.
	maxControlBytes = 4 << 20
	// controlMemoryBytes bounds the bodies of all control messages, responses to them and reports
	// in progress.
	controlMemoryBytes = 4 * maxControlBytes
	// maxFetchBytes bounds an answer with a compressed row, in base64.
	maxFetchBytes = 16 << 20
)

type renewRequest struct {
	// To is the incarnation of the witness that is to renew its promise.
	To         identity.Incarnation `json:"to"`
	Holder     identity.Incarnation `json:"holder"`
	Generation uint64               `json:"generation"`
	Sequence   uint64               `json:"sequence"`
	// Era is the newest era of the store that the holder knows.
	Era era.Era `json:"era,omitempty"`
}

type renewResponse struct {
	From   identity.Incarnation `json:"from"`
	Result peer.RenewResult     `json:"result"`
	// Era is the newest era of the store that the witness knows.
	Era era.Era `json:"era,omitempty"`
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

// loadResponse is the load of the responder's upstream.
type loadResponse struct {
	Slots int `json:"slots"`
	// ServiceTime is in milliseconds, 0 if the upstream has run no request.
	ServiceTime   clock.Millis `json:"serviceMillis"`
	DemandPercent int          `json:"demandPercent"`
	// FailurePercent is the share of its requests in percent that the upstream failed.
	FailurePercent int `json:"failurePercent"`
	// Capacity and ColdRate are in requests per second, ColdFor is in milliseconds.
	Capacity int          `json:"capacity,omitempty"`
	ColdRate int          `json:"coldRate,omitempty"`
	ColdFor  clock.Millis `json:"coldMillis,omitempty"`
}

func (r loadResponse) load() balance.Load {
	return balance.Load{
		Slots: r.Slots, ServiceTime: r.ServiceTime, DemandPercent: r.DemandPercent, FailurePercent: r.FailurePercent,
		Capacity: r.Capacity, ColdRate: r.ColdRate, ColdFor: r.ColdFor,
	}
}

// peerClients holds an HTTP client for each address of another sidecar. It is safe for
// concurrent use.
type peerClients struct {
	localIP net.IP
	// memory bounds the bodies of responses to control messages.
	memory  *memory.Budget
	mu      sync.Mutex
	clients map[string]*httpclient.Client
}

func newPeerClients(localIP net.IP, budget *memory.Budget) *peerClients {
	return &peerClients{localIP: localIP, memory: budget, clients: make(map[string]*httpclient.Client)}
}

func (p *peerClients) client(address string) *httpclient.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = httpclient.New(address, p.localIP).WithIdleTimeout(peerIdleTimeout)
		p.clients[address] = c
	}
	return c
}

// controlStatusError reports a control message whose response has another status than
// 200.
type controlStatusError struct {
	path   string
	status int
}

func (e *controlStatusError) Error() string {
	return fmt.Sprintf("control message to %s failed: HTTP status %d, expected 200", e.path, e.status)
}

// call sends a control message as JSON and decodes the response. The error is a
// *controlStatusError if the status is not 200.
func (p *peerClients) call(ctx context.Context, address, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	account := p.memory.Open()
	defer account.Close()
	return p.exchange(ctx, address, httpclient.Request{RequestURI: path, Memory: account, MaxResponseBytes: maxControlBytes}, request, response)
}

// fetch is call for a response that may be large. It may take as long as parts of it arrive.
func (p *peerClients) fetch(ctx context.Context, address, path string, request, response any) error {
	r := httpclient.Request{RequestURI: path, MaxResponseBytes: maxFetchBytes, BeginTimeout: fetchBeginTimeout, StallTimeout: fetchBeginTimeout}
	return p.exchange(ctx, address, r, request, response)
}

func (p *peerClients) exchange(ctx context.Context, address string, r httpclient.Request, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	r.Method, r.Host, r.Body = http.MethodPost, address, body
	httpResponse, err := p.client(address).Do(ctx, r)
	if err != nil {
		return err
	}
	if httpResponse.Status != http.StatusOK {
		return &controlStatusError{path: r.RequestURI, status: httpResponse.Status}
	}
	return json.Unmarshal(httpResponse.Body, response)
}

func (a *App) controlHandler() http.Handler {
	mux := http.NewServeMux()
	registerControl(mux, a.controlMemory, pathRenew, a.handleRenew)
	registerControl(mux, a.controlMemory, pathLapse, a.handleLapse)
	registerControl(mux, a.controlMemory, pathSync, a.handleSync)
	registerControl(mux, a.controlMemory, pathPropose, a.handlePropose)
	registerControl(mux, a.controlMemory, pathLoad, a.handleLoad)
	registerControl(mux, a.controlMemory, pathRows, a.handleRows)
	mux.HandleFunc("POST "+pathFetch, a.serveFetch)
	return mux
}

func registerControl[Request, Response any](mux *http.ServeMux, budget *memory.Budget, path string, respond func(Request) Response) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		account := budget.Open()
		defer account.Close()
		var request Request
		if readControl(w, r, account, &request) {
			writeControl(w, respond(request))
		}
	})
}

// readControl reads a control message. If that fails, it writes the response and returns false.
func readControl(w http.ResponseWriter, r *http.Request, account *memory.Account, request any) bool {
	body, err := account.ReadAll(r.Body, r.ContentLength, maxControlBytes)
	if err == nil {
		err = json.Unmarshal(body, request)
	}
	if err != nil {
		w.WriteHeader(messageErrorStatus(err))
	}
	return err == nil
}

func writeControl(w http.ResponseWriter, response any) {
	out, err := json.Marshal(response)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(out) // The other sidecar may have disconnected.
}

// messageErrorStatus returns the HTTP status of the response to a message that can't be read.
func messageErrorStatus(err error) int {
	var exhausted *memory.ExhaustedError
	if errors.As(err, &exhausted) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// handleRenew handles a holder's request that this sidecar, as a witness, renews its
// promise. A holder that does not know the era of the store gets none: the store may have lost the
// change that made it a holder, and it must tell so to those who know the era.
func (a *App) handleRenew(request renewRequest) renewResponse {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Era < s.era {
		return renewResponse{From: s.incarnation, Result: peer.RenewRefused, Era: s.era}
	}
	return renewResponse{Era: s.era, From: s.incarnation, Result: s.leaseWitness.HandleRenew(a.clock.Now(), request.To, request.Holder, request.Generation)}
}

// handleLapse handles another witness's query whether this sidecar's promise to a holder
// has expired.
func (a *App) handleLapse(request lapseRequest) lapseResponse {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return lapseResponse{From: s.incarnation, Lapsed: s.leaseWitness.HandleLapseQuery(a.clock.Now(), request.To, request.Holder, request.Generation)}
}

func (s *state) hasMembers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.view.Members()) > 0
}
