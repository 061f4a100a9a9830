package template

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"briarwell.dev/core/settings"
)

// namePattern limits names to 63 bytes, since they are part of row keys and URL
// paths.
var namePattern = regexp.MustCompile("^[A-Za-z][A-Za-z0-9-]{0,62}$")

func nameRule() settings.TextRule {
	return settings.Pattern(namePattern, "a letter, then up to 62 letters, digits and hyphens")
}

// Parameter is a parameter that a template declares. Each organisation can set it.
type Parameter struct {
	name          string
	kind          settings.Kind
	unit          string
	defaultValue  any
	minimum       int64
	maximum       int64
	allowedValues []any
	required      bool
}

// Name returns the parameter's name.
func (p Parameter) Name() string { return p.name }

// Kind returns the type of the parameter's values.
func (p Parameter) Kind() settings.Kind { return p.kind }

// Unit returns the unit of an integer parameter, "" if none is declared.
func (p Parameter) Unit() string { return p.unit }

// Default returns the default value, a string, int64 or bool. It returns nil if
// the parameter is required.
func (p Parameter) Default() any { return p.defaultValue }

// Required reports whether each organisation must set the parameter.
func (p Parameter) Required() bool { return p.required }

// readValue returns the value of the field, nil if it is absent. It reports a value
// that the parameter doesn't allow and returns nil.
func (p Parameter) readValue(field settings.Value) any {
	errorCount := field.Collector().Len()
	value := p.readScalar(field)
	if field.Collector().Len() > errorCount || !field.IsPresent() {
		return nil
	}
	if len(p.allowedValues) > 0 && !slices.Contains(p.allowedValues, value) {
		field.Reject("one of " + joinValues(p.allowedValues))
		return nil
	}
	return value
}

func (p Parameter) readScalar(field settings.Value) any {
	switch p.kind {
	case settings.KindInteger:
		return field.Int(settings.NewIntRange(p.minimum, p.maximum, p.unit))
	case settings.KindBoolean:
		return field.Bool()
	default:
		return field.Text(settings.TextRule{})
	}
}

func joinValues(values []any) string {
	texts := make([]string, 0, len(values))
	for _, value := range values {
		texts = append(texts, fmt.Sprint(value))
	}
	return strings.Join(texts, ", ")
}

func readParameters(field settings.Value) []Parameter {
	items := field.Items()
	parameters := make([]Parameter, 0, len(items))
	for _, item := range items {
		parameter := readParameter(item)
		if _, duplicate := findParameter(parameters, parameter.name); duplicate {
			item.Collector().Add(item.Path()+".name", "the name "+parameter.name+" of an earlier parameter", "a unique name")
		}
		parameters = append(parameters, parameter)
	}
	return parameters
}

func findParameter(parameters []Parameter, name string) (Parameter, bool) {
	for _, parameter := range parameters {
		if parameter.name == name && name != "" {
			return parameter, true
		}
	}
	return Parameter{}, false
}

func readParameter(item settings.Value) Parameter {
	object := item.Object()
	defer object.RejectUnknownFields()
	kinds := settings.OneOf(string(settings.KindInteger), string(settings.KindText), string(settings.KindBoolean))
	parameter := Parameter{
		name:    object.Required("name").Text(nameRule()),
		kind:    settings.Kind(object.Required("type").Text(kinds)),
		unit:    object.Optional("unit").Text(settings.NonEmpty()),
		minimum: math.MinInt64,
		maximum: math.MaxInt64,
	}
	parameter.required = object.Optional("required").Bool()
	minimum, maximum := object.Optional("minimum"), object.Optional("maximum")
	allowed, defaultField := object.Optional("allowed"), object.Optional("default")
	if parameter.kind == "" {
		return parameter
	}
	parameter.readLimits(minimum, maximum)
	if allowed.IsPresent() {
		parameter.allowedValues = parameter.readAllowedValues(allowed)
	}
	switch {
	case parameter.required && defaultField.IsPresent():
		defaultField.Reject("no default value for a required parameter")
	case defaultField.IsPresent():
		parameter.defaultValue = parameter.readValue(defaultField)
	case !parameter.required:
		item.Collector().Add(item.Path()+".default", "nothing", "a default value, or \"required\": true")
	}
	return parameter
}

func (p *Parameter) readLimits(minimum, maximum settings.Value) {
	if p.kind != settings.KindInteger {
		for _, limit := range []settings.Value{minimum, maximum} {
			if limit.IsPresent() {
				limit.Reject("no limit for a type other than integer")
			}
		}
		return
	}
	p.minimum = minimum.IntOr(p.minimum, settings.NewIntRange(math.MinInt64, math.MaxInt64, p.unit))
	p.maximum = maximum.IntOr(p.maximum, settings.NewIntRange(p.minimum, math.MaxInt64, p.unit))
}

func (p *Parameter) readAllowedValues(field settings.Value) []any {
	items := field.Items()
	if len(items) == 0 && field.IsPresent() {
		field.Reject("at least one value")
	}
	allowed := make([]any, 0, len(items))
	for _, item := range items {
		allowed = append(allowed, p.readScalar(item))
	}
	return allowed
}

// newReferenceResolver returns a resolver that replaces references to parameters by
// the values of an organisation. A parameter without a value gets its default.
func newReferenceResolver(parameters []Parameter, values map[string]any) settings.Resolver {
	return func(value settings.Value, collector *settings.ErrorCollector) (settings.Replacement, bool) {
		name, ok := referenceName(value.Raw())
		if !ok {
			return settings.Replacement{}, false
		}
		parameter, ok := findParameter(parameters, name)
		if !ok {
			collector.Add(value.Path(), fmt.Sprintf("a reference to %q", name), "a parameter of the template: "+joinParameterNames(parameters))
			return settings.NewReplacement("", nil, "an unknown parameter"), true
		}
		resolved, isSet := values[name]
		if !isSet {
			resolved = parameter.defaultValue
		}
		return settings.NewReplacement(parameter.kind, resolved, "parameter "+name), true
	}
}

// referenceName returns the name of the parameter in a reference, an object of the
// form {"parameter": NAME}. It returns false if raw is no reference.
func referenceName(raw any) (string, bool) {
	object, ok := raw.(map[string]any)
	if !ok || len(object) != 1 {
		return "", false
	}
	name, ok := object["parameter"].(string)
	return name, ok
}

func joinParameterNames(parameters []Parameter) string {
	if len(parameters) == 0 {
		return "none is declared"
	}
	names := make([]string, 0, len(parameters))
	for _, parameter := range parameters {
		names = append(names, parameter.name)
	}
	return strings.Join(names, ", ")
}

// decodeScalar converts an integer to int64. It returns other values unchanged.
func decodeScalar(raw any) any {
	if number, ok := raw.(json.Number); ok {
		if value, err := number.Int64(); err == nil {
			return value
		}
	}
	return raw
}
