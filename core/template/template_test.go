package template_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"briarwell.dev/core/settings"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

func readExample(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("../../examples", name+".json"))
	is.New(t).NoErr(err)
	return data
}

func renderExample(t *testing.T, templateName, organisationName string) []template.ServiceRules {
	t.Helper()
	parsed, err := template.ParseTemplate(readExample(t, templateName))
	is.New(t).NoErr(err)
	organisation, err := template.ParseOrganisation(readExample(t, organisationName))
	is.New(t).NoErr(err)
	services, err := template.Render(parsed, organisation)
	is.New(t).NoErr(err)
	return services
}

// Guards against a parameter that is dropped or applied to the wrong field, and
// against deposits or approvals that are rendered as idempotent.
func TestRenderExamples(t *testing.T) {
	is := is.New(t)
	lagos := renderExample(t, "lending-service", "lagos")
	is.Equal(len(lagos), 3)
	bookings := lagos[1]
	is.Equal(bookings.Name(), "bookings")
	is.Equal(bookings.Shards(), uint32(256))
	is.Equal(bookings.Fencing(), upstream.FencingEpoch)
	is.Equal(bookings.QueueLimit(), 48)
	deposit, ok := bookings.MatchRoute("POST", "/b-17/deposit")
	is.True(ok)
	is.True(!deposit.Idempotent())
	is.Equal(deposit.Priority(), template.PriorityHigh)
	is.Equal(deposit.Timeout().Duration().Seconds(), 5.0)
	stock, _ := lagos[0].MatchRoute("GET", "/uniform/stock")
	is.Equal(stock.Priority(), template.PriorityHigh)
	signOff := renderExample(t, "onboarding", "primeiro-dia")[1]
	is.Equal(signOff.Fencing(), upstream.FencingDeadline)
	approve, _ := signOff.MatchRoute("POST", "/ana/approve")
	is.True(!approve.Idempotent())
	is.Equal(approve.Priority(), template.PriorityCritical)
	is.Equal(approve.Timeout().Duration().Seconds(), 8.0)
}

func templateWithServices(fields string) string {
	return fmt.Sprintf(`{"kind": "k", "parameters": [{"name": "n", "type": "integer", "unit": "ms", "default": 5, "maximum": 9},
		{"name": "s", "type": "string", "required": true}, {"name": "b", "type": "boolean", "default": true}], "services": [%s]}`, fields)
}

// Guards against errors that are reported one at a time, or without the path, the
// value found or the allowed values.
func TestTemplateErrors(t *testing.T) {
	cases := map[string]string{
		"empty": `{}`,
		"parameters": `{"kind": "1", "parameters": [{"name": "a", "type": "number"}, {"name": "b", "type": "integer"},
			{"name": "c", "type": "string", "minimum": 1, "default": "x", "allowed": ["y"]}, {"name": "d", "type": "integer", "minimum": 3, "maximum": 2, "required": true, "default": 3},
			{"name": "e", "type": "boolean", "default": "yes", "extra": 1}, {"name": "e", "type": "boolean", "default": false},
			{"name": "f", "type": "string", "required": true, "allowed": []}, 7], "services": [], "unknown": 1}`,
		"services": templateWithServices(`{"name": "a", "keyed": true, "routes": []}, {"name": "a", "keyed": false, "shards": 3, "fencing": "epoch", "routes": [{"idempotent": true}]},
			{"name": "c", "keyed": true, "shards": 0, "fencing": "none", "queueLimit": -1, "routes": [{"method": "get", "pathSuffix": "", "priority": "top", "timeoutMillis": 0}, 4]}`),
		"references": templateWithServices(`{"name": {"parameter": "n"}, "keyed": {"parameter": "missing"}, "routes": [{"idempotent": {"parameter": "b"},
			"timeoutMillis": {"parameter": "s"}, "priority": {"parameter": "s"}, "method": {"parameter": "b"}}]},
			{"name": "b", "keyed": true, "shards": {"parameter": "n"}, "fencing": {"parameter": "s"}, "routes": {"parameter": "n"}}`),
	}
	for name, document := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := template.Parse([]byte(document))
			if name == "empty" {
				_, err = template.ParseTemplate([]byte(document))
			}
			var validationError *settings.ValidationError
			is.New(t).True(errors.As(err, &validationError))
			goldie.New(t).Assert(t, "template-"+name, []byte(validationError.Error()+"\n"))
		})
	}
}

// Guards against an organisation rendered with values that its template doesn't
// allow.
func TestOrganisationErrors(t *testing.T) {
	is := is.New(t)
	text := templateWithServices(`{"name": "a", "keyed": true, "shards": 8, "fencing": {"parameter": "s"}, "routes": [{"idempotent": {"parameter": "b"}, "timeoutMillis": {"parameter": "n"}}]}`)
	parsed, err := template.ParseTemplate([]byte(text))
	is.NoErr(err)
	var output strings.Builder
	for _, parameters := range []string{
		`{}`, `{"n": 10, "s": 1, "b": "true", "x": 1}`, `{"s": "fenced"}`, `{"s": "none"}`, `{"s": "epoch", "n": -1}`, `{"s": [], "n": null}`, `7`,
	} {
		organisation, err := template.ParseOrganisation(fmt.Appendf(nil, `{"name": "o", "kind": "k", "parameters": %s}`, parameters))
		if err == nil {
			_, err = template.RenderCatalog(1, []template.Template{parsed}, []template.Organisation{organisation})
		}
		fmt.Fprintf(&output, "%s\n%v\n\n", parameters, err)
	}
	otherKind, err := template.ParseOrganisation([]byte(`{"name": "o", "kind": "other"}`))
	is.NoErr(err)
	_, err = template.RenderCatalog(1, []template.Template{parsed}, []template.Organisation{otherKind})
	var renderError *template.RenderError
	is.True(errors.As(err, &renderError))
	is.Equal(renderError.Organisation(), "o")
	fmt.Fprintf(&output, "%v\n", err)
	goldie.New(t).Assert(t, "organisation", []byte(output.String()))
}

// Guards against parameter values that lose their type when they are rendered, or
// are taken for unset, such as false.
func TestParameterValuesKeepType(t *testing.T) {
	is := is.New(t)
	parsed, err := template.ParseTemplate([]byte(templateWithServices(`{"name": "a", "keyed": false, "routes": [{"idempotent": {"parameter": "b"}, "timeoutMillis": {"parameter": "n"}}]}`)))
	is.NoErr(err)
	for _, value := range []bool{true, false} {
		text, _ := json.Marshal(map[string]any{"name": "o", "kind": "k", "parameters": map[string]any{"s": "", "b": value, "n": 7}})
		organisation, err := template.ParseOrganisation(text)
		is.NoErr(err)
		services, err := template.Render(parsed, organisation)
		is.NoErr(err)
		is.Equal(services[0].Routes()[0].Idempotent(), value)
		is.Equal(int(services[0].Routes()[0].Timeout()), 7)
	}
}
