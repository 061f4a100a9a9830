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

// chunkBytes is the size of one write of a pattern.
const chunkBytes = 64 << 10

// Received is the body of the answer to a PUT.
type Received struct {
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

// sendPattern streams a pattern. The order ends with the last byte.
func (s *Server) sendPattern(ctx *fasthttp.RequestCtx, accepted *order) bool {
	length, err := ctx.QueryArgs().GetUint("bytes")
	if err != nil || length > maxPatternBytes {
		server.Fail(ctx, fasthttp.StatusBadRequest, "bytes: allowed 0 to 68719476736")
		return false
	}
	ctx.SetContentType("application/octet-stream")
	// The chunked form is used on request, as the two ways to end a body early
	// are found out in different ways.
	if ctx.QueryArgs().GetBool("chunked") {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			written, copyErr := io.CopyN(w, &Pattern{}, int64(length))
			s.finish(accepted, copyErr == nil && written == int64(length))
		})
		return true
	}
	ctx.SetBodyStream(&patternBody{
		limited: io.LimitedReader{R: &Pattern{}, N: int64(length)},
		gate:    &s.gate,
		done:    func(whole bool) { s.finish(accepted, whole) },
	}, length)
	return true
}

// patternBody is a limited pattern that reports its end.
type patternBody struct {
	limited io.LimitedReader
	gate    *gate
	done    func(whole bool)
	closed  bool
}

// Read reads the next part of at most chunkBytes.
func (b *patternBody) Read(into []byte) (int, error) {
	b.gate.wait()
	return b.limited.Read(into[:min(len(into), chunkBytes)])
}

// Close reports whether everything was read.
func (b *patternBody) Close() error {
	if !b.closed {
		b.closed = true
		b.done(b.limited.N == 0)
	}
	return nil
}

// receiveBody reads the request body as a stream. It returns false if the body
// ended early.
func receiveBody(ctx *fasthttp.RequestCtx) (Received, bool) {
	digest := sha256.New()
	var received Received
	if body := ctx.RequestBodyStream(); body != nil {
		copied, err := io.Copy(digest, body)
		declared := int64(ctx.Request.Header.ContentLength())
		if err != nil || (declared >= 0 && copied != declared) {
			abandon(ctx)
			return Received{}, false
		}
		received.Bytes = copied
	}
	received.SHA256 = hex.EncodeToString(digest.Sum(nil))
	return received, true
}
