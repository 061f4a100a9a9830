package rollout

import (
	"context"
	"errors"
	"time"

	"briarwell.dev/core/object"
	"briarwell.dev/core/table"
)

const (
	// maxAttempts bounds the commits of one edit. Attempts fail when another
	// edit of other rows commits first or the table gives no answer.
	maxAttempts = 8
	// retryBaseDelay and retryCap are the delays between attempts, as for requests.
	retryBaseDelay = 25 * time.Millisecond
	retryMaxDelay  = 250 * time.Millisecond
)

// Editor stores edits. The zero value is not usable.
type Editor struct {
	table table.Table
	store object.Store
}

// NewEditor returns an editor. The store may be nil if every document is at
// most 2,048 bytes long.
func NewEditor(target table.Table, store object.Store) Editor {
	return Editor{table: target, store: store}
}

// AppliedEdit is a stored edit.
type AppliedEdit struct {
	plan     Plan
	revision table.Revision
}

// Plan returns what the edit changed.
func (a AppliedEdit) Plan() Plan { return a.plan }

// Version returns the configuration version that holds the edit.
func (a AppliedEdit) Version() uint64 { return a.plan.Version() }

// Revision returns a revision of the table from which the version is stored.
func (a AppliedEdit) Revision() table.Revision { return a.revision }

// LoadRows returns the configuration rows without the history, all as of one
// version.
func LoadRows(ctx context.Context, source table.Table) ([]table.Row, error) {
	for {
		before, err := source.Read(ctx, []string{KeyHead, KeyAccepted})
		if err != nil {
			return nil, err
		}
		rows := before
		for _, prefix := range []string{PrefixTemplate, PrefixOrganisation} {
			bodies, _, err := source.Scan(ctx, prefix, 0)
			if err != nil {
				return nil, err
			}
			rows = append(rows, bodies...)
		}
		after, err := source.Read(ctx, []string{KeyHead})
		if err != nil {
			return nil, err
		}
		// Every edit writes the head: an unchanged head means that no edit
		// committed between the two reads.
		if after[0].Version() == before[0].Version() {
			return rows, nil
		}
	}
}

// Apply stores the edit and retries if an edit of other rows came first or a
// response was lost. Errors are those of NewPlan, *table.OutageError if nothing
// was stored, *UncertainError if the edit may have been stored, and errors of
// the object store.
func (e Editor) Apply(ctx context.Context, edit Edit) (AppliedEdit, error) {
	var sent Plan
	delay := retryBaseDelay
	var last error
	for range maxAttempts {
		applied, err := e.tryApply(ctx, edit, &sent)
		if err == nil {
			return applied, nil
		}
		if !isRetryable(err) {
			return AppliedEdit{}, err
		}
		last = err
		if sleep(ctx, delay) != nil {
			break
		}
		delay = min(2*delay, retryMaxDelay)
	}
	if !sent.IsEmpty() {
		return AppliedEdit{}, NewUnknownOutcomeError(sent.Version(), last)
	}
	return AppliedEdit{}, last
}

func isRetryable(err error) bool {
	var conflict *table.ConflictError
	return isOutage(err) || errors.As(err, &conflict)
}

// tryApply plans and commits once. sent is the plan of an earlier attempt that
// got no answer, empty if there is none; attempt sets it when that happens.
func (e Editor) tryApply(ctx context.Context, edit Edit, sent *Plan) (AppliedEdit, error) {
	rows, err := LoadRows(ctx, e.table)
	if err != nil {
		return AppliedEdit{}, err
	}
	if !sent.IsEmpty() {
		// Read after Load: if the edit is not found here, it is not in the rows.
		revision, err := e.findStoredEdit(ctx, edit, sent.Version())
		if err != nil || revision > 0 {
			return AppliedEdit{plan: *sent, revision: revision}, err
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
		*sent = plan
	}
	return AppliedEdit{plan: plan, revision: revision}, err
}

// asOutage returns err, or an *OutageError if a commit failed with err in
// another way than a conflict, such as the end of its context.
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

// findStoredEdit returns the revision at which the edit was stored as the given version,
// 0 if it was not: the version's history row has the ID of its edit.
func (e Editor) findStoredEdit(ctx context.Context, edit Edit, version uint64) (table.Revision, error) {
	rows, err := e.table.Read(ctx, []string{HistoryKey(version)})
	if err != nil || rows[0].Version() == 0 {
		return 0, err
	}
	record, err := decodeHistory(rows[0])
	if err != nil || record.info.editID != edit.id {
		return 0, err
	}
	return rows[0].Version(), nil
}

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
