// Package wire defines the paths and JSON bodies of the table service's HTTP
// protocol.
package wire

import "briarwell.dev/core/table"

// Paths of the operations; all use POST.
const (
	PathRead   = "/read"
	PathScan   = "/scan"
	PathCommit = "/commit"
)

// Row is a row as it was read; version 0 means that it is absent.
type Row struct {
	Key     string         `json:"key"`
	Version table.Revision `json:"version"`
	Value   []byte         `json:"value,omitempty"`
}

// ReadRequest asks for the rows at the keys.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ReadResponse holds one row for each requested key, in the same order.
type ReadResponse struct {
	Rows []Row `json:"rows"`
}

// ScanRequest asks for the rows under a prefix that were written after the
// revision since.
type ScanRequest struct {
	Prefix string         `json:"prefix"`
	Since  table.Revision `json:"since"`
}

// ScanResponse holds the rows by ascending version, and the table's revision.
type ScanResponse struct {
	Rows     []Row          `json:"rows"`
	Revision table.Revision `json:"revision"`
}

// Condition requires a row to have a given version; version 0 requires that
// the row is absent.
type Condition struct {
	Key     string         `json:"key"`
	Version table.Revision `json:"version"`
}

// Write sets the value of a row.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// CommitRequest is a transaction. The deletes are applied after the writes.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
	Deletes    []string    `json:"deletes"`
}

// CommitResponse holds the revision of the committed transaction.
type CommitResponse struct {
	Revision table.Revision `json:"revision"`
}

// Conflict is the body of status 409. It describes the first condition that did
// not hold.
type Conflict struct {
	Key      string         `json:"key"`
	Expected table.Revision `json:"expected"`
	Actual   table.Revision `json:"actual"`
}

// Failure is the body of any status other than 200 and 409.
type Failure struct {
	Error string `json:"error"`
}

// FromRows converts rows to their JSON form.
func FromRows(rows []table.Row) []Row {
	converted := make([]Row, 0, len(rows))
	for _, row := range rows {
		converted = append(converted, Row{Key: row.Key(), Version: row.Version(), Value: row.Value()})
	}
	return converted
}

// ToRows converts rows from their JSON form.
func ToRows(rows []Row) []table.Row {
	converted := make([]table.Row, 0, len(rows))
	for _, row := range rows {
		converted = append(converted, table.NewRow(row.Key, row.Version, row.Value))
	}
	return converted
}

// FromTransaction converts a transaction to its JSON form. Of several mutations
// of the same row, only the last is included.
func FromTransaction(transaction table.Transaction) CommitRequest {
	var request CommitRequest
	for _, condition := range transaction.Conditions() {
		request.Conditions = append(request.Conditions, Condition{Key: condition.Key(), Version: condition.Version()})
	}
	lastIndex := make(map[string]int)
	for i, mutation := range transaction.Mutations() {
		lastIndex[mutation.Key()] = i
	}
	for i, mutation := range transaction.Mutations() {
		if lastIndex[mutation.Key()] != i {
			continue
		}
		switch mutation := mutation.(type) {
		case table.Put:
			request.Writes = append(request.Writes, Write{Key: mutation.Key(), Value: mutation.Value()})
		case table.Delete:
			request.Deletes = append(request.Deletes, mutation.Key())
		}
	}
	return request
}

// ToTransaction converts a transaction from its JSON form.
func ToTransaction(request CommitRequest) table.Transaction {
	conditions := make([]table.Condition, 0, len(request.Conditions))
	for _, condition := range request.Conditions {
		conditions = append(conditions, table.NewCondition(condition.Key, condition.Version))
	}
	mutations := make([]table.Mutation, 0, len(request.Writes)+len(request.Deletes))
	for _, write := range request.Writes {
		mutations = append(mutations, table.NewPut(write.Key, write.Value))
	}
	for _, key := range request.Deletes {
		mutations = append(mutations, table.NewDelete(key))
	}
	return table.NewTransaction(conditions, mutations)
}
