package app

import (
	"errors"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/table"
)

// encodedRow is a row in a message between sidecars: whole, or as a change from an earlier
// version. A message may hold several changes of a row, one after another.
type encodedRow struct {
	Key     string         `json:"key"`
	Version table.Revision `json:"version"`
	Value   []byte         `json:"value,omitempty"`
	// Base is the version that Delta changes.
	Base  table.Revision `json:"base,omitempty"`
	Delta []byte         `json:"delta,omitempty"`
	// Packed is the compressed value of a row that was fetched.
	Packed []byte `json:"packed,omitempty"`
}

// syncRequest compares the rows of two sidecars. The first request of a round has the
// checksum and the newest version of all rows. The second one, which is needed only if rows
// of older versions differ, has the version of each row.
type syncRequest struct {
	Checksum uint64         `json:"sum"`
	Newest   table.Revision `json:"newest,omitempty"`
	// Assignments has the versions of the rows with key assignments.
	Assignments map[string]table.Revision `json:"assignments,omitempty"`
	Versions    map[string]table.Revision `json:"versions,omitempty"`
	// Fetches reports whether the sender fetches large rows that are offered to it. One that
	// does not gets them whole.
	Fetches bool `json:"fetches,omitempty"`
	// Confirm asks a watcher to find out at the store which manifest is the newest.
	Confirm bool `json:"confirm,omitempty"`
}

type syncResponse struct {
	// Same reports whether the checksums are equal.
	Same bool `json:"same"`
	// Watching reports whether the responder watches the store and the store answers.
	Watching bool `json:"reading"`
	// Checksum and Newest describe the responder's rows.
	Checksum uint64         `json:"sum,omitempty"`
	Newest   table.Revision `json:"newest,omitempty"`
	// Rows holds the responder's rows that are newer than the versions in the request, Offers
	// the versions of the large ones among them.
	Rows   []encodedRow              `json:"rows,omitempty"`
	Offers map[string]table.Revision `json:"offers,omitempty"`
	// ManifestRevision is the newest revision of the manifest that the responder knows to exist,
	// ManifestAge the age of that knowledge in milliseconds.
	ManifestRevision table.Revision `json:"manifestRevision,omitempty"`
	ManifestAge      *clock.Millis  `json:"manifestAgeMillis,omitempty"`
	// StoreAge is the age in milliseconds of the latest answer of the store that the
	// responder knows of.
	StoreAge *clock.Millis `json:"storeAgeMillis,omitempty"`
	// Behind reports whether the versions in the request include newer ones than the
	// responder has.
	Behind bool `json:"behind"`
}

type rowsRequest struct {
	Rows []encodedRow `json:"rows"`
	// Offers has the versions of large rows that the sender has at the address From.
	Offers map[string]table.Revision `json:"offers,omitempty"`
	From   string                    `json:"from,omitempty"`
	// StoreAge is the age in milliseconds of the latest answer of the store that the sender
	// knows of.
	StoreAge *clock.Millis `json:"storeAgeMillis,omitempty"`
}

type rowsResponse struct {
	// Missing has the keys whose changes could not be applied, with the versions that the
	// responder has.
	Missing map[string]table.Revision `json:"missing,omitempty"`
}

// applyEncodedRows updates the local copy with rows from another sidecar. It returns the
// rows that were newer than the local ones, and the versions of the local rows to which
// changes could not be applied.
func (a *App) applyEncodedRows(encoded []encodedRow) ([]table.Row, map[string]table.Revision) {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	var changed []table.Row
	missing := make(map[string]table.Revision)
	for _, e := range evacuationsFirst(encoded, func(e encodedRow) string { return e.Key }) {
		if e.Version <= a.rows.Get(e.Key).Version() {
			continue
		}
		// The value of a row that comes as a change stays empty.
		row := a.withKnownDeletion(table.NewRow(e.Key, e.Version, e.Value))
		if len(e.Delta) > 0 {
			if known, err := a.applyDelta(e); err != nil {
				a.log.Debug().Err(err).Str("row", e.Key).Uint64("base", uint64(e.Base)).Msg("changeNotApplied")
				missing[e.Key] = known
				continue
			}
		} else if a.applyToState(row, false) != nil {
			// If it were kept, no row with a lower version would be accepted any more.
			continue
		}
		delete(missing, e.Key)
		changed = append(changed, a.rows.Apply([]table.Row{row})...)
	}
	if len(changed) > 0 {
		a.wakeControl()
	}
	return changed, missing
}

// applyDelta applies a change of an assignment to the state. If that fails, it returns the
// version that the sender may assume, 0 if it must send the whole row.
func (a *App) applyDelta(row encodedRow) (table.Revision, error) {
	err := a.state.applyDelta(a.clock.Now(), row.Key, fleet.NewDelta(row.Base, row.Version, row.Delta))
	var mismatch *fleet.BaseError
	if errors.As(err, &mismatch) {
		return mismatch.Known(), err
	}
	return 0, err
}

// assignmentVersions returns the versions of the rows with key assignments.
func (a *App) assignmentVersions() map[string]table.Revision {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make(map[string]table.Revision)
	for service, versioned := range s.view.Assignments() {
		versions[fleet.AssignmentKey(service)] = versioned.Revision
	}
	return versions
}

// encodeLastChanges encodes rows, assignments as their last change if it is known.
func (a *App) encodeLastChanges(rows []table.Row) []encodedRow {
	rows = a.withEvacuations(rows)
	encoded := make([]encodedRow, 0, len(rows))
	for _, row := range rows {
		if delta, ok := a.state.lastChange(row.Key(), row.Version()); ok {
			encoded = append(encoded, encodeDelta(row.Key(), delta))
			continue
		}
		encoded = a.appendWhole(encoded, row)
	}
	return encoded
}

// encodeRowsSince encodes rows for a sidecar that has the given versions: assignments as the
// changes since then if they are known.
func (a *App) encodeRowsSince(rows []table.Row, versions map[string]table.Revision) []encodedRow {
	rows = a.withEvacuations(rows)
	encoded := make([]encodedRow, 0, len(rows))
	for _, row := range rows {
		since := versions[row.Key()]
		if deltas, ok := a.state.changesSince(row.Key(), since); ok && since > 0 {
			for _, delta := range deltas {
				encoded = append(encoded, encodeDelta(row.Key(), delta))
			}
			continue
		}
		encoded = a.appendWhole(encoded, row)
	}
	return encoded
}

func encodeDelta(key string, delta fleet.Delta) encodedRow {
	return encodedRow{Key: key, Version: delta.Revision(), Base: delta.Base(), Delta: delta.Data()}
}

// appendWhole appends a whole row. The replica has no value for an assignment that it got as
// a change; the row is then encoded from the state, which may be newer.
func (a *App) appendWhole(encoded []encodedRow, row table.Row) []encodedRow {
	if _, ok := fleet.AssignmentService(row.Key()); ok && len(row.Value()) == 0 {
		var err error
		if row, err = a.state.encodeAssignment(row.Key()); err != nil {
			a.log.Error().Err(err).Str("row", row.Key()).Msg("divisionNotEncoded")
			return encoded
		}
	}
	return append(encoded, encodedRow{Key: row.Key(), Version: row.Version(), Value: row.Value()})
}
