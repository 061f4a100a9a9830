package router

import (
	"bytes"
	"errors"
	"io"

	"briarwell.dev/core/dedupe"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
)

// readBufferBytes is the size of the buffer for reading the rest of a response body.
const readBufferBytes = 4096

var (
	// errShortBody reports that a body ended before its content length.
	errShortBody = errors.New("body is shorter than its announced length")
	// errBodyClosed is returned by Read after Close.
	errBodyClosed = errors.New("body is closed")
)

// refuse returns a response with the given outcome and without a body.
func (r *ownerRequest) refuse(o outcome.Outcome) *Response {
	response := &Response{Outcome: o, Status: HTTPStatus(o)}
	r.setOwner(response)
	return response
}

// setOwner sets the shard of the request, and its owner if that is known. The stamp is set
// only if this daemon is the owner.
func (r *ownerRequest) setOwner(response *Response) {
	if !r.rules.IsKeyed() {
		return
	}
	response.Keyed, response.Shard = true, r.request.Shard
	if !r.ownerKnown {
		return
	}
	response.Epoch = r.ownership.Epoch
	response.OwnerHTTP = r.ownership.Owner.HTTPAddress
	response.OwnerPeer = r.ownership.Owner.PeerAddress
	if r.isOwner {
		response.Stamp = r.ownershipAge().Stamp()
	}
}

// replay returns the response to a repeat of a request whose outcome is recorded.
func (r *ownerRequest) replay(record *dedupe.Record) *Response {
	response := r.refuse(record.Outcome)
	response.Status, response.ServedBy = record.Status, r.self.Instance
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
		response.Body = &replayedBody{Reader: bytes.NewReader(record.Body), handler: r.handler}
	}
	return response
}

// streamResponse returns the upstream's response, whose body is streamed by Read.
func (r *ownerRequest) streamResponse() *Response {
	headers := make([]upstream.Header, 0, len(r.response.Headers)+maxOutcomeHeaders)
	r.response.Headers = EndToEndHeaders(headers, r.response.Headers)
	response := &Response{
		Outcome:       outcome.Done{},
		Status:        r.response.Status,
		Headers:       r.response.Headers,
		ContentLength: r.response.ContentLength,
	}
	r.setOwner(response)
	response.ServedBy = r.self.Instance
	r.remainingBytes = r.response.ContentLength
	if r.response.Body == nil {
		r.finish(true)
		return response
	}
	response.Body = r
	return response
}

// Read reads the body of the upstream's response, and records it if needed.
func (r *ownerRequest) Read(p []byte) (int, error) {
	if r.ended {
		return 0, r.readError
	}
	n, err := r.response.Body.Read(p)
	r.recordBody(p[:n])
	if r.remainingBytes >= 0 {
		r.remainingBytes -= int64(n)
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && r.remainingBytes <= 0 {
		r.readError = io.EOF
		r.finish(true)
		r.handler.requests.end()
		return n, r.readError
	}
	if errors.Is(err, io.EOF) {
		err = errShortBody
	}
	r.readError = NewTruncatedError(err)
	r.finish(false)
	r.handler.requests.end()
	return n, r.readError
}

// Close ends the request. It reads the rest of a small body to its end if a repeat may need
// the body, or if the request would otherwise count as in flight until its deadline and
// delay a handover.
func (r *ownerRequest) Close() error {
	if (r.mustRecord || r.counted) && !r.ended {
		r.readRemaining()
	}
	if !r.ended {
		r.readError = NewTruncatedError(errBodyClosed)
		r.finish(false)
		r.handler.requests.end()
	}
	return nil
}

// readRemaining reads the body to its end, unless that is longer than the dedupe table
// records.
func (r *ownerRequest) readRemaining() {
	buffer := make([]byte, readBufferBytes)
	limit := r.handler.settings.Dedupe.MaxResponseBytes()
	for total := 0; total <= limit && r.remainingBytes <= int64(limit); {
		n, err := r.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

// recordBody keeps a part of the body for the dedupe table. A body that is too large is
// dropped.
func (r *ownerRequest) recordBody(part []byte) {
	if !r.mustRecord || r.bodyTooLarge {
		return
	}
	if len(r.recordedBody)+len(part) > r.handler.settings.Dedupe.MaxResponseBytes() {
		r.recordedBody, r.bodyTooLarge = nil, true
		return
	}
	r.recordedBody = append(r.recordedBody, part...)
}

// finish releases the slot and records the outcome. If the response is complete, the
// upstream does not act on the request any more.
func (r *ownerRequest) finish(complete bool) {
	r.ended = true
	if r.response.Body != nil {
		_ = r.response.Body.Close()
	}
	r.cancel()
	r.reportUsage(outcome.Done{})
	r.slot.Release()
	r.stopTracking(complete)
	if !r.mustRecord {
		return
	}
	r.handler.settings.Dedupe.Finish(r.handler.settings.Clock.Now(), r.dedupeID, dedupe.Record{
		Outcome:  outcome.Done{},
		Status:   r.response.Status,
		Headers:  append([]upstream.Header(nil), r.response.Headers...),
		Body:     r.recordedBody,
		Complete: complete && !r.bodyTooLarge,
	})
}

// replayedBody is the recorded body of a first response.
type replayedBody struct {
	*bytes.Reader
	handler *OwnerHandler
	closed  bool
}

// Close stops counting the request as in flight.
func (b *replayedBody) Close() error {
	if !b.closed {
		b.closed = true
		b.handler.requests.end()
	}
	return nil
}
