package rollout

import "fmt"

// ConflictError reports that another operator has changed a row that the edit writes
// or depends on since the version on which the edit is based.
type ConflictError struct {
	key      string
	expected uint64
	actual   uint64
	author   string
}

// NewConflictError returns an error for the row at key, which author changed in the
// version actual.
func NewConflictError(key string, expected, actual uint64, author string) *ConflictError {
	return &ConflictError{key: key, expected: expected, actual: actual, author: author}
}

// Key returns the key of the row.
func (e *ConflictError) Key() string { return e.key }

// Expected returns the version on which the edit is based.
func (e *ConflictError) Expected() uint64 { return e.expected }

// Actual returns the version that changed the row. It is lower than Expected if the
// edit is based on a version that does not exist yet.
func (e *ConflictError) Actual() uint64 { return e.actual }

// Author returns the author of the version Actual.
func (e *ConflictError) Author() string { return e.author }

func (e *ConflictError) Error() string {
	if e.actual < e.expected {
		return fmt.Sprintf("conflict at %s: the edit expects version %d, but the newest is version %d", e.key, e.expected, e.actual)
	}
	return fmt.Sprintf("conflict at %s: the edit expects version %d, but %s made version %d", e.key, e.expected, e.author, e.actual)
}

// ShardCountError reports an edit that changes the number of shards of a service. It
// would change the shard of every key, and with it the key's owner and epoch.
type ShardCountError struct {
	service string
	before  uint32
	after   uint32
}

// NewShardCountError returns an error for "organisation/service".
func NewShardCountError(service string, before, after uint32) *ShardCountError {
	return &ShardCountError{service: service, before: before, after: after}
}

// Service returns "organisation/service".
func (e *ShardCountError) Service() string { return e.service }

// Before returns the number of shards recorded when the service was created.
func (e *ShardCountError) Before() uint32 { return e.before }

// After returns the number of shards in the edit, 0 for a service without keys.
func (e *ShardCountError) After() uint32 { return e.after }

func (e *ShardCountError) Error() string {
	return fmt.Sprintf("the number of shards of %s can't change once set: found %d, allowed: %d", e.service, e.after, e.before)
}

// DuplicateDocumentError reports an edit with two documents for the same row.
type DuplicateDocumentError struct {
	key string
}

// NewDuplicateDocumentError returns an error for the row at key.
func NewDuplicateDocumentError(key string) *DuplicateDocumentError {
	return &DuplicateDocumentError{key: key}
}

// Key returns the key of the row.
func (e *DuplicateDocumentError) Key() string { return e.key }

func (e *DuplicateDocumentError) Error() string {
	return fmt.Sprintf("two documents for %s: found 2, allowed: 1", e.key)
}

// UnknownOutcomeError reports an edit whose commit got no response from the table:
// it may have been stored.
type UnknownOutcomeError struct {
	version uint64
	cause   error
}

// NewUnknownOutcomeError returns an error for an edit that would create the version.
func NewUnknownOutcomeError(version uint64, cause error) *UnknownOutcomeError {
	return &UnknownOutcomeError{version: version, cause: cause}
}

// Version returns the version under which the edit may have been stored.
func (e *UnknownOutcomeError) Version() uint64 { return e.version }

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the edit may have been stored as version %d, see the history: %v", e.version, e.cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// MissingObjectStoreError reports that no object store is configured to read or write
// a document body that is too long for a history row.
type MissingObjectStoreError struct {
	bodyBytes int
}

// NewMissingObjectStoreError returns an error for a body of the given length in bytes,
// 0 if unknown.
func NewMissingObjectStoreError(bodyBytes int) *MissingObjectStoreError {
	return &MissingObjectStoreError{bodyBytes: bodyBytes}
}

// BodyBytes returns the length of the body in bytes, 0 if unknown.
func (e *MissingObjectStoreError) BodyBytes() int { return e.bodyBytes }

func (e *MissingObjectStoreError) Error() string {
	return fmt.Sprintf("a document is longer than %d bytes and is kept in the object store, but no object store is configured", maxInlineBytes)
}
