package template

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"

	"briarwell.dev/core/settings"
)

// Change is the change of one field.
type Change struct {
	path   string
	before string
	after  string
}

// Path returns the field's path. Items of arrays are named, as in
// "services[bookings].routes[POST /deposit].timeoutMillis".
func (c Change) Path() string { return c.path }

// Under returns the change with prefix before its path.
func (c Change) Under(prefix string) Change {
	c.path = prefix + c.path
	return c
}

// Before returns the former value as JSON, "" if the field was absent.
func (c Change) Before() string { return c.before }

// After returns the new value as JSON, "" if the field is absent now.
func (c Change) After() string { return c.after }

// String returns "path: before -> after".
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.path, orAbsent(c.before), orAbsent(c.after))
}

func orAbsent(text string) string {
	if text == "" {
		return "(absent)"
	}
	return text
}

// Diff returns the changed fields between two JSON documents, sorted by path.
// An empty text has no fields.
func Diff(before, after []byte) []Change {
	return diffTrees(decodeTree(before), decodeTree(after))
}

// DiffCatalogs returns the changed rules of services, sorted by path.
func DiffCatalogs(before, after Catalog) []Change {
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
		tree[name] = rules.tree()
	}
	return tree
}

func (s ServiceRules) tree() map[string]any {
	routes := make([]any, 0, len(s.routes))
	for _, route := range s.routes {
		routes = append(routes, map[string]any{
			"method": route.method, "pathSuffix": route.pathSuffix, "idempotent": route.idempotent,
			"priority": route.priority.String(), "timeoutMillis": int64(route.timeout),
		})
	}
	return map[string]any{
		"keyed": s.keyed, "shards": s.shards, "fencing": string(s.fencing), "settleMillis": int64(s.settleMillis),
		"queueLimit": s.queueLimit, "routes": routes,
	}
}

// flat holds the scalars of a document by path, and the names of the items of
// each array of named objects.
type flat struct {
	scalars map[string]string
	orders  map[string][]string
}

func diffTrees(before, after any) []Change {
	old, current := flatten(before), flatten(after)
	paths := make([]string, 0, len(old.scalars)+len(current.scalars))
	for path := range old.scalars {
		paths = append(paths, path)
	}
	for path := range current.scalars {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	var changes []Change
	for _, path := range slices.Compact(paths) {
		if old.scalars[path] != current.scalars[path] {
			changes = append(changes, Change{path: path, before: old.scalars[path], after: current.scalars[path]})
		}
	}
	return append(changes, diffOrders(old.orders, current.orders)...)
}

// diffOrders reports items that are in both documents in another order, since
// routes are matched in order.
func diffOrders(old, current map[string][]string) []Change {
	var changes []Change
	for path, names := range old {
		before := keep(names, current[path])
		after := keep(current[path], names)
		if !slices.Equal(before, after) {
			changes = append(changes, Change{path: path + ".order", before: text(before), after: text(after)})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].path < changes[j].path })
	return changes
}

func keep(names, others []string) []string {
	kept := make([]string, 0, len(names))
	for _, name := range names {
		if slices.Contains(others, name) {
			kept = append(kept, name)
		}
	}
	return kept
}

func flatten(tree any) flat {
	result := flat{scalars: map[string]string{}, orders: map[string][]string{}}
	if tree != nil {
		result.add("", tree)
	}
	return result
}

func (f flat) add(path string, tree any) {
	if _, ok := referenceName(tree); ok {
		f.scalars[path] = text(tree)
		return
	}
	switch tree := tree.(type) {
	case map[string]any:
		for name, item := range tree {
			f.add(strings.TrimPrefix(path+"."+name, "."), item)
		}
	case []any:
		names := itemNames(tree)
		for i, item := range tree {
			f.add(path+"["+names[i]+"]", item)
		}
		f.orders[path] = names
	default:
		f.scalars[path] = text(tree)
	}
}

// itemNames names the items of an array: by name, by method and path suffix,
// or by index if these are not unique.
func itemNames(items []any) []string {
	names := make([]string, 0, len(items))
	for _, item := range items {
		name := itemName(item)
		if name == "" || slices.Contains(names, name) {
			return indexNames(len(items))
		}
		names = append(names, name)
	}
	return names
}

func indexNames(count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprint(i))
	}
	return names
}

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

func text(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}
