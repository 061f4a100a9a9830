package app

import (
	"errors"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/fleet"
)

// encodedRow is a row in a message between sidecars: whole, or as a change from an earlier
// content. A message may hold several changes of a row, one after another.
type encodedRow struct {
	Key   string    `json:"key"`
	Stamp era.Stamp `json:"version"`
	Value []byte    `json:"value,omitempty"`
	// Base is the revision of the content that Delta changes.
	Base  era.Revision `json:"base,omitzero"`
	Delta []byte       `json:"delta,omitempty"`
	// Packed is the compressed value of a row that was fetched.
	Packed []byte `json:"packed,omitempty"`
}

// syncRequest compares the rows of two sidecars. The first request of a round has the
// checksum and the newest version of all rows. The second one, which is needed only if rows
// of older versions differ, has the stamp of each row.
type syncRequest struct {
	Checksum uint64       `json:"sum"`
	Newest   era.Revision `json:"newest,omitzero"`
	// Assignments has the revisions of the contents of the rows with key assignments.
	Assignments map[string]era.Revision `json:"assignments,omitempty"`
	Stamps      map[string]era.Stamp    `json:"versions,omitempty"`
	// Only restricts the response to the rows that have a stamp in the request.
	Only bool `json:"only,omitempty"`
	// Unstored has the stamps of the rows whose content the store has lost.
	Unstored map[string]era.Stamp `json:"unstored,omitempty"`
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
	Checksum uint64       `json:"sum,omitempty"`
	Newest   era.Revision `json:"newest,omitzero"`
	// Rows holds the responder's rows that are newer than the stamps in the request, Offers
	// the stamps of the large ones among them.
	Rows   []encodedRow         `json:"rows,omitempty"`
	Offers map[string]era.Stamp `json:"offers,omitempty"`
	// Unstored is that of the responder, Wanted has the keys of the unstored rows in the request that
	// the responder lacks.
	Unstored map[string]era.Stamp `json:"unstored,omitempty"`
	Wanted   []string             `json:"wanted,omitempty"`
	// ManifestRevision is the newest revision of the manifest that the responder knows to exist,
	// ManifestAge the age of that knowledge in milliseconds.
	ManifestRevision era.Revision  `json:"manifestRevision,omitzero"`
	ManifestAge      *clock.Millis `json:"manifestAgeMillis,omitempty"`
	// StoreAge is the age in milliseconds of the latest answer of the store that the
	// responder knows of.
	StoreAge *clock.Millis `json:"storeAgeMillis,omitempty"`
	// Behind reports whether the stamps in the request include newer ones than the responder has.
	Behind bool `json:"behind"`
}

type rowsRequest struct {
	Rows []encodedRow `json:"rows"`
	// Offers has the stamps of large rows that the sender has at the address From.
	Offers map[string]era.Stamp `json:"offers,omitempty"`
	From   string               `json:"from,omitempty"`
	// StoreAge is the age in milliseconds of the latest answer of the store that the sender
	// knows of.
	StoreAge *clock.Millis `json:"storeAgeMillis,omitempty"`
}

type rowsResponse struct {
	// Missing has the keys whose changes could not be applied, with the revisions of the contents
	// that the responder has.
	Missing map[string]era.Revision `json:"missing,omitempty"`
}

// applyEncodedRows updates the local copy with rows from another sidecar. It returns the
// rows of which the local copy did not have the version or the content, and the revisions of the
// contents of the local rows to which changes could not be applied.
func (a *App) applyEncodedRows(encoded []encodedRow) ([]era.Row, map[string]era.Revision) {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	var changed []era.Row
	missing := make(map[string]era.Revision)
	for _, e := range evacuationsFirst(encoded, func(e encodedRow) string { return e.Key }) {
		known := a.rows.Get(e.Key)
		if known.Covers(e.Stamp) {
			continue
		}
		// The value of a row that comes as a change stays empty.
		row := a.withKnownDeletion(era.NewRowAt(e.Key, e.Stamp, e.Value))
		if len(e.Delta) > 0 && e.Stamp.Origin().After(known.Origin()) {
			a.observeEra(e.Stamp.Version().Era())
			if known, err := a.applyDelta(e); err != nil {
				a.log.Debug().Err(err).Str("row", e.Key).Stringer("base", e.Base).Msg("changeNotApplied")
				missing[e.Key] = known
				continue
			}
		} else if a.applyToState(known, row, false) != nil {
			// If it were kept, no row with a lower version would be accepted any more.
			continue
		}
		delete(missing, e.Key)
		changed = append(changed, a.rows.Apply([]era.Row{row})...)
	}
	if len(changed) > 0 {
		a.wakeControl()
	}
	return changed, missing
}

