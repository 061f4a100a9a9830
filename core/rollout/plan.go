package rollout

import (
	"encoding/json"
	"errors"
	"maps"
	"sort"
	"strings"

	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

// Edit is a set of documents to store in one transaction.
type Edit struct {
	id              string
	author          string
	expectedVersion uint64
	unixMillis      int64
	documents       []template.Document
}

// NewEdit returns an edit by author that is based on expectedVersion. The id must be
// unique: it identifies the edit in the history after a lost response.
func NewEdit(id, author string, expectedVersion uint64, unixMillis int64, documents ...template.Document) Edit {
	return Edit{id: id, author: author, expectedVersion: expectedVersion, unixMillis: unixMillis, documents: documents}
}

// Plan holds the changes that an edit makes to the stored configuration.
type Plan struct {
	info            VersionInfo
	stored          snapshot
	edited          snapshot
	documentChanges []documentChange
	fieldChanges    []template.FieldChange
	catalog         template.Catalog
	ruleChanges     []template.FieldChange
}

// documentChange is the change of the document in one row.
type documentChange struct {
	key    string
	before []byte
	after  []byte
}

// Version returns the version that the edit creates, or the stored version if the
// edit changes nothing.
func (p Plan) Version() uint64 { return p.info.version }

// IsEmpty reports whether the edit changes no field.
func (p Plan) IsEmpty() bool { return len(p.documentChanges) == 0 }

// FieldChanges returns the changed fields of documents. Their paths start with the
// key of the row, without Prefix, and a colon.
func (p Plan) FieldChanges() []template.FieldChange { return p.fieldChanges }

// RuleChanges returns the changed rules of services.
func (p Plan) RuleChanges() []template.FieldChange { return p.ruleChanges }

// Catalog returns the rules after the edit.
func (p Plan) Catalog() template.Catalog { return p.catalog }

// NewPlan validates an edit against the configuration rows. It returns a *RowError,
// a *template.RenderError, all errors of the types *DuplicateDocumentError and
// *ConflictError joined, or all of the type *ShardCountError joined.
func NewPlan(rows []table.Row, edit Edit) (Plan, error) {
	stored, err := decodeRows(rows)
	if err != nil {
		return Plan{}, err
	}
	if err := errors.Join(checkDuplicates(edit.documents), stored.checkConflicts(edit)); err != nil {
		return Plan{}, err
	}
	plan := Plan{info: stored.head, stored: stored, edited: stored.clone()}
	plan.applyEdit(edit)
	if !plan.IsEmpty() {
		plan.info = VersionInfo{version: stored.head.version + 1, author: edit.author, unixMillis: edit.unixMillis, editID: edit.id}
	}
	if plan.catalog, err = plan.edited.render(plan.info.version); err != nil {
		return Plan{}, err
	}
	if err := plan.recordShardCounts(); err != nil {
		return Plan{}, err
	}
	// If the stored rows can't be rendered, all rules count as changed.
	previous, _ := stored.render(stored.head.version)
	plan.ruleChanges = template.DiffCatalogs(previous, plan.catalog)
	return plan, nil
}

func checkDuplicates(documents []template.Document) error {
	seen := make(map[string]bool, len(documents))
	var errs []error
	for _, document := range documents {
		key := documentKey(document)
		if seen[key] {
			errs = append(errs, NewDuplicateDocumentError(key))
		}
		seen[key] = true
	}
	return errors.Join(errs...)
}

// checkConflicts reports rows that changed after the version on which the edit is
// based: those that it writes, the template of an organisation that it writes, and
// the organisations of a template that it writes. The operator has not seen these
// combined with the edit.
func (s snapshot) checkConflicts(edit Edit) error {
	if edit.expectedVersion > s.head.version {
		return NewConflictError(KeyHead, edit.expectedVersion, s.head.version, s.head.author)
	}
	var errs []error
	for _, stored := range s.documentRows {
		if stored.info.version > edit.expectedVersion && edit.dependsOn(stored) {
			errs = append(errs, NewConflictError(stored.row.Key(), edit.expectedVersion, stored.info.version, stored.info.author))
		}
	}
	return errors.Join(errs...)
}

// dependsOn reports whether the edit writes the row, the template of the organisation
// in the row, or an organisation of the template in the row.
func (e Edit) dependsOn(stored documentRow) bool {
	_, storedIsTemplate := stored.document.(template.Template)
	for _, document := range e.documents {
		if documentKey(document) == stored.row.Key() {
			return true
		}
		_, isTemplate := document.(template.Template)
		if isTemplate != storedIsTemplate && documentKind(document) == documentKind(stored.document) {
			return true
		}
	}
	return false
}

func (s snapshot) clone() snapshot {
	s.documentRows = append([]documentRow(nil), s.documentRows...)
	s.shardCounts, s.documentVersions = maps.Clone(s.shardCounts), maps.Clone(s.documentVersions)
	return s
}

// applyEdit replaces stored documents by those of the edit and records the changes.
func (p *Plan) applyEdit(edit Edit) {
	for _, document := range edit.documents {
		key := documentKey(document)
		stored, found := p.edited.findDocument(key)
		changes := template.DiffDocuments(stored.source(), document.Source())
		if len(changes) == 0 {
			continue
		}
		for _, change := range changes {
			p.fieldChanges = append(p.fieldChanges, change.WithPathPrefix(strings.TrimPrefix(key, Prefix)+": "))
		}
		p.documentChanges = append(p.documentChanges, documentChange{key: key, before: stored.source(), after: document.Source()})
		edited := documentRow{row: table.NewRow(key, stored.row.Version(), nil), document: document}
		if !found {
			p.edited.documentRows = append(p.edited.documentRows, edited)
			continue
		}
		for i := range p.edited.documentRows {
			if p.edited.documentRows[i].row.Key() == key {
				p.edited.documentRows[i] = edited
			}
		}
	}
}

func (s snapshot) findDocument(key string) (documentRow, bool) {
	for _, stored := range s.documentRows {
		if stored.row.Key() == key {
			return stored, true
		}
	}
	return documentRow{}, false
}

func (d documentRow) source() []byte {
	if d.document == nil {
		return nil
	}
	return d.document.Source()
}

// recordShardCounts compares the number of shards of each service with the recorded
// one, and records those of new services.
func (p *Plan) recordShardCounts() error {
	var errs []error
	services := p.catalog.Services()
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		rules := services[name]
		before, recorded := p.stored.shardCounts[name]
		if recorded && before != rules.Shards() {
			errs = append(errs, NewShardCountError(name, before, rules.Shards()))
		}
		if rules.IsKeyed() {
			p.edited.shardCounts[name] = rules.Shards()
		}
	}
	return errors.Join(errs...)
}

