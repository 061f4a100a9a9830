// Package peerhttp encodes requests and replies between daemons as HTTP/1.1 messages: the
// caller's request or the upstream's response, with one additional header field.
package peerhttp

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"net/url"
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

// headerMessage is the header field that daemons add to requests and replies. It is one short
// field since bytes between regions are billed by volume. Its values are separated by commas;
// in texts, commas, percent signs and all but visible ASCII characters are percent-encoded.
//
// In a request: ID, service, origin service, remaining time in ms, flags, rank, latency budget in
// ms (empty if 0), key (empty if none), class.
//
// In a reply: responseID of the request's ID; a letter for the outcome, followed by the reason and, unless
// the time is 0, by a colon and the time in ms after which to retry; the fields of balance.Load in
// their order, if the load is known. Fields that are 0 may be empty, and missing at the end.
const headerMessage = "Bw"

// headerPrefix is the prefix of the header fields that are reserved for daemons.
const headerPrefix = "Briarwell-"

// headerForwarded carries a field of a caller or upstream that is named as headerMessage.
const headerForwarded = headerPrefix + headerMessage

// separator separates the values of headerMessage.
const separator = ","

// requestValues is the number of values in a request, replyValues the smallest number of
// values in a reply.
const (
	requestValues = 9
	replyValues   = 2
)

// Flags of a request.
const (
	flagIdempotent = 1 << iota
	flagNested
	flagLargeResponse
	flagKeyed
	flagKeyOmitted
	flagLoadKnown
	flagCallerRetry
	flagsEnd
)

// Letters of outcomes. The lower-case letter of Done and Unknown stands for a request that has
// reached the upstream, that of NotRun for one that has not; the upper-case letters for the
// opposite.
const (
	letterDone    = 'd'
	letterNotRun  = 'n'
	letterUnknown = 'u'
	// letterCase is the difference between the two cases of a letter.
	letterCase = 'a' - 'A'
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 20

// Error reports an invalid header field in the request of another daemon.
type Error struct {
	field string
	value string
}

// Field returns the name of the invalid value.
func (e *Error) Field() string { return e.field }

func (e *Error) Error() string {
	return fmt.Sprintf("%s has invalid value %q", e.field, e.value)
}

// EncodeRequest returns the request to send to a daemon whose upstream is of the service.
// remaining is the time in milliseconds until the deadline.
func EncodeRequest(r *dispatch.Request, service string, policy dispatch.RequestPolicy, remaining clock.Millis) httpclient.Request {
	flags := 0
	for flag, set := range [...]bool{policy.Idempotent, r.Nested, policy.LargeResponse, r.Keyed, r.KeyOmitted, policy.LoadKnown, policy.CallerRetry} {
		if set {
			flags |= 1 << flag
		}
	}
	value := make([]byte, 0, encodedBytes)
	for _, text := range [...]string{r.ID, service, r.OriginService} {
		value = append(appendText(value, text), separator...)
	}
	value = append(strconv.AppendInt(value, int64(max(remaining, 1)), 10), separator...)
	value = append(strconv.AppendInt(value, int64(flags), 10), separator...)
	value = append(appendNumber(value, int64(policy.Rank)), separator...)
	value = append(appendNumber(value, int64(policy.LatencyBudget)), separator...)
	if r.Keyed || r.KeyOmitted {
		value = strconv.AppendUint(value, uint64(r.Key), 10)
	}
	value = appendText(append(value, separator...), policy.Class)
	header := make(http.Header, len(r.Header)+1)
	copyFields(header, r.Header)
	header[headerMessage] = []string{string(value)}
	return httpclient.Request{
		Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: header, Body: r.Body,
		AwaitContinue:    len(r.Body) >= dispatch.LargeBodyBytes,
		ResponseIDHeader: headerMessage, ResponseID: responseID(r.ID), ResponseIDEnd: separator, Memory: r.Memory,
	}
}

// encodedBytes is the usual size in bytes of the added field.
const encodedBytes = 96

// copyFields copies the fields of a caller or upstream to the header of a message between daemons,
// without those that concern one connection.
func copyFields(to, from http.Header) {
	for name, values := range from {
		switch {
		case name == headerMessage:
			to[headerForwarded] = values
		case name == "Connection" || name == "Keep-Alive" || name == "Transfer-Encoding":
		case !strings.HasPrefix(name, headerPrefix):
			to[name] = values
		}
	}
}

// forwardedFields returns the fields of a caller or upstream in a message between daemons.
func forwardedFields(header http.Header) http.Header {
	fields := make(http.Header, len(header))
	for name, values := range header {
		switch {
		case name == headerForwarded:
			fields[headerMessage] = values
		case name != headerMessage && !strings.HasPrefix(name, headerPrefix):
			fields[name] = values
		}
	}
	return fields
}

// responseID returns the short ID by which the reply to a request is recognised, "" for "". A
// connection carries one request at a time, so that 30 bits of a hash tell a late reply from
// the expected one.
func responseID(id string) string {
	if id == "" {
		return ""
	}
	const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // It never fails.
	sum := hash.Sum64()
	sum ^= sum >> 32
	var short [5]byte
	for i := range short {
		short[i] = digits[sum%uint64(len(digits))]
		sum /= uint64(len(digits))
	}
	return string(short[:])
}

// mustEscape reports whether a byte of a text is percent-encoded.
func mustEscape(c byte) bool { return c <= ' ' || c >= 0x7f || c == separator[0] || c == '%' }

// appendText appends a text in which special bytes are percent-encoded.
func appendText(to []byte, text string) []byte {
	const digits = "0123456789ABCDEF"
	for i := range len(text) {
		if c := text[i]; mustEscape(c) {
			to = append(to, '%', digits[c>>4], digits[c&15])
		} else {
			to = append(to, c)
		}
	}
	return to
}

// parseText decodes the result of appendText, and returns false for any other text.
func parseText(text string) (string, bool) {
	for i := range len(text) {
		if text[i] != '%' && mustEscape(text[i]) {
			return "", false
		}
	}
	if !strings.Contains(text, "%") {
		return text, true
	}
	decoded, err := url.PathUnescape(text)
	return decoded, err == nil
}

// appendNumber appends a number, nothing for 0 or a negative one.
func appendNumber(to []byte, n int64) []byte {
	if n <= 0 {
		return to
	}
	return strconv.AppendInt(to, n, 10)
}

// parseNumber decodes a number from 0 to limit, 0 if the text is empty.
func parseNumber(text string, limit int64) (int64, bool) {
	if text == "" {
		return 0, true
	}
	n := int64(0)
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, false
		}
		if n = 10*n + int64(text[i]-'0'); n > limit {
			return 0, false
		}
	}
	return n, true
}

