package httpupstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/wire"
)

// Do sends the order and returns the head of the answer; the bodies of both are
// streamed. Until Do fails or the answer's body is closed, order.Body is read;
// its reads must end soon after ctx does, as Do and Close wait for the last one.
func (u *Upstream) Do(ctx context.Context, order upstream.Request) (upstream.Response, error) {
	if err := validateRequest(order); err != nil {
		return upstream.Response{}, upstream.NewSendError(outcome.NewNotRun(outcome.ReasonMalformed), err)
	}
	e, err := u.acquire(ctx)
	if err != nil {
		return upstream.Response{}, acquireError(ctx, err)
	}
	if err := e.roundTrip(ctx, u.newHTTPRequest(order, e.conn)); err != nil {
		// The order is stopped first: what is counted as sent is then final.
		e.finish(false)
		return upstream.Response{}, e.sendError(ctx, err)
	}
	if reason := e.response.Header.Peek(outcome.HeaderRefused); len(reason) > 0 {
		refused := &RefusedError{reason: string(reason), status: e.response.StatusCode()}
		e.finish(e.readRefusalBody())
		return upstream.Response{}, upstream.NewSendError(outcome.NewNotRun(outcome.ReasonUpstreamRefused), refused)
	}
	answer := upstream.Response{
		Status:        e.response.StatusCode(),
		Headers:       endToEndHeaders(&e.response.Header),
		ContentLength: max(int64(e.response.Header.ContentLength()), -1),
	}
	if e.response.BodyStream() == nil {
		if order.Method != fasthttp.MethodHead {
			answer.ContentLength = 0
		}
		e.finish(true)
		answer.Body = http.NoBody
		return answer, nil
	}
	answer.Body = &responseBody{exchange: e, ctx: ctx}
	return answer, nil
}

// maxRefusalBytes bounds the body of a refusal that is read so that the
// connection can be used again.
const maxRefusalBytes = 4 << 10

// readRefusalBody reads the body of a refusal. It returns false if that is too long.
func (e *exchange) readRefusalBody() bool {
	stream := e.response.BodyStream()
	if stream == nil {
		return true
	}
	length := e.response.Header.ContentLength()
	if length < 0 || length > maxRefusalBytes {
		return false
	}
	buffer := make([]byte, length)
	for read := 0; read < length; {
		n, err := stream.Read(buffer[read:])
		read += n
		if err != nil && read < length {
			return false
		}
	}
	return true
}

// RefusedError reports that the upstream refused an order before running any
// part of it.
type RefusedError struct {
	reason string
	status int
}

// Reason returns the value of the upstream's Briarwell-Refused header.
func (e *RefusedError) Reason() string { return e.reason }

// Status returns the HTTP status of the refusal.
func (e *RefusedError) Status() int { return e.status }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream refused with status %d: %s", e.status, e.reason)
}

// RequestError reports an order that can't be written as an HTTP request.
type RequestError struct {
	field string
	value string
}

// Field returns the name of the rejected field.
func (e *RequestError) Field() string { return e.field }

func (e *RequestError) Error() string {
	return fmt.Sprintf("order has %s %q, which HTTP doesn't allow", e.field, e.value)
}

// validateRequest rejects texts that would end their line in the request's head, and so
// start another request.
func validateRequest(order upstream.Request) error {
	if order.Method == "" || !validText(order.Method, " ") {
		return &RequestError{field: "method", value: order.Method}
	}
	if !validText(order.Path, " ") {
		return &RequestError{field: "path", value: order.Path}
	}
	for _, field := range order.Headers {
		if field.Name() == "" || !validText(field.Name(), " :") {
			return &RequestError{field: "header name", value: field.Name()}
		}
		if !validText(field.Value(), "") {
			return &RequestError{field: "header value", value: field.Value()}
		}
	}
	if !validText(order.Key, "") {
		return &RequestError{field: "key", value: order.Key}
	}
	if !validText(order.RequestID, "") {
		return &RequestError{field: "request ID", value: order.RequestID}
	}
	return nil
}