// transaction returns the transaction that writes the changed documents, the head
// row and the history row with the value history. It is conditional on the head,
// which every edit writes, and on the rows that it changes.
func (p Plan) transaction(history []byte) (table.Transaction, error) {
	for _, change := range p.documentChanges {
		p.edited.documentVersions[change.key] = p.info.version
	}
	head, err := json.Marshal(headJSON{versionInfoJSON: p.info.encode(), DocumentVersions: p.edited.documentVersions, ShardCounts: p.edited.shardCounts})
	if err != nil {
		return table.Transaction{}, NewRowError(KeyHead, err)
	}
	historyKey := HistoryKey(p.info.version)
	conditions := []table.Condition{
		table.NewCondition(KeyHead, p.stored.headRow.Version()),
		table.NewCondition(historyKey, 0),
	}
	mutations := []table.Mutation{table.NewPut(KeyHead, head), table.NewPut(historyKey, history)}
	for _, change := range p.documentChanges {
		body, err := json.Marshal(documentJSON{versionInfoJSON: p.info.encode(), Body: change.after})
		if err != nil {
			return table.Transaction{}, NewRowError(change.key, err)
		}
		stored, _ := p.stored.findDocument(change.key)
		conditions = append(conditions, table.NewCondition(change.key, stored.row.Version()))
		mutations = append(mutations, table.NewPut(change.key, body))
	}
	return table.NewTransaction(conditions, mutations), nil
}
