package command

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"

	"briarwell.dev/core/template"
)

type changeJSON struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

type warningJSON struct {
	Organisation string `json:"organisation"`
	Path         string `json:"path"`
	Message      string `json:"message"`
}

type validateJSON struct {
	Documents []string      `json:"documents"`
	Warnings  []warningJSON `json:"warnings"`
}

// runValidate checks the files against each other: every organisation is
// rendered with the template of its kind.
func runValidate(_ context.Context, c *invocation) error {
	documents, err := readFiles(c.files)
	if err != nil {
		return err
	}
	catalog, err := renderDocuments(documents)
	if err != nil {
		return err
	}
	result := validateJSON{Documents: make([]string, 0, len(documents)), Warnings: catalogWarnings(catalog)}
	for _, document := range documents {
		result.Documents = append(result.Documents, documentTitle(document))
	}
	if c.jsonOutput {
		return c.printJSON(result)
	}
	for _, title := range result.Documents {
		c.printf("%s is valid\n", title)
	}
	c.printWarnings(result.Warnings)
	return nil
}

func renderDocuments(documents []template.Document) (template.Catalog, error) {
	var templates []template.Template
	var organisations []template.Organisation
	seen := map[string]bool{}
	for _, document := range documents {
		if title := documentTitle(document); seen[title] {
			return template.Catalog{}, newInputError("%s: found in two files, allowed: one", title)
		}
		seen[documentTitle(document)] = true
		switch document := document.(type) {
		case template.Template:
			templates = append(templates, document)
		case template.Organisation:
			organisations = append(organisations, document)
		}
	}
	services := map[string]template.ServiceRules{}
	var errs []error
	for _, organisation := range organisations {
		catalog, err := template.RenderCatalog(0, templates, []template.Organisation{organisation})
		errs = append(errs, err)
		for name, rules := range catalog.Services() {
			services[name] = rules
		}
	}
	return template.NewCatalog(0, services), errors.Join(errs...)
}

// catalogWarnings returns the warnings for all services, by name.
func catalogWarnings(catalog template.Catalog) []warningJSON {
	names := make([]string, 0, len(catalog.Services()))
	for name := range catalog.Services() {
		names = append(names, name)
	}
	sort.Strings(names)
	found := make([]warningJSON, 0, len(names))
	for _, name := range names {
		rules, _ := catalog.Service(name)
		organisation := name[:len(name)-len(rules.Name())-1]
		for _, warning := range template.Warnings([]template.ServiceRules{rules}) {
			found = append(found, warningJSON{Organisation: organisation, Path: warning.Path(), Message: warning.Message()})
		}
	}
	return found
}

func (c *invocation) printWarnings(found []warningJSON) {
	for _, warning := range found {
		c.printf("warning: %s: %s: %s\n", warning.Organisation, warning.Path, warning.Message)
	}
}

func changesJSON(changes []template.FieldChange) []changeJSON {
	result := make([]changeJSON, 0, len(changes))
	for _, change := range changes {
		result = append(result, changeJSON{Path: change.Path(), Before: change.Before(), After: change.After()})
	}
	return result
}

// printChanges prints one line for each changed field, and one for each new
// document or service.
func (c *invocation) printChanges(title string, changes []template.FieldChange) {
	if len(changes) == 0 {
		return
	}
	c.printf("%s:\n", title)
	for _, line := range summariseChanges(changesJSON(changes)) {
		c.printf("  %s\n", line)
	}
}

// summariseChanges returns the lines for changes. A document is new if its kind is,
// and a service is new if its rule about keys is.
func summariseChanges(changes []changeJSON) []string {
	created := map[string]int{}
	for _, change := range changes {
		root, field := change.splitPath()
		if change.Before == "" && (field == "kind" || field == "keyed") {
			created[root] = 0
		}
	}
	for _, change := range changes {
		if root, _ := change.splitPath(); hasKey(created, root) {
			created[root]++
		}
	}
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		root, _ := change.splitPath()
		count, isNew := created[root]
		switch {
		case !isNew:
			lines = append(lines, change.String())
		case count > 0:
			lines = append(lines, fmt.Sprintf("%s: new, %d fields", root, count))
			created[root] = 0
		}
	}
	return lines
}

func hasKey(counts map[string]int, key string) bool {
	_, ok := counts[key]
	return ok
}

// splitPath splits the path into the document or service and the field.
func (f changeJSON) splitPath() (root, field string) {
	if root, field, ok := strings.Cut(f.Path, ": "); ok {
		return root, field
	}
	root, field, _ = strings.Cut(f.Path, ".")
	return root, field
}

// String returns "path: before -> after".
func (f changeJSON) String() string {
	before, after := f.Before, f.After
	if before == "" {
		before = "(absent)"
	}
	if after == "" {
		after = "(absent)"
	}
	return f.Path + ": " + before + " -> " + after
}

func (c *invocation) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.stdout, format, arguments...)
}
