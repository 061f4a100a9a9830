// Package peerhttp encodes requests and replies between daemons as HTTP/1.1 messages: the
// caller's request or the upstream's response, with additional header fields.
package peerhttp

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/fairness"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
)

// Header fields that daemons add, beside those of package outcome.
const (
	headerCallerID        = "Briarwell-Caller-Id"
	headerService         = "Briarwell-Service"
	headerOrigin          = "Briarwell-Origin"
	headerPolicy          = "Briarwell-Rules"
	headerReachedUpstream = "Briarwell-Arrived"
	headerCallerRetry     = "Briarwell-Caller-Retry"
	headerDemand          = "Briarwell-Demand"
	headerRetryAfter      = "Briarwell-Return-Millis"
	headerLoad            = "Briarwell-Load"
)

// headerPrefix is the prefix of all header fields that daemons add.
const headerPrefix = "Briarwell-"

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 20

// minLoadFields is the number of fields of a load that every build sends.
const minLoadFields = 8

// Error reports an invalid header field in the request of another daemon.
type Error struct {
	field string
	value string
}

// Field returns the name of the invalid header field.
func (e *Error) Field() string { return e.field }

func (e *Error) Error() string {
	return fmt.Sprintf("header field %s has invalid value %q", e.field, e.value)
}

// EncodeRequest returns the request to send to a daemon whose upstream is of the service.
// remaining is the time in milliseconds until the deadline.
func EncodeRequest(r *dispatch.Request, service string, policy dispatch.RequestPolicy, remaining clock.Millis) httpclient.Request {
	header := make(http.Header, len(r.Header)+8)
	for name, values := range r.Header {
		header[name] = values
	}
	header.Set(headerCallerID, r.ID)
	header.Set(headerService, service)
	header.Set(headerOrigin, r.OriginService)
	header.Set(outcome.HeaderTimeout, strconv.FormatInt(int64(max(remaining, 1)), 10))
	if r.Keyed {
		header.Set(outcome.HeaderKey, strconv.Itoa(int(r.Key)))
	}
	header.Set(headerPolicy, fmt.Sprintf("%t,%t,%t,%d,%d,%s", policy.Idempotent, r.Nested, policy.LargeResponse, policy.Rank, policy.LatencyBudget, policy.Class))
	if policy.Demand > 1 {
		header.Set(headerDemand, strconv.FormatFloat(policy.Demand, 'f', 2, 64))
	}
	if policy.CallerRetry {
		header.Set(headerCallerRetry, "true")
	}
	return httpclient.Request{
		Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: header, Body: r.Body,
		AwaitContinue:    len(r.Body) >= dispatch.LargeBodyBytes,
		ResponseIDHeader: headerCallerID, ResponseID: r.ID, Memory: r.Memory,
	}
}

// DecodeRequest returns a request received at now without its body, its service and its
// policy. The error is an *Error.
func DecodeRequest(r *http.Request, now clock.Millis) (*dispatch.Request, string, dispatch.RequestPolicy, error) {
	var policy dispatch.RequestPolicy
	request := &dispatch.Request{
		ID: r.Header.Get(headerCallerID), Method: r.Method, RequestURI: r.RequestURI, Host: r.Host,
		OriginService: r.Header.Get(headerOrigin), ReceivedAt: now, Header: make(http.Header, len(r.Header)),
	}
	remaining, err := strconv.ParseInt(r.Header.Get(outcome.HeaderTimeout), 10, 64)
	if err != nil {
		return nil, "", policy, &Error{field: outcome.HeaderTimeout, value: r.Header.Get(outcome.HeaderTimeout)}
	}
	request.Deadline = now + clock.Millis(remaining)
	if text := r.Header.Get(outcome.HeaderKey); text != "" {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return nil, "", policy, &Error{field: outcome.HeaderKey, value: text}
		}
		request.Key, request.Keyed = keyspace.Key(key), true
	}
	text := r.Header.Get(headerPolicy)
	if _, err := fmt.Sscanf(text, "%t,%t,%t,%d,%d,", &policy.Idempotent, &request.Nested, &policy.LargeResponse, &policy.Rank, &policy.LatencyBudget); err != nil {
		return nil, "", policy, &Error{field: headerPolicy, value: text}
	}
	if demand, err := strconv.ParseFloat(r.Header.Get(headerDemand), 64); err == nil && demand > 1 {
		policy.Demand = min(demand, fairness.MaxDemand)
	}
	policy.CallerRetry = r.Header.Get(headerCallerRetry) == "true"
	policy.Class = text[strings.LastIndexByte(text, ',')+1:]
	for name, values := range r.Header {
		if !strings.HasPrefix(name, headerPrefix) && name != "Content-Length" {
			request.Header[name] = values
		}
	}
	return request, r.Header.Get(headerService), policy, nil
}