// message returns the value of headerMessage, or false if there is not exactly one.
func message(header http.Header) (string, bool) {
	values := header[headerMessage]
	if len(values) != 1 {
		return "", false
	}
	return values[0], true
}

// DecodeRequest returns a request received at now without its body, its service and its
// policy. The error is an *Error.
func DecodeRequest(r *http.Request, now clock.Millis) (*dispatch.Request, string, dispatch.RequestPolicy, error) {
	text, ok := message(r.Header)
	if !ok {
		return nil, "", dispatch.RequestPolicy{}, &Error{field: headerMessage, value: fmt.Sprint(r.Header[headerMessage])}
	}
	d := requestDecoder{rest: text, left: requestValues}
	request := &dispatch.Request{Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, ReceivedAt: now}
	request.ID = d.text("ID")
	service := d.text("service")
	request.OriginService = d.text("origin service")
	request.Deadline = now + clock.Millis(d.number("remaining time", math.MaxInt32))
	flags := d.number("flags", flagsEnd-1)
	policy := dispatch.RequestPolicy{
		Idempotent: flags&flagIdempotent != 0, LargeResponse: flags&flagLargeResponse != 0,
		Rank: int(d.number("rank", math.MaxInt32)), LatencyBudget: clock.Millis(d.number("latency budget", math.MaxInt32)),
		LoadKnown: flags&flagLoadKnown != 0, CallerRetry: flags&flagCallerRetry != 0,
	}
	request.Nested, request.Keyed, request.KeyOmitted = flags&flagNested != 0, flags&flagKeyed != 0, flags&flagKeyOmitted != 0
	request.Key = keyspace.Key(d.number("key", math.MaxUint16))
	policy.Class = d.text("class")
	if d.err != nil {
		return nil, "", dispatch.RequestPolicy{}, d.err
	}
	request.Header = forwardedFields(r.Header)
	delete(request.Header, "Content-Length")
	return request, service, policy, nil
}

// requestDecoder decodes the values of a request in their order. err is the first failure.
type requestDecoder struct {
	rest string
	left int
	err  *Error
}

// next returns the text of the next value.
func (d *requestDecoder) next(field string) string {
	value, rest, found := strings.Cut(d.rest, separator)
	d.left--
	if found != (d.left > 0) {
		d.fail(field, d.rest)
	}
	d.rest = rest
	return value
}

func (d *requestDecoder) fail(field, value string) {
	if d.err == nil {
		d.err = &Error{field: field, value: value}
	}
}

func (d *requestDecoder) text(field string) string {
	value := d.next(field)
	text, ok := parseText(value)
	if !ok {
		d.fail(field, value)
	}
	return text
}

func (d *requestDecoder) number(field string, limit int64) int64 {
	value := d.next(field)
	n, ok := parseNumber(value, limit)
	if !ok {
		d.fail(field, value)
	}
	return n
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
	status := http.StatusOK
	if _, done := reply.Outcome.(outcome.Done); done {
		status = reply.Response.Status
		copyFields(header, reply.Response.Header)
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps the server from detecting a content type.
		header["Content-Type"] = nil
	}
	// A nil value keeps the server from adding the date, which the other daemon drops.
	header["Date"] = nil
	header[headerMessage] = []string{string(appendReply(make([]byte, 0, encodedBytes), id, reply))}
	header["Content-Length"] = []string{strconv.Itoa(len(reply.Response.Body))}
	w.WriteHeader(status)
	writeBody(w, reply.Response.Body, reply.Schedule, c)
}