// applyDelta applies a change of an assignment to the state. If that fails, it returns the revision
// of the content that the sender may assume, the zero value if it must send the whole row.
func (a *App) applyDelta(row encodedRow) (era.Revision, error) {
	err := a.state.applyDelta(a.clock.Now(), row.Key, fleet.NewDelta(row.Base, row.Stamp, row.Delta))
	var mismatch *fleet.BaseError
	if errors.As(err, &mismatch) {
		return mismatch.Known(), err
	}
	return era.Revision{}, err
}

// origins returns the revisions of the contents of rows.
func origins(stamps map[string]era.Stamp) map[string]era.Revision {
	revisions := make(map[string]era.Revision, len(stamps))
	for key, stamp := range stamps {
		revisions[key] = stamp.Origin()
	}
	return revisions
}

// assignmentVersions returns the revisions of the contents of the rows with key assignments.
func (a *App) assignmentVersions() map[string]era.Revision {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make(map[string]era.Revision)
	for service, versioned := range s.view.Assignments() {
		versions[fleet.AssignmentKey(service)] = versioned.Stamp.Origin()
	}
	return versions
}

// encodeLastChanges encodes rows, assignments as their last change if it is known.
func (a *App) encodeLastChanges(rows []era.Row) []encodedRow {
	rows = a.withEvacuations(rows)
	encoded := make([]encodedRow, 0, len(rows))
	for _, row := range rows {
		if delta, ok := a.state.lastChange(row.Key(), row.Origin()); ok {
			encoded = append(encoded, encodeDelta(row, delta))
			continue
		}
		encoded = a.appendWhole(encoded, row)
	}
	return encoded
}

// encodeRowsSince encodes rows for a sidecar that has the contents of the given revisions: assignments as the
// changes since then if they are known.
func (a *App) encodeRowsSince(rows []era.Row, versions map[string]era.Revision) []encodedRow {
	rows = a.withEvacuations(rows)
	encoded := make([]encodedRow, 0, len(rows))
	for _, row := range rows {
		since := versions[row.Key()]
		if deltas, ok := a.state.changesSince(row.Key(), since); ok && !since.IsZero() {
			for _, delta := range deltas {
				encoded = append(encoded, encodeDelta(row, delta))
			}
			continue
		}
		encoded = a.appendWhole(encoded, row)
	}
	return encoded
}

func encodeDelta(row era.Row, delta fleet.Delta) encodedRow {
	stamp := delta.Stamp()
	if stamp.Origin() == row.Origin() {
		stamp = row.Stamp // Its version may be newer than that of the change.
	}
	return encodedRow{Key: row.Key(), Stamp: stamp, Base: delta.Base(), Delta: delta.Data()}
}

// appendWhole appends a whole row. The replica has no value for an assignment that it got as
// a change; the row is then encoded from the state, which may be newer.
func (a *App) appendWhole(encoded []encodedRow, row era.Row) []encodedRow {
	if _, ok := fleet.AssignmentService(row.Key()); ok && len(row.Value()) == 0 {
		var err error
		if row, err = a.state.encodeAssignment(row.Key()); err != nil {
			a.log.Error().Err(err).Str("row", row.Key()).Msg("divisionNotEncoded")
			return encoded
		}
	}
	return append(encoded, encodedRow{Key: row.Key(), Stamp: row.Stamp, Value: row.Value()})
}