// validText tells whether text has no control character but tabs, and none of
// the excluded characters.
func validText(text, excluded string) bool {
	for i := range len(text) {
		if c := text[i]; (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return excluded == "" || !strings.ContainsAny(text, excluded+"\t")
}

func (u *Upstream) newHTTPRequest(order upstream.Request, conn *trackedConn) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	header := &request.Header
	header.SetMethod(order.Method)
	header.SetNoDefaultContentType(true)
	header.SetHost(u.address)
	for _, field := range order.Headers {
		if isEndToEnd(field.Name()) {
			header.Add(field.Name(), field.Value())
		}
	}
	path := order.Path
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	// The path is sent as it came: the upstream sees the caller's own escapes.
	header.SetRequestURI(path)
	setBriarwellHeaders(header, order)
	if order.Body != nil && order.ContentLength != 0 {
		request.SetBodyStream(&requestBody{source: order.Body, conn: conn}, int(order.ContentLength))
	}
	return request
}

func setBriarwellHeaders(header *fasthttp.RequestHeader, order upstream.Request) {
	if order.Key != "" {
		header.Set(outcome.HeaderKey, order.Key)
		header.Set(outcome.HeaderShard, strconv.FormatUint(uint64(order.Shard), 10))
		header.Set(outcome.HeaderEpoch, strconv.FormatUint(uint64(order.Epoch), 10))
	}
	if order.RequestID != "" {
		header.Set(outcome.HeaderRequestID, order.RequestID)
	}
	if order.DeadlineUnixMillis != 0 {
		left := max(order.DeadlineUnixMillis-time.Now().UnixMilli(), 0)
		header.Set(outcome.HeaderDeadline, strconv.FormatInt(order.DeadlineUnixMillis, 10))
		header.Set(outcome.HeaderTimeout, strconv.FormatInt(left, 10))
	}
	header.Set(outcome.HeaderAttempts, strconv.Itoa(order.Attempt))
}

// isEndToEnd tells whether a header field of one hop goes on to the next. The
// fields of the connection and of the body's framing belong to one hop, and
// those of briarwell are set from the order alone.
func isEndToEnd(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "host", "expect":
		return false
	default:
		return !strings.HasPrefix(strings.ToLower(name), "briarwell-")
	}
}

func endToEndHeaders(header *fasthttp.ResponseHeader) []upstream.Header {
	var fields []upstream.Header
	for name, value := range header.All() {
		if isEndToEnd(string(name)) {
			fields = append(fields, upstream.NewHeader(string(name), string(value)))
		}
	}
	return fields
}

// Grant replaces the grants of one service.
func (u *Upstream) Grant(ctx context.Context, grant upstream.Grant) error {
	message := wire.Grant{
		Organisation:      grant.Service.Organisation(),
		Service:           grant.Service.Name(),
		Shards:            make([]wire.GrantedShard, 0, len(grant.Shards)),
		ExpiresUnixMillis: grant.ExpiresUnixMillis,
	}
	for _, granted := range grant.Shards {
		message.Shards = append(message.Shards, wire.GrantedShard{Shard: granted.Shard, HotKey: granted.HotKey, Epoch: granted.Epoch})
	}
	body, err := json.Marshal(message)
	if err != nil {
		return &ControlError{operation: "grant", cause: err}
	}
	_, err = u.sendControl(ctx, "grant", fasthttp.MethodPost, wire.PathGrants, body)
	return err
}

// Load reads the upstream's own load report.
func (u *Upstream) Load(ctx context.Context) (upstream.Load, error) {
	body, err := u.sendControl(ctx, "load", fasthttp.MethodGet, wire.PathLoad, nil)
	if err != nil {
		return upstream.Load{}, err
	}
	var report wire.Load
	if err := json.Unmarshal(body, &report); err != nil {
		return upstream.Load{}, &ControlError{operation: "load", cause: err}
	}
	return upstream.Load{InFlight: report.InFlight, Slots: report.Slots, Draining: report.Draining}, nil
}

// ControlError reports a failed grant or load report.
type ControlError struct {
	operation string
	status    int
	cause     error
}

// Operation returns grant or load.
func (e *ControlError) Operation() string { return e.operation }

// Status returns the HTTP status, 0 if there was no answer.
func (e *ControlError) Status() int { return e.status }

func (e *ControlError) Error() string {
	return fmt.Sprintf("%s at upstream failed with status %d: %v", e.operation, e.status, e.cause)
}

// Unwrap returns the cause.
func (e *ControlError) Unwrap() error { return e.cause }

func (u *Upstream) sendControl(ctx context.Context, operation, method, path string, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &ControlError{operation: operation, cause: err}
	}
	deadline := time.Now().Add(controlTimeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + u.address + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	if err := u.controlClient.DoDeadline(request, response, deadline); err != nil {
		return nil, &ControlError{operation: operation, cause: err}
	}
	if status := response.StatusCode(); status < 200 || status > 299 {
		cause := fmt.Errorf("answer %q", response.Body())
		return nil, &ControlError{operation: operation, status: status, cause: cause}
	}
	return append([]byte(nil), response.Body()...), nil
}
