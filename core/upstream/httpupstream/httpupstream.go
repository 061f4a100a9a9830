package httpupstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/httpresponse"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/wire"
)

// Do sends the request and returns the head of the response; both bodies are streamed.
// request.Body may be read until Do fails or the response body is closed. Its reads must
// return soon after ctx ends, as Do and the Close of the response body wait for the last
// one.
func (u *Upstream) Do(ctx context.Context, request upstream.Request) (upstream.Response, error) {
	if err := validateRequest(request); err != nil {
		return upstream.Response{}, upstream.NewSendError(outcome.NewNotRun(outcome.ReasonMalformed), err)
	}
	e, err := u.acquire(ctx)
	if err != nil {
		return upstream.Response{}, acquireError(ctx, err)
	}
	if err := e.roundTrip(ctx, u.newHTTPRequest(request, e.conn)); err != nil {
		// The exchange is finished first, so that the count of sent bytes is final.
		e.finish(false)
		return upstream.Response{}, e.sendError(ctx, err)
	}
	header := e.head.Header()
	if reason := header.Get(outcome.HeaderRefused); reason != "" {
		refused := &RefusedError{reason: reason, status: e.head.Status()}
		e.finish(e.readRefusalBody())
		return upstream.Response{}, upstream.NewSendError(outcome.NewNotRun(outcome.ReasonUpstreamRefused), refused)
	}
	response := upstream.Response{Status: e.head.Status(), Headers: endToEndHeaders(header), ContentLength: e.head.ContentLength()}
	if _, ok := e.head.Framing().(httpresponse.NoBody); ok {
		if request.Method != fasthttp.MethodHead {
			response.ContentLength = 0
		}
		e.finish(true)
		response.Body = http.NoBody
		return response, nil
	}
	response.Body = &responseBody{exchange: e, ctx: ctx}
	return response, nil
}

// maxRefusalBytes is the largest body of a refusal that is read so that the connection
// can be reused.
const maxRefusalBytes = 4 << 10

// readRefusalBody reads and drops the body of a refusal. It returns false, and the
// connection can't be reused, if the length is unknown or above maxRefusalBytes or the
// read fails.
func (e *exchange) readRefusalBody() bool {
	if fixed, ok := e.head.Framing().(httpresponse.FixedLength); ok && fixed.Bytes() > maxRefusalBytes {
		return false
	}
	if e.head.ContentLength() < 0 {
		return false
	}
	_, err := io.Copy(io.Discard, e.body)
	return err == nil
}

// RefusedError reports that the upstream refused a request before it ran any part of it.
type RefusedError struct {
	reason string
	status int
}

// Reason returns the value of the upstream's Briarwell-Refused header.
func (e *RefusedError) Reason() string { return e.reason }

// Status returns the HTTP status of the refusal.
func (e *RefusedError) Status() int { return e.status }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream refused the request with status %d: %s", e.status, e.reason)
}

// RequestError reports a request with a field that HTTP does not allow.
type RequestError struct {
	field string
	value string
}

// Field returns the name of the rejected field, such as "header name".
func (e *RequestError) Field() string { return e.field }

func (e *RequestError) Error() string {
	return fmt.Sprintf("request has %s %q, which HTTP does not allow", e.field, e.value)
}

// validateRequest returns a *RequestError if a text would end its line in the request
// head, which would let a caller inject another request.
func validateRequest(request upstream.Request) error {
	if request.Method == "" || !validText(request.Method, " ") {
		return &RequestError{field: "method", value: request.Method}
	}
	if !validText(request.Path, " ") {
		return &RequestError{field: "path", value: request.Path}
	}
	for _, field := range request.Headers {
		if field.Name() == "" || !validText(field.Name(), " :") {
			return &RequestError{field: "header name", value: field.Name()}
		}
		if !validText(field.Value(), "") {
			return &RequestError{field: "header value", value: field.Value()}
		}
	}
	if !validText(request.Key, "") {
		return &RequestError{field: "key", value: request.Key}
	}
	if !validText(request.RequestID, "") {
		return &RequestError{field: "request ID", value: request.RequestID}
	}
	return nil
}

// validText reports whether text contains no control character but tabs. If excluded is
// not "", text must contain neither tabs nor a character of excluded.
func validText(text, excluded string) bool {
	for i := range len(text) {
		if c := text[i]; (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return excluded == "" || !strings.ContainsAny(text, excluded+"\t")
}

func (u *Upstream) newHTTPRequest(request upstream.Request, conn *trackedConn) *fasthttp.Request {
	httpRequest := fasthttp.AcquireRequest()
	header := &httpRequest.Header
	header.SetMethod(request.Method)
	header.SetNoDefaultContentType(true)
	header.SetHost(u.address)
	for _, field := range request.Headers {
		if isEndToEnd(field.Name()) {
			header.Add(field.Name(), field.Value())
		}
	}
	path := request.Path
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	// The path is sent unchanged, so that the upstream sees the caller's escapes.
	header.SetRequestURI(path)
	setBriarwellHeaders(header, request)
	if request.Body != nil && request.ContentLength != 0 {
		httpRequest.SetBodyStream(&requestBody{source: request.Body, conn: conn}, int(request.ContentLength))
	}
	return httpRequest
}

func setBriarwellHeaders(header *fasthttp.RequestHeader, request upstream.Request) {
	if request.Key != "" {
		header.Set(outcome.HeaderKey, request.Key)
		header.Set(outcome.HeaderShard, strconv.FormatUint(uint64(request.Shard), 10))
		header.Set(outcome.HeaderEpoch, strconv.FormatUint(uint64(request.Epoch), 10))
	}
	if request.RequestID != "" {
		header.Set(outcome.HeaderRequestID, request.RequestID)
	}
	if request.DeadlineUnixMillis != 0 {
		remainingMillis := max(request.DeadlineUnixMillis-time.Now().UnixMilli(), 0)
		header.Set(outcome.HeaderDeadline, strconv.FormatInt(request.DeadlineUnixMillis, 10))
		header.Set(outcome.HeaderTimeout, strconv.FormatInt(remainingMillis, 10))
	}
	header.Set(outcome.HeaderAttempts, strconv.Itoa(request.Attempt))
}

// isEndToEnd reports whether a header field is forwarded to the next hop. Fields of the
// connection and of the body framing belong to one hop, and those of briarwell are set
// from the upstream.Request alone.
func isEndToEnd(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "host", "expect":
		return false
	default:
		return !strings.HasPrefix(strings.ToLower(name), "briarwell-")
	}
}

func endToEndHeaders(header http.Header) []upstream.Header {
	fields := make([]upstream.Header, 0, len(header))
	for name, values := range header {
		if !isEndToEnd(name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, upstream.NewHeader(name, value))
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

// Load reads the load report of the upstream.
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

// ControlError reports that sending a grant or reading a load report failed.
type ControlError struct {
	operation string
	status    int
	cause     error
}

// Operation returns "grant" or "load".
func (e *ControlError) Operation() string { return e.operation }

// Status returns the HTTP status, or 0 if there was no response.
func (e *ControlError) Status() int { return e.status }

func (e *ControlError) Error() string {
	return fmt.Sprintf("%s request to upstream failed with status %d: %v", e.operation, e.status, e.cause)
}

func (e *ControlError) Unwrap() error { return e.cause }

// sendControl sends a grant or load request and returns the response body.
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
		cause := fmt.Errorf("response body %q", response.Body())
		return nil, &ControlError{operation: operation, status: status, cause: cause}
	}
	return append([]byte(nil), response.Body()...), nil
}
