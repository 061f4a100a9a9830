package rollout

import (
	"context"
	"errors"
	"time"

	"briarwell.dev/core/object"
	"briarwell.dev/core/table"
)

const (
	// maxAttempts limits the attempts to write to the table. An attempt fails if an
	// edit of other rows commits first or the table does not respond.
	maxAttempts = 8
	// retryBaseDelay and retryMaxDelay bound the delay between attempts, which
	// doubles each time. They equal BackoffBase and BackoffCap of the package retry.
	// The delay has no jitter.
	retryBaseDelay = 25 * time.Millisecond
	retryMaxDelay  = 250 * time.Millisecond
)

// Editor stores edits in the table. The zero value is not usable.
type Editor struct {
	table table.Table
	store object.Store
}

// NewEditor returns an editor. The object store may be nil if no document is longer
// than 2,048 bytes.
func NewEditor(target table.Table, store object.Store) Editor {
	return Editor{table: target, store: store}
}

// AppliedEdit is a stored edit.
type AppliedEdit struct {
	plan     Plan
	revision table.Revision
}

// Plan returns the changes of the edit.
func (a AppliedEdit) Plan() Plan { return a.plan }

// Version returns the configuration version that contains the edit.
func (a AppliedEdit) Version() uint64 { return a.plan.Version() }

// Revision returns a table revision as of which the version is stored.
func (a AppliedEdit) Revision() table.Revision { return a.revision }

// LoadRows reads the configuration rows without the history, all of one version. It
// reads them again if an edit commits in between.
func LoadRows(ctx context.Context, source table.Table) ([]table.Row, error) {
	for {
		before, err := source.Read(ctx, []string{KeyHead, KeyAccepted})
		if err != nil {
			return nil, err
		}
		rows := before
		for _, prefix := range []string{PrefixTemplate, PrefixOrganisation} {
			documents, _, err := source.Scan(ctx, prefix, 0)
			if err != nil {
				return nil, err
			}
			rows = append(rows, documents...)
		}
		after, err := source.Read(ctx, []string{KeyHead})
		if err != nil {
			return nil, err
		}
		// Every edit writes the head row: if it is unchanged, no edit has committed
		// between the two reads.
		if after[0].Version() == before[0].Version() {
			return rows, nil
		}
	}
}

// Apply stores the edit. It retries if an edit of other rows commits first or a
// response of the table is lost. It returns the errors of NewPlan and of the object
// store. If all attempts fail or ctx ends between two of them, it returns
// *UnknownOutcomeError if the edit may have been stored, or else the last
// *table.OutageError or *table.ConflictError.
func (e Editor) Apply(ctx context.Context, edit Edit) (AppliedEdit, error) {
	var unresolved Plan
	delay := retryBaseDelay
	var lastErr error
	for range maxAttempts {
		applied, err := e.tryApply(ctx, edit, &unresolved)
		if err == nil {
			return applied, nil
		}
		if !isRetryable(err) {
			return AppliedEdit{}, err
		}
		lastErr = err
		if sleep(ctx, delay) != nil {
			break
		}
		delay = min(2*delay, retryMaxDelay)
	}
	if !unresolved.IsEmpty() {
		return AppliedEdit{}, NewUnknownOutcomeError(unresolved.Version(), lastErr)
	}
	return AppliedEdit{}, lastErr
}

// isRetryable reports whether the error is an outage or a conflict of the table.
func isRetryable(err error) bool {
	var conflict *table.ConflictError
	return isOutage(err) || errors.As(err, &conflict)
}

// tryApply makes one attempt to plan and commit the edit. unresolved is the plan of
// the last attempt whose commit got no response, empty if there is none. tryApply sets
// it if its own commit gets no response.
func (e Editor) tryApply(ctx context.Context, edit Edit, unresolved *Plan) (AppliedEdit, error) {
	rows, err := LoadRows(ctx, e.table)
	if err != nil {
		return AppliedEdit{}, err
	}
	if !unresolved.IsEmpty() {
		// This read follows LoadRows: if the edit is not found here, the loaded rows
		// don't contain it either.
		revision, err := e.findStoredEdit(ctx, edit, unresolved.Version())
		if err != nil || revision > 0 {
			return AppliedEdit{plan: *unresolved, revision: revision}, err
		}
	}
	plan, err := NewPlan(rows, edit)
	if err != nil {
		return AppliedEdit{}, err
	}
	if plan.IsEmpty() {
		return AppliedEdit{plan: plan, revision: plan.stored.headRow.Version()}, nil
	}
	history, err := plan.encodeHistory(ctx, e.store)
	if err != nil {
		return AppliedEdit{}, err
	}
	transaction, err := plan.transaction(history)
	if err != nil {
		return AppliedEdit{}, err
	}
	revision, err := e.table.Commit(ctx, transaction)
	if err = asOutage(err); isOutage(err) {
		*unresolved = plan
	}
	return AppliedEdit{plan: plan, revision: revision}, err
}

// asOutage converts the error of a commit to a *table.OutageError, unless it is a
// conflict or an outage already. Another error, such as the end of the context, also
// leaves the outcome of the commit unknown.
func asOutage(err error) error {
	if err == nil || isRetryable(err) {
		return err
	}
	return table.NewOutageError("commit", err)
}

func isOutage(err error) bool {
	var outage *table.OutageError
	return errors.As(err, &outage)
}

// findStoredEdit returns the table revision at which the edit was stored as the given
// version, 0 if it was not. It compares the edit ID in the version's history row.
func (e Editor) findStoredEdit(ctx context.Context, edit Edit, version uint64) (table.Revision, error) {
	rows, err := e.table.Read(ctx, []string{HistoryKey(version)})
	if err != nil || rows[0].Version() == 0 {
		return 0, err
	}
	entry, err := decodeHistory(rows[0])
	if err != nil || entry.info.editID != edit.id {
		return 0, err
	}
	return rows[0].Version(), nil
}

// sleep waits for the delay or until ctx ends, and returns the error of ctx.
func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
