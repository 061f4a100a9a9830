// Package settings reads JSON documents strictly: unknown and duplicate fields
// are errors, and all errors of a document are reported at once with the path
// of the field, what was found and what is allowed.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Kind is a kind of JSON value.
type Kind string

// Kinds of scalar values.
const (
	KindText    Kind = "string"
	KindInteger Kind = "integer"
	KindBoolean Kind = "boolean"
)

// Replacement stands in a document for a value that a Resolver replaced.
type Replacement struct {
	kind   Kind
	value  any
	source string
}

// NewReplacement returns a replacement by value, a string, an int64, a bool, or
// nil if it is known only later. The kind is that of the value, "" if the
// resolver has reported an error. source says in errors where the value is from.
func NewReplacement(kind Kind, value any, source string) Replacement {
	return Replacement{kind: kind, value: value, source: source}
}

// Resolver may replace a value before it is read. It returns false to keep the
// value. It reports errors of its own to the collector.
type Resolver func(value Value, collector *ErrorCollector) (Replacement, bool)

type document struct {
	collector *ErrorCollector
	resolve   Resolver
}

// Value is a value of a document at a path.
type Value struct {
	document *document
	path     string
	raw      any
	present  bool
	required bool
}

// ParseDocument decodes a document. Errors of reading, also the later ones, are added
// to the collector.
func ParseDocument(data []byte, collector *ErrorCollector) Value {
	raw, ok := decodeDocument(data, collector)
	root := Value{document: &document{collector: collector}, required: true}
	return root.resolved("", raw, ok)
}

// EmptyObject returns an object without fields at path, in place of an absent one.
func EmptyObject(path string, collector *ErrorCollector) Value {
	return Value{document: &document{collector: collector}}.resolved(path, map[string]any{}, true)
}

// Resolve returns v such that resolver may replace it and the values in it.
func (v Value) Resolve(resolver Resolver) Value {
	v.document = &document{collector: v.document.collector, resolve: resolver}
	return v.resolved(v.path, v.raw, v.present)
}

func (v Value) resolved(path string, raw any, present bool) Value {
	v.path, v.raw, v.present = path, raw, present
	if !present || v.document.resolve == nil {
		return v
	}
	if replacement, ok := v.document.resolve(v, v.document.collector); ok {
		v.raw = replacement
	}
	return v
}

// Path returns the value's path.
func (v Value) Path() string { return v.path }

// Raw returns the decoded value: map[string]any, []any, string, json.Number,
// bool, nil or Replacement.
func (v Value) Raw() any { return v.raw }

// IsPresent tells whether the document has the value.
func (v Value) IsPresent() bool { return v.present }

// IsResolved tells whether the value is absent or has a value now, not only later.
func (v Value) IsResolved() bool {
	replacement, ok := v.raw.(Replacement)
	return !ok || replacement.value != nil
}

// Collector returns the collector of the document's errors.
func (v Value) Collector() *ErrorCollector { return v.document.collector }

// Reject reports the value as not allowed, unless the resolver has done so.
func (v Value) Reject(allowed string) {
	if replacement, ok := v.raw.(Replacement); ok && replacement.kind == "" {
		return
	}
	v.document.collector.Add(v.path, v.describe(), allowed)
}

// Text returns a string that rule allows, else reports an error.
func (v Value) Text(rule TextRule) string { return v.TextOr("", rule) }

// TextOr is like Text; an absent optional value is fallback.
func (v Value) TextOr(fallback string, rule TextRule) string {
	raw, ok := v.scalar(KindText, rule.Allowed())
	if !ok {
		return fallback
	}
	text, ok := raw.(string)
	if !ok || !rule.Accepts(text) {
		v.Reject(rule.Allowed())
		return fallback
	}
	return text
}

// Int returns an integer that limits allow, else reports an error.
func (v Value) Int(limits IntRange) int64 { return v.IntOr(0, limits) }

// IntOr is like Int; an absent optional value is fallback.
func (v Value) IntOr(fallback int64, limits IntRange) int64 {
	raw, ok := v.scalar(KindInteger, limits.Allowed())
	if !ok {
		return fallback
	}
	value, ok := integer(raw)
	if !ok || !limits.Accepts(value) {
		v.Reject(limits.Allowed())
		return fallback
	}
	return value
}

