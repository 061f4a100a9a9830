// Package memory bounds the memory that the bodies of messages take in a process. Load
// pattern: many large bodies at once, sent slowly or without end, beside small ones on an
// instance with little memory.
package memory

import (
	"fmt"
	"io"
	"sync"
)

const (
	// smallBytes is the size in bytes up to which a body counts as small.
	smallBytes = 16 << 10
	// largeShareDivisor and largeShare define the share of a budget that large bodies
	// may take; the rest is left to small ones.
	largeShare        = 3
	largeShareDivisor = 4
	// singleShareDivisor bounds one body to this part of the budget.
	singleShareDivisor = 4
	// pressedShareDivisor is the part of a budget above which it is pressed.
	pressedShareDivisor = 2
	// firstChunkBytes is the size of the first buffer for a body of unknown size.
	firstChunkBytes = 4 << 10
)

// ExhaustedError reports that a body does not fit into the budget now.
type ExhaustedError struct {
	requested int64
	limit     int64
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("memory for message bodies is exhausted: %d bytes requested, limit %d", e.requested, e.limit)
}

// TooLargeError reports a body that is larger than any body may be.
type TooLargeError struct{ limit int64 }

// Limit returns the largest allowed size in bytes.
func (e *TooLargeError) Limit() int64 { return e.limit }

func (e *TooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.limit) }

// Budget is the memory for the bodies of all messages that are in progress. The zero value
// has no limit. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// NewBudget returns a budget of the given bytes, unlimited if 0.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Pressed reports whether more than half of the budget is taken: a sender that keeps its share for long
// takes it from others.
func (b *Budget) Pressed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit > 0 && b.used > b.limit/pressedShareDivisor
}

// MaxBody returns the size in bytes of the largest body that the budget allows, 0 if there
// is no limit.
func (b *Budget) MaxBody() int64 { return b.limit / singleShareDivisor }

// Open returns an account for the bodies of one request and its response.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// reserve takes bytes from the budget for an account that then has total bytes.
func (b *Budget) reserve(bytes, total int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if total > smallBytes {
		limit = limit / largeShareDivisor * largeShare
	}
	if b.limit > 0 && b.used+bytes > limit {
		return &ExhaustedError{requested: bytes, limit: limit}
	}
	b.used += bytes
	return nil
}

func (b *Budget) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}

// Account is the part of a Budget that one request uses. A nil account has no limit. It is
// safe for concurrent use.
type Account struct {
	budget *Budget
	mu     sync.Mutex
	// bytes are taken from the budget. expected are those of them that Expect has taken for
	// a body that is yet to be read.
	bytes    int64
	expected int64
	closed   bool
}

// Reserve takes bytes from the budget, those that Expect has taken first. The error is an
// *ExhaustedError.
func (a *Account) Reserve(bytes int64) error {
	if a == nil || bytes <= 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.take(bytes - a.expected); err != nil {
		return err
	}
	a.expected -= min(bytes, a.expected)
	return nil
}

// Expect takes bytes from the budget for a body that will be read later, less what is still
// taken by an earlier call. The error is an *ExhaustedError.
func (a *Account) Expect(bytes int64) error {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.take(bytes - a.expected); err != nil {
		return err
	}
	a.expected = max(a.expected, bytes)
	return nil
}

// ReleaseExpected returns to the budget what Expect took and no body has used.
func (a *Account) ReleaseExpected() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.release(a.expected)
	a.bytes -= a.expected
	a.expected = 0
}

// take takes bytes from the budget. The caller holds a.mu.
func (a *Account) take(bytes int64) error {
	if bytes <= 0 {
		return nil
	}
	if a.closed {
		return &ExhaustedError{requested: bytes}
	}
	if err := a.budget.reserve(bytes, a.bytes+bytes); err != nil {
		return err
	}
	a.bytes += bytes
	return nil
}

// Close returns all bytes to the budget. The bodies must not be used any more.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.release(a.bytes)
	a.bytes, a.expected, a.closed = 0, 0, true
}

// ReadAll reads a body to its end. size is its length in bytes, negative if unknown. The
// error is a *TooLargeError if the body has more than maxBytes, an *ExhaustedError if it
// does not fit into the budget, or that of the reader. A body of known size that ends early
// is an io.ErrUnexpectedEOF. After an error, the body takes nothing of the budget.
func (a *Account) ReadAll(r io.Reader, size, maxBytes int64) ([]byte, error) {
	if size > maxBytes {
		return nil, &TooLargeError{limit: maxBytes}
	}
	if size < 0 {
		return a.readGrowing(r, maxBytes)
	}
	if err := a.Reserve(size); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	n, err := io.ReadFull(r, body)
	if err == io.EOF && size > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		a.release(size)
		return nil, err
	}
	return body[:n], nil
}

// readGrowing reads a body of unknown size into a buffer that doubles when it is full, up to
// the size at which the body is too large.
func (a *Account) readGrowing(r io.Reader, maxBytes int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := max(2*int64(cap(body)), firstChunkBytes)
			if grown > maxBytes {
				grown = maxBytes + 1
			}
			// Both buffers are in use while the bytes are copied.
			if err := a.Reserve(grown); err != nil {
				a.release(int64(cap(body)))
				return nil, err
			}
			former := int64(cap(body))
			body = append(make([]byte, 0, grown), body...)
			a.release(former)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBytes:
			err = &TooLargeError{limit: maxBytes}
		case err == io.EOF:
			return body, nil
		}
		if err != nil {
			a.release(int64(cap(body)))
			return nil, err
		}
	}
}

// release returns bytes of a body that is no longer needed to the budget.
func (a *Account) release(bytes int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.budget.release(bytes)
	a.bytes -= bytes
}
