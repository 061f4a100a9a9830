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
	"briarwell.dev/core/exchange"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/outcome"
)

// Header fields between daemons.
const (
	headerCallerID = "Briarwell-Caller-Id"
	headerService  = "Briarwell-Service"
	headerOrigin   = "Briarwell-Origin"
	headerRules    = "Briarwell-Rules"
	headerArrived  = "Briarwell-Arrived"
	headerReturn   = "Briarwell-Return-Millis"
	headerLoad     = "Briarwell-Load"
)

// prefix starts the name of each header field between daemons.
const prefix = "Briarwell-"

// maxBody bounds a request's body in bytes.
const maxBody = 8 << 20

// Error reports a request or reply of another daemon that can't be read.
type Error struct {
	field string
	value string
}

// Field returns the header field.
func (e *Error) Field() string { return e.field }

func (e *Error) Error() string { return fmt.Sprintf("field %s has value %q", e.field, e.value) }

// Encode returns the request for the daemon beside an upstream of the service.
func Encode(r *dispatch.Request, service string, rules dispatch.Rules, left clock.Millis) exchange.Request {
	header := make(http.Header, len(r.Header)+8)
	for name, values := range r.Header {
		header[name] = values
	}
	header.Set(headerCallerID, r.ID)
	header.Set(headerService, service)
	header.Set(headerOrigin, r.Origin)
	header.Set(outcome.HeaderTimeout, strconv.FormatInt(int64(max(left, 1)), 10))
	if r.Keyed {
		header.Set(outcome.HeaderKey, strconv.Itoa(int(r.Key)))
	}
	header.Set(headerRules, fmt.Sprintf("%t,%t,%t,%d,%d,%s", rules.Idempotent, r.Nested, rules.Large, rules.Rank, rules.Wanted, rules.Class))
	return exchange.Request{Method: r.Method, Target: r.Target, Host: r.Host, Header: header, Body: r.Body}
}

// Decode reads a request received at now. The error is an *Error or one of
// reading the body.
func Decode(r *http.Request, now clock.Millis) (*dispatch.Request, string, dispatch.Rules, error) {
	var rules dispatch.Rules
	d := &dispatch.Request{
		ID: r.Header.Get(headerCallerID), Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Origin: r.Header.Get(headerOrigin), Arrived: now, Header: make(http.Header, len(r.Header)),
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
	text := r.Header.Get(headerRules)
	if _, err := fmt.Sscanf(text, "%t,%t,%t,%d,%d,", &rules.Idempotent, &d.Nested, &rules.Large, &rules.Rank, &rules.Wanted); err != nil {
		return nil, "", rules, &Error{field: headerRules, value: text}
	}
	rules.Class = text[strings.LastIndexByte(text, ',')+1:]
	for name, values := range r.Header {
		if !strings.HasPrefix(name, prefix) && name != "Content-Length" {
			d.Header[name] = values
		}
	}
	d.Body, err = io.ReadAll(io.LimitReader(r.Body, maxBody))
	return d, r.Header.Get(headerService), rules, err
}

// Answer writes a reply, its body by the reply's schedule.
func Answer(w http.ResponseWriter, reply dispatch.Reply, c clock.Clock) {
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
	header.Set(headerArrived, strconv.FormatBool(reply.Arrived))
	header.Set(headerReturn, strconv.FormatInt(int64(reply.RetryAfter), 10))
	l := reply.Load
	header.Set(headerLoad, fmt.Sprintf("%d,%d,%d,%d,%d,%d,%d,%d", l.Running, l.Waiting, l.Slots, l.Service, l.ClassService, l.Demand, l.LinkMbps, l.LinkWait))
	header.Set("Content-Length", strconv.Itoa(len(reply.Response.Body)))
	w.WriteHeader(status)
	send(w, reply.Response.Body, reply.Schedule, c)
}

// send writes a body in pieces, so that other answers get between them.
func send(w http.ResponseWriter, body []byte, schedule balance.Schedule, c clock.Clock) {
	flusher, _ := w.(http.Flusher)
	piece := schedule.Piece()
	for sent := 0; sent < len(body); sent += piece {
		if wait := schedule.Due(c.Now(), sent); wait > 0 {
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
func DecodeReply(answer exchange.Answer) dispatch.Reply {
	header := answer.Header
	reason := outcome.Reason(header.Get(outcome.HeaderReason))
	var reply dispatch.Reply
	switch header.Get(outcome.HeaderOutcome) {
	case outcome.Done{}.String():
		reply = dispatch.Served(dispatch.Response{Status: answer.Status, Header: strip(header), Body: answer.Body})
	case outcome.NotRun{}.String():
		reply = dispatch.NotRun(reason)
	case outcome.Unknown{}.String():
		reply = dispatch.Unknown(reason)
	default:
		return dispatch.Unknown(outcome.ReasonConnectionLost)
	}
	reply.Arrived = header.Get(headerArrived) == "true"
	if after, err := strconv.ParseInt(header.Get(headerReturn), 10, 64); err == nil {
		reply.RetryAfter = clock.Millis(after)
	}
	l := balance.Load{}
	_, err := fmt.Sscanf(header.Get(headerLoad), "%d,%d,%d,%d,%d,%d,%d,%d",
		&l.Running, &l.Waiting, &l.Slots, &l.Service, &l.ClassService, &l.Demand, &l.LinkMbps, &l.LinkWait)
	if err == nil {
		reply.Load, reply.HasLoad = l, true
	}
	return reply
}

func strip(header http.Header) http.Header {
	out := make(http.Header, len(header))
	for name, values := range header {
		if !strings.HasPrefix(name, prefix) && name != "Date" {
			out[name] = values
		}
	}
	return out
}
