// Package token resolves the outcome of transactions whose response from the
// table service was lost. Each transaction also writes a token row under a
// unique key, on condition that the row is absent. The token row shows later
// whether the transaction committed.
package token

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/table"
)

const (
	// Prefix is the prefix of the token rows' keys.
	Prefix = "txn/"
	// Retention is the age in milliseconds above which Sweep removes token rows.
	// A delayed transaction could still commit if its abandoned row were removed
	// earlier.
	Retention clock.Millis = 24 * 60 * 60 * 1000

	// defaultInitialBackoff and defaultMaxBackoff bound the pause before a
	// repeated call. The maximum keeps the reads of 670 daemons that wait for the
	// end of an outage below what the service handles.
	defaultInitialBackoff clock.Millis = 25
	defaultMaxBackoff     clock.Millis = 1000
	// maxDeletesPerTransaction bounds the token rows that one transaction removes.
	maxDeletesPerTransaction = 64

	stateCommitted = "committed"
	stateAbandoned = "abandoned"
)

// Table wraps a table.Table so that the outcome of each Commit is known when it
// returns, unless its context ends first. Tables are created with New. A Table is
// safe for concurrent use.
type Table struct {
	inner          table.Table
	initialBackoff clock.Millis
	maxBackoff     clock.Millis
	now            func() time.Time

	mu     sync.Mutex
	random *rand.Rand
	// committedKeys holds the keys of token rows that later transactions may
	// remove. Their transactions have committed, and as each is sent only once,
	// no request with one of these tokens is still in flight.
	committedKeys []string
}

// Option is an optional setting of New.
type Option func(*Table)

// Backoff sets the pauses before repeated calls. Each pause is drawn uniformly
// between zero and a bound that doubles from initial up to maximum.
func Backoff(initial, maximum clock.Millis) Option {
	return func(t *Table) { t.initialBackoff, t.maxBackoff = initial, maximum }
}

