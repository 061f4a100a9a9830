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
	id         string
	author     string
	expect     uint64
	unixMillis int64
	documents  []template.Document
}

// NewEdit returns an edit by author that is based on the version expect. The id
// must be unique: it tells the edit from others after a lost response.
func NewEdit(id, author string, expect uint64, unixMillis int64, documents ...template.Document) Edit {
	return Edit{id: id, author: author, expect: expect, unixMillis: unixMillis, documents: documents}
}

// Plan is what an edit changes in the stored configuration.
type Plan struct {
	stamp    Stamp
	stored   snapshot
	edited   snapshot
	changed  []change
	fields   []template.Change
	rendered template.Catalog
	effect   []template.Change
}

// change is the change of one row.
type change struct {
	key    string
	before []byte
	after  []byte
}

// Version returns the version that the edit makes, or the stored version if it
// changes nothing.
func (p Plan) Version() uint64 { return p.stamp.version }

// Empty tells whether the edit changes no field.
func (p Plan) Empty() bool { return len(p.changed) == 0 }

// Fields returns the changed fields of documents. Their paths start with the
// key of the row and a colon.
func (p Plan) Fields() []template.Change { return p.fields }

// Effect returns the changed rules of services.
func (p Plan) Effect() []template.Change { return p.effect }

// Catalog returns the rules after the edit.
func (p Plan) Catalog() template.Catalog { return p.rendered }

// NewPlan checks an edit against the configuration rows. The error joins all of
// *ConflictError, *ShardsError, *DuplicateError and *template.RenderError that
// apply, or is a *RowError.
func NewPlan(rows []table.Row, edit Edit) (Plan, error) {
	stored, err := decodeRows(rows)
	if err != nil {
		return Plan{}, err
	}
	if err := errors.Join(findDuplicates(edit.documents), stored.findConflicts(edit)); err != nil {
		return Plan{}, err
	}
	plan := Plan{stamp: stored.head, stored: stored, edited: stored.copy()}
	plan.merge(edit)
	if !plan.Empty() {
		plan.stamp = Stamp{version: stored.head.version + 1, author: edit.author, unixMillis: edit.unixMillis, edit: edit.id}
	}
	if plan.rendered, err = plan.edited.render(plan.stamp.version); err != nil {
		return Plan{}, err
	}
	if err := plan.recordShards(); err != nil {
		return Plan{}, err
	}
	// The stored rows may be the ones that can't be rendered; then the effect
	// is shown against no services.
	former, _ := stored.render(stored.head.version)
	plan.effect = template.DiffCatalogs(former, plan.rendered)
	return plan, nil
}

func findDuplicates(documents []template.Document) error {
	seen := make(map[string]bool, len(documents))
	var errs []error
	for _, document := range documents {
		key := documentKey(document)
		if seen[key] {
			errs = append(errs, NewDuplicateError(key))
		}
		seen[key] = true
	}
	return errors.Join(errs...)
}

// findConflicts reports rows newer than the edit expects: those that it writes,
// the template that an organisation uses, and the organisations of a template,
// since the operator has not seen the combination.
func (s snapshot) findConflicts(edit Edit) error {
	if edit.expect > s.head.version {
		return NewConflictError(KeyHead, edit.expect, s.head.version, s.head.author)
	}
	var errs []error
	for _, item := range s.entries {
		if item.stamp.version > edit.expect && edit.concerns(item) {
			errs = append(errs, NewConflictError(item.row.Key(), edit.expect, item.stamp.version, item.stamp.author))
		}
	}
	return errors.Join(errs...)
}

func (e Edit) concerns(item entry) bool {
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

func (s snapshot) copy() snapshot {
	s.entries = append([]entry(nil), s.entries...)
	s.shards, s.documents = maps.Clone(s.shards), maps.Clone(s.documents)
	return s
}

// merge puts the documents of the edit in the place of the stored ones.
func (p *Plan) merge(edit Edit) {
	for _, document := range edit.documents {
		key := documentKey(document)
		stored, found := p.edited.find(key)
		changes := template.Diff(stored.source(), document.Source())
		if len(changes) == 0 {
			continue
		}
		for _, field := range changes {
			p.fields = append(p.fields, field.Under(strings.TrimPrefix(key, Prefix)+": "))
		}
		p.changed = append(p.changed, change{key: key, before: stored.source(), after: document.Source()})
		edited := entry{row: table.NewRow(key, stored.row.Version(), nil), document: document}
		if !found {
			p.edited.entries = append(p.edited.entries, edited)
			continue
		}
		for i := range p.edited.entries {
			if p.edited.entries[i].row.Key() == key {
				p.edited.entries[i] = edited
			}
		}
	}
}

func (s snapshot) find(key string) (entry, bool) {
	for _, item := range s.entries {
		if item.row.Key() == key {
			return item, true
		}
	}
	return entry{}, false
}

func (e entry) source() []byte {
	if e.document == nil {
		return nil
	}
	return e.document.Source()
}

// recordShards checks the number of shards of each service against the first
// one that was stored, and records those of new services.
func (p *Plan) recordShards() error {
	var errs []error
	services := p.rendered.Services()
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		rules := services[name]
		before, known := p.stored.shards[name]
		if known && before != rules.Shards() {
			errs = append(errs, NewShardsError(name, before, rules.Shards()))
		}
		if rules.IsKeyed() {
			p.edited.shards[name] = rules.Shards()
		}
	}
	return errors.Join(errs...)
}

// transaction stores the plan and its history row. It is conditional on the
// head, which every edit writes, and on the rows that it changes.
func (p Plan) transaction(history []byte) (table.Transaction, error) {
	for _, changed := range p.changed {
		p.edited.documents[changed.key] = p.stamp.version
	}
	head, err := json.Marshal(headJSON{stampJSON: p.stamp.encode(), Documents: p.edited.documents, Shards: p.edited.shards})
	if err != nil {
		return table.Transaction{}, NewRowError(KeyHead, err)
	}
	historyKey := HistoryKey(p.stamp.version)
	conditions := []table.Condition{
		table.NewCondition(KeyHead, p.stored.headRow.Version()),
		table.NewCondition(historyKey, 0),
	}
	mutations := []table.Mutation{table.NewPut(KeyHead, head), table.NewPut(historyKey, history)}
	for _, changed := range p.changed {
		body, err := json.Marshal(bodyJSON{stampJSON: p.stamp.encode(), Body: changed.after})
		if err != nil {
			return table.Transaction{}, NewRowError(changed.key, err)
		}
		stored, _ := p.stored.find(changed.key)
		conditions = append(conditions, table.NewCondition(changed.key, stored.row.Version()))
		mutations = append(mutations, table.NewPut(changed.key, body))
	}
	return table.NewTransaction(conditions, mutations), nil
}
