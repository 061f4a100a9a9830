// Package checkmanifest checks an encoded manifest before it is submitted, and writes the result
// for operators. It decodes with the sidecar's own decoder; package manifestcheck decides what is
// wrong.
package checkmanifest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"unicode"

	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/manifestcheck"
	"briarwell.dev/core/routes"
	"briarwell.dev/platform/manifest"
	"briarwell.dev/sidecar/app"
)

// documentPlace is the place of a finding about the whole document.
const documentPlace = "manifest"

// Report is the result of a check. Create it with Check.
type Report struct {
	findings []manifestcheck.Finding
	changes  []manifestcheck.Change
}

// AgainstError reports that the manifest to compare with can't be decoded.
type AgainstError struct{ cause error }

func (e *AgainstError) Error() string { return "manifest to compare with: " + e.cause.Error() }

func (e *AgainstError) Unwrap() error { return e.cause }

// Options state what a manifest is checked against. The zero value checks the manifest alone.
type Options struct {
	// Against is the encoded manifest to compare with; nil for none.
	Against []byte
	// Regions holds the names of the regions that exist; nil if they are not known.
	Regions []string
}

// Check checks an encoded manifest. Faults of the manifest are findings; the error is an
// *AgainstError if Options.Against can't be decoded.
func Check(data []byte, o Options) (Report, error) {
	var before *routes.Manifest
	if o.Against != nil {
		var err error
		if before, _, err = manifest.Decode(o.Against); err != nil {
			return Report{}, &AgainstError{cause: err}
		}
	}
	m, problems, err := manifest.Decode(data)
	var rejected *manifest.Error
	if errors.As(err, &rejected) {
		return Report{findings: []manifestcheck.Finding{unreadable(rejected)}}, nil
	}
	options := manifestcheck.Options{Regions: o.Regions, Supported: app.SupportedLimits(), MaxAttempts: dispatch.MaxSends, Before: before}
	for _, problem := range problems {
		options.Unreadable = append(options.Unreadable, unreadable(problem))
	}
	report := Report{findings: manifestcheck.Sort(append(manifestcheck.Check(m, options), equalKeys(data)...))}
	if before != nil {
		report.changes = manifestcheck.Compare(before, m)
	}
	return report, nil
}

// unreadable returns the finding about a part that can't be decoded.
func unreadable(problem *manifest.Error) manifestcheck.Finding {
	place := problem.Field()
	if place == "" {
		place = documentPlace
	}
	return manifestcheck.NewFinding(manifestcheck.SeverityError, place, causeText(problem.Unwrap())+"; "+problem.Effect())
}

// causeText returns why a value can't be decoded, without terms of Go.
func causeText(cause error) string {
	var wrongType *json.UnmarshalTypeError
	var malformed *json.SyntaxError
	switch {
	case errors.As(cause, &wrongType):
		return fmt.Sprintf("is a JSON %s; %s is expected", wrongType.Value, typeText(wrongType.Type))
	case errors.As(cause, &malformed):
		return fmt.Sprintf("is not valid JSON (byte %d: %v)", malformed.Offset, cause)
	default:
		return "can't be read: " + strings.TrimPrefix(cause.Error(), "time: ")
	}
}

func typeText(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Map, reflect.Struct:
		return "an object"
	default:
		return "a string"
	}
}

// equalKeys returns the findings about keys that occur more than once in an object.
func equalKeys(data []byte) []manifestcheck.Finding {
	paths := manifest.EqualKeys(data)
	findings := make([]manifestcheck.Finding, 0, len(paths))
	for _, path := range paths {
		text := "occurs more than once in its object; the last value is used, the others are ignored"
		if path == "routes" || path == "services" {
			text = "occurs more than once; the entries of all are used, and of those with the same name the last"
		}
		findings = append(findings, manifestcheck.NewFinding(manifestcheck.SeverityWarning, path, text))
	}
	return findings
}

// Count returns the number of findings with the severity.
func (r Report) Count(severity manifestcheck.Severity) int {
	count := 0
	for _, f := range r.findings {
		if f.Severity() == severity {
			count++
		}
	}
	return count
}

// Write writes one line for each finding and each change, and a summary.
func (r Report) Write(w io.Writer) {
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	for _, f := range r.findings {
		printLine("%-7s %s: %s", f.Severity(), printable(f.Place()), printable(f.Text()))
	}
	for _, c := range r.changes {
		text := c.Meaning()
		if c.Kind() == manifestcheck.KindChanged {
			text = c.Before() + " -> " + c.After()
			if c.Meaning() != "" {
				text += "; " + c.Meaning()
			}
		}
		printLine("%-7s %s: %s", c.Kind(), printable(c.Place()), printable(text))
	}
	printLine("errors %d, warnings %d, notes %d, changes %d", r.Count(manifestcheck.SeverityError),
		r.Count(manifestcheck.SeverityWarning), r.Count(manifestcheck.SeverityNote), len(r.changes))
}

// printable replaces the characters that would break a line or control a terminal: names in a
// manifest may contain any.
func printable(text string) string {
	var b strings.Builder
	for _, r := range text {
		if unicode.IsPrint(r) {
			b.WriteRune(r)
		} else {
			b.WriteString(strings.Trim(strconv.QuoteRuneToASCII(r), "'"))
		}
	}
	return b.String()
}

type findingJSON struct {
	Severity string `json:"severity"`
	Place    string `json:"place"`
	Text     string `json:"text"`
}

type changeJSON struct {
	Kind    string `json:"kind"`
	Place   string `json:"place"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	Meaning string `json:"meaning,omitempty"`
}

type reportJSON struct {
	Errors   int           `json:"errors"`
	Warnings int           `json:"warnings"`
	Notes    int           `json:"notes"`
	Findings []findingJSON `json:"findings"`
	Changes  []changeJSON  `json:"changes"`
}

// WriteJSON writes the report as one line of JSON.
func (r Report) WriteJSON(w io.Writer) error {
	report := reportJSON{
		Errors: r.Count(manifestcheck.SeverityError), Warnings: r.Count(manifestcheck.SeverityWarning), Notes: r.Count(manifestcheck.SeverityNote),
		Findings: make([]findingJSON, 0, len(r.findings)), Changes: make([]changeJSON, 0, len(r.changes)),
	}
	for _, f := range r.findings {
		report.Findings = append(report.Findings, findingJSON{Severity: f.Severity().String(), Place: f.Place(), Text: f.Text()})
	}
	for _, c := range r.changes {
		report.Changes = append(report.Changes, changeJSON{Kind: c.Kind(), Place: c.Place(), Before: c.Before(), After: c.After(), Meaning: c.Meaning()})
	}
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(report)
}
