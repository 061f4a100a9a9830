package upstreamserver

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/valyala/fasthttp"

	"briarwell.dev/standin/server"
)

// maxPatternBytes bounds the response body of GET /{key}/pattern.
const maxPatternBytes = 64 << 30

// maxReadBytes bounds one read of a pattern body that is not chunked, so that a freeze
// takes effect between two reads.
const maxReadBytes = 64 << 10

// UploadResult is the body of the response to a PUT. SHA256 is in hexadecimal digits.
type UploadResult struct {
	Bytes  int64  `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// patternPeriod is the number of bytes after which a Pattern repeats.
const patternPeriod = 251 * 256

// Pattern is an endless reader whose byte at offset i is byte(i*31 + i/251), so that
// shifted or repeated parts of a copy are detected. The zero value is at offset 0.
type Pattern struct {
	offset int64
	block  []byte
}

// Read fills into. It never returns an error.
func (p *Pattern) Read(into []byte) (int, error) {
	if p.block == nil {
		p.block = make([]byte, patternPeriod)
		for i := range p.block {
			p.block[i] = byte(i*31 + i/251)
		}
	}
	for filled := 0; filled < len(into); {
		copied := copy(into[filled:], p.block[p.offset%patternPeriod:])
		filled += copied
		p.offset += int64(copied)
	}
	return len(into), nil
}

// streamPattern responds with a pattern of the requested number of bytes. The request is
// finished when the body has been sent or its connection has failed. It returns false if
// the request is invalid.
func (s *Server) streamPattern(ctx *fasthttp.RequestCtx, accepted *acceptedRequest) bool {
	length, err := ctx.QueryArgs().GetUint("bytes")
	if err != nil || length > maxPatternBytes {
		server.RespondError(ctx, fasthttp.StatusBadRequest, "bytes: allowed 0 to 68719476736")
		return false
	}
	ctx.SetContentType("application/octet-stream")
	// The caller chooses between a chunked body and one with a content length, as clients
	// detect a body that ends early differently for the two encodings.
	if ctx.QueryArgs().GetBool("chunked") {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			written, copyErr := io.CopyN(w, &Pattern{}, int64(length))
			s.finishRequest(accepted, copyErr == nil && written == int64(length))
		})
		return true
	}
	ctx.SetBodyStream(&patternBody{
		remaining: io.LimitedReader{R: &Pattern{}, N: int64(length)},
		gate:      &s.gate,
		onClose:   func(complete bool) { s.finishRequest(accepted, complete) },
	}, length)
	return true
}

// patternBody is a pattern of limited length. When it is closed, it calls onClose with
// whether all of it was read.
type patternBody struct {
	remaining io.LimitedReader
	gate      *freezeGate
	onClose   func(complete bool)
	closed    bool
}

// Read reads at most maxReadBytes. It blocks during a freeze.
func (b *patternBody) Read(into []byte) (int, error) {
	b.gate.wait()
	return b.remaining.Read(into[:min(len(into), maxReadBytes)])
}

// Close calls onClose the first time that it is called.
func (b *patternBody) Close() error {
	if !b.closed {
		b.closed = true
		b.onClose(b.remaining.N == 0)
	}
	return nil
}

// receiveBody reads the request body and computes its length and digest. If the body
// ends early, it responds with an error and returns false.
func receiveBody(ctx *fasthttp.RequestCtx) (UploadResult, bool) {
	digest := sha256.New()
	var received UploadResult
	if body := ctx.RequestBodyStream(); body != nil {
		copied, err := io.Copy(digest, body)
		contentLength := int64(ctx.Request.Header.ContentLength())
		if err != nil || (contentLength >= 0 && copied != contentLength) {
			respondConnectionClosed(ctx)
			return UploadResult{}, false
		}
		received.Bytes = copied
	}
	received.SHA256 = hex.EncodeToString(digest.Sum(nil))
	return received, true
}
