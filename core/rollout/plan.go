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

// Edit is a set of documents to be stored in one transaction.
type Edit struct {
	id              string
	author          string
	expectedVersion uint64
	unixMillis      int64
	documents       []template.Document
}

// NewEdit returns an edit by author that is based on the version expect. The id
// must be unique: it tells the edit from others after a lost response.
func NewEdit(id, author string, expect uint64, unixMillis int64, documents ...template.Document) Edit {
	return Edit{id: id, author: author, expectedVersion: expect, unixMillis: unixMillis, documents: documents}
}

// Plan is what an edit changes in the stored configuration.
type Plan struct {
	info            VersionInfo
	stored          snapshot
	edited          snapshot
	documentChanges []documentChange
	fieldChanges    []template.FieldChange
	catalog         template.Catalog
	ruleChanges     []template.FieldChange
}

// documentChange is the change of one row.
type documentChange struct {
	key    string
	before []byte
	after  []byte
}

// Version returns the version that the edit makes, or the stored version if it
// changes nothing.
func (p Plan) Version() uint64 { return p.info.version }

// IsEmpty tells whether the edit changes no field.
func (p Plan) IsEmpty() bool { return len(p.documentChanges) == 0 }

// FieldChanges returns the changed fields of documents. Their paths start with the
// key of the row and a colon.
func (p Plan) FieldChanges() []template.FieldChange { return p.fieldChanges }

// RuleChanges returns the changed rules of services.
func (p Plan) RuleChanges() []template.FieldChange { return p.ruleChanges }

// Catalog returns the rules after the edit.
func (p Plan) Catalog() template.Catalog { return p.catalog }

// NewPlan checks an edit against the configuration rows. The error joins all of
// *ConflictError, *ShardsError, *DuplicateError and *template.RenderError that
// apply, or is a *RowError.
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
	// The stored rows may be the ones that can't be rendered; then the effect
	// is shown against no services.
	former, _ := stored.render(stored.head.version)
	plan.ruleChanges = template.DiffCatalogs(former, plan.catalog)
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

// checkConflicts reports rows newer than the edit expects: those that it writes,
// the template that an organisation uses, and the organisations of a template,
// since the operator has not seen the combination.
func (s snapshot) checkConflicts(edit Edit) error {
	if edit.expectedVersion > s.head.version {
		return NewConflictError(KeyHead, edit.expectedVersion, s.head.version, s.head.author)
	}
	var errs []error
	for _, item := range s.documentRows {
		if item.info.version > edit.expectedVersion && edit.dependsOn(item) {
			errs = append(errs, NewConflictError(item.row.Key(), edit.expectedVersion, item.info.version, item.info.author))
		}
	}
	return errors.Join(errs...)
}

func (e Edit) dependsOn(item documentRow) bool {
	_, itemIsTemplate := item.document.(template.Template)
	for _, document := range e.documents {
		if documentKey(document) == item.row.Key() {
			return true
		}
		_, isTemplate := document.(template.Template)
		if isTemplate != itemIsTemplate && documentKind(document) == documentKind(item.document) {
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

// applyEdit puts the documents of the edit in the place of the stored ones.
func (p *Plan) applyEdit(edit Edit) {
	for _, document := range edit.documents {
		key := documentKey(document)
		stored, found := p.edited.findDocument(key)
		changes := template.DiffDocuments(stored.source(), document.Source())
		if len(changes) == 0 {
			continue
		}
		for _, field := range changes {
			p.fieldChanges = append(p.fieldChanges, field.WithPathPrefix(strings.TrimPrefix(key, Prefix)+": "))
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
	for _, item := range s.documentRows {
		if item.row.Key() == key {
			return item, true
		}
	}
	return documentRow{}, false
}

func (e documentRow) source() []byte {
	if e.document == nil {
		return nil
	}
	return e.document.Source()
}

// recordShardCounts checks the number of shards of each service against the first
// one that was stored, and records those of new services.
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
		before, known := p.stored.shardCounts[name]
		if known && before != rules.Shards() {
			errs = append(errs, NewShardCountError(name, before, rules.Shards()))
		}
		if rules.IsKeyed() {
			p.edited.shardCounts[name] = rules.Shards()
		}
	}
	return errors.Join(errs...)
}

// transaction stores the plan and its history row. It is conditional on the
// head, which every edit writes, and on the rows that it changes.
func (p Plan) transaction(history []byte) (table.Transaction, error) {
	for _, changed := range p.documentChanges {
		p.edited.documentVersions[changed.key] = p.info.version
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
	for _, changed := range p.documentChanges {
		body, err := json.Marshal(documentJSON{versionInfoJSON: p.info.encode(), Body: changed.after})
		if err != nil {
			return table.Transaction{}, NewRowError(changed.key, err)
		}
		stored, _ := p.stored.findDocument(changed.key)
		conditions = append(conditions, table.NewCondition(changed.key, stored.row.Version()))
		mutations = append(mutations, table.NewPut(changed.key, body))
	}
	return table.NewTransaction(conditions, mutations), nil
}
