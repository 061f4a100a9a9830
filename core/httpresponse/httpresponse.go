// Package httpresponse reads HTTP/1.1 responses and accepts only what RFC 9112 allows a server to
// send. The parsers of net/http and fasthttp repair some malformed heads, each in its own way, so that
// a response may get another status, other fields or another body than the server sent.
package httpresponse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// Flaw is why a response is not valid.
type Flaw string

// Flaws of responses.
const (
	// FlawStatus is the flaw of a malformed status line, or one whose status is not from 100 to 599
	// or switches to a protocol that was not asked for.
	FlawStatus Flaw = "invalid-status"
	// FlawField is the flaw of a malformed field of the head or the trailers.
	FlawField Flaw = "invalid-field"
	// FlawFraming is the flaw of fields that do not tell how long the body is.
	FlawFraming Flaw = "invalid-framing"
	// FlawSize is the flaw of a head or trailers above the size limit.
	FlawSize Flaw = "head-too-large"
	// FlawIncomplete is the flaw of a response of whose body a part may be missing.
	FlawIncomplete Flaw = "incomplete"
)

// Error reports a response that is not valid or not complete.
type Error struct {
	flaw   Flaw
	status int
	detail string
	cause  error
}

// NewIncompleteError returns the error for a response with a valid head whose body could not be read to
// its end, or may not have been.
func NewIncompleteError(status int, cause error) *Error {
	return &Error{flaw: FlawIncomplete, status: status, detail: cause.Error(), cause: cause}
}

// Flaw returns why the response is not valid.
func (e *Error) Flaw() Flaw { return e.flaw }

// Status returns the status of the response, 0 if it has no valid one.
func (e *Error) Status() int { return e.status }

func (e *Error) Error() string {
	return fmt.Sprintf("response with status %d is not valid: %s: %s", e.status, e.flaw, e.detail)
}

func (e *Error) Unwrap() error { return e.cause }

// Framing is how the end of a body is found: NoBody, FixedLength, Chunked or UntilClose.
type Framing interface{ isFraming() }

// NoBody is the framing of a response that has no body, whatever its fields say.
type NoBody struct{}

// FixedLength is the framing of a body whose length is known.
type FixedLength struct{ bytes int64 }

// Chunked is the framing of a body in chunks, which trailers may follow.
type Chunked struct{}

// UntilClose is the framing of a body that ends with the connection. It is complete only if the
// connection was not reset, which may be reported to a writer of the connection instead of its reader.
type UntilClose struct{}

// Bytes returns the length of the body.
func (f FixedLength) Bytes() int64 { return f.bytes }

func (NoBody) isFraming()      {}
func (FixedLength) isFraming() {}
func (Chunked) isFraming()     {}
func (UntilClose) isFraming()  {}

// Head is the status line and the fields of a response.
type Head struct {
	status  int
	header  http.Header
	length  int64
	framing Framing
	closes  bool
	size    int
}

// Status returns the status, from 100 to 599.
func (h *Head) Status() int { return h.status }

// IsInterim reports whether another response to the same request follows.
func (h *Head) IsInterim() bool { return h.status < http.StatusOK }

// Header returns the fields without Transfer-Encoding and Trailer.
func (h *Head) Header() http.Header { return h.header }

// ContentLength returns the length in bytes that the response states, -1 if none. That of a response
// to HEAD is the length of a body that it does not have.
func (h *Head) ContentLength() int64 { return h.length }

// Framing returns how the end of the body is found.
func (h *Head) Framing() Framing { return h.framing }

// Closes reports whether the server closes the connection after the response.
func (h *Head) Closes() bool { return h.closes }

// Size returns the size of the head in bytes.
func (h *Head) Size() int { return h.size }

// parser holds the buffers for reading a head.
type parser struct {
	text   []byte
	source bytes.Reader
	reader *bufio.Reader
	// hasEncoding and hasLength are set if the head has Transfer-Encoding and Content-Length.
	hasEncoding, hasLength bool
}

// maxPooledBytes is the size of the largest buffer for a head that is kept.
const maxPooledBytes = 8 << 10

var parsers = sync.Pool{New: func() any { return &parser{reader: bufio.NewReader(nil)} }} //nolint:gochecknoglobals // Shared by all clients.

// ReadHead reads the head of a response to a request with the method. It returns io.EOF if the
// connection ends before the head, and an *Error if the head is not valid or has more than maxBytes.
func ReadHead(r *bufio.Reader, method string, maxBytes int) (*Head, error) {
	p, _ := parsers.Get().(*parser)
	defer func() {
		p.source.Reset(nil)
		if cap(p.text) <= maxPooledBytes {
			parsers.Put(p)
		}
	}()
	p.text, p.hasEncoding, p.hasLength = p.text[:0], false, false
	status, err := p.readText(r, maxBytes)
	if err != nil {
		return nil, err
	}
	p.source.Reset(p.text)
	p.reader.Reset(&p.source)
	parsed, err := http.ReadResponse(p.reader, &http.Request{Method: method})
	if err != nil {
		// The lines are valid, so that only the fields of the framing can be the cause.
		return nil, &Error{flaw: FlawFraming, status: status, detail: err.Error()}
	}
	head := &Head{status: status, header: parsed.Header, length: parsed.ContentLength, closes: parsed.Close, size: len(p.text)}
	head.framing = framingOf(method, parsed)
	if detail := p.framingConflict(head, parsed); detail != "" {
		return nil, &Error{flaw: FlawFraming, status: status, detail: detail}
	}
	return head, nil
}

