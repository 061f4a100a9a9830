package template_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"briarwell.dev/core/template"
)

type schemas struct{ template, organisation *jsonschema.Schema }

func compileSchemas(t *testing.T) schemas {
	t.Helper()
	compiler := jsonschema.NewCompiler()
	compiler.DefaultDraft(jsonschema.Draft2020)
	compiled := make([]*jsonschema.Schema, 0, 2)
	for _, name := range []string{"template", "organisation"} {
		document, err := jsonschema.UnmarshalJSON(bytes.NewReader(readExample(t, "../docs/schema/"+name+".schema")))
		is.New(t).NoErr(err)
		is.New(t).NoErr(compiler.AddResource("https://briarwell.dev/schema/"+name+".schema.json", document))
	}
	for _, name := range []string{"template", "organisation"} {
		schema, err := compiler.Compile("https://briarwell.dev/schema/" + name + ".schema.json")
		is.New(t).NoErr(err)
		compiled = append(compiled, schema)
	}
	return schemas{template: compiled[0], organisation: compiled[1]}
}

func (s schemas) validate(data []byte) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return err
	}
	if fields, ok := document.(map[string]any); ok && fields["services"] != nil {
		return s.template.Validate(document)
	}
	return s.organisation.Validate(document)
}

// mutateValue changes, adds or removes one value at a random place in the tree.
func mutateValue(t *rapid.T, tree any) any {
	scalar := rapid.SampledFrom([]any{0, -1, 5, 70_000, "epoch", "none", "GET", "", "a-1", true, false, nil, 1.5, []any{}, map[string]any{}, map[string]any{"parameter": "queueLimit"}})
	switch tree := tree.(type) {
	case map[string]any:
		names := make([]string, 0, len(tree))
		for name := range tree {
			names = append(names, name)
		}
		names = append(names, "extra", "settleMillis", "required", "default", "shards", "minimum")
		name := rapid.SampledFrom(slices.Sorted(slices.Values(names))).Draw(t, "field")
		if rapid.Bool().Draw(t, "remove") {
			delete(tree, name)
		} else if item, ok := tree[name]; ok && rapid.IntRange(0, 3).Draw(t, "descend") > 0 {
			tree[name] = mutateValue(t, item)
		} else {
			tree[name] = scalar.Draw(t, "value")
		}
		return tree
	case []any:
		if len(tree) > 0 {
			i := rapid.IntRange(0, len(tree)-1).Draw(t, "item")
			tree[i] = mutateValue(t, tree[i])
		}
		return tree
	default:
		return scalar.Draw(t, "value")
	}
}

// Guards against a published schema that differs from the parser: text editors
// would then flag valid files or accept invalid ones.
func TestSchemaAgreesWithParser(t *testing.T) {
	compiled := compileSchemas(t)
	sources := make([][]byte, 0, 4)
	for _, name := range []string{"lending-service", "onboarding", "lagos", "primeiro-dia"} {
		is.New(t).NoErr(compiled.validate(readExample(t, name)))
		sources = append(sources, readExample(t, name))
	}
	rapid.Check(t, func(t *rapid.T) {
		var tree any
		_ = json.Unmarshal(rapid.SampledFrom(sources).Draw(t, "source"), &tree)
		for range rapid.IntRange(1, 3).Draw(t, "mutations") {
			tree = mutateValue(t, tree)
		}
		data, _ := json.Marshal(tree)
		_, parseErr := template.Parse(data)
		schemaErr := compiled.validate(data)
		if parseErr == nil && schemaErr != nil {
			t.Fatalf("schema rejects a document that the parser accepts: %v\n%s", schemaErr, data)
		}
		if schemaErr == nil && parseErr != nil && !notInSchema(parseErr) {
			t.Fatalf("parser rejects a document that the schema accepts: %v\n%s", parseErr, data)
		}
	})
}

var limitErrorPattern = regexp.MustCompile(`^parameters\[\d+\]\.(default|maximum): found (-?\d+, allowed: an integer (from|up|of)|.*, allowed: one of)`)

// notInSchema reports whether each error is about a relation between values of the
// document, which a schema can't express: duplicate names, references, and limits of
// parameters.
func notInSchema(err error) bool {
	for _, line := range strings.Split(err.Error(), "\n") {
		relation := strings.Contains(line, " of an earlier ") || strings.Contains(line, "reference to") || strings.Contains(line, "parameter ")
		limits := limitErrorPattern.MatchString(line)
		if !relation && !limits {
			return false
		}
	}
	return true
}

// Guards against diffs that omit a changed field or a changed order of routes, and
// against missing warnings.
func TestDiffAndWarnings(t *testing.T) {
	is := is.New(t)
	before := templateWithServices(`{"name": "a", "keyed": false, "routes": [{"method": "GET", "idempotent": true}, {"pathSuffix": "/x", "idempotent": false}]}`)
	after := templateWithServices(`{"name": "b", "keyed": true, "shards": 4, "fencing": "none", "settleMillis": 9, "routes": [{"idempotent": false, "timeoutMillis": {"parameter": "n"}}]},
		{"name": "a", "keyed": false, "queueLimit": 5, "routes": [{"pathSuffix": "/x", "idempotent": false}, {"method": "GET", "idempotent": true, "priority": "low"}, {"method": "POST", "pathSuffix": "/y/x", "idempotent": true}]}`)
	catalog := func(text string) template.Catalog {
		parsed, err := template.ParseTemplate([]byte(text))
		is.NoErr(err)
		organisation, err := template.ParseOrganisation([]byte(`{"name": "o", "kind": "k", "parameters": {"s": ""}}`))
		is.NoErr(err)
		rendered, err := template.RenderCatalog(1, []template.Template{parsed}, []template.Organisation{organisation})
		is.NoErr(err)
		return rendered
	}
	var output strings.Builder
	for _, change := range template.DiffDocuments([]byte(before), []byte(after)) {
		fmt.Fprintln(&output, change)
	}
	fmt.Fprintln(&output, "\neffect:")
	for _, change := range template.DiffCatalogs(catalog(before), catalog(after)) {
		fmt.Fprintln(&output, change)
	}
	goldie.New(t).Assert(t, "diff", []byte(output.String()))
	is.Equal(len(template.DiffDocuments([]byte(after), []byte(after))), 0)
	rules, _ := catalog(after).Service("o/a")
	keyed, _ := catalog(after).Service("o/b")
	output.Reset()
	for _, warning := range template.Warnings([]template.ServiceRules{rules, keyed}) {
		fmt.Fprintln(&output, warning)
	}
	goldie.New(t).Assert(t, "warnings", []byte(output.String()))
}
