package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, and a change of it in the history.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// storeCopy is the content of the store at one moment.
type storeCopy struct {
	rows    map[string]row
	history []row
	version uint64
}

// store is a stand-in of the platform's metadata store.
type store struct {
	began time.Time

	mu      sync.Mutex
	content storeCopy
	era     int
	// largest is the size in bytes of the largest value that was written, refused the number of calls with
	// a value above rowBytes.
	largest, refused int
	away             bool
	changed          chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), era: 1, content: storeCopy{rows: make(map[string]row)}, changed: make(chan struct{})}
}

// rowBytes is row_bytes in the settings: the largest value of a row.
const rowBytes = 65536

// transactionTime is how long a transaction takes, transaction in the settings.
const transactionTime = 4 * time.Millisecond

// notify wakes the feeds. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write replaces or deletes rows in one transaction. The caller holds s.mu.
func (s *store) write(put, deleted []row) {
	s.content.version++
	for _, r := range put {
		r.Version, r.Deleted = s.content.version, false
		s.content.rows[r.name()] = r
		s.content.history = append(s.content.history, r)
	}
	for _, r := range deleted {
		if _, ok := s.content.rows[r.name()]; !ok {
			continue
		}
		delete(s.content.rows, r.name())
		s.content.history = append(s.content.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.content.version, Deleted: true})
	}
	s.notify()
}

// put writes a row as the operator does, and returns its version.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: table, Key: key, Value: value}}, nil)
	return s.content.version
}

func (s *store) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.version
}

// copyContent returns a copy of the present content.
func (s *store) copyContent() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rows: maps.Clone(s.content.rows), history: slices.Clone(s.content.history), version: s.content.version}
}

// leave makes the store answer every call with 503, also those that wait.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// comeBack makes the store serve again, from a copy.
func (s *store) comeBack(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content, s.away = from, false
	s.era++
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/rows-get":
		s.serveRows(w, r)
	case "GET /v1/rows-feed":
		s.serveFeed(w, r)
	case "POST /v1/rows-tx":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// respond writes an answer. The caller holds s.mu.
func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable || status == http.StatusGone {
		w.WriteHeader(status)
		return
	}
	body := map[string]any{"schema_version": s.content.version, "now": strconv.FormatInt(time.Since(s.began).Milliseconds(), 10) + "ms"}
	if rows != nil {
		body["rows"], body["has_more"] = rows, more
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// maxRows is the largest number of rows in an answer.
const maxRows = 500

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		s.respond(w, http.StatusServiceUnavailable, nil, false)
		return
	}
	found := []row{}
	for _, r := range s.content.rows {
		if r.Table == query.Get("table") && r.Part == query.Get("part") && r.Key >= query.Get("from") && (query.Get("target") == "" || r.Key < query.Get("target")) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	s.respond(w, http.StatusOK, found[:min(limit, len(found))], len(found) > limit)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		era, changed := s.era, s.changed
		switch {
		case s.away:
			s.respond(w, http.StatusServiceUnavailable, nil, false)
		case after > s.content.version:
			s.respond(w, http.StatusGone, nil, false)
		default:
			rows := s.changesAfter(query.Get("table"), after)
			if len(rows) == 0 && !last {
				s.mu.Unlock()
				select {
				case <-changed:
				case <-timeout:
					last = true
				case <-r.Context().Done():
					return
				}
				s.mu.Lock()
				ended := s.away || s.era != era
				if ended {
					// The store was away meanwhile: this call is not answered from the copy.
					s.respond(w, http.StatusServiceUnavailable, nil, false)
				}
				s.mu.Unlock()
				if ended {
					return
				}
				continue
			}
			s.respond(w, http.StatusOK, rows, false)
		}
		s.mu.Unlock()
		return
	}
}

// changesAfter returns the newest change of each row of a table after a version. The caller holds s.mu.
func (s *store) changesAfter(table string, after uint64) []row {
	rows, seen := []row{}, make(map[string]bool)
	for _, r := range slices.Backward(s.content.history) {
		if r.Version <= after {
			break
		}
		if r.Table == table && !seen[r.name()] {
			rows, seen[r.name()] = append(rows, r), true
		}
	}
	slices.Reverse(rows)
	return rows
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected"`
		Put      []row `json:"put_rows"`
		Deleted  []row `json:"delete_rows"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		s.respond(w, http.StatusServiceUnavailable, nil, false)
		return
	}
	for _, changed := range slices.Concat(t.Put, t.Deleted) {
		if changed.Table == "op" || changed.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, changed := range t.Put {
		if len(changed.Value) > rowBytes {
			s.refused++
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	current, conflict := []row{}, false
	for _, e := range t.Expected {
		r, ok := s.content.rows[e.name()]
		if ok {
			current = append(current, r)
		}
		conflict = conflict || r.Version != e.Version
	}
	if conflict {
		s.respond(w, http.StatusPreconditionFailed, current, false)
		return
	}
	for _, changed := range t.Put {
		s.largest = max(s.largest, len(changed.Value))
	}
	s.write(t.Put, t.Deleted)
	s.respond(w, http.StatusOK, nil, false)
}
