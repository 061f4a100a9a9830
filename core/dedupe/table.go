// Package dedupe keeps the first outcome of each non-idempotent request ID at
// the owner, so that a repeat gets it again and is not run again.
package dedupe

import (
	"sync"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
)

const (
	// Retention is how long an outcome is kept, in milliseconds.
	Retention clock.Millis = 10 * 60 * 1000
	// defaultMaxIDs covers 400 non-idempotent IDs a second for the retention.
	defaultMaxIDs = 240_000
	// defaultMaxTotalBytes bounds the kept answers of all IDs.
	defaultMaxTotalBytes = 32 << 20
	// defaultMaxResponseBytes bounds the kept answer of one ID.
	defaultMaxResponseBytes = 16 << 10
)

// ID names a request of a caller.
type ID struct {
	Service   identity.Service
	Key       string
	RequestID string
}

// Record is a first outcome.
type Record struct {
	Outcome outcome.Outcome
	Status  int
	Headers []upstream.Header
	Body    []byte
	// Complete tells that Headers and Body are those of the whole answer. An
	// answer that was too large or broke off has only its outcome and status.
	Complete bool
}

// Result is First, Running, Repeat, Full or Rejected.
type Result interface{ isResult() }

// Accepted means that the caller must run the request, and then call Finish or
// Abandon.
type Accepted struct{}

// InProgress means that the first attempt has not ended.
type InProgress struct{ ended <-chan struct{} }

// Completed means that the first attempt ended with the record.
type Completed struct{ record *Record }

// Full means that the table has no room for another ID.
type Full struct{}

// Rejected means that the ID is not in the table and its verdict forbids to
// run it.
type Rejected struct{ verdict Verdict }

func (Accepted) isResult()   {}
func (InProgress) isResult() {}
func (Completed) isResult()  {}
func (Full) isResult()       {}
func (Rejected) isResult()   {}

// Ended is closed when the first attempt was finished or abandoned.
func (r InProgress) Ended() <-chan struct{} { return r.ended }

// Record returns the first outcome; callers must not change it.
func (r Completed) Record() *Record { return r.record }

// Verdict returns VerdictOlder or VerdictStampRequired.
func (r Rejected) Verdict() Verdict { return r.verdict }

// Limits bound a Table. A value of zero means the default.
type Limits struct {
	MaxIDs int
	// MaxTotalBytes bounds the kept headers and bodies together, AnswerBytes those of
	// one answer.
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

// Table holds the first outcomes. The zero value has the default limits. It is
// safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	limits  Limits
	entries map[ID]*entry
	// finished holds the ended entries by ascending end.
	finished   []*entry
	totalBytes int
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits}
}

// Begin looks the ID up, and adds it if it is absent, may be run and there is
// room. No entry is dropped before its retention has passed.
func (t *Table) Begin(now clock.Millis, id ID, verdict Verdict) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictExpired(now)
	if known, ok := t.entries[id]; ok {
		return known.result()
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

// Finish keeps the outcome of the ID. The record must not change afterwards.
func (t *Table) Finish(now clock.Millis, id ID, record Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[id]
	if !ok || known.record != nil {
		return
	}
	size := record.size()
	if size > t.MaxResponseBytes() || t.totalBytes+size > orDefault(t.limits.MaxTotalBytes, defaultMaxTotalBytes) {
		record.Headers, record.Body, record.Complete, size = nil, nil, false, 0
	}
	known.record, known.size, known.finishedAt = &record, size, now
	t.totalBytes += size
	t.finished = append(t.finished, known)
	known.closeEnded()
}

// Abandon removes the ID of a request that was not run.
func (t *Table) Abandon(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[id]
	if !ok || known.record != nil {
		return
	}
	delete(t.entries, id)
	known.closeEnded()
}

// MaxResponseBytes returns the largest answer that is kept, in bytes.
func (t *Table) MaxResponseBytes() int {
	return orDefault(t.limits.MaxResponseBytes, defaultMaxResponseBytes)
}

// Len returns the number of IDs.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// TotalBytes returns the size of the kept answers.
func (t *Table) TotalBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totalBytes
}

func (t *Table) evictExpired(now clock.Millis) {
	count := 0
	for _, old := range t.finished {
		if now-old.finishedAt <= Retention {
			break
		}
		delete(t.entries, old.id)
		t.totalBytes -= old.size
		count++
	}
	clear(t.finished[:count])
	t.finished = t.finished[count:]
}

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

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}
