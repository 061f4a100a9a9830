// Package replica holds a sidecar's copy of the table's rows. Sidecars exchange rows and
// keep the newest version of each, so that rows also reach sidecars whose requests the
// table refuses.
package replica

import (
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"briarwell.dev/core/table"
)

// Rows is a replica of the rows. The zero value is empty. It is safe for concurrent use.
type Rows struct {
	mu   sync.Mutex
	rows map[string]table.Row
	// checksum and newest are kept up to date with each row: they are read for every
	// comparison with another sidecar.
	checksum uint64
	newest   table.Revision
}

// Apply stores the rows that are newer than those of the replica, and returns them.
func (r *Rows) Apply(rows []table.Row) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = make(map[string]table.Row)
	}
	var changed []table.Row
	for _, row := range rows {
		if row.Version() > r.rows[row.Key()].Version() {
			if old, ok := r.rows[row.Key()]; ok {
				r.checksum -= rowChecksum(old)
			}
			r.checksum += rowChecksum(row)
			r.newest = max(r.newest, row.Version())
			r.rows[row.Key()] = row
			changed = append(changed, row)
		}
	}
	return changed
}

// Get returns a row, with version 0 if the replica does not have it.
func (r *Rows) Get(key string) table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key]
}

// Checksum returns a hash of the keys and versions of all rows. Replicas with different
// keys or versions have different checksums, except for hash collisions.
func (r *Rows) Checksum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checksum
}

func rowChecksum(row table.Row) uint64 {
	return xxhash.Sum64String(row.Key() + "@" + strconv.FormatUint(uint64(row.Version()), 10))
}

// Newest returns the highest version of all rows, 0 if there are none.
func (r *Rows) Newest() table.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// ChangedAfter returns the rows with higher versions than the given one.
func (r *Rows) ChangedAfter(version table.Revision) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []table.Row
	for _, row := range r.rows {
		if row.Version() > version {
			changed = append(changed, row)
		}
	}
	return changed
}

// Versions returns the version of each row by key.
func (r *Rows) Versions() map[string]table.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := make(map[string]table.Revision, len(r.rows))
	for key, row := range r.rows {
		versions[key] = row.Version()
	}
	return versions
}

// NewerThan returns the rows that are newer than the given versions by key, including
// those whose key has no version.
func (r *Rows) NewerThan(versions map[string]table.Revision) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newer []table.Row
	for key, row := range r.rows {
		if row.Version() > versions[key] {
			newer = append(newer, row)
		}
	}
	return newer
}

// IsBehind reports whether any of the given versions by key is newer than that of the
// replica.
func (r *Rows) IsBehind(versions map[string]table.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, version := range versions {
		if version > r.rows[key].Version() {
			return true
		}
	}
	return false
}

// WithPrefix returns the rows whose keys start with a prefix.
func (r *Rows) WithPrefix(prefix string) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []table.Row
	for key, row := range r.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows
}

// DeletedRows returns the tombstones of the rows whose keys start with a prefix and that are
// absent from read, which has all rows of the table at a revision.
func (r *Rows) DeletedRows(prefix string, read []table.Row, revision table.Revision) []table.Row {
	present := make(map[string]bool, len(read))
	for _, row := range read {
		present[row.Key()] = true
	}
	var deleted []table.Row
	for _, row := range r.WithPrefix(prefix) {
		if !present[row.Key()] && len(row.Value()) > 0 && row.Version() <= revision {
			deleted = append(deleted, Tombstone(row))
		}
	}
	return deleted
}

// Tombstone returns the row without a value that records that a row was deleted when the version
// of the deletion is not known. Its version is the next one: the deletion was written after the
// row, so no later write of the row has a lower or the same version.
func Tombstone(row table.Row) table.Row {
	return table.NewRow(row.Key(), row.Version()+1, nil)
}
