package template

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"

	"briarwell.dev/core/settings"
)

// FieldChange is the change of one field of a document or of a rule of a service.
type FieldChange struct {
	path   string
	before string
	after  string
}

// Path returns the field's path. Array items are identified by name, as in
// "services[bookings].routes[POST /deposit].timeoutMillis".
func (c FieldChange) Path() string { return c.path }

// WithPathPrefix returns the change with prefix prepended to its path.
func (c FieldChange) WithPathPrefix(prefix string) FieldChange {
	c.path = prefix + c.path
	return c
}

// Before returns the previous value as JSON, "" if the field was absent.
func (c FieldChange) Before() string { return c.before }

// After returns the new value as JSON, "" if the field was removed.
func (c FieldChange) After() string { return c.after }

// String returns "path: before -> after".
func (c FieldChange) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.path, valueOrAbsent(c.before), valueOrAbsent(c.after))
}

func valueOrAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}

// DiffDocuments returns the fields that differ between two JSON documents, sorted
// by path, then the arrays whose items changed order. An empty document has no
// fields.
func DiffDocuments(before, after []byte) []FieldChange {
	return diffTrees(decodeTree(before), decodeTree(after))
}

// DiffCatalogs returns the service rules that differ between two catalogs, sorted
// by path, then the services whose routes changed order. The paths start with
// "organisation/service".
func DiffCatalogs(before, after Catalog) []FieldChange {
	return diffTrees(catalogTree(before), catalogTree(after))
}

func decodeTree(data []byte) any {
	if len(data) == 0 {
		return nil
	}
	return settings.ParseDocument(data, &settings.ErrorCollector{}).Raw()
}

func catalogTree(catalog Catalog) any {
	tree := make(map[string]any, len(catalog.services))
	for name, rules := range catalog.services {
		tree[name] = rules.toTree()
	}
	return tree
}

func (s ServiceRules) toTree() map[string]any {
	routes := make([]any, 0, len(s.routes))
	for _, route := range s.routes {
		routes = append(routes, map[string]any{
			"method": route.method, "pathSuffix": route.pathSuffix, "idempotent": route.idempotent,
			"priority": route.priority.String(), "timeoutMillis": int64(route.timeout),
		})
	}
	return map[string]any{
		"keyed": s.keyed, "shards": s.shards, "fencing": string(s.fencing), "settleMillis": int64(s.settleTime),
		"queueLimit": s.queueLimit, "routes": routes,
	}
}

// flatDocument holds the scalars of a document, and the names of the items of each
// array in order, by path.
type flatDocument struct {
	scalarsByPath   map[string]string
	itemNamesByPath map[string][]string
}

func diffTrees(before, after any) []FieldChange {
	oldDocument, newDocument := flatten(before), flatten(after)
	paths := make([]string, 0, len(oldDocument.scalarsByPath)+len(newDocument.scalarsByPath))
	for path := range oldDocument.scalarsByPath {
		paths = append(paths, path)
	}
	for path := range newDocument.scalarsByPath {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	var changes []FieldChange
	for _, path := range slices.Compact(paths) {
		if oldDocument.scalarsByPath[path] != newDocument.scalarsByPath[path] {
			changes = append(changes, FieldChange{path: path, before: oldDocument.scalarsByPath[path], after: newDocument.scalarsByPath[path]})
		}
	}
	return append(changes, diffItemOrder(oldDocument.itemNamesByPath, newDocument.itemNamesByPath)...)
}

// diffItemOrder returns the arrays whose common items have another order in the
// new document. The order of routes matters, since the first match applies.
func diffItemOrder(oldNames, newNames map[string][]string) []FieldChange {
	var changes []FieldChange
	for path, names := range oldNames {
		before := intersectNames(names, newNames[path])
		after := intersectNames(newNames[path], names)
		if !slices.Equal(before, after) {
			changes = append(changes, FieldChange{path: path + ".order", before: formatJSON(before), after: formatJSON(after)})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].path < changes[j].path })
	return changes
}

// intersectNames returns the names that are also in others, in the order of names.
func intersectNames(names, others []string) []string {
	common := make([]string, 0, len(names))
	for _, name := range names {
		if slices.Contains(others, name) {
			common = append(common, name)
		}
	}
	return common
}

func flatten(tree any) flatDocument {
	result := flatDocument{scalarsByPath: map[string]string{}, itemNamesByPath: map[string][]string{}}
	if tree != nil {
		result.addValue("", tree)
	}
	return result
}

func (f flatDocument) addValue(path string, tree any) {
	if _, ok := referenceName(tree); ok {
		f.scalarsByPath[path] = formatJSON(tree)
		return
	}
	switch tree := tree.(type) {
	case map[string]any:
		for name, item := range tree {
			f.addValue(strings.TrimPrefix(path+"."+name, "."), item)
		}
	case []any:
		names := itemNames(tree)
		for i, item := range tree {
			f.addValue(path+"["+names[i]+"]", item)
		}
		f.itemNamesByPath[path] = names
	default:
		f.scalarsByPath[path] = formatJSON(tree)
	}
}

// itemNames returns a name for each item of an array: its name, its method and path
// suffix, or the index of each item if these are missing or not unique.
func itemNames(items []any) []string {
	names := make([]string, 0, len(items))
	for _, item := range items {
		name := itemName(item)
		if name == "" || slices.Contains(names, name) {
			return itemIndexes(len(items))
		}
		names = append(names, name)
	}
	return names
}

func itemIndexes(count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprint(i))
	}
	return names
}

// itemName returns the name of an object, or the method and path suffix of a route,
// which is recognised by its field "idempotent". It returns "" for other items.
func itemName(item any) string {
	fields, ok := item.(map[string]any)
	if !ok {
		return ""
	}
	if name, ok := fields["name"].(string); ok {
		return name
	}
	if _, ok := fields["idempotent"]; !ok {
		return ""
	}
	method, _ := fields["method"].(string)
	suffix, _ := fields["pathSuffix"].(string)
	return routeName(method, suffix)
}

func routeName(method, suffix string) string {
	if method == "" {
		method = "any"
	}
	return strings.TrimSuffix(method+" "+suffix, " ")
}

func formatJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}
