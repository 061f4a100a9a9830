package settings

import (
	"fmt"
	"strings"
)

// FieldError reports one field whose value is not allowed.
type FieldError struct {
	path    string
	found   string
	allowed string
}

// NewFieldError returns an error for the field at path, such as
// "services[0].shards". found and allowed describe values in words.
func NewFieldError(path, found, allowed string) *FieldError {
	return &FieldError{path: path, found: found, allowed: allowed}
}

// Path returns the field's path, "" for the document itself.
func (e *FieldError) Path() string { return e.path }

// Found describes the value that was found.
func (e *FieldError) Found() string { return e.found }

// Allowed describes the values that are allowed.
func (e *FieldError) Allowed() string { return e.allowed }

func (e *FieldError) Error() string {
	path := e.path
	if path == "" {
		path = "document"
	}
	return fmt.Sprintf("%s: found %s, allowed: %s", path, e.found, e.allowed)
}

// ListError reports all errors of a document.
type ListError struct {
	fields []*FieldError
}

// Fields returns the errors in the order of reading; callers must not change
// them.
func (e *ListError) Fields() []*FieldError { return e.fields }

func (e *ListError) Error() string {
	lines := make([]string, 0, len(e.fields))
	for _, field := range e.fields {
		lines = append(lines, field.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors of the fields.
func (e *ListError) Unwrap() []error {
	causes := make([]error, 0, len(e.fields))
	for _, field := range e.fields {
		causes = append(causes, field)
	}
	return causes
}

// Collector gathers field errors. The zero value is empty.
type Collector struct {
	fields []*FieldError
}

// Add records an error.
func (c *Collector) Add(path, found, allowed string) {
	c.fields = append(c.fields, NewFieldError(path, found, allowed))
}

// Len returns the number of recorded errors.
func (c *Collector) Len() int { return len(c.fields) }

// Err returns a *ListError with the recorded errors, nil if there are none.
func (c *Collector) Err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return &ListError{fields: c.fields}
}