// ReadBody reads the body of a request at the times that the schedule defines. The error is
// that of memory.Account.ReadAll.
func ReadBody(r *http.Request, request *dispatch.Request, schedule balance.Schedule, c clock.Clock) error {
	body, err := request.Memory.ReadAll(&pacedReader{reader: r.Body, schedule: schedule, clock: c}, r.ContentLength, maxBodyBytes)
	request.Body = body
	return err
}

// pacedReader reads no part of a body before the time that the schedule defines.
type pacedReader struct {
	reader   io.Reader
	schedule balance.Schedule
	clock    clock.Clock
	read     int
}

func (p *pacedReader) Read(buffer []byte) (int, error) {
	if wait := p.schedule.Delay(p.clock.Now(), p.read); wait > 0 {
		time.Sleep(wait.Duration())
	}
	n, err := p.reader.Read(buffer[:min(len(buffer), p.schedule.ChunkBytes())])
	p.read += n
	return n, err
}

// WriteReply writes the reply to the request with the ID, with its body paced by the
// reply's schedule.
func WriteReply(w http.ResponseWriter, id string, reply dispatch.Reply, c clock.Clock) {
	header := w.Header()
	header.Set(headerCallerID, id)
	status := http.StatusOK
	if _, done := reply.Outcome.(outcome.Done); done {
		status = reply.Response.Status
		for name, values := range reply.Response.Header {
			if name != "Connection" && name != "Keep-Alive" && name != "Transfer-Encoding" {
				header[name] = values
			}
		}
		if _, ok := header["Content-Type"]; !ok {
			// A nil value keeps the server from detecting a content type.
			header["Content-Type"] = nil
		}
	}
	header.Set(outcome.HeaderOutcome, reply.Outcome.String())
	header.Set(outcome.HeaderReason, string(outcome.ReasonOf(reply.Outcome)))
	header.Set(headerReachedUpstream, strconv.FormatBool(reply.ReachedUpstream))
	header.Set(headerRetryAfter, strconv.FormatInt(int64(reply.RetryAfter), 10))
	load := reply.Load
	header.Set(headerLoad, fmt.Sprintf("%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d", load.Running, load.Waiting, load.Slots, load.ServiceTime, load.ClassServiceTime, load.DemandPercent,
		load.LinkMbps, load.LinkBacklog, load.InboundBacklog, load.FailurePercent, load.Capacity, load.ColdRate, load.ColdFor))
	header.Set("Content-Length", strconv.Itoa(len(reply.Response.Body)))
	w.WriteHeader(status)
	writeBody(w, reply.Response.Body, reply.Schedule, c)
}

// writeBody writes a body in chunks, so that other responses are sent between them.
func writeBody(w http.ResponseWriter, body []byte, schedule balance.Schedule, c clock.Clock) {
	flusher, _ := w.(http.Flusher)
	chunkBytes := schedule.ChunkBytes()
	for sentBytes := 0; sentBytes < len(body); sentBytes += chunkBytes {
		if wait := schedule.Delay(c.Now(), sentBytes); wait > 0 {
			time.Sleep(wait.Duration())
		}
		if _, err := w.Write(body[sentBytes:min(sentBytes+chunkBytes, len(body))]); err != nil {
			return // The other daemon has closed the connection.
		}
		if flusher != nil && len(body) > chunkBytes {
			flusher.Flush()
		}
	}
}

// DecodeReply returns the reply in a response. A response that was not written by a daemon
// has an unknown outcome.
func DecodeReply(response httpclient.Response) dispatch.Reply {
	header := response.Header
	reason := outcome.Reason(header.Get(outcome.HeaderReason))
	var reply dispatch.Reply
	switch header.Get(outcome.HeaderOutcome) {
	case outcome.Done{}.String():
		reply = dispatch.Done(dispatch.Response{Status: response.Status, Header: withoutDaemonFields(header), Body: response.Body})
	case outcome.NotRun{}.String():
		reply = dispatch.NotRun(reason)
	case outcome.Unknown{}.String():
		reply = dispatch.Unknown(reason)
	default:
		return dispatch.Unknown(outcome.ReasonConnectionLost)
	}
	reply.ReachedUpstream = header.Get(headerReachedUpstream) == "true"
	if after, err := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64); err == nil {
		reply.RetryAfter = clock.Millis(after)
	}
	load := balance.Load{}
	n, _ := fmt.Sscanf(header.Get(headerLoad), "%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d", &load.Running, &load.Waiting, &load.Slots,
		&load.ServiceTime, &load.ClassServiceTime, &load.DemandPercent, &load.LinkMbps, &load.LinkBacklog, &load.InboundBacklog, &load.FailurePercent,
		&load.Capacity, &load.ColdRate, &load.ColdFor)
	if n >= minLoadFields {
		reply.Load, reply.HasLoad = load, true
	}
	return reply
}

// withoutDaemonFields returns the header without the fields that daemons add, and without
// the Date of the daemon.
func withoutDaemonFields(header http.Header) http.Header {
	filtered := make(http.Header, len(header))
	for name, values := range header {
		if !strings.HasPrefix(name, headerPrefix) && name != "Date" {
			filtered[name] = values
		}
	}
	return filtered
}
