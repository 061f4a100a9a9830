// Package table is the port to the platform's transactional table service.
package table

import (
	"context"
	"fmt"
)

// Revision numbers the committed transactions of the table, from 1, without
// reuse. The version of a row is the revision that last wrote it; the version
// of an absent row is 0.
type Revision uint64

// Row is a row as read.
type Row struct {
	key     string
	version Revision
	value   []byte
}

// NewRow returns a row with the given contents. The value is not copied.
func NewRow(key string, version Revision, value []byte) Row {
	return Row{key: key, version: version, value: value}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Version returns the revision that last wrote the row, 0 if absent.
func (r Row) Version() Revision { return r.version }

// Value returns the row's value; callers must not change it.
func (r Row) Value() []byte { return r.value }

// Condition requires that a row has a version; version 0 requires absence.
type Condition struct {
	key     string
	version Revision
}

// NewCondition requires key to have the given version.
func NewCondition(key string, version Revision) Condition {
	return Condition{key: key, version: version}
}

// Key returns the key of the row.
func (c Condition) Key() string { return c.key }

// Version returns the required version.
func (c Condition) Version() Revision { return c.version }

// Mutation is Put or Delete.
type Mutation interface {
	isMutation()
	// Key returns the key of the row that changes.
	Key() string
}

// Put writes a row.
type Put struct {
	key   string
	value []byte
}

// Delete removes a row.
type Delete struct {
	key string
}

// NewPut writes value to the row at key.
func NewPut(key string, value []byte) Put { return Put{key: key, value: value} }

// NewDelete removes the row at key.
func NewDelete(key string) Delete { return Delete{key: key} }

func (Put) isMutation()    {}
func (Delete) isMutation() {}

// Key returns the key of the row that is written.
func (p Put) Key() string { return p.key }

// Value returns the value that is written.
func (p Put) Value() []byte { return p.value }

// Key returns the key of the row that is removed.
func (d Delete) Key() string { return d.key }

// Transaction is a set of mutations that takes effect as a whole if all
// conditions hold, and not at all otherwise.
type Transaction struct {
	conditions []Condition
	mutations  []Mutation
}

// NewTransaction returns a transaction.
func NewTransaction(conditions []Condition, mutations []Mutation) Transaction {
	return Transaction{conditions: conditions, mutations: mutations}
}

// Conditions returns the conditions; callers must not change them.
func (t Transaction) Conditions() []Condition { return t.conditions }

// Mutations returns the mutations; callers must not change them.
func (t Transaction) Mutations() []Mutation { return t.mutations }

// Table is the transactional table service. Every method may fail with an
// *OutageError, after which nothing is known of the outcome of a Commit.
type Table interface {
	// Read returns the rows at the keys, in order; absent rows have version 0.
	Read(ctx context.Context, keys []string) ([]Row, error)
	// Scan returns the rows under prefix that were written after the revision
	// since, by ascending version, and the table's current revision. Removed
	// rows are not reported.
	Scan(ctx context.Context, prefix string, since Revision) ([]Row, Revision, error)
	// Commit applies the transaction and returns its revision. It returns a
	// *ConflictError if a condition did not hold: then nothing was written.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
}

// ConflictError reports the first condition that did not hold.
type ConflictError struct {
	key         string
	expected    Revision
	actual      Revision
	currentRows []Row
}

// NewConflictError returns a conflict at key.
func NewConflictError(key string, expected, actual Revision) *ConflictError {
	return &ConflictError{key: key, expected: expected, actual: actual}
}

// WithCurrentRows adds the rows as they are now, if the table told them. It returns e.
func (e *ConflictError) WithCurrentRows(current []Row) *ConflictError {
	e.currentRows = current
	return e
}

// CurrentRows returns the rows of the conditions as they are now, nil if the table
// did not tell them.
func (e *ConflictError) CurrentRows() []Row { return e.currentRows }

// Key returns the key whose condition did not hold.
func (e *ConflictError) Key() string { return e.key }

// Expected returns the version that the condition required.
func (e *ConflictError) Expected() Revision { return e.expected }

// Actual returns the version that was found.
func (e *ConflictError) Actual() Revision { return e.actual }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d, expected %d", e.key, e.actual, e.expected)
}

// OutageError reports that the service did not answer. A write may have taken
// effect.
type OutageError struct {
	operation string
	cause     error
}

// NewOutageError returns an outage during operation.
func NewOutageError(operation string, cause error) *OutageError {
	return &OutageError{operation: operation, cause: cause}
}

// Operation returns the operation that got no answer.
func (e *OutageError) Operation() string { return e.operation }

func (e *OutageError) Error() string {
	return fmt.Sprintf("table service gave no answer to %s: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *OutageError) Unwrap() error { return e.cause }
