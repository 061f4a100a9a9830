// Package settings validates and decodes JSON documents strictly: unknown and
// duplicate fields are errors. All errors of a document are reported together, each
// with the path of the field, the value found and the values allowed.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Kind is the type of a scalar JSON value.
type Kind string

// Types of scalar values.
const (
	KindText    Kind = "string"
	KindInteger Kind = "integer"
	KindBoolean Kind = "boolean"
)

// Replacement is what a Resolver put in place of a value of the document.
type Replacement struct {
	kind   Kind
	value  any
	source string
}

// NewReplacement returns a replacement by value, which is a string, an int64, a bool,
// or nil if it is not known yet. kind is the type of value, or "" if the resolver has
// reported an error. source describes the origin of the value in errors.
func NewReplacement(kind Kind, value any, source string) Replacement {
	return Replacement{kind: kind, value: value, source: source}
}

// Resolver returns a replacement for a value before the value is read, or false to
// keep it. It adds its own errors to the collector.
type Resolver func(value Value, collector *ErrorCollector) (Replacement, bool)

// document holds what all values of a document share.
type document struct {
	collector *ErrorCollector
	// resolve is nil if values are not replaced.
	resolve Resolver
}

// Value is the value at a path of a document, which may be absent.
type Value struct {
	document *document
	path     string
	raw      any
	present  bool
	required bool
}

// ParseDocument decodes a document and returns its root. The errors of decoding, and
// those of reading values later, are added to the collector.
func ParseDocument(data []byte, collector *ErrorCollector) Value {
	raw, ok := decodeDocument(data, collector)
	root := Value{document: &document{collector: collector}, required: true}
	return root.resolved("", raw, ok)
}

// EmptyObject returns an object without fields at path, as a substitute for an absent
// one.
func EmptyObject(path string, collector *ErrorCollector) Value {
	return Value{document: &document{collector: collector}}.resolved(path, map[string]any{}, true)
}

// Resolve returns v with the resolver applied to it and to the values in it.
func (v Value) Resolve(resolver Resolver) Value {
	v.document = &document{collector: v.document.collector, resolve: resolver}
	return v.resolved(v.path, v.raw, v.present)
}

// resolved returns v at a path, with its raw value replaced if the resolver says so.
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

// Path returns the path of the value, such as "services[0].shards".
func (v Value) Path() string { return v.path }

// Raw returns the decoded value: map[string]any, []any, string, json.Number,
// bool, nil or Replacement.
func (v Value) Raw() any { return v.raw }

// IsPresent reports whether the document has the value.
func (v Value) IsPresent() bool { return v.present }

// IsResolved reports whether the value is known or absent. It is false for a
// replacement whose value is not known yet.
func (v Value) IsResolved() bool {
	replacement, ok := v.raw.(Replacement)
	return !ok || replacement.value != nil
}

// Collector returns the collector of the errors of the document.
func (v Value) Collector() *ErrorCollector { return v.document.collector }

// Reject adds an error that states the allowed values, unless the resolver has
// reported one.
func (v Value) Reject(allowed string) {
	if replacement, ok := v.raw.(Replacement); ok && replacement.kind == "" {
		return
	}
	v.document.collector.Add(v.path, v.describe(), allowed)
}

// Text returns a string that rule accepts. For another value it adds an error and
// returns "".
func (v Value) Text(rule TextRule) string { return v.TextOr("", rule) }

// TextOr is like Text, but returns fallback if the value is absent or invalid.
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

// Int returns an integer that limits accepts. For another value it adds an error and
// returns 0.
func (v Value) Int(limits IntRange) int64 { return v.IntOr(0, limits) }

// IntOr is like Int, but returns fallback if the value is absent or invalid.
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

// integer converts a decoded number or a replacement to an int64.
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

// Bool returns a boolean. For another value it adds an error and returns false.
func (v Value) Bool() bool { return v.BoolOr(false) }

// BoolOr is like Bool, but returns fallback if the value is absent or invalid.
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

// scalar returns the value to validate, or false if it is absent, not known yet or
// already reported as an error.
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

// reportMissing adds an error if the absent value is required.
func (v Value) reportMissing(allowed string) {
	if v.required {
		v.document.collector.Add(v.path, "nothing", allowed)
	}
}

// Items returns the values of an array. For another value it adds an error and returns
// none.
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

// Object returns the fields of an object. For another value it adds an error. Call
// RejectUnknownFields after all fields were read.
func (v Value) Object() *Object {
	fields, ok := v.raw.(map[string]any)
	switch {
	case !v.present && v.path == "":
		// The document is invalid, which the decoder has reported.
	case !v.present:
		v.reportMissing("an object")
	case !ok:
		v.Reject("an object")
	}
	return &Object{value: v, fields: fields, isObject: ok}
}

// Object reads the fields of a JSON object.
type Object struct {
	value  Value
	fields map[string]any
	// knownNames are the fields that were requested, present or not.
	knownNames []string
	isObject   bool
}

// Required returns the field with the name. If it is absent, reading its value adds an
// error.
func (o *Object) Required(name string) Value { return o.field(name, true) }

// Optional returns the field with the name, which may be absent without an error.
func (o *Object) Optional(name string) Value { return o.field(name, false) }

func (o *Object) field(name string, required bool) Value {
	if !slices.Contains(o.knownNames, name) {
		o.knownNames = append(o.knownNames, name)
	}
	raw, present := o.fields[name]
	field := Value{document: o.value.document, required: required && o.isObject}
	return field.resolved(joinPath(o.value.path, name), raw, present)
}

// FieldNames returns the names of all fields that the object has, sorted.
func (o *Object) FieldNames() []string {
	names := make([]string, 0, len(o.fields))
	for name := range o.fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RejectUnknownFields adds an error for each field that neither Required nor Optional
// was called for.
func (o *Object) RejectUnknownFields() {
	for _, name := range o.FieldNames() {
		if !slices.Contains(o.knownNames, name) {
			o.value.document.collector.Add(joinPath(o.value.path, name), "an unknown field", "one of "+strings.Join(o.knownNames, ", "))
		}
	}
}

// describe returns the description of the value for errors.
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
		return fmt.Sprintf("an array of length %d", len(raw))
	default:
		return describeScalar(raw)
	}
}

// maxQuotedBytes bounds the part of an invalid string that an error quotes.
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