// Seed makes token keys and pauses repeatable. Two clients of the same table must
// not share a seed, as they would draw the same token keys.
func Seed(seed uint64) Option {
	return func(t *Table) { t.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WallClock replaces time.Now as the source of the times in token rows.
func WallClock(now func() time.Time) Option {
	return func(t *Table) { t.now = now }
}

// New returns a Table that wraps inner.
func New(inner table.Table, options ...Option) *Table {
	var seed [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = cryptorand.Read(seed[:])
	source := rand.NewPCG(binary.NativeEndian.Uint64(seed[:8]), binary.NativeEndian.Uint64(seed[8:]))
	t := &Table{inner: inner, initialBackoff: defaultInitialBackoff, maxBackoff: defaultMaxBackoff, random: rand.New(source), now: time.Now}
	for _, option := range options {
		option(t)
	}
	return t
}

// Read reads from the wrapped table.
func (t *Table) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	return t.inner.Read(ctx, keys)
}

// Scan scans the wrapped table.
func (t *Table) Scan(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	return t.inner.Scan(ctx, prefix, since)
}

// Commit applies the transaction once. It repeats calls until the outcome is
// known or ctx ends. If ctx has already ended, it sends nothing. If ctx ends
// later, it returns a *table.OutageError that wraps an *UnresolvedError if the
// transaction may have committed or may still commit, or a *NotAppliedError if
// it never will.
func (t *Table) Commit(ctx context.Context, transaction table.Transaction) (table.Revision, error) {
	if err := ctx.Err(); err != nil {
		return 0, table.NewOutageError("commit", err)
	}
	backoff := t.initialBackoff
	for {
		revision, err := t.commitOnce(ctx, transaction, &backoff)
		var outage *table.OutageError
		if !errors.As(err, &outage) || ctx.Err() != nil {
			return revision, err
		}
		if !t.waitBackoff(ctx, &backoff) {
			return 0, err
		}
	}
}

// commitOnce sends the transaction once with a new token row. If the response is
// lost, it resolves the outcome. It returns a *table.OutageError that wraps a
// *NotAppliedError if the transaction will never commit and may be sent again.
func (t *Table) commitOnce(ctx context.Context, transaction table.Transaction, backoff *clock.Millis) (table.Revision, error) {
	key := t.newTokenKey()
	removed := t.takeCommittedKeys()
	revision, err := t.inner.Commit(ctx, withToken(transaction, key, t.tokenValue(stateCommitted), removed))
	var conflict *table.ConflictError
	switch {
	case err == nil:
		t.addCommittedKeys(key)
		return revision, nil
	case errors.As(err, &conflict) && conflict.Key() != key:
		t.addCommittedKeys(removed...)
		return 0, err
	}
	// There was no response, or a conflict on the token row. After a conflict, the
	// transport has sent the transaction twice and the first one committed.
	revision, err = t.resolveOutcome(ctx, key, backoff)
	if err != nil {
		t.addCommittedKeys(removed...)
		return 0, err
	}
	if conflict == nil {
		// After a repeated send the row is kept: a third request may be in flight.
		t.addCommittedKeys(key)
	}
	return revision, nil
}

// withToken adds the token row and the removal of old token rows. The condition
// on the token row is the first: if the transaction has already committed, its
// other conditions may no longer hold, and the first failed one is reported.
func withToken(transaction table.Transaction, key string, value []byte, removed []string) table.Transaction {
	conditions := make([]table.Condition, 0, len(transaction.Conditions())+1)
	conditions = append(conditions, table.NewCondition(key, 0))
	conditions = append(conditions, transaction.Conditions()...)
	mutations := make([]table.Mutation, 0, len(transaction.Mutations())+1+len(removed))
	mutations = append(mutations, transaction.Mutations()...)
	mutations = append(mutations, table.NewPut(key, value))
	for _, old := range removed {
		mutations = append(mutations, table.NewDelete(old))
	}
	return table.NewTransaction(conditions, mutations)
}

// resolveOutcome determines whether the transaction with the token row at key
// committed, and returns its revision. If it did not commit, resolveOutcome
// ensures that it never will and returns an error that wraps a *NotAppliedError.
func (t *Table) resolveOutcome(ctx context.Context, key string, backoff *clock.Millis) (table.Revision, error) {
	for {
		row, err := t.readOrAbandon(ctx, key)
		if err == nil && isCommitted(row) {
			return row.Version(), nil
		}
		if err == nil {
			return 0, table.NewOutageError("commit", &NotAppliedError{key: key})
		}
		if !t.waitBackoff(ctx, backoff) {
			return 0, table.NewOutageError("commit", &UnresolvedError{key: key, cause: err})
		}
	}
}

// readOrAbandon returns the token row. If the row is absent, it writes it as
// abandoned, so that the transaction can't commit any more, and returns it.
func (t *Table) readOrAbandon(ctx context.Context, key string) (table.Row, error) {
	rows, err := t.inner.Read(ctx, []string{key})
	if err != nil {
		return table.Row{}, err
	}
	if rows[0].Version() != 0 {
		return rows[0], nil
	}
	value := t.tokenValue(stateAbandoned)
	abandon := table.NewTransaction(
		[]table.Condition{table.NewCondition(key, 0)},
		[]table.Mutation{table.NewPut(key, value)},
	)
	revision, err := t.inner.Commit(ctx, abandon)
	if err != nil {
		return table.Row{}, err
	}
	return table.NewRow(key, revision, value), nil
}

// waitBackoff pauses before a repeated call and doubles the bound of the pause.
// It returns false if ctx ends first.
func (t *Table) waitBackoff(ctx context.Context, backoff *clock.Millis) bool {
	t.mu.Lock()
	pause := time.Duration(t.random.Int64N(int64(max(*backoff, 1).Duration())))
	t.mu.Unlock()
	*backoff = min(2**backoff, t.maxBackoff)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (t *Table) newTokenKey() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%s%016x%016x", Prefix, t.random.Uint64(), t.random.Uint64())
}

func (t *Table) takeCommittedKeys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := min(len(t.committedKeys), maxDeletesPerTransaction)
	taken := append([]string(nil), t.committedKeys[:count]...)
	t.committedKeys = append(t.committedKeys[:0], t.committedKeys[count:]...)
	return taken
}

func (t *Table) addCommittedKeys(keys ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.committedKeys = append(t.committedKeys, keys...)
}

// tokenValue returns the value of a token row: the state, a space and the current
// time in milliseconds since the Unix epoch.
func (t *Table) tokenValue(state string) []byte {
	return fmt.Appendf(nil, "%s %d", state, t.now().UnixMilli())
}

func isCommitted(row table.Row) bool {
	return strings.HasPrefix(string(row.Value()), stateCommitted+" ")
}

// Sweep removes token rows older than Retention: abandoned rows, and rows of
// clients that stopped before they removed them. It removes at most
// maxDeletesPerTransaction rows and returns their number.
func (t *Table) Sweep(ctx context.Context) (int, error) {
	rows, _, err := t.inner.Scan(ctx, Prefix, 0)
	if err != nil {
		return 0, err
	}
	cutoffMillis := t.now().Add(-Retention.Duration()).UnixMilli()
	var removals []table.Mutation
	for _, row := range rows {
		_, writtenAt, _ := strings.Cut(string(row.Value()), " ")
		writtenMillis, err := strconv.ParseInt(writtenAt, 10, 64)
		if err == nil && writtenMillis < cutoffMillis && len(removals) < maxDeletesPerTransaction {
			removals = append(removals, table.NewDelete(row.Key()))
		}
	}
	if len(removals) == 0 {
		return 0, nil
	}
	_, err = t.Commit(ctx, table.NewTransaction(nil, removals))
	return len(removals), err
}

// UnresolvedError reports that the context ended before the outcome of a
// transaction was known.
type UnresolvedError struct {
	key   string
	cause error
}

// Key returns the key of the transaction's token row.
func (e *UnresolvedError) Key() string { return e.key }

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("transaction %s may have committed: %v", e.key, e.cause)
}

// Unwrap returns the last error of the table service.
func (e *UnresolvedError) Unwrap() error { return e.cause }

// NotAppliedError reports a transaction whose response was lost and that did not
// commit and never will.
type NotAppliedError struct {
	key string
}

// Key returns the key of the transaction's token row.
func (e *NotAppliedError) Key() string { return e.key }

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("transaction %s was abandoned and did not commit", e.key)
}
