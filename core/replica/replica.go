// Package replica holds a sidecar's copy of the store's rows. Sidecars exchange rows and keep the
// latest version and the latest content of each, so that rows also reach sidecars whose requests the
// store refuses, and that what was written survives a store that comes back from an older copy.
package replica

import (
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"briarwell.dev/core/era"
)

// Rows is a replica of the rows. The zero value is empty. It is safe for concurrent use.
type Rows struct {
	mu   sync.Mutex
	rows map[string]era.Row
	// checksum and newest are kept up to date with each row: they are read for every
	// comparison with another sidecar.
	checksum uint64
	newest   era.Revision
}

// Apply merges rows into the replica and returns those of which it did not have the version or the
// content, as merged.
func (r *Rows) Apply(rows []era.Row) []era.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = make(map[string]era.Row)
	}
	var changed []era.Row
	for _, row := range rows {
		old, known := r.rows[row.Key()]
		if known && old.Covers(row.Stamp) || row.Stamp == (era.Stamp{}) {
			continue
		}
		if known {
			r.checksum -= rowChecksum(old)
		}
		merged := old.Join(row)
		r.checksum += rowChecksum(merged)
		r.newest = era.Later(r.newest, merged.Version())
		r.rows[row.Key()] = merged
		changed = append(changed, merged)
	}
	return changed
}

// Get returns a row, with the zero stamp if the replica does not have it.
func (r *Rows) Get(key string) era.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key]
}

// Checksum returns a hash of the keys and stamps of all rows. Replicas with different
// keys or stamps have different checksums, except for hash collisions.
func (r *Rows) Checksum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checksum
}

func rowChecksum(row era.Row) uint64 {
	return xxhash.Sum64String(row.Key() + "@" + row.String())
}

// Newest returns the highest version of all rows, 0 if there are none.
func (r *Rows) Newest() era.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// ChangedAfter returns the rows with later versions than the given one.
func (r *Rows) ChangedAfter(version era.Revision) []era.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []era.Row
	for _, row := range r.rows {
		if row.Version().After(version) {
			changed = append(changed, row)
		}
	}
	return changed
}

// Stamps returns the stamp of each row by key.
func (r *Rows) Stamps() map[string]era.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	stamps := make(map[string]era.Stamp, len(r.rows))
	for key, row := range r.rows {
		stamps[key] = row.Stamp
	}
	return stamps
}

// NewerThan returns the rows that the given stamps by key don't cover, including those whose key
// has no stamp.
func (r *Rows) NewerThan(stamps map[string]era.Stamp) []era.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newer []era.Row
	for key, row := range r.rows {
		if !stamps[key].Covers(row.Stamp) {
			newer = append(newer, row)
		}
	}
	return newer
}

// IsBehind reports whether the replica does not cover any of the given stamps by key.
func (r *Rows) IsBehind(stamps map[string]era.Stamp) bool {
	return len(r.Lacking(stamps)) > 0
}

// Unstored returns the stamps of the rows whose content the store has lost, by key.
func (r *Rows) Unstored() map[string]era.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unstored map[string]era.Stamp
	for key, row := range r.rows {
		if row.Stored() {
			continue
		}
		if unstored == nil {
			unstored = make(map[string]era.Stamp)
		}
		unstored[key] = row.Stamp
	}
	return unstored
}

// Lacking returns the keys of the stamps that the replica does not cover.
func (r *Rows) Lacking(stamps map[string]era.Stamp) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lacking []string
	for key, stamp := range stamps {
		if !r.rows[key].Covers(stamp) {
			lacking = append(lacking, key)
		}
	}
	return lacking
}

// WithPrefix returns the rows whose keys start with a prefix.
func (r *Rows) WithPrefix(prefix string) []era.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []era.Row
	for key, row := range r.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows
}

// DeletedRows returns the tombstones of the rows whose keys start with a prefix and that are
// absent from read, which has all rows of the store at a revision.
func (r *Rows) DeletedRows(prefix string, read []era.Row, revision era.Revision) []era.Row {
	present := presentKeys(read)
	var deleted []era.Row
	for _, row := range r.WithPrefix(prefix) {
		if !present[row.Key()] && len(row.Value()) > 0 && !row.Version().After(revision) {
			deleted = append(deleted, Tombstone(row, revision))
		}
	}
	return deleted
}

// LostRows returns the rows whose keys start with a prefix, that the store had in an earlier era and
// that are absent from read, which has all rows of the store at a revision. The store has lost them:
// they have number 0 in its present era, and keep their content.
func (r *Rows) LostRows(prefix string, read []era.Row, revision era.Revision) []era.Row {
	present := presentKeys(read)
	var lost []era.Row
	for _, row := range r.WithPrefix(prefix) {
		if !present[row.Key()] && row.Version().Era() < revision.Era() {
			lost = append(lost, era.NewRowAt(row.Key(), era.NewStamp(era.NewRevision(revision.Era(), 0), era.Revision{}), nil))
		}
	}
	return lost
}

func presentKeys(rows []era.Row) map[string]bool {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key()] = true
	}
	return present
}

// Tombstone returns the row without a value that records that a row is absent at a revision when
// the version of the deletion is not known. In the era of the row its version is the next one: the
// deletion was written after the row, so no later write of the row has a lower or the same version.
func Tombstone(row era.Row, revision era.Revision) era.Row {
	if row.Version().Era() != revision.Era() {
		return era.NewRow(row.Key(), era.NewRevision(revision.Era(), 0), nil)
	}
	return era.NewRow(row.Key(), row.Version().Next(), nil)
}
