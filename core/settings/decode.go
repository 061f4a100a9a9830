package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxDepth bounds the nesting of a document, so that a malicious file can't exhaust
// the stack.
const maxDepth = 32

// decoder decodes a document into maps, slices and scalars. It reports duplicate
// fields, which encoding/json accepts.
type decoder struct {
	json      *json.Decoder
	collector *ErrorCollector
}

// decodeDocument decodes data, or adds an error and returns false if it is not exactly
// one JSON document.
func decodeDocument(data []byte, collector *ErrorCollector) (any, bool) {
	d := decoder{json: json.NewDecoder(bytes.NewReader(data)), collector: collector}
	d.json.UseNumber()
	root, err := d.value("", 0)
	if err == nil {
		_, err = d.json.Token()
		if errors.Is(err, io.EOF) {
			return root, true
		}
		if err == nil {
			err = errMultipleDocuments
		}
	}
	collector.Add("", d.describeError(data, err), "one JSON document")
	return nil, false
}

var (
	errMultipleDocuments = errors.New("more than one document")
	errTooDeep           = fmt.Errorf("more than %d levels of nesting", maxDepth)
)

// describeError returns the description of a decoding error with its line.
func (d decoder) describeError(data []byte, err error) string {
	offset := d.json.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	offset = min(offset, int64(len(data)))
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the end of the input in line " + strconv.Itoa(line)
	}
	return fmt.Sprintf("%v in line %d", err, line)
}

func (d decoder) value(path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errTooDeep
	}
	token, err := d.json.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return d.object(path, depth)
	case json.Delim('['):
		return d.array(path, depth)
	default:
		return token, nil
	}
}

func (d decoder) object(path string, depth int) (any, error) {
	fields := map[string]any{}
	for d.json.More() {
		token, err := d.json.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		fieldPath := joinPath(path, name)
		item, err := d.value(fieldPath, depth+1)
		if err != nil {
			return nil, err
		}
		if _, isDuplicate := fields[name]; isDuplicate {
			d.collector.Add(fieldPath, "a duplicate field", "one field of this name")
		}
		fields[name] = item
	}
	_, err := d.json.Token()
	return fields, err
}

func (d decoder) array(path string, depth int) (any, error) {
	items := []any{}
	for d.json.More() {
		item, err := d.value(indexPath(path, len(items)), depth+1)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	_, err := d.json.Token()
	return items, err
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
