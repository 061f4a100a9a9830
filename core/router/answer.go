package router

import (
	"bytes"
	"errors"
	"io"

	"briarwell.dev/core/dedupe"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
)

// drainBytes is the size of the buffer for the rest of an answer.
const drainBytes = 4096

var (
	// errShortBody says that a body ended before its announced length.
	errShortBody = errors.New("body is shorter than its announced length")
	// errClosed says that a body was read after it was closed.
	errClosed = errors.New("body is closed")
)

// refuse returns the answer to a request without an answer of the upstream.
func (x *exchange) refuse(o outcome.Outcome) *Response {
	response := &Response{Outcome: o, Status: Status(o)}
	x.describe(response)
	return response
}

// describe sets what is known of the owner.
func (x *exchange) describe(response *Response) {
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
	if x.ownsIt {
		response.Stamp = x.held().Stamp()
	}
}

// replay returns the first outcome of a repeated request.
func (x *exchange) replay(record *dedupe.Record) *Response {
	response := x.refuse(record.Outcome)
	response.Status, response.ServedBy = record.Status, x.self.Instance
	if _, ok := record.Outcome.(outcome.Done); !ok {
		return response
	}
	response.Replay = ReplayStatusOnly
	if !record.Whole {
		return response
	}
	response.Replay = ReplayWhole
	response.Headers = append([]upstream.Header(nil), record.Headers...)
	response.ContentLength = int64(len(record.Body))
	if len(record.Body) > 0 {
		response.Body = &replayedBody{Reader: bytes.NewReader(record.Body), owner: x.owner}
	}
	return response
}

// answered starts to stream the upstream's answer.
func (x *exchange) answered() *Response {
	headers := make([]upstream.Header, 0, len(x.answer.Headers)+outcomeHeaders)
	x.answer.Headers = EndToEnd(headers, x.answer.Headers)
	response := &Response{
		Outcome:       outcome.Done{},
		Status:        x.answer.Status,
		Headers:       x.answer.Headers,
		ContentLength: x.answer.ContentLength,
	}
	x.describe(response)
	response.ServedBy = x.self.Instance
	x.remaining = x.answer.ContentLength
	if x.answer.Body == nil {
		x.end(true)
		return response
	}
	response.Body = x
	return response
}

// Read reads the upstream's answer.
func (x *exchange) Read(p []byte) (int, error) {
	if x.ended {
		return 0, x.readError
	}
	n, err := x.answer.Body.Read(p)
	x.keep(p[:n])
	if x.remaining >= 0 {
		x.remaining -= int64(n)
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && x.remaining <= 0 {
		x.readError = io.EOF
		x.end(true)
		x.owner.work.end()
		return n, x.readError
	}
	if errors.Is(err, io.EOF) {
		err = errShortBody
	}
	x.readError = NewTruncatedError(err)
	x.end(false)
	x.owner.work.end()
	return n, x.readError
}

// Close ends the exchange. A small rest of an answer is read to its end if a
// repeat may need it, or if the order would otherwise count as running until
// its deadline and delay a handover.
func (x *exchange) Close() error {
	if (x.recorded || x.counted) && !x.ended {
		x.drain()
	}
	if !x.ended {
		x.readError = NewTruncatedError(errClosed)
		x.end(false)
		x.owner.work.end()
	}
	return nil
}

func (x *exchange) drain() {
	buffer := make([]byte, drainBytes)
	limit := x.owner.ports.Dedupe.AnswerLimit()
	for total := 0; total <= limit && x.remaining <= int64(limit); {
		n, err := x.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

func (x *exchange) keep(part []byte) {
	if !x.recorded || x.tooLarge {
		return
	}
	if len(x.kept)+len(part) > x.owner.ports.Dedupe.AnswerLimit() {
		x.kept, x.tooLarge = nil, true
		return
	}
	x.kept = append(x.kept, part...)
}

// end gives back all that the order holds. The upstream has finished with the
// order if the answer is whole.
func (x *exchange) end(whole bool) {
	x.ended = true
	if x.answer.Body != nil {
		_ = x.answer.Body.Close()
	}
	x.cancel()
	x.measure(outcome.Done{})
	x.slot.Release()
	x.leave(whole)
	if !x.recorded {
		return
	}
	x.owner.ports.Dedupe.Finish(x.owner.ports.Clock.Now(), x.id, dedupe.Record{
		Outcome: outcome.Done{},
		Status:  x.answer.Status,
		Headers: append([]upstream.Header(nil), x.answer.Headers...),
		Body:    x.kept,
		Whole:   whole && !x.tooLarge,
	})
}

// replayedBody is the kept body of a first answer.
type replayedBody struct {
	*bytes.Reader
	owner  *Owner
	closed bool
}

// Close ends the request.
func (b *replayedBody) Close() error {
	if !b.closed {
		b.closed = true
		b.owner.work.end()
	}
	return nil
}
