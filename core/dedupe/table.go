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
	// defaultCount covers 400 non-idempotent IDs a second for the retention.
	defaultCount = 240_000
	// defaultBytes bounds the kept answers of all IDs.
	defaultBytes = 32 << 20
	// defaultAnswer bounds the kept answer of one ID.
	defaultAnswer = 16 << 10
)

// ID names a request of a caller.
type ID struct {
	Service identity.Service
	Key     string
	Request string
}

// Record is a first outcome.
type Record struct {
	Outcome outcome.Outcome
	Status  int
	Headers []upstream.Header
	Body    []byte
	// Whole tells that Headers and Body are those of the whole answer. An
	// answer that was too large or broke off has only its outcome and status.
	Whole bool
}

// Result is First, Running, Repeat, Full or Rejected.
type Result interface{ isResult() }

// First means that the caller must run the request, and then call Finish or
// Abandon.
type First struct{}

// Running means that the first attempt has not ended.
type Running struct{ ended <-chan struct{} }

// Repeat means that the first attempt ended with the record.
type Repeat struct{ record *Record }

// Full means that the table has no room for another ID.
type Full struct{}

// Rejected means that the ID is not in the table and its verdict forbids to
// run it.
type Rejected struct{ verdict Verdict }

func (First) isResult()    {}
func (Running) isResult()  {}
func (Repeat) isResult()   {}
func (Full) isResult()     {}
func (Rejected) isResult() {}

// Ended is closed when the first attempt was finished or abandoned.
func (r Running) Ended() <-chan struct{} { return r.ended }

// Record returns the first outcome; callers must not change it.
func (r Repeat) Record() *Record { return r.record }

// Verdict returns VerdictOlder or VerdictStampRequired.
func (r Rejected) Verdict() Verdict { return r.verdict }

// Limits bound a Table. A value of zero means the default.
type Limits struct {
	Count int
	// Bytes bounds the kept headers and bodies together, AnswerBytes those of
	// one answer.
	Bytes       int
	AnswerBytes int
}

type entry struct {
	id       ID
	record   *Record
	size     int
	finished clock.Millis
	ended    chan struct{}
}

// Table holds the first outcomes. The zero value has the default limits. It is
// safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	limits  Limits
	entries map[ID]*entry
	// finished holds the ended entries by ascending end.
	finished []*entry
	bytes    int
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{limits: limits}
}

// Begin looks the ID up, and adds it if it is absent, may be run and there is
// room. No entry is dropped before its retention has passed.
func (t *Table) Begin(now clock.Millis, id ID, verdict Verdict) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if known, ok := t.entries[id]; ok {
		return known.result()
	}
	if verdict != VerdictRun {
		return Rejected{verdict: verdict}
	}
	if len(t.entries) >= orDefault(t.limits.Count, defaultCount) {
		return Full{}
	}
	if t.entries == nil {
		t.entries = make(map[ID]*entry)
	}
	t.entries[id] = &entry{id: id}
	return First{}
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
	if size > t.AnswerLimit() || t.bytes+size > orDefault(t.limits.Bytes, defaultBytes) {
		record.Headers, record.Body, record.Whole, size = nil, nil, false, 0
	}
	known.record, known.size, known.finished = &record, size, now
	t.bytes += size
	t.finished = append(t.finished, known)
	known.wake()
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
	known.wake()
}

// AnswerLimit returns the largest answer that is kept, in bytes.
func (t *Table) AnswerLimit() int { return orDefault(t.limits.AnswerBytes, defaultAnswer) }

// Len returns the number of IDs.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Bytes returns the size of the kept answers.
func (t *Table) Bytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

func (t *Table) expire(now clock.Millis) {
	count := 0
	for _, old := range t.finished {
		if now-old.finished <= Retention {
			break
		}
		delete(t.entries, old.id)
		t.bytes -= old.size
		count++
	}
	clear(t.finished[:count])
	t.finished = t.finished[count:]
}

func (e *entry) result() Result {
	if e.record != nil {
		return Repeat{record: e.record}
	}
	if e.ended == nil {
		e.ended = make(chan struct{})
	}
	return Running{ended: e.ended}
}

func (e *entry) wake() {
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
