// Package table defines the interface of the platform's transactional table
// service.
package table

import (
	"context"
	"fmt"
)

// Revision is the number of a committed transaction of the table, counted from
// 1 and never reused. The version of a row is the revision that last wrote it;
// the version of an absent row is 0.
type Revision uint64

// Row is a row of the table as it was read.
type Row struct {
	key     string
	version Revision
	value   []byte
}

// NewRow returns a row. The value is not copied.
func NewRow(key string, version Revision, value []byte) Row {
	return Row{key: key, version: version, value: value}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Version returns the revision that last wrote the row, 0 if absent.
func (r Row) Version() Revision { return r.version }

// Value returns the row's value; callers must not change it.
func (r Row) Value() []byte { return r.value }

// Condition requires a row to have a given version; version 0 requires that
// the row is absent.
type Condition struct {
	key     string
	version Revision
}

// NewCondition returns the condition that the row at key has the version.
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
	// Key returns the key of the row that is written or removed.
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

// NewPut returns the mutation that writes value to the row at key.
func NewPut(key string, value []byte) Put { return Put{key: key, value: value} }

// NewDelete returns the mutation that removes the row at key.
func NewDelete(key string) Delete { return Delete{key: key} }

func (Put) isMutation()    {}
func (Delete) isMutation() {}

// Key returns the key of the row that is written.
func (p Put) Key() string { return p.key }

// Value returns the value that is written.
func (p Put) Value() []byte { return p.value }

// Key returns the key of the row that is removed.
func (d Delete) Key() string { return d.key }

// Transaction is a list of mutations that are applied atomically if all
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
// *OutageError; after one from Commit, the transaction may or may not have been
// applied.
type Table interface {
	// Read returns the rows at the keys, in order; absent rows have version 0.
	Read(ctx context.Context, keys []string) ([]Row, error)
	// Scan returns the rows under prefix that were written after the revision
	// since, by ascending version, and the table's current revision. It does
	// not report removed rows.
	Scan(ctx context.Context, prefix string, since Revision) ([]Row, Revision, error)
	// Commit applies the transaction and returns its revision. If a condition
	// does not hold, it writes nothing and returns a *ConflictError.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
}

// ConflictError reports the first condition that did not hold.
type ConflictError struct {
	key         string
	expected    Revision
	actual      Revision
	currentRows []Row
}

// NewConflictError returns an error for the condition on key.
func NewConflictError(key string, expected, actual Revision) *ConflictError {
	return &ConflictError{key: key, expected: expected, actual: actual}
}

// WithCurrentRows adds the current rows of the conditions, for tables that
// report them. It returns e.
func (e *ConflictError) WithCurrentRows(rows []Row) *ConflictError {
	e.currentRows = rows
	return e
}

// CurrentRows returns the rows of the conditions at the time of the conflict,
// nil if the table did not report them.
func (e *ConflictError) CurrentRows() []Row { return e.currentRows }

// Key returns the key of the row whose condition did not hold.
func (e *ConflictError) Key() string { return e.key }

// Expected returns the version that the condition required.
func (e *ConflictError) Expected() Revision { return e.expected }

// Actual returns the version that the row had, 0 if absent.
func (e *ConflictError) Actual() Revision { return e.actual }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d, expected %d", e.key, e.actual, e.expected)
}

// OutageError reports that an operation got no valid response from the table
// service. A write may have taken effect.
type OutageError struct {
	operation string
	cause     error
}

// NewOutageError returns the error of an operation that failed with cause.
func NewOutageError(operation string, cause error) *OutageError {
	return &OutageError{operation: operation, cause: cause}
}

// Operation returns the name of the failed operation, for example "commit".
func (e *OutageError) Operation() string { return e.operation }

func (e *OutageError) Error() string {
	return fmt.Sprintf("table service gave no answer to %s: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *OutageError) Unwrap() error { return e.cause }
