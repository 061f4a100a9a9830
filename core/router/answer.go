package router

import (
	"bytes"
	"errors"
	"io"

	"briarwell.dev/core/dedupe"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
)

// readBufferBytes is the size of the buffer for the rest of an answer.
const readBufferBytes = 4096

var (
	// errShortBody says that a body ended before its announced length.
	errShortBody = errors.New("body is shorter than its announced length")
	// errBodyClosed says that a body was read after it was closed.
	errBodyClosed = errors.New("body is closed")
)

// refuse returns the answer to a request without an answer of the upstream.
func (x *ownerRequest) refuse(o outcome.Outcome) *Response {
	response := &Response{Outcome: o, Status: HTTPStatus(o)}
	x.setOwner(response)
	return response
}

// setOwner sets what is known of the owner.
func (x *ownerRequest) setOwner(response *Response) {
	if !x.rules.IsKeyed() {
		return
	}
	response.Keyed, response.Shard = true, x.request.Shard
	if !x.ownerKnown {
		return
	}
	response.Epoch = x.ownership.Epoch
	response.OwnerHTTP = x.ownership.Owner.HTTPAddress
	response.OwnerPeer = x.ownership.Owner.PeerAddress
	if x.isOwner {
		response.Stamp = x.ownershipAge().Stamp()
	}
}

// replay returns the first outcome of a repeated request.
func (x *ownerRequest) replay(record *dedupe.Record) *Response {
	response := x.refuse(record.Outcome)
	response.Status, response.ServedBy = record.Status, x.self.Instance
	if _, ok := record.Outcome.(outcome.Done); !ok {
		return response
	}
	response.Replay = ReplayStatusOnly
	if !record.Complete {
		return response
	}
	response.Replay = ReplayWhole
	response.Headers = append([]upstream.Header(nil), record.Headers...)
	response.ContentLength = int64(len(record.Body))
	if len(record.Body) > 0 {
		response.Body = &replayedBody{Reader: bytes.NewReader(record.Body), handler: x.handler}
	}
	return response
}

// streamResponse starts to stream the upstream's answer.
func (x *ownerRequest) streamResponse() *Response {
	headers := make([]upstream.Header, 0, len(x.response.Headers)+maxOutcomeHeaders)
	x.response.Headers = EndToEndHeaders(headers, x.response.Headers)
	response := &Response{
		Outcome:       outcome.Done{},
		Status:        x.response.Status,
		Headers:       x.response.Headers,
		ContentLength: x.response.ContentLength,
	}
	x.setOwner(response)
	response.ServedBy = x.self.Instance
	x.remainingBytes = x.response.ContentLength
	if x.response.Body == nil {
		x.finish(true)
		return response
	}
	response.Body = x
	return response
}

// Read reads the upstream's answer.
func (x *ownerRequest) Read(p []byte) (int, error) {
	if x.ended {
		return 0, x.readError
	}
	n, err := x.response.Body.Read(p)
	x.recordBody(p[:n])
	if x.remainingBytes >= 0 {
		x.remainingBytes -= int64(n)
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && x.remainingBytes <= 0 {
		x.readError = io.EOF
		x.finish(true)
		x.handler.requests.end()
		return n, x.readError
	}
	if errors.Is(err, io.EOF) {
		err = errShortBody
	}
	x.readError = NewTruncatedError(err)
	x.finish(false)
	x.handler.requests.end()
	return n, x.readError
}

// Close ends the exchange. A small rest of an answer is read to its end if a
// repeat may need it, or if the order would otherwise count as running until
// its deadline and delay a handover.
func (x *ownerRequest) Close() error {
	if (x.mustRecord || x.counted) && !x.ended {
		x.readRemaining()
	}
	if !x.ended {
		x.readError = NewTruncatedError(errBodyClosed)
		x.finish(false)
		x.handler.requests.end()
	}
	return nil
}

func (x *ownerRequest) readRemaining() {
	buffer := make([]byte, readBufferBytes)
	limit := x.handler.settings.Dedupe.MaxResponseBytes()
	for total := 0; total <= limit && x.remainingBytes <= int64(limit); {
		n, err := x.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

func (x *ownerRequest) recordBody(part []byte) {
	if !x.mustRecord || x.bodyTooLarge {
		return
	}
	if len(x.recordedBody)+len(part) > x.handler.settings.Dedupe.MaxResponseBytes() {
		x.recordedBody, x.bodyTooLarge = nil, true
		return
	}
	x.recordedBody = append(x.recordedBody, part...)
}

// finish gives back all that the order holds. The upstream has finished with the
// order if the answer is whole.
func (x *ownerRequest) finish(whole bool) {
	x.ended = true
	if x.response.Body != nil {
		_ = x.response.Body.Close()
	}
	x.cancel()
	x.reportUsage(outcome.Done{})
	x.slot.Release()
	x.stopTracking(whole)
	if !x.mustRecord {
		return
	}
	x.handler.settings.Dedupe.Finish(x.handler.settings.Clock.Now(), x.dedupeID, dedupe.Record{
		Outcome:  outcome.Done{},
		Status:   x.response.Status,
		Headers:  append([]upstream.Header(nil), x.response.Headers...),
		Body:     x.recordedBody,
		Complete: whole && !x.bodyTooLarge,
	})
}

// replayedBody is the kept body of a first answer.
type replayedBody struct {
	*bytes.Reader
	handler *OwnerHandler
	closed  bool
}

// Close ends the request.
func (b *replayedBody) Close() error {
	if !b.closed {
		b.closed = true
		b.handler.requests.end()
	}
	return nil
}
