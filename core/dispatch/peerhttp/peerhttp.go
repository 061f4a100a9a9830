// Package peerhttp carries requests between daemons over HTTP/1.1: the caller's
// request as it came, with what the receiver must know in header fields.
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
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
)

// Header fields between daemons.
const (
	headerCallerID        = "Briarwell-Caller-Id"
	headerService         = "Briarwell-Service"
	headerOrigin          = "Briarwell-Origin"
	headerPolicy          = "Briarwell-Rules"
	headerReachedUpstream = "Briarwell-Arrived"
	headerRetryAfter      = "Briarwell-Return-Millis"
	headerLoad            = "Briarwell-Load"
)

// headerPrefix starts the name of each header field between daemons.
const headerPrefix = "Briarwell-"

// maxBodyBytes bounds a request's body in bytes.
const maxBodyBytes = 8 << 20

// Error reports a request or reply of another daemon that can't be read.
type Error struct {
	field string
	value string
}

// Field returns the header field.
func (e *Error) Field() string { return e.field }

func (e *Error) Error() string { return fmt.Sprintf("field %s has value %q", e.field, e.value) }

// EncodeRequest returns the request for the daemon beside an upstream of the service.
func EncodeRequest(r *dispatch.Request, service string, rules dispatch.RequestPolicy, left clock.Millis) httpclient.Request {
	header := make(http.Header, len(r.Header)+8)
	for name, values := range r.Header {
		header[name] = values
	}
	header.Set(headerCallerID, r.ID)
	header.Set(headerService, service)
	header.Set(headerOrigin, r.OriginService)
	header.Set(outcome.HeaderTimeout, strconv.FormatInt(int64(max(left, 1)), 10))
	if r.Keyed {
		header.Set(outcome.HeaderKey, strconv.Itoa(int(r.Key)))
	}
	header.Set(headerPolicy, fmt.Sprintf("%t,%t,%t,%d,%d,%s", rules.Idempotent, r.Nested, rules.LargeResponse, rules.Rank, rules.LatencyBudget, rules.Class))
	return httpclient.Request{Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: header, Body: r.Body}
}

// DecodeRequest reads a request received at now. The error is an *Error or one of
// reading the body.
func DecodeRequest(r *http.Request, now clock.Millis) (*dispatch.Request, string, dispatch.RequestPolicy, error) {
	var rules dispatch.RequestPolicy
	d := &dispatch.Request{
		ID: r.Header.Get(headerCallerID), Method: r.Method, RequestURI: r.RequestURI, Host: r.Host,
		OriginService: r.Header.Get(headerOrigin), ReceivedAt: now, Header: make(http.Header, len(r.Header)),
	}
	left, err := strconv.ParseInt(r.Header.Get(outcome.HeaderTimeout), 10, 64)
	if err != nil {
		return nil, "", rules, &Error{field: outcome.HeaderTimeout, value: r.Header.Get(outcome.HeaderTimeout)}
	}
	d.Deadline = now + clock.Millis(left)
	if text := r.Header.Get(outcome.HeaderKey); text != "" {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return nil, "", rules, &Error{field: outcome.HeaderKey, value: text}
		}
		d.Key, d.Keyed = keyspace.Key(key), true
	}
	text := r.Header.Get(headerPolicy)
	if _, err := fmt.Sscanf(text, "%t,%t,%t,%d,%d,", &rules.Idempotent, &d.Nested, &rules.LargeResponse, &rules.Rank, &rules.LatencyBudget); err != nil {
		return nil, "", rules, &Error{field: headerPolicy, value: text}
	}
	rules.Class = text[strings.LastIndexByte(text, ',')+1:]
	for name, values := range r.Header {
		if !strings.HasPrefix(name, headerPrefix) && name != "Content-Length" {
			d.Header[name] = values
		}
	}
	d.Body, err = io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	return d, r.Header.Get(headerService), rules, err
}

// WriteReply writes a reply, its body by the reply's schedule.
func WriteReply(w http.ResponseWriter, reply dispatch.Reply, c clock.Clock) {
	header := w.Header()
	status := http.StatusOK
	if _, done := reply.Outcome.(outcome.Done); done {
		status = reply.Response.Status
		for name, values := range reply.Response.Header {
			if name != "Connection" && name != "Keep-Alive" && name != "Transfer-Encoding" {
				header[name] = values
			}
		}
		if _, ok := header["Content-Type"]; !ok {
			// A nil value keeps the server from guessing one.
			header["Content-Type"] = nil
		}
	}
	header.Set(outcome.HeaderOutcome, reply.Outcome.String())
	header.Set(outcome.HeaderReason, string(outcome.ReasonOf(reply.Outcome)))
	header.Set(headerReachedUpstream, strconv.FormatBool(reply.ReachedUpstream))
	header.Set(headerRetryAfter, strconv.FormatInt(int64(reply.RetryAfter), 10))
	l := reply.Load
	header.Set(headerLoad, fmt.Sprintf("%d,%d,%d,%d,%d,%d,%d,%d", l.Running, l.Waiting, l.Slots, l.ServiceTime, l.ClassServiceTime, l.DemandPercent, l.LinkMbps, l.LinkBacklog))
	header.Set("Content-Length", strconv.Itoa(len(reply.Response.Body)))
	w.WriteHeader(status)
	writeBody(w, reply.Response.Body, reply.Schedule, c)
}

// writeBody writes a body in pieces, so that other answers get between them.
func writeBody(w http.ResponseWriter, body []byte, schedule balance.Schedule, c clock.Clock) {
	flusher, _ := w.(http.Flusher)
	piece := schedule.ChunkBytes()
	for sent := 0; sent < len(body); sent += piece {
		if wait := schedule.Delay(c.Now(), sent); wait > 0 {
			time.Sleep(wait.Duration())
		}
		if _, err := w.Write(body[sent:min(sent+piece, len(body))]); err != nil {
			return // The other daemon has given up.
		}
		if flusher != nil && len(body) > piece {
			flusher.Flush()
		}
	}
}

// DecodeReply reads a reply. An answer that no daemon wrote makes an unknown
// outcome.
func DecodeReply(answer httpclient.Response) dispatch.Reply {
	header := answer.Header
	reason := outcome.Reason(header.Get(outcome.HeaderReason))
	var reply dispatch.Reply
	switch header.Get(outcome.HeaderOutcome) {
	case outcome.Done{}.String():
		reply = dispatch.Done(dispatch.Response{Status: answer.Status, Header: withoutDaemonFields(header), Body: answer.Body})
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
	l := balance.Load{}
	_, err := fmt.Sscanf(header.Get(headerLoad), "%d,%d,%d,%d,%d,%d,%d,%d",
		&l.Running, &l.Waiting, &l.Slots, &l.ServiceTime, &l.ClassServiceTime, &l.DemandPercent, &l.LinkMbps, &l.LinkBacklog)
	if err == nil {
		reply.Load, reply.HasLoad = l, true
	}
	return reply
}

func withoutDaemonFields(header http.Header) http.Header {
	out := make(http.Header, len(header))
	for name, values := range header {
		if !strings.HasPrefix(name, headerPrefix) && name != "Date" {
			out[name] = values
		}
	}
	return out
}
