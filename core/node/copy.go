package node

import (
	"cmp"
	"slices"

	"briarwell.dev/core/table"
)

// tableCopy is the node's copy of the replicated rows.
type tableCopy struct {
	rows map[string]table.Row
	// log holds the rows by ascending version, among them superseded ones.
	log []table.Row
	// revision is that up to which the copy is complete. Rows may be newer.
	revision table.Revision
}

// logCompactionSlack is the number of superseded rows in the log that is always allowed,
// so that a small copy is not compacted on each change.
const logCompactionSlack = 64

// put takes a row and tells whether it is newer than the one in the copy. An
// older row is dropped, so that no answer that comes late reverts a change.
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

func (c *tableCopy) isSuperseded(row table.Row) bool {
	return c.rows[row.Key()].Version() != row.Version()
}

// indexAfter returns the position in the log of the first row above a revision.
func (c *tableCopy) indexAfter(revision table.Revision) int {
	position, _ := slices.BinarySearchFunc(c.log, revision, func(row table.Row, r table.Revision) int {
		if row.Version() <= r {
			return -1
		}
		return cmp.Compare(row.Version(), r)
	})
	return position
}

// rowsSince returns the rows above a revision.
func (c *tableCopy) rowsSince(revision table.Revision) []table.Row {
	var rows []table.Row
	for _, row := range c.log[c.indexAfter(revision):] {
		if !c.isSuperseded(row) {
			rows = append(rows, row)
		}
	}
	return rows
}

// version returns the version of a row in the copy, 0 if there is none.
func (c *tableCopy) version(key string) table.Revision { return c.rows[key].Version() }

// condition requires that a row still has the version that it has in the copy.
func (c *tableCopy) condition(key string) table.Condition {
	return table.NewCondition(key, c.version(key))
}
