package command

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"briarwell.dev/core/template"
)

// FileError reports a file that can't be read or parsed.
type FileError struct {
	name  string
	cause error
}

// Name returns the path of the file as given on the command line.
func (e *FileError) Name() string { return e.name }

func (e *FileError) Error() string {
	return e.name + ":\n  " + strings.ReplaceAll(e.cause.Error(), "\n", "\n  ")
}

func (e *FileError) Unwrap() error { return e.cause }

// readFiles parses the files. It continues after an invalid file and returns the
// joined errors of all files.
func readFiles(names []string) ([]template.Document, error) {
	documents := make([]template.Document, 0, len(names))
	var errs []error
	for _, name := range names {
		document, err := readFile(name)
		if err != nil {
			errs = append(errs, &FileError{name: name, cause: err})
			continue
		}
		documents = append(documents, document)
	}
	return documents, errors.Join(errs...)
}

func readFile(name string) (template.Document, error) {
	data, err := os.ReadFile(name)
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return nil, newInputError("can't be read: %v", pathError.Err)
	}
	if err != nil {
		return nil, newInputError("can't be read: %v", err)
	}
	return template.Parse(data)
}

func documentTitle(document template.Document) string {
	switch document := document.(type) {
	case template.Template:
		return "template " + document.Kind()
	case template.Organisation:
		return "organisation " + document.Name()
	default:
		return fmt.Sprintf("%T", document)
	}
}
