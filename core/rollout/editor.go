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
	// retryBase and retryCap are the delays between attempts, as for requests.
	retryBase = 25 * time.Millisecond
	retryCap  = 250 * time.Millisecond
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

// Applied is a stored edit.
type Applied struct {
	plan     Plan
	revision table.Revision
}

// Plan returns what the edit changed.
func (a Applied) Plan() Plan { return a.plan }

// Version returns the configuration version that holds the edit.
func (a Applied) Version() uint64 { return a.plan.Version() }

// Revision returns a revision of the table from which the version is stored.
func (a Applied) Revision() table.Revision { return a.revision }

// Load returns the configuration rows without the history, all as of one
// version.
func Load(ctx context.Context, source table.Table) ([]table.Row, error) {
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
func (e Editor) Apply(ctx context.Context, edit Edit) (Applied, error) {
	var sent Plan
	delay := retryBase
	var last error
	for range maxAttempts {
		applied, err := e.attempt(ctx, edit, &sent)
		if err == nil {
			return applied, nil
		}
		if !retryable(err) {
			return Applied{}, err
		}
		last = err
		if pause(ctx, delay) != nil {
			break
		}
		delay = min(2*delay, retryCap)
	}
	if !sent.Empty() {
		return Applied{}, NewUncertainError(sent.Version(), last)
	}
	return Applied{}, last
}

func retryable(err error) bool {
	var conflict *table.ConflictError
	return isOutage(err) || errors.As(err, &conflict)
}

// attempt plans and commits once. sent is the plan of an earlier attempt that
// got no answer, empty if there is none; attempt sets it when that happens.
func (e Editor) attempt(ctx context.Context, edit Edit, sent *Plan) (Applied, error) {
	rows, err := Load(ctx, e.table)
	if err != nil {
		return Applied{}, err
	}
	if !sent.Empty() {
		// Read after Load: if the edit is not found here, it is not in the rows.
		revision, err := e.find(ctx, edit, sent.Version())
		if err != nil || revision > 0 {
			return Applied{plan: *sent, revision: revision}, err
		}
	}
	plan, err := NewPlan(rows, edit)
	if err != nil {
		return Applied{}, err
	}
	if plan.Empty() {
		return Applied{plan: plan, revision: plan.stored.headRow.Version()}, nil
	}
	history, err := plan.encodeHistory(ctx, e.store)
	if err != nil {
		return Applied{}, err
	}
	transaction, err := plan.transaction(history)
	if err != nil {
		return Applied{}, err
	}
	revision, err := e.table.Commit(ctx, transaction)
	if err = noAnswer(err); isOutage(err) {
		*sent = plan
	}
	return Applied{plan: plan, revision: revision}, err
}

// noAnswer returns err, or an *OutageError if a commit failed with err in
// another way than a conflict, such as the end of its context.
func noAnswer(err error) error {
	if err == nil || retryable(err) {
		return err
	}
	return table.NewOutageError("commit", err)
}

func isOutage(err error) bool {
	var outage *table.OutageError
	return errors.As(err, &outage)
}

// find returns the revision at which the edit was stored as the given version,
// 0 if it was not: the version's history row has the ID of its edit.
func (e Editor) find(ctx context.Context, edit Edit, version uint64) (table.Revision, error) {
	rows, err := e.table.Read(ctx, []string{HistoryKey(version)})
	if err != nil || rows[0].Version() == 0 {
		return 0, err
	}
	record, err := decodeHistory(rows[0])
	if err != nil || record.stamp.edit != edit.id {
		return 0, err
	}
	return rows[0].Version(), nil
}

func pause(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
