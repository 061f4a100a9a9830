package rollout

import "fmt"

// ConflictError reports an edit that was based on an older version than the
// one in which another operator changed the same row, or a row that it depends
// on.
type ConflictError struct {
	key      string
	expected uint64
	actual   uint64
	author   string
}

// NewConflictError returns a conflict about the row at key, which author
// changed in the version actual.
func NewConflictError(key string, expected, actual uint64, author string) *ConflictError {
	return &ConflictError{key: key, expected: expected, actual: actual, author: author}
}

// Key returns the key of the row.
func (e *ConflictError) Key() string { return e.key }

// Expected returns the version on which the edit was based.
func (e *ConflictError) Expected() uint64 { return e.expected }

// Actual returns the version that changed the row.
func (e *ConflictError) Actual() uint64 { return e.actual }

// Author returns who made the version Actual.
func (e *ConflictError) Author() string { return e.author }

func (e *ConflictError) Error() string {
	if e.actual < e.expected {
		return fmt.Sprintf("conflict at %s: the edit expects version %d, but the newest is version %d", e.key, e.expected, e.actual)
	}
	return fmt.Sprintf("conflict at %s: the edit expects version %d, but %s made version %d", e.key, e.expected, e.author, e.actual)
}

// ShardsError reports an edit that changes the number of shards of a service.
// The shard of every key, and so its owner and epoch, would change with it.
type ShardsError struct {
	service string
	before  uint32
	after   uint32
}

// NewShardsError returns an error for "organisation/service".
func NewShardsError(service string, before, after uint32) *ShardsError {
	return &ShardsError{service: service, before: before, after: after}
}

// Service returns "organisation/service".
func (e *ShardsError) Service() string { return e.service }

// Before returns the number of shards that was set first.
func (e *ShardsError) Before() uint32 { return e.before }

// After returns the number of shards in the edit, 0 for a service without keys.
func (e *ShardsError) After() uint32 { return e.after }

func (e *ShardsError) Error() string {
	return fmt.Sprintf("the number of shards of %s can't change once set: found %d, allowed: %d", e.service, e.after, e.before)
}

// DuplicateError reports an edit with two documents for one row.
type DuplicateError struct {
	key string
}

// NewDuplicateError returns an error for the row at key.
func NewDuplicateError(key string) *DuplicateError { return &DuplicateError{key: key} }

// Key returns the key of the row.
func (e *DuplicateError) Key() string { return e.key }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("two documents for %s: found 2, allowed: 1", e.key)
}

// UncertainError reports an edit for which the table gave no answer: it may
// have been stored.
type UncertainError struct {
	version uint64
	cause   error
}

// NewUncertainError returns an error for an edit that would make a version.
func NewUncertainError(version uint64, cause error) *UncertainError {
	return &UncertainError{version: version, cause: cause}
}

// Version returns the version under which the edit may have been stored.
func (e *UncertainError) Version() uint64 { return e.version }

func (e *UncertainError) Error() string {
	return fmt.Sprintf("the edit may have been stored as version %d, as the history will show: %v", e.version, e.cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.cause }

// StoreMissingError reports a body that is in the object store, or must go
// there, while no store is known.
type StoreMissingError struct {
	bytes int
}

// NewStoreMissingError returns an error for a body of a length, 0 if unknown.
func NewStoreMissingError(bytes int) *StoreMissingError {
	return &StoreMissingError{bytes: bytes}
}

// Bytes returns the length of the body, 0 if unknown.
func (e *StoreMissingError) Bytes() int { return e.bytes }

func (e *StoreMissingError) Error() string {
	return fmt.Sprintf("a body is longer than %d bytes, so that it is kept in the object store, but no object store is given", maxInlineBytes)
}
