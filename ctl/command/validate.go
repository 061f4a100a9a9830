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

// runValidate validates the files without the platform: it renders each
// organisation with the template of its kind.
func runValidate(_ context.Context, inv *invocation) error {
	documents, err := readFiles(inv.files)
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
	if inv.jsonOutput {
		return inv.printJSON(result)
	}
	for _, title := range result.Documents {
		inv.printf("%s is valid\n", title)
	}
	inv.printWarnings(result.Warnings)
	return nil
}

// renderDocuments returns the catalog of all organisations in the documents, and
// the joined errors of those that can't be rendered.
func renderDocuments(documents []template.Document) (template.Catalog, error) {
	var templates []template.Template
	var organisations []template.Organisation
	seenTitles := map[string]bool{}
	for _, document := range documents {
		if title := documentTitle(document); seenTitles[title] {
			return template.Catalog{}, newInputError("%s: found in two files, allowed: one file", title)
		}
		seenTitles[documentTitle(document)] = true
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

// catalogWarnings returns the warnings for all services, sorted by service name.
func catalogWarnings(catalog template.Catalog) []warningJSON {
	names := make([]string, 0, len(catalog.Services()))
	for name := range catalog.Services() {
		names = append(names, name)
	}
	sort.Strings(names)
	warnings := make([]warningJSON, 0, len(names))
	for _, name := range names {
		rules, _ := catalog.Service(name)
		organisation := name[:len(name)-len(rules.Name())-1]
		for _, warning := range template.Warnings([]template.ServiceRules{rules}) {
			warnings = append(warnings, warningJSON{Organisation: organisation, Path: warning.Path(), Message: warning.Message()})
		}
	}
	return warnings
}

func (inv *invocation) printWarnings(warnings []warningJSON) {
	for _, warning := range warnings {
		inv.printf("warning: %s: %s: %s\n", warning.Organisation, warning.Path, warning.Message)
	}
}

func changesJSON(changes []template.FieldChange) []changeJSON {
	result := make([]changeJSON, 0, len(changes))
	for _, change := range changes {
		result = append(result, changeJSON{Path: change.Path(), Before: change.Before(), After: change.After()})
	}
	return result
}

// printChanges prints a line for each changed field. The fields of a new document
// or service are summarised in one line.
func (inv *invocation) printChanges(title string, changes []template.FieldChange) {
	if len(changes) == 0 {
		return
	}
	inv.printf("%s:\n", title)
	for _, line := range summariseChanges(changesJSON(changes)) {
		inv.printf("  %s\n", line)
	}
}

// summariseChanges returns the output lines for the changes. A document is new if
// its kind was absent before the change, a service if its field keyed was.
func summariseChanges(changes []changeJSON) []string {
	fieldCounts := map[string]int{}
	for _, change := range changes {
		root, field := change.splitPath()
		if change.Before == "" && (field == "kind" || field == "keyed") {
			fieldCounts[root] = 0
		}
	}
	for _, change := range changes {
		if root, _ := change.splitPath(); hasKey(fieldCounts, root) {
			fieldCounts[root]++
		}
	}
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		root, _ := change.splitPath()
		count, isNew := fieldCounts[root]
		switch {
		case !isNew:
			lines = append(lines, change.String())
		case count > 0:
			lines = append(lines, fmt.Sprintf("%s: new, %d fields", root, count))
			fieldCounts[root] = 0
		}
	}
	return lines
}

func hasKey(counts map[string]int, key string) bool {
	_, ok := counts[key]
	return ok
}

// splitPath splits the path into the document or service, and the field.
func (c changeJSON) splitPath() (root, field string) {
	if root, field, ok := strings.Cut(c.Path, ": "); ok {
		return root, field
	}
	root, field, _ = strings.Cut(c.Path, ".")
	return root, field
}

// String returns "path: before -> after", with (absent) for an empty value.
func (c changeJSON) String() string {
	before, after := c.Before, c.After
	if before == "" {
		before = "(absent)"
	}
	if after == "" {
		after = "(absent)"
	}
	return c.Path + ": " + before + " -> " + after
}

func (inv *invocation) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(inv.stdout, format, args...)
}
