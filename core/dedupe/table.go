// Package dedupe records the first outcome of each non-idempotent request at the owner of its
// key, so that a repeat gets the recorded outcome and is not run again.
package dedupe

import (
	"sync"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
)

const (
	// Retention is the time in milliseconds for which an outcome is kept.
	Retention clock.Millis = 10 * 60 * 1000
	// defaultMaxIDs is enough for 400 non-idempotent requests per second during Retention.
	defaultMaxIDs = 240_000
	// defaultMaxTotalBytes limits the recorded responses of all IDs together.
	defaultMaxTotalBytes = 32 << 20
	// defaultMaxResponseBytes limits the recorded response of one ID.
	defaultMaxResponseBytes = 16 << 10
)

// ID identifies a request of a caller.
type ID struct {
	Service   identity.Service
	Key       string
	RequestID string
}

// Record is the outcome of a first attempt and the response to it.
type Record struct {
	Outcome outcome.Outcome
	Status  int
	Headers []upstream.Header
	Body    []byte
	// Complete reports whether Headers and Body are those of the complete response. For a
	// response that was too large or truncated, only the outcome and status are recorded.
	Complete bool
}

// Result is Accepted, InProgress, Completed, Full or Rejected.
type Result interface{ isResult() }

// Accepted means that the ID was added. The caller must run the request, and then call Finish
// or Abandon.
type Accepted struct{}

// InProgress means that the first attempt of the request has not ended.
type InProgress struct{ ended <-chan struct{} }

// Completed means that the first attempt of the request ended with the recorded outcome.
type Completed struct{ record *Record }

// Full means that the table has no room for another ID.
type Full struct{}

// Rejected means that the ID is not in the table, and that the request must not be run
// because of its verdict.
type Rejected struct{ verdict Verdict }

func (Accepted) isResult()   {}
func (InProgress) isResult() {}
func (Completed) isResult()  {}
func (Full) isResult()       {}
func (Rejected) isResult()   {}

// Ended returns a channel that is closed when the first attempt is finished or abandoned.
func (r InProgress) Ended() <-chan struct{} { return r.ended }

// Record returns the recorded outcome, which must not be modified.
func (r Completed) Record() *Record { return r.record }

// Verdict returns VerdictPossiblyRun or VerdictStampRequired.
func (r Rejected) Verdict() Verdict { return r.verdict }

// Limits limits the size of a Table. A zero field means the default.
type Limits struct {
	MaxIDs int
	// MaxTotalBytes limits the recorded headers and bodies of all responses together,
	// MaxResponseBytes those of one response.
	MaxTotalBytes    int
	MaxResponseBytes int
}

type entry struct {
	id         ID
	record     *Record
	size       int
	finishedAt clock.Millis
	ended      chan struct{}
}

// Table records the first outcomes of requests. The zero value has the default limits. It is
// safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	limits  Limits
	entries map[ID]*entry
	// finished holds the finished entries, ordered by finishedAt.
	finished   []*entry
	totalBytes int
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits}
}

// Begin looks up an ID. It adds the ID if that is absent, the verdict is VerdictNew, and the
// table is not full. No entry is evicted before Retention has passed.
func (t *Table) Begin(now clock.Millis, id ID, verdict Verdict) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictExpired(now)
	if found, ok := t.entries[id]; ok {
		return found.result()
	}
	if verdict != VerdictNew {
		return Rejected{verdict: verdict}
	}
	if len(t.entries) >= orDefault(t.limits.MaxIDs, defaultMaxIDs) {
		return Full{}
	}
	if t.entries == nil {
		t.entries = make(map[ID]*entry)
	}
	t.entries[id] = &entry{id: id}
	return Accepted{}
}

// Finish records the outcome of an accepted ID. The record must not be modified afterwards.
func (t *Table) Finish(now clock.Millis, id ID, record Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.entries[id]
	if !ok || found.record != nil {
		return
	}
	size := record.size()
	if size > t.MaxResponseBytes() || t.totalBytes+size > orDefault(t.limits.MaxTotalBytes, defaultMaxTotalBytes) {
		record.Headers, record.Body, record.Complete, size = nil, nil, false, 0
	}
	found.record, found.size, found.finishedAt = &record, size, now
	t.totalBytes += size
	t.finished = append(t.finished, found)
	found.closeEnded()
}

// Abandon removes an accepted ID whose request was not run.
func (t *Table) Abandon(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.entries[id]
	if !ok || found.record != nil {
		return
	}
	delete(t.entries, id)
	found.closeEnded()
}

// MaxResponseBytes returns the size of the largest response that is recorded.
func (t *Table) MaxResponseBytes() int {
	return orDefault(t.limits.MaxResponseBytes, defaultMaxResponseBytes)
}

// Len returns the number of IDs.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// TotalBytes returns the size of the recorded responses.
func (t *Table) TotalBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totalBytes
}

func (t *Table) evictExpired(now clock.Millis) {
	expired := 0
	for _, oldest := range t.finished {
		if now-oldest.finishedAt <= Retention {
			break
		}
		delete(t.entries, oldest.id)
		t.totalBytes -= oldest.size
		expired++
	}
	clear(t.finished[:expired])
	t.finished = t.finished[expired:]
}

// result returns Completed or InProgress.
func (e *entry) result() Result {
	if e.record != nil {
		return Completed{record: e.record}
	}
	if e.ended == nil {
		e.ended = make(chan struct{})
	}
	return InProgress{ended: e.ended}
}

func (e *entry) closeEnded() {
	if e.ended != nil {
		close(e.ended)
	}
}

func (r *Record) size() int {
	size := len(r.Body)
	for _, header := range r.Headers {
		size += len(header.Name()) + len(header.Value())
	}
	return size
}

func orDefault(value, defaultValue int) int {
	if value <= 0 {
		return defaultValue
	}
	return value
}