func integer(raw any) (int64, bool) {
	switch raw := raw.(type) {
	case int64:
		return raw, true
	case json.Number:
		value, err := raw.Int64()
		return value, err == nil
	default:
		return 0, false
	}
}

// Bool returns a boolean, else reports an error.
func (v Value) Bool() bool { return v.BoolOr(false) }

// BoolOr is like Bool; an absent optional value is fallback.
func (v Value) BoolOr(fallback bool) bool {
	raw, ok := v.scalar(KindBoolean, "true or false")
	if !ok {
		return fallback
	}
	value, ok := raw.(bool)
	if !ok {
		v.Reject("true or false")
		return fallback
	}
	return value
}

// scalar returns the value to check, or false if there is nothing to check.
func (v Value) scalar(kind Kind, allowed string) (any, bool) {
	if !v.present {
		v.reportMissing(allowed)
		return nil, false
	}
	replacement, ok := v.raw.(Replacement)
	if !ok {
		return v.raw, true
	}
	if replacement.kind == "" {
		return nil, false
	}
	if replacement.kind != kind {
		v.Reject(allowed)
		return nil, false
	}
	return replacement.value, replacement.value != nil
}

func (v Value) reportMissing(allowed string) {
	if v.required {
		v.document.collector.Add(v.path, "nothing", allowed)
	}
}

// Items returns the values of an array, else reports an error.
func (v Value) Items() []Value {
	if !v.present {
		v.reportMissing("an array")
		return nil
	}
	raw, ok := v.raw.([]any)
	if !ok {
		v.Reject("an array")
		return nil
	}
	items := make([]Value, 0, len(raw))
	for i, item := range raw {
		items = append(items, Value{document: v.document, required: true}.resolved(indexPath(v.path, i), item, true))
	}
	return items
}

// Object returns the fields of an object, else reports an error. Close it
// after all fields were read.
func (v Value) Object() *Object {
	fields, ok := v.raw.(map[string]any)
	switch {
	case !v.present && v.path == "":
		// The decoder has reported why there is no document.
	case !v.present:
		v.reportMissing("an object")
	case !ok:
		v.Reject("an object")
	}
	return &Object{value: v, fields: fields, isObject: ok}
}

// Object reads the fields of an object.
type Object struct {
	value      Value
	fields     map[string]any
	knownNames []string
	isObject   bool
}

// Required returns the field with the name. Reading it if it is absent is an
// error.
func (o *Object) Required(name string) Value { return o.field(name, true) }

// Optional returns the field with the name, which may be absent.
func (o *Object) Optional(name string) Value { return o.field(name, false) }

func (o *Object) field(name string, required bool) Value {
	if !slices.Contains(o.knownNames, name) {
		o.knownNames = append(o.knownNames, name)
	}
	raw, present := o.fields[name]
	field := Value{document: o.value.document, required: required && o.isObject}
	return field.resolved(joinPath(o.value.path, name), raw, present)
}

// FieldNames returns the names of all fields in the document, sorted.
func (o *Object) FieldNames() []string {
	names := make([]string, 0, len(o.fields))
	for name := range o.fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RejectUnknownFields reports every field that was not asked for as unknown.
func (o *Object) RejectUnknownFields() {
	for _, name := range o.FieldNames() {
		if !slices.Contains(o.knownNames, name) {
			o.value.document.collector.Add(joinPath(o.value.path, name), "an unknown field", "one of "+strings.Join(o.knownNames, ", "))
		}
	}
}

func (v Value) describe() string {
	switch raw := v.raw.(type) {
	case Replacement:
		if raw.value == nil {
			return fmt.Sprintf("%s of type %s", raw.source, raw.kind)
		}
		return fmt.Sprintf("%s from %s", describeScalar(raw.value), raw.source)
	case map[string]any:
		return "an object"
	case []any:
		return fmt.Sprintf("an array of %d", len(raw))
	default:
		return describeScalar(raw)
	}
}

// maxQuotedBytes bounds how much of a wrong text an error repeats.
const maxQuotedBytes = 80

func describeScalar(raw any) string {
	switch raw := raw.(type) {
	case nil:
		return "null"
	case string:
		if len(raw) > maxQuotedBytes {
			return fmt.Sprintf("%q and %d more bytes", raw[:maxQuotedBytes], len(raw)-maxQuotedBytes)
		}
		return fmt.Sprintf("%q", raw)
	default:
		return fmt.Sprint(raw)
	}
}
