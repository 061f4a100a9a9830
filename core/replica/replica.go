// Package replica keeps a daemon's copy of the table's rows. Copies of different
// daemons are merged by the rows' versions, so that rows also reach daemons that
// the table turns away.
package replica

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"briarwell.dev/core/table"
)

// Rows is a copy of rows. The zero value is empty. It is safe for concurrent use.
type Rows struct {
	mu   sync.Mutex
	rows map[string]table.Row
}

// Apply takes the rows that are newer than the own ones and returns them.
func (r *Rows) Apply(rows []table.Row) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = make(map[string]table.Row)
	}
	var changed []table.Row
	for _, row := range rows {
		if row.Version() > r.rows[row.Key()].Version() {
			r.rows[row.Key()] = row
			changed = append(changed, row)
		}
	}
	return changed
}

// Get returns a row; one that is not known has version 0.
func (r *Rows) Get(key string) table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key]
}

// Checksum returns a number that differs, but for chance, between copies with other
// rows or versions.
func (r *Rows) Checksum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum uint64
	for key, row := range r.rows {
		sum += xxhash.Sum64String(key + "@" + strconv.FormatUint(uint64(row.Version()), 10))
	}
	return sum
}

// Versions returns the version of each row.
func (r *Rows) Versions() map[string]table.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	digest := make(map[string]table.Revision, len(r.rows))
	for key, row := range r.rows {
		digest[key] = row.Version()
	}
	return digest
}

// NewerThan returns the rows that are newer than those of a digest.
func (r *Rows) NewerThan(digest map[string]table.Revision) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newer []table.Row
	for key, row := range r.rows {
		if row.Version() > digest[key] {
			newer = append(newer, row)
		}
	}
	return newer
}

// IsBehind tells whether the digest has rows that are newer than the own ones.
func (r *Rows) IsBehind(digest map[string]table.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, version := range digest {
		if version > r.rows[key].Version() {
			return true
		}
	}
	return false
}
