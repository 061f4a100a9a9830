package node

import (
	"cmp"
	"slices"

	"briarwell.dev/core/table"
)

// tableCopy is the node's copy of the replicated rows.
type tableCopy struct {
	rows map[string]table.Row
	// log holds the rows by ascending version, including superseded ones.
	log []table.Row
	// revision is the table revision up to which the copy is complete. Single rows
	// may be newer.
	revision table.Revision
}

// logCompactionSlack is the number of superseded rows that the log may always hold, so
// that a small copy is not compacted on each change.
const logCompactionSlack = 64

// put stores a row and reports whether it is newer than the one in the copy. An older
// row is ignored, so that a late response cannot revert a change.
func (c *tableCopy) put(row table.Row) bool {
	if row.Version() <= c.rows[row.Key()].Version() {
		return false
	}
	if c.rows == nil {
		c.rows = make(map[string]table.Row)
	}
	c.rows[row.Key()] = row
	position := c.indexAfter(row.Version())
	c.log = slices.Insert(c.log, position, row)
	if len(c.log) > 2*len(c.rows)+logCompactionSlack {
		c.log = slices.DeleteFunc(c.log, c.isSuperseded)
	}
	return true
}

// isSuperseded reports whether the copy holds another version of the row.
func (c *tableCopy) isSuperseded(row table.Row) bool {
	return c.rows[row.Key()].Version() != row.Version()
}

// indexAfter returns the index in the log of the first row written after a revision.
func (c *tableCopy) indexAfter(revision table.Revision) int {
	position, _ := slices.BinarySearchFunc(c.log, revision, func(row table.Row, r table.Revision) int {
		if row.Version() <= r {
			return -1
		}
		return cmp.Compare(row.Version(), r)
	})
	return position
}

// rowsSince returns the current rows that were written after a revision.
func (c *tableCopy) rowsSince(revision table.Revision) []table.Row {
	var rows []table.Row
	for _, row := range c.log[c.indexAfter(revision):] {
		if !c.isSuperseded(row) {
			rows = append(rows, row)
		}
	}
	return rows
}

// version returns the version of a row in the copy, or 0 if there is no such row.
func (c *tableCopy) version(key string) table.Revision { return c.rows[key].Version() }

// condition returns the condition that a row still has the version that it has in the
// copy.
func (c *tableCopy) condition(key string) table.Condition {
	return table.NewCondition(key, c.version(key))
}
