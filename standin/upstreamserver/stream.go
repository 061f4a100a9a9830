package upstreamserver

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/valyala/fasthttp"

	"briarwell.dev/standin/server"
)

// maxPatternBytes bounds GET /{key}/pattern.
const maxPatternBytes = 64 << 30

// maxReadBytes is the size of one write of a pattern.
const maxReadBytes = 64 << 10

// UploadResult is the body of the answer to a PUT.
type UploadResult struct {
	Bytes  int64  `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// patternPeriod is after how many bytes a Pattern repeats.
const patternPeriod = 251 * 256

// Pattern is an endless stream whose byte at offset i is byte(i*31 + i/251),
// so that a shifted or repeated part shows. The zero value is at offset 0.
type Pattern struct {
	offset int64
	block  []byte
}

// Read fills p.
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

// streamPattern streams a pattern. The order ends with the last byte.
func (s *Server) streamPattern(ctx *fasthttp.RequestCtx, accepted *acceptedRequest) bool {
	length, err := ctx.QueryArgs().GetUint("bytes")
	if err != nil || length > maxPatternBytes {
		server.RespondError(ctx, fasthttp.StatusBadRequest, "bytes: allowed 0 to 68719476736")
		return false
	}
	ctx.SetContentType("application/octet-stream")
	// The chunked form is used on request, as the two ways to end a body early
	// are found out in different ways.
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
		onClose:   func(whole bool) { s.finishRequest(accepted, whole) },
	}, length)
	return true
}

// patternBody is a limited pattern that reports its end.
type patternBody struct {
	remaining io.LimitedReader
	gate      *freezeGate
	onClose   func(whole bool)
	closed    bool
}

// Read reads the next part of at most chunkBytes.
func (b *patternBody) Read(into []byte) (int, error) {
	b.gate.wait()
	return b.remaining.Read(into[:min(len(into), maxReadBytes)])
}

// Close reports whether everything was read.
func (b *patternBody) Close() error {
	if !b.closed {
		b.closed = true
		b.onClose(b.remaining.N == 0)
	}
	return nil
}

// receiveBody reads the request body as a stream. It returns false if the body
// ended early.
func receiveBody(ctx *fasthttp.RequestCtx) (UploadResult, bool) {
	digest := sha256.New()
	var received UploadResult
	if body := ctx.RequestBodyStream(); body != nil {
		copied, err := io.Copy(digest, body)
		declared := int64(ctx.Request.Header.ContentLength())
		if err != nil || (declared >= 0 && copied != declared) {
			respondConnectionClosed(ctx)
			return UploadResult{}, false
		}
		received.Bytes = copied
	}
	received.SHA256 = hex.EncodeToString(digest.Sum(nil))
	return received, true
}