// appendReply appends the value of headerMessage for the reply to the request with the ID.
func appendReply(to []byte, id string, reply dispatch.Reply) []byte {
	to = append(append(to, responseID(id)...), separator...)
	letter, reachedUsually := byte(letterUnknown), true
	switch reply.Outcome.(type) {
	case outcome.Done:
		letter = letterDone
	case outcome.NotRun:
		letter, reachedUsually = letterNotRun, false
	}
	if reply.ReachedUpstream != reachedUsually {
		letter -= letterCase
	}
	to = append(append(to, letter), outcome.ReasonOf(reply.Outcome)...)
	if reply.RetryAfter > 0 {
		to = strconv.AppendInt(append(to, ':'), int64(reply.RetryAfter), 10)
	}
	if !reply.HasLoad {
		return to
	}
	// The first field of a load is never empty, as that shows that there is a load.
	to = strconv.AppendInt(append(to, separator...), int64(max(reply.Load.Running, 0)), 10)
	end := len(to)
	numbers := loadNumbers(reply.Load)
	for _, n := range numbers[1:] {
		to = appendNumber(append(to, separator...), n)
		if n > 0 {
			end = len(to)
		}
	}
	return to[:end]
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
	text, ok := message(response.Header)
	values := strings.Split(text, separator)
	if !ok || len(values) < replyValues {
		return dispatch.Unknown(outcome.ReasonConnectionLost)
	}
	reply, ok := parseOutcome(values[1])
	if !ok {
		return dispatch.Unknown(outcome.ReasonConnectionLost)
	}
	if _, done := reply.Outcome.(outcome.Done); done {
		header := forwardedFields(response.Header)
		delete(header, "Date")
		reply.Response = dispatch.Response{Status: response.Status, Header: header, Body: response.Body}
	}
	reply.Load, reply.HasLoad = parseLoad(values[replyValues:])
	return reply
}

// parseOutcome decodes the outcome of a reply with its reason and the time after which to retry.
func parseOutcome(text string) (dispatch.Reply, bool) {
	if text == "" {
		return dispatch.Reply{}, false
	}
	reason, after, hasAfter := strings.Cut(text[1:], ":")
	var reply dispatch.Reply
	letter := text[0] | letterCase
	switch {
	case letter == letterDone && reason == "":
		reply = dispatch.Done(dispatch.Response{})
	case letter == letterNotRun && reason != "":
		reply = dispatch.NotRun(outcome.Reason(reason))
	case letter == letterUnknown && reason != "":
		reply = dispatch.Unknown(outcome.Reason(reason))
	default:
		return dispatch.Reply{}, false
	}
	if text[0] != letter {
		reply.ReachedUpstream = !reply.ReachedUpstream
	}
	millis, ok := parseNumber(after, math.MaxInt32)
	reply.RetryAfter = clock.Millis(millis)
	return reply, ok && hasAfter == (millis > 0)
}

// parseLoad decodes a load. It returns false if there is none or an invalid one: the outcome
// of the request is valid without it.
func parseLoad(values []string) (balance.Load, bool) {
	var numbers [loadFields]int64
	if len(values) == 0 || values[0] == "" {
		return balance.Load{}, false
	}
	for i, value := range values[:min(len(values), loadFields)] {
		n, ok := parseNumber(value, math.MaxInt32)
		if !ok {
			return balance.Load{}, false
		}
		numbers[i] = n
	}
	return loadOf(numbers), true
}

// loadFields is the number of fields of balance.Load.
const loadFields = 13

// loadNumbers returns the fields of a load in their order. loadOf is its inverse.
func loadNumbers(l balance.Load) [loadFields]int64 {
	return [...]int64{
		int64(l.Running), int64(l.Waiting), int64(l.Slots), int64(l.ServiceTime), int64(l.ClassServiceTime), int64(l.DemandPercent),
		int64(l.LinkMbps), int64(l.LinkBacklog), int64(l.InboundBacklog), int64(l.FailurePercent),
		int64(l.Capacity), int64(l.ColdRate), int64(l.ColdFor),
	}
}

func loadOf(n [loadFields]int64) balance.Load {
	return balance.Load{
		Running: int(n[0]), Waiting: int(n[1]), Slots: int(n[2]), ServiceTime: clock.Millis(n[3]), ClassServiceTime: clock.Millis(n[4]), DemandPercent: int(n[5]),
		LinkMbps: int(n[6]), LinkBacklog: clock.Millis(n[7]), InboundBacklog: clock.Millis(n[8]), FailurePercent: int(n[9]),
		Capacity: int(n[10]), ColdRate: int(n[11]), ColdFor: clock.Millis(n[12]),
	}
}
