package runner

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/audit/record"
	"briarwell.dev/core/outcome"
	"briarwell.dev/load/workload"
)

const (
	// statusOlderEpoch answers a repeat whose first attempt belongs to an older
	// epoch; further repeats get the same answer.
	statusOlderEpoch = fasthttp.StatusConflict
	// digestHeader carries the SHA-256 digest of the body that the upstream sent,
	// or of the body that it received.
	digestHeader = "Standin-Digest"
	// lengthHeader carries the length of that body.
	lengthHeader = "Standin-Length"
	// answeredHeader carries the request ID that the upstream answered.
	answeredHeader = "Standin-Request-Id"
	// versionHeader carries the configuration version of the daemon.
	versionHeader = "Briarwell-Config-Version"
)

// call identifies one attempt.
type call struct {
	id       string
	number   int
	stamp    string
	intended time.Time
}

// attempt sends one attempt and tells whether a byte may have been sent.
func (r *Runner) attempt(request workload.Request, t *target, c call) (record.Call, bool) {
	outgoing, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(outgoing)
	defer fasthttp.ReleaseResponse(response)
	r.prepare(outgoing, request, t, c)
	result := record.Call{
		RequestID: c.id, Attempt: c.number, Service: request.Service().Name, Route: request.Route().Name,
		Method: request.Route().Method, Key: request.Key(), Shard: uint32(request.Shard()),
		Idempotent: request.Route().Idempotent, Daemon: t.address,
		IntendedUnixMicros: c.intended.UnixMicro(), SentUnixMicros: time.Now().UnixMicro(),
	}
	delay := r.delay(request, t)
	time.Sleep(delay)
	timeout := time.Duration(r.file.TimeoutMillis) * time.Millisecond
	err := t.client(request.Route().Stream).DoTimeout(outgoing, response, timeout)
	if err == nil {
		r.read(&result, request, response)
	}
	time.Sleep(delay)
	result.ReceivedUnixMicros = time.Now().UnixMicro()
	if err != nil {
		t.avoid(time.Now())
		result.Reason = err.Error()
		return result, !neverSent(err)
	}
	if result.Reason == string(outcome.ReasonNoLease) {
		t.avoid(time.Now())
	}
	return result, true
}

func (r *Runner) prepare(outgoing *fasthttp.Request, request workload.Request, t *target, c call) {
	route := request.Route()
	path := "/" + request.Service().Name
	if request.Key() != "" {
		path += "/" + request.Key()
	}
	outgoing.Header.SetMethod(route.Method)
	outgoing.SetRequestURI(path + route.Path)
	outgoing.Header.SetHost(t.address)
	outgoing.Header.Set(outcome.HeaderRequestID, c.id)
	outgoing.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(r.file.TimeoutMillis, 10))
	if !route.Idempotent && c.stamp != "" {
		outgoing.Header.Set(outcome.HeaderStamp, c.stamp)
	}
	if route.BodyBytes > 0 {
		outgoing.SetBodyRaw(body(c.id, route.BodyBytes))
	}
}

// body returns the bytes of a request body: the ID, repeated.
func body(id string, length int) []byte {
	return []byte(strings.Repeat(id+"\n", length/(len(id)+1)+1)[:length])
}

func (r *Runner) read(result *record.Call, request workload.Request, response *fasthttp.Response) {
	header := func(name string) string { return string(response.Header.Peek(name)) }
	result.Outcome = header(outcome.HeaderOutcome)
	result.Reason = header(outcome.HeaderReason)
	result.ServedBy = header(outcome.HeaderServedBy)
	result.AnsweredID = header(answeredHeader)
	result.Status = response.StatusCode()
	result.Epoch, _ = strconv.ParseUint(header(outcome.HeaderEpoch), 10, 64)
	result.ConfigVersion, _ = strconv.ParseUint(header(versionHeader), 10, 64)
	r.stamps.learn(request, result.Epoch, header(outcome.HeaderStamp))

	digest := sha256.New()
	result.Bytes, result.Complete = readBody(response, digest)
	result.ExpectedDigest = header(digestHeader)
	result.ExpectedBytes, _ = strconv.ParseInt(header(lengthHeader), 10, 64)
	result.Digest = hexDigest(digest)
	if request.Route().Method == fasthttp.MethodHead {
		result.ExpectedDigest = ""
	}
}

func hexDigest(digest hash.Hash) string { return hex.EncodeToString(digest.Sum(nil)) }
