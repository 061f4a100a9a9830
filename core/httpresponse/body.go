package httpresponse

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// maxTrailerBytes bounds the trailers of a body in chunks.
const maxTrailerBytes = 4 << 10

// NewBody returns a reader of the body that follows a head. It returns io.EOF only at the end of a
// complete body, but see UntilClose; the trailers are read and dropped. It returns io.ErrUnexpectedEOF
// if the body is cut, and other errors if it is not valid.
func NewBody(r *bufio.Reader, framing Framing) io.Reader {
	switch f := framing.(type) {
	case FixedLength:
		return &fixedBody{reader: r, remaining: f.bytes}
	case Chunked:
		return &chunkedBody{reader: r, chunks: httputil.NewChunkedReader(r)}
	case UntilClose:
		return r
	case NoBody:
		return emptyBody{}
	default:
		return emptyBody{}
	}
}

type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// fixedBody is a body whose length is known.
type fixedBody struct {
	reader    io.Reader
	remaining int64
}

func (b *fixedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	switch {
	case b.remaining == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	default:
		return n, err
	}
}

// chunkedBody is a body in chunks with its trailers.
type chunkedBody struct {
	reader *bufio.Reader
	chunks io.Reader
	// err is the result of the read that ended the body.
	err error
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF { //nolint:errorlint // Other errors may wrap it.
		err = readTrailers(b.reader)
	}
	b.err = err
	return n, err
}

// readTrailers reads the lines after the last chunk. It returns io.EOF if they are valid.
func readTrailers(r *bufio.Reader) error {
	var p parser
	for {
		line, err := p.readLine(r, maxTrailerBytes)
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(line) == 0:
			return io.EOF
		}
		if _, ok := parseFieldName(line); !ok {
			return &Error{flaw: FlawField, detail: "trailer " + quote(line)}
		}
	}
}
