package app

import (
	"context"
	"net/http"
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/httpserver"
	"briarwell.dev/core/rowfetch"
	"briarwell.dev/platform/store"
)

const (
	// fetchBeginTimeout bounds the time until the answer with a large row begins, and the time
	// between two parts of it.
	fetchBeginTimeout = time.Second
	// fetchTimeout bounds a transfer that goes on.
	fetchTimeout = 15 * time.Second
	// ownReadWait is the time in milliseconds for which a sidecar that watches the operator's rows
	// waits for a large row from the store before it fetches the row from another sidecar.
	ownReadWait clock.Millis = 1500
	// fetchWriteBuffer bounds the part of a large row in the kernel, which no longer counts as
	// being sent.
	fetchWriteBuffer = 64 << 10
)

// fetchRequest asks another sidecar for a large row that it has offered.
type fetchRequest struct {
	Key string `json:"key"`
}

type fetchResponse struct {
	Rows []encodedRow `json:"rows"`
}

// fetches holds the offers of other sidecars, and the large row that was compressed last.
type fetches struct {
	mu     sync.Mutex
	queue  rowfetch.Queue
	budget rowfetch.Budget

	packMu sync.Mutex
	key    string
	origin era.Revision
	packed []byte
}

// separateLarge returns the small rows, and the stamps of the large ones, which are offered
// instead of sent. All rows count as small if the receiver does not fetch.
func separateLarge(rows []era.Row, receiverFetches bool) ([]era.Row, map[string]era.Stamp) {
	if !receiverFetches {
		return rows, nil
	}
	small := make([]era.Row, 0, len(rows))
	var offers map[string]era.Stamp
	for _, row := range rows {
		if len(row.Value()) < rowfetch.MinBytes {
			small = append(small, row)
			continue
		}
		if offers == nil {
			offers = make(map[string]era.Stamp)
		}
		offers[row.Key()] = row.Stamp
	}
	return small, offers
}

// addOffers records the large rows that another sidecar has, and fetches those that are newer.
func (a *App) addOffers(from string, offers map[string]era.Stamp) {
	if len(offers) == 0 {
		return
	}
	notBefore := a.clock.Now()
	if a.watching[store.OperatorRows].Load() && a.feedReachable[store.OperatorRows].Load() {
		notBefore += ownReadWait
	}
	a.fetches.mu.Lock()
	for key, stamp := range offers {
		if !a.rows.Get(key).Covers(stamp) {
			a.fetches.queue.Add(rowfetch.Offer{Key: key, Stamp: stamp, From: from, NotBefore: notBefore})
		}
	}
	a.fetches.mu.Unlock()
	a.fetchNext()
}

// fetchNext starts the fetch that is due, if any.
func (a *App) fetchNext() {
	a.fetches.mu.Lock()
	offer, ok := a.fetches.queue.Next(a.clock.Now(), func(key string) era.Stamp { return a.rows.Get(key).Stamp })
	a.fetches.mu.Unlock()
	if !ok {
		return
	}
	a.goOnce("fetchRow", func() {
		fetched := false
		defer func() {
			a.fetches.mu.Lock()
			a.fetches.queue.Done(a.clock.Now(), offer, fetched)
			a.fetches.mu.Unlock()
			a.fetchNext()
		}()
		fetched = a.fetchRow(offer)
	})
}

// fetchRow fetches a large row from the sidecar that offered it, applies it and relays it. It
// reports whether it got the offered row.
func (a *App) fetchRow(offer rowfetch.Offer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	began := a.clock.Now()
	var response fetchResponse
	err := a.peers.fetch(ctx, offer.From, pathFetch, fetchRequest{Key: offer.Key}, &response)
	for i := range response.Rows {
		if row := &response.Rows[i]; err == nil && len(row.Packed) > 0 {
			row.Value, err = rowfetch.Unpack(row.Packed)
		}
	}
	if err != nil {
		a.log.Warn().Err(err).Str("row", offer.Key).Str("peer", offer.From).Int64("tookMillis", int64(a.clock.Now()-began)).Msg("rowNotFetched")
		return false
	}
	changed, _ := a.applyEncodedRows(response.Rows)
	a.relayRows(context.Background(), changed, false)
	stamp := a.rows.Get(offer.Key).Stamp
	a.log.Info().Str("row", offer.Key).Str("peer", offer.From).Stringer("revision", stamp).Int64("tookMillis", int64(a.clock.Now()-began)).Msg("rowFetched")
	return stamp.Covers(offer.Stamp)
}

// serveFetch sends a large row to another sidecar, unless too many are being sent.
func (a *App) serveFetch(w http.ResponseWriter, r *http.Request) {
	account := a.controlMemory.Open()
	defer account.Close()
	var request fetchRequest
	if !readControl(w, r, account, &request) {
		return
	}
	response := a.handleFetch(request)
	size := 0
	for _, row := range response.Rows {
		size += len(row.Packed)
	}
	a.fetches.mu.Lock()
	started := a.fetches.budget.Start(size)
	a.fetches.mu.Unlock()
	if !started {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		a.fetches.mu.Lock()
		a.fetches.budget.Done(size)
		a.fetches.mu.Unlock()
	}()
	httpserver.SetWriteBuffer(r.Context(), fetchWriteBuffer)
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(fetchTimeout)) // Fails if the connection is closed.
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	writeControl(w, response)
	_ = controller.Flush()
}

// handleFetch answers another sidecar's request for a large row.
func (a *App) handleFetch(request fetchRequest) fetchResponse {
	row := a.rows.Get(request.Key)
	if row.Origin().IsZero() {
		return fetchResponse{}
	}
	packed, err := a.pack(row)
	if err != nil {
		a.log.Error().Err(err).Str("row", request.Key).Msg("rowNotPacked")
		return fetchResponse{}
	}
	response := fetchResponse{}
	for _, r := range a.withEvacuations([]era.Row{row}) {
		encoded := encodedRow{Key: r.Key(), Stamp: r.Stamp, Value: r.Value()}
		if r.Key() == row.Key() {
			encoded.Value, encoded.Packed = nil, packed
		}
		response.Rows = append(response.Rows, encoded)
	}
	return response
}

// pack returns the compressed value of a row.
func (a *App) pack(row era.Row) ([]byte, error) {
	f := &a.fetches
	f.packMu.Lock()
	defer f.packMu.Unlock()
	if f.key == row.Key() && f.origin == row.Origin() {
		return f.packed, nil
	}
	packed, err := rowfetch.Pack(row.Value())
	if err == nil {
		f.key, f.origin, f.packed = row.Key(), row.Origin(), packed
	}
	return packed, err
}

// knowsPeer reports whether a member has the address for control messages.
func (s *state) knowsPeer(address string) bool {
	_, known := s.memberAt(address)
	return known
}

// memberAt returns the member with the address for control messages, or false if there is none.
func (s *state) memberAt(address string) (fleet.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.view.Members() {
		if m.Instance.PeerAddress() == address {
			return m, true
		}
	}
	return fleet.Member{}, false
}