func framingOf(method string, parsed *http.Response) Framing {
	status := parsed.StatusCode
	switch {
	case method == http.MethodHead || status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified:
		return NoBody{}
	case len(parsed.TransferEncoding) > 0:
		return Chunked{}
	case parsed.ContentLength >= 0:
		return FixedLength{bytes: parsed.ContentLength}
	default:
		return UntilClose{}
	}
}

// framingConflict returns what leaves the length of the body open, "" if nothing does.
func (p *parser) framingConflict(head *Head, parsed *http.Response) string {
	length := parsed.Header.Get("Content-Length")
	switch {
	case p.hasEncoding && p.hasLength:
		return "both Transfer-Encoding and Content-Length"
	case p.hasEncoding && !parsed.ProtoAtLeast(1, 1):
		return "Transfer-Encoding in HTTP/1.0"
	case (head.IsInterim() || head.status == http.StatusNoContent) && (p.hasEncoding || p.hasLength && strings.Trim(length, "0") != ""):
		return "length of a body that the status excludes"
	default:
		return ""
	}
}

// readText reads the lines of a head up to the empty one, and returns the status.
func (p *parser) readText(r *bufio.Reader, maxBytes int) (int, error) {
	line, err := p.readLine(r, maxBytes)
	if err != nil {
		return 0, err
	}
	status, ok := parseStatusLine(line)
	if !ok {
		return 0, &Error{flaw: FlawStatus, detail: quote(line)}
	}
	for {
		line, err := p.readLine(r, maxBytes)
		if err != nil {
			return 0, withStatus(err, status)
		}
		if len(line) == 0 {
			return status, nil
		}
		name, ok := parseFieldName(line)
		if !ok {
			return 0, &Error{flaw: FlawField, status: status, detail: quote(line)}
		}
		p.hasEncoding = p.hasEncoding || strings.EqualFold(string(name), "Transfer-Encoding")
		p.hasLength = p.hasLength || strings.EqualFold(string(name), "Content-Length")
	}
}

// withStatus adds the status of the response to an *Error.
func withStatus(err error, status int) error {
	var invalid *Error
	if errors.As(err, &invalid) {
		invalid.status = status
	}
	return err
}

// readLine reads a line, adds it to the text and returns it without its end.
func (p *parser) readLine(r *bufio.Reader, maxBytes int) ([]byte, error) {
	begin := len(p.text)
	for {
		part, err := r.ReadSlice('\n')
		if len(p.text)+len(part) > maxBytes {
			return nil, &Error{flaw: FlawSize, detail: fmt.Sprintf("more than %d bytes", maxBytes)}
		}
		p.text = append(p.text, part...)
		switch {
		case err == nil:
			line, ok := bytes.CutSuffix(p.text[begin:], []byte("\r\n"))
			if !ok {
				return nil, &Error{flaw: FlawField, detail: "line feed without carriage return after " + quote(p.text[begin:])}
			}
			return line, nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(p.text) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// maxQuotedBytes bounds the part of a malformed line that an error contains.
const maxQuotedBytes = 80

func quote(line []byte) string { return fmt.Sprintf("%q", line[:min(len(line), maxQuotedBytes)]) }

const (
	versionText = "HTTP/1."
	// statusBegin and statusEnd are the positions of the status in a status line.
	statusBegin = len(versionText) + 2
	statusEnd   = statusBegin + 3
)

// parseStatusLine returns the status of a valid status line.
func parseStatusLine(line []byte) (int, bool) {
	if len(line) < statusEnd || string(line[:len(versionText)]) != versionText || line[statusBegin-1] != ' ' {
		return 0, false
	}
	if minor := line[len(versionText)]; minor != '0' && minor != '1' {
		return 0, false
	}
	status := 0
	for _, digit := range line[statusBegin:statusEnd] {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		status = 10*status + int(digit-'0')
	}
	if reason := line[statusEnd:]; len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return 0, false
	}
	return status, status >= http.StatusContinue && status < 600 && status != http.StatusSwitchingProtocols
}

// parseFieldName returns the name of a valid field line. A line that begins with a blank is not valid:
// it can't be told whether it continues the line before or is a field of its own.
func parseFieldName(line []byte) ([]byte, bool) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || !isText(value) {
		return nil, false
	}
	for _, c := range name {
		if !httpguts.IsTokenRune(rune(c)) {
			return nil, false
		}
	}
	return name, true
}

// isText reports whether a text has no control byte but tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
