package template

import (
	"strings"

	"briarwell.dev/core/settings"
)

// Render returns the rules of the organisation's services. It returns a
// *settings.ValidationError with all errors. Paths that start with "parameters"
// refer to the organisation's document, the others to the template.
func Render(template Template, organisation Organisation) ([]ServiceRules, error) {
	collector := &settings.ErrorCollector{}
	if template.kind != organisation.kind {
		collector.Add("kind", `"`+organisation.kind+`"`, `the template's kind "`+template.kind+`"`)
		return nil, collector.Err()
	}
	values := readParameterValues(template.parameters, organisation, collector)
	if err := collector.Err(); err != nil {
		return nil, err
	}
	_, services := readTemplate(template.source, values, collector)
	if err := collector.Err(); err != nil {
		return nil, err
	}
	return services, nil
}

// readParameterValues returns the value or default of each parameter by name.
func readParameterValues(parameters []Parameter, organisation Organisation, collector *settings.ErrorCollector) map[string]any {
	root := settings.ParseDocument(organisation.source, collector).Object()
	field := root.Optional("parameters")
	if !field.IsPresent() {
		field = settings.EmptyObject("parameters", collector)
	}
	object := field.Object()
	defer object.RejectUnknownFields()
	values := make(map[string]any, len(parameters))
	for _, parameter := range parameters {
		item := object.Optional(parameter.name)
		if parameter.required {
			item = object.Required(parameter.name)
		}
		value := parameter.readValue(item)
		if value == nil {
			value = parameter.defaultValue
		}
		values[parameter.name] = value
	}
	return values
}

// RenderCatalog returns the rules of all organisations as a catalog of the given
// version. It returns a *RenderError for the first organisation in the list that
// can't be rendered.
func RenderCatalog(version uint64, templates []Template, organisations []Organisation) (Catalog, error) {
	templatesByKind := make(map[string]Template, len(templates))
	for _, template := range templates {
		templatesByKind[template.kind] = template
	}
	services := make(map[string]ServiceRules)
	for _, organisation := range organisations {
		template, ok := templatesByKind[organisation.kind]
		if !ok {
			collector := &settings.ErrorCollector{}
			collector.Add("kind", `"`+organisation.kind+`"`, "the kind of a known template")
			return Catalog{}, NewRenderError(organisation.name, collector.Err())
		}
		rendered, err := Render(template, organisation)
		if err != nil {
			return Catalog{}, NewRenderError(organisation.name, err)
		}
		for _, rules := range rendered {
			services[organisation.name+"/"+rules.name] = rules
		}
	}
	return NewCatalog(version, services), nil
}

// RenderError reports an organisation that can't be rendered.
type RenderError struct {
	organisation string
	cause        error
}

// NewRenderError returns the error of an organisation that can't be rendered.
func NewRenderError(organisation string, cause error) *RenderError {
	return &RenderError{organisation: organisation, cause: cause}
}

// Organisation returns the organisation's name.
func (e *RenderError) Organisation() string { return e.organisation }

func (e *RenderError) Error() string {
	return "organisation " + e.organisation + " can't be rendered:\n  " + strings.ReplaceAll(e.cause.Error(), "\n", "\n  ")
}

// Unwrap returns the cause.
func (e *RenderError) Unwrap() error { return e.cause }
