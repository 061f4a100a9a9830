package runner

import (
	"io"
	"strconv"
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
		outgoing.SetBodyRaw(requestBody(c.id, route.BodyBytes))
	}
}

func (r *Runner) read(result *record.Call, request workload.Request, response *fasthttp.Response) {
	header := func(name string) string { return string(response.Header.Peek(name)) }
	result.Outcome = header(outcome.HeaderOutcome)
	result.Reason = header(outcome.HeaderReason)
	result.ServedBy = header(outcome.HeaderServedBy)
	result.Status = response.StatusCode()
	result.Epoch, _ = strconv.ParseUint(header(outcome.HeaderEpoch), 10, 64)
	result.ConfigVersion, _ = strconv.ParseUint(header(versionHeader), 10, 64)
	r.stamps.learn(request, result.Epoch, header(outcome.HeaderStamp))

	if result.Outcome != (outcome.Done{}).String() || result.Status != fasthttp.StatusOK {
		result.Bytes, result.Complete = readBody(response, io.Discard)
		return
	}
	r.checkAnswer(result, request, response)
}
