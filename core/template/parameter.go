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

// namePattern bounds names to 63 bytes, since they are part of row keys and
// URL paths.
var namePattern = regexp.MustCompile("^[A-Za-z][A-Za-z0-9-]{0,62}$")

func nameRule() settings.TextRule {
	return settings.Pattern(namePattern, "a letter, then up to 62 letters, digits and hyphens")
}

// Parameter is a value that a template leaves to each organisation.
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

// Kind returns the type of the value.
func (p Parameter) Kind() settings.Kind { return p.kind }

// Unit returns the unit of an integer, which may be "".
func (p Parameter) Unit() string { return p.unit }

// Default returns a string, int64 or bool, or nil if the parameter is required.
func (p Parameter) Default() any { return p.defaultValue }

// Required tells whether each organisation must set the parameter.
func (p Parameter) Required() bool { return p.required }

// readValue returns the value in the field if the parameter allows it, else nil.
func (p Parameter) readValue(field settings.Value) any {
	before := field.Collector().Len()
	value := p.readScalar(field)
	if field.Collector().Len() > before || !field.IsPresent() {
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
		if _, twice := findParameter(parameters, parameter.name); twice {
			item.Collector().Add(item.Path()+".name", "the name "+parameter.name+" again", "a name that no earlier parameter has")
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
	allowed, fallback := object.Optional("allowed"), object.Optional("default")
	if parameter.kind == "" {
		return parameter
	}
	parameter.readLimits(minimum, maximum)
	if allowed.IsPresent() {
		parameter.allowedValues = parameter.readAllowedValues(allowed)
	}
	switch {
	case parameter.required && fallback.IsPresent():
		fallback.Reject("no default for a required parameter")
	case fallback.IsPresent():
		parameter.defaultValue = parameter.readValue(fallback)
	case !parameter.required:
		item.Collector().Add(item.Path()+".default", "nothing", "a default, or required true")
	}
	return parameter
}

func (p *Parameter) readLimits(minimum, maximum settings.Value) {
	if p.kind != settings.KindInteger {
		for _, limit := range []settings.Value{minimum, maximum} {
			if limit.IsPresent() {
				limit.Reject("limits for an integer only")
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

// newReferenceResolver replaces references to parameters by the values of an organisation,
// or by the defaults if there is no organisation yet.
func newReferenceResolver(parameters []Parameter, values map[string]any) settings.Resolver {
	return func(value settings.Value, collector *settings.ErrorCollector) (settings.Replacement, bool) {
		name, ok := referenceName(value.Raw())
		if !ok {
			return settings.Replacement{}, false
		}
		parameter, ok := findParameter(parameters, name)
		if !ok {
			collector.Add(value.Path(), fmt.Sprintf("a reference to %q", name), "a parameter of the template: "+parameterNames(parameters))
			return settings.NewReplacement("", nil, "an unknown parameter"), true
		}
		resolved, set := values[name]
		if !set {
			resolved = parameter.defaultValue
		}
		return settings.NewReplacement(parameter.kind, resolved, "parameter "+name), true
	}
}

func referenceName(raw any) (string, bool) {
	object, ok := raw.(map[string]any)
	if !ok || len(object) != 1 {
		return "", false
	}
	name, ok := object["parameter"].(string)
	return name, ok
}

func parameterNames(parameters []Parameter) string {
	if len(parameters) == 0 {
		return "none is declared"
	}
	names := make([]string, 0, len(parameters))
	for _, parameter := range parameters {
		names = append(names, parameter.name)
	}
	return strings.Join(names, ", ")
}

// decodeScalar converts a decoded scalar to string, int64 or bool.
func decodeScalar(raw any) any {
	if number, ok := raw.(json.Number); ok {
		if value, err := number.Int64(); err == nil {
			return value
		}
	}
	return raw
}
