package settings

import (
	"fmt"
	"strings"
)

// FieldError reports a field whose value is not allowed.
type FieldError struct {
	path    string
	found   string
	allowed string
}

// NewFieldError returns an error for the field at path, such as
// "services[0].shards". found and allowed are descriptions of values.
func NewFieldError(path, found, allowed string) *FieldError {
	return &FieldError{path: path, found: found, allowed: allowed}
}

// Path returns the path of the field, or "" for the document itself.
func (e *FieldError) Path() string { return e.path }

// Found returns the description of the value that the document has.
func (e *FieldError) Found() string { return e.found }

// Allowed returns the description of the allowed values.
func (e *FieldError) Allowed() string { return e.allowed }

func (e *FieldError) Error() string {
	path := e.path
	if path == "" {
		path = "document"
	}
	return fmt.Sprintf("%s: found %s, allowed: %s", path, e.found, e.allowed)
}

// ValidationError reports all errors of a document, one per line.
type ValidationError struct {
	fields []*FieldError
}

// Fields returns the errors in the order in which they were found. The caller must not
// modify the slice.
func (e *ValidationError) Fields() []*FieldError { return e.fields }

func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.fields))
	for _, field := range e.fields {
		lines = append(lines, field.Error())
	}
	return strings.Join(lines, "\n")
}

func (e *ValidationError) Unwrap() []error {
	causes := make([]error, 0, len(e.fields))
	for _, field := range e.fields {
		causes = append(causes, field)
	}
	return causes
}

// ErrorCollector collects field errors. The zero value is empty.
type ErrorCollector struct {
	fields []*FieldError
}

// Add adds an error, see NewFieldError.
func (c *ErrorCollector) Add(path, found, allowed string) {
	c.fields = append(c.fields, NewFieldError(path, found, allowed))
}

// Len returns the number of collected errors.
func (c *ErrorCollector) Len() int { return len(c.fields) }

// Err returns a *ValidationError with the collected errors, or nil if there are none.
func (c *ErrorCollector) Err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return &ValidationError{fields: c.fields}
}
